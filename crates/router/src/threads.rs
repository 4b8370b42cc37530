//! Threads of a daemon, one for each duty, and the bounded rings between them.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, PoisonError, mpsc};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use log::{error, info};
use pollenrouter_caller::listener as callers;
use pollenrouter_core::{id, membership, service};
use pollenrouter_daemon::{keys, message as daemon, peer, tls};
use pollenrouter_operator::{listener as operators, settings};
use pollenrouter_platform::client::Client;
use pollenrouter_platform::object::{Member, MemberState};
use pollenrouter_target::{announcement, message as target, sender};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::{mpsc as ring, watch};
use tokio::{runtime, task};

use crate::calls::{Calls, Rings};
use crate::error::Error;
use crate::event::{self, Event};
use crate::fleet::{BodyLimits, Fleet, Shared};
use crate::instruments;
use crate::registry;
use crate::router::Router;
use crate::timer::Timer;

/// Commands that may wait for the peer thread, and for the target thread.
const RING: usize = 4096;
const TICK: Duration = Duration::from_millis(10);
/// Time for the last write to the platform and the last answers.
const LAST_WRITES: Duration = Duration::from_secs(1);

struct Sockets {
    public: TcpListener,
    internal: TcpListener,
    target: TcpListener,
    operator: TcpListener,
    daemons: UdpSocket,
}

/// Runs a daemon until a planned stop is done.
pub fn run(settings: settings::Settings) -> Result<(), Error> {
    let transport = tls::transport(&keys::Keys {
        authority: settings.keys.authority.to_string(),
        certificate: settings.keys.certificate.to_string(),
        key: settings.keys.key.to_string(),
    })?;
    let sockets = bind(&settings.listen)?;
    let (tx, rx) = mpsc::sync_channel(event::RING);
    let (daemons, daemon_commands) = ring::channel(RING);
    let (to_target, target_commands) = ring::channel(RING);
    let (writes, write_commands) = mpsc::sync_channel(registry::RING);
    let (stop, stopping) = watch::channel(false);
    let incarnation: id::Incarnation = rand::random();
    let limits = BodyLimits::default();
    let watching = Arc::new(AtomicBool::new(false));
    let (instruments, metrics) = instruments::start()?;

    let own = member(&settings, incarnation, sockets.daemons.local_addr()?);
    log_start(&own, &sockets)?;
    let client = Client::new(&settings.platform);
    registry::start_writer(
        client.clone(),
        settings.host.clone(),
        write_commands,
        tx.clone(),
    )?;
    registry::start_reader(client, watching.clone(), tx.clone())?;

    let shared = Shared {
        limits: limits.clone(),
        watching,
        writes,
    };
    let rings = Rings {
        daemons: daemons.clone(),
        target: to_target.clone(),
    };
    let calls = Calls::new(settings.host.clone(), incarnation, rings, instruments);
    let fleet = Fleet::new(own, shared);
    let router = Router::new(fleet, calls, daemons, to_target, settings.stop_timeout);

    let peers = start_peers(sockets.daemons, transport, daemon_commands, &tx)?;
    let target = start_target(sockets.target, target_commands, &tx, &stopping)?;
    let listeners = Listeners {
        public: sockets.public,
        internal: sockets.internal,
        operator: sockets.operator,
    };
    let callers = start_callers(listeners, limits, metrics, &tx, &stopping)?;
    start_timer(&tx)?;
    start_signals(tx)?;

    router.run(&rx);
    drop(rx);
    stop.send_replace(true);
    let _ = callers.join();
    let _ = peers.join();
    let _ = target.join();
    thread::sleep(LAST_WRITES);
    info!("stopped");
    Ok(())
}

fn member(
    settings: &settings::Settings,
    incarnation: id::Incarnation,
    address: SocketAddr,
) -> Member {
    Member {
        host: settings.host.clone(),
        failure_domain: settings.failure_domain.clone(),
        service: None,
        incarnation,
        address,
        state: MemberState::Leaving,
        changes: Vec::new(),
    }
}

fn bind(listen: &settings::Listen) -> Result<Sockets, Error> {
    let tcp =
        |name, address| TcpListener::bind(address).map_err(|err| Error::Listen(name, address, err));
    Ok(Sockets {
        public: tcp("public", listen.public)?,
        internal: tcp("internal", listen.internal)?,
        target: tcp("target", listen.target)?,
        operator: tcp("operator", listen.operator)?,
        daemons: UdpSocket::bind(listen.daemons)
            .map_err(|err| Error::Listen("daemons", listen.daemons, err))?,
    })
}

