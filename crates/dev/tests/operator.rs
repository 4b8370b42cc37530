//! What operators see: status by the command line, and metrics.

mod support;

use std::process::Command;

use pollenrouter_dev::caller::{self, Call};
use pollenrouter_dev::deployment::{self, Deployment};

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
