//! Failures of real processes, judged by the targets' ledgers.

mod support;

use std::thread;
use std::time::Duration;

use pollenrouter_dev::caller::{self, Call, Told};
use pollenrouter_dev::deployment::Deployment;
use pollenrouter_dev::{platform, target};
use rustix::process::Signal;
use support::{document, plan, runs, status};

const WORK: Duration = Duration::from_millis(600);
/// Far more than any of these calls takes, so that a busy machine changes nothing.
const AMPLE: Duration = Duration::from_secs(30);
/// For calls that end at their deadline.
const SHORT: Duration = Duration::from_secs(3);

/// Starts a call in the background and waits until its target runs it.
fn under_way(
    deployment: &Deployment,
    entry: usize,
    call: &Call,
) -> thread::JoinHandle<caller::Ended> {
    let (address, call) = (deployment.hosts[entry].addresses.public, call.clone());
    let request = call.request.clone();
    let calling = thread::spawn(move || caller::call_once(address, &call));
    support::until("the call runs", || runs(deployment, &request) > 0);
    calling
}

/// The only target of `assignment` stands on host 1; host 0 is another entry.
fn assign(deployment: &Deployment, request: &str) -> Call {
    let mut call = Call::plain("POST", "/assignment/assign", request);
    call.work = Some(WORK);
    call.deadline = Some(AMPLE);
    call.ticket = Some(support::ticket(deployment, 0, "assignment"));
    call
}

#[test]
fn a_killed_gate_leaves_a_call_unknown_and_it_never_runs_again() {
    let mut deployment = Deployment::start(&plan(1, 0)).expect("deployment must start");
    let mut call = assign(&deployment, "r1");
    call.deadline = Some(SHORT);
    let calling = under_way(&deployment, 0, &call);
    let mut gate = deployment.hosts[1].daemon.take().expect("daemon must run");
    gate.kill().expect("daemon must end");
    let ended = calling.join().expect("caller must end");
    assert!(matches!(ended.told, Told::Unknown(_)), "{ended:?}");

    deployment.hosts[1]
        .restart_daemon()
        .expect("daemon must restart");
    deployment
        .wait_ready(2, 2)
        .expect("deployment must be ready");
    let again = caller::call_once(deployment.hosts[0].addresses.public, &call);
    assert!(matches!(again.told, Told::Unknown(_)), "{again:?}");
    assert_eq!(runs(&deployment, "r1"), 1);
}

#[test]
fn a_killed_entry_loses_nothing_that_its_caller_can_not_ask_for_again() {
    let mut deployment = Deployment::start(&plan(1, 0)).expect("deployment must start");
    let call = assign(&deployment, "r1");
    let calling = under_way(&deployment, 0, &call);
    let mut entry = deployment.hosts[0].daemon.take().expect("daemon must run");
    entry.kill().expect("daemon must end");
    let ended = calling.join().expect("caller must end");
    assert!(matches!(ended.told, Told::Unknown(_)), "{ended:?}");

    let again = caller::call_once(deployment.hosts[1].addresses.public, &call);
    assert!(matches!(again.told, Told::Answered { .. }), "{again:?}");
    assert_eq!(runs(&deployment, "r1"), 1);
}

#[test]
fn a_frozen_gate_that_resumes_gives_the_answer_of_the_one_run() {
    let deployment = Deployment::start(&plan(1, 0)).expect("deployment must start");
    let call = assign(&deployment, "r1");
    let calling = under_way(&deployment, 0, &call);
    let gate = deployment.hosts[1]
        .daemon
        .as_ref()
        .expect("daemon must run");
    gate.signal(Signal::STOP).expect("daemon must freeze");
    // Longer than it takes to find the connection silent.
    thread::sleep(Duration::from_secs(1));
    gate.signal(Signal::CONT).expect("daemon must resume");
    let ended = calling.join().expect("caller must end");
    assert!(matches!(ended.told, Told::Answered { .. }), "{ended:?}");
    assert_eq!(runs(&deployment, "r1"), 1);
}

#[test]
fn a_gate_frozen_past_the_deadline_never_starts_what_waits() {
    let deployment = Deployment::start(&plan(1, 0)).expect("deployment must start");
    let gate = deployment.hosts[1]
        .daemon
        .as_ref()
        .expect("daemon must run");
    let mut call = assign(&deployment, "r1");
    call.deadline = Some(Duration::from_millis(500));
    gate.signal(Signal::STOP).expect("daemon must freeze");
    let ended = caller::call_once(deployment.hosts[0].addresses.public, &call);
    gate.signal(Signal::CONT).expect("daemon must resume");
    assert!(matches!(ended.told, Told::Unknown(_)), "{ended:?}");
    // A later call that is answered shows that the gate works again.
    let later = assign(&deployment, "r2");
    support::until("the gate answers", || {
        let ended = caller::call_once(deployment.hosts[0].addresses.public, &later);
        matches!(ended.told, Told::Answered { .. })
    });
    assert_eq!(runs(&deployment, "r1"), 0);
}

