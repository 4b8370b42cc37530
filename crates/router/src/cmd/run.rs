//! `pollenrouter run`.

use std::path::Path;

use log::{info, warn};
use pollenrouter_operator::settings;

use crate::cli;
use crate::cmd::{self, check};
use crate::error::Error;
use crate::logging;
use crate::threads;

/// Runs the daemon until it is told to stop.
pub fn run(args: &cli::Run) -> Result<(), Error> {
    let text = cmd::read(&args.settings)?;
    let settings = settings::check(&text)
        .map_err(|findings| Error::Findings(check::print(&args.settings, &findings)))?;
    logging::init(settings.log)?;
    let path = args.settings.clone();
    let mut known = text;
    let changed = args.settings.clone();
    let reload = threads::SettingsChecks {
        on_signal: Box::new(move || recheck(&path)),
        on_timer: Box::new(move || check_change(&changed, &mut known)),
    };
    threads::run(&settings, reload)
}

/// Checks settings that have changed without a signal.
fn check_change(path: &Path, known: &mut String) {
    // A file that is being replaced is read at the next check.
    let Ok(text) = cmd::read(path) else {
        return;
    };
    if text != *known {
        *known = text;
        recheck(path);
    }
}

/// Tells what a restart would make of the settings; they hold until then.
fn recheck(path: &Path) {
    let text = match cmd::read(path) {
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
