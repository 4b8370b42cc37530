//! What an entry knows about gates: their identity, their load, and which of them
//! cannot be reached at present.

use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use crate::entry::Member;
use crate::hint;
use crate::id;
use crate::selection;

/// Time until the first probe of a gate that could not be reached; it doubles with each
/// probe.
pub const PROBE_INTERVAL_MIN: Duration = Duration::from_millis(250);
/// Longest time between two probes of such a gate.
pub const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(16);

/// Gates of other failure domains that an entry uses for each service.
const REMOTE_GATES_MAX: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gate {
    member: Member,
    load: selection::Load,
    /// Set while the gate cannot be reached.
    probing: Option<Probing>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Probing {
    next_probe_at: Duration,
    interval: Duration,
}

impl Gate {
    /// Whether a call is expected to start within `max_wait`. A gate in another failure
    /// domain is used only while it has a free slot, so that it does not delay calls from
    /// its own failure domain.
    fn can_start_in_time(&self, now: Duration, max_wait: Duration, is_near: bool) -> bool {
        if max_wait == Duration::MAX || is_near {
            return self.load.expected_wait(now) <= max_wait;
        }
        self.load.expected_wait(now).is_zero() && self.load.expected_latency(now) <= max_wait
    }
}

/// Criteria by which a gate is picked.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Service of the gate.
    pub service: &'a str,
    /// Failure domain of the entry.
    pub failure_domain: &'a str,
    /// Whether to consider only gates of that failure domain, if it has any.
    pub local_only: bool,
    /// Gates to leave out.
    pub tried: &'a [id::HostName],
    /// Gates with a longer expected wait are left out; `Duration::MAX` means no limit.
    pub max_wait: Duration,
    /// Random number that decides between gates.
    pub draw: u64,
    /// Seed for the choice of gates in other failure domains; the same for all calls of an
    /// entry.
    pub seed: u64,
}

/// Limits the gates of other failure domains: connections to all of them would cost more
/// than the few calls that go there.
fn limit_remote_gates(gates: &mut Vec<&Gate>, criteria: &Criteria) {
    let is_remote = |gate: &Gate| gate.member.failure_domain != criteria.failure_domain;
    gates.sort_by_key(|gate| {
        is_remote(gate).then(|| rendezvous_hash(criteria.seed, &gate.member.host))
    });
    let local = gates.iter().filter(|gate| !is_remote(gate)).count();
    gates.truncate(local + REMOTE_GATES_MAX);
}

/// Rank of a gate of another failure domain, lowest first: distributes entries evenly over
/// gates and changes little as gates are added and removed.
fn rendezvous_hash(seed: u64, host: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (seed, host).hash(&mut hasher);
    hasher.finish()
}

/// All gates that an entry knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Gates {
    by_host: BTreeMap<id::HostName, Gate>,
    /// Failure domains in which a gate has refused a call because they are evacuated, with the
    /// time until which their gates are left out.
    refusing_domains: BTreeMap<id::DomainName, Duration>,
}

impl Gates {
    /// Known gates with their loads.
    pub fn iter(&self) -> impl Iterator<Item = (&Member, &selection::Load)> {
        self.by_host.values().map(|gate| (&gate.member, &gate.load))
    }

    /// Replaces the gates. Load and reachability are kept for unchanged incarnations.
    pub fn replace(&mut self, members: Vec<Member>) {
        let mut old = std::mem::take(&mut self.by_host);
        for member in members {
            let gate = match old.remove(&member.host) {
                Some(gate) if gate.member.incarnation == member.incarnation => {
                    Gate { member, ..gate }
                }
                _ => Gate {
                    member,
                    load: selection::Load::default(),
                    probing: None,
                },
            };
            self.by_host.insert(gate.member.host.clone(), gate);
        }
    }

    /// Number of gates, over all services.
    #[must_use]
    pub fn len(&self) -> u32 {
        u32::try_from(self.by_host.len()).unwrap_or(u32::MAX)
    }

    /// Whether no gate is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }

