//! Helpers shared by the process tests.

#![allow(dead_code, reason = "each test program uses only some of the helpers")]

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use pollenrouter_dev::caller::Call;
use pollenrouter_dev::deployment::{self, Deployment, Plan};
use pollenrouter_dev::ledger::{self, LedgerRecord, Step};
use pollenrouter_dev::target;

pub const SERVICE_TIME: Duration = Duration::from_millis(600);
/// Much longer than any of these calls takes, so that a busy machine does not matter.
pub const LONG_DEADLINE: Duration = Duration::from_secs(30);
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

/// Plan with `board` and `assignment`, each with `targets` targets.
pub fn two_service_plan(targets: usize, service_time_us: u64) -> Plan {
    let mut plan = deployment::wartebank(&examples());
    plan.services.truncate(2);
    for service in &mut plan.services {
        service.domains.truncate(targets);
        service.service_time_us = service_time_us;
        service.stragglers_per_thousand = 0;
    }
    plan
}

/// Applies the example document of a service with `from` replaced by `to`, and waits
/// until all daemons use it.
pub fn apply_edited(deployment: &Deployment, service: &str, from: &str, to: &str) {
    let base_version = active_version(deployment, service);
    let file = write_edited_example(deployment, service, from, to);
    deployment
        .apply_document(&file, base_version)
        .expect("document must be applied");
    wait_for_version_after(deployment, service, base_version);
}

/// Version of the document of a service that host 0 uses.
pub fn active_version(deployment: &Deployment, service: &str) -> u64 {
    version_in(&daemon_status(deployment, 0), service)
        .expect("daemon must use a document of the service")
}

/// Waits until every daemon uses a document newer than `version`.
pub fn wait_for_version_after(deployment: &Deployment, service: &str, version: u64) {
    let newer = |status: &serde_json::Value| version_in(status, service) > Some(version);
    deployment
        .wait_for_status("a newer version", newer)
        .expect("all daemons must use a newer version");
}

fn version_in(status: &serde_json::Value, service: &str) -> Option<u64> {
    let documents = status["documents"].as_array()?;
    let found = documents
        .iter()
        .find(|document| document["service"] == service);
    found?["version"].as_u64()
}

/// A call to `assignment`, with a ticket. Its only target is on host 1; host 0 is another
/// entry.
pub fn assign_call(deployment: &Deployment, request_id: &str) -> Call {
    let mut call = Call::new("POST", "/assignment/assign", request_id);
    call.service_time = Some(SERVICE_TIME);
    call.deadline = Some(LONG_DEADLINE);
    call.ticket = Some(issue_ticket(deployment, 0, "assignment"));
    call
}

/// Requests a ticket from an entry.
pub fn issue_ticket(deployment: &Deployment, entry: usize, service: &str) -> smol_str::SmolStr {
    let address = deployment.hosts[entry].addresses.public;
    let uri = format!("http://{address}/.pollenrouter/tickets/{service}");
    let mut response = ureq::post(uri).send_empty().expect("ticket must be issued");
    let ticket: serde_json::Value = response
        .body_mut()
        .read_json()
        .expect("ticket must be JSON");
    ticket["ticket"]
        .as_str()
        .expect("ticket must be text")
        .into()
}

