//! Service documents: routes, latency objectives and limits of a service.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::call::Refusal;
use crate::id;
use crate::rate::RateLimit;
use crate::shedding::Shed;

/// A checked service document.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: id::ServiceName,
    /// Services that may call through the internal listener; empty for all.
    pub internal_callers: Vec<id::ServiceName>,
    /// Routes, in the order in which they are matched.
    pub routes: Vec<Route>,
    /// Limits on queues, slots, body sizes and retries.
    pub limits: Limits,
    /// Budget for probes of targets.
    pub probe_budget: ProbeBudget,
    /// What targets bear after a cold start, if the configuration states it.
    pub cold_start: Option<ColdStart>,
}

/// What a target bears while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long a target stays cold after a start, unless it states otherwise.
    pub lasts: Duration,
    /// Calls per second that a cold target takes.
    pub rate: RateLimit,
}

/// A route of a service and the policy for its requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique within the service.
    pub name: id::RouteName,
    /// HTTP method.
    pub method: SmolStr,
    /// Path prefix, relative to the service's base path.
    pub path: SmolStr,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Latency objective; also the default deadline.
    pub objective: Duration,
    /// Who may call.
    pub audience: Audience,
    /// Duration class of the route's calls, where the operator knows it.
    pub size: Size,
    /// Upper bound on the time until the deadline, whatever the caller requests.
    pub timeout: Option<Duration>,
    /// Maximum number of targets that one request is sent to.
    pub attempts: u32,
    /// Priority; 0 is the highest.
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

/// Duration class of a route's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Size {
    /// Derived from observed service times.
    Learned,
    /// Always short.
    Short,
    /// Always long.
    Long,
}

/// Limits of one service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum number of queued calls at one gate, counted separately for public calls and
    /// for calls between services.
    pub queue: u32,
    /// Number of call depths, starting with public calls, that leave slots free for deeper
    /// calls.
    pub depth_levels: u8,
    /// Slots that long calls cannot use.
    pub short_reserved: u32,
    /// Maximum size of a request body, bytes.
    pub request_bytes: u64,
    /// Maximum size of an answer body, bytes.
    pub answer_bytes: u64,
    /// Retries per hundred calls.
    pub retry_percent: u32,
    /// Retries of the whole fleet beyond `retry_percent`, in ten seconds.
    pub retry_slack: u32,
    /// Used slots of a target, in percent of those that it announces.
    pub slot_percent: u32,
    /// Slots that are open from the beginning of a target's cold start, in percent of the
    /// used ones; further slots open in proportion to the elapsed time.
    pub cold_percent: u32,
    /// Which calls are refused when they cannot meet their latency objective.
    #[serde(default)]
    pub shed: Shed,
}

/// Budget for probes of a service's targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProbeBudget {
    /// Probes per minute over all targets of the service.
    pub probes_per_minute: u32,
    /// Number of targets, one on each daemon's host, that share the budget.
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
            shed: Shed::Lowest,
        }
    }
}

impl Default for ProbeBudget {
    fn default() -> Self {
        Self {
            probes_per_minute: 0,
            targets_max: 1,
        }
    }
}

impl Service {
    /// Finds the first route that matches a method and a path.
    #[must_use]
    pub fn find_route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .find(|route| route.method == method && path.starts_with(route.path.as_str()))
    }

    /// Checks whether the service `caller` may call this one; `None` if the caller's service is
    /// not known yet.
    ///
    /// # Errors
    /// The reason for the refusal.
    pub fn admit(&self, caller: Option<&id::ServiceName>) -> Result<(), Refusal> {
        match caller {
            _ if self.internal_callers.is_empty() => Ok(()),
            None => Err(Refusal::NotReady),
            Some(caller) if self.internal_callers.contains(caller) => Ok(()),
            Some(_) => Err(Refusal::CallerNotAllowed),
        }
    }

    /// Finds a route by its name.
    #[must_use]
    pub fn route_by_name(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.name == name)
    }
}
