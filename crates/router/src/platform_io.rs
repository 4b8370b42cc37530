//! Threads that read objects from the platform and write objects to it.

pub mod duty;
pub mod reader;

use std::sync::mpsc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{info, warn};
use pollenrouter_core::gate::target;
use pollenrouter_core::{id, replica};
use pollenrouter_platform::client::{Client, PlatformError};
use pollenrouter_platform::object::{self, Change, Member, MemberState, Rejections};
use smol_str::SmolStr;

use crate::error::Error;
use crate::event::{self, Event};

/// Capacity of the queue of writes.
pub const WRITE_QUEUE_CAPACITY: usize = 64;
/// First pause before a failed request is sent again; later ones double.
const RETRY_DELAY: Duration = Duration::from_millis(250);
const RETRY_DELAY_MAX: Duration = Duration::from_secs(4);
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
