//! Settings of a daemon.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use pollenrouter_core::service::Limits;
use pollenrouter_core::{id, quota};
use smol_str::SmolStr;

use crate::document;
use crate::finding::Finding;
use crate::yaml::{self, FieldReader};

const DEFAULT_STOP_TIMEOUT_MS: u64 = 60_000;
/// Whether daemons authenticate each other. To run without keys, the settings must contain
/// `daemons: unauthenticated`.
const AUTHENTICATION: [(&str, bool); 2] = [("authenticated", true), ("unauthenticated", false)];
/// A target that does not stop at the deadline can still respond after it.
const DEFAULT_ANSWER_WAIT_MS: u64 = 60_000;
/// A target counts as available for three periods after an announcement.
const DEFAULT_ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);
/// Part of the grace period that is reserved for sending the last responses before the stop is
/// enforced.
const GRACE_MARGIN: Duration = Duration::from_millis(900);
/// Bounds of the window that quotas refer to, seconds.
const QUOTA_WINDOW_S: RangeInclusive<f64> = 1.0..=3600.0;
/// Bounds of the overshoot. Tokens live for this part of the window: with less than 0.02, at
/// 1 s, they would expire within a few round trips between failure domains.
const QUOTA_OVERSHOOT: RangeInclusive<f64> = 0.02..=1.0;
const QUOTA_SLACK_MAX: u64 = 100_000;
const STOP_TIMEOUT_MAX_MS: u64 = 3_600_000;
/// Memory of a host that states none, MB: the smallest that deployments state.
const DEFAULT_MEMORY_MB: u64 = 160;
/// A daemon without callers takes about 20 MB.
const MEMORY_MB: RangeInclusive<u64> = 32..=1_048_576;
/// Descriptors of a host that states none: the smallest number that deployments state.
const DEFAULT_DESCRIPTORS: u64 = 4100;
/// With fewer, nothing would be left for callers beside files, the platform, other daemons and
/// the target.
const DESCRIPTORS: RangeInclusive<u64> = 400..=1_048_576;

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host.
    pub host: id::HostName,
    /// Failure domain of the host.
    pub failure_domain: id::DomainName,
    /// Base address of the platform's object API.
    pub platform: SmolStr,
    /// Names and formats to use.
    pub profile: Profile,
    /// Service of the target on this host, if known in advance.
    pub service: Option<id::ServiceName>,
    /// Address of that target, if known in advance.
    pub target: Option<SocketAddr>,
    /// Time to wait for the response to a started call after its deadline.
    pub answer_wait: Duration,
    /// Time between two announcements of a target.
    pub announce_period: Duration,
    /// Addresses to listen on.
    pub listen: ListenAddresses,
    /// Keys, in PEM; `None` if the settings state that daemons are not authenticated.
    pub keys: Option<Keys>,
    /// Limits of services whose configuration states none.
    pub limits: Limits,
    /// Whether operators may evacuate failure domains by objects of the platform. The platform is
    /// read for them only then.
    pub evacuations: bool,
    /// How strictly the quotas of organisations are kept.
    pub quota: quota::Settings,
    /// Memory that the process may take, MB of 2^20 bytes.
    pub memory_mb: u64,
    /// Number of descriptors that the process may open.
    pub descriptors: u64,
    /// Maximum time to wait for calls in flight during a planned stop.
    pub stop_timeout: Duration,
    /// Log level.
    pub log: log::LevelFilter,
}

/// Names and formats used with callers, targets and the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// The default names and formats.
    Own,
    /// The names and formats of the users' platform.
    Platform,
}

/// Addresses to listen on.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    /// For public callers, TCP.
    pub public: SocketAddr,
    /// For calls between services, TCP; if absent, services use the public address.
    pub internal: Option<SocketAddr>,
    /// For the target on this host, TCP.
    pub target: SocketAddr,
    /// For operators, TCP.
    pub operator: SocketAddr,
    /// Second address of the operator listener, for metrics, TCP.
    pub metrics: Option<SocketAddr>,
    /// For other daemons, UDP.
    pub daemons: SocketAddr,
}

/// Keys, in PEM.
#[derive(Clone, Debug)]
pub struct Keys {
    /// Certificates of the certificate authorities.
    pub authority: SmolStr,
    /// Certificate of this daemon.
    pub certificate: SmolStr,
    /// Private key of this daemon.
    pub key: SmolStr,
}

/// Checks settings.
///
/// # Errors
/// Returns all findings, each with its position.
pub fn check(text: &str) -> Result<Settings, Vec<Finding>> {
    yaml::read(text, read_settings)
}

