//! dev
fn main() {}
