//! Checks service documents. The result depends only on the text.

use std::collections::BTreeSet;
use std::time::Duration;

use pollenrouter_core::service::{Audience, Limits, ProbeBudget, Route, Service, Size};
use pollenrouter_core::shedding::Shed;

use crate::finding::Finding;
use crate::yaml::{self, FieldReader};

const OBJECTIVE_MAX_MS: u64 = 600_000;
const BODY_MAX_BYTES: u64 = 16 << 20;
const DEFAULT_ATTEMPTS: u64 = 3;
/// Rank of routes that state none; lower ranks have priority.
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
/// Returns all findings, each with its position.
pub fn check(text: &str) -> Result<Service, Vec<Finding>> {
    yaml::read(text, read_service)
}

fn read_service(f: &mut FieldReader<'_, '_>) -> Option<Service> {
    let name = f.name("service");
    let internal_callers = f.names("internal_callers");
    let routes = f.mappings("routes", read_route);
    let limits = f.optional_mapping("limits", Limits::default(), read_limits);
    let probe_budget = f.mapping("measuring", read_probe_budget);
    if let Some(routes) = &routes {
        check_unique_names(f, routes);
    }
    Some(Service {
        name: name?,
        internal_callers: internal_callers?,
        routes: routes?,
        limits: limits?,
        probe_budget: probe_budget?,
        cold_start: None,
    })
}

fn check_unique_names(f: &mut FieldReader<'_, '_>, routes: &[Route]) {
    let mut seen = BTreeSet::new();
    for route in routes {
        if !seen.insert(&route.name) {
            f.report("routes", &format!("names route `{}` twice", route.name));
        }
    }
}

fn read_route(f: &mut FieldReader<'_, '_>) -> Option<Route> {
    let name = f.name("name");
    let method = f.one_of("method", &METHODS, None);
    let path = f.string("path");
    if path.as_ref().is_some_and(|path| !path.starts_with('/')) {
        f.report("path", "does not begin with `/`");
    }
    let repeatable = f.boolean("repeatable");
    let objective = f.integer("owed_ms", 1..=OBJECTIVE_MAX_MS, None);
    let audiences = [
        ("everyone", Audience::Everyone),
        ("internal", Audience::Internal),
    ];
    let audience = f.one_of("audience", &audiences, Some(Audience::Everyone));
    let sizes = [
        ("learned", Size::Learned),
        ("short", Size::Short),
        ("long", Size::Long),
    ];
    let size = f.one_of("size", &sizes, Some(Size::Learned));
    let timeout = f.integer("timeout_ms", 0..=OBJECTIVE_MAX_MS, Some(0));
    let attempts = f.integer("attempts", 1..=100, Some(DEFAULT_ATTEMPTS));
    let rank = f.integer("rank", 0..=RANK_MAX, Some(DEFAULT_RANK));
    Some(Route {
        name: name?,
        method: method?.into(),
        path: path?,
        repeatable: repeatable?,
        objective: Duration::from_millis(objective?),
        audience: audience?,
        size: size?,
        timeout: timeout.map(|ms| (ms > 0).then(|| Duration::from_millis(ms)))?,
        attempts: saturating_u32(attempts?),
        rank: u8::try_from(rank?).ok()?,
    })
}

pub(crate) fn read_limits(f: &mut FieldReader<'_, '_>) -> Option<Limits> {
    let default = Limits::default();
    let queue = f.integer("queue", 0..=100_000, Some(default.queue.into()));
    let levels = f.integer("depth_levels", 0..=7, Some(default.depth_levels.into()));
    let short = f.integer(
        "short_reserved",
        0..=1000,
        Some(default.short_reserved.into()),
    );
    let request = f.integer(
        "request_bytes",
        0..=BODY_MAX_BYTES,
        Some(default.request_bytes),
    );
    let answer = f.integer(
        "answer_bytes",
        0..=BODY_MAX_BYTES,
        Some(default.answer_bytes),
    );
    let retry = f.integer("retry_percent", 0..=100, Some(default.retry_percent.into()));
    let slack = f.integer("retry_slack", 0..=100_000, Some(default.retry_slack.into()));
    let cold = f.integer("cold_percent", 0..=100, Some(default.cold_percent.into()));
    let slots = f.integer("slot_percent", 1..=100, Some(default.slot_percent.into()));
    let sheds = [("lowest", Shed::Lowest), ("all", Shed::All)];
    let shed = f.one_of("shed", &sheds, Some(default.shed));
    Some(Limits {
        queue: saturating_u32(queue?),
        depth_levels: u8::try_from(levels?).ok()?,
        short_reserved: saturating_u32(short?),
        request_bytes: request?,
        answer_bytes: answer?,
        retry_percent: saturating_u32(retry?),
        retry_slack: saturating_u32(slack?),
        slot_percent: saturating_u32(slots?),
        cold_percent: saturating_u32(cold?),
        shed: shed?,
    })
}

fn read_probe_budget(f: &mut FieldReader<'_, '_>) -> Option<ProbeBudget> {
    let probes = f.integer("probes_per_minute", 0..=60_000, None);
    let targets = f.integer("targets_max", 1..=10_000, None);
    Some(ProbeBudget {
        probes_per_minute: saturating_u32(probes?),
        targets_max: saturating_u32(targets?),
    })
}

fn saturating_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
