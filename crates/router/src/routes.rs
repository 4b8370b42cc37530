//! From a caller's call to the route that the document in force gives it.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use bytes::Bytes;
use pollenrouter_caller::message::Call;
use pollenrouter_core::call::Refusal;
use pollenrouter_core::{documents, exchange, id, service};

use crate::calls::Routed;

/// Finds the route of a call.
///
/// # Errors
/// The call, with the reason why it is refused.
pub fn route(
    documents: &documents::Documents,
    own: Option<&id::ServiceName>,
    call: Box<Call>,
) -> Result<Routed, (Box<Call>, Refusal)> {
    let Some((_, document)) = documents.get(&call.service) else {
        return Err((call, Refusal::NoDocument));
    };
    let path = call.head.path.split('?').next().unwrap_or_default();
    let Some(route) = document.route(&call.head.method, path) else {
        return Err((call, Refusal::NoRoute));
    };
    if call.depth == 0 && route.audience == service::Audience::Internal {
        return Err((call, Refusal::NotPublic));
    }
    // Services call by the daemon on their own host.
    if call.depth > 0 && !document.admits(own) {
        return Err((call, Refusal::NotCaller));
    }
    Ok(Routed {
        route: route.clone(),
        retry_percent: document.limits.retry_percent,
        call,
    })
}

/// Digest by which a ticket stays with one request.
pub fn fingerprint(head: &exchange::RequestHead, body: &Bytes) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&head.method, &head.path, body).hash(&mut hasher);
    hasher.finish()
}
