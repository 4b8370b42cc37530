//! What operators give and see: documents and settings with findings, and the
//! listener for status and metrics.

pub mod document;
pub mod fields;
pub mod finding;
pub mod listener;
pub mod settings;
