//! Client of the target on the same host: receives its announcements and sends it calls.

pub mod announcement;
pub mod message;
pub mod sender;
