//! Errors of the development tool.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// A failure of the development tool or of a process that it started.
    #[derive(Debug)]
    pub enum Error {
        /// An operation on a file, socket, thread or process failed.
        Io(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// A process or a step of the tool failed.
        Process(name: String, reason: String) {
            display("process `{name}`: {reason}")
        }
        /// An HTTP call of the tool failed.
        Http(uri: String, reason: String) {
            display("could not call {uri}: {reason}")
        }
        /// A deployment did not reach the expected state in time.
        NotReady(reason: String) {
            display("deployment is not ready: {reason}")
        }
    }
}
