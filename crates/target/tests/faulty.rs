//! Calls to a target that breaks the protocol end as lost, in time, and do no harm to others.

use std::collections::HashMap;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use pollenrouter_core::call::Refusal;
use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::{gate, http_message, id};
use pollenrouter_dev::faulty::{self, Fault, Form, Seen, Target};
use pollenrouter_http::{clock, convention};
use pollenrouter_target::message::{Command, Event, OutboundCall};
use pollenrouter_target::sender;
use rstest::rstest;
use tokio::{runtime, task, time};

/// Far longer than anything that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(30);
const DEADLINE: Duration = Duration::from_millis(300);
const ANSWER_WAIT: Duration = Duration::from_millis(50);
const ANSWER_MAX_BYTES: u64 = 16 << 20;

/// Sends commands to a target from a thread of its own.
struct Client {
    commands: tokio::sync::mpsc::UnboundedSender<Command>,
    events: mpsc::Receiver<Event>,
    next_seq: u64,
    deadline: Duration,
}

impl Client {
    fn start(target: &Target) -> Self {
        Self::start_with_clock(target.address, clock::boot_time)
    }

    fn start_with_clock(address: SocketAddr, clock: clock::Clock) -> Self {
        let (commands, mut received) = tokio::sync::mpsc::unbounded_channel::<Command>();
        let (tx, events) = mpsc::channel();
        thread::spawn(move || {
            let runtime = runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("runtime must start");
            let sink: sender::Sink = Rc::new(move |event| {
                // The test may have ended.
                let _ = tx.send(event);
                Ok(())
            });
            task::LocalSet::new().block_on(&runtime, async move {
                let sender = sender::Sender::new(convention::OWN, clock, ANSWER_WAIT, sink);
                while let Some(command) = received.recv().await {
                    sender.execute(command);
                }
                // Lets the commands end.
                time::sleep(DEADLINE + ANSWER_WAIT).await;
            });
        });
        let client = Self {
            commands,
            events,
            next_seq: 0,
            deadline: DEADLINE,
        };
        client.execute(Command::SetAddress(address));
        client
    }

    fn execute(&self, command: Command) {
        self.commands.send(command).expect("client must run");
    }

    fn send(&mut self, path: &str) -> id::CallId {
        self.next_seq += 1;
        let id = id::CallId {
            entry: 1,
            seq: self.next_seq,
            nonce: 7,
        };
        self.execute(Command::Send(OutboundCall {
            id,
            head: http_message::RequestHead {
                method: "GET".into(),
                host: None,
                path: path.into(),
                headers: Vec::new(),
            },
            body: Bytes::new(),
            fingerprint: 1,
            target: TargetIncarnation::default(),
            at_most_once: false,
            deadline: clock::boot_time() + self.deadline,
            depth: 0,
            answer_max_bytes: ANSWER_MAX_BYTES,
        }));
        id
    }

    fn event(&self) -> Event {
        self.events
            .recv_timeout(TIMEOUT)
            .expect("client must report an event")
    }

    /// The outcome of the next call that ends.
    fn finished(&self) -> (id::CallId, gate::Outcome) {
        loop {
            if let Event::CallFinished(id, outcome, _) = self.event() {
                return (id, outcome);
            }
        }
    }

    /// Sends a call and returns its outcome.
    fn call(&mut self, path: &str) -> gate::Outcome {
        let sent = self.send(path);
        let (id, outcome) = self.finished();
        assert_eq!(id, sent);
        outcome
    }
}

fn is_answered(outcome: &gate::Outcome) -> bool {
    matches!(outcome, gate::Outcome::Answered { failed: false, .. })
}

/// A target that plays a fault for each path `/fault`, and answers others.
fn target(fault: Fault) -> Target {
    let choose = move |_: usize, head: &str| {
        if head.starts_with("GET /fault") {
            fault
        } else {
            Fault::None
        }
    };
    faulty::start(Arc::new(choose)).expect("target must start")
}

/// Waits until the target has seen the end of a connection; returns the connections of all
/// requests until then by path.
fn wait_for_close(target: &Target, connection: usize) {
    loop {
        let seen = target.seen.recv_timeout(TIMEOUT);
        if seen.expect("connection must be closed") == Seen::Closed(connection) {
            return;
        }
    }
}

