//! Service that all scenarios call.

use std::time::Duration;

use pollenrouter_core::service::{Audience, Limits, ProbeBudget, Route, Service, Size};

pub const SERVICE: &str = "seats";

pub fn service(limits: Limits) -> Service {
    let route = |name: &str, repeatable, size| Route {
        name: name.into(),
        method: "POST".into(),
        path: "/".into(),
        repeatable,
        objective: Duration::from_secs(1),
        audience: Audience::Everyone,
        size,
        timeout: None,
        attempts: 3,
        rank: 0,
    };
    Service {
        name: SERVICE.into(),
        internal_callers: Vec::new(),
        routes: vec![
            route("assign", false, Size::Short),
            route("list", true, Size::Short),
            route("report", true, Size::Long),
        ],
        limits,
        probe_budget: ProbeBudget {
            probes_per_minute: 0,
            targets_max: 1,
        },
        cold_start: None,
    }
}
