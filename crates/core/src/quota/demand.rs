//! Demand of one entry for tokens of one organisation: the calls that wait, the tokens it has
//! and the holders that it asks.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{HOLDERS_MAX, Permit, Returned};
use crate::entry::Token;
use crate::id;
use crate::organisation::Quota;

/// Shortest retry delay; the next token may be a few microseconds away.
const RETRY_MIN: Duration = Duration::from_millis(50);

/// By how much state outlives the window that it is for, which includes both of its ends.
const MARGIN: Duration = Duration::from_millis(1);

/// Time for which a holder that has had no tokens several times is not asked. Without it each
/// entry would ask the holders of a busy organisation every few milliseconds: 20 messages a call
/// with 59 hosts, a quota of 267 calls a second and four times as many calls; with it, less than
/// one.
const EMPTY_WAIT: Duration = Duration::from_millis(125);
/// Short grants before a holder is left alone for [`EMPTY_WAIT`], and before each doubling of it:
/// a few occur also in a load below the limit.
const SHORT_GRANTS: usize = 2 * HOLDERS_MAX;
/// From here on the wait no longer grows, and it shrinks as soon as grants suffice again.
const SHORT_GRANTS_MAX: usize = SHORT_GRANTS * (EMPTY_WAIT_DOUBLINGS + 1);
/// Up to 1 s.
const EMPTY_WAIT_DOUBLINGS: usize = 3;

/// Tokens of one grant.
#[derive(Clone, Debug)]
struct Pool {
    holder: id::HostName,
    stamp: u64,
    count: u32,
    expires_at: Duration,
}

/// The request for tokens that a holder has not replied to.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub(super) id: u64,
    pub(super) holder: id::HostName,
    pub(super) sent_at: Duration,
}

/// Why a holder is not asked for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Closed {
    /// It has no tokens.
    Empty,
    /// It is no holder by its own view, or became one a moment ago.
    NotHolder,
}

/// Number of calls in the current and the previous interval of a fixed length.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    began_at: Duration,
    current: u32,
    previous: u32,
}

impl Arrivals {
    fn record(&mut self, now: Duration, interval: Duration) {
        self.advance(now, interval);
        self.current = self.current.saturating_add(1);
    }

    /// Calls to expect in one interval.
    fn expected(&mut self, now: Duration, interval: Duration) -> u32 {
        self.advance(now, interval);
        self.current.max(self.previous)
    }

    fn advance(&mut self, now: Duration, interval: Duration) {
        let elapsed = now.saturating_sub(self.began_at);
        if elapsed >= interval {
            let is_next = elapsed < interval * 2;
            self.previous = if is_next { self.current } else { 0 };
            self.current = 0;
            self.began_at = now;
        }
    }
}

/// See the module documentation.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    pub(super) waiting: VecDeque<Token>,
    pub(super) asked: Option<Asked>,
    /// Holders in the order in which this entry asks them.
    pub(super) holders: Vec<id::HostName>,
    /// Generation of the view that `holders` was determined with.
    pub(super) generation: Option<u64>,
    pub(super) quota: Option<Quota>,
    /// When [`super::allowance::Allowances`] looks at this demand next.
    pub(super) due_at: Option<Duration>,
    /// When a call was last admitted without a token.
    pub(super) floor_used_at: Option<Duration>,
    /// When the latest refused caller was told to return.
    latest_return: Duration,
    used_at: Duration,
    /// Oldest first.
    pools: VecDeque<Pool>,
    returns: BTreeMap<id::HostName, Vec<Returned>>,
    closed: BTreeMap<id::HostName, (Duration, Closed)>,
    arrivals: Arrivals,
    /// Grants of fewer tokens than the waiting calls needed, less the other ones.
    short_grants: usize,
}

impl Demand {
    pub(super) fn record_call(&mut self, now: Duration, lifetime: Duration, token: Token) {
        self.used_at = now;
        self.arrivals.record(now, lifetime);
        self.waiting.push_back(token);
    }

    /// Adds tokens that a holder granted, or returns them if they have expired.
    pub(super) fn add(&mut self, now: Duration, permit: Permit, count: u32) {
        if count == 0 {
            return;
        }
        if permit.expires_at <= now {
            self.return_tokens(permit.holder, permit.stamp, count);
            return;
        }
        self.pools.push_back(Pool {
            holder: permit.holder,
            stamp: permit.stamp,
            count,
            expires_at: permit.expires_at,
        });
    }

    /// Takes the token that expires first.
    pub(super) fn take(&mut self, now: Duration, organisation: &str) -> Option<Permit> {
        self.expire(now);
        let (index, _) = self
            .pools
            .iter()
            .enumerate()
            .min_by_key(|(_, pool)| pool.expires_at)?;
        let pool = &mut self.pools[index];
        pool.count -= 1;
        let permit = Permit {
            organisation: organisation.into(),
            holder: pool.holder.clone(),
            stamp: pool.stamp,
            expires_at: pool.expires_at,
        };
        if pool.count == 0 {
            self.pools.remove(index);
        }
        Some(permit)
    }

