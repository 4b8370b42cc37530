//! Exhaustive search by library.

use std::hash::{Hash, Hasher};

use pathfinding::directed::bfs::{bfs, bfs_reach};
use pollenrouter_core::entry::CallResult;

use crate::actions;
use crate::world::{Bounds, Removed, World};

/// What an exploration found.
pub struct Found {
    pub states: usize,
    pub violation: Option<&'static str>,
    pub answered: bool,
}

/// Visits every state within the bounds, up to the first violation.
pub fn explore(bounds: Bounds, removed: Option<Removed>) -> Found {
    let mut found = Found {
        states: 0,
        violation: None,
        answered: false,
    };
    let successors = |world: &World| actions::next(world).into_iter().map(|(_, world)| world);
    for world in bfs_reach(World::new(bounds, removed), successors) {
        found.states += 1;
        found.answered |= world
            .told
            .iter()
            .any(|(_, v)| matches!(v, CallResult::Answer(_)));
        found.violation = world.violation();
        if found.violation.is_some() {
            break;
        }
    }
    found
}

/// A state with the action that led to it; only the state counts.
#[derive(Clone)]
struct Step {
    action: String,
    world: World,
}

impl PartialEq for Step {
    fn eq(&self, other: &Self) -> bool {
        self.world == other.world
    }
}

impl Eq for Step {}

impl Hash for Step {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.world.hash(state);
    }
}

/// The shortest sequence of actions to a violation.
pub fn shortest_violation(bounds: Bounds, removed: Option<Removed>) -> Option<Vec<String>> {
    let start = Step {
        action: "start".to_owned(),
        world: World::new(bounds, removed),
    };
    let successors = |step: &Step| {
        let next = actions::next(&step.world).into_iter();
        next.map(|(action, world)| Step { action, world })
    };
    let path = bfs(&start, successors, |step| step.world.violation().is_some())?;
    let violation = path.last().and_then(|step| step.world.violation());
    let steps = path.into_iter().skip(1).enumerate();
    let mut trace: Vec<String> = steps
        .map(|(n, step)| format!("{}. {}", n + 1, step.action))
        .collect();
    trace.extend(violation.map(str::to_owned));
    Some(trace)
}
