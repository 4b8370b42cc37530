//! Threads of a daemon, one for each duty, and the bounded rings between them.

use std::iter;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, PoisonError, mpsc};
use std::thread;
use std::time::Duration;

use log::{info, warn};
use pollenrouter_caller::listener as callers;
use pollenrouter_core::{id, membership, service, table};
use pollenrouter_daemon::{keys, message as daemon, protocol, tls};
use pollenrouter_http::convention::Convention;
use pollenrouter_operator::{listener as operators, settings};
use pollenrouter_platform::client::Client;
use pollenrouter_platform::object::{Member, MemberState};
use pollenrouter_target::{announcement, message as target, sender};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::{mpsc as ring, watch};
use tokio::{runtime, task};

use crate::calls::{Calls, Own, Rings};
use crate::error::Error;
use crate::event::{self, Event};
use crate::fleet::{Fleet, SharedListenerState, SharedState};
use crate::instruments;
use crate::platform_io;
use crate::profile::Profile;
use crate::router::Router;
use crate::routes;
use crate::timer::{self, Timer};

/// Commands that may wait for the protocol, and for the target's client.
const RING: usize = 4096;
/// Announcements in a row that may fail to come before a target counts as gone.
const ANNOUNCEMENTS_MISSED: u32 = 3;
const TICK: Duration = Duration::from_millis(25);
/// The settings are read again this often: an operator expects to be told of a mistake
/// while still at work on them.
const SETTINGS_CHECK: Duration = Duration::from_secs(5);
/// Time for the last write to the platform and the last answers.
const LAST_WRITES: Duration = Duration::from_millis(300);

struct Sockets {
    public: TcpListener,
    internal: Option<TcpListener>,
    target: TcpListener,
    operator: TcpListener,
    metrics: Option<TcpListener>,
    daemons: UdpSocket,
}

/// All that carrying calls needs.
struct Work {
    sockets: Sockets,
    transport: tls::Transport,
    incarnation: id::Incarnation,
    convention: Convention,
    announcements: announcement::ParseFn,
    answer_wait: Duration,
    service: Option<id::ServiceName>,
    target: Option<SocketAddr>,
    commands: ring::Receiver<daemon::Command>,
    target_commands: ring::Receiver<target::Command>,
    known: SharedListenerState,
    metrics: prometheus::Registry,
    router: Router,
    /// Turns true when callers are no longer taken.
    closing: watch::Receiver<bool>,
    tx: event::Sender,
    rx: ring::Receiver<Event>,
}

/// Checks the settings again after a change.
pub struct Reload {
    /// When a signal tells of one.
    pub on_signal: Box<dyn Fn() + Send>,
    /// Now and then, if there is one.
    pub on_timer: timer::Callback,
}

/// Runs a daemon until a planned stop is done.
pub fn run(settings: &settings::Settings, reload: Reload) -> Result<(), Error> {
    let profile = Profile::of(settings);
    let transport = match &settings.keys {
        None => {
            warn!("daemons are not authenticated: the settings hold no keys and say so");
            tls::unauthenticated()?
        }
        Some(keys) => tls::authenticated(&keys::Keys {
            authority: keys.authority.to_string(),
            certificate: keys.certificate.to_string(),
            key: keys.key.to_string(),
        })?,
    };
    let sockets = bind(&settings.listen)?;
    let (tx, rx) = ring::channel(event::RING);
    let (daemons, daemon_commands) = ring::channel(RING);
    let (to_target, target_commands) = ring::channel(RING);
    let (writes, write_commands) = mpsc::sync_channel(platform_io::WRITE_QUEUE_CAPACITY);
    let incarnation: id::Incarnation = rand::random();
    let known = SharedListenerState::default();
    let watching = Arc::new(AtomicBool::new(false));
    let confirmed = Arc::new(AtomicBool::new(false));
    let (instruments, metrics) = instruments::start()?;

    let own = member(settings, incarnation, sockets.daemons.local_addr()?);
    log_start(&own, &sockets)?;
    let client = Client::with_dialect(&settings.platform, profile.dialect);
    platform_io::start_writer(
        client.clone(),
        settings.host.clone(),
        write_commands,
        tx.clone(),
    )?;
    platform_io::start_readers(&client, &watching, &confirmed, &tx)?;

    let shared = SharedState {
        listener_state: known.clone(),
        watching,
        confirmed,
        writes,
    };
    let rings = Rings {
        daemons: daemons.clone(),
        target: to_target.clone(),
    };
    let own_calls = Own {
        host: settings.host.clone(),
        failure_domain: settings.failure_domain.clone(),
        announcement_ttl: settings.announce_period * ANNOUNCEMENTS_MISSED,
        request_id_header: profile.convention.request_id_header,
        targets_report: profile.convention.load_header.is_some(),
    };
    let calls = Calls::new(own_calls, incarnation, rings, instruments);
    let (convention, announcements) = (profile.convention, profile.announcements);
    let fleet = Fleet::new(own, profile, shared);
    let (close, closing) = watch::channel(false);
    let router = Router::new(
        fleet,
        calls,
        daemons,
        to_target,
        settings.stop_timeout,
        close,
    );

    let work = Work {
        sockets,
        transport,
        incarnation,
        convention,
        announcements,
        answer_wait: settings.answer_wait,
        service: settings.service.clone(),
        target: settings.target,
        commands: daemon_commands,
        target_commands,
        known,
        metrics,
        router,
        closing,
        tx: tx.clone(),
        rx,
    };
    start_timer(&tx, reload.on_timer)?;
    start_signals(tx, reload.on_signal)?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    task::LocalSet::new().block_on(&runtime, carry(work))?;
    info!("stopped");
    thread::sleep(LAST_WRITES);
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
        service: settings.service.clone(),
        incarnation,
        address,
        state: if settings.service.is_some() {
            MemberState::Serving
        } else {
            MemberState::Leaving
        },
        departed: Vec::new(),
        changes: Vec::new(),
    }
}