/// The connection of the next request for `path`.
fn connection_of(target: &Target, path: &str) -> usize {
    loop {
        let seen = target.seen.recv_timeout(TIMEOUT);
        if let Seen::Request(connection, head) = seen.expect("request must arrive")
            && head.contains(&format!(" {path} "))
        {
            return connection;
        }
    }
}

/// The head of the next request for `path`.
fn head_of(target: &Target, path: &str) -> String {
    loop {
        let seen = target.seen.recv_timeout(TIMEOUT);
        if let Seen::Request(_, head) = seen.expect("request must arrive")
            && head.contains(&format!(" {path} "))
        {
            return head;
        }
    }
}

#[test]
fn a_call_without_an_answer_is_lost_and_its_connection_closed() {
    for fault in Fault::ENDLESS.into_iter().chain(Fault::SILENT) {
        let target = target(fault);
        let mut client = Client::start(&target);
        // The fault comes on a connection that was in use before.
        assert!(is_answered(&client.call("/good")), "{fault:?}");
        let outcome = client.call("/fault");
        assert_eq!(outcome, gate::Outcome::Lost, "{fault:?}");
        let connection = connection_of(&target, "/fault");
        assert_eq!(connection, 0, "{fault:?}");
        wait_for_close(&target, connection);
        assert!(is_answered(&client.call("/good")), "{fault:?}");
        assert_ne!(connection_of(&target, "/good"), connection, "{fault:?}");
    }
}

#[test]
fn calls_on_other_connections_are_not_affected() {
    for fault in Fault::ENDLESS.into_iter().chain(Fault::SILENT) {
        let target = target(fault);
        let mut client = Client::start(&target);
        let good = client.send("/good");
        let bad: Vec<_> = (0..8).map(|_| client.send("/fault")).collect();
        let other = client.send("/good");
        let finished: HashMap<_, _> = (0..10).map(|_| client.finished()).collect();
        for id in [good, other] {
            assert!(is_answered(&finished[&id]), "{fault:?}");
        }
        for id in bad {
            assert_eq!(finished[&id], gate::Outcome::Lost, "{fault:?}");
        }
    }
}

/// The head and the body of an answer share one deadline.
#[test]
fn a_slow_body_does_not_extend_the_deadline() {
    let deadline_ms = u64::try_from((DEADLINE + ANSWER_WAIT).as_millis());
    let part_ms = deadline_ms.expect("deadline must be short") * 3 / 4;
    let target = target(Fault::SlowParts(part_ms));
    let mut client = Client::start(&target);
    assert_eq!(client.call("/fault"), gate::Outcome::Lost);
}

#[test]
fn a_body_that_breaks_off_is_no_answer() {
    let target = target(Fault::HalfBody);
    let mut client = Client::start(&target);
    assert_eq!(client.call("/fault"), gate::Outcome::Lost);
}

/// A long answer arrives while others of its size stall.
#[test]
fn a_long_answer_does_not_wait_for_stalled_ones() {
    const STALLED: usize = 7;
    let choose = |_: usize, head: &str| {
        if head.starts_with("GET /fault") {
            Fault::StalledLongBody
        } else {
            Fault::LongBody
        }
    };
    let target = faulty::start(Arc::new(choose)).expect("target must start");
    let mut client = Client::start(&target);
    client.deadline = TIMEOUT;
    for _ in 0..STALLED {
        client.send("/fault");
        connection_of(&target, "/fault");
    }
    // Lets the stalled answers arrive.
    thread::sleep(DEADLINE);
    assert!(is_answered(&client.call("/good")));
}

/// The late second copy of an answer reaches nobody.
#[test]
fn a_second_copy_of_an_answer_is_not_taken_for_the_next_one() {
    let target = target(Fault::SecondCopy);
    let mut client = Client::start(&target);
    assert!(is_answered(&client.call("/fault")));
    // The copy arrives on the connection of this call.
    let outcome = client.call("/good");
    assert_eq!(connection_of(&target, "/good"), 0);
    assert_eq!(outcome, gate::Outcome::Lost);
    assert!(is_answered(&client.call("/good")));
    assert_ne!(connection_of(&target, "/good"), 0);
}

