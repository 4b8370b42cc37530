//! What the headers of answers state about the target.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use log::warn;
use pollenrouter_core::gate::statement::{StatedRate, Statement};
use pollenrouter_core::rate::RateLimit;

use super::Sender;

/// Longest cold time that is used; no target takes longer to warm up.
const COLD_MAX: Duration = Duration::from_hours(1);

impl Sender {
    /// What the headers of an answer state about the target.
    pub(super) fn read_statement(&self, headers: &HeaderMap) -> Statement {
        let leaving = headers.get(self.convention.leaving_header);
        Statement {
            rate: self.read_rate(headers),
            leaving: leaving.is_some_and(|value| value == "1"),
            cold: self.read_cold(headers),
            ..Statement::default()
        }
    }

    fn read_rate(&self, headers: &HeaderMap) -> StatedRate {
        let (name, parse) = self.convention.rate_limit_header;
        let mut values = headers.get_all(name).iter();
        let Some(value) = values.next() else {
            return StatedRate::None;
        };
        let calls = value.to_str().ok().and_then(parse);
        let limit = calls.and_then(RateLimit::per_second);
        if let Some(limit) = limit.filter(|_| values.next().is_none()) {
            return StatedRate::Limit(limit);
        }
        self.log_unreadable("rate", name, value);
        StatedRate::Unreadable
    }

    /// How long the target stays cold, at most [`COLD_MAX`].
    fn read_cold(&self, headers: &HeaderMap) -> Option<Duration> {
        let name = self.convention.cold_header?;
        let value = headers.get(name)?;
        let millis = value
            .to_str()
            .ok()
            .and_then(|text| text.trim().parse().ok());
        if millis.is_none() {
            self.log_unreadable("cold time", name, value);
        }
        millis.map(|millis| Duration::from_millis(millis).min(COLD_MAX))
    }

    /// Logs a header that cannot be read, once for each value in a row.
    fn log_unreadable(&self, what: &str, name: &'static str, value: &HeaderValue) {
        let mut unreadable = self.unreadable.borrow_mut();
        if unreadable.get(name) != Some(value) {
            warn!(value:? = value; "the target names a {what} that cannot be read");
            unreadable.insert(name, value.clone());
        }
    }
}
