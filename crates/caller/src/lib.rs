//! Listener for callers: HTTP requests in, whole answers or truthful refusals out.

pub mod ending;
pub mod guard;
pub mod listener;
pub mod message;
pub mod request;
