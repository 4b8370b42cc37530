//! Settings of one daemon.

use std::net::SocketAddr;
use std::time::Duration;

use pollenrouter_core::id;
use pollenrouter_core::service::Limits;
use smol_str::SmolStr;

use crate::document;
use crate::fields::{self, Fields};
use crate::finding::Finding;

const DEFAULT_STOP_TIMEOUT_MS: u64 = 60_000;
/// Whether daemons authenticate each other: without keys only if that is said.
const AUTHENTICATION: [(&str, bool); 2] = [("authenticated", true), ("unauthenticated", false)];
/// A target that does not stop at the deadline may still answer.
const DEFAULT_ANSWER_WAIT_MS: u64 = 60_000;
/// A target is believed for three periods after an announcement.
const DEFAULT_ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);
/// Part of the time until a stop is enforced that is left for the last answers.
const GRACE_MARGIN: Duration = Duration::from_millis(900);
const STOP_TIMEOUT_MAX_MS: u64 = 3_600_000;

/// Settings after checking.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host.
    pub host: id::HostName,
    /// Failure domain of the host.
    pub failure_domain: id::DomainName,
    /// Base address of the platform's object API.
    pub platform: SmolStr,
    /// Whose names and formats are spoken.
    pub profile: Profile,
    /// Service of the target on this host, where it is known beforehand.
    pub service: Option<id::ServiceName>,
    /// Address of that target, where it is known beforehand.
    pub target: Option<SocketAddr>,
    /// Time after the deadline for which the answer to a started call is awaited.
    pub answer_wait: Duration,
    /// Time between two announcements of a target.
    pub announce_period: Duration,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Keys, in PEM; `None` where the settings say that daemons are not
    /// authenticated.
    pub keys: Option<Keys>,
    /// Bounds of services whose configuration states none.
    pub limits: Limits,
    /// Longest wait for calls in flight at a planned stop.
    pub stop_timeout: Duration,
    /// Level of logs.
    pub log: log::LevelFilter,
}

/// Whose names and formats are spoken with callers, targets and the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// The product's own.
    Own,
    /// Those of the users' platform.
    Platform,
}

/// Addresses to listen on.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// For the public, TCP.
    pub public: SocketAddr,
    /// For services, TCP; without it they use the public one.
    pub internal: Option<SocketAddr>,
    /// For the target on this host, TCP.
    pub target: SocketAddr,
    /// For operators, TCP.
    pub operator: SocketAddr,
    /// For metrics besides the operators' address, TCP.
    pub metrics: Option<SocketAddr>,
    /// For other daemons, UDP.
    pub daemons: SocketAddr,
}

/// Keys, in PEM.
#[derive(Clone, Debug)]
pub struct Keys {
    /// Certificates of authorities.
    pub authority: SmolStr,
    /// Certificate of this daemon.
    pub certificate: SmolStr,
    /// Private key of this daemon.
    pub key: SmolStr,
}

/// Checks settings.
///
/// # Errors
/// All findings, each with its place.
pub fn check(text: &str) -> Result<Settings, Vec<Finding>> {
    fields::read(text, settings)
}

fn settings(f: &mut Fields<'_, '_>) -> Option<Settings> {
    let host = f.name("host");
    let failure_domain = f.name("failure_domain");
    let platform = f.text("platform");
    if platform.as_ref().is_some_and(|p| !p.starts_with("http://")) {
        f.add("platform", "does not begin with `http://`");
    }
    let profiles = [("own", Profile::Own), ("platform", Profile::Platform)];
    let profile = f.word("profile", &profiles, Some(Profile::Own));
    let service = f.optional("service", Fields::name);
    let target = f.optional("target", Fields::parsed);
    let period = f.optional("announce_period_s", Fields::seconds);
    let grace = f.optional("grace_s", Fields::seconds);
    let retry = f.optional("retry", |f, name| f.mapping(name, retry));
    let listen = f.mapping("listen", listen);
    let authenticated = f.word("daemons", &AUTHENTICATION, Some(true));
    let keys = match authenticated {
        Some(false) => Some(None),
        _ => f.mapping("keys", keys).map(Some),
    };
    let answer_wait = f.number(
        "answer_wait_ms",
        0..=STOP_TIMEOUT_MAX_MS,
        Some(DEFAULT_ANSWER_WAIT_MS),
    );
    let limits = f.optional_mapping("limits", Limits::default(), document::limits);
    let stop = f.number(
        "stop_timeout_ms",
        0..=STOP_TIMEOUT_MAX_MS,
        Some(DEFAULT_STOP_TIMEOUT_MS),
    );
    let levels = [
        ("error", log::LevelFilter::Error),
        ("warn", log::LevelFilter::Warn),
        ("info", log::LevelFilter::Info),
        ("debug", log::LevelFilter::Debug),
    ];
    let log = f.word("log", &levels, Some(log::LevelFilter::Info));
    Some(Settings {
        host: host?,
        failure_domain: failure_domain?,
        platform: platform?,
        profile: profile?,
        service: service?,
        target: target?,
        answer_wait: Duration::from_millis(answer_wait?),
        announce_period: period?.unwrap_or(DEFAULT_ANNOUNCE_PERIOD),
        listen: listen?,
        keys: keys?,
        limits: match retry? {
            None => limits?,
            Some((percent, slack)) => Limits {
                retry_percent: percent,
                retry_slack: slack,
                ..limits?
            },
        },
        stop_timeout: match grace? {
            None => Duration::from_millis(stop?),
            Some(grace) => grace.saturating_sub(GRACE_MARGIN),
        },
        log: log?,
    })
}

/// What second attempts may cost, as the platform of the users states it: a
/// share of the traffic, and a number for the whole fleet in ten seconds. Half of
/// the share is used, since the calls of a second attempt are repeats as well.
fn retry(f: &mut Fields<'_, '_>) -> Option<(u32, u32)> {
    let ratio = f.fraction("ratio", 0.0..=1.0);
    let slack = f.number("slack", 0..=100_000, None);
    let percent = Duration::from_secs_f64(ratio? * 100.0 / 2.0).as_secs();
    Some((u32::try_from(percent).ok()?, u32::try_from(slack?).ok()?))
}

fn listen(f: &mut Fields<'_, '_>) -> Option<Listen> {
    let public = f.parsed("public");
    let internal = f.optional("internal", Fields::parsed);
    let target = f.parsed("target");
    let operator = f.parsed("operator");
    let metrics = f.optional("metrics", Fields::parsed);
    let daemons = f.parsed("daemons");
    Some(Listen {
        public: public?,
        internal: internal?,
        target: target?,
        operator: operator?,
        metrics: metrics?,
        daemons: daemons?,
    })
}

fn keys(f: &mut Fields<'_, '_>) -> Option<Keys> {
    let authority = f.text("authority");
    let certificate = f.text("certificate");
    let key = f.text("key");
    Some(Keys {
        authority: authority?,
        certificate: certificate?,
        key: key?,
    })
}
