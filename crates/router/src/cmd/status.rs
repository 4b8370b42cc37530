//! `pollenrouter status`.

use std::time::Duration;

use crate::cli;
use crate::error::Error;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Prints the status of one daemon.
pub fn run(args: &cli::Status) -> Result<(), Error> {
    let failed = |err: ureq::Error| Error::Daemon(args.daemon.clone(), err.to_string());
    let mut answer = ureq::get(format!("http://{}/status", args.daemon))
        .config()
        .timeout_global(Some(TIMEOUT))
        .build()
        .call()
        .map_err(failed)?;
    let status: serde_json::Value = answer.body_mut().read_json().map_err(failed)?;
    println!("{status:#}");
    Ok(())
}
