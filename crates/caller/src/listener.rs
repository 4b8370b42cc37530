//! The public and the internal listener for callers.

use std::borrow::Cow;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use std::{fmt, net};

use bytes::Bytes;
use futures_util::FutureExt;
use hyper::header::{AUTHORIZATION, HOST};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use log::info;
use pollenrouter_core::call::{MAX_DEPTH, Refusal, UnknownReason};
use pollenrouter_core::{http_message, id, service, table};
use pollenrouter_http::body::BodyError;
use pollenrouter_http::convention::Convention;
use pollenrouter_http::memory::Memory;
use pollenrouter_http::problem::CallOutcome;
use pollenrouter_http::{head, problem, server};
use rustix::net::sockopt;
use smol_str::SmolStr;
use tokio::sync::{oneshot, watch};

use crate::admission::{Admission, Admit, ReadRequest};
use crate::connection;
use crate::connections::Connections;
use crate::disconnect;
use crate::head::HeadError;
use crate::message::{Call, CallerResult, CallerResultKind, Event};
use crate::pipeline::{self, Pipeline};
use crate::request;
use crate::response;
use crate::tables::{CurrentTables, Tables};

/// Path prefix at which callers request tickets; it is followed by the name of the service.
const TICKETS_PATH: &str = "/.pollenrouter/tickets/";
/// Maximum size of the body of a request for a ticket, which is ignored.
const TICKET_BODY_MAX_BYTES: u64 = 1024;

/// Queues an event; returns false if the queue is full.
pub type Sink = Arc<dyn Fn(Event) -> bool + Send + Sync>;
/// Looks up the route of a request.
pub type RouteLookup = Arc<dyn Fn(&request::ParsedRequest) -> LookupResult + Send + Sync>;

/// Result of a route lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// The route that matches.
    Route(Box<RouteMatch>),
    /// No route of the table in force matches.
    NoRoute(Tables),
    /// The route needs a key, and no organisation of the table in force holds the one that the
    /// request carries.
    UnknownKey(Tables),
    /// The daemon has not loaded a routing table yet.
    NotReady,
}

/// Route and service chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteMatch {
    /// Version of the table that has the route.
    pub table: id::Version,
    /// The route.
    pub route: table::Route,
    /// The service that the request is sent to.
    pub service: id::ServiceName,
    /// Maximum size of the request body, bytes.
    pub body_bytes: u64,
    /// Whether callers have keys, which are not forwarded.
    pub has_keys: bool,
    /// Organisation that holds the caller's key, if it has one.
    pub organisation: Option<id::OrganisationName>,
}

/// Dependencies of a listener.
#[derive(Clone)]
pub struct Context {
    /// Receives the events of the listener.
    pub sink: Sink,
    /// Looks up routes.
    pub lookup: RouteLookup,
    /// Versions of the routing table that are known.
    pub tables: CurrentTables,
    /// Counts requests that are refused before they reach the router.
    pub count_refusal: Arc<dyn Fn(Refusal) + Send + Sync>,
    /// Memory for bodies and responses.
    pub memory: Memory,
    /// Maximum number of connections of each listener.
    pub max_connections: usize,
    /// Limits for callers.
    pub limits: pipeline::CurrentLimits,
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
    // Accepted connections inherit them.
    sockopt::set_socket_send_buffer_size(&listener, pipeline::SOCKET_BUFFER_BYTES)?;
    sockopt::set_socket_recv_buffer_size(&listener, pipeline::SOCKET_BUFFER_BYTES)?;
    let (limits, memory) = (cx.limits.clone(), cx.memory.clone());
    let max_connections = cx.max_connections;
    let connections = Rc::<Connections>::default();
    let cx = Rc::new(cx);
    let reject_head = {
        let cx = cx.clone();
        Rc::new(move |err: &HeadError| head_rejection(&cx, err))
    };
    let admit: Admit = Rc::new(move |head| admit(&cx, audience, head));
    let serve_connection = {
        let (stop, connections) = (stop.clone(), connections.clone());
        move |stream| {
            let (admit, reject_head) = (admit.clone(), reject_head.clone());
            let pipeline = Pipeline::new(admit, reject_head, limits.clone(), memory.clone());
            connection::serve(stream, pipeline, connections.add(), stop.clone())
        }
    };
    let make_way = move || {
        connections.make_way();
    };
    server::accept(listener, max_connections, stop, make_way, serve_connection).await
}