/// Polls until `reached` returns true; panics after [`WAIT_TIMEOUT`].
pub fn wait_until(description: &str, reached: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !reached() {
        assert!(
            Instant::now() < deadline,
            "timed out waiting until {description}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Number of runs of a request, over all ledgers.
pub fn run_count(deployment: &Deployment, request_id: &str) -> u32 {
    let ledgers = deployment.hosts.iter().map(|host| host.ledger.as_path());
    let runs = ledger::count_runs(ledgers).expect("ledgers must be readable");
    runs.get(request_id).copied().unwrap_or(0)
}

/// Whether a ledger shows that a run of the request was cancelled.
pub fn was_cancelled(deployment: &Deployment, request_id: &str) -> bool {
    let texts = deployment
        .hosts
        .iter()
        .map(|host| fs::read_to_string(&host.ledger));
    let texts: Vec<String> = texts
        .map(|text| text.expect("ledger must be readable"))
        .collect();
    let lines = texts.iter().flat_map(|text| text.lines());
    let mut records = lines.filter_map(|line| serde_json::from_str::<LedgerRecord>(line).ok());
    records.any(|record| record.request == request_id && record.step == Step::Cancelled)
}

/// Sends a call and closes the connection without waiting for the response.
pub fn send_and_disconnect(entry: SocketAddr, call: &Call) {
    let mut stream = TcpStream::connect(entry).expect("daemon must accept");
    let service_time = call.service_time.unwrap_or_default().as_micros();
    let ticket = call.ticket.as_ref().map_or_else(String::new, |ticket| {
        format!("pollenrouter-ticket: {ticket}\r\n")
    });
    let head = format!(
        "{} {} HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n{}: {}\r\n{}: {service_time}\r\n{}: {}\r\n{ticket}\
         pollenrouter-deadline-ms: 60000\r\n\r\n",
        call.method,
        call.path,
        ledger::REQUEST_ID_HEADER,
        call.request_id,
        target::SERVICE_TIME_HEADER,
        target::RESPONSE_BYTES_HEADER,
        call.response_bytes,
    );
    stream
        .write_all(head.as_bytes())
        .expect("daemon must read the request");
    // Lets the call begin at the target; a disconnect before that is a different case.
    thread::sleep(Duration::from_millis(300));
}

/// Memory of the daemon of a host, KiB, as a field of `/proc/PID/status` states it.
pub fn memory_kib(deployment: &Deployment, host: usize, field: &str) -> u64 {
    let daemon = deployment.hosts[host].daemon.as_ref();
    let daemon = daemon.expect("daemon must be running");
    let status = fs::read_to_string(format!("/proc/{}/status", daemon.pid()));
    let status = status.expect("daemon must be running");
    let line = status.lines().find(|line| line.starts_with(field));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number
        .and_then(|n| n.parse().ok())
        .expect("memory must be a number")
}

/// Output of the `audit` command for a service.
pub fn audit_trail(deployment: &Deployment, service: &str) -> String {
    let program = deployment::binary_path("pollenrouter").expect("product must be built");
    let platform = format!("http://{}", deployment.platform_address);
    let output = Command::new(program)
        .args(["audit", "--platform", &platform, "--service", service])
        .output()
        .expect("command must run");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

pub fn daemon_status(deployment: &Deployment, host: usize) -> serde_json::Value {
    let address = deployment.hosts[host].addresses.operator;
    deployment::get_json(address, "/status").expect("daemon must report its status")
}

/// Writes the example document of a service with another `owed_ms` on its first route.
pub fn write_example_with_owed_ms(deployment: &Deployment, service: &str, owed_ms: u32) -> PathBuf {
    write_edited_example(
        deployment,
        service,
        "owed_ms: 500",
        &format!("owed_ms: {owed_ms}"),
    )
}

/// Writes the example document of a service with `from` replaced by `to`; returns the
/// path.
pub fn write_edited_example(
    deployment: &Deployment,
    service: &str,
    from: &str,
    to: &str,
) -> PathBuf {
    let example = examples().join("wartebank").join(format!("{service}.yaml"));
    let text = fs::read_to_string(example).expect("example must be readable");
    let edited = text.replacen(from, to, 1);
    let name = to.replace(|c: char| !c.is_alphanumeric(), "-");
    let file = deployment.dir.path().join(format!("{service}-{name}.yaml"));
    fs::write(&file, edited).expect("document must be written");
    file
}

/// Writes a document directly to the platform, without the checks of the `apply` command.
pub fn write_unchecked(deployment: &Deployment, service: &str, text: &str) {
    let address = deployment.platform_address;
    let uri = format!("http://{address}/objects/services/{service}");
    let mut response = ureq::get(&uri).call().expect("platform must reply");
    let object: serde_json::Value = response
        .body_mut()
        .read_json()
        .expect("object must be JSON");
    let document = serde_json::json!({ "text": text, "changes": [] });
    let value = serde_json::json!({ "value": document.to_string() });
    let uri = format!("{uri}?if_version={}", object["version"]);
    ureq::put(uri)
        .send_json(value)
        .expect("platform must accept the write");
}

/// Replaces the target of a host by one at another address.
pub fn replace_target(
    deployment: &Deployment,
    host: usize,
    service: &str,
    address: SocketAddr,
    slots: usize,
) {
    let host = &deployment.hosts[host];
    // The target that was there announces itself elsewhere from now on.
    let control = target::Control {
        daemon: Some(([127, 0, 0, 1], 1).into()),
        ..target::Control::default()
    };
    host.set_control(&control)
        .expect("target must take the control");
    let announcement = serde_json::json!({
        "service": service, "address": address, "slots": slots, "draining": false,
        "cold_start_ms": 0,
    });
    let uri = format!(
        "http://{}/.pollenrouter/target",
        host.addresses.announcements
    );
    ureq::put(uri)
        .send_json(announcement)
        .expect("announcement must be accepted");
}