#[test]
fn a_frozen_target_that_resumes_runs_a_call_once() {
    let deployment = Deployment::start(&plan(1, 0)).expect("deployment must start");
    let target = deployment.hosts[1]
        .target
        .as_ref()
        .expect("target must run");
    let call = assign(&deployment, "r1");
    let calling = under_way(&deployment, 0, &call);
    target.signal(Signal::STOP).expect("target must freeze");
    let again = caller::call_once(deployment.hosts[1].addresses.public, &{
        let mut again = call.clone();
        again.deadline = Some(Duration::from_millis(300));
        again
    });
    assert!(matches!(again.told, Told::Unknown(_)), "{again:?}");
    target.signal(Signal::CONT).expect("target must resume");
    let ended = calling.join().expect("caller must end");
    assert!(matches!(ended.told, Told::Answered { .. }), "{ended:?}");
    assert_eq!(runs(&deployment, "r1"), 1);
}

#[test]
fn a_planned_stop_of_gate_or_entry_cuts_nothing_off() {
    for stopped in [1, 0] {
        let mut deployment = Deployment::start(&plan(1, 0)).expect("deployment must start");
        let call = assign(&deployment, "r1");
        let calling = under_way(&deployment, 0, &call);
        let daemon = deployment.hosts[stopped]
            .daemon
            .take()
            .expect("daemon must run");
        daemon.stop().expect("daemon must stop cleanly");
        let ended = calling.join().expect("caller must end");
        assert!(
            matches!(ended.told, Told::Answered { .. }),
            "{stopped}: {ended:?}"
        );
        assert_eq!(runs(&deployment, "r1"), 1);
    }
}

#[test]
fn a_caller_that_leaves_cancels_only_what_may_be_cancelled() {
    let deployment = Deployment::start(&plan(1, 0)).expect("deployment must start");
    let mut list = Call::plain("GET", "/board/refresh", "r1");
    list.work = Some(Duration::from_mins(1));
    support::begin_and_leave(deployment.hosts[0].addresses.public, &list);
    support::until("the run is cancelled", || {
        support::cancelled(&deployment, "r1")
    });

    let press = assign(&deployment, "r2");
    support::begin_and_leave(deployment.hosts[0].addresses.public, &press);
    support::until("the press runs", || runs(&deployment, "r2") == 1);
    let again = caller::call_once(deployment.hosts[1].addresses.public, &press);
    assert!(matches!(again.told, Told::Answered { .. }), "{again:?}");
    assert_eq!(runs(&deployment, "r2"), 1);
}

#[test]
fn without_the_platform_running_daemons_serve_and_a_fresh_one_refuses() {
    let mut deployment = Deployment::start(&plan(1, 0)).expect("deployment must start");
    let ticket = support::ticket(&deployment, 1, "assignment");
    let down = platform::Faults {
        down: true,
        ..platform::Faults::default()
    };
    deployment
        .platform_faults(down)
        .expect("platform must reply");
    let ended = caller::call_once(
        deployment.hosts[0].addresses.public,
        &Call::plain("GET", "/board/refresh", "r1"),
    );
    assert!(matches!(ended.told, Told::Answered { .. }), "{ended:?}");

    let mut daemon = deployment.hosts[0].daemon.take().expect("daemon must run");
    daemon.kill().expect("daemon must end");
    deployment.hosts[0]
        .restart_daemon()
        .expect("daemon must restart");
    let list = Call::plain("GET", "/board/refresh", "r2");
    let ended = caller::call_once(deployment.hosts[0].addresses.public, &list);
    let expected = Told::NotRun("the daemon has not read the documents yet".into());
    assert_eq!((ended.told, ended.status), (expected, 503));

    // A resend with a ticket may have run before, whatever this daemon knows.
    let mut again = Call::plain("POST", "/assignment/assign", "r3");
    again.ticket = Some(ticket);
    let ended = caller::call_once(deployment.hosts[0].addresses.public, &again);
    assert!(matches!(ended.told, Told::Unknown(_)), "{ended:?}");

    let up = platform::Faults::default();
    deployment.platform_faults(up).expect("platform must reply");
    deployment
        .wait_ready(2, 2)
        .expect("deployment must be ready");
    let ended = caller::call_once(deployment.hosts[0].addresses.public, &list);
    assert!(matches!(ended.told, Told::Answered { .. }), "{ended:?}");
}