/// Decides on a request by its head.
fn admit(cx: &Rc<Context>, audience: service::Audience, head: &Parts) -> Admission {
    if cx.convention.tickets
        && let Some(service) = head.uri.path().strip_prefix(TICKETS_PATH)
    {
        return issue_ticket(cx, &head.method, service.into());
    }
    let parsed = match request::parse(&cx.convention, head) {
        Ok(parsed) => parsed,
        Err(err) => {
            let ticket = request::parse_ticket(&head.headers).ok().flatten();
            let rejected = response::rejected(response::invalid_head(&err), ticket.as_ref());
            log_rejected(&subject(cx, head), None, &rejected, &err);
            return Admission::Respond(rejected);
        }
    };
    let refused = |refusal, tables| {
        let refused = refuse(cx, refusal, false);
        let refused = response::rejected(refused, parsed.ticket.as_ref());
        log_rejected(&subject(cx, head), tables, &refused, &refusal);
        Admission::Respond(refused)
    };
    let matched = match (cx.lookup)(&parsed) {
        LookupResult::Route(matched) => matched,
        LookupResult::NoRoute(tables) => {
            return refused(tables.verdict(Refusal::NoRoute), Some(tables));
        }
        LookupResult::UnknownKey(tables) => {
            return refused(tables.verdict(Refusal::UnknownKey), Some(tables));
        }
        LookupResult::NotReady => return refused(Refusal::NotReady, None),
    };
    let headers = forwarded_headers(cx, audience, &matched, &head.headers);
    let (table, body_max_bytes) = (matched.table, matched.body_bytes);
    // Requests may run at the same time only if their order does not matter (RFC 9112,
    // section 9.3.2).
    let is_concurrent = matched.route.policy.repeatable && parsed.ticket.is_none();
    let cx = cx.clone();
    let run = move |read: ReadRequest| {
        async move {
            let ticket = parsed.ticket.clone();
            let performed = match read.body {
                Ok(body) => call(&cx, audience, parsed, *matched, headers, body, read.waited).await,
                Err(err) => {
                    let tables = (cx.tables)();
                    let refusal = match err {
                        BodyError::NoRoom => Some(Refusal::Overloaded),
                        BodyError::TooLarge(_) => tables.outdated(Some(table)),
                        _ => None,
                    };
                    let rejected = refusal.map_or_else(
                        || response::body_error(&err),
                        |refusal| refuse(&cx, refusal, ticket.is_some()),
                    );
                    let name = cx.convention.request_id_header;
                    let request = headers.iter().find(|(n, _)| n == name);
                    let subject = Subject {
                        request: request.map_or("".into(), |(_, v)| String::from_utf8_lossy(v)),
                        host: &parsed.host,
                        path: parsed.path_without_query(),
                    };
                    let reason: &dyn fmt::Display = match &refusal {
                        Some(refusal) if *refusal != Refusal::Overloaded => refusal,
                        _ => &err,
                    };
                    log_rejected(&subject, Some(tables), &rejected, reason);
                    Err(rejected)
                }
            };
            performed.unwrap_or_else(|rejection| response::rejected(rejection, ticket.as_ref()))
        }
        .boxed_local()
    };
    Admission::Run {
        body_max_bytes,
        is_concurrent,
        run: Box::new(run),
    }
}

/// What the log says of a rejected request.
struct Subject<'a> {
    /// Id that the caller gave it.
    request: Cow<'a, str>,
    host: &'a str,
    path: &'a str,
}

fn subject<'a>(cx: &Context, head: &'a Parts) -> Subject<'a> {
    let text = |name: &str| head::text(&head.headers, name).unwrap_or_default();
    Subject {
        request: text(cx.convention.request_id_header).into(),
        host: text(HOST.as_str()),
        path: head.uri.path(),
    }
}

