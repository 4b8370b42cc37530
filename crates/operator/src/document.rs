//! Checking of service documents; the verdict depends on the text alone.

use std::collections::BTreeSet;
use std::time::Duration;

use pollenrouter_core::service::{Audience, Limits, ProbeBudget, Route, Service, Size};

use crate::fields::{self, Fields};
use crate::finding::Finding;

const OWED_MAX_MS: u64 = 600_000;
const BODY_MAX_BYTES: u64 = 16 << 20;
const DEFAULT_ATTEMPTS: u64 = 3;
/// Rank of routes that state none; lower ones go first.
const DEFAULT_RANK: u64 = 4;
const RANK_MAX: u64 = 7;
const METHODS: [(&str, &str); 6] = [
    ("GET", "GET"),
    ("HEAD", "HEAD"),
    ("POST", "POST"),
    ("PUT", "PUT"),
    ("PATCH", "PATCH"),
    ("DELETE", "DELETE"),
];

/// Checks a document in YAML or JSON.
///
/// # Errors
/// All findings, each with its place.
pub fn check(text: &str) -> Result<Service, Vec<Finding>> {
    fields::read(text, service)
}

fn service(f: &mut Fields<'_, '_>) -> Option<Service> {
    let name = f.name("service");
    let internal_callers = f.names("internal_callers");
    let routes = f.mappings("routes", route);
    let limits = f.optional_mapping("limits", Limits::default(), limits);
    let measuring = f.mapping("measuring", measuring);
    if let Some(routes) = &routes {
        unique_names(f, routes);
    }
    Some(Service {
        name: name?,
        internal_callers: internal_callers?,
        routes: routes?,
        limits: limits?,
        probe_budget: measuring?,
    })
}

fn unique_names(f: &mut Fields<'_, '_>, routes: &[Route]) {
    let mut seen = BTreeSet::new();
    for route in routes {
        if !seen.insert(&route.name) {
            f.add("routes", &format!("names route `{}` twice", route.name));
        }
    }
}

fn route(f: &mut Fields<'_, '_>) -> Option<Route> {
    let name = f.name("name");
    let method = f.word("method", &METHODS, None);
    let path = f.text("path");
    if path.as_ref().is_some_and(|path| !path.starts_with('/')) {
        f.add("path", "does not begin with `/`");
    }
    let repeatable = f.flag("repeatable");
    let owed = f.number("owed_ms", 1..=OWED_MAX_MS, None);
    let audiences = [
        ("everyone", Audience::Everyone),
        ("internal", Audience::Internal),
    ];
    let audience = f.word("audience", &audiences, Some(Audience::Everyone));
    let sizes = [
        ("learned", Size::Learned),
        ("short", Size::Short),
        ("long", Size::Long),
    ];
    let size = f.word("size", &sizes, Some(Size::Learned));
    let timeout = f.number("timeout_ms", 0..=OWED_MAX_MS, Some(0));
    let attempts = f.number("attempts", 1..=100, Some(DEFAULT_ATTEMPTS));
    let rank = f.number("rank", 0..=RANK_MAX, Some(DEFAULT_RANK));
    Some(Route {
        name: name?,
        method: method?.into(),
        path: path?,
        repeatable: repeatable?,
        objective: Duration::from_millis(owed?),
        audience: audience?,
        size: size?,
        timeout: timeout.map(|ms| (ms > 0).then(|| Duration::from_millis(ms)))?,
        attempts: small(attempts?),
        rank: u8::try_from(rank?).ok()?,
    })
}

pub(crate) fn limits(f: &mut Fields<'_, '_>) -> Option<Limits> {
    let default = Limits::default();
    let queue = f.number("queue", 0..=100_000, Some(default.queue.into()));
    let levels = f.number("depth_levels", 0..=7, Some(default.depth_levels.into()));
    let short = f.number(
        "short_reserved",
        0..=1000,
        Some(default.short_reserved.into()),
    );
    let request = f.number(
        "request_bytes",
        0..=BODY_MAX_BYTES,
        Some(default.request_bytes),
    );
    let answer = f.number(
        "answer_bytes",
        0..=BODY_MAX_BYTES,
        Some(default.answer_bytes),
    );
    let retry = f.number("retry_percent", 0..=100, Some(default.retry_percent.into()));
    let slack = f.number("retry_slack", 0..=100_000, Some(default.retry_slack.into()));
    let cold = f.number("cold_percent", 0..=100, Some(default.cold_percent.into()));
    let used = f.number("slot_percent", 1..=100, Some(default.slot_percent.into()));
    Some(Limits {
        queue: small(queue?),
        depth_levels: u8::try_from(levels?).ok()?,
        short_reserved: small(short?),
        request_bytes: request?,
        answer_bytes: answer?,
        retry_percent: small(retry?),
        retry_slack: small(slack?),
        slot_percent: small(used?),
        cold_percent: small(cold?),
    })
}

fn measuring(f: &mut Fields<'_, '_>) -> Option<ProbeBudget> {
    let probes = f.number("probes_per_minute", 0..=60_000, None);
    let targets = f.number("targets_max", 1..=10_000, None);
    Some(ProbeBudget {
        probes_per_minute: small(probes?),
        targets_max: small(targets?),
    })
}

fn small(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
