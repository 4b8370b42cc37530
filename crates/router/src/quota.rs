//! Quotas of organisations: runs the allowances of the entry and the holder of this daemon, and
//! holds the calls that wait for tokens.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use pollenrouter_core::call::Refusal;
use pollenrouter_core::quota::allowance::{self, Allowances};
use pollenrouter_core::quota::holder::{self, Holder};
use pollenrouter_core::quota::{Ask, Grant, Permit, Settings, view};
use pollenrouter_core::{entry, id, organisation, table};

use crate::calls::RoutedCall;

/// Action for the router.
pub enum Action {
    /// Start a call.
    Start(RoutedCall),
    /// Refuse a call; with the retry delay.
    Refuse(RoutedCall, Refusal, Duration),
    /// Send a request for tokens to another daemon.
    Ask(id::HostName, Ask),
    /// Reply to a request of another daemon.
    Grant(id::HostName, Grant),
    /// Log that a holder does not reply.
    LogUnreachable(id::HostName),
}

/// Call that waits for a token.
struct Parked {
    call: RoutedCall,
    parked_at: Duration,
}

/// Counts since the previous report.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Calls admitted with a token.
    pub admitted: u64,
    /// Calls admitted without a token, because no holder could be asked.
    pub floor: u64,
    /// Calls refused because the quota was used up.
    pub used_up: u64,
    /// Calls refused because no holder could be asked.
    pub unknown: u64,
    /// Tokens that did not serve a call that ran.
    pub given_back: u64,
    /// Requests for tokens sent to other daemons.
    pub asks: u64,
    /// Replies sent to other daemons.
    pub grants: u64,
    /// Tokens granted, also to the entry of this daemon.
    pub granted: u64,
}

/// Numbers of objects that the quotas need now.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Organisations with calls at this entry.
    pub demands: usize,
    /// Organisations with a bucket at this holder.
    pub buckets: usize,
    /// Calls that wait for a token.
    pub waiting: usize,
}

/// Time, and the routing table in force.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// Time by the clock of the calls.
    pub now: Duration,
    /// The table.
    pub table: Option<&'a table::Table>,
}

/// State of the quotas of one daemon. Without quotas in the table there is none.
pub struct Quotas {
    host: id::HostName,
    settings: Settings,
    machines: Option<(Allowances, Holder)>,
    parked: HashMap<entry::Token, Parked>,
    counts: Counts,
    /// Refused calls, by organisation and reason, since the previous log line.
    refused: BTreeMap<(id::OrganisationName, Refusal), u64>,
}

impl Context<'_> {
    /// The quota of an organisation by the table, if it has one.
    pub fn quota(&self, organisation: &str) -> Option<organisation::Quota> {
        self.table?.organisations.as_ref()?.get(organisation)?.quota
    }

    /// Whether any organisation has a quota.
    fn has_quotas(&self) -> bool {
        let organisations = self.table.and_then(|table| table.organisations.as_ref());
        organisations.is_some_and(|o| o.iter().any(|(_, o)| o.quota.is_some()))
    }
}

impl Quotas {
    /// The state of a daemon that has just started.
    pub fn new(host: id::HostName, settings: Settings) -> Self {
        Self {
            host,
            settings,
            machines: None,
            parked: HashMap::new(),
            counts: Counts::default(),
            refused: BTreeMap::new(),
        }
    }

    /// Whether no call waits.
    pub fn is_idle(&self) -> bool {
        self.parked.is_empty()
    }

    /// Handles a call: it is started, refused or waits.
    pub fn admit(&mut self, cx: Context, routed: RoutedCall) -> Vec<Action> {
        let organisation = match &routed.call.organisation {
            Some(name) if !routed.call.route.policy.is_open => name.clone(),
            _ => return vec![Action::Start(routed)],
        };
        let Some(quota) = cx.quota(&organisation) else {
            return vec![Action::Start(routed)];
        };
        let token = routed.call.token;
        let parked = Parked {
            call: routed,
            parked_at: cx.now,
        };
        self.parked.insert(token, parked);
        self.run(cx, allowance::Input::Call(token, organisation, quota))
    }

    /// Handles the disconnection of a caller; returns whether its call was waiting.
    pub fn remove(&mut self, cx: Context, token: entry::Token) -> bool {
        let Some(parked) = self.parked.remove(&token) else {
            return false;
        };
        if let Some(name) = parked.call.call.organisation {
            // Nothing results from it: the call only leaves the queue.
            self.run(cx, allowance::Input::CallerGone(token, name));
        }
        true
    }

    /// Handles a request of another daemon.
    pub fn on_ask(&mut self, cx: Context, from: id::HostName, ask: Ask) -> Vec<Action> {
        let grants = self.hold(cx, from, ask);
        self.counts.grants += grants.len() as u64;
        let actions = grants.into_iter();
        actions
            .map(|(to, grant)| Action::Grant(to, grant))
            .collect()
    }

    /// Records that another daemon sent a message.
    pub fn on_heard(&mut self, now: Duration) {
        if let Some((_, holder)) = &mut self.machines {
            holder.step(now, holder::Input::Heard);
        }
    }

    /// Handles a reply of another daemon.
    pub fn on_grant(&mut self, cx: Context, holder: id::HostName, grant: Grant) -> Vec<Action> {
        self.run(cx, allowance::Input::Granted(holder, grant))
    }

    /// Handles the failure of a request.
    pub fn on_ask_failed(
        &mut self,
        cx: Context,
        holder: id::HostName,
        organisation: id::OrganisationName,
        id: u64,
    ) -> Vec<Action> {
        self.run(cx, allowance::Input::Unreached(holder, organisation, id))
    }