/// The response to a request that is refused before it reaches the router.
fn refuse(cx: &Context, refusal: Refusal, had_ticket: bool) -> Response<Bytes> {
    (cx.count_refusal)(refusal);
    response::refused(&cx.convention, refusal, None, had_ticket)
}

/// The response to bytes that are not a request head.
fn head_rejection(cx: &Context, err: &HeadError) -> Response<Bytes> {
    let tables = (cx.tables)();
    let outdated = tables.outdated(tables.active);
    match outdated.filter(|_| *err == HeadError::TooLarge) {
        Some(refusal) => refuse(cx, refusal, false),
        None => response::head_error(err),
    }
}

/// Logs a response that the listener gives without the router. `tables` are those that were known
/// when it decided.
fn log_rejected(
    subject: &Subject,
    tables: Option<Tables>,
    response: &Response<Bytes>,
    reason: &dyn fmt::Display,
) {
    let table = tables.and_then(|tables| tables.active);
    let announced_table = tables.map(|tables| tables.announced);
    info!(
        request:% = subject.request,
        host:% = subject.host,
        path:% = subject.path,
        table:?,
        announced_table:?,
        status = response.status().as_u16();
        "request rejected: {reason}"
    );
}

/// The end-to-end headers to forward. The deadline header and the caller header of the request
/// are removed. The caller header is set again if the caller runs on this host and the service
/// of this host is known. Where callers have keys, the organisation takes the place of the key.
fn forwarded_headers(
    cx: &Context,
    audience: service::Audience,
    matched: &RouteMatch,
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
    if matched.has_keys {
        let header = cx.convention.organisation_header;
        forwarded.retain(|(name, _)| name != AUTHORIZATION.as_str() && name != header);
        let organisation = matched.organisation.as_ref();
        forwarded.extend(organisation.map(|name| (header.into(), name.as_bytes().to_vec())));
    }
    forwarded
}

/// Performs a call. An `Err` is the response to a request that the router has not received.
async fn call(
    cx: &Context,
    audience: service::Audience,
    parsed: request::ParsedRequest,
    matched: RouteMatch,
    headers: Vec<http_message::Header>,
    body: Bytes,
    waited: Duration,
) -> Result<Response<Bytes>, Response<Bytes>> {
    let had_ticket = parsed.ticket.is_some();
    let deadline = parsed.remaining.unwrap_or(matched.route.policy.deadline);
    if waited >= deadline {
        return Err(refuse(cx, Refusal::Late, had_ticket));
    }
    let token = cx.next_token.fetch_add(1, Ordering::Relaxed);
    let (reply_to, result) = oneshot::channel();
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
        organisation: matched.organisation,
        body,
        remaining: parsed.remaining,
        waited,
        depth: effective_depth(audience, parsed.depth),
        ticket: parsed.ticket,
        reply_to,
    });
    if !(cx.sink)(Event::Call(call)) {
        return Err(refuse(cx, Refusal::Overloaded, had_ticket));
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

fn issue_ticket(cx: &Rc<Context>, method: &Method, service: id::ServiceName) -> Admission {
    if method != Method::POST {
        let detail = "tickets are issued on POST";
        let status = StatusCode::METHOD_NOT_ALLOWED;
        return Admission::Respond(problem::response(status, CallOutcome::NotRun, detail));
    }
    let cx = cx.clone();
    let run = move |_: ReadRequest| {
        async move {
            let (reply_to, issued) = oneshot::channel();
            if !(cx.sink)(Event::TicketRequested(service, reply_to)) {
                return refuse(&cx, Refusal::Overloaded, false);
            }
            match issued.await.ok().flatten() {
                None => refuse(&cx, Refusal::NoTarget, false),
                Some(ticket) => response::ticket(&ticket),
            }
        }
        .boxed_local()
    };
    Admission::Run {
        body_max_bytes: TICKET_BODY_MAX_BYTES,
        is_concurrent: true,
        run: Box::new(run),
    }
}
