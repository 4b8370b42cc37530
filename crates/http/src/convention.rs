//! Header names, paths and protocol options, which a deployment can replace.

/// Parses the target's slowness from a header value: the current duration of work in
/// percent of the usual duration.
pub type ParseSlowness = fn(&str) -> Option<u32>;

/// Parses a rate in calls per second from a header value.
pub type ParseRate = fn(&str) -> Option<f64>;

/// Header of a request that its response repeats.
#[derive(Clone, Copy, Debug)]
pub struct Echo {
    /// Name of the header.
    pub header: &'static str,
    /// Whether a response without it is not accepted. If false, the connection that such a
    /// response came on is not used again.
    pub is_required: bool,
}

/// Header names, paths and protocol options used with callers and targets.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the options are independent of each other"
)]
#[derive(Clone, Copy, Debug)]
pub struct Convention {
    /// Request header with the time left until the deadline, milliseconds.
    pub deadline_header: &'static str,
    /// Request header with the depth in a chain of calls between services.
    pub depth_header: Option<&'static str>,
    /// Request header with the id of the attempt, sent to the target.
    pub call_id_header: Option<&'static str>,
    /// Request header with the service on whose host the request originated.
    pub caller_header: &'static str,
    /// Request header with the organisation whose key the caller sent.
    pub organisation_header: &'static str,
    /// Whether every caller runs on the host of the daemon that it calls. If false, only
    /// callers on the internal listener do.
    pub callers_are_local: bool,
    /// Request header with the name of the only target that may run the request.
    pub target_header: Option<&'static str>,
    /// Response header by which a target states that it did not run the request.
    pub not_run_header: &'static str,
    /// Response status by which a target states that the request names another target.
    pub wrong_target_status: Option<u16>,
    /// Request header with the caller's request id, for logs.
    pub request_id_header: &'static str,
    /// Header by which a response shows which request it belongs to.
    pub echo: Option<Echo>,
    /// Header that every successful response of a target has; without it the response
    /// does not come from the target.
    pub signature_header: Option<&'static str>,
    /// Response header with the target's load, and the parser for the slowness in it.
    pub load_header: Option<(&'static str, ParseSlowness)>,
    /// Response header by which a target names the rate of calls that it takes, and the parser
    /// for it.
    pub rate_limit_header: (&'static str, ParseRate),
    /// Header of a health answer by which a target states how long it stays cold, milliseconds;
    /// 0 if it is warm.
    pub cold_header: Option<&'static str>,
    /// Response header, with the value `1`, by which a target states that it is leaving.
    pub leaving_header: &'static str,
    /// Whether a call is cancelled by a separate request to the target. If false, the
    /// connection of the call is closed.
    pub cancels_by_request: bool,
    /// Path of the target's health check.
    pub health_path: &'static str,
    /// Whether callers can request and use tickets.
    pub tickets: bool,
    /// Whether `retry-after` may contain fractions of a second.
    pub fractional_retry_after: bool,
    /// Path at which the daemon reports whether it accepts callers.
    pub ready_path: &'static str,
}

/// The default convention, used with the profile `own`.
pub const OWN: Convention = Convention {
    deadline_header: "pollenrouter-deadline-ms",
    depth_header: Some("pollenrouter-depth"),
    call_id_header: Some("pollenrouter-call"),
    caller_header: "pollenrouter-caller",
    organisation_header: "pollenrouter-organisation",
    callers_are_local: false,
    target_header: Some("pollenrouter-target"),
    not_run_header: "target-shed",
    wrong_target_status: None,
    request_id_header: "x-request-id",
    echo: Some(Echo {
        header: "pollenrouter-call",
        is_required: false,
    }),
    signature_header: None,
    load_header: None,
    rate_limit_header: ("target-limit", parse_rate),
    cold_header: None,
    leaving_header: "target-leaving",
    cancels_by_request: true,
    health_path: "/.target/health",
    tickets: true,
    fractional_retry_after: false,
    ready_path: "/ready",
};

/// Parses a decimal number of at least 0.
#[must_use]
pub fn parse_rate(text: &str) -> Option<f64> {
    let is_decimal = |b: u8| b.is_ascii_digit() || b == b'.';
    let text = text.trim();
    text.bytes().all(is_decimal).then(|| text.parse().ok())?
}
