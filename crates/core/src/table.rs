//! The routing table: all active routes of one daemon as one versioned unit.
//!
//! Service documents and other configuration sources are compiled into a table. A new
//! table replaces the previous one as a whole.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::id;
use crate::organisation::Organisations;
use crate::service::{self, Audience, Service};
use crate::shedding::Shed;

/// A routing table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    /// Version that orders tables from the same source; for service documents, the sum of
    /// their versions.
    pub version: id::Version,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// The services, as gates and listeners need them.
    pub services: BTreeMap<id::ServiceName, Service>,
    /// Limits on callers' requests and connections.
    pub caller_limits: CallerLimits,
    /// Organisations and the keys of their callers; `None` if callers need no key.
    pub organisations: Option<Organisations>,
}

/// A route of the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique within the table.
    pub name: id::RouteName,
    /// Host of the request; `None` for any.
    pub host: Option<SmolStr>,
    /// HTTP method; `None` for any.
    pub method: Option<SmolStr>,
    /// Path prefix.
    pub prefix: SmolStr,
    /// Number of leading bytes that are stripped from the path before forwarding.
    pub strip_bytes: usize,
    /// The matching route with the highest precedence is selected.
    pub precedence: usize,
    /// Services that requests are distributed over, with their weights.
    pub split: Vec<WeightedService>,
    /// Policy for the route's requests.
    pub policy: Policy,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: id::ServiceName,
    /// Its share of the requests, relative to the other weights.
    pub weight: u32,
}

/// Objectives, limits and permissions for a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Policy {
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Latency objective.
    pub objective: Duration,
    /// Default deadline, for requests without their own.
    pub deadline: Duration,
    /// Upper bound on the time until the deadline, whatever the caller requests.
    pub timeout: Option<Duration>,
    /// Whether all callers start with the same deadline, so that a caller with less time
    /// left has been waiting since an earlier attempt.
    pub has_uniform_deadline: bool,
    /// Maximum number of targets that one request is sent to.
    pub attempts: u32,
    /// Priority; 0 is the highest.
    pub rank: u8,
    /// Who may call.
    pub audience: Audience,
    /// Whether callers need no key, also if there are organisations.
    pub is_open: bool,
}

impl Table {
    /// Whether calls are refused when they cannot meet the latency objective. This holds
    /// for calls of the table's lowest priority, unless their callers choose their own
    /// deadlines. Other calls are worth a slot even when late, for example because a call
    /// in progress waits for them.
    #[must_use]
    pub fn is_sheddable(&self, policy: &Policy) -> bool {
        let last_rank = self.routes.iter().map(|route| route.policy.rank).max();
        policy.has_uniform_deadline && last_rank.is_none_or(|last| policy.rank >= last)
    }

    /// Whether a call may be refused when it cannot meet the latency objective. With
    /// [`Shed::All`] that holds for every rank where callers have keys: a call without one is made
    /// by a service. Elsewhere such calls cannot be told from those of callers, so that only the
    /// lowest priority is refused.
    #[must_use]
    pub fn may_shed(&self, shed: Shed, policy: &Policy, has_organisation: bool) -> bool {
        match shed {
            Shed::Lowest => self.is_sheddable(policy),
            Shed::All if self.organisations.is_none() => self.is_sheddable(policy),
            Shed::All => policy.has_uniform_deadline && has_organisation,
        }
    }
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, bytes; a service may have a lower limit.
    pub body_bytes: u64,
    /// Timeout for receiving a request head.
    pub head_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 16 << 20,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_mins(1),
        }
    }
}

impl Table {
    /// Compiles service documents into a table. The paths of a service's routes are prefixed
    /// with its name, and its routes are matched in document order.
    #[must_use]
    pub fn from_documents<'a>(
        documents: impl Iterator<Item = &'a (id::Version, Service)>,
        caller_limits: CallerLimits,
    ) -> Self {
        let mut table = Self {
            caller_limits,
            ..Self::default()
        };
        for (version, service) in documents {
            // No version ever decreases, so their sum does not either.
            table.version += version;
            let routes = service.routes.iter().enumerate();
            table
                .routes
                .extend(routes.map(|(index, route)| compile_route(service, index, route)));
            table.services.insert(service.name.clone(), service.clone());
        }
        table
    }

    /// Finds the matching route with the highest precedence.
    #[must_use]
    pub fn find_route(&self, host: &str, method: &str, path: &str) -> Option<&Route> {
        let host = without_port(host);
        self.routes
            .iter()
            .filter(|route| route.matches(host, method, path))
            .max_by_key(|route| route.precedence)
    }
}

impl Route {
    fn matches(&self, host: &str, method: &str, path: &str) -> bool {
        path.starts_with(self.prefix.as_str())
            && self
                .host
                .as_ref()
                .is_none_or(|h| h.eq_ignore_ascii_case(host))
            && self.method.as_ref().is_none_or(|m| m == method)
    }

    /// Picks the service for a request in proportion to the weights, given a random number.
    #[must_use]
    pub fn pick_service(&self, draw: u64) -> Option<&id::ServiceName> {
        let total: u64 = self
            .split
            .iter()
            .map(|weighted| u64::from(weighted.weight))
            .sum();
        let mut remaining = draw.checked_rem(total)?;
        for weighted in &self.split {
            let weight = u64::from(weighted.weight);
            if remaining < weight {
                return Some(&weighted.service);
            }
            remaining -= weight;
        }
        None
    }
}

fn compile_route(service: &Service, index: usize, route: &service::Route) -> Route {
    let base = format!("/{}", service.name);
    Route {
        name: route.name.clone(),
        host: None,
        method: Some(route.method.clone()),
        prefix: format!("{base}{}", route.path).into(),
        strip_bytes: base.len(),
        precedence: usize::MAX - index,
        split: vec![WeightedService {
            service: service.name.clone(),
            weight: 1,
        }],
        policy: Policy {
            repeatable: route.repeatable,
            objective: route.objective,
            deadline: route.objective,
            timeout: route.timeout,
            has_uniform_deadline: false,
            attempts: route.attempts,
            rank: route.rank,
            audience: route.audience,
            is_open: false,
        },
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
