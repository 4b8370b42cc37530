//! Client for the platform's object API, and the objects stored there.

pub mod client;
pub mod dialect;
mod era;
pub mod listing;
pub mod object;
mod transport;