    /// Picks a serving gate; an unreachable one only if there is no other.
    #[must_use]
    pub fn pick(&self, now: Duration, criteria: &Criteria) -> Option<&Member> {
        let failure_domain = criteria.failure_domain;
        let is_serving = |gate: &&Gate| {
            let member = &gate.member;
            member.service == criteria.service && member.serving && !self.is_evacuated(now, member)
        };
        let is_local = |gate: &Gate| gate.member.failure_domain == failure_domain;
        let has_local = self.by_host.values().filter(is_serving).any(is_local);
        let is_eligible = |gate: &&Gate| {
            !criteria.tried.contains(&gate.member.host)
                && (!criteria.local_only || !has_local || is_local(gate))
                && !gate.load.is_closed(now)
        };
        let mut eligible: Vec<&Gate> = self
            .by_host
            .values()
            .filter(is_serving)
            .filter(is_eligible)
            .collect();
        if has_local {
            limit_remote_gates(&mut eligible, criteria);
        }
        // All gates that are left are equally near to an evacuated failure domain.
        let mut local = self.by_host.values().filter(|gate| is_local(gate));
        let all_near = local.any(|gate| self.is_evacuated(now, &gate.member));
        eligible.retain(|gate| {
            let is_near = all_near || is_local(gate);
            gate.can_start_in_time(now, criteria.max_wait, is_near)
        });
        let reachable: Vec<&Gate> = eligible
            .iter()
            .copied()
            .filter(|g| g.probing.is_none())
            .collect();
        let usable = if reachable.is_empty() {
            eligible
        } else {
            reachable
        };
        let candidates: Vec<selection::Candidate> = usable
            .iter()
            .map(|gate| selection::Candidate {
                load: gate.load,
                is_local: gate.member.failure_domain == failure_domain,
            })
            .collect();
        selection::pick(&candidates, criteria.draw, now).map(|at| &usable[at].member)
    }

    /// The gate of a host, if it is serving and accepts calls.
    #[must_use]
    pub fn serving(&self, now: Duration, host: &str) -> Option<&Member> {
        let gate = self.by_host.get(host)?;
        let is_serving = gate.member.serving && !self.is_evacuated(now, &gate.member);
        (is_serving && !gate.load.is_closed(now)).then_some(&gate.member)
    }

    fn is_evacuated(&self, now: Duration, member: &Member) -> bool {
        let refusing_until = self.refusing_domains.get(&member.failure_domain);
        member.evacuated || refusing_until.is_some_and(|until| now <= *until)
    }

    /// Records that a gate refused a call because its failure domain is evacuated. The entry may
    /// hear of the evacuation, or of its end, a little later than the gate.
    pub fn record_evacuated(&mut self, now: Duration, host: &id::HostName) {
        let Some(gate) = self.by_host.get(host) else {
            return;
        };
        self.refusing_domains.retain(|_, until| now <= *until);
        let domain = gate.member.failure_domain.clone();
        self.refusing_domains
            .insert(domain, now + selection::CLOSED_TTL);
    }

    /// Records that a call was offered to a gate.
    pub fn call_offered(&mut self, host: &id::HostName) {
        if let Some(gate) = self.by_host.get_mut(host) {
            gate.load.outstanding += 1;
            gate.load.offered_since += 1;
        }
    }

    /// Records that a call at a gate ended or was abandoned.
    pub fn call_ended(&mut self, host: &id::HostName) {
        if let Some(gate) = self.by_host.get_mut(host) {
            gate.load.outstanding = gate.load.outstanding.saturating_sub(1);
        }
    }

    /// Records the load that came with a reply.
    pub fn record_hint(&mut self, now: Duration, host: &id::HostName, hint: hint::Hint) {
        if let Some(gate) = self.by_host.get_mut(host) {
            gate.load.report = Some((hint, now));
            gate.load.offered_since = 0;
            gate.member.serving &= !hint.leaving;
            gate.probing = None;
        }
    }

    /// Records that a probe reached a gate.
    pub fn mark_reachable(&mut self, host: &id::HostName) {
        if let Some(gate) = self.by_host.get_mut(host) {
            gate.probing = None;
        }
    }

    /// Records that a gate could not be reached, and schedules a probe.
    pub fn mark_unreachable(&mut self, now: Duration, host: &id::HostName) {
        if let Some(gate) = self.by_host.get_mut(host) {
            gate.probing.get_or_insert(Probing {
                next_probe_at: now + PROBE_INTERVAL_MIN,
                interval: PROBE_INTERVAL_MIN,
            });
        }
    }

    /// Gates to probe now; schedules their next probes.
    pub fn due_probes(&mut self, now: Duration) -> Vec<id::HostName> {
        let mut due = Vec::new();
        for gate in self.by_host.values_mut() {
            let Some(probing) = gate.probing.as_mut().filter(|s| s.next_probe_at <= now) else {
                continue;
            };
            probing.interval = (probing.interval * 2).min(PROBE_INTERVAL_MAX);
            probing.next_probe_at = now + probing.interval;
            due.push(gate.member.host.clone());
        }
        due
    }
}
