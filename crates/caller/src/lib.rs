//! Listeners for callers: read complete HTTP requests and respond with the result of the call.

pub mod admission;
pub mod buffer;
pub mod connection;
pub mod connections;
pub mod decoder;
pub mod disconnect;
pub mod encode;
pub mod head;
pub mod listener;
pub mod message;
pub mod output;
pub mod pipeline;
pub mod request;
pub mod response;
pub mod tables;