#[test]
fn a_leaving_target_gets_no_new_work_though_the_platform_is_out() {
    let deployment = Deployment::start(&plan(1, 0)).expect("deployment must start");
    let down = platform::Faults {
        down: true,
        ..platform::Faults::default()
    };
    deployment
        .platform_faults(down)
        .expect("platform must reply");
    let leaving = target::Control {
        draining: true,
        ..target::Control::default()
    };
    deployment.hosts[0]
        .control(&leaving)
        .expect("target must reply");
    support::until("the gate knows", || {
        status(&deployment, 0)["own"]["load"]["leaving"] == true
    });
    for (host, request) in deployment.hosts.iter().zip(["r1", "r2"]) {
        let list = Call::plain("GET", "/board/refresh", request);
        let ended = caller::call_once(host.addresses.public, &list);
        assert!(matches!(ended.told, Told::NotRun(_)), "{ended:?}");
        assert_eq!(runs(&deployment, request), 0);
    }
}

#[test]
fn chains_of_seven_calls_into_one_service_all_end() {
    let mut plan = plan(2, 0);
    plan.services.retain(|service| service.name == "board");
    let deployment = Deployment::start(&plan).expect("deployment must start");
    support::apply_edited(&deployment, "board", "depth_levels: 1", "depth_levels: 7");
    let callers: Vec<_> = (0..24)
        .map(|nth| {
            let mut list = Call::plain("GET", "/board/refresh", &format!("r{nth}"));
            list.work = Some(Duration::from_millis(20));
            list.deadline = Some(AMPLE);
            list.chain = 6;
            let entry = deployment.hosts[nth % 2].addresses.public;
            thread::spawn(move || caller::call_once(entry, &list))
        })
        .collect();
    for (nth, caller) in callers.into_iter().enumerate() {
        let ended = caller.join().expect("caller must end");
        assert!(
            matches!(ended.told, Told::Answered { .. }),
            "{nth}: {ended:?}"
        );
        assert_eq!(runs(&deployment, &format!("r{nth}")), 7);
    }
}

#[test]
fn racing_operators_get_one_winner_and_a_lost_answer_is_known_again() {
    let deployment = Deployment::start(&plan(1, 0)).expect("deployment must start");
    let read_at = support::version(&deployment, "board");
    let file = document(&deployment, "board", 700);
    let lose = platform::Faults {
        lose_answers: 1,
        ..platform::Faults::default()
    };
    deployment
        .platform_faults(lose)
        .expect("platform must reply");
    let won = deployment
        .apply(&file, read_at)
        .expect("the lost answer must be known again");
    assert!(won.contains("service `board` is at version"), "{won}");

    let second = deployment.apply(&document(&deployment, "board", 800), read_at);
    let text = second
        .expect_err("the second operator must lose")
        .to_string();
    let named = format!("the change is based on version {read_at}");
    assert!(
        text.contains("is at version") && text.contains(&named),
        "{text}"
    );

    support::in_force_after(&deployment, "board", read_at);
}

#[test]
fn a_document_that_is_rejected_leaves_the_one_before_in_force() {
    let deployment = Deployment::start(&plan(1, 0)).expect("deployment must start");
    let before = status(&deployment, 0)["documents"].clone();
    support::write_unchecked(&deployment, "board", "service: board\nroutes: []\n");
    deployment
        .wait("the rejection", |status| {
            status["rejected"][0]["service"] == "board"
        })
        .expect("the rejection must be seen everywhere");
    assert_eq!(status(&deployment, 0)["documents"], before);
    assert_eq!(status(&deployment, 1)["documents"], before);
    support::until("the audit trail names the rejection", || {
        support::audit(&deployment, "board").contains("rejected version")
    });
}

#[test]
fn the_audit_trail_names_author_and_versions() {
    let deployment = Deployment::start(&plan(1, 0)).expect("deployment must start");
    let trail = support::audit(&deployment, "board");
    assert!(
        trail.contains("services/board apply by demo: version 0 to "),
        "{trail}"
    );
}

#[test]
fn a_service_that_a_document_does_not_name_is_not_admitted() {
    let deployment = Deployment::start(&plan(1, 0)).expect("deployment must start");
    let named = "service: board\ninternal_callers: [assignment]";
    support::apply_edited(&deployment, "board", "service: board", named);
    let list = Call::plain("GET", "/board/refresh", "r1");
    // Host 0 is beside the board itself, host 1 beside the assignment.
    let from_board = caller::call_once(deployment.hosts[0].addresses.internal, &list);
    assert_eq!(from_board.status, 403, "{from_board:?}");
    let from_assignment = caller::call_once(deployment.hosts[1].addresses.internal, &list);
    assert!(
        matches!(from_assignment.told, Told::Answered { .. }),
        "{from_assignment:?}"
    );
}
