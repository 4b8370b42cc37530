//! `pollenrouter run`.

use std::path::Path;

use log::{info, warn};
use pollenrouter_operator::settings;

use crate::cli;
use crate::cmd::{self, check};
use crate::error::Error;
use crate::logging;
use crate::threads;

/// Runs the daemon until a planned stop has finished.
pub fn run(args: &cli::Run) -> Result<(), Error> {
    let text = cmd::read_file(&args.settings)?;
    let settings = settings::check(&text)
        .map_err(|findings| Error::Findings(check::print_findings(&args.settings, &findings)))?;
    logging::init(settings.log)?;
    let path = args.settings.clone();
    let mut last_text = text;
    let watched = args.settings.clone();
    let reload = threads::SettingsChecks {
        on_signal: Box::new(move || check_settings(&path)),
        on_timer: Box::new(move || check_if_changed(&watched, &mut last_text)),
    };
    threads::run(&settings, reload)
}

/// Checks the settings if their text differs from the last one read.
fn check_if_changed(path: &Path, last_text: &mut String) {
    // The file may be missing while it is being replaced; the next check reads it.
    let Ok(text) = cmd::read_file(path) else {
        return;
    };
    if text != *last_text {
        *last_text = text;
        check_settings(path);
    }
}

/// Logs whether the settings file is valid. The running daemon keeps the settings that it
/// started with.
fn check_settings(path: &Path) {
    let text = match cmd::read_file(path) {
        Ok(text) => text,
        Err(err) => {
            warn!("reload: {err}; the settings of the start hold");
            return;
        }
    };
    match settings::check(&text) {
        Ok(_) => info!("reload: the settings are well-formed and hold from the next start"),
        Err(findings) => {
            let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
            let text = findings.join("; ");
            warn!("reload: the settings can not be used, those of the start hold: {text}");
        }
    }
}
