//! Current speed of a target. A call runs at the speed that its target has when it
//! starts, so work for a host that is briefly busy is best started just after that.

use std::time::Duration;

use super::LoadReport;

/// A start is decided on a report no older than this; slow periods last about ten times
/// as long.
const REPORT_MAX_AGE: Duration = Duration::from_millis(20);
/// A report is passed on to entries for this long.
const HINT_TTL: Duration = Duration::from_millis(150);
/// Starts no longer wait for a load report that was requested longer ago than this.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(40);
/// The pause after a load request without a report starts at [`REPORT_MAX_AGE`] and
/// doubles up to this many times, to 10 s.
const BACKOFF_DOUBLINGS_MAX: u32 = 9;
/// A target counts as slow from this slowness on, percent.
const SLOW_MIN: u32 = 150;
/// Slowness of a target at its usual speed, percent.
pub(super) const NORMAL_SLOWNESS: u32 = 100;
/// A cold target takes longer than usual for all work. Up to this slowness, percent, that is no
/// slow period, which would end soon; a call would be refused by one cold target after the other.
const COLD_SLOWNESS_MAX: u32 = 300;
/// Assumed length of a slow period. Work that loses no more time than this to a slow
/// start gains nothing by waiting.
const SLOW_PERIOD: Duration = Duration::from_millis(150);
/// A target that has been slow for longer than this is not expected to recover soon.
const PERSISTENT_AFTER: Duration = Duration::from_millis(600);

/// Tracks the speed of a target by its load reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct SpeedTracker {
    requests_load: bool,
    report: Option<(LoadReport, Duration)>,
    slow_since: Option<Duration>,
    /// Lowest slowness that the target has reported while it is cold.
    cold_slowness: Option<u32>,
    /// When the outstanding load request was made.
    requested_at: Option<Duration>,
    /// Consecutive load requests without a report.
    missing_reports: u32,
    /// When the next load request may be made.
    next_request_at: Duration,
}

/// Speed of a target at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Speed {
    /// Time that work takes, in percent of the usual time.
    pub(super) slowness: u32,
    /// Slowness outside of slow periods, percent.
    base_slowness: u32,
    /// Whether the target has been slow for so long that it may stay slow.
    pub(super) is_persistent: bool,
}

impl SpeedTracker {
    /// Creates a tracker that requests load reports from its target.
    pub(super) fn with_load_requests() -> Self {
        Self {
            requests_load: true,
            ..Self::default()
        }
    }

    pub(super) fn record_report(&mut self, now: Duration, report: LoadReport, is_cold: bool) {
        self.requested_at = None;
        self.missing_reports = 0;
        self.next_request_at = now;
        let lowest = self.cold_slowness.unwrap_or(COLD_SLOWNESS_MAX);
        self.cold_slowness = is_cold.then(|| report.slowness.min(lowest));
        let is_slow = is_slow(report.slowness, self.base_slowness());
        self.slow_since = is_slow.then(|| self.slow_since.unwrap_or(now));
        self.report = Some((report, now));
    }

    fn base_slowness(&self) -> u32 {
        self.cold_slowness
            .map_or(NORMAL_SLOWNESS, |cold| cold.max(NORMAL_SLOWNESS))
    }

    /// Records that a load request brought no report; some targets never report.
    pub(super) fn record_missing_report(&mut self, now: Duration) {
        self.requested_at = None;
        self.report = None;
        self.slow_since = None;
        let pause =
            REPORT_MAX_AGE.saturating_mul(1 << self.missing_reports.min(BACKOFF_DOUBLINGS_MAX));
        self.missing_reports = self.missing_reports.saturating_add(1);
        self.next_request_at = now + pause;
    }

    /// Slowness for entries; 0 if it is not known.
    pub(super) fn slowness(&self, now: Duration) -> u32 {
        match self.report {
            Some((report, at)) if now <= at + HINT_TTL => report.slowness,
            _ => 0,
        }
    }

    /// Speed for a call that starts now, or `None` while a load report is awaited; and
    /// whether to request one.
    pub(super) fn speed(&mut self, now: Duration) -> (Option<Speed>, bool) {
        let recent = self.report.filter(|(_, at)| now <= *at + REPORT_MAX_AGE);
        if let Some((report, _)) = recent {
            let since = self.slow_since;
            let speed = Speed {
                slowness: report.slowness,
                base_slowness: self.base_slowness(),
                is_persistent: since.is_some_and(|since| now > since + PERSISTENT_AFTER),
            };
            return (Some(speed), false);
        }
        if !self.requests_load || now < self.next_request_at {
            return (Some(Speed::NORMAL), false);
        }
        match self.requested_at {
            Some(at) if now > at + REQUEST_TIMEOUT => (Some(Speed::NORMAL), false),
            Some(_) => (None, false),
            None => {
                self.requested_at = Some(now);
                (None, true)
            }
        }
    }
}

impl Speed {
    const NORMAL: Self = Self {
        slowness: NORMAL_SLOWNESS,
        base_slowness: NORMAL_SLOWNESS,
        is_persistent: false,
    };

    pub(super) fn is_slow(self) -> bool {
        is_slow(self.slowness, self.base_slowness)
    }

    /// Time that work takes at this speed; at least its usual time.
    pub(super) fn scale(self, mean: Duration) -> Duration {
        mean * self.slowness.max(NORMAL_SLOWNESS) / NORMAL_SLOWNESS
    }

    /// Whether work of this length is best started now even if the target is slow.
    pub(super) fn allows_start(self, mean: Duration) -> bool {
        let excess = self.slowness.saturating_sub(self.base_slowness);
        !self.is_slow() || mean * excess / NORMAL_SLOWNESS <= SLOW_PERIOD
    }
}

fn is_slow(slowness: u32, base: u32) -> bool {
    u64::from(slowness) * u64::from(NORMAL_SLOWNESS) >= u64::from(SLOW_MIN) * u64::from(base)
}
