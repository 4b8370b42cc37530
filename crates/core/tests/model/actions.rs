//! Actions of the model: every event that can happen in a state.

use pollenrouter_core::call::{Offer, Refusal, Reply, UnknownReason};
use pollenrouter_core::entry::{self, Request, Sent};
use pollenrouter_core::gate::{self, Outcome};
use pollenrouter_core::id::CallId;

use crate::world::{DEADLINE, Message, SERVICE, Safeguard, World, host};

/// A description of an action and the state after it.
pub type Successor = (String, World);

/// All successors of a state.
pub fn successors(world: &World) -> Vec<Successor> {
    let mut successors = Vec::new();
    send_requests(world, &mut successors);
    for message in &world.network {
        deliver(world, message, &mut successors);
        lose(world, message, &mut successors);
    }
    for (gate, id) in &world.starting {
        write_to_target(world, *gate, *id, &mut successors);
    }
    for (gate, id) in &world.running {
        finish(world, *gate, *id, &mut successors);
    }
    crash(world, &mut successors);
    pass_deadline(world, &mut successors);
    successors
}

fn send_requests(world: &World, successors: &mut Vec<Successor>) {
    for entry in 0..world.entries.len() {
        if world.budget.requests > 0 {
            let mut next = world.clone();
            next.budget.requests -= 1;
            let number = next.budget.requests;
            call(&mut next, entry, number);
            successors.push((format!("send request {number} to entry {entry}"), next));
        } else if world.budget.resends > 0 && world.ticket.is_some() {
            let mut next = world.clone();
            next.budget.resends -= 1;
            call(&mut next, entry, 0);
            successors.push((format!("send request 0 again to entry {entry}"), next));
        }
    }
}

fn call(world: &mut World, entry: usize, number: u64) {
    let token = world.request_of_token.len() as u64;
    world.request_of_token.insert(token, number);
    let request = Request {
        token,
        service: SERVICE.into(),
        route: "assign".into(),
        depth: 0,
        remaining: DEADLINE,
        at_most_once: true,
        fingerprint: number,
        ticket: world.ticket.clone(),
        retry_percent: 100,
        draw: 1,
        max_attempts: 3,
        objective: DEADLINE,
        ..Request::default()
    };
    world.entry_step(entry, entry::Input::Call(request));
}

fn deliver(world: &World, message: &Message, successors: &mut Vec<Successor>) {
    let mut next = world.clone();
    next.network.remove(message);
    receive(&mut next, message);
    successors.push((format!("deliver {message:?}"), next));
    if world.budget.duplicates > 0 {
        let mut next = world.clone();
        next.budget.duplicates -= 1;
        receive(&mut next, message);
        successors.push((format!("deliver a copy of {message:?}"), next));
    }
}

fn receive(world: &mut World, message: &Message) {
    match message.clone() {
        Message::Offer(from, to, offer) => {
            let offer = bypass_safeguards(world, to, offer);
            world.received_offers.insert((to, offer.id));
            world
                .waiting_entries
                .entry((to, offer.id))
                .or_default()
                .insert(from);
            world.gate_step(to, Some(from), gate::Input::Offer(offer));
        }
        Message::Query(from, to, query) => {
            let is_unknown = !world.received_offers.contains(&(to, query.id));
            if world.disabled == Some(Safeguard::VoidOnQuery) && is_unknown {
                let reply = Reply::NotRun(Refusal::Void);
                world
                    .network
                    .insert(Message::Reply(from, to, query.id, reply));
                return;
            }
            world
                .waiting_entries
                .entry((to, query.id))
                .or_default()
                .insert(from);
            world.gate_step(to, Some(from), gate::Input::Query(query));
        }
        Message::Withdraw(to, query) => {
            world.gate_step(to, None, gate::Input::Withdraw(query));
        }
        Message::Reply(to, gate, id, reply) => {
            let hint = world.hint(gate);
            world.entry_step(to, entry::Input::Reply(host(gate), id, reply, hint));
        }
    }
}

/// Changes an offer so that the gate treats it as if the disabled safeguard were missing.
fn bypass_safeguards(world: &mut World, to: usize, mut offer: Offer) -> Offer {
    let id = offer.id;
    let is_duplicate = world.received_offers.contains(&(to, id));
    let treat_as_new = match world.disabled {
        Some(Safeguard::IncarnationCheck) => {
            offer.incarnation = world.gates[to].incarnation();
            false
        }
        Some(Safeguard::Records) => is_duplicate,
        Some(Safeguard::LowWaterMark) => is_expired(world, to, &offer),
        _ => false,
    };
    if treat_as_new {
        offer.id.seq += 1000;
        let request = world.request_of_id[&id];
        world.request_of_id.insert(offer.id, request);
    }
    offer
}

