//! The entry's side of quotas: admits calls with tokens that it asks the holders for.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::demand::{Asked, Closed, Demand};
use super::view::{self, Host, View};
use super::{Ask, Grant, HOLD_OFF, Permit, Settings};
use crate::call::Refusal;
use crate::entry::Token;
use crate::id;
use crate::organisation::Quota;

/// Time after which a holder that has not replied counts as unreachable. Many times the round
/// trip between failure domains (up to 7 ms), and short enough to ask all holders.
pub const REPLY_WAIT: Duration = Duration::from_millis(150);
/// Time for which an unreachable holder is not asked; doubled each time up to the maximum.
const UNREACHED_WAIT: Duration = Duration::from_secs(1);
/// Members that do not reply are reported as gone after 30 s.
const UNREACHED_WAIT_MAX: Duration = Duration::from_secs(8);
/// Retry delay of a call for which no holder could be asked.
const UNKNOWN_RETRY: Duration = Duration::from_millis(500);
/// Shortest time between two looks at the same demand.
const LOOK_INTERVAL: Duration = Duration::from_millis(1);

/// Input of the allowances of one entry.
#[derive(Clone, Debug)]
pub enum Input {
    /// A call of an organisation with a quota.
    Call(Token, id::OrganisationName, Quota),
    /// A holder replied.
    Granted(id::HostName, Grant),
    /// A request for tokens, with this number, did not reach the holder.
    Unreached(id::HostName, id::OrganisationName, u64),
    /// A call that was admitted with this token did not run and never will.
    NotRun(Permit),
    /// The caller of a call that waits disconnected.
    CallerGone(Token, id::OrganisationName),
    /// The present members.
    Members(Vec<Host>),
    /// Time has passed.
    Tick,
}

/// Action that the embedder has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Start the call; with the token to give back if it does not run, if it has one.
    Admit(Token, Option<Permit>),
    /// Refuse the call; with the retry delay.
    Refuse(Token, Refusal, Duration),
    /// Send a request to a holder, which may be this host.
    Ask(id::HostName, Ask),
    /// Log that a holder cannot be reached.
    Unreachable(id::HostName),
}

/// Holder that did not reply.
#[derive(Clone, Copy, Debug)]
struct Unreached {
    until: Duration,
    wait: Duration,
}

/// State of the allowances of one entry.
#[derive(Clone, Debug)]
pub struct Allowances {
    host: id::HostName,
    settings: Settings,
    view: View,
    demands: BTreeMap<id::OrganisationName, Demand>,
    /// When each demand needs attention next; entries that no longer apply do no harm.
    due: BTreeSet<(Duration, id::OrganisationName)>,
    unreached: BTreeMap<id::HostName, Unreached>,
    latest_ask: u64,
}

impl Allowances {
    /// Allowances of an entry that knows no members yet. Requests are numbered from half of the
    /// random number `seed` on, so that replies to an earlier incarnation are recognised.
    #[must_use]
    pub fn new(host: id::HostName, seed: u64, settings: Settings) -> Self {
        Self {
            host,
            settings,
            view: View::default(),
            demands: BTreeMap::new(),
            due: BTreeSet::new(),
            unreached: BTreeMap::new(),
            latest_ask: seed / 2,
        }
    }

