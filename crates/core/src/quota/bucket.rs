//! Token bucket of one holder, to which unused tokens can be returned.

use std::collections::VecDeque;
use std::time::Duration;

use crate::organisation::Quota;

/// Units of one token. A rate is a whole number of tokens in 10^9 microseconds, and divided
/// by up to 4, so that with a multiple of 12 no refill is rounded.
const TOKEN: u64 = 12_000_000_000;
const SHARES: u64 = 12;
/// Grants whose tokens can be returned; those of older grants are lost when returned.
const GRANTS_MAX: usize = 64;

/// A holder's share of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The whole quota.
    pub quota: Quota,
    /// Number of holders that it is divided among.
    pub holders: u32,
    /// Tokens by which the depth of the bucket exceeds the share of the burst.
    pub extra: u32,
}

impl Share {
    /// Largest level, units.
    fn depth(self) -> u64 {
        let parts = u64::from(self.quota.burst) * (SHARES / u64::from(self.holders.max(1)));
        let burst = parts.saturating_mul(TOKEN / SHARES);
        let extra = TOKEN * u64::from(self.extra);
        burst.saturating_add(extra).max(TOKEN)
    }

    /// Units per microsecond.
    fn speed(self) -> u64 {
        let rate = u64::from(self.quota.rate.per_1000_s());
        rate * (SHARES / u64::from(self.holders.max(1)))
    }
}

/// Grants from `first_stamp` up to the next entry's.
#[derive(Clone, Copy, Debug)]
struct Granted {
    first_stamp: u64,
    /// Highest level since the first of these grants, units.
    peak: u64,
}

/// A token bucket.
///
/// A returned token is credited as if it had never been granted: the level rises by it unless
/// the bucket would have been full in the meantime, where the token would have been lost. The
/// grants less the returns are thus at any time those of an ordinary token bucket.
#[derive(Clone, Debug)]
pub struct Bucket {
    units: u64,
    refilled_at: Duration,
    /// Oldest first; no peak is higher than one before it.
    granted: VecDeque<Granted>,
}

impl Bucket {
    /// A bucket that is empty at `at`.
    pub fn new(at: Duration) -> Self {
        Self {
            units: 0,
            refilled_at: at,
            granted: VecDeque::new(),
        }
    }

    /// Adds the tokens that accrued since the previous refill, and applies a lower limit.
    pub fn refill(&mut self, now: Duration, share: Share) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let added = micros.saturating_mul(share.speed());
        self.units = self.units.saturating_add(added).min(share.depth());
        self.refilled_at = now.max(self.refilled_at);
        self.raise_peaks(self.granted.len(), self.units);
    }

    /// Whole tokens.
    pub fn tokens(&self) -> u32 {
        u32::try_from(self.units / TOKEN).unwrap_or(u32::MAX)
    }

    /// Takes tokens, no more than there are, for the grant with this stamp.
    pub fn take(&mut self, stamp: u64, tokens: u32) {
        if tokens == 0 {
            return;
        }
        self.units = self
            .units
            .saturating_sub(TOKEN.saturating_mul(tokens.into()));
        self.granted.push_back(Granted {
            first_stamp: stamp,
            peak: self.units,
        });
        if self.granted.len() > GRANTS_MAX {
            self.granted.pop_front();
        }
    }

    /// Credits tokens that were granted with this stamp and not used.
    pub fn credit(&mut self, share: Share, stamp: u64, tokens: u32) {
        let later = self.granted.iter().rposition(|g| g.first_stamp <= stamp);
        let Some(index) = later else {
            return;
        };
        let room = share.depth().saturating_sub(self.granted[index].peak);
        let credit = TOKEN.saturating_mul(tokens.into()).min(room);
        for granted in self.granted.range_mut(index..) {
            granted.peak += credit;
        }
        self.units += credit;
        self.raise_peaks(index, self.granted[index].peak);
    }

    /// Time until there is a whole token.
    pub fn next_in(&self, share: Share) -> Duration {
        let missing = TOKEN.saturating_sub(self.units);
        let micros = missing.div_ceil(share.speed().max(1));
        Duration::from_micros(micros)
    }

    /// Whether no more tokens fit.
    pub fn is_full(&self, share: Share) -> bool {
        self.units >= share.depth()
    }

    /// Raises the peaks of the first `end` entries to at least `level`, and merges those that
    /// become equal.
    fn raise_peaks(&mut self, end: usize, level: u64) {
        let lower = self.granted.iter().take(end);
        let start = lower.take_while(|granted| granted.peak > level).count();
        let Some(first) = self.granted.get_mut(start).filter(|_| start < end) else {
            return;
        };
        first.peak = level;
        self.granted.drain(start + 1..end);
    }
}
