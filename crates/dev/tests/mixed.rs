//! Many failures together under load, with callers that send again.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use pollenrouter_dev::caller::{self, Call, Told};
use pollenrouter_dev::deployment::Deployment;
use pollenrouter_dev::judge::{self, Made};
use pollenrouter_dev::{ledger, platform};
use rustix::process::Signal;

const CALLERS: usize = 6;
const PAUSE: Duration = Duration::from_millis(700);
const DEADLINE: Duration = Duration::from_millis(900);
const TRIES: usize = 3;

/// One caller: presses, and sends again with its ticket while it is unknown
/// whether the press ran.
fn press_on(
    nth: usize,
    entries: &Mutex<Vec<std::net::SocketAddr>>,
    over: &AtomicBool,
) -> Vec<Made> {
    let mut made = Vec::new();
    let mut press = 0;
    while !over.load(Ordering::Relaxed) {
        press += 1;
        let mut call = Call::plain("POST", "/assignment/assign", &format!("c{nth}-{press}"));
        call.work = Some(Duration::from_millis(20));
        call.deadline = Some(DEADLINE);
        for attempt in 0..TRIES {
            let entry = {
                let entries = entries.lock().expect("test must not panic");
                entries[(nth + press + attempt) % entries.len()]
            };
            let ended = caller::call_once(entry, &call);
            call.ticket = ended.ticket.clone().or(call.ticket);
            let is_unknown = matches!(ended.told, Told::Unknown(_));
            made.push(Made {
                request: call.request.clone(),
                service: "assignment".into(),
                once: true,
                ended,
            });
            // Without a ticket a caller must not send again.
            if !is_unknown || call.ticket.is_none() {
                break;
            }
        }
    }
    made
}

fn trouble(deployment: &mut Deployment, entries: &Mutex<Vec<std::net::SocketAddr>>) {
    let down = platform::Faults {
        down: true,
        ..platform::Faults::default()
    };
    let losing = platform::Faults {
        lose_answers: 2,
        slow_ms: 50,
        ..platform::Faults::default()
    };
    thread::sleep(PAUSE);
    signal(deployment, 4, Signal::STOP);
    thread::sleep(PAUSE);
    deployment
        .platform_faults(down)
        .expect("platform must reply");
    signal(deployment, 4, Signal::CONT);
    let target = deployment.hosts[5]
        .target
        .as_ref()
        .expect("target must run");
    target.signal(Signal::STOP).expect("target must freeze");
    thread::sleep(PAUSE);
    target.signal(Signal::CONT).expect("target must resume");
    let mut killed = deployment.hosts[6].daemon.take().expect("daemon must run");
    killed.kill().expect("daemon must end");
    thread::sleep(PAUSE);
    deployment
        .platform_faults(losing)
        .expect("platform must reply");
    deployment.hosts[6]
        .restart_daemon()
        .expect("daemon must restart");
    let address = deployment.hosts[6].addresses.public;
    entries.lock().expect("test must not panic")[2] = address;
    thread::sleep(PAUSE);
    let stopped = deployment.hosts[7].daemon.take().expect("daemon must run");
    signal(deployment, 4, Signal::STOP);
    stopped.stop().expect("daemon must stop cleanly");
    signal(deployment, 4, Signal::CONT);
    thread::sleep(PAUSE);
}

fn signal(deployment: &Deployment, host: usize, signal: Signal) {
    let daemon = deployment.hosts[host]
        .daemon
        .as_ref()
        .expect("daemon must run");
    daemon.signal(signal).expect("daemon must be there");
}

#[test]
fn no_promise_breaks_under_many_failures_at_once() {
    let mut deployment = Deployment::start(&support::plan(4, 5000)).expect("deployment must start");
    let entries: Vec<_> = deployment.hosts[4..]
        .iter()
        .map(|host| host.addresses.public)
        .collect();
    let entries = Arc::new(Mutex::new(entries));
    let over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|nth| {
            let (entries, over) = (entries.clone(), over.clone());
            thread::spawn(move || press_on(nth, &entries, &over))
        })
        .collect();
    trouble(&mut deployment, &entries);
    over.store(true, Ordering::Relaxed);
    let made: Vec<Made> = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("caller must end"))
        .collect();
    let ledgers = deployment.hosts.iter().map(|host| host.ledger.as_path());
    let runs = ledger::runs(ledgers).expect("ledgers must be readable");
    let verdict = judge::judge(&made, &runs);
    println!("{verdict:?}");
    for call in made.iter().filter(|made| runs.contains_key(&made.request)) {
        if matches!(call.ended.told, Told::NotRun(_)) {
            println!("{call:?}");
        }
    }
    assert!(verdict.answered > 0, "{verdict:?}");
    assert_eq!(verdict.wrong, 0, "{verdict:?}");
    assert_eq!(verdict.run_twice, 0, "{verdict:?}");
    assert_eq!(verdict.not_run_yet_run, 0, "{verdict:?}");
}