    /// Processes one input and returns the actions to carry out, in order. A call for which
    /// there is no output yet waits.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Call(token, organisation, quota) => {
                let lifetime = self.settings.lifetime();
                let demand = self.demands.entry(organisation.clone()).or_default();
                demand.record_call(now, lifetime, token);
                demand.quota = Some(quota);
                self.serve(now, &organisation, &mut out);
            }
            Input::Granted(holder, grant) => self.granted(now, &holder, grant, &mut out),
            Input::Unreached(holder, organisation, id) => {
                let demand = self.demands.get_mut(&organisation);
                if demand.is_some_and(|demand| demand.take_asked(id).is_some()) {
                    self.unreachable(now, holder, &mut out);
                    self.serve(now, &organisation, &mut out);
                }
            }
            Input::NotRun(permit) => {
                let organisation = permit.organisation.clone();
                let demand = self.demands.entry(organisation.clone()).or_default();
                demand.add(now, permit, 1);
                self.serve(now, &organisation, &mut out);
            }
            Input::CallerGone(token, organisation) => {
                if let Some(demand) = self.demands.get_mut(&organisation) {
                    demand.waiting.retain(|waiting| *waiting != token);
                }
            }
            Input::Members(hosts) => {
                self.view.replace(now, hosts);
            }
            Input::Tick => self.tick(now, &mut out),
        }
        out
    }

    /// Number of organisations with state.
    #[must_use]
    pub fn organisations(&self) -> usize {
        self.demands.len()
    }

    /// Number of calls that wait for a reply.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.demands.values().map(|d| d.waiting.len()).sum()
    }

    fn granted(
        &mut self,
        now: Duration,
        holder: &id::HostName,
        grant: Grant,
        out: &mut Vec<Output>,
    ) {
        self.unreached.remove(holder);
        let organisation = grant.organisation;
        let demand = self.demands.entry(organisation.clone()).or_default();
        let Some(asked) = demand.take_asked(grant.id) else {
            // Too late; when the request was sent is no longer known.
            demand.return_tokens(holder.clone(), grant.stamp, grant.granted);
            self.serve(now, &organisation, out);
            return;
        };
        let permit = Permit {
            organisation: organisation.clone(),
            holder: holder.clone(),
            stamp: grant.stamp,
            expires_at: asked.sent_at + self.settings.lifetime(),
        };
        demand.add(now, permit, grant.granted);
        let waiting = u32::try_from(demand.waiting.len()).unwrap_or(u32::MAX);
        if !grant.is_holder {
            demand.close(holder.clone(), now + grant.next_in, Closed::NotHolder);
        } else if grant.granted < waiting {
            demand.close_empty(now, holder, grant.next_in);
        } else {
            demand.record_full_grant();
        }
        self.serve(now, &organisation, out);
    }

    fn unreachable(&mut self, now: Duration, holder: id::HostName, out: &mut Vec<Output>) {
        let known = self.unreached.get(&holder);
        let wait = known.map_or(UNREACHED_WAIT, |unreached| {
            (unreached.wait * 2).min(UNREACHED_WAIT_MAX)
        });
        let until = now + wait;
        self.unreached
            .insert(holder.clone(), Unreached { until, wait });
        out.push(Output::Unreachable(holder));
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        while let Some((at, organisation)) = self.due.pop_first() {
            if at > now {
                self.due.insert((at, organisation));
                break;
            }
            let Some(demand) = self.demands.get_mut(&organisation) else {
                continue;
            };
            demand.due_at = None;
            let is_overdue = |asked: &Asked| asked.sent_at + REPLY_WAIT <= now;
            let overdue = demand.asked.take_if(|asked| is_overdue(asked));
            if let Some(asked) = overdue {
                self.unreachable(now, asked.holder, out);
            }
            self.serve(now, &organisation, out);
        }
    }

    /// Admits calls as long as there are tokens, and otherwise asks a holder, uses the floor or
    /// refuses the calls that wait.
    fn serve(&mut self, now: Duration, organisation: &id::OrganisationName, out: &mut Vec<Output>) {
        let Some(demand) = self.demands.get_mut(organisation) else {
            return;
        };
        demand.expire(now);
        while !demand.waiting.is_empty()
            && let Some(permit) = demand.take(now, organisation)
        {
            out.extend(
                demand
                    .waiting
                    .pop_front()
                    .map(|t| Output::Admit(t, Some(permit))),
            );
        }
        if !demand.waiting.is_empty() && demand.asked.is_none() {
            self.ask_or_refuse(now, organisation, out);
        }
        self.finish(now, organisation, out);
    }

    fn ask_or_refuse(
        &mut self,
        now: Duration,
        organisation: &id::OrganisationName,
        out: &mut Vec<Output>,
    ) {
        let Some(demand) = self.demands.get_mut(organisation) else {
            return;
        };
        if demand.generation != Some(self.view.generation()) {
            let mut holders = self.view.holders(organisation, self.settings.holders());
            // Entries begin with different holders, so that all are asked.
            let own = view::hash(organisation) ^ view::hash(&self.host).rotate_left(1);
            holders.sort_by_key(|holder| view::mix(own ^ view::hash(holder)));
            demand.set_holders(holders, self.view.generation());
        }
        let is_reachable = |holder: &id::HostName| {
            let unreached = self.unreached.get(holder);
            unreached.is_none_or(|unreached| unreached.until <= now)
        };
        let mut holders = demand.holders.iter();
        let holder = holders.find(|holder| is_reachable(holder) && !demand.is_closed(now, holder));
        if let Some(holder) = holder.cloned() {
            self.latest_ask += 1;
            let (needed, wanted) = demand.tokens_wanted(now, self.settings.lifetime());
            demand.asked = Some(Asked {
                id: self.latest_ask,
                holder: holder.clone(),
                sent_at: now,
            });
            let ask = Ask {
                id: self.latest_ask,
                organisation: organisation.clone(),
                needed,
                wanted,
                returned: demand.take_returns(&holder),
            };
            out.push(Output::Ask(holder, ask));
        } else if let Some(next_token_at) = demand.next_token_at(now) {
            let window = self.settings.window;
            for token in std::mem::take(&mut demand.waiting) {
                let retry_after = demand.next_return(now, next_token_at, window);
                out.push(Output::Refuse(token, Refusal::QuotaUsed, retry_after));
            }
        } else {
            self.use_floor(now, organisation, out);
        }
    }

    /// Admits one call in a window without a token, if this host may.
    fn use_floor(
        &mut self,
        now: Duration,
        organisation: &id::OrganisationName,
        out: &mut Vec<Output>,
    ) {
        let Some(demand) = self.demands.get_mut(organisation) else {
            return;
        };
        let (window, hosts) = (self.settings.window, self.settings.floor_hosts());
        let is_due = demand.floor_used_at.is_none_or(|at| now > at + window);
        // An earlier incarnation of this host, or another host that had this rank, may have used
        // the floor just before.
        let since = self.view.ranked_since(organisation, hosts, &self.host);
        if is_due
            && since.is_some_and(|since| now > since + HOLD_OFF + window)
            && let Some(token) = demand.waiting.pop_front()
        {
            demand.floor_used_at = Some(now);
            out.push(Output::Admit(token, None));
        }
        for token in std::mem::take(&mut demand.waiting) {
            out.push(Output::Refuse(token, Refusal::QuotaUnknown, UNKNOWN_RETRY));
        }
    }

    /// Sends tokens back that are not used, and notes when the demand is due next.
    fn finish(
        &mut self,
        now: Duration,
        organisation: &id::OrganisationName,
        out: &mut Vec<Output>,
    ) {
        let Some(demand) = self.demands.get_mut(organisation) else {
            return;
        };
        for (holder, returned) in demand.take_all_returns() {
            let ask = Ask {
                id: 0,
                organisation: organisation.clone(),
                needed: 0,
                wanted: 0,
                returned,
            };
            out.push(Output::Ask(holder, ask));
        }
        let (lifetime, window) = (self.settings.lifetime(), self.settings.window);
        if demand.is_idle(now, lifetime, window) {
            self.demands.remove(organisation);
            return;
        }
        let idle_at = demand.idle_at(lifetime, window);
        let due = demand.next_due(REPLY_WAIT).unwrap_or(idle_at);
        let due = due.max(now + LOOK_INTERVAL);
        if demand.due_at != Some(due) {
            if let Some(at) = demand.due_at.replace(due) {
                self.due.remove(&(at, organisation.clone()));
            }
            self.due.insert((due, organisation.clone()));
        }
    }
}
