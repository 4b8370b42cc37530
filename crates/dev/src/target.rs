//! Stand-in for a target: slots, service times, drain, cold start, shedding,
//! slow-down, fail-fast, and a ledger of every run.

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
use crate::ledger::{self, Ledger, Line, Step};

const BODY_MAX_BYTES: u64 = 16 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);
const CALL: &str = "pollenrouter-call";
const PROBE: &str = "pollenrouter-probe";
const DEPTH: &str = "pollenrouter-depth";
const DEADLINE: &str = "pollenrouter-deadline-ms";
/// Header by which a caller of the tools asks for calls from target to target:
/// how many more, each on the same path.
pub const CHAIN: &str = "x-chain";
const CANCELLED: StatusCode = StatusCode::GONE;
/// Header with the time that a run took, microseconds.
pub const TOOK: &str = "target-took-us";
/// Header by which a caller of the tools states a run's service time.
pub const WORK: &str = "x-work-us";
/// Header by which a caller of the tools states the answer's size.
pub const SIZE: &str = "x-answer-bytes";

/// How a target behaves.
#[derive(Clone, Debug, Args)]
pub struct Profile {
    /// Service that it serves.
    #[arg(long)]
    pub service: SmolStr,
    /// Target address of the daemon on its host.
    #[arg(long)]
    pub daemon: Option<SocketAddr>,
    /// Internal address of the daemon on its host, for calls of its own.
    #[arg(long)]
    pub internal: Option<SocketAddr>,
    /// Calls that it runs at once.
    #[arg(long, default_value_t = 10)]
    pub slots: u32,
    /// Mean service time, microseconds.
    #[arg(long, default_value_t = 5000)]
    pub work_us: u64,
    /// Stragglers in a thousand runs.
    #[arg(long, default_value_t = 0)]
    pub stragglers: u32,
    /// Factor of a straggler's service time.
    #[arg(long, default_value_t = 20)]
    pub straggler_factor: u32,
    /// Time to warm up, milliseconds.
    #[arg(long, default_value_t = 0)]
    pub cold_start_ms: u64,
    /// File for the ledger.
    #[arg(long)]
    pub ledger: Option<PathBuf>,
    /// Seed of the service times.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// What can be changed while it runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Announces that it is leaving.
    pub draining: bool,
    /// Factor on service times.
    pub slow_factor: u32,
    /// Answers 500 at once.
    pub fail_fast: bool,
    /// Refuses every call.
    pub shed: bool,
    /// Health states so many running calls, whatever runs.
    pub claimed_running: Option<u32>,
    /// Health is answered this late, milliseconds.
    pub health_lag_ms: u64,
    /// Target address of the daemon on its host.
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
    cancels: RefCell<BTreeMap<SmolStr, Rc<Notify>>>,
    ledger: RefCell<Ledger>,
    rng: RefCell<SmallRng>,
}

type Answer = Response<Full<Bytes>>;

/// Runs the stand-in on a port of the system's choice and prints the address.
///
/// # Errors
/// The socket, the ledger or the runtime can not be had.
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
        cancels: RefCell::default(),
        ledger: RefCell::new(Ledger::open(profile.ledger.as_deref())?),
        rng: RefCell::new(SmallRng::seed_from_u64(profile.seed)),
        profile,
    });
    let announcing = target.clone();
    let handler = move |req| {
        let target = target.clone();
        async move { target.handle(req).await }
    };
    task::LocalSet::new().block_on(&runtime, async move {
        task::spawn_local(async move { announcing.announce(address).await });
        server::serve(listener, server::Limits::default(), stopping, handler).await
    })?;
    Ok(())
}

/// Marks a run as cut if it is dropped before its end.
struct Run<'a> {
    target: &'a Target,
    line: Line,
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        *self.target.running.borrow_mut() -= 1;
        if self.line.step == Step::Begin {
            self.line.step = Step::Cut;
        }
        self.target.note(&self.line);
    }
}

impl Target {
    async fn announce(&self, address: SocketAddr) {
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
        // The next period makes up for a failed announcement.
        if let Ok(request) = request
            && let Ok((response, lent)) = client.send(request, client::IDLE_MAX).await
            && body::read(response.into_body(), BODY_MAX_BYTES, BODY_TIMEOUT)
                .await
                .is_ok()
        {
            lent.return_to_pool();
        }
    }

    async fn handle(&self, req: Request<Incoming>) -> Answer {
        match req.uri().path() {
            "/.target/health" => {
                if req.headers().contains_key(PROBE) {
                    *self.probes.borrow_mut() += 1;
                }
                let probes = *self.probes.borrow();
                let control = self.control.borrow().clone();
                let counted = *self.running.borrow();
                time::sleep(Duration::from_millis(control.health_lag_ms)).await;
                let running = control.claimed_running.unwrap_or(counted);
                problem::json_response(
                    StatusCode::OK,
                    &json!({ "running": running, "probes": probes }),
                )
            }
            "/.target/control" => self.set(req).await,
            path => match path.strip_prefix("/.target/cancel/") {
                Some(id) => self.cancel(id),
                None => self.call(req).await,
            },
        }
    }

