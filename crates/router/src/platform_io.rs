//! Threads that read objects from the platform and write objects to it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError, mpsc};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::{info, warn};
use pollenrouter_core::gate::target;
use pollenrouter_core::watching::Waits;
use pollenrouter_core::{id, replica, version};
use pollenrouter_platform::client::{Client, Listing, PlatformError};
use pollenrouter_platform::dialect::{Freshness, SyncMode};
use pollenrouter_platform::object::{self, Change, Member, MemberState, Rejections};
use smol_str::SmolStr;

use crate::error::Error;
use crate::event::{self, Event};

/// Capacity of the queue of writes.
pub const WRITE_QUEUE_CAPACITY: usize = 64;
const RETRY_DELAY: Duration = Duration::from_millis(250);
const RETRY_DELAY_MAX: Duration = Duration::from_secs(4);
/// Longest pause of a watcher, on which others rely, while the platform is unavailable.
const WATCH_RETRY_DELAY_MAX: Duration = Duration::from_secs(1);
/// Interval between full reads by a daemon that does not watch the platform.
const FULL_READ_INTERVAL: Duration = Duration::from_mins(5);
/// Age up to which a daemon that begins to watch goes on from its latest read.
const LISTED_RECENTLY: Duration = Duration::from_secs(2);
/// Interval between reads of objects that spread by gossip instead of a watch; the reads
/// recover updates that gossip lost.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between reads at startup, until one is at least as new as this daemon's
/// registration.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);

/// Write to the platform.
#[derive(Debug)]
pub enum Write {
    /// Store this daemon's own member object.
    Register(Member),
    /// Mark a member as left because it is unreachable.
    ReportGone(id::HostName, id::Incarnation),
    /// Record that a document was rejected: service, version and findings.
    RecordRejection(id::ServiceName, id::Version, Vec<String>),
}

/// Creates a change with the current time and a random nonce.
pub fn new_change(author: &str, action: &str, from: id::Version) -> Change {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Change {
        at: since.unwrap_or_default().as_secs(),
        author: author.into(),
        action: action.into(),
        from,
        nonce: rand::random(),
    }
}

/// Whether this daemon watches the platform, and how long its watches wait, set by the router for
/// the threads that read; and whether they reach the platform.
#[derive(Debug, Default)]
pub struct WatchDuty {
    waits: Mutex<Option<Waits>>,
    changed: Condvar,
    is_connected: AtomicBool,
}

impl WatchDuty {
    /// Sets the waits; `None` if this daemon does not watch.
    pub fn set(&self, waits: Option<Waits>) {
        let mut current = self.waits.lock().unwrap_or_else(PoisonError::into_inner);
        if *current != waits {
            *current = waits;
            self.changed.notify_all();
        }
    }

    /// Whether this daemon watches, and the latest request of its watch was answered.
    pub fn is_connected(&self) -> bool {
        self.is_connected.load(Ordering::Relaxed)
    }

    fn get(&self) -> Option<Waits> {
        *self.waits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits up to `timeout` until this daemon watches; returns `None` if it does not by then.
    fn wait(&self, timeout: Duration) -> Option<Waits> {
        let waits = self.waits.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self
            .changed
            .wait_timeout_while(waits, timeout, |waits| waits.is_none());
        *waited.unwrap_or_else(PoisonError::into_inner).0
    }
}

/// Starts the threads that read objects, one for each prefix.
pub fn start_readers(
    client: &Client,
    duty: &Arc<WatchDuty>,
    confirmed: &Arc<AtomicBool>,
    tx: &event::Sender,
) -> Result<(), Error> {
    for (prefix, sync_mode) in client.prefixes() {
        let reader = Reader {
            client: client.clone(),
            prefix,
            sync_mode: *sync_mode,
            duty: duty.clone(),
            tx: tx.clone(),
        };
        let confirmed = confirmed.clone();
        thread::Builder::new()
            .name("reader".to_owned())
            .spawn(move || reader.run(&confirmed))?;
    }
    Ok(())
}

/// Reads the objects under one prefix.
struct Reader {
    client: Client,
    prefix: &'static str,
    sync_mode: SyncMode,
    duty: Arc<WatchDuty>,
    tx: event::Sender,
}

/// What a reader has read of the platform.
#[derive(Clone, Copy)]
enum Position {
    /// All changes up to a revision.
    Reached(id::Version),
    /// The same, but a request has failed since: the platform may have come back from a copy.
    Doubtful(id::Version),
    /// It has to list the objects.
    Unknown,
}

impl Position {
    fn after_failure(self) -> Self {
        match self {
            Self::Reached(revision) | Self::Doubtful(revision) => Self::Doubtful(revision),
            Self::Unknown => Self::Unknown,
        }
    }
}

/// An answer to a watch or to a listing.
enum Answer {
    /// The wait is over without a change.
    Nothing,
    /// Changes, or all objects; other watchers get the same at the same time.
    News,
}

impl Reader {
    fn run(&self, confirmed: &AtomicBool) -> ! {
        let mut revision = self.list(Freshness::Current);
        while includes_documents(self.prefix) && !confirmed.load(Ordering::Relaxed) {
            thread::sleep(CONFIRM_INTERVAL);
            revision = self.list(Freshness::Current);
        }
        let mut position = Position::Reached(revision);
        let mut read_at = Instant::now();
        loop {
            if self.duty.wait(FULL_READ_INTERVAL).is_none() {
                self.list(Freshness::AllowStale);
                position = Position::Unknown;
                continue;
            }
            if self.sync_mode == SyncMode::Watch {
                if read_at.elapsed() > LISTED_RECENTLY {
                    position = Position::Unknown;
                }
                position = self.watch_while_on_duty(position);
                read_at = Instant::now();
            } else {
                let freshness = self.wait_for_poll(version::era(revision));
                revision = self.list(freshness);
            }
        }
    }

