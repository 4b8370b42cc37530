//! The public and the internal listener for callers.

use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use log::debug;
use pollenrouter_core::call::{MAX_DEPTH, Refusal, UnknownReason};
use pollenrouter_core::{http_message, id, service, table};
use pollenrouter_http::convention::Convention;
use pollenrouter_http::problem::CallOutcome;
use pollenrouter_http::{body, head, problem, server};
use smol_str::SmolStr;
use tokio::sync::{oneshot, watch};

use crate::disconnect;
use crate::message::{Call, CallerResult, CallerResultKind, Event};
use crate::request;
use crate::response;

/// Path prefix at which callers request tickets; it is followed by the name of the service.
const TICKETS_PATH: &str = "/.pollenrouter/tickets/";
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Queues an event; returns false if the queue is full.
pub type Sink = Arc<dyn Fn(Event) -> bool + Send + Sync>;
/// Looks up the route of a request.
pub type RouteLookup = Arc<dyn Fn(&request::ParsedRequest) -> LookupResult + Send + Sync>;
/// Returns the current limits for callers, which can change at run time.
pub type CurrentLimits = Arc<dyn Fn() -> table::CallerLimits + Send + Sync>;

/// Result of a route lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// The route that matches.
    Route(Box<RouteMatch>),
    /// No route matches.
    NoRoute,
    /// The daemon has not loaded a routing table yet.
    NotReady,
}

/// Route and service chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteMatch {
    /// The route.
    pub route: table::Route,
    /// The service that the request is sent to.
    pub service: id::ServiceName,
    /// Maximum size of the request body, bytes.
    pub body_bytes: u64,
}

/// Dependencies of a listener.
#[derive(Clone)]
pub struct Context {
    /// Receives the events of the listener.
    pub sink: Sink,
    /// Looks up routes.
    pub lookup: RouteLookup,
    /// Limits for callers.
    pub limits: CurrentLimits,
    /// Counter for call tokens, shared by all listeners of a daemon.
    pub next_token: Arc<AtomicU64>,
    /// Header names, paths and protocol options.
    pub convention: Convention,
    /// Service of the target on this host.
    pub local_service: Option<id::ServiceName>,
}

/// Serves callers until `stop` becomes true, then completes the requests in flight.
///
/// # Errors
/// Returns an error if the listener cannot be registered with the runtime.
pub async fn serve(
    listener: net::TcpListener,
    audience: service::Audience,
    cx: Context,
    stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let limits = cx.limits.clone();
    let idle_timeout: server::IdleTimeout = Rc::new(move || limits().idle_timeout);
    let cx = Rc::new(cx);
    let handler = move |req| {
        let cx = cx.clone();
        async move { handle(&cx, audience, req).await }
    };
    server::serve_with_idle_timeout(
        listener,
        server::Limits::default(),
        idle_timeout,
        stop,
        handler,
    )
    .await
}

async fn handle(
    cx: &Context,
    audience: service::Audience,
    req: Request<Incoming>,
) -> Response<Full<Bytes>> {
    if cx.convention.tickets
        && let Some(service) = req.uri().path().strip_prefix(TICKETS_PATH)
    {
        return issue_ticket(cx, req.method(), service.into()).await;
    }
    let parsed = match request::parse(&cx.convention, &req) {
        Ok(parsed) => parsed,
        Err(err) => {
            let ticket = request::parse_ticket(req.headers()).ok().flatten();
            return response::rejected(response::invalid_head(&err), ticket.as_ref());
        }
    };
    let ticket = parsed.ticket.clone();
    match route(cx, audience, parsed, req).await {
        Ok(response) => response,
        Err(rejection) => response::rejected(rejection, ticket.as_ref()),
    }
}

