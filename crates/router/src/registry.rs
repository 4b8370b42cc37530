//! Threads that read and write the platform.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{info, warn};
use pollenrouter_core::gate::target;
use pollenrouter_core::{id, replica};
use pollenrouter_platform::client::{Client, PlatformError};
use pollenrouter_platform::dialect::{Freshness, SyncMode};
use pollenrouter_platform::object::{self, Change, Member, MemberState, Rejections};
use smol_str::SmolStr;

use crate::error::Error;
use crate::event::{self, Event};

/// Writes that may wait.
pub const RING: usize = 64;
const RETRY_PAUSE: Duration = Duration::from_millis(250);
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(4);
/// A daemon that does not watch reads everything this often.
const READ_INTERVAL: Duration = Duration::from_mins(5);
/// Pause between reads of what daemons tell each other: they repair what was lost.
const POLL_PAUSE: Duration = Duration::from_secs(5);
/// Pause between reads until one is as new as this daemon's registration.
const CONFIRM_PAUSE: Duration = Duration::from_millis(100);
const DUTY_CHECK: Duration = Duration::from_secs(1);

/// Writes to the platform.
#[derive(Debug)]
pub enum Write {
    /// This daemon's own state changed.
    Register(Member),
    /// A member is gone.
    Report(id::HostName, id::Incarnation),
    /// A document was rejected: service, version and findings.
    Rejected(id::ServiceName, id::Version, Vec<String>),
}

/// A change made now.
pub fn change(author: &str, action: &str, from: id::Version) -> Change {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Change {
        at: since.unwrap_or_default().as_secs(),
        author: author.into(),
        action: action.into(),
        from,
        nonce: rand::random(),
    }
}

/// Starts the thread that reads.
pub fn start_reader(
    client: &Client,
    watching: &Arc<AtomicBool>,
    confirmed: &Arc<AtomicBool>,
    tx: &event::Sender,
) -> Result<(), Error> {
    for (prefix, follow) in client.prefixes() {
        let (client, tx) = (client.clone(), tx.clone());
        let (watching, confirmed) = (watching.clone(), confirmed.clone());
        let work = move || {
            let mut revision = list(&client, prefix, Freshness::Current, &tx);
            while holds_documents(prefix) && !confirmed.load(Ordering::Relaxed) {
                thread::sleep(CONFIRM_PAUSE);
                revision = list(&client, prefix, Freshness::Current, &tx);
            }
            loop {
                if !watching.load(Ordering::Relaxed) {
                    if !wait_for_duty(&watching) {
                        revision = list(&client, prefix, Freshness::AllowStale, &tx);
                    }
                } else if *follow == SyncMode::Watch {
                    revision = watch(&client, prefix, &tx, revision);
                } else {
                    thread::sleep(POLL_PAUSE);
                    list(&client, prefix, Freshness::AllowStale, &tx);
                }
            }
        };
        thread::Builder::new()
            .name("reader".to_owned())
            .spawn(work)?;
    }
    Ok(())
}

/// Documents come into force only after a read that is fresh enough.
fn holds_documents(prefix: &str) -> bool {
    object::SERVICES.starts_with(prefix)
}

/// Reads everything, however long it takes.
fn list(
    client: &Client,
    prefix: &'static str,
    freshness: Freshness,
    tx: &event::Sender,
) -> id::Version {
    let listing = retry("read the platform", || client.list(prefix, freshness));
    let revision = listing.revision;
    event::send_blocking(tx, Event::ObjectsListed(prefix, listing));
    revision
}

fn watch(
    client: &Client,
    prefix: &'static str,
    tx: &event::Sender,
    revision: id::Version,
) -> id::Version {
    match client.watch(prefix, revision) {
        Ok(listing) => {
            if !listing.objects.is_empty() {
                event::send_blocking(tx, Event::ObjectsReceived(listing.objects));
            }
            listing.revision.max(revision)
        }
        Err(PlatformError::Compacted) => {
            info!(prefix, revision; "the platform dropped its history, reading all of it");
            list(client, prefix, Freshness::Current, tx)
        }
        Err(err) => {
            warn!("could not watch the platform: {err}");
            thread::sleep(RETRY_PAUSE);
            revision
        }
    }
}

/// Waits for the duty of watching; tells whether it came.
fn wait_for_duty(watching: &AtomicBool) -> bool {
    let checks = READ_INTERVAL.as_millis() / DUTY_CHECK.as_millis();
    for _ in 0..checks {
        thread::sleep(DUTY_CHECK);
        if watching.load(Ordering::Relaxed) {
            return true;
        }
    }
    false
}

