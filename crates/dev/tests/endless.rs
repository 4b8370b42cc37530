//! Answers without end take a bounded amount of a daemon's memory and of its time.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use pollenrouter_dev::deployment::Deployment;
use pollenrouter_dev::faulty::{self, Fault};

/// Number of answers without end at a time.
const ANSWERS: usize = 64;
/// More slots than answers, since a gate leaves some of them free.
const SLOTS: usize = 2 * ANSWERS;
/// Allowed growth of the daemon's peak resident memory.
const MEMORY_GROWTH_MAX_KIB: u64 = 32 << 10;

struct Case {
    name: &'static str,
    /// Faults that the target plays in turn.
    faults: &'static [Fault],
}

const CASES: [Case; 6] = [
    Case {
        name: "all faults",
        faults: &Fault::ENDLESS,
    },
    Case {
        name: "a body",
        faults: &[Fault::EndlessBody],
    },
    Case {
        name: "chunks of one byte",
        faults: &[Fault::EndlessTinyChunks],
    },
    Case {
        name: "a head",
        faults: &[Fault::EndlessHead],
    },
    Case {
        name: "trailers",
        faults: &[Fault::EndlessTrailers],
    },
    Case {
        name: "a length with nothing behind it",
        faults: &[Fault::MissingBody],
    },
];

/// Peak resident memory of the daemon of host 0.
fn peak_kib(deployment: &Deployment) -> u64 {
    support::memory_kib(deployment, 0, "VmHWM:")
}

/// Sends a call with a deadline and returns the status and body of the response.
fn call(public: SocketAddr, path: &str) -> (u16, String) {
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    let agent: ureq::Agent = config.build().into();
    let request = agent
        .get(format!("http://{public}{path}"))
        .header("pollenrouter-deadline-ms", "1500");
    let mut response = request.call().expect("daemon must respond");
    let status = response.status().as_u16();
    let body = response.body_mut().read_to_string();
    (status, body.expect("body must be complete"))
}

#[test]
fn answers_without_end_are_bounded() {
    let plan = support::two_service_plan(1, 0);
    for case in CASES {
        let deployment = Deployment::start(&plan).expect("deployment must start");
        let from = "answer_bytes: 262144";
        support::apply_edited(&deployment, "board", from, "answer_bytes: 16777216");
        let public = deployment.hosts[0].addresses.public;
        assert_eq!(call(public, "/board/refresh").0, 200);
        let faults = case.faults;
        let choose = move |connection: usize, _: &str| faults[connection % faults.len()];
        let target = faulty::start(Arc::new(choose)).expect("target must start");
        support::replace_target(&deployment, 0, "board", target.address, SLOTS);
        let before = peak_kib(&deployment);

        let callers: Vec<_> = (0..ANSWERS)
            .map(|_| thread::spawn(move || call(public, "/board/refresh")))
            .collect();
        // The daemon goes on with other work.
        thread::sleep(Duration::from_millis(300));
        assert_eq!(call(public, "/nowhere").0, 404, "{}", case.name);
        for caller in callers {
            let (status, body) = caller.join().expect("caller must end");
            assert!([502, 503, 504].contains(&status), "{}: {status}", case.name);
            assert!(body.contains("outcome"), "{}: {body}", case.name);
        }
        let requests = target
            .seen
            .try_iter()
            .filter(|seen| matches!(seen, faulty::Seen::Request(..)))
            .count();
        assert!(requests >= ANSWERS, "{}: {requests} answers", case.name);
        let grown = peak_kib(&deployment) - before;
        eprintln!("{}: peak memory grew by {grown} KiB", case.name);
        assert!(
            grown < MEMORY_GROWTH_MAX_KIB,
            "{}: peak memory grew by {grown} KiB",
            case.name
        );
    }
}