/// Looks up the route, reads the body and performs the call. An `Err` is the response for a
/// request that the listener rejects before the router has received it.
async fn route(
    cx: &Context,
    audience: service::Audience,
    parsed: request::ParsedRequest,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Response<Full<Bytes>>> {
    let refused = |refusal| {
        debug!(host:% = parsed.host, path:% = parsed.path; "request rejected: {refusal}");
        response::refused(&cx.convention, refusal, None, false)
    };
    let matched = match (cx.lookup)(&parsed) {
        LookupResult::Route(matched) => matched,
        LookupResult::NoRoute => return Err(refused(Refusal::NoRoute)),
        LookupResult::NotReady => return Err(refused(Refusal::NotReady)),
    };
    let headers = forwarded_headers(cx, audience, req.headers());
    let body = body::read(req.into_body(), matched.body_bytes, BODY_TIMEOUT).await;
    let body = body.map_err(|err| response::body_error(&err))?;
    call(cx, audience, parsed, *matched, headers, body).await
}

/// The end-to-end headers to forward. The deadline header and the caller header of the request
/// are removed. The caller header is set again if the caller runs on this host and the service
/// of this host is known.
fn forwarded_headers(
    cx: &Context,
    audience: service::Audience,
    headers: &hyper::HeaderMap,
) -> Vec<http_message::Header> {
    let mut forwarded = head::end_to_end(headers);
    let reserved = [cx.convention.caller_header, cx.convention.deadline_header];
    forwarded.retain(|(name, _)| !reserved.contains(&name.as_str()));
    let is_local = cx.convention.callers_are_local || audience == service::Audience::Internal;
    if let Some(service) = cx.local_service.as_ref().filter(|_| is_local) {
        forwarded.push((
            cx.convention.caller_header.into(),
            service.as_bytes().to_vec(),
        ));
    }
    forwarded
}

async fn call(
    cx: &Context,
    audience: service::Audience,
    parsed: request::ParsedRequest,
    matched: RouteMatch,
    headers: Vec<http_message::Header>,
    body: Bytes,
) -> Result<Response<Full<Bytes>>, Response<Full<Bytes>>> {
    let token = cx.next_token.fetch_add(1, Ordering::Relaxed);
    let (reply_to, result) = oneshot::channel();
    let had_ticket = parsed.ticket.is_some();
    let path = match &parsed.path[matched.route.strip_bytes..] {
        rest if rest.starts_with('/') => SmolStr::new(rest),
        rest => format!("/{rest}").into(),
    };
    let call = Box::new(Call {
        token,
        head: http_message::RequestHead {
            method: parsed.method,
            host: matched.route.host.is_some().then_some(parsed.host),
            path,
            headers,
        },
        service: matched.service,
        route: matched.route,
        body,
        remaining: parsed.remaining,
        depth: effective_depth(audience, parsed.depth),
        ticket: parsed.ticket,
        reply_to,
    });
    if !(cx.sink)(Event::Call(call)) {
        let refusal = Refusal::Overloaded;
        return Err(response::refused(&cx.convention, refusal, None, had_ticket));
    }
    let guard = disconnect::DisconnectGuard::new(token, cx.sink.clone());
    let result = result.await.unwrap_or(CallerResult {
        kind: CallerResultKind::Unknown(UnknownReason::NoReply),
        ticket: None,
        retry_after: None,
    });
    guard.disarm();
    Ok(response::from_result(&cx.convention, result, had_ticket))
}

/// The depth stated by a caller on the public listener is ignored.
fn effective_depth(audience: service::Audience, stated: u8) -> u8 {
    match audience {
        service::Audience::Everyone => 0,
        service::Audience::Internal => stated.saturating_add(1).min(MAX_DEPTH),
    }
}

async fn issue_ticket(
    cx: &Context,
    method: &Method,
    service: id::ServiceName,
) -> Response<Full<Bytes>> {
    if method != Method::POST {
        let detail = "tickets are issued on POST";
        return problem::response(StatusCode::METHOD_NOT_ALLOWED, CallOutcome::NotRun, detail);
    }
    let (reply_to, issued) = oneshot::channel();
    if !(cx.sink)(Event::TicketRequested(service, reply_to)) {
        return response::refused(&cx.convention, Refusal::Overloaded, None, false);
    }
    match issued.await.ok().flatten() {
        None => response::refused(&cx.convention, Refusal::NoTarget, None, false),
        Some(ticket) => {
            let text = SmolStr::new(ticket.to_string());
            let mut response = problem::json_response(
                StatusCode::OK,
                &[("ticket", text)]
                    .into_iter()
                    .collect::<std::collections::BTreeMap<_, _>>(),
            );
            response::set_ticket(&mut response, &ticket);
            response
        }
    }
}
