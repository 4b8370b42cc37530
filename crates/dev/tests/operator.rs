//! What operators see: status by the command line, and metrics.

mod support;

use std::process::Command;
use std::time::Instant;

use pollenrouter_dev::caller::{self, Call, Told};
use pollenrouter_dev::deployment::{self, Deployment};
use rustix::process::Signal;

const METRICS: [&str; 6] = [
    "pollenrouter_calls_total",
    "pollenrouter_call_seconds_bucket",
    "pollenrouter_gate_running",
    "pollenrouter_gate_waiting",
    "pollenrouter_gate_remembered",
    "pollenrouter_members",
];

fn metrics(deployment: &Deployment) -> String {
    let uri = format!("http://{}/metrics", deployment.hosts[0].addresses.operator);
    let mut answer = ureq::get(uri).call().expect("daemon must reply");
    answer
        .body_mut()
        .read_to_string()
        .expect("metrics must be text")
}

/// Probes that all targets have counted.
fn probes(deployment: &Deployment) -> u64 {
    let counted = deployment.hosts.iter().map(|host| {
        let health = deployment::get(host.target_address, "/.target/health");
        health.expect("target must reply")["probes"]
            .as_u64()
            .unwrap_or(0)
    });
    counted.sum()
}

#[test]
fn probes_at_all_targets_stay_within_the_budget_through_restarts() {
    const PER_MINUTE: u64 = 120;
    let begun = Instant::now();
    let mut plan = support::plan(3, 0);
    plan.services.truncate(1);
    let mut deployment = Deployment::start(&plan).expect("deployment must start");
    let budget = "probes_per_minute: 120\n  targets_max: 2";
    let from = "probes_per_minute: 24\n  targets_max: 8";
    support::apply_edited(&deployment, "board", from, budget);
    for _ in 0..2 {
        support::until("a probe comes", || probes(&deployment) > 0);
        let mut daemon = deployment.hosts[0].daemon.take().expect("daemon must run");
        daemon.kill().expect("daemon must end");
        deployment.hosts[0]
            .restart_daemon()
            .expect("daemon must restart");
        deployment
            .wait_ready(3, 1)
            .expect("deployment must be ready");
    }
    let before = probes(&deployment);
    support::until("probes go on", || probes(&deployment) > before + 3);
    let counted = probes(&deployment);
    // A slow machine only makes the time longer.
    let allowed = PER_MINUTE * u64::try_from(begun.elapsed().as_millis()).unwrap_or(0) / 60_000;
    assert!(
        counted <= allowed + 1,
        "{counted} probes where {allowed} are allowed"
    );
}

#[test]
fn status_and_metrics_tell_what_happened() {
    let deployment = Deployment::start(&support::plan(1, 0)).expect("deployment must start");
    let list = Call::plain("GET", "/board/refresh", "r1");
    let ended = caller::call_once(deployment.hosts[0].addresses.public, &list);
    assert_eq!(ended.status, 200, "{ended:?}");
    support::until("all metrics are there", || {
        let text = metrics(&deployment);
        METRICS.iter().all(|name| text.contains(name))
    });
    let text = metrics(&deployment);
    assert!(text.contains(r#"outcome="answered""#), "{text}");

    let program = deployment::binary("pollenrouter").expect("product must be built");
    let address = deployment.hosts[0].addresses.operator.to_string();
    let output = Command::new(program)
        .args(["status", "--daemon", &address])
        .output();
    let output = output.expect("command must run");
    let status: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("status must be JSON");
    assert_eq!(
        status["documents"].as_array().map(Vec::len),
        Some(2),
        "{status}"
    );
    assert_eq!(
        status["members"].as_array().map(Vec::len),
        Some(2),
        "{status}"
    );
}

#[test]
fn a_daemon_goes_on_when_it_is_told_that_its_settings_changed() {
    let deployment = Deployment::start(&support::plan(1, 0)).expect("deployment must start");
    let daemon = deployment.hosts[0]
        .daemon
        .as_ref()
        .expect("daemon must run");
    daemon.signal(Signal::HUP).expect("daemon must be there");
    support::until("the daemon tells", || {
        let lines = daemon.latest();
        lines.iter().any(|line| line.contains("reload: "))
    });
    let list = Call::plain("GET", "/board/refresh", "r1");
    let ended = caller::call_once(deployment.hosts[0].addresses.public, &list);
    assert!(matches!(ended.told, Told::Answered { .. }), "{ended:?}");
}

/// The file may be replaced without a signal.
#[test]
fn settings_that_change_without_a_signal_are_checked() {
    let deployment = Deployment::start(&support::plan(1, 0)).expect("deployment must start");
    let daemon = deployment.hosts[0]
        .daemon
        .as_ref()
        .expect("daemon must run");
    std::fs::write(&deployment.hosts[0].settings, "host: {").expect("settings must be written");
    support::until("the daemon tells", || {
        let lines = daemon.latest();
        lines
            .iter()
            .any(|line| line.contains("reload: the settings can not be used"))
    });
}