    /// Watches from a position until this daemon need not any more; returns the position that was
    /// reached.
    fn watch_while_on_duty(&self, mut position: Position) -> Position {
        let mut answer = Answer::News;
        let mut failures = Failures::default();
        self.set_connected(matches!(position, Position::Reached(_)));
        while let Some(waits) = self.duty.get() {
            let wait = match answer {
                Answer::Nothing => waits.next,
                Answer::News => waits.first,
            };
            let started_at = Instant::now();
            let result = match position {
                Position::Reached(revision) => self.watch(revision, wait),
                Position::Doubtful(revision) => self.resume(revision),
                Position::Unknown => self.list_once(Freshness::Current),
            };
            match result {
                Ok((revision, brought)) => {
                    match position {
                        Position::Reached(_) => failures.end(revision),
                        Position::Doubtful(_) => {}
                        Position::Unknown => failures.has_listed = true,
                    }
                    self.set_connected(true);
                    (position, answer) = (Position::Reached(revision), brought);
                }
                Err(err) => {
                    self.log_failure(&err, position);
                    self.set_connected(false);
                    // A watch that outlasted its wait was silent, and has hidden enough already.
                    let was_silent =
                        matches!(position, Position::Reached(_)) && started_at.elapsed() >= wait;
                    let delay = failures.next_delay();
                    let is_compacted = matches!(err, PlatformError::Compacted);
                    let is_urgent = was_silent || (is_compacted && !failures.has_listed);
                    if !is_urgent {
                        thread::sleep(delay);
                    }
                    position = if is_compacted {
                        Position::Unknown
                    } else {
                        position.after_failure()
                    };
                    answer = Answer::News;
                }
            }
        }
        self.set_connected(false);
        position
    }

    /// Waits up to [`POLL_INTERVAL`], but not longer than until the platform's era has changed;
    /// then a stale read could still return objects of the era before.
    fn wait_for_poll(&self, era: u64) -> Freshness {
        let checks = POLL_INTERVAL.as_millis() / RETRY_DELAY.as_millis();
        for _ in 0..checks {
            if self.client.era() != era {
                return Freshness::Current;
            }
            thread::sleep(RETRY_DELAY);
        }
        Freshness::AllowStale
    }

    /// Records whether the platform answered the latest request of a watch.
    fn set_connected(&self, is_connected: bool) {
        if self.sync_mode == SyncMode::Watch {
            let state = &self.duty.is_connected;
            state.store(is_connected, Ordering::Relaxed);
        }
    }

    /// Reads all objects; retries until it succeeds.
    fn list(&self, freshness: Freshness) -> id::Version {
        let mut delay = RETRY_DELAY;
        loop {
            match self.list_once(freshness) {
                Ok((revision, _)) => return revision,
                Err(err) => warn!("could not read the platform: {err}"),
            }
            self.pause(delay);
            delay = (delay * 2).min(RETRY_DELAY_MAX);
        }
    }

