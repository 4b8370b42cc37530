//! What an entry knows of gates: who they are, their load, and which of them
//! can not be reached at present.

use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use crate::choice;
use crate::entry::Member;
use crate::hint;
use crate::id;

/// First pause before a gate that could not be reached is probed.
pub const PROBE_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between two probes of such a gate.
pub const PROBE_PAUSE_MAX: Duration = Duration::from_secs(16);

/// Gates of other failure domains that an entry uses at a time, for each service.
const FAVORITES: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gate {
    member: Member,
    load: choice::Load,
    suspicion: Option<Suspicion>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Suspicion {
    probe_at: Duration,
    pause: Duration,
}

impl Gate {
    /// Whether a call may be expected to start in time. A gate in another failure
    /// domain is of use only while it has room: its own callers need the rest.
    fn may_take(&self, now: Duration, patience: Duration, failure_domain: &str) -> bool {
        if patience == Duration::MAX || self.member.failure_domain == failure_domain {
            return self.load.wait(now) <= patience;
        }
        self.load.wait(now).is_zero() && self.load.expected(now) <= patience
    }
}

/// Which gate is looked for.
#[derive(Clone, Copy, Debug)]
pub struct Search<'a> {
    /// Its service.
    pub service: &'a str,
    /// The entry's failure domain.
    pub failure_domain: &'a str,
    /// Whether only gates of that failure domain count, where it has any.
    pub near_only: bool,
    /// Gates that are left out.
    pub tried: &'a [id::HostName],
    /// A gate at which a call is expected to wait for longer is left out.
    pub patience: Duration,
    /// Random draw.
    pub draw: u64,
    /// What the choice of gates in other failure domains depends on; the same for all
    /// calls of an entry.
    pub seed: u64,
}

/// Leaves out most gates of other failure domains: a connection to each of them would
/// cost more than the calls that go there.
fn keep_favorites(open: &mut Vec<&Gate>, search: &Search) {
    let is_far = |gate: &Gate| gate.member.failure_domain != search.failure_domain;
    open.sort_by_key(|gate| is_far(gate).then(|| favor(search.seed, &gate.member.host)));
    let near = open.iter().filter(|gate| !is_far(gate)).count();
    open.truncate(near + FAVORITES);
}

/// How much an entry favors a gate over others of other failure domains: spreads
/// entries evenly, and changes little as gates come and go.
fn favor(seed: u64, host: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (seed, host).hash(&mut hasher);
    hasher.finish()
}

/// All gates that an entry knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Gates(BTreeMap<id::HostName, Gate>);

impl Gates {
    /// Known gates with their loads.
    pub fn iter(&self) -> impl Iterator<Item = (&Member, &choice::Load)> {
        self.0.values().map(|gate| (&gate.member, &gate.load))
    }

    /// Replaces the gates; what is known of an incarnation that stays is kept.
    pub fn set(&mut self, members: Vec<Member>) {
        let mut old = std::mem::take(&mut self.0);
        for member in members {
            let gate = match old.remove(&member.host) {
                Some(gate) if gate.member.incarnation == member.incarnation => {
                    Gate { member, ..gate }
                }
                _ => Gate {
                    member,
                    load: choice::Load::default(),
                    suspicion: None,
                },
            };
            self.0.insert(gate.member.host.clone(), gate);
        }
    }

    /// Number of gates, over all services.
    #[must_use]
    pub fn len(&self) -> u32 {
        u32::try_from(self.0.len()).unwrap_or(u32::MAX)
    }

    /// Whether no gate is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Picks a gate of a service that serves; one that can not be reached only if
    /// there is no other.
    #[must_use]
    pub fn pick(&self, now: Duration, search: &Search) -> Option<&Member> {
        let failure_domain = search.failure_domain;
        let serves = |gate: &&Gate| gate.member.service == search.service && gate.member.serving;
        let is_near = |gate: &Gate| gate.member.failure_domain == failure_domain;
        let has_near = self.0.values().filter(serves).any(is_near);
        let open = |gate: &&Gate| {
            !search.tried.contains(&gate.member.host)
                && (!search.near_only || !has_near || is_near(gate))
                && !gate.load.is_closed(now)
        };
        let mut all: Vec<&Gate> = self.0.values().filter(serves).filter(open).collect();
        if has_near {
            keep_favorites(&mut all, search);
        }
        all.retain(|gate| gate.may_take(now, search.patience, failure_domain));
        let trusted: Vec<&Gate> = all
            .iter()
            .copied()
            .filter(|g| g.suspicion.is_none())
            .collect();
        let among = if trusted.is_empty() { all } else { trusted };
        let options: Vec<choice::Choice> = among
            .iter()
            .map(|gate| choice::Choice {
                load: gate.load,
                is_near: gate.member.failure_domain == failure_domain,
            })
            .collect();
        choice::pick(&options, search.draw, now).map(|at| &among[at].member)
    }

    /// A gate that was picked before, while it still serves.
    #[must_use]
    pub fn serving(&self, now: Duration, host: &str) -> Option<&Member> {
        let gate = self.0.get(host)?;
        (gate.member.serving && !gate.load.is_closed(now)).then_some(&gate.member)
    }

    /// A call was offered to a gate.
    pub fn offered(&mut self, host: &id::HostName) {
        if let Some(gate) = self.0.get_mut(host) {
            gate.load.outstanding += 1;
            gate.load.offered_since += 1;
        }
    }

    /// A call at a gate has ended or was given up.
    pub fn closed(&mut self, host: &id::HostName) {
        if let Some(gate) = self.0.get_mut(host) {
            gate.load.outstanding = gate.load.outstanding.saturating_sub(1);
        }
    }

    /// A gate replied.
    pub fn note(&mut self, now: Duration, host: &id::HostName, hint: hint::Hint) {
        if let Some(gate) = self.0.get_mut(host) {
            gate.load.report = Some((hint, now));
            gate.load.offered_since = 0;
            gate.member.serving &= !hint.leaving;
            gate.suspicion = None;
        }
    }

    /// A probe reached a gate.
    pub fn trust(&mut self, host: &id::HostName) {
        if let Some(gate) = self.0.get_mut(host) {
            gate.suspicion = None;
        }
    }

    /// A gate could not be reached.
    pub fn suspect(&mut self, now: Duration, host: &id::HostName) {
        if let Some(gate) = self.0.get_mut(host) {
            gate.suspicion.get_or_insert(Suspicion {
                probe_at: now + PROBE_PAUSE,
                pause: PROBE_PAUSE,
            });
        }
    }

    /// Gates that are due for a probe; the next one comes later.
    pub fn due(&mut self, now: Duration) -> Vec<id::HostName> {
        let mut due = Vec::new();
        for gate in self.0.values_mut() {
            let Some(suspicion) = gate.suspicion.as_mut().filter(|s| s.probe_at <= now) else {
                continue;
            };
            suspicion.pause = (suspicion.pause * 2).min(PROBE_PAUSE_MAX);
            suspicion.probe_at = now + suspicion.pause;
            due.push(gate.member.host.clone());
        }
        due
    }
}
