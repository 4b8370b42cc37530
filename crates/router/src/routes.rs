//! Matches the requests of callers to routes of the active table.

use pollenrouter_caller::listener::{LookupResult, RouteMatch};
use pollenrouter_caller::message::Call;
use pollenrouter_caller::request;
use pollenrouter_core::call::Refusal;
use pollenrouter_core::{id, service, table};

use crate::fleet::ListenerState;

/// Finds the route of a request, and draws the service that it goes to.
pub fn find(known: &ListenerState, req: &request::ParsedRequest) -> LookupResult {
    let Some(table) = known.table.as_ref().filter(|_| known.is_confirmed) else {
        return LookupResult::NotReady;
    };
    let Some(route) = table.find_route(&req.host, &req.method, req.path_without_query()) else {
        return LookupResult::NoRoute(table.version);
    };
    let organisations = table.organisations.as_ref();
    let organisation = organisations.and_then(|o| o.holder_of(req.key?));
    let needs_key = organisations.is_some() && !route.policy.is_open;
    if needs_key && organisation.is_none() {
        return LookupResult::UnknownKey(table.version);
    }
    let rank = organisation.and_then(|name| organisations?.get(name)?.rank);
    let Some(service) = route.pick_service(rand::random()) else {
        return LookupResult::NoRoute(table.version);
    };
    let limits = table.services.get(service).map(|service| &service.limits);
    let body_bytes = limits.map_or(u64::MAX, |limits| limits.request_bytes);
    let mut route = route.clone();
    route.policy.rank = rank.unwrap_or(route.policy.rank);
    LookupResult::Route(Box::new(RouteMatch {
        service: service.clone(),
        body_bytes: body_bytes.min(table.caller_limits.body_bytes),
        route,
        has_keys: organisations.is_some(),
        organisation: organisation.cloned(),
    }))
}

/// Checks whether the caller may call the service.
///
/// # Errors
/// The reason for the refusal.
pub fn admit(
    table: Option<&table::Table>,
    local_service: Option<&id::ServiceName>,
    call: &Call,
) -> Result<(), Refusal> {
    let document = table.and_then(|table| table.services.get(&call.service));
    // The listener found the service in an older table; the current one may have the route under
    // another service.
    let document = document.ok_or(Refusal::StaleDocument)?;
    if call.depth == 0 && call.route.policy.audience == service::Audience::Internal {
        return Err(Refusal::NotPublic);
    }
    // A service calls through the daemon on its own host, so `local_service` is the caller.
    if call.depth > 0 {
        document.admit(local_service)?;
    }
    Ok(())
}