/// Guards against a late second copy of a refusal that passes for the refusal of the next call,
/// which the target runs.
#[test]
fn a_second_copy_of_a_refusal_does_not_refuse_the_next_call() {
    let target = target(Fault::RefusedTwice);
    let mut client = Client::start(&target);
    let refused = gate::Outcome::NotStarted(Refusal::Shed);
    assert_eq!(client.call("/fault"), refused);
    // The copy arrives on the connection of this call.
    let outcome = client.call("/good");
    assert_eq!(connection_of(&target, "/good"), 0);
    assert_eq!(outcome, gate::Outcome::Lost);
    assert!(is_answered(&client.call("/good")));
}

/// Guards against an answer that breaks off anywhere in its head or its body and passes for a
/// complete one.
#[rstest]
#[case::new_connection(false)]
#[case::kept_connection(true)]
fn an_answer_that_is_cut_at_any_byte_is_no_answer(#[case] is_kept: bool) {
    for form in Form::ALL {
        for len in 0.. {
            let target = target(Fault::Cut(form, len));
            let mut client = Client::start(&target);
            client.deadline = TIMEOUT;
            if is_kept {
                assert!(is_answered(&client.call("/good")));
            }
            if is_answered(&client.call("/fault")) {
                let head = head_of(&target, "/fault");
                assert_eq!(len, form.answer_len(&head), "{form:?}");
                break;
            }
        }
    }
}

/// Guards against an answer without a length that passes for complete though its connection was
/// reset.
#[test]
fn a_body_that_ends_with_a_reset_is_no_answer() {
    let target = target(Fault::ResetBody);
    let mut client = Client::start(&target);
    assert_eq!(client.call("/fault"), gate::Outcome::Lost);
}

/// Without the id of its call, an answer could be a copy of the one before, so each comes on a
/// connection of its own.
#[test]
fn a_connection_with_answers_without_id_is_not_reused() {
    let target = target(Fault::NoEcho);
    let mut client = Client::start(&target);
    for connection in 0..3 {
        assert!(is_answered(&client.call("/fault")));
        assert_eq!(connection_of(&target, "/fault"), connection);
    }
}

/// A question that gets no reply says so, and its connection is not used for calls.
#[test]
fn a_question_on_a_silent_connection_ends() {
    let choose = |connection: usize, _: &str| {
        if connection == 0 {
            Fault::Silent
        } else {
            Fault::None
        }
    };
    let target = faulty::start(Arc::new(choose)).expect("target must start");
    let mut client = Client::start(&target);
    client.execute(Command::QueryLoad(TargetIncarnation::default()));
    assert!(matches!(client.event(), Event::LoadUnavailable));
    wait_for_close(&target, 0);
    assert!(is_answered(&client.call("/good")));
}

/// A clock that shows that the machine was suspended beyond the deadlines of all calls.
fn after_suspension() -> Duration {
    clock::boot_time() + DEADLINE
}

/// The steady clock does not count the time of a suspension.
#[test]
fn a_call_whose_deadline_passed_during_a_suspension_is_not_sent() {
    let target = target(Fault::None);
    let mut client = Client::start_with_clock(target.address, after_suspension);
    let outcome = client.call("/good");
    assert_eq!(outcome, gate::Outcome::NotStarted(Refusal::Late));
    assert!(target.seen.try_recv().is_err());
}

struct BreakOff {
    /// Whether the target still accepts connections.
    listens: bool,
    outcome: gate::Outcome,
}

const ENDED: BreakOff = BreakOff {
    listens: false,
    outcome: gate::Outcome::Crashed,
};
const CONNECTION_ONLY: BreakOff = BreakOff {
    listens: true,
    outcome: gate::Outcome::Lost,
};

/// Guards against calls that count as evidence of a crash though only their connection broke.
#[rstest]
#[case::ended(ENDED)]
#[case::connection_only(CONNECTION_ONLY)]
fn a_target_that_has_ended_is_told_from_a_broken_connection(#[case] case: BreakOff) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener must bind");
    let address = listener.local_addr().expect("socket must have an address");
    let mut client = Client::start_with_clock(address, clock::boot_time);
    client.deadline = TIMEOUT;
    client.send("/read");
    let (mut stream, _) = listener.accept().expect("client must connect");
    let mut buf = [0; 64];
    assert!(stream.read(&mut buf).expect("request must arrive") > 0);
    let listener = Some(listener).filter(|_| case.listens);
    drop(stream);
    assert_eq!(client.finished().1, case.outcome);
    drop(listener);
}
