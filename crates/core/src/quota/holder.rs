//! A holder: grants tokens out of its share of each organisation's quota.

use std::collections::BTreeMap;
use std::time::Duration;

use super::bucket::{Bucket, Share};
use super::view::{Host, View};
use super::{Ask, Grant, HOLD_OFF, Settings};
use crate::id;
use crate::organisation::Quota;

/// Time without a message of any other daemon after which a holder grants nothing. Others report a
/// host that does not reply as gone after 30 s, and replace it as a holder.
pub const LEASE: Duration = Duration::from_secs(20);
/// Time after a daemon has learned the members for the first time in which changes of them do not
/// make it a new holder: after a start of all, members register one after the other.
const STARTUP: Duration = Duration::from_secs(3);
/// Interval at which unused buckets are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Input of a holder.
#[derive(Clone, Debug)]
pub enum Input {
    /// An entry asks for tokens, or returns some; with the quota by the holder's table.
    Ask(id::HostName, Ask, Option<Quota>),
    /// Another daemon sent a message of any kind.
    Heard,
    /// The present members.
    Members(Vec<Host>),
    /// Time has passed.
    Tick,
}

/// Action that the embedder has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Reply to an entry.
    Grant(id::HostName, Grant),
}

#[derive(Clone, Debug)]
struct Held {
    bucket: Bucket,
    share: Share,
    /// Since when this host has been a holder.
    since: Duration,
    /// When it begins to grant.
    starts_at: Duration,
    /// Generation of the view that `since` was determined with.
    generation: u64,
    asked_at: Duration,
}

/// State of one holder.
#[derive(Clone, Debug)]
pub struct Holder {
    host: id::HostName,
    settings: Settings,
    view: View,
    held: BTreeMap<id::OrganisationName, Held>,
    latest_stamp: u64,
    /// When the members became known for the first time.
    members_known_at: Duration,
    /// When another daemon was last heard, or the members became known.
    heard_at: Duration,
    /// When another daemon was heard again after a longer time than [`LEASE`].
    back_in_touch_at: Duration,
    swept_at: Duration,
}

impl Holder {
    /// A holder that knows no members yet. Stamps begin at half of the random number `seed`, so
    /// that tokens of an earlier incarnation are not credited.
    #[must_use]
    pub fn new(host: id::HostName, seed: u64, settings: Settings) -> Self {
        Self {
            host,
            settings,
            view: View::default(),
            held: BTreeMap::new(),
            latest_stamp: seed / 2,
            members_known_at: Duration::ZERO,
            heard_at: Duration::ZERO,
            back_in_touch_at: Duration::ZERO,
            swept_at: Duration::ZERO,
        }
    }

