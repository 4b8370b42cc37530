//! The routing table: all routes that are in force at one daemon, as one
//! versioned unit.
//!
//! Service documents compile into a table, and so does any other source of
//! configuration. A table replaces the one before it as a whole.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::id;
use crate::service::{self, Audience, Service};

/// One routing table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    /// Version by which two tables of one source compare; of documents, the sum of
    /// their versions.
    pub version: id::Version,
    /// Routes in no particular order.
    pub routes: Vec<Route>,
    /// What gates and listeners need of each service.
    pub services: BTreeMap<id::ServiceName, Service>,
    /// Bounds on what callers send.
    pub callers: CallerLimits,
}

/// A route of the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique within the table.
    pub name: id::RouteName,
    /// Host that the request names; `None` for any.
    pub host: Option<SmolStr>,
    /// HTTP method; `None` for any.
    pub method: Option<SmolStr>,
    /// Prefix of the path.
    pub prefix: SmolStr,
    /// Bytes of the path that are taken off before the request goes on.
    pub strip: usize,
    /// Of several routes that match, the one with the highest precedence is taken.
    pub precedence: usize,
    /// Services that share the requests, with their weights.
    pub split: Vec<Part>,
    /// What is owed and allowed.
    pub terms: Terms,
}

/// One service's part of a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Part {
    /// The service.
    pub service: id::ServiceName,
    /// Its share of the requests, relative to the other weights.
    pub weight: u32,
}

/// What callers of a route are owed, and what the system may do for them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Terms {
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Latency owed.
    pub objective: Duration,
    /// Deadline of a request that states none.
    pub deadline: Duration,
    /// Longest time that a request is kept waiting, whatever its deadline.
    pub timeout: Option<Duration>,
    /// Whether all callers begin with the same deadline, so that one who states less
    /// has been waiting since an earlier try.
    pub deadline_shared: bool,
    /// Targets that one request may be sent to.
    pub attempts: u32,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Who may call.
    pub audience: Audience,
}

impl Table {
    /// Whether calls give way when they can not meet what is owed: those of the last
    /// rank do, unless their callers choose a deadline of their own. Others are worth
    /// their slot even when they are late, as calls that one in progress waits for.
    #[must_use]
    pub fn gives_way(&self, terms: &Terms) -> bool {
        let last = self.routes.iter().map(|route| route.terms.rank).max();
        terms.deadline_shared && last.is_none_or(|last| terms.rank >= last)
    }
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request, bytes.
    pub head_bytes: usize,
    /// Largest body of a request, bytes; a service may have a lower bound.
    pub body_bytes: u64,
    /// Time for a request's head.
    pub head_timeout: Duration,
    /// Time that a connection may stay open without a request.
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
    /// The table that a set of service documents compiles into: the routes of
    /// each service stand below its name and are matched in their order.
    #[must_use]
    pub fn of_documents<'a>(
        documents: impl Iterator<Item = &'a (id::Version, Service)>,
        callers: CallerLimits,
    ) -> Self {
        let mut table = Self {
            callers,
            ..Self::default()
        };
        for (version, service) in documents {
            // Each version only goes up, and so does their sum.
            table.version += version;
            let routes = service.routes.iter().enumerate();
            table
                .routes
                .extend(routes.map(|(at, route)| of_service(service, at, route)));
            table.services.insert(service.name.clone(), service.clone());
        }
        table
    }

    /// The route of a request: of those that match, the one with the highest
    /// precedence.
    #[must_use]
    pub fn route(&self, host: &str, method: &str, path: &str) -> Option<&Route> {
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

    /// The service that a request goes to, by a random draw over the weights.
    #[must_use]
    pub fn service(&self, draw: u64) -> Option<&id::ServiceName> {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for part in &self.split {
            let weight = u64::from(part.weight);
            if left < weight {
                return Some(&part.service);
            }
            left -= weight;
        }
        None
    }
}

fn of_service(service: &Service, at: usize, route: &service::Route) -> Route {
    let base = format!("/{}", service.name);
    Route {
        name: route.name.clone(),
        host: None,
        method: Some(route.method.clone()),
        prefix: format!("{base}{}", route.path).into(),
        strip: base.len(),
        precedence: usize::MAX - at,
        split: vec![Part {
            service: service.name.clone(),
            weight: 1,
        }],
        terms: Terms {
            repeatable: route.repeatable,
            objective: route.owed,
            deadline: route.owed,
            timeout: route.timeout,
            deadline_shared: false,
            attempts: route.attempts,
            rank: route.rank,
            audience: route.audience,
        },
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
