//! Errors of subcommands.

use std::io;
use std::path::PathBuf;

use pollenrouter_daemon::{keys, tls};
use pollenrouter_platform::client;
use quick_error::quick_error;

quick_error! {
    /// A subcommand failed.
    #[derive(Debug)]
    pub enum Error {
        /// A file could not be read.
        ReadFile(path: PathBuf, err: io::Error) {
            source(err)
            display("could not read `{}`: {err}", path.display())
        }
        /// Settings or documents are invalid; the findings have already been printed.
        Findings(count: usize) {
            display("validation failed with {count} findings")
        }
        /// A call to the platform failed.
        Platform(err: client::PlatformError) {
            from()
            source(err)
            display("{err}")
        }
        /// The platform stores no document of the service.
        NoDocument(name: smol_str::SmolStr) {
            display("the platform stores no document for service `{name}`")
        }
        /// The value of an object does not have the format of its kind.
        MalformedObject(key: smol_str::SmolStr, err: serde_json::Error) {
            source(err)
            display("malformed object `{key}`: {err}")
        }
        /// The status of a daemon could not be read.
        DaemonStatus(address: smol_str::SmolStr, reason: String) {
            display("could not read the status of the daemon at {address}: {reason}")
        }
        /// Keys could not be generated.
        Keys(err: keys::KeysError) {
            from()
            source(err)
            display("{err}")
        }
        /// TLS could not be set up with the configured keys.
        Tls(err: tls::TlsError) {
            from()
            source(err)
            display("{err}")
        }
        /// A listener could not be bound.
        Listen(name: &'static str, address: std::net::SocketAddr, err: io::Error) {
            source(err)
            display("could not listen on {address} for `listen.{name}`: {err}")
        }
        /// A thread could not be started, or an operation on signals, sockets or output failed.
        Io(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// Metrics could not be set up.
        Metrics(reason: String) {
            display("could not set up metrics: {reason}")
        }
    }
}
