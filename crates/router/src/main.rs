//! pollenrouter
fn main() {}
