//! Stand-in for a target, with configurable slots, service times, drain, cold start,
//! load shedding, slowdown and failures, and a ledger of all runs.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::Args;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use pollenrouter_http::{body, client, head, problem, server};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::SmolStr;
use tokio::sync::{Notify, watch};
use tokio::{runtime, task, time};

use crate::error::Error;
use crate::ledger::{self, Ledger, LedgerRecord, Step};

const BODY_MAX_BYTES: u64 = 16 << 20;
/// More than any test opens.
const CONNECTIONS_MAX: usize = 1024;
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);
const CALL_HEADER: &str = "pollenrouter-call";
const PROBE_HEADER: &str = "pollenrouter-probe";
const DEPTH_HEADER: &str = "pollenrouter-depth";
const DEADLINE_HEADER: &str = "pollenrouter-deadline-ms";
/// Header of test calls: the number of follow-up calls to make, each on the same path.
pub const CHAIN_HEADER: &str = "x-chain";
const CANCELLED_STATUS: StatusCode = StatusCode::GONE;
/// Response header with the duration of the run, microseconds.
pub const RUN_TIME_HEADER: &str = "target-took-us";
/// Header of test calls: service time of the run, microseconds.
pub const SERVICE_TIME_HEADER: &str = "x-work-us";
/// Header of test calls: padding of the response, bytes.
pub const RESPONSE_BYTES_HEADER: &str = "x-answer-bytes";

/// Startup parameters of a target stand-in.
#[derive(Clone, Debug, Args)]
pub struct Profile {
    /// Service that the target runs.
    #[arg(long)]
    pub service: SmolStr,
    /// Target listener of the daemon on the same host, for announcements.
    #[arg(long)]
    pub daemon: Option<SocketAddr>,
    /// Internal listener of the daemon on the same host, for calls that the target makes.
    #[arg(long)]
    pub internal: Option<SocketAddr>,
    /// Number of calls that can run at the same time.
    #[arg(long, default_value_t = 10)]
    pub slots: u32,
    /// Mean service time, microseconds.
    #[arg(long, default_value_t = 5000)]
    pub work_us: u64,
    /// Number of slow runs (stragglers) per thousand.
    #[arg(long, default_value_t = 0)]
    pub stragglers: u32,
    /// Factor on the service time of stragglers.
    #[arg(long, default_value_t = 20)]
    pub straggler_factor: u32,
    /// Cold start time to announce, milliseconds.
    #[arg(long, default_value_t = 0)]
    pub cold_start_ms: u64,
    /// File to append the ledger to.
    #[arg(long)]
    pub ledger: Option<PathBuf>,
    /// Random seed of the service times.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Settings that can be changed at runtime.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Announce that the target is draining.
    pub draining: bool,
    /// Factor on all service times.
    pub slow_factor: u32,
    /// Answer every call with status 500, without running it.
    pub fail_fast: bool,
    /// Shed every call.
    pub shed: bool,
    /// Number of running calls to report in health responses, instead of the actual one.
    pub claimed_running: Option<u32>,
    /// Delay of health responses, milliseconds.
    pub health_lag_ms: u64,
    /// Target listener of the daemon on the same host; `None` keeps the current one.
    pub daemon: Option<SocketAddr>,
}

impl Default for Control {
    fn default() -> Self {
        Self {
            draining: false,
            slow_factor: 1,
            fail_fast: false,
            shed: false,
            claimed_running: None,
            health_lag_ms: 0,
            daemon: None,
        }
    }
}

struct Target {
    profile: Profile,
    control: RefCell<Control>,
    running: RefCell<u32>,
    probes: RefCell<u64>,
    cancel_signals: RefCell<BTreeMap<SmolStr, Rc<Notify>>>,
    ledger: RefCell<Ledger>,
    rng: RefCell<SmallRng>,
}

type HttpResponse = Response<Full<Bytes>>;

/// Runs the stand-in on a port assigned by the system and prints its address.
///
/// # Errors
/// The socket, the ledger or the runtime cannot be created.
pub fn run(profile: Profile) -> Result<(), Error> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    println!("{address}");
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (_stop, stopping) = watch::channel(false);
    let control = Control {
        daemon: profile.daemon,
        ..Control::default()
    };
    let target = Rc::new(Target {
        control: RefCell::new(control),
        running: RefCell::new(0),
        probes: RefCell::new(0),
        cancel_signals: RefCell::default(),
        ledger: RefCell::new(Ledger::open(profile.ledger.as_deref())?),
        rng: RefCell::new(SmallRng::seed_from_u64(profile.seed)),
        profile,
    });
    let limits = server::Limits {
        max_connections: CONNECTIONS_MAX,
        ..server::Limits::default()
    };
    let announcer = target.clone();
    let handler = move |req| {
        let target = target.clone();
        async move { target.handle(req).await }
    };
    task::LocalSet::new().block_on(&runtime, async move {
        task::spawn_local(async move { announcer.announce_periodically(address).await });
        server::serve(listener, limits, stopping, handler).await
    })?;
    Ok(())
}

