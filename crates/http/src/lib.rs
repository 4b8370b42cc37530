//! HTTP plumbing shared by the packages that speak it.

pub mod body;
pub mod client;
pub mod convention;
pub mod head;
pub mod problem;
pub mod server;
