//! Interface for operators: checks of service documents and settings, and the listener for
//! status and metrics.

pub mod document;
pub mod finding;
pub mod listener;
pub mod settings;
pub mod yaml;
