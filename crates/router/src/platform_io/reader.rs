//! Threads that read objects from the platform.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use log::{info, warn};
use pollenrouter_core::{id, version};
use pollenrouter_platform::client::{Client, PlatformError};
use pollenrouter_platform::dialect::{Freshness, SyncMode};
use pollenrouter_platform::listing::Listing;
use pollenrouter_platform::object;

use super::duty;
use super::{RETRY_DELAY, RETRY_DELAY_MAX};
use crate::error::Error;
use crate::event::{self, Event};

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

/// Starts the threads that read objects, one for each prefix.
pub fn start(
    client: &Client,
    duty: &Arc<duty::Duty>,
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
    duty: Arc<duty::Duty>,
    tx: event::Sender,
}

/// What a reader has read of the platform.
#[derive(Clone, Copy)]
enum Position {
    /// All changes up to a revision.
    Reached(id::Version),
    /// The same, but a request has failed since: the platform may have come back from a copy.
    Doubtful(id::Version),
    /// Nothing that counts: the next request lists all objects.
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
            self.duty.set_connected(self.prefix, is_connected);
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
            info!(prefix = self.prefix, era, after; "changes after this revision cannot be read, reading all objects");
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
