//! Several failures at the same time under load, with callers that retry.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use pollenrouter_dev::caller::{self, Call, Outcome};
use pollenrouter_dev::deployment::Deployment;
use pollenrouter_dev::verify::{self, CallRecord};
use pollenrouter_dev::{ledger, platform};
use rustix::process::Signal;

const CALLERS: usize = 6;
const FAULT_INTERVAL: Duration = Duration::from_millis(700);
const DEADLINE: Duration = Duration::from_millis(900);
const ATTEMPTS_MAX: usize = 3;

/// One caller: makes assignments one after another, and retries with the ticket of the
/// call while the outcome is unknown.
fn assign_repeatedly(
    index: usize,
    entries: &Mutex<Vec<std::net::SocketAddr>>,
    stop: &AtomicBool,
) -> Vec<CallRecord> {
    let mut records = Vec::new();
    let mut assignment = 0;
    while !stop.load(Ordering::Relaxed) {
        assignment += 1;
        let mut call = Call::new(
            "POST",
            "/assignment/assign",
            &format!("c{index}-{assignment}"),
        );
        call.service_time = Some(Duration::from_millis(20));
        call.deadline = Some(DEADLINE);
        for attempt in 0..ATTEMPTS_MAX {
            let entry = {
                let entries = entries.lock().expect("lock must not be poisoned");
                entries[(index + assignment + attempt) % entries.len()]
            };
            let result = caller::call_blocking(entry, &call);
            call.ticket = result.ticket.clone().or(call.ticket);
            let is_unknown = matches!(result.outcome, Outcome::Unknown(_));
            records.push(CallRecord {
                request_id: call.request_id.clone(),
                service: "assignment".into(),
                at_most_once: true,
                result,
            });
            // Without a ticket a caller must not retry: the call could run twice.
            if !is_unknown || call.ticket.is_none() {
                break;
            }
        }
    }
    records
}

/// Suspends, kills and stops processes while the callers run, some of them during faults
/// of the platform.
fn inject_faults(deployment: &mut Deployment, entries: &Mutex<Vec<std::net::SocketAddr>>) {
    let down = platform::Faults {
        down: true,
        ..platform::Faults::default()
    };
    let lossy = platform::Faults {
        lose_answers: 2,
        slow_ms: 50,
        ..platform::Faults::default()
    };
    thread::sleep(FAULT_INTERVAL);
    signal_daemon(deployment, 4, Signal::STOP);
    thread::sleep(FAULT_INTERVAL);
    deployment
        .set_platform_faults(down)
        .expect("platform must reply");
    signal_daemon(deployment, 4, Signal::CONT);
    let target = deployment.hosts[5]
        .target
        .as_ref()
        .expect("target must be running");
    target
        .signal(Signal::STOP)
        .expect("target must be suspended");
    thread::sleep(FAULT_INTERVAL);
    target.signal(Signal::CONT).expect("target must resume");
    let mut killed = deployment.hosts[6]
        .daemon
        .take()
        .expect("daemon must be running");
    killed.kill().expect("daemon must be killed");
    thread::sleep(FAULT_INTERVAL);
    deployment
        .set_platform_faults(lossy)
        .expect("platform must reply");
    deployment.hosts[6]
        .restart_daemon()
        .expect("daemon must restart");
    let address = deployment.hosts[6].addresses.public;
    entries.lock().expect("lock must not be poisoned")[2] = address;
    thread::sleep(FAULT_INTERVAL);
    let stopped = deployment.hosts[7]
        .daemon
        .take()
        .expect("daemon must be running");
    signal_daemon(deployment, 4, Signal::STOP);
    stopped.stop().expect("daemon must stop cleanly");
    signal_daemon(deployment, 4, Signal::CONT);
    thread::sleep(FAULT_INTERVAL);
}

fn signal_daemon(deployment: &Deployment, host: usize, signal: Signal) {
    let daemon = deployment.hosts[host]
        .daemon
        .as_ref()
        .expect("daemon must be running");
    daemon.signal(signal).expect("daemon must be running");
}

#[test]
fn guarantees_hold_under_several_failures_at_once() {
    let mut deployment =
        Deployment::start(&support::two_service_plan(4, 5000)).expect("deployment must start");
    let entries: Vec<_> = deployment.hosts[4..]
        .iter()
        .map(|host| host.addresses.public)
        .collect();
    let entries = Arc::new(Mutex::new(entries));
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let (entries, stop) = (entries.clone(), stop.clone());
            thread::spawn(move || assign_repeatedly(index, &entries, &stop))
        })
        .collect();
    inject_faults(&mut deployment, &entries);
    stop.store(true, Ordering::Relaxed);
    let records: Vec<CallRecord> = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("caller must not panic"))
        .collect();
    let ledgers = deployment.hosts.iter().map(|host| host.ledger.as_path());
    let runs = ledger::count_runs(ledgers).expect("ledgers must be readable");
    let summary = verify::summarize(&records, &runs);
    println!("{summary:?}");
    for record in records
        .iter()
        .filter(|record| runs.contains_key(&record.request_id))
    {
        if matches!(record.result.outcome, Outcome::NotRun(_)) {
            println!("{record:?}");
        }
    }
    assert!(summary.answered > 0, "{summary:?}");
    assert_eq!(summary.wrong, 0, "{summary:?}");
    assert_eq!(summary.run_twice, 0, "{summary:?}");
    assert_eq!(summary.refused_but_run, 0, "{summary:?}");
}
