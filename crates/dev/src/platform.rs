//! Stand-in for the object API of the platform, with fault injection.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use pollenrouter_core::replica::Object;
use pollenrouter_http::{body, problem, server};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::SmolStr;
use tokio::sync::{Notify, watch};
use tokio::{runtime, task, time};

use crate::error::Error;

const VALUE_MAX_BYTES: u64 = 1 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every API call fails with status 503.
    pub down: bool,
    /// Delay added to every API call, milliseconds.
    pub slow_ms: u64,
    /// Number of following writes that take effect but are reported as failed.
    pub lose_answers: u32,
}

/// API calls so far; a long-polling watch counts once.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of one object or of a prefix.
    pub reads: u64,
    /// Watches.
    pub watches: u64,
    /// Writes that took effect.
    pub writes: u64,
    /// Writes refused because of a version conflict.
    pub conflicts: u64,
}

#[derive(Default)]
struct Store {
    revision: u64,
    objects: BTreeMap<SmolStr, Object>,
    faults: Faults,
    counts: Counts,
}

#[derive(Default)]
struct Platform {
    store: RefCell<Store>,
    changed: Notify,
}

type HttpResponse = Response<Full<Bytes>>;

/// Runs the stand-in on a port assigned by the system and prints its address.
///
/// # Errors
/// The socket or the runtime cannot be created.
pub fn run() -> Result<(), Error> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    println!("{}", listener.local_addr()?);
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (_stop, stopping) = watch::channel(false);
    let platform = Rc::new(Platform::default());
    let handler = move |req| {
        let platform = platform.clone();
        async move { platform.handle(req).await }
    };
    let limits = server::Limits {
        max_connections: 4096,
        ..server::Limits::default()
    };
    task::LocalSet::new().block_on(&runtime, server::serve(listener, limits, stopping, handler))?;
    Ok(())
}

impl Platform {
    async fn handle(&self, req: Request<Incoming>) -> HttpResponse {
        let path = req.uri().path().to_owned();
        match path.as_str() {
            "/control" => return self.set_faults(req).await,
            "/counts" => {
                return problem::json_response(StatusCode::OK, &self.store.borrow().counts);
            }
            _ => {}
        }
        let faults = self.store.borrow().faults;
        if faults.slow_ms > 0 {
            time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down {
            return unavailable_response();
        }
        if path == "/watch" {
            return self.watch(&req).await;
        }
        match (req.method(), path.strip_prefix("/objects/")) {
            (&Method::GET, None) if path == "/objects" => self.list(&req),
            (&Method::GET, Some(key)) => self.get(key),
            (&Method::PUT, Some(key)) => {
                let key = SmolStr::new(key);
                self.put(key, req).await
            }
            _ => problem::text_response(StatusCode::NOT_FOUND, String::new()),
        }
    }

    async fn set_faults(&self, req: Request<Incoming>) -> HttpResponse {
        let body = body::read(req.into_body(), VALUE_MAX_BYTES, BODY_TIMEOUT).await;
        let faults = body
            .ok()
            .and_then(|body| serde_json::from_slice(&body).ok());
        let Some(faults) = faults else {
            return problem::text_response(StatusCode::BAD_REQUEST, "expected faults\n".to_owned());
        };
        self.store.borrow_mut().faults = faults;
        self.changed.notify_waiters();
        problem::text_response(StatusCode::OK, String::new())
    }

    fn get(&self, key: &str) -> HttpResponse {
        let mut store = self.store.borrow_mut();
        store.counts.reads += 1;
        match store.objects.get(key) {
            Some(object) => problem::json_response(StatusCode::OK, object),
            None => problem::text_response(StatusCode::NOT_FOUND, String::new()),
        }
    }

    fn list(&self, req: &Request<Incoming>) -> HttpResponse {
        let prefix = query_parameter(req, "prefix").unwrap_or_default();
        let mut store = self.store.borrow_mut();
        store.counts.reads += 1;
        let objects = store.objects.values();
        let matching: Vec<&Object> = objects
            .filter(|object| object.key.starts_with(&prefix))
            .collect();
        let listing = json!({ "revision": store.revision, "objects": matching });
        problem::json_response(StatusCode::OK, &listing)
    }

    async fn watch(&self, req: &Request<Incoming>) -> HttpResponse {
        let parse = |name| query_parameter(req, name).and_then(|text| text.parse().ok());
        let after: u64 = parse("after").unwrap_or(0);
        let wait = Duration::from_millis(parse("wait_ms").unwrap_or(0));
        self.store.borrow_mut().counts.watches += 1;
        let deadline = time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            if self.store.borrow().faults.down {
                return unavailable_response();
            }
            if self.store.borrow().revision > after || time::Instant::now() >= deadline {
                return self.objects_after(after);
            }
            // A timeout is handled by the check above.
            let _ = time::timeout_at(deadline, changed).await;
        }
    }

    fn objects_after(&self, after: u64) -> HttpResponse {
        let store = self.store.borrow();
        let newer: Vec<&Object> = store
            .objects
            .values()
            .filter(|object| object.version > after)
            .collect();
        let listing = json!({ "revision": store.revision, "objects": newer });
        problem::json_response(StatusCode::OK, &listing)
    }

    async fn put(&self, key: SmolStr, req: Request<Incoming>) -> HttpResponse {
        #[derive(Deserialize)]
        struct PutBody {
            value: SmolStr,
        }
        let expected_version: u64 = query_parameter(&req, "if_version")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let body = body::read(req.into_body(), VALUE_MAX_BYTES * 2, BODY_TIMEOUT).await;
        let value = body
            .ok()
            .and_then(|body| serde_json::from_slice::<PutBody>(&body).ok());
        let Some(PutBody { value }) = value else {
            return problem::text_response(
                StatusCode::BAD_REQUEST,
                "expected a value\n".to_owned(),
            );
        };
        if value.len() as u64 > VALUE_MAX_BYTES {
            return problem::text_response(StatusCode::PAYLOAD_TOO_LARGE, String::new());
        }
        self.write(key, value, expected_version)
    }

    fn write(&self, key: SmolStr, value: SmolStr, expected_version: u64) -> HttpResponse {
        let mut store = self.store.borrow_mut();
        let current_version = store.objects.get(&key).map_or(0, |object| object.version);
        if current_version != expected_version {
            store.counts.conflicts += 1;
            return problem::json_response(
                StatusCode::CONFLICT,
                &json!({ "version": current_version }),
            );
        }
        store.counts.writes += 1;
        store.revision += 1;
        let version = store.revision;
        let object = Object {
            key: key.clone(),
            version,
            value,
        };
        store.objects.insert(key, object);
        self.changed.notify_waiters();
        if store.faults.lose_answers > 0 {
            store.faults.lose_answers -= 1;
            return unavailable_response();
        }
        problem::json_response(StatusCode::OK, &json!({ "version": version }))
    }
}

fn unavailable_response() -> HttpResponse {
    problem::text_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "platform is down\n".to_owned(),
    )
}

fn query_parameter(req: &Request<Incoming>, name: &str) -> Option<String> {
    let query = req.uri().query()?;
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then(|| value.to_owned())
    })
}
