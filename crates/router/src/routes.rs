//! Matches the requests of callers to routes of the active table.

use pollenrouter_caller::listener::{LookupResult, RouteMatch};
use pollenrouter_caller::message::Call;
use pollenrouter_caller::request;
use pollenrouter_caller::tables::Tables;
use pollenrouter_core::call::Refusal;
use pollenrouter_core::{id, service, table};

use crate::fleet::ListenerState;
use crate::instruments::{KeyChecks, KeyOutcome};

/// Finds the route of a request, and draws the service that it goes to.
pub fn find(
    known: &ListenerState,
    req: &request::ParsedRequest,
    key_checks: &KeyChecks,
) -> LookupResult {
    let tables = known.tables();
    let Some(table) = known.table.as_ref().filter(|_| known.is_confirmed) else {
        return LookupResult::NotReady;
    };
    let path = req.path_without_query();
    let Some(route) = table.find_route(&req.host, &req.method, path) else {
        // The path begins with the name of the service.
        let name = path.split('/').nth(1).unwrap_or_default();
        return if known.unusable.contains(name) {
            LookupResult::NotReady
        } else {
            LookupResult::NoRoute(tables)
        };
    };
    let organisations = table.organisations.as_ref();
    let organisation = organisations.and_then(|o| o.holder_of(req.key?));
    if organisations.is_some() {
        let outcome = key_outcome(req, &route.policy, organisation.is_some());
        key_checks.count(outcome);
        if matches!(outcome, KeyOutcome::Unknown | KeyOutcome::Missing) {
            return LookupResult::UnknownKey(tables);
        }
    }
    let rank = organisation.and_then(|name| organisations?.get(name)?.rank);
    let Some(service) = route.pick_service(rand::random()) else {
        return LookupResult::NoRoute(tables);
    };
    let limits = table.services.get(service).map(|service| &service.limits);
    let body_bytes = limits.map_or(u64::MAX, |limits| limits.request_bytes);
    let mut route = route.clone();
    route.policy.rank = rank.unwrap_or(route.policy.rank);
    LookupResult::Route(Box::new(RouteMatch {
        table: table.version,
        service: service.clone(),
        body_bytes: body_bytes.min(table.caller_limits.body_bytes),
        route,
        has_keys: organisations.is_some(),
        organisation: organisation.cloned(),
    }))
}

fn key_outcome(req: &request::ParsedRequest, policy: &table::Policy, known: bool) -> KeyOutcome {
    if known {
        KeyOutcome::Known
    } else if policy.is_open {
        KeyOutcome::NotNeeded
    } else if req.key.is_some() {
        KeyOutcome::Unknown
    } else {
        KeyOutcome::Missing
    }
}

/// Checks whether the caller may call the service.
///
/// # Errors
/// The reason for the refusal.
pub fn admit(
    table: Option<&table::Table>,
    tables: Tables,
    local_service: Option<&id::ServiceName>,
    call: &Call,
) -> Result<(), Refusal> {
    let document = table.and_then(|table| table.services.get(&call.service));
    // The listener found the service in an older table; the current one may have the route under
    // another service.
    let document = document.ok_or(Refusal::StaleDocument)?;
    if call.depth == 0 && call.route.policy.audience == service::Audience::Internal {
        // Another document may have opened the route since the head arrived.
        let route = document.route_by_name(&call.route.name);
        let is_internal = route.is_some_and(|r| r.audience == service::Audience::Internal);
        return Err(if is_internal {
            tables.verdict(Refusal::NotPublic)
        } else {
            Refusal::StaleDocument
        });
    }
    // A service calls through the daemon on its own host, so `local_service` is the caller.
    if call.depth > 0 {
        let admitted = document.admit(local_service);
        return admitted.map_err(|refusal| tables.verdict(refusal));
    }
    Ok(())
}
