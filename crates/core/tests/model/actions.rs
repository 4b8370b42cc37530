//! Actions of the specification: all that can happen next in a state.

use pollenrouter_core::call::{Offer, Refusal, Reply, UnknownReason};
use pollenrouter_core::entry::{self, Request, Sent};
use pollenrouter_core::gate::{self, Outcome};
use pollenrouter_core::id::CallId;

use crate::world::{DEADLINE, Message, Removed, SERVICE, World, host};

/// A state that can follow, with what happened.
pub type Next = (String, World);

/// All states that can follow.
pub fn next(world: &World) -> Vec<Next> {
    let mut all = Vec::new();
    press(world, &mut all);
    for message in &world.network {
        deliver(world, message, &mut all);
        lose(world, message, &mut all);
    }
    for (gate, id) in &world.starting {
        write(world, *gate, *id, &mut all);
    }
    for (gate, id) in &world.running {
        finish(world, *gate, *id, &mut all);
    }
    crash(world, &mut all);
    pass_time(world, &mut all);
    all
}

fn press(world: &World, all: &mut Vec<Next>) {
    for entry in 0..world.entries.len() {
        if world.budget.presses > 0 {
            let mut next = world.clone();
            next.budget.presses -= 1;
            let number = next.budget.presses;
            call(&mut next, entry, number);
            all.push((format!("press {number} at entry {entry}"), next));
        } else if world.budget.resends > 0 && world.ticket.is_some() {
            let mut next = world.clone();
            next.budget.resends -= 1;
            call(&mut next, entry, 0);
            all.push((format!("press 0 again at entry {entry}"), next));
        }
    }
}

fn call(world: &mut World, entry: usize, press: u64) {
    let token = world.press_of_token.len() as u64;
    world.press_of_token.insert(token, press);
    let request = Request {
        token,
        service: SERVICE.into(),
        route: "assign".into(),
        depth: 0,
        remaining: DEADLINE,
        at_most_once: true,
        fingerprint: press,
        ticket: world.ticket.clone(),
        retry_percent: 100,
        draw: 1,
        max_attempts: 3,
        objective: DEADLINE,
        ..Request::default()
    };
    world.entry_step(entry, entry::Input::Call(request));
}

fn deliver(world: &World, message: &Message, all: &mut Vec<Next>) {
    let mut next = world.clone();
    next.network.remove(message);
    receive(&mut next, message);
    all.push((format!("deliver {message:?}"), next));
    if world.budget.duplicates > 0 {
        let mut next = world.clone();
        next.budget.duplicates -= 1;
        receive(&mut next, message);
        all.push((format!("deliver a copy of {message:?}"), next));
    }
}

