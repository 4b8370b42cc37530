//! Failures of real processes, verified against the ledgers of the targets.

mod support;

use std::thread;
use std::time::Duration;

use pollenrouter_dev::caller::{self, Call, Outcome};
use pollenrouter_dev::deployment::Deployment;
use pollenrouter_dev::{platform, target};
use rustix::process::Signal;
use support::{
    LONG_DEADLINE, assign_call, daemon_status, run_count, two_service_plan,
    write_example_with_owed_ms,
};

/// For calls that wait until their deadline.
const SHORT_DEADLINE: Duration = Duration::from_secs(3);

/// Starts a call on another thread and waits until its target runs it.
fn start_call(
    deployment: &Deployment,
    entry: usize,
    call: &Call,
) -> thread::JoinHandle<caller::CallResult> {
    let (address, call) = (deployment.hosts[entry].addresses.public, call.clone());
    let request_id = call.request_id.clone();
    let pending = thread::spawn(move || caller::call_blocking(address, &call));
    support::wait_until("the call runs", || run_count(deployment, &request_id) > 0);
    pending
}

#[test]
fn killed_gate_leaves_the_outcome_unknown_and_a_retry_does_not_run() {
    let mut deployment = Deployment::start(&two_service_plan(1, 0)).expect("deployment must start");
    let mut call = assign_call(&deployment, "r1");
    call.deadline = Some(SHORT_DEADLINE);
    let pending = start_call(&deployment, 0, &call);
    let mut gate = deployment.hosts[1]
        .daemon
        .take()
        .expect("daemon must be running");
    gate.kill().expect("daemon must be killed");
    let result = pending.join().expect("caller must not panic");
    assert!(matches!(result.outcome, Outcome::Unknown(_)), "{result:?}");

    deployment.hosts[1]
        .restart_daemon()
        .expect("daemon must restart");
    deployment
        .wait_until_ready(2, 2)
        .expect("deployment must be ready");
    let retry = caller::call_blocking(deployment.hosts[0].addresses.public, &call);
    assert!(matches!(retry.outcome, Outcome::Unknown(_)), "{retry:?}");
    assert_eq!(run_count(&deployment, "r1"), 1);
}

#[test]
fn retry_after_a_killed_entry_gets_the_answer_of_the_only_run() {
    let mut deployment = Deployment::start(&two_service_plan(1, 0)).expect("deployment must start");
    let call = assign_call(&deployment, "r1");
    let pending = start_call(&deployment, 0, &call);
    let mut entry = deployment.hosts[0]
        .daemon
        .take()
        .expect("daemon must be running");
    entry.kill().expect("daemon must be killed");
    let result = pending.join().expect("caller must not panic");
    assert!(matches!(result.outcome, Outcome::Unknown(_)), "{result:?}");

    let retry = caller::call_blocking(deployment.hosts[1].addresses.public, &call);
    assert!(
        matches!(retry.outcome, Outcome::Answered { .. }),
        "{retry:?}"
    );
    assert_eq!(run_count(&deployment, "r1"), 1);
}

#[test]
fn resumed_gate_returns_the_answer_of_the_only_run() {
    let deployment = Deployment::start(&two_service_plan(1, 0)).expect("deployment must start");
    let call = assign_call(&deployment, "r1");
    let pending = start_call(&deployment, 0, &call);
    let gate = deployment.hosts[1]
        .daemon
        .as_ref()
        .expect("daemon must be running");
    gate.signal(Signal::STOP).expect("daemon must be suspended");
    // Longer than it takes to detect that the connection is silent.
    thread::sleep(Duration::from_secs(1));
    gate.signal(Signal::CONT).expect("daemon must resume");
    let result = pending.join().expect("caller must not panic");
    assert!(
        matches!(result.outcome, Outcome::Answered { .. }),
        "{result:?}"
    );
    assert_eq!(run_count(&deployment, "r1"), 1);
}

#[test]
fn resumed_target_runs_a_call_once() {
    let deployment = Deployment::start(&two_service_plan(1, 0)).expect("deployment must start");
    let target = deployment.hosts[1]
        .target
        .as_ref()
        .expect("target must be running");
    let call = assign_call(&deployment, "r1");
    let pending = start_call(&deployment, 0, &call);
    target
        .signal(Signal::STOP)
        .expect("target must be suspended");
    let retry = caller::call_blocking(deployment.hosts[1].addresses.public, &{
        let mut retry = call.clone();
        retry.deadline = Some(Duration::from_millis(300));
        retry
    });
    assert!(matches!(retry.outcome, Outcome::Unknown(_)), "{retry:?}");
    target.signal(Signal::CONT).expect("target must resume");
    let result = pending.join().expect("caller must not panic");
    assert!(
        matches!(result.outcome, Outcome::Answered { .. }),
        "{result:?}"
    );
    assert_eq!(run_count(&deployment, "r1"), 1);
}

