//! Operator interface: status command, metrics and reload of the settings.

mod support;

use std::process::Command;
use std::time::Instant;

use pollenrouter_dev::caller::{self, Call, Outcome};
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
    let mut response = ureq::get(uri).call().expect("daemon must reply");
    response
        .body_mut()
        .read_to_string()
        .expect("metrics must be text")
}

/// Number of probes that all targets have received.
fn probe_count(deployment: &Deployment) -> u64 {
    let counted = deployment.hosts.iter().map(|host| {
        let health = deployment::get_json(host.target_address, "/.target/health");
        health.expect("target must reply")["probes"]
            .as_u64()
            .unwrap_or(0)
    });
    counted.sum()
}

#[test]
fn probes_stay_within_the_budget_across_restarts() {
    const PROBES_PER_MINUTE: u64 = 120;
    let started_at = Instant::now();
    let mut plan = support::two_service_plan(3, 0);
    plan.services.truncate(1);
    let mut deployment = Deployment::start(&plan).expect("deployment must start");
    let new_budget = "probes_per_minute: 120\n  targets_max: 2";
    let old_budget = "probes_per_minute: 24\n  targets_max: 8";
    support::apply_edited(&deployment, "board", old_budget, new_budget);
    for _ in 0..2 {
        support::wait_until("a target gets a probe", || probe_count(&deployment) > 0);
        let mut daemon = deployment.hosts[0]
            .daemon
            .take()
            .expect("daemon must be running");
        daemon.kill().expect("daemon must be killed");
        deployment.hosts[0]
            .restart_daemon()
            .expect("daemon must restart");
        deployment
            .wait_until_ready(3, 1)
            .expect("deployment must be ready");
    }
    let before = probe_count(&deployment);
    support::wait_until("probes continue", || probe_count(&deployment) > before + 3);
    let counted = probe_count(&deployment);
    // A slow machine only makes the elapsed time longer.
    let allowed =
        PROBES_PER_MINUTE * u64::try_from(started_at.elapsed().as_millis()).unwrap_or(0) / 60_000;
    assert!(
        counted <= allowed + 1,
        "{counted} probes, {allowed} allowed"
    );
}

#[test]
fn status_and_metrics_reflect_calls_and_members() {
    let deployment =
        Deployment::start(&support::two_service_plan(1, 0)).expect("deployment must start");
    let refresh = Call::new("GET", "/board/refresh", "r1");
    let result = caller::call_blocking(deployment.hosts[0].addresses.public, &refresh);
    assert_eq!(result.status, 200, "{result:?}");
    support::wait_until("all metrics are exported", || {
        let text = metrics(&deployment);
        METRICS.iter().all(|name| text.contains(name))
    });
    let text = metrics(&deployment);
    assert!(text.contains(r#"outcome="answered""#), "{text}");

    let program = deployment::binary_path("pollenrouter").expect("product must be built");
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
fn daemon_keeps_serving_after_a_reload_signal() {
    let deployment =
        Deployment::start(&support::two_service_plan(1, 0)).expect("deployment must start");
    let daemon = deployment.hosts[0]
        .daemon
        .as_ref()
        .expect("daemon must be running");
    daemon.signal(Signal::HUP).expect("daemon must be running");
    support::wait_until("the daemon logs the reload", || {
        let lines = daemon.recent_lines();
        lines.iter().any(|line| line.contains("reload: "))
    });
    let refresh = Call::new("GET", "/board/refresh", "r1");
    let result = caller::call_blocking(deployment.hosts[0].addresses.public, &refresh);
    assert!(
        matches!(result.outcome, Outcome::Answered { .. }),
        "{result:?}"
    );
}

/// The daemon also checks a settings file that is replaced without a signal.
#[test]
fn changed_settings_are_checked_without_a_signal() {
    let deployment =
        Deployment::start(&support::two_service_plan(1, 0)).expect("deployment must start");
    let daemon = deployment.hosts[0]
        .daemon
        .as_ref()
        .expect("daemon must be running");
    std::fs::write(&deployment.hosts[0].settings, "host: {").expect("settings must be written");
    support::wait_until("the daemon logs the reload", || {
        let lines = daemon.recent_lines();
        lines
            .iter()
            .any(|line| line.contains("reload: the settings can not be used"))
    });
}