/// Starts the thread that writes.
pub fn start_writer(
    client: Client,
    author: SmolStr,
    writes: mpsc::Receiver<Write>,
    tx: event::Sender,
) -> Result<(), Error> {
    let work = move || {
        let mut own = None;
        for write in writes {
            let written = match &write {
                Write::Register(member) => {
                    let written =
                        retry("register", || register(&client, member, &mut own, &author));
                    own.clone_from(&written);
                    written
                }
                Write::Rejected(service, version, findings) => retry("note a rejection", || {
                    reject(&client, service, *version, findings, &author)
                }),
                Write::Report(host, incarnation) => report(&client, host, *incarnation, &author)
                    .unwrap_or_else(|err| {
                        warn!(host:%; "could not report a member: {err}");
                        None
                    }),
            };
            event::send_blocking(&tx, Event::ObjectsReceived(written.into_iter().collect()));
        }
    };
    thread::Builder::new()
        .name("writer".to_owned())
        .spawn(work)?;
    Ok(())
}

type Written = Result<Option<replica::Object>, PlatformError>;

/// Writes this daemon's object in place of the one that it is known to have; what an
/// earlier life of it left there is kept. Where the platform has another one, that one
/// is known from then on.
fn register(
    client: &Client,
    member: &Member,
    known: &mut Option<replica::Object>,
    author: &str,
) -> Written {
    let key = object::member_key(&member.host);
    let failed = match replace(client, &key, member, known.as_ref(), author) {
        Err(PlatformError::Conflict(_, _, _, held)) => held,
        written => return written,
    };
    *known = match failed {
        Some(held) => Some(held),
        None => client.get(&key)?,
    };
    replace(client, &key, member, known.as_ref(), author)
}

fn replace(
    client: &Client,
    key: &SmolStr,
    member: &Member,
    held: Option<&replica::Object>,
    author: &str,
) -> Written {
    let version = held.map_or(0, |object| object.version);
    let mut member = member.clone();
    if let Some(held) = held.and_then(parse) {
        member.changes = held.changes;
        for life in std::mem::replace(&mut member.departed, held.departed) {
            target::record_departure(&mut member.departed, life, object::DEPARTED_MAX);
        }
    }
    put(client, key, member, version, author)
}

fn report(client: &Client, host: &str, incarnation: id::Incarnation, author: &str) -> Written {
    let key = object::member_key(host);
    let Some(held) = client.get(&key)? else {
        return Ok(None);
    };
    let Some(mut member) = parse(&held) else {
        return Ok(None);
    };
    if member.incarnation != incarnation || member.state == MemberState::Left {
        return Ok(Some(held));
    }
    info!(host:%; "reporting a member as gone");
    member.state = MemberState::Left;
    put(client, &key, member, held.version, author)
}

/// Notes a rejection for the audit trail, once for each version.
fn reject(
    client: &Client,
    service: &str,
    version: id::Version,
    findings: &[String],
    author: &str,
) -> Written {
    let key = object::rejections_key(service);
    let held = client.get(&key)?;
    let parsed = held
        .as_ref()
        .and_then(|o| serde_json::from_str::<Rejections>(&o.value).ok());
    let mut rejections = parsed.unwrap_or_default();
    if rejections.version >= version {
        return Ok(None);
    }
    let from = held.map_or(0, |object| object.version);
    let action = format!(
        "rejected version {version} of the document: {}",
        findings.join("; ")
    );
    rejections.version = version;
    rejections.findings = findings.to_vec();
    object::record_change(&mut rejections.changes, change(author, &action, from));
    let value = serde_json::to_string(&rejections).unwrap_or_default();
    client.put_idempotent(&key, &value, from)?;
    Ok(None)
}

fn put(
    client: &Client,
    key: &SmolStr,
    mut member: Member,
    version: id::Version,
    author: &str,
) -> Written {
    let action = match member.state {
        MemberState::Serving => "serving",
        MemberState::Leaving => "leaving",
        MemberState::Left => "left",
    };
    object::record_change(&mut member.changes, change(author, action, version));
    let value = SmolStr::from(serde_json::to_string(&member).unwrap_or_default());
    let version = client.put_idempotent(key, &value, version)?;
    Ok(Some(replica::Object {
        key: key.clone(),
        version,
        value,
    }))
}

fn parse(object: &replica::Object) -> Option<Member> {
    serde_json::from_str(&object.value).ok()
}

fn retry<T>(what: &str, mut work: impl FnMut() -> Result<T, PlatformError>) -> T {
    let mut pause = RETRY_PAUSE;
    loop {
        match work() {
            Ok(value) => return value,
            Err(err) => warn!("could not {what}: {err}"),
        }
        thread::sleep(pause);
        pause = (pause * 2).min(RETRY_PAUSE_MAX);
    }
}
