//! The public and the internal listener.

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

use crate::ending;
use crate::guard;
use crate::message::{Call, Ending, EndingKind, Event};
use crate::request;

/// Path below which the system itself answers.
const TICKETS: &str = "/.pollenrouter/tickets/";
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Takes events; tells whether there was room.
pub type Sink = Arc<dyn Fn(Event) -> bool + Send + Sync>;
/// Finds the route of a request.
pub type Lookup = Arc<dyn Fn(&request::Parsed) -> Found + Send + Sync>;
/// Bounds on what callers send, as they are in force at the moment.
pub type Limits = Arc<dyn Fn() -> table::CallerLimits + Send + Sync>;

/// What the table says of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// Its route.
    Route(Box<Matched>),
    /// No route matches.
    NoRoute,
    /// The daemon knows no table yet.
    NotReady,
}

/// The route of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Matched {
    /// The route.
    pub route: table::Route,
    /// The service that the request goes to.
    pub service: id::ServiceName,
    /// Largest body, bytes.
    pub body_bytes: u64,
}

/// What a listener needs of its embedder.
#[derive(Clone)]
pub struct Context {
    /// Where events go.
    pub sink: Sink,
    /// Routes.
    pub lookup: Lookup,
    /// Bounds on callers.
    pub limits: Limits,
    /// Source of tokens, shared by all listeners of a daemon.
    pub tokens: Arc<AtomicU64>,
    /// Names of headers.
    pub convention: Convention,
    /// Service of the target on this host.
    pub own_service: Option<id::ServiceName>,
}

/// Serves callers until `stop` turns true.
///
/// # Errors
/// The listener can not be used.
pub async fn serve(
    listener: net::TcpListener,
    audience: service::Audience,
    cx: Context,
    stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let limits = cx.limits.clone();
    let idle: server::IdleTimeout = Rc::new(move || limits().idle_timeout);
    let cx = Rc::new(cx);
    let handler = move |req| {
        let cx = cx.clone();
        async move { handle(&cx, audience, req).await }
    };
    server::serve_with_idle(listener, server::Bounds::default(), idle, stop, handler).await
}

async fn handle(
    cx: &Context,
    audience: service::Audience,
    req: Request<Incoming>,
) -> Response<Full<Bytes>> {
    if cx.convention.tickets
        && let Some(service) = req.uri().path().strip_prefix(TICKETS)
    {
        return ticket(cx, req.method(), service.into()).await;
    }
    let parsed = match request::parse(&cx.convention, &req) {
        Ok(parsed) => parsed,
        Err(err) => {
            let ticket = request::ticket(req.headers()).ok().flatten();
            return ending::turned_away(ending::malformed(&err), ticket.as_ref());
        }
    };
    let ticket = parsed.ticket.clone();
    match take(cx, audience, parsed, req).await {
        Ok(answer) => answer,
        Err(refused) => ending::turned_away(refused, ticket.as_ref()),
    }
}

/// Takes a request in; an error went no further than this listener.
async fn take(
    cx: &Context,
    audience: service::Audience,
    parsed: request::Parsed,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Response<Full<Bytes>>> {
    let refused = |refusal| {
        debug!(host:% = parsed.host, path:% = parsed.path; "refused: {refusal}");
        ending::refused(&cx.convention, refusal, None, false)
    };
    let matched = match (cx.lookup)(&parsed) {
        Found::Route(matched) => matched,
        Found::NoRoute => return Err(refused(Refusal::NoRoute)),
        Found::NotReady => return Err(refused(Refusal::NotReady)),
    };
    let headers = forwarded(cx, audience, req.headers());
    let body = body::read(req.into_body(), matched.body_bytes, BODY_TIMEOUT).await;
    let body = body.map_err(|err| ending::bad_body(&err))?;
    call(cx, audience, parsed, *matched, headers, body).await
}

/// End-to-end headers, with the system's own word on who calls.
fn forwarded(
    cx: &Context,
    audience: service::Audience,
    headers: &hyper::HeaderMap,
) -> Vec<http_message::Header> {
    let mut forwarded = head::end_to_end(headers);
    let own = [cx.convention.caller, cx.convention.deadline_ms];
    forwarded.retain(|(name, _)| !own.contains(&name.as_str()));
    let is_local = cx.convention.callers_are_local || audience == service::Audience::Internal;
    if let Some(service) = cx.own_service.as_ref().filter(|_| is_local) {
        forwarded.push((cx.convention.caller.into(), service.as_bytes().to_vec()));
    }
    forwarded
}

async fn call(
    cx: &Context,
    audience: service::Audience,
    parsed: request::Parsed,
    matched: Matched,
    headers: Vec<http_message::Header>,
    body: Bytes,
) -> Result<Response<Full<Bytes>>, Response<Full<Bytes>>> {
    let token = cx.tokens.fetch_add(1, Ordering::Relaxed);
    let (reply_to, ended) = oneshot::channel();
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
        depth: depth(audience, parsed.depth),
        ticket: parsed.ticket,
        reply_to,
    });
    if !(cx.sink)(Event::Call(call)) {
        let refusal = Refusal::Overloaded;
        return Err(ending::refused(&cx.convention, refusal, None, had_ticket));
    }
    let guard = guard::Guard::new(token, cx.sink.clone());
    let ended = ended.await.unwrap_or(Ending {
        kind: EndingKind::Unknown(UnknownReason::NoReply),
        ticket: None,
        retry_after: None,
    });
    guard.disarm();
    Ok(ending::answer(&cx.convention, ended, had_ticket))
}

/// The public's word on depth does not count.
fn depth(audience: service::Audience, stated: u8) -> u8 {
    match audience {
        service::Audience::Everyone => 0,
        service::Audience::Internal => stated.saturating_add(1).min(MAX_DEPTH),
    }
}

async fn ticket(cx: &Context, method: &Method, service: id::ServiceName) -> Response<Full<Bytes>> {
    if method != Method::POST {
        let detail = "tickets are issued on POST";
        return problem::answer(StatusCode::METHOD_NOT_ALLOWED, CallOutcome::NotRun, detail);
    }
    let (reply_to, issued) = oneshot::channel();
    if !(cx.sink)(Event::Ticket(service, reply_to)) {
        return ending::refused(&cx.convention, Refusal::Overloaded, None, false);
    }
    match issued.await.ok().flatten() {
        None => ending::refused(&cx.convention, Refusal::NoTarget, None, false),
        Some(ticket) => {
            let text = SmolStr::new(ticket.to_string());
            let mut answer = problem::json(
                StatusCode::OK,
                &[("ticket", text)]
                    .into_iter()
                    .collect::<std::collections::BTreeMap<_, _>>(),
            );
            ending::name_ticket(&mut answer, &ticket);
            answer
        }
    }
}