fn read_settings(f: &mut FieldReader<'_, '_>) -> Option<Settings> {
    let host = f.name("host");
    let failure_domain = f.name("failure_domain");
    let platform = f.string("platform");
    if platform.as_ref().is_some_and(|p| !p.starts_with("http://")) {
        f.report("platform", "does not begin with `http://`");
    }
    let profiles = [("own", Profile::Own), ("platform", Profile::Platform)];
    let profile = f.one_of("profile", &profiles, Some(Profile::Own));
    let service = f.optional("service", FieldReader::name);
    let target = f.optional("target", FieldReader::parsed);
    let period = f.optional("announce_period_s", FieldReader::seconds);
    let grace = f.optional("grace_s", FieldReader::seconds);
    let retry = f.optional("retry", |f, name| f.mapping(name, read_retry));
    let listen = f.mapping("listen", read_listen);
    let authenticated = f.one_of("daemons", &AUTHENTICATION, Some(true));
    let keys = match authenticated {
        Some(false) => Some(None),
        _ => f.mapping("keys", read_keys).map(Some),
    };
    let answer_wait = f.integer(
        "answer_wait_ms",
        0..=STOP_TIMEOUT_MAX_MS,
        Some(DEFAULT_ANSWER_WAIT_MS),
    );
    let limits = f.optional_mapping("limits", Limits::default(), document::read_limits);
    let evacuations = f.switch("evacuations");
    let quota = f.optional_mapping("quota", quota::Settings::default(), read_quota);
    let stop = f.integer(
        "stop_timeout_ms",
        0..=STOP_TIMEOUT_MAX_MS,
        Some(DEFAULT_STOP_TIMEOUT_MS),
    );
    let memory = f.integer("memory_mb", MEMORY_MB, Some(DEFAULT_MEMORY_MB));
    let descriptors = f.integer("descriptors", DESCRIPTORS, Some(DEFAULT_DESCRIPTORS));
    let levels = [
        ("error", log::LevelFilter::Error),
        ("warn", log::LevelFilter::Warn),
        ("info", log::LevelFilter::Info),
        ("debug", log::LevelFilter::Debug),
    ];
    let log = f.one_of("log", &levels, Some(log::LevelFilter::Info));
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
        evacuations: evacuations?,
        quota: quota?,
        memory_mb: memory?,
        descriptors: descriptors?,
        stop_timeout: match grace? {
            None => Duration::from_millis(stop?),
            Some(grace) => grace.saturating_sub(GRACE_MARGIN),
        },
        log: log?,
    })
}

/// Reads the retry budget in the form of the users' platform: a share of the traffic, and a
/// number of retries of the whole fleet in ten seconds. Returns the percentage and the number.
/// Only half of the share is used, since the calls that a retry makes are retries as well.
fn read_retry(f: &mut FieldReader<'_, '_>) -> Option<(u32, u32)> {
    let ratio = f.decimal("ratio", 0.0..=1.0);
    let slack = f.integer("slack", 0..=100_000, None);
    let percent = Duration::from_secs_f64(ratio? * 100.0 / 2.0).as_secs();
    Some((u32::try_from(percent).ok()?, u32::try_from(slack?).ok()?))
}

fn read_quota(f: &mut FieldReader<'_, '_>) -> Option<quota::Settings> {
    let window = f.filled_in("window_s", |f, name| f.decimal(name, QUOTA_WINDOW_S));
    let overshoot = f.filled_in("overshoot", |f, name| f.decimal(name, QUOTA_OVERSHOOT));
    let slack = f.filled_in("slack", |f, name| {
        f.integer(name, 0..=QUOTA_SLACK_MAX, None)
    });
    let default = quota::Settings::default();
    Some(quota::Settings {
        window: window?.map_or(default.window, Duration::from_secs_f64),
        overshoot: overshoot?.unwrap_or(default.overshoot),
        slack: slack?.map_or(Some(default.slack), |slack| u32::try_from(slack).ok())?,
    })
}

fn read_listen(f: &mut FieldReader<'_, '_>) -> Option<ListenAddresses> {
    let public = f.parsed("public");
    let internal = f.optional("internal", FieldReader::parsed);
    let target = f.parsed("target");
    let operator = f.parsed("operator");
    let metrics = f.optional("metrics", FieldReader::parsed);
    let daemons = f.parsed("daemons");
    Some(ListenAddresses {
        public: public?,
        internal: internal?,
        target: target?,
        operator: operator?,
        metrics: metrics?,
        daemons: daemons?,
    })
}

fn read_keys(f: &mut FieldReader<'_, '_>) -> Option<Keys> {
    let authority = f.string("authority");
    let certificate = f.string("certificate");
    let key = f.string("key");
    Some(Keys {
        authority: authority?,
        certificate: certificate?,
        key: key?,
    })
}
