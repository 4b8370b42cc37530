//! Starts the threads of a daemon, connects them by bounded channels, and runs it.

use std::iter;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, PoisonError, mpsc};
use std::thread;
use std::time::Duration;

use log::{info, warn};
use pollenrouter_caller::{connections, listener as callers};
use pollenrouter_core::{id, membership, memory, quarantine, service, table, watching};
use pollenrouter_daemon::{keys, message as daemon, protocol, tls};
use pollenrouter_http::clock;
use pollenrouter_http::convention::Convention;
use pollenrouter_http::memory::Memory;
use pollenrouter_operator::{listener as operators, settings};
use pollenrouter_platform::client::Client;
use pollenrouter_platform::object::{Member, MemberState};
use pollenrouter_target::{announcement, message as target, sender};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::{mpsc as async_mpsc, watch};
use tokio::{runtime, task};

use crate::calls::{self, Calls, Channels};
use crate::error::Error;
use crate::event::{self, Event};
use crate::fleet::{Fleet, SharedListenerState, SharedState};
use crate::instruments;
use crate::platform_io::{self, duty, reader};
use crate::profile::Profile;
use crate::router::Router;
use crate::routes;
use crate::sockets::{self, Sockets};
use crate::timer::{self, Timer};

/// Number of commands that can wait for the protocol, or for the client of the target.
const COMMAND_CHANNEL_CAPACITY: usize = 4096;
/// Number of consecutive announcements that may be missed before a target counts as gone.
const MISSED_ANNOUNCEMENTS_MAX: u32 = 3;
/// Part of the memory budget that answers kept for resends may take.
const ANSWERS_SHARE: u64 = 8;
const TICK_INTERVAL: Duration = membership::FLUSH_INTERVAL;
/// Interval of checks for changed settings, short enough for an operator to see a mistake
/// while still editing them.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Wait before the exit for the last write to the platform and the last answers.
const FINAL_WRITES_WAIT: Duration = Duration::from_millis(300);

/// What the thread that handles calls owns.
struct Components {
    sockets: Sockets,
    transport: tls::Transport,
    memory: Memory,
    max_connections: usize,
    incarnation: id::Incarnation,
    convention: Convention,
    parse_announcement: announcement::ParseFn,
    answer_wait: Duration,
    service: Option<id::ServiceName>,
    target_address: Option<SocketAddr>,
    daemon_commands: async_mpsc::Receiver<daemon::Command>,
    target_commands: async_mpsc::Receiver<target::Command>,
    listener_state: SharedListenerState,
    metrics: prometheus::Registry,
    router: Router,
    /// Becomes true when the listeners for callers must close.
    listeners_closing: watch::Receiver<bool>,
    tx: event::Sender,
    rx: async_mpsc::Receiver<Event>,
}

/// Callbacks that check the settings again while the daemon runs.
pub struct SettingsChecks {
    /// Called when a signal requests it.
    pub on_signal: Box<dyn Fn() + Send>,
    /// Called periodically; checks the settings if they have changed.
    pub on_timer: timer::Callback,
}

