//! HTTP client, server and header helpers shared by the other crates.

pub mod body;
pub mod client;
pub mod clock;
pub mod convention;
pub mod head;
pub mod memory;
pub mod problem;
pub mod server;
