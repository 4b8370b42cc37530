//! Logs: JSON lines on the standard output.

use std::io;

use structured_logger::Builder;
use structured_logger::json;

/// Starts logging; a second start changes nothing.
pub fn init(level: log::LevelFilter) {
    let writer = json::new_writer(io::stdout());
    let builder = Builder::with_level(level.as_str()).with_default_writer(writer);
    // Fails only if a logger is set already.
    let _ = builder.try_init();
}
