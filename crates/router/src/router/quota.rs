//! The hooks of the router for quotas of organisations.

use std::time::Duration;

use log::info;
use pollenrouter_core::id;
use pollenrouter_core::quota::view;
use pollenrouter_daemon::message as daemon;
use pollenrouter_platform::object::MemberState;

use super::Router;
use crate::calls::RoutedCall;
use crate::quota::{Action, Context, Quotas};

/// Interval between two log lines about refused calls of one organisation.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

impl Router {
    /// Starts a call, refuses it or lets it wait, depending on the quota of its organisation.
    pub(super) fn admit(&mut self, routed: RoutedCall) {
        self.with_quotas(|quotas, cx| quotas.admit(cx, routed));
    }

    /// Handles the disconnection of a caller; returns whether its call was waiting for a token.
    pub(super) fn remove_parked(&mut self, token: pollenrouter_core::entry::Token) -> bool {
        let table = self.fleet.table().map(AsRef::as_ref);
        let now = self.calls.now();
        self.quotas.remove(Context { now, table }, token)
    }

    /// Handles a message about quotas.
    pub(super) fn handle_quota_event(&mut self, event: daemon::Event) {
        match event {
            daemon::Event::AskReceived(host, ask) => {
                self.with_quotas(|quotas, cx| quotas.on_ask(cx, host, ask));
            }
            daemon::Event::GrantReceived(host, grant) => {
                self.with_quotas(|quotas, cx| quotas.on_grant(cx, host, grant));
            }
            daemon::Event::AskFailed(host, organisation, id) => {
                self.with_quotas(|quotas, cx| quotas.on_ask_failed(cx, host, organisation, id));
            }
            _ => {}
        }
    }

    /// Gives back the tokens of calls that did not run.
    pub(super) fn give_back_permits(&mut self) {
        for permit in self.calls.take_unused_permits() {
            self.with_quotas(|quotas, cx| quotas.give_back(cx, permit));
        }
    }

    /// Runs what has become due.
    pub(super) fn tick_quotas(&mut self) {
        self.with_quotas(Quotas::tick);
    }

    /// Tells the quotas which members are present, once they are known. A member counts from its
    /// object on, as for other daemons, also on its own host.
    pub(super) fn update_quota_members(&mut self) {
        if !self.fleet.knows_members() {
            return;
        }
        let members = self.fleet.members();
        let present = members.filter(|member| member.state != MemberState::Left);
        let hosts = present.map(|member| view::Host {
            name: member.host.clone(),
            failure_domain: member.failure_domain.clone(),
        });
        let hosts = hosts.collect();
        self.with_quotas(|quotas, cx| quotas.set_members(cx, hosts));
    }

    /// Updates the metrics of quotas, and logs refused calls.
    pub(super) fn report_quotas(&mut self) {
        let counts = self.quotas.take_counts();
        let sizes = self.quotas.sizes();
        self.calls.instruments().record_quotas(&counts, &sizes);
        let now = self.calls.now();
        if now < self.quotas_logged_at + LOG_INTERVAL {
            return;
        }
        self.quotas_logged_at = now;
        for ((organisation, refusal), calls) in self.quotas.take_refused() {
            info!(organisation:%, calls; "calls refused: {refusal}");
        }
    }

    fn with_quotas(&mut self, step: impl FnOnce(&mut Quotas, Context) -> Vec<Action>) {
        let table = self.fleet.table().map(AsRef::as_ref);
        let now = self.calls.now();
        let actions = step(&mut self.quotas, Context { now, table });
        for action in actions {
            self.apply_quota_action(action);
        }
    }

    fn apply_quota_action(&mut self, action: Action) {
        match action {
            Action::Start(routed) => self.calls.start_call(routed),
            Action::Refuse(routed, refusal, retry_after) => {
                self.calls.refuse(routed.call, refusal, Some(retry_after));
            }
            Action::Ask(host, ask) => {
                let (organisation, id) = (ask.organisation.clone(), ask.id);
                let from = self.host.clone();
                if !self.send_quota(&host, |peer| daemon::Command::Ask(peer, from, ask)) {
                    // The calls that wait are told at once, and other holders are asked.
                    self.with_quotas(|quotas, cx| quotas.on_ask_failed(cx, host, organisation, id));
                }
            }
            Action::Grant(host, grant) => {
                let from = self.host.clone();
                if !self.send_quota(&host, |peer| daemon::Command::Grant(peer, from, grant)) {
                    // The entry asks the next holder after a time-out; the tokens are lost.
                    info!(host:%; "could not send tokens: the channel is full or the host unknown");
                }
            }
            Action::LogUnreachable(host) => info!(host:%; "a holder of quotas does not reply"),
        }
    }

    /// Sends a message to another daemon; returns whether there was room for it.
    fn send_quota(
        &self,
        host: &id::HostName,
        command: impl FnOnce(daemon::Peer) -> daemon::Command,
    ) -> bool {
        let peer = self.fleet.peer(host);
        peer.is_some_and(|peer| self.daemon_commands.try_send(command(peer)).is_ok())
    }
}
