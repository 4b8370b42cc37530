//! Threads of a daemon, one for each duty, and the bounded rings between them.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, PoisonError, mpsc};
use std::thread;
use std::time::Duration;

use log::info;
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
use crate::fleet::{Fleet, Shared, SharedKnown};
use crate::instruments;
use crate::registry;
use crate::router::Router;
use crate::timer::Timer;

/// Commands that may wait for the protocol, and for the target's client.
const RING: usize = 4096;
const TICK: Duration = Duration::from_millis(25);
/// Time for the last write to the platform and the last answers.
const LAST_WRITES: Duration = Duration::from_secs(1);

struct Sockets {
    public: TcpListener,
    internal: TcpListener,
    target: TcpListener,
    operator: TcpListener,
    daemons: UdpSocket,
}

/// All that carrying calls needs.
struct Work {
    sockets: Sockets,
    transport: tls::Transport,
    incarnation: id::Incarnation,
    commands: ring::Receiver<daemon::Command>,
    target_commands: ring::Receiver<target::Command>,
    known: SharedKnown,
    metrics: prometheus::Registry,
    router: Router,
    tx: event::Sender,
    rx: ring::Receiver<Event>,
}

/// Runs a daemon until a planned stop is done.
pub fn run(settings: &settings::Settings) -> Result<(), Error> {
    let transport = tls::transport(&keys::Keys {
        authority: settings.keys.authority.to_string(),
        certificate: settings.keys.certificate.to_string(),
        key: settings.keys.key.to_string(),
    })?;
    let sockets = bind(&settings.listen)?;
    let (tx, rx) = ring::channel(event::RING);
    let (daemons, daemon_commands) = ring::channel(RING);
    let (to_target, target_commands) = ring::channel(RING);
    let (writes, write_commands) = mpsc::sync_channel(registry::RING);
    let incarnation: id::Incarnation = rand::random();
    let known = SharedKnown::default();
    let watching = Arc::new(AtomicBool::new(false));
    let confirmed = Arc::new(AtomicBool::new(false));
    let (instruments, metrics) = instruments::start()?;

    let own = member(settings, incarnation, sockets.daemons.local_addr()?);
    log_start(&own, &sockets)?;
    let client = Client::new(&settings.platform);
    registry::start_writer(
        client.clone(),
        settings.host.clone(),
        write_commands,
        tx.clone(),
    )?;
    registry::start_reader(client, watching.clone(), confirmed.clone(), tx.clone())?;

    let shared = Shared {
        known: known.clone(),
        watching,
        confirmed,
        writes,
    };
    let rings = Rings {
        daemons: daemons.clone(),
        target: to_target.clone(),
    };
    let calls = Calls::new(settings.host.clone(), incarnation, rings, instruments);
    let fleet = Fleet::new(own, shared);
    let router = Router::new(fleet, calls, daemons, to_target, settings.stop_timeout);

    let work = Work {
        sockets,
        transport,
        incarnation,
        commands: daemon_commands,
        target_commands,
        known,
        metrics,
        router,
        tx: tx.clone(),
        rx,
    };
    start_timer(&tx)?;
    start_signals(tx)?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    task::LocalSet::new().block_on(&runtime, carry(work))?;
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

/// Carries calls on one thread: listeners, protocol, target and decisions.
/// A call changes hands between them without waking another thread.
async fn carry(work: Work) -> std::io::Result<()> {
    let Work {
        sockets,
        transport,
        incarnation,
        commands,
        target_commands,
        known,
        metrics,
        router,
        tx,
        rx,
    } = work;
    let (stop, stopping) = watch::channel(false);
    let events = tx.clone();
    let sink: peer::Sink = Arc::new(move |event| event::offer(&events, Event::Daemon(event)));
    let peers = task::spawn_local(peer::run(
        sockets.daemons,
        incarnation,
        transport,
        commands,
        sink,
    ));
    start_target(
        sockets.target,
        target_commands,
        tx.clone(),
        stopping.clone(),
    );
    start_operators(sockets.operator, metrics, tx.clone(), stopping.clone());
    let cx = callers_context(known, tx);
    let everyone = service::Audience::Everyone;
    let internal = service::Audience::Internal;
    let public = callers::serve(sockets.public, everyone, cx.clone(), stopping.clone());
    let internal = callers::serve(sockets.internal, internal, cx, stopping);
    let (public, internal) = (task::spawn_local(public), task::spawn_local(internal));
    router.run(rx).await;
    stop.send_replace(true);
    public.await??;
    internal.await??;
    peers.await??;
    Ok(())
}

fn start_target(
    listener: TcpListener,
    mut commands: ring::Receiver<target::Command>,
    tx: event::Sender,
    stopping: watch::Receiver<bool>,
) {
    let sender = sender::Sender::new(Rc::new(move |event| {
        tx.try_send(Event::Target(event)).or_else(returned)
    }));
    task::spawn_local(announcement::serve(listener, sender.clone(), stopping));
    task::spawn_local(async move {
        while let Some(command) = commands.recv().await {
            sender.run(command);
        }
    });
}

/// Gives back an event that there was no room for; a router that has ended
/// needs none.
fn returned(err: ring::error::TrySendError<Event>) -> Result<(), target::Event> {
    match err {
        ring::error::TrySendError::Full(Event::Target(event)) => Err(event),
        _ => Ok(()),
    }
}

fn start_operators(
    listener: TcpListener,
    metrics: prometheus::Registry,
    tx: event::Sender,
    stopping: watch::Receiver<bool>,
) {
    let status: operators::Status =
        Arc::new(move |reply_to| event::offer(&tx, Event::Status(reply_to)));
    let metrics: operators::Metrics = Arc::new(move || instruments::render(&metrics));
    task::spawn_local(operators::serve(listener, status, metrics, stopping));
}

fn callers_context(known: SharedKnown, tx: event::Sender) -> callers::Context {
    callers::Context {
        sink: Arc::new(move |event| event::offer(&tx, Event::Caller(event))),
        body_limit: Arc::new(move |service| {
            let known = known.read().unwrap_or_else(PoisonError::into_inner);
            match known.request_bytes.get(service) {
                Some(bytes) => callers::BodyLimit::Bytes(*bytes),
                None if known.is_confirmed => callers::BodyLimit::NoService,
                None => callers::BodyLimit::NotReady,
            }
        }),
        tokens: Arc::new(AtomicU64::new(1)),
    }
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