    fn cancel(&self, id: &str) -> Answer {
        if let Some(cancelled) = self.cancels.borrow().get(id) {
            cancelled.notify_one();
        }
        problem::text_response(StatusCode::OK, String::new())
    }

    async fn set(&self, req: Request<Incoming>) -> Answer {
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

    async fn call(&self, req: Request<Incoming>) -> Answer {
        let line = Line {
            request: head::text(req.headers(), ledger::REQUEST)
                .unwrap_or("")
                .into(),
            route: format!("{} {}", req.method(), req.uri().path()).into(),
            step: Step::Begin,
        };
        let id = SmolStr::new(head::text(req.headers(), CALL).unwrap_or(""));
        let number = |name| head::text(req.headers(), name).and_then(|text| text.parse().ok());
        let work = number(WORK).map(Duration::from_micros);
        let size: u64 = number(SIZE).unwrap_or(0);
        let onward = self.onward(&req);
        let Ok(body) = body::read(req.into_body(), BODY_MAX_BYTES, BODY_TIMEOUT).await else {
            return problem::text_response(StatusCode::BAD_REQUEST, String::new());
        };
        let control = self.control.borrow().clone();
        if control.shed || *self.running.borrow() >= self.profile.slots {
            return self.refuse(line);
        }
        if control.fail_fast {
            return problem::text_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                "failed\n".to_owned(),
            );
        }
        let begun = Instant::now();
        let mut run = self.begin(line);
        let work = work.unwrap_or_else(|| self.draw()) * control.slow_factor;
        let cancelled = Rc::<Notify>::default();
        self.cancels
            .borrow_mut()
            .insert(id.clone(), cancelled.clone());
        let ended = tokio::select! {
            biased;
            () = cancelled.notified() => Step::Cancelled,
            () = time::sleep(work), if !work.is_zero() => Step::End,
            () = std::future::ready(()), if work.is_zero() => Step::End,
        };
        self.cancels.borrow_mut().remove(&id);
        run.line.step = ended;
        if ended == Step::Cancelled {
            return problem::text_response(CANCELLED, "cancelled\n".to_owned());
        }
        if let Some((client, onward)) = onward
            && !relay(&client, onward).await
        {
            return problem::text_response(StatusCode::BAD_GATEWAY, "chain broke\n".to_owned());
        }
        answer(&run.line.request, &body, size, begun.elapsed())
    }

    /// The next call of a chain, by the internal listener of the daemon.
    fn onward(&self, req: &Request<Incoming>) -> Option<(client::Client, Request<Full<Bytes>>)> {
        let header = |name| head::text(req.headers(), name);
        let left: u32 = header(CHAIN)?.parse().ok().filter(|left| *left > 0)?;
        let client = client::Client::new(self.profile.internal?);
        let path = format!("/{}{}", self.profile.service, req.uri().path());
        let mut builder = Request::builder()
            .method(req.method())
            .uri(path)
            .header("host", client.address().to_string())
            .header(CHAIN, (left - 1).to_string());
        for name in [DEPTH, DEADLINE, WORK, SIZE, ledger::REQUEST] {
            if let Some(value) = req.headers().get(name) {
                builder = builder.header(name, value);
            }
        }
        let request = builder.body(Full::new(Bytes::new())).ok()?;
        Some((client, request))
    }

    /// A target without a whole ledger can judge nothing, so it ends.
    fn note(&self, line: &Line) {
        if let Err(err) = self.ledger.borrow_mut().write(line) {
            eprintln!("could not write the ledger: {err}");
            std::process::exit(1);
        }
    }

    fn begin(&self, line: Line) -> Run<'_> {
        *self.running.borrow_mut() += 1;
        self.note(&line);
        Run { target: self, line }
    }

    fn refuse(&self, mut line: Line) -> Answer {
        line.step = Step::Shed;
        self.note(&line);
        let mut answer =
            problem::text_response(StatusCode::SERVICE_UNAVAILABLE, "shed\n".to_owned());
        let value = HeaderValue::from_static("true");
        answer.headers_mut().insert("target-shed", value);
        answer
    }

    /// Draws an exponential service time; some runs are stragglers.
    fn draw(&self) -> Duration {
        let mut rng = self.rng.borrow_mut();
        let uniform: f64 = rng.random();
        let mean = Duration::from_micros(self.profile.work_us);
        let work = mean.mul_f64(-(1.0 - uniform).ln());
        if rng.random_range(0..1000) < self.profile.stragglers {
            work * self.profile.straggler_factor
        } else {
            work
        }
    }
}

/// Makes the next call of a chain; tells whether it was answered.
async fn relay(client: &client::Client, request: Request<Full<Bytes>>) -> bool {
    match client.send(request, client::IDLE_MAX).await {
        Ok((response, _)) => response.status().is_success(),
        Err(_) => false,
    }
}

/// The whole answer names its request, so that a caller can tell its own.
fn answer(request: &str, body: &Bytes, size: u64, took: Duration) -> Answer {
    let padding = "x".repeat(usize::try_from(size).unwrap_or(0));
    let text = format!("{request} {} {padding}", body.len());
    let mut answer = problem::text_response(StatusCode::OK, text);
    if let Ok(value) = HeaderValue::from_str(&took.as_micros().to_string()) {
        answer.headers_mut().insert(TOOK, value);
    }
    answer
}
