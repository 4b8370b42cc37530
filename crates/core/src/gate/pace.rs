//! Momentary speed of a target. Work takes the time that its start finds: a target
//! whose host is busy for a moment is best given its work just after that.

use std::time::Duration;

use super::Report;

/// A start is decided on a report that is no older; slow spells last about ten times
/// as long.
const FRESH: Duration = Duration::from_millis(20);
/// A report is passed on to entries for this long.
const HINT_TTL: Duration = Duration::from_millis(150);
/// A question that stays open for longer is not waited for.
const QUESTION_MAX: Duration = Duration::from_millis(40);
/// The pause between questions that stay without an answer doubles this often: to 10 s.
const PAUSE_DOUBLINGS: u32 = 9;
/// Slowness from which a target counts as slow, hundredths of the usual.
const SLOW: u32 = 150;
/// Hundredths of the usual time at the usual speed.
pub(super) const USUAL: u32 = 100;
/// Length that slow spells are taken to have: work that loses less time to a slow
/// start gains nothing by waiting.
const SPELL: Duration = Duration::from_millis(150);
/// A target that has been slow for this long is not expected to recover soon.
const LASTING: Duration = Duration::from_millis(600);

/// What is known of a target's speed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Pace {
    asks: bool,
    report: Option<(Report, Duration)>,
    slow_since: Option<Duration>,
    asked: Option<Duration>,
    /// Questions in a row without an answer.
    unanswered: u32,
    /// When the next question may be asked.
    ask_at: Duration,
}

/// A target's speed at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Speed {
    /// Time that work takes, hundredths of the usual.
    pub(super) slowness: u32,
    /// Whether it has been slow for so long that it may stay so.
    pub(super) is_lasting: bool,
}

impl Pace {
    /// The target tells its speed when it is asked.
    pub(super) fn asking() -> Self {
        Self {
            asks: true,
            ..Self::default()
        }
    }

    pub(super) fn reported(&mut self, now: Duration, report: Report) {
        self.asked = None;
        self.unanswered = 0;
        self.ask_at = now;
        self.slow_since = (report.slowness >= SLOW).then(|| self.slow_since.unwrap_or(now));
        self.report = Some((report, now));
    }

    /// The target did not tell its speed when it was asked; some never do.
    pub(super) fn silent(&mut self, now: Duration) {
        self.asked = None;
        self.report = None;
        self.slow_since = None;
        let pause = FRESH.saturating_mul(1 << self.unanswered.min(PAUSE_DOUBLINGS));
        self.unanswered = self.unanswered.saturating_add(1);
        self.ask_at = now + pause;
    }

    /// Slowness for entries; 0 when it is not known.
    pub(super) fn slowness(&self, now: Duration) -> u32 {
        match self.report {
            Some((report, at)) if now <= at + HINT_TTL => report.slowness,
            _ => 0,
        }
    }

    /// The speed that a start would find; none while the answer to a question is due.
    /// The second value tells whether to ask.
    pub(super) fn speed(&mut self, now: Duration) -> (Option<Speed>, bool) {
        let fresh = self.report.filter(|(_, at)| now <= *at + FRESH);
        if let Some((report, _)) = fresh {
            let since = self.slow_since;
            let speed = Speed {
                slowness: report.slowness,
                is_lasting: since.is_some_and(|since| now > since + LASTING),
            };
            return (Some(speed), false);
        }
        if !self.asks || now < self.ask_at {
            return (Some(Speed::USUAL), false);
        }
        match self.asked {
            Some(at) if now > at + QUESTION_MAX => (Some(Speed::USUAL), false),
            Some(_) => (None, false),
            None => {
                self.asked = Some(now);
                (None, true)
            }
        }
    }
}

impl Speed {
    const USUAL: Self = Self {
        slowness: USUAL,
        is_lasting: false,
    };

    pub(super) fn is_slow(self) -> bool {
        self.slowness >= SLOW
    }

    /// Whether work of this length is best started at once all the same.
    pub(super) fn is_fine_for(self, mean: Duration) -> bool {
        !self.is_slow() || mean * (self.slowness - USUAL) / USUAL <= SPELL
    }
}
