//! Daemons that are suspended past the deadline of a call do not run it.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use pollenrouter_dev::caller::{self, Outcome};
use pollenrouter_dev::deployment::Deployment;
use pollenrouter_dev::ledger;
use rustix::process::Signal;
use support::{assign_call, run_count, two_service_plan};

#[test]
fn gate_suspended_past_the_deadline_does_not_run_the_call() {
    let deployment = Deployment::start(&two_service_plan(1, 0)).expect("deployment must start");
    let gate = deployment.hosts[1]
        .daemon
        .as_ref()
        .expect("daemon must be running");
    let mut call = assign_call(&deployment, "r1");
    call.deadline = Some(Duration::from_millis(500));
    gate.signal(Signal::STOP).expect("daemon must be suspended");
    let result = caller::call_blocking(deployment.hosts[0].addresses.public, &call);
    gate.signal(Signal::CONT).expect("daemon must resume");
    assert!(matches!(result.outcome, Outcome::Unknown(_)), "{result:?}");
    // An answered later call shows that the gate works again.
    let later = assign_call(&deployment, "r2");
    support::wait_until("the gate answers calls again", || {
        let result = caller::call_blocking(deployment.hosts[0].addresses.public, &later);
        matches!(result.outcome, Outcome::Answered { .. })
    });
    assert_eq!(run_count(&deployment, "r1"), 0);
}

/// The request waits in the entry's socket while the entry is suspended.
#[test]
fn entry_suspended_past_the_deadline_does_not_run_the_call() {
    let deployment = Deployment::start(&two_service_plan(1, 0)).expect("deployment must start");
    let call = assign_call(&deployment, "warm-up");
    let answered = caller::call_blocking(deployment.hosts[0].addresses.public, &call);
    assert!(
        matches!(answered.outcome, Outcome::Answered { .. }),
        "{answered:?}"
    );
    let entry = deployment.hosts[0]
        .daemon
        .as_ref()
        .expect("daemon must be running");
    entry
        .signal(Signal::STOP)
        .expect("daemon must be suspended");
    let mut stream =
        TcpStream::connect(deployment.hosts[0].addresses.public).expect("system must accept");
    let request = format!(
        "POST /assignment/assign HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 0\r\n\
         pollenrouter-deadline-ms: 500\r\n{}: r1\r\n\r\n",
        ledger::REQUEST_ID_HEADER
    );
    stream
        .write_all(request.as_bytes())
        .expect("system must take the request");
    thread::sleep(Duration::from_secs(1));
    entry.signal(Signal::CONT).expect("daemon must resume");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .expect("daemon must respond");
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    assert!(
        response.contains("pollenrouter-outcome: not-run"),
        "{response}"
    );
    assert_eq!(run_count(&deployment, "r1"), 0);
}