fn is_expired(world: &World, to: usize, offer: &Offer) -> bool {
    let mut gate = world.gates[to].clone();
    let expired = gate::Output::Reply(offer.id, Reply::Unknown(UnknownReason::TicketExpired));
    let input = gate::Input::Offer(offer.clone());
    gate.step(world.now(), input).contains(&expired)
}

fn lose(world: &World, message: &Message, successors: &mut Vec<Successor>) {
    if world.budget.losses == 0 {
        return;
    }
    let (entry, gate, id) = match message {
        Message::Offer(from, to, offer) => (*from, *to, offer.id),
        Message::Query(from, to, query) => (*from, *to, query.id),
        Message::Reply(to, gate, id, _) => (*to, *gate, *id),
        Message::Withdraw(..) => return,
    };
    let mut base = world.clone();
    base.budget.losses -= 1;
    let sent = if world.disabled == Some(Safeguard::QueryOnSilence) {
        Sent::Nothing
    } else {
        Sent::Maybe
    };
    let mut next = base.clone();
    next.entry_step(entry, entry::Input::ConnectionLost(host(gate), id, sent));
    successors.push((
        format!("delay {message:?}; entry {entry} considers it lost"),
        next,
    ));
    let mut next = base.clone();
    next.network.remove(message);
    next.entry_step(entry, entry::Input::ConnectionLost(host(gate), id, sent));
    successors.push((format!("lose {message:?}"), next));
    let can_be_unsent =
        matches!(message, Message::Offer(..)) && !world.received_offers.contains(&(gate, id));
    if can_be_unsent && world.budget.duplicates > 0 {
        let mut next = base;
        next.network.remove(message);
        next.entry_step(
            entry,
            entry::Input::ConnectionLost(host(gate), id, Sent::Nothing),
        );
        successors.push((format!("fail to send {message:?}"), next));
    }
}

/// The gate writes a call to its target. The gate may pause before its last check of the
/// deadline, or between that check and the write.
fn write_to_target(world: &World, gate: usize, id: CallId, successors: &mut Vec<Successor>) {
    let mut next = world.clone();
    next.starting.remove(&(gate, id));
    next.running.insert((gate, id));
    *next.runs.entry(next.request_of_id[&id]).or_default() += 1;
    successors.push((format!("gate {gate} writes {id:?} to its target"), next));
    if world.is_past_deadline {
        let mut next = world.clone();
        next.starting.remove(&(gate, id));
        let outcome = Outcome::NotStarted(Refusal::Late);
        next.gate_step(gate, None, gate::Input::Finished(id, outcome));
        successors.push((
            format!("gate {gate} does not start {id:?} after its deadline"),
            next,
        ));
    }
}

fn finish(world: &World, gate: usize, id: CallId, successors: &mut Vec<Successor>) {
    let answered = Outcome::Answered {
        bytes: 0,
        failed: false,
    };
    for (verb, outcome) in [("answers", answered), ("loses", Outcome::Lost)] {
        let mut next = world.clone();
        next.running.remove(&(gate, id));
        next.gate_step(gate, None, gate::Input::Finished(id, outcome));
        successors.push((format!("target of gate {gate} {verb} {id:?}"), next));
    }
}

fn crash(world: &World, successors: &mut Vec<Successor>) {
    if world.budget.gate_crashes > 0 {
        for gate in 0..world.gates.len() {
            let mut next = world.clone();
            next.budget.gate_crashes -= 1;
            next.crash_gate(gate);
            successors.push((format!("gate {gate} restarts"), next));
        }
    }
    if world.budget.entry_crashes > 0 {
        for entry in 0..world.entries.len() {
            let mut next = world.clone();
            next.budget.entry_crashes -= 1;
            next.crash_entry(entry);
            successors.push((format!("entry {entry} restarts"), next));
        }
    }
}

fn pass_deadline(world: &World, successors: &mut Vec<Successor>) {
    if world.is_past_reply_grace {
        return;
    }
    let mut next = world.clone();
    next.is_past_reply_grace = world.is_past_deadline || !world.has_reply_grace;
    next.is_past_deadline = true;
    for entry in 0..next.entries.len() {
        next.entry_step(entry, entry::Input::Tick);
    }
    for gate in 0..next.gates.len() {
        next.gate_step(gate, None, gate::Input::Tick);
    }
    let passed = if next.is_past_reply_grace {
        "the time for last replies passes"
    } else {
        "the deadline passes"
    };
    successors.push((passed.to_owned(), next));
}