/// Runs a daemon until a planned stop is complete.
pub fn run(settings: &settings::Settings, settings_checks: SettingsChecks) -> Result<(), Error> {
    let profile = Profile::from_settings(settings);
    let transport = match &settings.keys {
        None => {
            warn!("daemons are not authenticated, as the settings specify");
            tls::unauthenticated()?
        }
        Some(keys) => tls::authenticated(&keys::Keys {
            authority: keys.authority.to_string(),
            certificate: keys.certificate.to_string(),
            key: keys.key.to_string(),
        })?,
    };
    let sockets = sockets::bind(&settings.listen)?;
    let budget = memory::limit(settings.memory_mb, settings.descriptors);
    let memory = Memory::new(budget);
    let listeners = 1 + usize::from(sockets.internal.is_some());
    let max_connections = connections::max_of(settings.descriptors) / listeners;
    let (tx, rx) = async_mpsc::channel(event::CHANNEL_CAPACITY);
    let (to_daemons, daemon_commands) = async_mpsc::channel(COMMAND_CHANNEL_CAPACITY);
    let (to_target, target_commands) = async_mpsc::channel(COMMAND_CHANNEL_CAPACITY);
    let (writes, write_commands) = mpsc::sync_channel(platform_io::WRITE_QUEUE_CAPACITY);
    let incarnation: id::Incarnation = rand::random();
    let listener_state = SharedListenerState::default();
    let watch_duty = Arc::<duty::Duty>::default();
    let confirmed = Arc::new(AtomicBool::new(false));
    let (instruments, metrics) = instruments::build(&memory)?;

    let own = own_member(settings, incarnation, sockets.daemons.local_addr()?);
    sockets::log(&own, &sockets)?;
    let client = Client::with_dialect(&settings.platform, profile.dialect);
    platform_io::start_writer(
        client.clone(),
        settings.host.clone(),
        write_commands,
        tx.clone(),
    )?;
    reader::start(&client, &watch_duty, &confirmed, &tx)?;

    let shared = SharedState {
        listener_state: listener_state.clone(),
        watch_duty,
        confirmed,
        writes,
    };
    let channels = Channels {
        daemon_commands: to_daemons.clone(),
        target_commands: to_target.clone(),
    };
    let calls_config = calls::Config {
        host: settings.host.clone(),
        failure_domain: settings.failure_domain.clone(),
        announcement_ttl: settings.announce_period * MISSED_ANNOUNCEMENTS_MAX,
        request_id_header: profile.convention.request_id_header,
        caller_header: profile.convention.caller_header,
        targets_report_load: profile.convention.load_header.is_some(),
        clock: clock::boot_time,
        answers_max_bytes: budget / ANSWERS_SHARE,
    };
    let calls = Calls::new(calls_config, incarnation, channels, instruments);
    let (convention, parse_announcement) = (profile.convention, profile.parse_announcement);
    let fleet = Fleet::new(own, profile, shared);
    let (close_listeners, listeners_closing) = watch::channel(false);
    let router = Router::new(
        fleet,
        calls,
        to_daemons,
        to_target,
        settings,
        close_listeners,
    );

    let components = Components {
        sockets,
        transport,
        memory,
        max_connections,
        incarnation,
        convention,
        parse_announcement,
        answer_wait: settings.answer_wait,
        service: settings.service.clone(),
        target_address: settings.target,
        daemon_commands,
        target_commands,
        listener_state,
        metrics,
        router,
        listeners_closing,
        tx: tx.clone(),
        rx,
    };
    start_timer_thread(&tx, settings_checks.on_timer)?;
    start_signal_thread(tx, settings_checks.on_signal)?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    task::LocalSet::new().block_on(&runtime, run_components(components))?;
    info!("stopped");
    thread::sleep(FINAL_WRITES_WAIT);
    Ok(())
}

fn own_member(
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
        crashes: quarantine::Report::default(),
        changes: Vec::new(),
    }
}

/// Runs the listeners, the protocol, the client of the target and the router on one thread,
/// so that passing a call between them wakes no other thread.
async fn run_components(components: Components) -> std::io::Result<()> {
    let Components {
        sockets,
        transport,
        memory,
        max_connections,
        incarnation,
        convention,
        parse_announcement,
        answer_wait,
        service,
        target_address,
        daemon_commands,
        target_commands,
        listener_state,
        metrics,
        router,
        listeners_closing,
        tx,
        rx,
    } = components;
    let (stop, stopping) = watch::channel(false);
    let event_tx = tx.clone();
    let sink: protocol::Sink =
        Arc::new(move |event| event::try_send(&event_tx, Event::Daemon(event)));
    let protocol_task = task::spawn_local(protocol::run(
        sockets.daemons,
        incarnation,
        transport,
        memory.clone(),
        daemon_commands,
        sink,
    ));
    let event_tx = tx.clone();
    let sender = sender::Sender::new(
        convention,
        clock::boot_time,
        answer_wait,
        Rc::new(move |event| {
            event_tx
                .try_send(Event::Target(event))
                .or_else(recover_event)
        }),
    )
    .with_memory(memory.clone());
    let announcement_context = announcement::Context {
        parse: parse_announcement,
        sender: sender.clone(),
        service: service.clone(),
        address: target_address,
    };
    start_target_tasks(
        sockets.target,
        announcement_context,
        target_commands,
        stopping.clone(),
    );
    let operator_context =
        build_operator_context(&convention, &listener_state, metrics, tx.clone());
    for listener in iter::once(sockets.operator).chain(sockets.metrics) {
        task::spawn_local(operators::serve(
            listener,
            operator_context.clone(),
            stopping.clone(),
        ));
    }
    let counters = router.instruments().listener_counters();
    let mut caller_context =
        build_caller_context(&convention, memory, listener_state, counters, tx);
    caller_context.max_connections = max_connections;
    caller_context.local_service = service;
    let audiences = [service::Audience::Everyone, service::Audience::Internal];
    let listeners = iter::once(sockets.public).chain(sockets.internal);
    let listener_tasks: Vec<_> = listeners
        .zip(audiences)
        .map(|(listener, audience)| {
            let serving = callers::serve(
                listener,
                audience,
                caller_context.clone(),
                listeners_closing.clone(),
            );
            task::spawn_local(serving)
        })
        .collect();
    router.run(rx).await;
    stop.send_replace(true);
    for task in listener_tasks {
        task.await??;
    }
    protocol_task.await??;
    Ok(())
}

