//! The target on the same host: its announcements, and the calls sent to it.

pub mod announcement;
pub mod message;
pub mod sender;