fn bind(listen: &settings::ListenAddresses) -> Result<Sockets, Error> {
    let tcp =
        |name, address| TcpListener::bind(address).map_err(|err| Error::Listen(name, address, err));
    Ok(Sockets {
        public: tcp("public", listen.public)?,
        internal: listen
            .internal
            .map(|address| tcp("internal", address))
            .transpose()?,
        target: tcp("target", listen.target)?,
        operator: tcp("operator", listen.operator)?,
        metrics: listen
            .metrics
            .map(|address| tcp("metrics", address))
            .transpose()?,
        daemons: UdpSocket::bind(listen.daemons)
            .map_err(|err| Error::Listen("daemons", listen.daemons, err))?,
    })
}

fn log_start(own: &Member, sockets: &Sockets) -> Result<(), Error> {
    let internal = match &sockets.internal {
        Some(listener) => listener.local_addr()?.to_string(),
        None => String::new(),
    };
    info!(
        host:% = own.host,
        incarnation:% = format!("{:x}", own.incarnation),
        public:% = sockets.public.local_addr()?,
        internal:%,
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
        convention,
        announcements,
        answer_wait,
        service,
        target,
        commands,
        target_commands,
        known,
        metrics,
        router,
        closing,
        tx,
        rx,
    } = work;
    let (stop, stopping) = watch::channel(false);
    let events = tx.clone();
    let sink: protocol::Sink = Arc::new(move |event| event::offer(&events, Event::Daemon(event)));
    let peers = task::spawn_local(protocol::run(
        sockets.daemons,
        incarnation,
        transport,
        commands,
        sink,
    ));
    let events = tx.clone();
    let sender = sender::Sender::new(
        convention,
        answer_wait,
        Rc::new(move |event| events.try_send(Event::Target(event)).or_else(returned)),
    );
    let announced = announcement::Context {
        parse: announcements,
        sender: sender.clone(),
        service: service.clone(),
        address: target,
    };
    start_target(sockets.target, announced, target_commands, stopping.clone());
    let operators = operators_context(&convention, &known, metrics, tx.clone());
    for listener in iter::once(sockets.operator).chain(sockets.metrics) {
        task::spawn_local(operators::serve(
            listener,
            operators.clone(),
            stopping.clone(),
        ));
    }
    let mut cx = callers_context(convention, known, tx);
    cx.local_service = service;
    let audiences = [service::Audience::Everyone, service::Audience::Internal];
    let listeners = iter::once(sockets.public).chain(sockets.internal);
    let serving: Vec<_> = listeners
        .zip(audiences)
        .map(|(listener, audience)| {
            let serving = callers::serve(listener, audience, cx.clone(), closing.clone());
            task::spawn_local(serving)
        })
        .collect();
    router.run(rx).await;
    stop.send_replace(true);
    for listener in serving {
        listener.await??;
    }
    peers.await??;
    Ok(())
}

fn start_target(
    listener: TcpListener,
    cx: announcement::Context,
    mut commands: ring::Receiver<target::Command>,
    stopping: watch::Receiver<bool>,
) {
    let sender = cx.sender.clone();
    task::spawn_local(announcement::serve(listener, cx, stopping));
    task::spawn_local(async move {
        while let Some(command) = commands.recv().await {
            sender.execute(command);
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

fn operators_context(
    convention: &Convention,
    known: &SharedListenerState,
    metrics: prometheus::Registry,
    tx: event::Sender,
) -> operators::Context {
    let known = known.clone();
    operators::Context {
        status: Arc::new(move |reply_to| event::offer(&tx, Event::Status(reply_to))),
        metrics: Arc::new(move || instruments::render(&metrics)),
        ready: Arc::new(move || {
            let known = known.read().unwrap_or_else(PoisonError::into_inner);
            known.is_ready()
        }),
        ready_path: convention.ready_path,
    }
}

fn callers_context(
    convention: Convention,
    known: SharedListenerState,
    tx: event::Sender,
) -> callers::Context {
    let bounds = known.clone();
    callers::Context {
        sink: Arc::new(move |event| event::offer(&tx, Event::Caller(event))),
        lookup: Arc::new(move |req| {
            let known = known.read().unwrap_or_else(PoisonError::into_inner);
            routes::find(&known, req)
        }),
        limits: Arc::new(move || {
            let known = bounds.read().unwrap_or_else(PoisonError::into_inner);
            let table = known.table.as_ref();
            table.map_or_else(table::CallerLimits::default, |table| table.caller_limits)
        }),
        next_token: Arc::new(AtomicU64::new(1)),
        convention,
        local_service: None,
    }
}

fn start_timer(tx: &event::Sender, check_settings: timer::Callback) -> Result<(), Error> {
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
        membership::ROUND_INTERVAL,
        Box::new(move || {
            event::offer(&rounds, Event::Round);
        }),
    );
    timer.subscribe(SETTINGS_CHECK, check_settings);
    timer.start()
}

fn start_signals(tx: event::Sender, recheck: Box<dyn Fn() + Send>) -> Result<(), Error> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let work = move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                recheck();
            } else {
                event::deliver(&tx, Event::Stop);
            }
        }
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(work)?;
    Ok(())
}
