//! Errors of the development tool.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Why a tool failed.
    #[derive(Debug)]
    pub enum Error {
        /// A file, socket, thread or process failed.
        Io(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// A process did not do what it should.
        Process(name: String, reason: String) {
            display("process `{name}`: {reason}")
        }
        /// An HTTP call of the tool failed.
        Http(uri: String, reason: String) {
            display("could not call {uri}: {reason}")
        }
        /// A deployment did not come up.
        NotReady(reason: String) {
            display("deployment is not ready: {reason}")
        }
    }
}
