//! Names of headers and paths, where a deployment may have its own.

/// Reads from the text of a header how long work takes, in hundredths of the usual.
pub type ReadSlowness = fn(&str) -> Option<u32>;

/// How callers, targets and the system name what they tell each other.
#[expect(clippy::struct_excessive_bools, reason = "each is a habit of its own")]
#[derive(Clone, Copy, Debug)]
pub struct Convention {
    /// Header with the time left, milliseconds.
    pub deadline_ms: &'static str,
    /// Header with the depth of a call between services.
    pub depth: Option<&'static str>,
    /// Header with the identity of an attempt at its target.
    pub call: Option<&'static str>,
    /// Header with the service on whose host the request began.
    pub caller: &'static str,
    /// Whether every caller stands on the host of the daemon that it calls; else
    /// only those on the internal listener do.
    pub callers_are_local: bool,
    /// Header that names the only target that may run the request.
    pub target: Option<&'static str>,
    /// Header of an answer by which a target says that it did not run the request.
    pub not_run: &'static str,
    /// Status by which a target says that it is not the one that was named.
    pub other_target: Option<u16>,
    /// Header in which callers name their requests, for logs.
    pub request_id: &'static str,
    /// Header of a request that the answer to it has to repeat.
    pub echo: Option<&'static str>,
    /// Header without which an answer is not a target's.
    pub signature: Option<&'static str>,
    /// Header of an answer with the target's load, and how to read its slowness.
    pub load: Option<(&'static str, ReadSlowness)>,
    /// Whether a target is told by a request of its own that an answer is no longer
    /// wanted; else its connection is closed.
    pub cancels: bool,
    /// Path at which a target tells its health.
    pub health_path: &'static str,
    /// Whether the system's own headers and tickets are spoken with callers.
    pub tickets: bool,
    /// Whether `retry-after` may have fractions of a second.
    pub retry_fractions: bool,
    /// Path at which the daemon tells whether it takes callers.
    pub ready_path: &'static str,
}

/// The product's own convention.
pub const OWN: Convention = Convention {
    deadline_ms: "pollenrouter-deadline-ms",
    depth: Some("pollenrouter-depth"),
    call: Some("pollenrouter-call"),
    caller: "pollenrouter-caller",
    callers_are_local: false,
    target: Some("pollenrouter-target"),
    not_run: "target-shed",
    other_target: None,
    request_id: "x-request-id",
    echo: None,
    signature: None,
    load: None,
    cancels: true,
    health_path: "/.target/health",
    tickets: true,
    retry_fractions: false,
    ready_path: "/ready",
};
