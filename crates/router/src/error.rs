//! Errors of the command line.

use std::io;
use std::path::PathBuf;

use pollenrouter_daemon::{keys, tls};
use pollenrouter_platform::client;
use quick_error::quick_error;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Error {
        /// A file can not be read.
        Read(path: PathBuf, err: io::Error) {
            source(err)
            display("could not read `{}`: {err}", path.display())
        }
        /// Texts have findings; they are printed by then.
        Findings(count: usize) {
            display("{count} findings")
        }
        /// The platform refused or failed.
        Platform(err: client::PlatformError) {
            from()
            source(err)
            display("{err}")
        }
        /// The platform has no such document.
        NoService(name: smol_str::SmolStr) {
            display("service `{name}` has no document at the platform")
        }
        /// An object is not what its key says.
        Object(key: smol_str::SmolStr, err: serde_json::Error) {
            source(err)
            display("could not read object `{key}`: {err}")
        }
        /// A daemon does not reply.
        Daemon(address: smol_str::SmolStr, reason: String) {
            display("could not ask the daemon at {address}: {reason}")
        }
        /// Keys can not be made.
        Keys(err: keys::KeysError) {
            from()
            source(err)
            display("{err}")
        }
        /// Keys can not be used.
        Tls(err: tls::TlsError) {
            from()
            source(err)
            display("{err}")
        }
        /// An address can not be listened on.
        Listen(name: &'static str, address: std::net::SocketAddr, err: io::Error) {
            source(err)
            display("could not listen on {address} for `listen.{name}`: {err}")
        }
        /// A thread, a signal or an output failed.
        Io(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// Metrics can not be set up.
        Metrics(reason: String) {
            display("could not set up metrics: {reason}")
        }
    }
}
