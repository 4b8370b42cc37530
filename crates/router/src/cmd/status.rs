//! `pollenrouter status`.

use std::time::Duration;

use crate::cli;
use crate::error::Error;

const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// Prints the status of one daemon.
pub fn run(args: &cli::Status) -> Result<(), Error> {
    let status_error = |err: ureq::Error| Error::DaemonStatus(args.daemon.clone(), err.to_string());
    let mut response = ureq::get(format!("http://{}/status", args.daemon))
        .config()
        .timeout_global(Some(STATUS_TIMEOUT))
        .build()
        .call()
        .map_err(status_error)?;
    let status: serde_json::Value = response.body_mut().read_json().map_err(status_error)?;
    println!("{status:#}");
    Ok(())
}