/// A run in progress. Dropping it writes its last event to the ledger: `cut` if the
/// run was dropped before it ended.
struct RunGuard<'a> {
    target: &'a Target,
    record: LedgerRecord,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        *self.target.running.borrow_mut() -= 1;
        if self.record.step == Step::Begin {
            self.record.step = Step::Cut;
        }
        self.target.write_record(&self.record);
    }
}

impl Target {
    async fn announce_periodically(&self, address: SocketAddr) {
        let mut client: Option<client::Client> = None;
        loop {
            let daemon = self.control.borrow().daemon;
            if let Some(daemon) = daemon {
                if client.as_ref().is_none_or(|c| c.address() != daemon) {
                    client = Some(client::Client::new(daemon));
                }
                if let Some(client) = &client {
                    self.announce_once(client, address).await;
                }
            }
            time::sleep(ANNOUNCE_PERIOD).await;
        }
    }

    async fn announce_once(&self, client: &client::Client, address: SocketAddr) {
        let announcement = json!({
            "service": self.profile.service,
            "address": address,
            "slots": self.profile.slots,
            "draining": self.control.borrow().draining,
            "cold_start_ms": self.profile.cold_start_ms,
        });
        let request = Request::builder()
            .method("PUT")
            .uri("/.pollenrouter/target")
            .header("host", client.address().to_string())
            .body(Full::new(Bytes::from(announcement.to_string())));
        // A failed announcement is repeated in the next period.
        if let Ok(request) = request
            && let Ok((response, connection)) = client.send(request, client::IDLE_MAX).await
            && body::read(response.into_body(), BODY_MAX_BYTES, BODY_TIMEOUT)
                .await
                .is_ok()
        {
            connection.return_to_pool();
        }
    }

    async fn handle(&self, req: Request<Incoming>) -> HttpResponse {
        match req.uri().path() {
            "/.target/health" => {
                if req.headers().contains_key(PROBE_HEADER) {
                    *self.probes.borrow_mut() += 1;
                }
                let probes = *self.probes.borrow();
                let control = self.control.borrow().clone();
                let actual_running = *self.running.borrow();
                time::sleep(Duration::from_millis(control.health_lag_ms)).await;
                let running = control.claimed_running.unwrap_or(actual_running);
                problem::json_response(
                    StatusCode::OK,
                    &json!({ "running": running, "probes": probes }),
                )
            }
            "/.target/control" => self.set_control(req).await,
            path => {
                if let Some(call_id) = path.strip_prefix("/.target/cancel/") {
                    return self.cancel(call_id);
                }
                let call_id = req.headers().get(CALL_HEADER).cloned();
                let mut response = self.run_call(req).await;
                // Shows the daemon which call the response belongs to.
                if let Some(call_id) = call_id {
                    response.headers_mut().insert(CALL_HEADER, call_id);
                }
                response
            }
        }
    }

    fn cancel(&self, call_id: &str) -> HttpResponse {
        if let Some(cancel_signal) = self.cancel_signals.borrow().get(call_id) {
            cancel_signal.notify_one();
        }
        problem::text_response(StatusCode::OK, String::new())
    }

    async fn set_control(&self, req: Request<Incoming>) -> HttpResponse {
        let body = body::read(req.into_body(), BODY_MAX_BYTES, BODY_TIMEOUT).await;
        let control = body
            .ok()
            .and_then(|body| serde_json::from_slice::<Control>(&body).ok());
        let Some(mut control) = control else {
            return problem::text_response(
                StatusCode::BAD_REQUEST,
                "expected a control\n".to_owned(),
            );
        };
        control.daemon = control.daemon.or(self.control.borrow().daemon);
        *self.control.borrow_mut() = control;
        problem::text_response(StatusCode::OK, String::new())
    }