#[test]
fn planned_stop_of_gate_or_entry_finishes_calls_in_flight() {
    for stopped in [1, 0] {
        let mut deployment =
            Deployment::start(&two_service_plan(1, 0)).expect("deployment must start");
        let call = assign_call(&deployment, "r1");
        let pending = start_call(&deployment, 0, &call);
        let daemon = deployment.hosts[stopped]
            .daemon
            .take()
            .expect("daemon must be running");
        daemon.stop().expect("daemon must stop cleanly");
        let result = pending.join().expect("caller must not panic");
        assert!(
            matches!(result.outcome, Outcome::Answered { .. }),
            "host {stopped}: {result:?}"
        );
        assert_eq!(run_count(&deployment, "r1"), 1);
    }
}

#[test]
fn disconnected_caller_cancels_only_repeatable_calls() {
    let deployment = Deployment::start(&two_service_plan(1, 0)).expect("deployment must start");
    let mut refresh = Call::new("GET", "/board/refresh", "r1");
    refresh.service_time = Some(Duration::from_mins(1));
    support::send_and_disconnect(deployment.hosts[0].addresses.public, &refresh);
    support::wait_until("the run is cancelled", || {
        support::was_cancelled(&deployment, "r1")
    });

    let assign = assign_call(&deployment, "r2");
    support::send_and_disconnect(deployment.hosts[0].addresses.public, &assign);
    support::wait_until("the call runs", || run_count(&deployment, "r2") == 1);
    let retry = caller::call_blocking(deployment.hosts[1].addresses.public, &assign);
    assert!(
        matches!(retry.outcome, Outcome::Answered { .. }),
        "{retry:?}"
    );
    assert_eq!(run_count(&deployment, "r2"), 1);
}

#[test]
fn without_the_platform_running_daemons_serve_and_a_restarted_one_refuses() {
    let mut deployment = Deployment::start(&two_service_plan(1, 0)).expect("deployment must start");
    let ticket = support::issue_ticket(&deployment, 1, "assignment");
    let down = platform::Faults {
        down: true,
        ..platform::Faults::default()
    };
    deployment
        .set_platform_faults(down)
        .expect("platform must reply");
    let result = caller::call_blocking(
        deployment.hosts[0].addresses.public,
        &Call::new("GET", "/board/refresh", "r1"),
    );
    assert!(
        matches!(result.outcome, Outcome::Answered { .. }),
        "{result:?}"
    );

    let mut daemon = deployment.hosts[0]
        .daemon
        .take()
        .expect("daemon must be running");
    daemon.kill().expect("daemon must be killed");
    deployment.hosts[0]
        .restart_daemon()
        .expect("daemon must restart");
    let refresh = Call::new("GET", "/board/refresh", "r2");
    let result = caller::call_blocking(deployment.hosts[0].addresses.public, &refresh);
    let expected = Outcome::NotRun("the daemon has not read the documents yet".into());
    assert_eq!((result.outcome, result.status), (expected, 503));

    // An earlier attempt with the same ticket may have run, although this daemon knows of none.
    let mut retry = Call::new("POST", "/assignment/assign", "r3");
    retry.ticket = Some(ticket);
    let result = caller::call_blocking(deployment.hosts[0].addresses.public, &retry);
    assert!(matches!(result.outcome, Outcome::Unknown(_)), "{result:?}");

    let up = platform::Faults::default();
    deployment
        .set_platform_faults(up)
        .expect("platform must reply");
    deployment
        .wait_until_ready(2, 2)
        .expect("deployment must be ready");
    let result = caller::call_blocking(deployment.hosts[0].addresses.public, &refresh);
    assert!(
        matches!(result.outcome, Outcome::Answered { .. }),
        "{result:?}"
    );
}

#[test]
fn draining_target_gets_no_new_calls_while_the_platform_is_down() {
    let deployment = Deployment::start(&two_service_plan(1, 0)).expect("deployment must start");
    let down = platform::Faults {
        down: true,
        ..platform::Faults::default()
    };
    deployment
        .set_platform_faults(down)
        .expect("platform must reply");
    let leaving = target::Control {
        draining: true,
        ..target::Control::default()
    };
    deployment.hosts[0]
        .set_control(&leaving)
        .expect("target must reply");
    support::wait_until("the gate knows that its target is draining", || {
        daemon_status(&deployment, 0)["own"]["load"]["leaving"] == true
    });
    for (host, request_id) in deployment.hosts.iter().zip(["r1", "r2"]) {
        let refresh = Call::new("GET", "/board/refresh", request_id);
        let result = caller::call_blocking(host.addresses.public, &refresh);
        assert!(matches!(result.outcome, Outcome::NotRun(_)), "{result:?}");
        assert_eq!(run_count(&deployment, request_id), 0);
    }
}

