//! Settings of one daemon.

use std::net::SocketAddr;
use std::time::Duration;

use pollenrouter_core::id;
use smol_str::SmolStr;

use crate::fields::{self, Fields};
use crate::finding::Finding;

const DEFAULT_STOP_TIMEOUT_MS: u64 = 60_000;
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
    /// Addresses to listen on.
    pub listen: Listen,
    /// Keys, in PEM.
    pub keys: Keys,
    /// Longest wait for calls in flight at a planned stop.
    pub stop_timeout: Duration,
    /// Level of logs.
    pub log: log::LevelFilter,
}

/// Addresses to listen on.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// For the public, TCP.
    pub public: SocketAddr,
    /// For services, TCP.
    pub internal: SocketAddr,
    /// For the target on this host, TCP.
    pub target: SocketAddr,
    /// For operators, TCP.
    pub operator: SocketAddr,
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
    let listen = f.mapping("listen", listen);
    let keys = f.mapping("keys", keys);
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
        listen: listen?,
        keys: keys?,
        stop_timeout: Duration::from_millis(stop?),
        log: log?,
    })
}

fn listen(f: &mut Fields<'_, '_>) -> Option<Listen> {
    let public = f.parsed("public");
    let internal = f.parsed("internal");
    let target = f.parsed("target");
    let operator = f.parsed("operator");
    let daemons = f.parsed("daemons");
    Some(Listen {
        public: public?,
        internal: internal?,
        target: target?,
        operator: operator?,
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