    async fn run_call(&self, req: Request<Incoming>) -> HttpResponse {
        let record = LedgerRecord {
            request: head::text(req.headers(), ledger::REQUEST_ID_HEADER)
                .unwrap_or("")
                .into(),
            route: format!("{} {}", req.method(), req.uri().path()).into(),
            step: Step::Begin,
        };
        let call_id = SmolStr::new(head::text(req.headers(), CALL_HEADER).unwrap_or(""));
        let parse = |name| head::text(req.headers(), name).and_then(|text| text.parse().ok());
        let service_time = parse(SERVICE_TIME_HEADER).map(Duration::from_micros);
        let response_bytes: u64 = parse(RESPONSE_BYTES_HEADER).unwrap_or(0);
        let next_call = self.next_call(&req);
        let Ok(body) = body::read(req.into_body(), BODY_MAX_BYTES, BODY_TIMEOUT).await else {
            return problem::text_response(StatusCode::BAD_REQUEST, String::new());
        };
        let control = self.control.borrow().clone();
        if control.shed || *self.running.borrow() >= self.profile.slots {
            return self.shed_call(record);
        }
        if control.fail_fast {
            return problem::text_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                "failed\n".to_owned(),
            );
        }
        let started_at = Instant::now();
        let mut run = self.begin_run(record);
        let service_time =
            service_time.unwrap_or_else(|| self.sample_service_time()) * control.slow_factor;
        let cancel_signal = Rc::<Notify>::default();
        self.cancel_signals
            .borrow_mut()
            .insert(call_id.clone(), cancel_signal.clone());
        let last_step = tokio::select! {
            biased;
            () = cancel_signal.notified() => Step::Cancelled,
            () = time::sleep(service_time), if !service_time.is_zero() => Step::End,
            () = std::future::ready(()), if service_time.is_zero() => Step::End,
        };
        self.cancel_signals.borrow_mut().remove(&call_id);
        run.record.step = last_step;
        if last_step == Step::Cancelled {
            return problem::text_response(CANCELLED_STATUS, "cancelled\n".to_owned());
        }
        if let Some((client, next_call)) = next_call
            && !send_chained_call(&client, next_call).await
        {
            return problem::text_response(StatusCode::BAD_GATEWAY, "chain broke\n".to_owned());
        }
        build_response(
            &run.record.request,
            &body,
            response_bytes,
            started_at.elapsed(),
        )
    }

    /// Builds the next call of a chain, which goes through the internal listener of the daemon.
    fn next_call(&self, req: &Request<Incoming>) -> Option<(client::Client, Request<Full<Bytes>>)> {
        let header = |name| head::text(req.headers(), name);
        let remaining: u32 = header(CHAIN_HEADER)?
            .parse()
            .ok()
            .filter(|remaining| *remaining > 0)?;
        let client = client::Client::new(self.profile.internal?);
        let path = format!("/{}{}", self.profile.service, req.uri().path());
        let mut builder = Request::builder()
            .method(req.method())
            .uri(path)
            .header("host", client.address().to_string())
            .header(CHAIN_HEADER, (remaining - 1).to_string());
        for name in [
            DEPTH_HEADER,
            DEADLINE_HEADER,
            SERVICE_TIME_HEADER,
            RESPONSE_BYTES_HEADER,
            ledger::REQUEST_ID_HEADER,
        ] {
            if let Some(value) = req.headers().get(name) {
                builder = builder.header(name, value);
            }
        }
        let request = builder.body(Full::new(Bytes::new())).ok()?;
        Some((client, request))
    }

    /// Exits if the ledger cannot be written: an incomplete ledger would hide violations.
    fn write_record(&self, record: &LedgerRecord) {
        if let Err(err) = self.ledger.borrow_mut().write(record) {
            eprintln!("could not write to the ledger: {err}");
            std::process::exit(1);
        }
    }

    fn begin_run(&self, record: LedgerRecord) -> RunGuard<'_> {
        *self.running.borrow_mut() += 1;
        self.write_record(&record);
        RunGuard {
            target: self,
            record,
        }
    }

    fn shed_call(&self, mut record: LedgerRecord) -> HttpResponse {
        record.step = Step::Shed;
        self.write_record(&record);
        let mut response =
            problem::text_response(StatusCode::SERVICE_UNAVAILABLE, "shed\n".to_owned());
        let value = HeaderValue::from_static("true");
        response.headers_mut().insert("target-shed", value);
        response
    }

    /// Samples an exponentially distributed service time; some runs are stragglers.
    fn sample_service_time(&self) -> Duration {
        let mut rng = self.rng.borrow_mut();
        let uniform: f64 = rng.random();
        let mean = Duration::from_micros(self.profile.work_us);
        let service_time = mean.mul_f64(-(1.0 - uniform).ln());
        if rng.random_range(0..1000) < self.profile.stragglers {
            service_time * self.profile.straggler_factor
        } else {
            service_time
        }
    }
}

/// Sends the next call of a chain and returns whether it succeeded.
async fn send_chained_call(client: &client::Client, request: Request<Full<Bytes>>) -> bool {
    match client.send(request, client::IDLE_MAX).await {
        Ok((response, _)) => response.status().is_success(),
        Err(_) => false,
    }
}

/// Response that starts with the request ID and the length of the request body, so
/// that a caller can verify that the response is its own.
fn build_response(
    request_id: &str,
    body: &Bytes,
    response_bytes: u64,
    run_time: Duration,
) -> HttpResponse {
    let padding = "x".repeat(usize::try_from(response_bytes).unwrap_or(0));
    let text = format!("{request_id} {} {padding}", body.len());
    let mut response = problem::text_response(StatusCode::OK, text);
    if let Ok(value) = HeaderValue::from_str(&run_time.as_micros().to_string()) {
        response.headers_mut().insert(RUN_TIME_HEADER, value);
    }
    response
}