    /// Takes back the token of a call that did not run.
    pub fn give_back(&mut self, cx: Context, permit: Permit) -> Vec<Action> {
        self.counts.given_back += 1;
        self.run(cx, allowance::Input::NotRun(permit))
    }

    /// Sets the present members. Without quotas in the table, all state is dropped.
    pub fn set_members(&mut self, cx: Context, members: Vec<view::Host>) -> Vec<Action> {
        if !cx.has_quotas() {
            self.machines = None;
            let parked: Vec<Parked> = self.parked.drain().map(|(_, parked)| parked).collect();
            let started = parked
                .into_iter()
                .map(|p| Action::Start(p.resume(cx.now, None)));
            return started.collect();
        }
        let (host, settings) = (&self.host, self.settings);
        let (allowances, holder) = self.machines.get_or_insert_with(|| {
            (
                Allowances::new(host.clone(), rand::random(), settings),
                Holder::new(host.clone(), rand::random(), settings),
            )
        });
        holder.step(cx.now, holder::Input::Members(members.clone()));
        let outputs = allowances.step(cx.now, allowance::Input::Members(members));
        self.apply(cx, outputs)
    }

    /// Runs what has become due.
    pub fn tick(&mut self, cx: Context) -> Vec<Action> {
        if let Some((_, holder)) = &mut self.machines {
            holder.step(cx.now, holder::Input::Tick);
        }
        self.run(cx, allowance::Input::Tick)
    }

    /// Returns the counts since the previous call.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Returns the refused calls, by organisation and reason, since the previous call.
    pub fn take_refused(&mut self) -> BTreeMap<(id::OrganisationName, Refusal), u64> {
        std::mem::take(&mut self.refused)
    }

    /// Numbers of objects needed now.
    pub fn sizes(&self) -> Sizes {
        let machines = self.machines.as_ref();
        Sizes {
            demands: machines.map_or(0, |(allowances, _)| allowances.organisations()),
            buckets: machines.map_or(0, |(_, holder)| holder.organisations()),
            waiting: self.parked.len(),
        }
    }

    fn run(&mut self, cx: Context, input: allowance::Input) -> Vec<Action> {
        let Some((allowances, _)) = &mut self.machines else {
            return self.without_machines(cx, &input);
        };
        let outputs = allowances.step(cx.now, input);
        self.apply(cx, outputs)
    }

    /// Before the members are known, no call with a quota is admitted.
    fn without_machines(&mut self, cx: Context, input: &allowance::Input) -> Vec<Action> {
        let allowance::Input::Call(token, ..) = *input else {
            return Vec::new();
        };
        let retry_after = pollenrouter_core::quota::HOLD_OFF;
        let refused = self.refuse(cx, token, Refusal::QuotaUnknown, retry_after);
        refused.into_iter().collect()
    }

    /// Carries out outputs of the allowances; requests to this host's holder at once.
    fn apply(&mut self, cx: Context, outputs: Vec<allowance::Output>) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut outputs = VecDeque::from(outputs);
        while let Some(output) = outputs.pop_front() {
            match output {
                allowance::Output::Admit(token, permit) => {
                    let count = if permit.is_some() {
                        &mut self.counts.admitted
                    } else {
                        &mut self.counts.floor
                    };
                    *count += 1;
                    let parked = self.parked.remove(&token);
                    actions.extend(parked.map(|p| Action::Start(p.resume(cx.now, permit))));
                }
                allowance::Output::Refuse(token, refusal, retry_after) => {
                    actions.extend(self.refuse(cx, token, refusal, retry_after));
                }
                allowance::Output::Ask(holder, ask) if holder == self.host => {
                    for (_, grant) in self.hold(cx, holder, ask) {
                        let input = allowance::Input::Granted(self.host.clone(), grant);
                        if let Some((allowances, _)) = &mut self.machines {
                            outputs.extend(allowances.step(cx.now, input));
                        }
                    }
                }
                allowance::Output::Ask(holder, ask) => {
                    self.counts.asks += 1;
                    actions.push(Action::Ask(holder, ask));
                }
                allowance::Output::Unreachable(holder) => {
                    actions.push(Action::LogUnreachable(holder));
                }
            }
        }
        actions
    }

    fn refuse(
        &mut self,
        cx: Context,
        token: entry::Token,
        refusal: Refusal,
        retry_after: Duration,
    ) -> Option<Action> {
        let call = self.parked.remove(&token)?.resume(cx.now, None);
        match refusal {
            Refusal::QuotaUsed => self.counts.used_up += 1,
            _ => self.counts.unknown += 1,
        }
        let name = call.call.organisation.clone().unwrap_or_default();
        *self.refused.entry((name, refusal)).or_default() += 1;
        Some(Action::Refuse(call, refusal, retry_after))
    }

    /// Replies of this host's holder to a request.
    fn hold(&mut self, cx: Context, from: id::HostName, ask: Ask) -> Vec<(id::HostName, Grant)> {
        let quota = cx.quota(&ask.organisation);
        let Some((_, holder)) = &mut self.machines else {
            return Vec::new();
        };
        let outputs = holder.step(cx.now, holder::Input::Ask(from, ask, quota));
        let grants = outputs
            .into_iter()
            .map(|holder::Output::Grant(to, grant)| (to, grant));
        let grants: Vec<_> = grants.collect();
        let granted = grants.iter().map(|(_, grant)| u64::from(grant.granted));
        self.counts.granted += granted.sum::<u64>();
        grants
    }
}

impl Parked {
    /// The call, which has less time left by the time that it waited.
    fn resume(mut self, now: Duration, permit: Option<Permit>) -> RoutedCall {
        self.call.call.waited += now.saturating_sub(self.parked_at);
        self.call.permit = permit;
        self.call
    }
}