    /// Moves expired tokens to those that are to be returned.
    pub(super) fn expire(&mut self, now: Duration) {
        while let Some(index) = self.pools.iter().position(|pool| pool.expires_at <= now) {
            if let Some(pool) = self.pools.remove(index) {
                self.return_tokens(pool.holder, pool.stamp, pool.count);
            }
        }
    }

    pub(super) fn return_tokens(&mut self, holder: id::HostName, stamp: u64, count: u32) {
        if count > 0 {
            let returns = self.returns.entry(holder).or_default();
            returns.push(Returned { stamp, count });
        }
    }

    /// Tokens to return to a holder; they count as returned.
    pub(super) fn take_returns(&mut self, holder: &str) -> Vec<Returned> {
        self.returns.remove(holder).unwrap_or_default()
    }

    /// All tokens to return; they count as returned.
    pub(super) fn take_all_returns(&mut self) -> BTreeMap<id::HostName, Vec<Returned>> {
        std::mem::take(&mut self.returns)
    }

    /// Tokens to ask for: those for the calls that wait, and those to expect.
    pub(super) fn tokens_wanted(&mut self, now: Duration, lifetime: Duration) -> (u32, u32) {
        let needed = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let expected = self.arrivals.expected(now, lifetime);
        (needed, needed.max(expected))
    }

    /// Does not ask a holder without tokens before it may have one, and less and less often as
    /// long as most grants fall short.
    pub(super) fn close_empty(&mut self, now: Duration, holder: &id::HostName, next_in: Duration) {
        let wait = match self.short_grants / SHORT_GRANTS {
            0 => Duration::ZERO,
            rounds => EMPTY_WAIT.saturating_mul(1 << (rounds - 1).min(EMPTY_WAIT_DOUBLINGS)),
        };
        self.short_grants = (self.short_grants + 1).min(SHORT_GRANTS_MAX);
        self.close(holder.clone(), now + next_in.max(wait), Closed::Empty);
    }

    /// Records that a holder had enough tokens.
    pub(super) fn record_full_grant(&mut self) {
        self.short_grants = self.short_grants.saturating_sub(1);
    }

    pub(super) fn close(&mut self, holder: id::HostName, until: Duration, reason: Closed) {
        self.closed.insert(holder, (until, reason));
    }

    /// Whether a holder is not to be asked now.
    pub(super) fn is_closed(&self, now: Duration, holder: &str) -> bool {
        let closed = self.closed.get(holder);
        closed.is_some_and(|(until, _)| *until > now)
    }

    /// When the first of the holders that have no tokens has one.
    pub(super) fn next_token_at(&self, now: Duration) -> Option<Duration> {
        let empty = self
            .holders
            .iter()
            .filter_map(|holder| self.closed.get(holder));
        let empty = empty.filter(|(until, reason)| *until > now && *reason == Closed::Empty);
        empty.map(|(until, _)| *until).min()
    }

    pub(super) fn set_holders(&mut self, holders: Vec<id::HostName>, generation: u64) {
        self.closed.retain(|holder, _| holders.contains(holder));
        self.holders = holders;
        self.generation = Some(generation);
    }

    /// The request for tokens with this number, which then is no longer open.
    pub(super) fn take_asked(&mut self, id: u64) -> Option<Asked> {
        self.asked.take_if(|asked| asked.id == id)
    }

    /// Retry delay of a refused call: callers return one after the other at the rate of the quota
    /// from the time of the next token on, but within a window.
    pub(super) fn next_return(
        &mut self,
        now: Duration,
        next_token_at: Duration,
        window: Duration,
    ) -> Duration {
        let interval = self.quota.map(|quota| quota.rate.interval());
        let spaced = self.latest_return + interval.unwrap_or_default();
        let returns_at = next_token_at.max(spaced).min(now + window);
        self.latest_return = returns_at;
        returns_at.saturating_sub(now).max(RETRY_MIN)
    }

    /// When something is due: the expiry of tokens, or the latest reply of a holder.
    pub(super) fn next_due(&self, reply_wait: Duration) -> Option<Duration> {
        let expiries = self.pools.iter().map(|pool| pool.expires_at);
        let reply = self.asked.as_ref().map(|asked| asked.sent_at + reply_wait);
        expiries.chain(reply).min()
    }

    /// When nothing is lost if this state is dropped, unless it is used until then. `lifetime` is
    /// the interval of the expected calls.
    pub(super) fn idle_at(&self, lifetime: Duration, window: Duration) -> Duration {
        let floor = self.floor_used_at.map(|at| at + window + MARGIN);
        let closed = self.closed.values().map(|(until, _)| *until);
        let times = [self.used_at + lifetime * 2, self.latest_return];
        let times = times.into_iter().chain(floor).chain(closed);
        times.max().unwrap_or_default()
    }

    /// Whether nothing is lost if this state is dropped.
    pub(super) fn is_idle(&self, now: Duration, lifetime: Duration, window: Duration) -> bool {
        self.waiting.is_empty()
            && self.asked.is_none()
            && self.pools.is_empty()
            && self.returns.is_empty()
            && now >= self.idle_at(lifetime, window)
    }
}