fn receive(world: &mut World, message: &Message) {
    match message.clone() {
        Message::Offer(from, to, offer) => {
            let offer = altered(world, to, offer);
            world.seen.insert((to, offer.id));
            world
                .waiters
                .entry((to, offer.id))
                .or_default()
                .insert(from);
            world.gate_step(to, Some(from), gate::Input::Offer(offer));
        }
        Message::Query(from, to, query) => {
            let unseen = !world.seen.contains(&(to, query.id));
            if world.removed == Some(Removed::Void) && unseen {
                let reply = Reply::NotRun(Refusal::Void);
                world
                    .network
                    .insert(Message::Reply(from, to, query.id, reply));
                return;
            }
            world
                .waiters
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

/// The offer as a gate without a safeguard would take it.
fn altered(world: &mut World, to: usize, mut offer: Offer) -> Offer {
    let id = offer.id;
    let seen = world.seen.contains(&(to, id));
    let forget = match world.removed {
        Some(Removed::IncarnationCheck) => {
            offer.incarnation = world.gates[to].incarnation();
            false
        }
        Some(Removed::Records) => seen,
        Some(Removed::LowWater) => is_expired(world, to, &offer),
        _ => false,
    };
    if forget {
        offer.id.seq += 1000;
        let press = world.press_of_id[&id];
        world.press_of_id.insert(offer.id, press);
    }
    offer
}

fn is_expired(world: &World, to: usize, offer: &Offer) -> bool {
    let mut gate = world.gates[to].clone();
    let expired = gate::Output::Reply(offer.id, Reply::Unknown(UnknownReason::TicketExpired));
    let input = gate::Input::Offer(offer.clone());
    gate.step(world.now(), input).contains(&expired)
}

fn lose(world: &World, message: &Message, all: &mut Vec<Next>) {
    if world.budget.losses == 0 {
        return;
    }
    let (entry, gate, id) = match message {
        Message::Offer(from, to, offer) => (*from, *to, offer.id),
        Message::Query(from, to, query) => (*from, *to, query.id),
        Message::Reply(to, gate, id, _) => (*to, *gate, *id),
        Message::Withdraw(..) => return,
    };
    let mut spent = world.clone();
    spent.budget.losses -= 1;
    let silent = if world.removed == Some(Removed::AskOnSilence) {
        Sent::Nothing
    } else {
        Sent::Maybe
    };
    let mut next = spent.clone();
    next.entry_step(entry, entry::Input::ConnectionLost(host(gate), id, silent));
    all.push((
        format!("entry {entry} gives up on {message:?}, which is late"),
        next,
    ));
    let mut next = spent.clone();
    next.network.remove(message);
    next.entry_step(entry, entry::Input::ConnectionLost(host(gate), id, silent));
    all.push((format!("lose {message:?}"), next));
    let unsent = matches!(message, Message::Offer(..)) && !world.seen.contains(&(gate, id));
    if unsent && world.budget.duplicates > 0 {
        let mut next = spent;
        next.network.remove(message);
        next.entry_step(
            entry,
            entry::Input::ConnectionLost(host(gate), id, Sent::Nothing),
        );
        all.push((format!("could not send {message:?}"), next));
    }
}

/// The write to the target; a pause may fall before or after the last check.
fn write(world: &World, gate: usize, id: CallId, all: &mut Vec<Next>) {
    let mut next = world.clone();
    next.starting.remove(&(gate, id));
    next.running.insert((gate, id));
    *next.runs.entry(next.press_of_id[&id]).or_default() += 1;
    all.push((format!("gate {gate} writes {id:?} to its target"), next));
    if world.late {
        let mut next = world.clone();
        next.starting.remove(&(gate, id));
        let outcome = Outcome::NotStarted(Refusal::Late);
        next.gate_step(gate, None, gate::Input::Finished(id, outcome));
        all.push((
            format!("gate {gate} resumes too late to start {id:?}"),
            next,
        ));
    }
}

fn finish(world: &World, gate: usize, id: CallId, all: &mut Vec<Next>) {
    let answered = Outcome::Answered {
        bytes: 0,
        failed: false,
    };
    for (name, outcome) in [("answers", answered), ("breaks off", Outcome::Lost)] {
        let mut next = world.clone();
        next.running.remove(&(gate, id));
        next.gate_step(gate, None, gate::Input::Finished(id, outcome));
        all.push((format!("target of gate {gate} {name} {id:?}"), next));
    }
}

fn crash(world: &World, all: &mut Vec<Next>) {
    if world.budget.gate_crashes > 0 {
        for at in 0..world.gates.len() {
            let mut next = world.clone();
            next.budget.gate_crashes -= 1;
            next.crash_gate(at);
            all.push((format!("gate {at} restarts"), next));
        }
    }
    if world.budget.entry_crashes > 0 {
        for at in 0..world.entries.len() {
            let mut next = world.clone();
            next.budget.entry_crashes -= 1;
            next.crash_entry(at);
            all.push((format!("entry {at} restarts"), next));
        }
    }
}

fn pass_time(world: &World, all: &mut Vec<Next>) {
    if world.late {
        return;
    }
    let mut next = world.clone();
    next.late = true;
    for at in 0..next.entries.len() {
        next.entry_step(at, entry::Input::Tick);
    }
    for at in 0..next.gates.len() {
        next.gate_step(at, None, gate::Input::Tick);
    }
    all.push(("the deadline passes".to_owned(), next));
}
