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
use pollenrouter_core::call::{Doubt, MAX_DEPTH, Refusal};
use pollenrouter_core::{id, service};
use pollenrouter_http::problem::CallOutcome;
use pollenrouter_http::{body, problem, server};
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
/// Bound on the request bodies of a service.
pub type BodyLimits = Arc<dyn Fn(&str) -> BodyLimit + Send + Sync>;

/// Bound on the request bodies of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLimit {
    /// The largest body, bytes.
    Bytes(u64),
    /// No such service has a document.
    NoService,
    /// The daemon has not read the documents yet.
    NotReady,
}

/// What a listener needs of its embedder.
#[derive(Clone)]
pub struct Context {
    /// Where events go.
    pub sink: Sink,
    /// Bounds on bodies.
    pub body_limit: BodyLimits,
    /// Source of tokens, shared by all listeners of a daemon.
    pub tokens: Arc<AtomicU64>,
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
    let cx = Rc::new(cx);
    let handler = move |req| {
        let cx = cx.clone();
        async move { handle(&cx, audience, req).await }
    };
    server::serve(listener, server::Bounds::default(), stop, handler).await
}

async fn handle(
    cx: &Context,
    audience: service::Audience,
    req: Request<Incoming>,
) -> Response<Full<Bytes>> {
    if let Some(service) = req.uri().path().strip_prefix(TICKETS) {
        return ticket(cx, req.method(), service.into()).await;
    }
    let parsed = match request::parse(&req) {
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
    let limit = match (cx.body_limit)(&parsed.service) {
        BodyLimit::Bytes(limit) => limit,
        BodyLimit::NoService => {
            let detail = format!("service `{}` has no document in force here", parsed.service);
            let not_found = StatusCode::NOT_FOUND;
            return Err(problem::answer(not_found, CallOutcome::NotRun, &detail));
        }
        BodyLimit::NotReady => return Err(ending::refused(Refusal::NotReady)),
    };
    let body = body::read(req.into_body(), limit, BODY_TIMEOUT).await;
    let body = body.map_err(|err| ending::bad_body(&err))?;
    call(cx, audience, parsed, body).await
}

async fn call(
    cx: &Context,
    audience: service::Audience,
    parsed: request::Parsed,
    body: Bytes,
) -> Result<Response<Full<Bytes>>, Response<Full<Bytes>>> {
    let token = cx.tokens.fetch_add(1, Ordering::Relaxed);
    let (reply_to, ended) = oneshot::channel();
    let call = Box::new(Call {
        token,
        service: parsed.service,
        head: parsed.head,
        body,
        remaining: parsed.remaining,
        depth: depth(audience, parsed.depth),
        ticket: parsed.ticket,
        reply_to,
    });
    if !(cx.sink)(Event::Call(call)) {
        return Err(ending::refused(Refusal::Overloaded));
    }
    let guard = guard::Guard::new(token, cx.sink.clone());
    let ended = ended.await.unwrap_or(Ending {
        kind: EndingKind::Unknown(Doubt::Silent),
        ticket: None,
    });
    guard.disarm();
    Ok(ending::answer(ended))
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
        return ending::refused(Refusal::Overloaded);
    }
    match issued.await.ok().flatten() {
        None => ending::refused(Refusal::NoTarget),
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
