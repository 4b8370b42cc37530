//! Status of one daemon, as reported to operators.

use pollenrouter_core::hint;
use serde_json::{Value, json};

use crate::calls::Calls;
use crate::fleet::Fleet;

/// Returns the status of this daemon as JSON.
pub fn to_json(fleet: &Fleet, calls: &Calls, stopping: bool) -> Value {
    json!({
        "documents": active_documents(fleet),
        "documents_confirmed": fleet.documents().is_confirmed(),
        "rejected": rejected_documents(fleet),
        "members": fleet.members().map(|m| json!({
            "host": m.host,
            "failure_domain": m.failure_domain,
            "service": m.service,
            "incarnation": format!("{:x}", m.incarnation),
            "address": m.address,
            "state": m.state,
        })).collect::<Vec<_>>(),
        "gates": known_gates(calls),
        "evacuated": fleet.evacuations().iter().collect::<Vec<_>>(),
        "own": json!({
            "incarnation": format!("{:x}", calls.gate().incarnation()),
            "load": gate_load(&calls.gate().hint(calls.now())),
            "cold_ms": calls.gate().cold_remaining(calls.now()).map(|left| left.as_millis()),
            "evacuated": calls.gate().is_evacuated(),
            "departures_known": calls.gate().knows_departures(),
            "remembered_calls": calls.gate().record_count(),
            "watches_platform": fleet.is_watcher(),
            "stopping": stopping,
        }),
        "platform": fleet.staleness(),
    })
}

fn active_documents(fleet: &Fleet) -> Value {
    fleet
        .documents()
        .active()
        .map(|(version, service)| json!({ "service": service.name, "version": version }))
        .collect()
}

fn rejected_documents(fleet: &Fleet) -> Value {
    fleet
        .documents()
        .rejected()
        .map(|(name, (version, findings))| {
            json!({ "service": name, "version": version, "findings": findings })
        })
        .collect()
}

fn known_gates(calls: &Calls) -> Value {
    let now = calls.now();
    calls
        .entry()
        .gates()
        .map(|(member, load)| {
            json!({
                "host": member.host,
                "service": member.service,
                "serving": member.serving,
                "outstanding": load.outstanding,
                "reported": load.report.map(|(hint, _)| gate_load(&hint)),
                "age_ms": load.report.map(|(_, at)| now.saturating_sub(at).as_millis()),
            })
        })
        .collect()
}

fn gate_load(hint: &hint::Hint) -> Value {
    json!({
        "running": hint.running,
        "waiting": hint.waiting,
        "slots": hint.slots,
        "mean_us": hint.mean_service_time.as_micros(),
        "failing": hint.failing,
        "leaving": hint.leaving,
    })
}