fn log_start(own: &Member, sockets: &Sockets) -> Result<(), Error> {
    info!(
        host:% = own.host,
        incarnation:% = format!("{:x}", own.incarnation),
        public:% = sockets.public.local_addr()?,
        internal:% = sockets.internal.local_addr()?,
        announcements:% = sockets.target.local_addr()?,
        operator:% = sockets.operator.local_addr()?,
        daemons:% = own.address;
        "listening"
    );
    Ok(())
}

/// Starts a thread with a current-thread runtime of its own.
fn start<F>(
    name: &'static str,
    work: impl FnOnce() -> F + Send + 'static,
) -> Result<JoinHandle<()>, Error>
where
    F: Future<Output = std::io::Result<()>> + 'static,
{
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let body = move || {
        let local = task::LocalSet::new();
        if let Err(err) = local.block_on(&runtime, async { work().await }) {
            error!("thread {name} failed: {err}");
        }
    };
    Ok(thread::Builder::new().name(name.to_owned()).spawn(body)?)
}

fn start_peers(
    socket: UdpSocket,
    transport: tls::Transport,
    commands: ring::Receiver<daemon::Command>,
    tx: &event::Sender,
) -> Result<JoinHandle<()>, Error> {
    let tx = tx.clone();
    let sink: peer::Sink = Arc::new(move |event| event::offer(&tx, Event::Daemon(event)));
    start("daemons", move || {
        peer::run(socket, transport, commands, sink)
    })
}

fn start_target(
    listener: TcpListener,
    mut commands: ring::Receiver<target::Command>,
    tx: &event::Sender,
    stopping: &watch::Receiver<bool>,
) -> Result<JoinHandle<()>, Error> {
    let tx = tx.clone();
    let stopping = stopping.clone();
    start("target", move || async move {
        let sender = sender::Sender::new(Arc::new(move |event| {
            event::deliver(&tx, Event::Target(event));
        }));
        task::spawn_local(announcement::serve(listener, sender.clone(), stopping));
        while let Some(command) = commands.recv().await {
            sender.run(command);
        }
        Ok(())
    })
}

struct Listeners {
    public: TcpListener,
    internal: TcpListener,
    operator: TcpListener,
}

fn start_callers(
    listeners: Listeners,
    limits: BodyLimits,
    metrics: prometheus::Registry,
    tx: &event::Sender,
    stopping: &watch::Receiver<bool>,
) -> Result<JoinHandle<()>, Error> {
    let calls = tx.clone();
    let asks = tx.clone();
    let stopping = stopping.clone();
    start("callers", move || async move {
        let cx = callers::Context {
            sink: Arc::new(move |event| event::offer(&calls, Event::Caller(event))),
            body_limit: Arc::new(move |service| {
                let limits = limits.read().unwrap_or_else(PoisonError::into_inner);
                limits.get(service).copied()
            }),
            tokens: Arc::new(AtomicU64::new(1)),
        };
        let status: operators::Status =
            Arc::new(move |reply_to| event::offer(&asks, Event::Status(reply_to)));
        let metrics: operators::Metrics = Arc::new(move || instruments::render(&metrics));
        let everyone = service::Audience::Everyone;
        let internal = service::Audience::Internal;
        let operator = operators::serve(listeners.operator, status, metrics, stopping.clone());
        let operator = task::spawn_local(operator);
        let (public, internal) = tokio::join!(
            callers::serve(listeners.public, everyone, cx.clone(), stopping.clone()),
            callers::serve(listeners.internal, internal, cx, stopping),
        );
        operator.abort();
        public.and(internal)
    })
}

fn start_timer(tx: &event::Sender) -> Result<(), Error> {
    let mut timer = Timer::default();
    let ticks = tx.clone();
    timer.subscribe(
        TICK,
        Box::new(move || {
            event::offer(&ticks, Event::Tick);
        }),
    );
    let rounds = tx.clone();
    timer.subscribe(
        membership::ROUND,
        Box::new(move || {
            event::offer(&rounds, Event::Round);
        }),
    );
    timer.start()
}

fn start_signals(tx: event::Sender) -> Result<(), Error> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let work = move || {
        for _ in signals.forever() {
            event::deliver(&tx, Event::Stop);
        }
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(work)?;
    Ok(())
}
