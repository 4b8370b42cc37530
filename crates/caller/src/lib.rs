//! Listeners for callers: read complete HTTP requests and respond with the result of the call.

pub mod disconnect;
pub mod listener;
pub mod message;
pub mod request;
pub mod response;
