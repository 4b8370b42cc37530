//! Protocol between daemons: QUIC with mutual authentication, one stream per
//! call, so that a long answer never delays a short one.

pub mod client;
pub mod connect_error;
pub mod frame;
pub mod keys;
pub mod message;
pub mod protocol;
pub mod server;
pub mod tls;