    /// Pauses between two reads, but not longer than until this daemon's watch reaches the platform
    /// again; shorter if others rely on that watch.
    fn pause(&self, delay: Duration) {
        if self.sync_mode == SyncMode::Watch {
            if self.duty.wait(delay).is_some() {
                thread::sleep(delay.min(WATCH_RETRY_DELAY_MAX));
            }
            return;
        }
        let was_connected = self.duty.is_connected();
        let paused_at = Instant::now();
        while paused_at.elapsed() < delay && (was_connected || !self.duty.is_connected()) {
            thread::sleep(RETRY_DELAY.min(delay));
        }
    }

    /// Reads all objects; returns the revision that they are of.
    fn list_once(&self, freshness: Freshness) -> Result<(id::Version, Answer), PlatformError> {
        let listing = self.client.list(self.prefix, freshness);
        self.set_connected(listing.is_ok() && self.duty.get().is_some());
        let listing = listing?;
        let revision = listing.revision;
        event::send_blocking(&self.tx, Event::ObjectsListed(self.prefix, listing));
        Ok((revision, Answer::News))
    }

    /// Watches for up to `wait`; returns the revision to go on from.
    fn watch(
        &self,
        revision: id::Version,
        wait: Duration,
    ) -> Result<(id::Version, Answer), PlatformError> {
        let changes = self.client.watch(self.prefix, revision, wait)?;
        Ok(self.apply(changes))
    }

    /// Reads what has changed while requests failed; returns the revision to go on from.
    fn resume(&self, revision: id::Version) -> Result<(id::Version, Answer), PlatformError> {
        let changes = self.client.resume(self.prefix, revision)?;
        let (revision, _) = self.apply(changes);
        Ok((revision, Answer::News))
    }

    fn apply(&self, changes: Listing) -> (id::Version, Answer) {
        let revision = changes.revision;
        if changes.objects.is_empty() {
            return (revision, Answer::Nothing);
        }
        event::send_blocking(&self.tx, Event::ObjectsReceived(changes.objects));
        (revision, Answer::News)
    }

    fn log_failure(&self, err: &PlatformError, position: Position) {
        let (Position::Reached(revision) | Position::Doubtful(revision)) = position else {
            warn!("could not read the platform: {err}");
            return;
        };
        let (era, after) = (version::era(revision), version::revision(revision));
        if matches!(err, PlatformError::Compacted) {
            info!(prefix = self.prefix, era, after; "the platform does not have this revision any more, reading all objects");
        } else {
            warn!(era, after; "could not watch the platform: {err}");
        }
    }
}

/// Failed requests since the latest watch that was answered.
#[derive(Default)]
struct Failures {
    count: u32,
    since: Option<Instant>,
    /// Whether all objects were listed meanwhile.
    has_listed: bool,
}

impl Failures {
    /// Counts a failure; returns the delay of the next request, doubled each time.
    fn next_delay(&mut self) -> Duration {
        let delay = RETRY_DELAY.saturating_mul(1 << self.count.min(u32::BITS - 1));
        self.count += 1;
        self.since.get_or_insert_with(Instant::now);
        delay.min(WATCH_RETRY_DELAY_MAX)
    }

