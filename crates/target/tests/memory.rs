//! Answers for which the daemon has no memory.

use std::rc::Rc;
use std::sync::{Arc, mpsc};
use std::time::Duration;

use bytes::Bytes;
use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::memory::Class;
use pollenrouter_core::{gate, http_message, id};
use pollenrouter_dev::faulty::{self, Fault};
use pollenrouter_http::memory::Memory;
use pollenrouter_http::{clock, convention};
use pollenrouter_target::message::{Command, Event, OutboundCall};
use pollenrouter_target::sender::{self, Sender};
use rstest::rstest;
use tokio::{runtime, task, time};

const BUDGET_BYTES: u64 = 64 << 10;

fn call(seq: u64, deadline: Duration) -> Command {
    Command::Send(OutboundCall {
        id: id::CallId {
            entry: 1,
            seq,
            nonce: 7,
        },
        head: http_message::RequestHead {
            method: "GET".into(),
            host: None,
            path: "/".into(),
            headers: Vec::new(),
        },
        body: Bytes::new(),
        fingerprint: seq,
        target: TargetIncarnation::default(),
        at_most_once: false,
        deadline: clock::boot_time() + deadline,
        depth: 0,
        answer_max_bytes: 1 << 20,
    })
}

/// Guards against a target that counts as failing because its daemon has no memory for its answers.
#[rstest]
#[case::before_the_deadline(Duration::from_secs(6))]
#[case::at_the_deadline(Duration::from_millis(600))]
fn an_answer_without_room_is_not_blamed_on_the_target(#[case] deadline: Duration) {
    let target = faulty::start(Arc::new(|_, _: &str| Fault::LongBody));
    let target = target.expect("target must start");
    let (tx, events) = mpsc::channel();
    let sink: sender::Sink = Rc::new(move |event| {
        // The test may have ended.
        let _ = tx.send(event);
        Ok(())
    });
    let memory = Memory::new(BUDGET_BYTES);
    let mut held = memory.share(Class::Answer);
    assert!(held.try_grow(2 * BUDGET_BYTES));
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("runtime must start");
    task::LocalSet::new().block_on(&runtime, async move {
        let sender = Sender::new(convention::OWN, clock::boot_time, Duration::ZERO, sink);
        let sender = sender.with_memory(memory);
        sender.execute(Command::SetAddress(target.address));
        sender.execute(call(1, deadline));
        time::sleep(deadline + Duration::from_millis(500)).await;
    });
    let outcomes: Vec<_> = events
        .try_iter()
        .filter_map(|event| match event {
            Event::CallFinished(_, outcome, _) => Some(outcome),
            _ => None,
        })
        .collect();
    assert_eq!(outcomes, [gate::Outcome::NotKept]);
}

/// Guards against answers that a target does not end, and that keep all others that are not short from being read for
/// as long as the deadlines that their callers have chosen.
#[test]
fn an_answer_is_read_beside_others_that_do_not_end() {
    const STALLED: usize = 8;
    let choose = |connection: usize, _: &str| match connection {
        0..STALLED => Fault::StalledLongBody,
        _ => Fault::LongBody,
    };
    let target = faulty::start(Arc::new(choose)).expect("target must start");
    let (tx, events) = mpsc::channel();
    let sink: sender::Sink = Rc::new(move |event| {
        // The test may have ended.
        let _ = tx.send(event);
        Ok(())
    });
    let deadline = Duration::from_secs(5);
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("runtime must start");
    task::LocalSet::new().block_on(&runtime, async move {
        let sender = Sender::new(convention::OWN, clock::boot_time, Duration::ZERO, sink);
        sender.execute(Command::SetAddress(target.address));
        for seq in 1..=STALLED as u64 {
            sender.execute(call(seq, 10 * deadline));
        }
        time::sleep(Duration::from_secs(1)).await;
        sender.execute(call(STALLED as u64 + 1, deadline));
        time::sleep(deadline + Duration::from_secs(1)).await;
    });
    let last = events.try_iter().find_map(|event| match event {
        Event::CallFinished(id, outcome, _) if id.seq == STALLED as u64 + 1 => Some(outcome),
        _ => None,
    });
    assert!(
        matches!(last, Some(gate::Outcome::Answered { .. })),
        "{last:?}"
    );
}
