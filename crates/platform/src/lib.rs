//! Client of the platform's object API, and the objects kept there.

pub mod client;
pub mod dialect;
pub mod object;
