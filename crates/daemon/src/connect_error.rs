//! Why a connection to another daemon could not be opened.

use std::net;
use std::time::Duration;

use quick_error::quick_error;

use crate::frame::FrameError;

/// Time in which a connection has to be established.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

quick_error! {
    /// A connection could not be opened.
    #[derive(Debug)]
    pub enum ConnectError {
        /// No socket could be opened.
        Socket(err: std::io::Error) {
            from()
            source(err)
            display("could not open a socket: {err}")
        }
        /// The address or the client configuration is invalid.
        Connect(err: quinn::ConnectError) {
            from()
            source(err)
            display("could not start a connection: {err}")
        }
        /// The handshake failed.
        Handshake(err: quinn::ConnectionError) {
            from()
            source(err)
            display("handshake failed: {err}")
        }
        /// The peer did not send its incarnation.
        Incarnation(err: FrameError) {
            from()
            source(err)
            display("could not read the peer's incarnation: {err}")
        }
        /// The connection was not established in time.
        Timeout(address: net::SocketAddr) {
            display("no reply from {address} within {} ms", CONNECT_TIMEOUT.as_millis())
        }
    }
}
