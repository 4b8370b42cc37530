//! Starts the processes of a deployment and reads their addresses.

use std::net::SocketAddr;
use std::path::Path;

use pollenrouter_daemon::keys;

use crate::deployment::{self, Addresses, ServicePlan};
use crate::error::Error;
use crate::process::{Output, Process};

/// Starts the platform stand-in.
///
/// # Errors
/// The process cannot be started or does not print its address.
pub fn platform() -> Result<(Process, SocketAddr), Error> {
    let args = ["platform".to_owned()];
    let process = Process::start(
        "platform",
        &deployment::binary_path("pollenrouter-dev")?,
        &args,
        Output::Stdout,
    )?;
    let address = process.wait_for_line(|line| line.parse().ok())?;
    Ok((process, address))
}

/// Starts a daemon.
///
/// # Errors
/// The process cannot be started or does not log its addresses.
pub fn daemon(name: &str, settings: &Path) -> Result<(Process, Addresses), Error> {
    let args = [
        "run".to_owned(),
        "--settings".to_owned(),
        settings.display().to_string(),
    ];
    let process = Process::start(
        name,
        &deployment::binary_path("pollenrouter")?,
        &args,
        Output::Stdout,
    )?;
    let addresses = process.wait_for_line(|line| serde_json::from_str(line).ok())?;
    Ok((process, addresses))
}

/// Starts a target stand-in.
///
/// # Errors
/// The process cannot be started or does not print its address.
pub fn target(
    name: &str,
    service: &ServicePlan,
    daemon: &Addresses,
    ledger: &Path,
    seed: usize,
) -> Result<(Process, SocketAddr), Error> {
    let flags = [
        ("--service", service.name.to_owned()),
        ("--daemon", daemon.announcements.to_string()),
        ("--internal", daemon.internal.to_string()),
        ("--slots", service.slots.to_string()),
        ("--work-us", service.service_time_us.to_string()),
        ("--stragglers", service.stragglers_per_thousand.to_string()),
        ("--ledger", ledger.display().to_string()),
        ("--seed", seed.to_string()),
    ];
    let mut args = vec!["target".to_owned()];
    args.extend(
        flags
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_owned(), value]),
    );
    let name = format!("target {name}");
    let process = Process::start(
        &name,
        &deployment::binary_path("pollenrouter-dev")?,
        &args,
        Output::Stdout,
    )?;
    let address = process.wait_for_line(|line| line.parse().ok())?;
    Ok((process, address))
}

/// Settings file of a daemon that listens on loopback, on ports assigned by the system.
#[must_use]
pub fn render_settings(
    name: &str,
    domain: &str,
    platform: SocketAddr,
    keys: &keys::Keys,
) -> String {
    let indent = |pem: &str| {
        let lines: Vec<String> = pem.lines().map(|line| format!("    {line}")).collect();
        lines.join("\n")
    };
    format!(
        "host: {name}
failure_domain: {domain}
platform: http://{platform}
listen:
  public: 127.0.0.1:0
  internal: 127.0.0.1:0
  target: 127.0.0.1:0
  operator: 127.0.0.1:0
  daemons: 127.0.0.1:0
keys:
  authority: |
{}
  certificate: |
{}
  key: |
{}
",
        indent(&keys.authority),
        indent(&keys.certificate),
        indent(&keys.key)
    )
}
