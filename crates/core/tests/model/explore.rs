//! Breadth-first search of the model's state space.

use std::hash::{Hash, Hasher};

use pathfinding::directed::bfs::{bfs, bfs_reach};
use pollenrouter_core::entry::CallResult;

use crate::actions;
use crate::world::{Bounds, Safeguard, World};

/// Result of an exploration.
pub struct Exploration {
    pub states: usize,
    pub violation: Option<&'static str>,
    /// Whether a caller received an answer in any state.
    pub any_answered: bool,
}

/// Visits every state within the bounds; stops at the first violation.
pub fn explore(bounds: Bounds, disabled: Option<Safeguard>) -> Exploration {
    let mut exploration = Exploration {
        states: 0,
        violation: None,
        any_answered: false,
    };
    let successors = |world: &World| {
        actions::successors(world)
            .into_iter()
            .map(|(_, world)| world)
    };
    for world in bfs_reach(World::new(bounds, disabled), successors) {
        exploration.states += 1;
        exploration.any_answered |= world
            .verdicts
            .iter()
            .any(|(_, v)| matches!(v, CallResult::Answer(_)));
        exploration.violation = world.violation();
        if exploration.violation.is_some() {
            break;
        }
    }
    exploration
}

/// A state with the action that led to it; steps with equal states are equal.
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
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.world.hash(hasher);
    }
}

/// Finds the shortest sequence of actions that leads to a violation, and lists the actions
/// and the violation.
pub fn shortest_violation(bounds: Bounds, disabled: Option<Safeguard>) -> Option<Vec<String>> {
    let start = Step {
        action: "start".to_owned(),
        world: World::new(bounds, disabled),
    };
    let successors = |step: &Step| {
        let next = actions::successors(&step.world).into_iter();
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