fn start_target_tasks(
    listener: TcpListener,
    cx: announcement::Context,
    mut commands: async_mpsc::Receiver<target::Command>,
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

/// Returns the event as the error if the channel is full. If the router has ended, the
/// event is dropped.
fn recover_event(err: async_mpsc::error::TrySendError<Event>) -> Result<(), target::Event> {
    match err {
        async_mpsc::error::TrySendError::Full(Event::Target(event)) => Err(event),
        _ => Ok(()),
    }
}

fn build_operator_context(
    convention: &Convention,
    listener_state: &SharedListenerState,
    metrics: prometheus::Registry,
    tx: event::Sender,
) -> operators::Context {
    let listener_state = listener_state.clone();
    operators::Context {
        status: Arc::new(move |reply_to| event::try_send(&tx, Event::StatusRequested(reply_to))),
        metrics: Arc::new(move || instruments::render(&metrics)),
        ready: Arc::new(move || {
            let state = listener_state
                .read()
                .unwrap_or_else(PoisonError::into_inner);
            state.is_ready()
        }),
        ready_path: convention.ready_path,
    }
}

fn build_caller_context(
    convention: &Convention,
    memory: Memory,
    state: SharedListenerState,
    counters: instruments::ListenerCounters,
    tx: event::Sender,
) -> callers::Context {
    let (limits_state, tables_state) = (state.clone(), state.clone());
    let instruments::ListenerCounters { keys, refusals } = counters;
    callers::Context {
        sink: Arc::new(move |event| event::try_send(&tx, Event::Caller(event))),
        lookup: Arc::new(move |req| {
            let state = state.read().unwrap_or_else(PoisonError::into_inner);
            routes::find(&state, req, &keys)
        }),
        tables: Arc::new(move || {
            let state = tables_state.read().unwrap_or_else(PoisonError::into_inner);
            state.tables()
        }),
        count_refusal: Arc::new(move |refusal| refusals.count(refusal)),
        limits: Arc::new(move || {
            let state = limits_state.read().unwrap_or_else(PoisonError::into_inner);
            let table = state.table.as_ref();
            table.map_or_else(table::CallerLimits::default, |table| table.caller_limits)
        }),
        memory,
        max_connections: 0,
        next_token: Arc::new(AtomicU64::new(1)),
        convention: *convention,
        local_service: None,
    }
}

fn start_timer_thread(tx: &event::Sender, check_settings: timer::Callback) -> Result<(), Error> {
    let mut timer = Timer::default();
    let tick_tx = tx.clone();
    timer.subscribe(
        TICK_INTERVAL,
        Box::new(move || {
            event::try_send(&tick_tx, Event::Tick);
        }),
    );
    let round_tx = tx.clone();
    timer.subscribe(
        membership::ROUND_INTERVAL,
        Box::new(move || {
            event::try_send(&round_tx, Event::MembershipRound);
        }),
    );
    let beat_tx = tx.clone();
    timer.subscribe(
        watching::BEAT_INTERVAL,
        Box::new(move || {
            event::try_send(&beat_tx, Event::WatchBeat);
        }),
    );
    timer.subscribe(SETTINGS_CHECK_INTERVAL, check_settings);
    timer.start()
}

fn start_signal_thread(
    tx: event::Sender,
    check_settings: Box<dyn Fn() + Send>,
) -> Result<(), Error> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let run = move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                check_settings();
            } else {
                event::send_blocking(&tx, Event::StopRequested);
            }
        }
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(run)?;
    Ok(())
}
