//! The service document: what a team's callers are owed.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::id;

/// One service document after checking.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: id::ServiceName,
    /// Services that may call by the internal listener; empty for all.
    pub internal_callers: Vec<id::ServiceName>,
    /// Routes in the order they are matched.
    pub routes: Vec<Route>,
    /// Bounds on queues, slots and sizes.
    pub limits: Limits,
    /// Budget for measuring targets.
    pub measuring: Measuring,
}

/// What is owed for one kind of request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique within the service.
    pub name: id::RouteName,
    /// HTTP method.
    pub method: SmolStr,
    /// Prefix of the path below the service.
    pub path: SmolStr,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Latency owed; also the default deadline.
    pub owed: Duration,
    /// Who may call.
    pub audience: Audience,
    /// Size of the work, where the operator knows it.
    pub size: Size,
    /// Longest time that a request is kept waiting, whatever its deadline.
    pub timeout: Option<Duration>,
    /// Targets that one request may be sent to.
    pub attempts: u32,
    /// Rank; 0 goes first.
    pub rank: u8,
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Audience {
    /// The public and other services.
    Everyone,
    /// Other services only.
    Internal,
}

/// Size of a route's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Size {
    /// Learned from service times.
    Learned,
    /// Always short.
    Short,
    /// Always long.
    Long,
}

/// Bounds of one service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Limits {
    /// Calls that may wait at one gate, for the public and for services each.
    pub queue: u32,
    /// Levels of calls between services that keep slots free for deeper calls.
    pub depth_levels: u8,
    /// Slots that long work can not fill.
    pub short_reserved: u32,
    /// Largest request body, bytes.
    pub request_bytes: u64,
    /// Largest answer body, bytes.
    pub answer_bytes: u64,
    /// Second attempts per hundred calls.
    pub retry_percent: u32,
    /// Second attempts of the whole fleet beyond the share of traffic, in ten seconds.
    pub retry_slack: u32,
    /// Slots of a target that are used, in hundredths of those it states.
    pub slot_percent: u32,
    /// Slots that are open at once at a target that warms up, in hundredths of those
    /// that are used; the others open evenly.
    pub cold_percent: u32,
}

/// Budget for the work of measuring targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Measuring {
    /// Probes per minute over all targets of the service.
    pub probes_per_minute: u32,
    /// Targets that share the budget.
    pub targets_max: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue: 64,
            depth_levels: 1,
            short_reserved: 0,
            request_bytes: 64 << 10,
            answer_bytes: 1 << 20,
            retry_percent: 10,
            retry_slack: 60,
            slot_percent: 100,
            cold_percent: 0,
        }
    }
}

impl Default for Measuring {
    fn default() -> Self {
        Self {
            probes_per_minute: 0,
            targets_max: 1,
        }
    }
}

impl Service {
    /// The first route that matches a method and a path.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .find(|route| route.method == method && path.starts_with(route.path.as_str()))
    }

    /// Whether another service may call this one.
    #[must_use]
    pub fn admits(&self, caller: Option<&id::ServiceName>) -> bool {
        self.internal_callers.is_empty()
            || caller.is_some_and(|caller| self.internal_callers.contains(caller))
    }

    /// The route with a name.
    #[must_use]
    pub fn route_named(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.name == name)
    }
}