    /// Forgets the failures as a watch was answered, at `revision`.
    fn end(&mut self, revision: id::Version) {
        if let Some(since) = self.since {
            let failed_ms = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
            let (era, revision) = (version::era(revision), version::revision(revision));
            info!(era, revision, failed_ms; "the platform answers watches again");
        }
        *self = Self::default();
    }
}

/// Whether the prefix covers service documents, which become active only after a read that
/// is at least as new as this daemon's registration.
fn includes_documents(prefix: &str) -> bool {
    object::SERVICES.starts_with(prefix)
}

/// Starts the thread that writes objects.
pub fn start_writer(
    client: Client,
    author: SmolStr,
    writes: mpsc::Receiver<Write>,
    tx: event::Sender,
) -> Result<(), Error> {
    let run = move || {
        let mut stored_member = None;
        for write in writes {
            let written = match &write {
                Write::Register(member) => {
                    let written = retry("register", || {
                        register(&client, member, &mut stored_member, &author)
                    });
                    stored_member.clone_from(&written);
                    written
                }
                Write::RecordRejection(service, version, findings) => {
                    retry("note a rejection", || {
                        record_rejection(&client, service, *version, findings, &author)
                    })
                }
                Write::ReportGone(host, incarnation) => {
                    report_gone(&client, host, *incarnation, &author).unwrap_or_else(|err| {
                        warn!(host:%; "could not report a member as gone: {err}");
                        None
                    })
                }
            };
            event::send_blocking(&tx, Event::ObjectsReceived(written.into_iter().collect()));
        }
    };
    thread::Builder::new()
        .name("writer".to_owned())
        .spawn(run)?;
    Ok(())
}

type WriteResult = Result<Option<replica::Object>, PlatformError>;

/// Replaces this daemon's member object and keeps the changes and departures stored in it,
/// which may be those of an earlier incarnation. `stored` is the object that the platform is
/// expected to have. On a conflict it is set to the object that the platform has, and the
/// write is attempted once more.
fn register(
    client: &Client,
    member: &Member,
    stored: &mut Option<replica::Object>,
    author: &str,
) -> WriteResult {
    let key = object::member_key(&member.host);
    let conflicting = match replace(client, &key, member, stored.as_ref(), author) {
        Err(PlatformError::Conflict(_, _, _, current)) => current,
        result => return result,
    };
    *stored = match conflicting {
        Some(object) => Some(object),
        None => client.get(&key)?,
    };
    replace(client, &key, member, stored.as_ref(), author)
}

fn replace(
    client: &Client,
    key: &SmolStr,
    member: &Member,
    stored: Option<&replica::Object>,
    author: &str,
) -> WriteResult {
    let version = stored.map_or(0, |object| object.version);
    let mut member = member.clone();
    if let Some(stored) = stored.and_then(parse_member) {
        member.changes = stored.changes;
        if member.incarnation != stored.incarnation {
            member.crashes.add_earlier(stored.crashes);
        }
        for incarnation in std::mem::replace(&mut member.departed, stored.departed) {
            target::record_departure(&mut member.departed, incarnation, object::DEPARTED_MAX);
        }
    }
    put_member(client, key, member, version, author)
}
/// Marks a member as left, unless it has left or restarted since.
fn report_gone(
    client: &Client,
    host: &str,
    incarnation: id::Incarnation,
    author: &str,
) -> WriteResult {
    let key = object::member_key(host);
    let Some(stored) = client.get(&key)? else {
        return Ok(None);
    };
    let Some(mut member) = parse_member(&stored) else {
        return Ok(None);
    };
    if member.incarnation != incarnation || member.state == MemberState::Left {
        return Ok(Some(stored));
    }
    info!(host:%; "reporting a member as gone");
    member.state = MemberState::Left;
    put_member(client, &key, member, stored.version, author)
}

/// Records a rejection for the audit trail, once for each version.
fn record_rejection(
    client: &Client,
    service: &str,
    version: id::Version,
    findings: &[String],
    author: &str,
) -> WriteResult {
    let key = object::rejections_key(service);
    let stored = client.get(&key)?;
    let parsed = stored
        .as_ref()
        .and_then(|o| serde_json::from_str::<Rejections>(&o.value).ok());
    let mut rejections = parsed.unwrap_or_default();
    if rejections.version >= version {
        return Ok(None);
    }
    let from = stored.map_or(0, |object| object.version);
    let action = format!(
        "rejected version {version} of the document: {}",
        findings.join("; ")
    );
    rejections.version = version;
    rejections.findings = findings.to_vec();
    object::record_change(&mut rejections.changes, new_change(author, &action, from));
    let value = serde_json::to_string(&rejections).unwrap_or_default();
    client.put_idempotent(&key, &value, from)?;
    Ok(None)
}

fn put_member(
    client: &Client,
    key: &SmolStr,
    mut member: Member,
    version: id::Version,
    author: &str,
) -> WriteResult {
    let action = match member.state {
        MemberState::Serving => "serving",
        MemberState::Leaving => "leaving",
        MemberState::Left => "left",
    };
    object::record_change(&mut member.changes, new_change(author, action, version));
    let value = SmolStr::from(serde_json::to_string(&member).unwrap_or_default());
    let version = client.put_idempotent(key, &value, version)?;
    Ok(Some(replica::Object {
        key: key.clone(),
        version,
        value,
    }))
}

fn parse_member(object: &replica::Object) -> Option<Member> {
    serde_json::from_str(&object.value).ok()
}
/// Calls `attempt` until it succeeds, with exponential backoff.
fn retry<T>(what: &str, mut attempt: impl FnMut() -> Result<T, PlatformError>) -> T {
    let mut delay = RETRY_DELAY;
    loop {
        match attempt() {
            Ok(value) => return value,
            Err(err) => warn!("could not {what}: {err}"),
        }
        thread::sleep(delay);
        delay = (delay * 2).min(RETRY_DELAY_MAX);
    }
}