    /// Processes one input and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        match input {
            Input::Ask(from, ask, quota) => {
                if from != self.host {
                    self.hear(now);
                }
                let grant = self.ask(now, ask, quota);
                let grants = grant
                    .into_iter()
                    .map(|grant| Output::Grant(from.clone(), grant));
                return grants.collect();
            }
            Input::Heard => self.hear(now),
            Input::Members(hosts) => {
                if self.view.generation() == 0 {
                    self.heard_at = now;
                    self.members_known_at = now;
                }
                self.view.replace(now, hosts);
            }
            Input::Tick => self.sweep(now),
        }
        Vec::new()
    }

    /// Number of organisations with a bucket.
    #[must_use]
    pub fn organisations(&self) -> usize {
        self.held.len()
    }

    fn is_out_of_touch(&self, now: Duration) -> bool {
        let has_others = self.view.member_count() > 1;
        has_others && now >= self.heard_at + LEASE
    }

    /// A host that was out of touch may have been replaced; its holding begins anew.
    fn hear(&mut self, now: Duration) {
        if self.is_out_of_touch(now) {
            self.held.clear();
            self.back_in_touch_at = now;
        }
        self.heard_at = now;
    }

    fn ask(&mut self, now: Duration, ask: Ask, quota: Option<Quota>) -> Option<Grant> {
        let (id, wanted) = (ask.id, ask.wanted);
        let organisation = ask.organisation.clone();
        let (granted, next_in, is_holder) = match self.grant(now, ask, quota) {
            Ok((granted, next_in)) => (granted, next_in, true),
            Err(wait) => (0, wait, false),
        };
        (wanted > 0).then_some(Grant {
            id,
            organisation,
            granted,
            stamp: self.latest_stamp,
            next_in,
            is_holder,
        })
    }

    /// Tokens granted, and the time until the next one; or the time after which this host may be
    /// a holder that grants.
    fn grant(
        &mut self,
        now: Duration,
        ask: Ask,
        quota: Option<Quota>,
    ) -> Result<(u32, Duration), Duration> {
        let (needed, wanted) = (ask.needed, ask.wanted);
        let stamp = self.latest_stamp + 1;
        let (returned, organisation) = (ask.returned, ask.organisation);
        let latest_stamp = self.latest_stamp;
        let held = self.held(now, &organisation, quota)?;
        held.asked_at = now;
        held.bucket.refill(now, held.share);
        for returned in returned.iter().filter(|r| r.stamp <= latest_stamp) {
            held.bucket
                .credit(held.share, returned.stamp, returned.count);
        }
        let tokens = held.bucket.tokens();
        let for_waiting = needed.min(tokens);
        // Tokens for calls that are only expected leave as many to other entries.
        let expected = wanted.saturating_sub(needed);
        let granted = for_waiting + expected.min((tokens - for_waiting) / 2);
        held.bucket.take(stamp, granted);
        let next_in = held.bucket.next_in(held.share);
        self.latest_stamp = stamp;
        Ok((granted, next_in))
    }

    /// The bucket of an organisation, if this host may grant tokens of it.
    fn held(
        &mut self,
        now: Duration,
        organisation: &id::OrganisationName,
        quota: Option<Quota>,
    ) -> Result<&mut Held, Duration> {
        let count = self.settings.holders();
        let Some(quota) = quota else {
            self.held.remove(organisation);
            return Err(HOLD_OFF);
        };
        if self.is_out_of_touch(now) {
            return Err(HOLD_OFF);
        }
        let generation = self.view.generation();
        let known = self.held.get(organisation);
        if known.is_none_or(|held| held.generation != generation) {
            let Some(since) = self.view.holder_since(organisation, count, &self.host) else {
                self.held.remove(organisation);
                return Err(HOLD_OFF);
            };
            let since = since.max(self.back_in_touch_at);
            let starts_at = self.starts_at(since);
            let holders = self.view.holders(organisation, count).len();
            let share = Share {
                quota,
                holders: u32::try_from(holders).unwrap_or(1),
                extra: self.settings.extra_depth(),
            };
            // A bucket from before an interruption is dropped.
            let kept = self.held.remove(organisation);
            let kept = kept.filter(|held| since < held.asked_at);
            let held = Held {
                bucket: kept
                    .as_ref()
                    .map_or_else(|| Bucket::new(starts_at), |held| held.bucket.clone()),
                share,
                since: kept.as_ref().map_or(since, |held| held.since),
                starts_at: kept.map_or(starts_at, |held| held.starts_at),
                generation,
                asked_at: now,
            };
            self.held.insert(organisation.clone(), held);
        }
        let Some(held) = self.held.get_mut(organisation) else {
            return Err(HOLD_OFF);
        };
        held.share.quota = quota;
        if now < held.starts_at {
            return Err(held.starts_at.saturating_sub(now));
        }
        Ok(held)
    }

    /// When a host that has been a holder since a time begins to grant. A daemon that has just
    /// started waits only until the tokens of its earlier incarnation have expired.
    fn starts_at(&self, since: Duration) -> Duration {
        if since <= self.members_known_at + STARTUP && self.back_in_touch_at.is_zero() {
            self.members_known_at + self.settings.lifetime()
        } else {
            since + HOLD_OFF
        }
    }

    /// Drops full buckets, which are the same when they are created again.
    fn sweep(&mut self, now: Duration) {
        if now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.held.retain(|_, held| {
            held.bucket.refill(now, held.share);
            now < held.asked_at + SWEEP_INTERVAL || !held.bucket.is_full(held.share)
        });
    }
}