#[test]
fn chains_of_seven_calls_into_one_service_all_complete() {
    let mut plan = two_service_plan(2, 0);
    plan.services.retain(|service| service.name == "board");
    let deployment = Deployment::start(&plan).expect("deployment must start");
    support::apply_edited(&deployment, "board", "depth_levels: 1", "depth_levels: 7");
    let callers: Vec<_> = (0..24)
        .map(|index| {
            let mut refresh = Call::new("GET", "/board/refresh", &format!("r{index}"));
            refresh.service_time = Some(Duration::from_millis(20));
            refresh.deadline = Some(LONG_DEADLINE);
            refresh.chained_calls = 6;
            let entry = deployment.hosts[index % 2].addresses.public;
            thread::spawn(move || caller::call_blocking(entry, &refresh))
        })
        .collect();
    for (index, caller) in callers.into_iter().enumerate() {
        let result = caller.join().expect("caller must not panic");
        assert!(
            matches!(result.outcome, Outcome::Answered { .. }),
            "call {index}: {result:?}"
        );
        assert_eq!(run_count(&deployment, &format!("r{index}")), 7);
    }
}

#[test]
fn concurrent_applies_have_one_winner_and_a_lost_response_is_recovered() {
    let deployment = Deployment::start(&two_service_plan(1, 0)).expect("deployment must start");
    let base_version = support::active_version(&deployment, "board");
    let file = write_example_with_owed_ms(&deployment, "board", 700);
    let lose_one = platform::Faults {
        lose_answers: 1,
        ..platform::Faults::default()
    };
    deployment
        .set_platform_faults(lose_one)
        .expect("platform must reply");
    let applied = deployment
        .apply_document(&file, base_version)
        .expect("a write whose response was lost must be recognized as applied");
    assert!(
        applied.contains("service `board` is at version"),
        "{applied}"
    );

    let second = deployment.apply_document(
        &write_example_with_owed_ms(&deployment, "board", 800),
        base_version,
    );
    let text = second
        .expect_err("the second apply must be refused")
        .to_string();
    let expected = format!("the change is based on version {base_version}");
    assert!(
        text.contains("is at version") && text.contains(&expected),
        "{text}"
    );

    support::wait_for_version_after(&deployment, "board", base_version);
}

#[test]
fn rejected_document_leaves_the_previous_one_active() {
    let deployment = Deployment::start(&two_service_plan(1, 0)).expect("deployment must start");
    let before = daemon_status(&deployment, 0)["documents"].clone();
    support::write_unchecked(&deployment, "board", "service: board\nroutes: []\n");
    deployment
        .wait_for_status("the rejection", |status| {
            status["rejected"][0]["service"] == "board"
        })
        .expect("all daemons must report the rejection");
    assert_eq!(daemon_status(&deployment, 0)["documents"], before);
    assert_eq!(daemon_status(&deployment, 1)["documents"], before);
    support::wait_until("the audit trail shows the rejection", || {
        support::audit_trail(&deployment, "board").contains("rejected version")
    });
}

/// Guards against 404 from a daemon that restarts beside a rejected document: it has no version of
/// it and knows no routes of the service, which other daemons serve by the version before.
#[test]
fn a_daemon_without_a_usable_document_does_not_deny_the_routes_of_its_service() {
    let mut deployment = Deployment::start(&two_service_plan(1, 0)).expect("deployment must start");
    support::write_unchecked(&deployment, "board", "service: board\nroutes: []\n");
    deployment
        .wait_for_status("the rejection", |status| {
            status["rejected"][0]["service"] == "board"
        })
        .expect("all daemons must report the rejection");
    let host = &mut deployment.hosts[1];
    let mut daemon = host.daemon.take().expect("daemon must be running");
    daemon.kill().expect("daemon must be killed");
    host.restart_daemon().expect("daemon must restart");
    support::wait_until("the daemon knows the documents", || {
        let status = daemon_status(&deployment, 1);
        status["documents_confirmed"] == true && status["rejected"][0]["service"] == "board"
    });
    let status = |host: usize, path: &str| {
        let address = deployment.hosts[host].addresses.public;
        caller::call_blocking(address, &Call::new("GET", path, "r1")).status
    };
    assert_eq!(status(0, "/board/refresh"), 200);
    assert_eq!(status(1, "/board/refresh"), 503);
    assert_eq!(status(1, "/boards/refresh"), 404);
}

#[test]
fn audit_trail_shows_author_and_versions() {
    let deployment = Deployment::start(&two_service_plan(1, 0)).expect("deployment must start");
    let trail = support::audit_trail(&deployment, "board");
    assert!(
        trail.contains("services/board apply by demo: version 0 to "),
        "{trail}"
    );
}

#[test]
fn service_missing_from_internal_callers_is_not_admitted() {
    let deployment = Deployment::start(&two_service_plan(1, 0)).expect("deployment must start");
    let with_callers = "service: board\ninternal_callers: [assignment]";
    support::apply_edited(&deployment, "board", "service: board", with_callers);
    let refresh = Call::new("GET", "/board/refresh", "r1");
    // The target of host 0 runs `board`, that of host 1 `assignment`.
    let from_board = caller::call_blocking(deployment.hosts[0].addresses.internal, &refresh);
    assert_eq!(from_board.status, 403, "{from_board:?}");
    let from_assignment = caller::call_blocking(deployment.hosts[1].addresses.internal, &refresh);
    assert!(
        matches!(from_assignment.outcome, Outcome::Answered { .. }),
        "{from_assignment:?}"
    );
}
