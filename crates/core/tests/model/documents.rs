//! Model of document versions: the active version at each daemon never decreases despite
//! stale reads, gossip from daemons that are behind, restarts, and a rejected version.

use std::collections::BTreeSet;

use pathfinding::directed::bfs::bfs_reach;
use pollenrouter_core::documents::{Checked, Documents};
use pollenrouter_core::service::{Limits, ProbeBudget, Service};
use smol_str::SmolStr;

const DAEMONS: usize = 2;
const WRITES_MAX: u64 = 3;
const RESTARTS_MAX: u8 = 2;
/// Ordinal of the write whose document is rejected, from 1.
const REJECTED_WRITE: u64 = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Daemon {
    documents: Documents,
    registered_at: Option<u64>,
    /// Highest version that was ever active at this daemon, across restarts.
    max_active: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    revision: u64,
    /// Revisions at which the document was written.
    writes: Vec<u64>,
    gossiped: BTreeSet<u64>,
    daemons: Vec<Daemon>,
    restarts: u8,
    /// Whether the active version ever decreased at a daemon.
    has_reverted: bool,
    trust_stale_reads: bool,
}

fn name() -> SmolStr {
    "seats".into()
}

fn check(nth: u64) -> Checked {
    if nth == REJECTED_WRITE {
        return Err(vec!["rejected".to_owned()]);
    }
    Ok(Service {
        name: name(),
        internal_callers: Vec::new(),
        routes: Vec::new(),
        limits: Limits {
            queue: 0,
            depth_levels: 0,
            short_reserved: 0,
            request_bytes: 0,
            answer_bytes: 0,
            retry_percent: 0,
            ..Limits::default()
        },
        probe_budget: ProbeBudget {
            probes_per_minute: 0,
            targets_max: 1,
        },
        cold_start: None,
    })
}

fn start(trust_stale_reads: bool) -> World {
    let daemon = Daemon {
        documents: Documents::default(),
        registered_at: None,
        max_active: 0,
    };
    World {
        revision: 0,
        writes: Vec::new(),
        gossiped: BTreeSet::new(),
        daemons: vec![daemon; DAEMONS],
        restarts: 0,
        has_reverted: false,
        trust_stale_reads,
    }
}

impl World {
    fn apply(&mut self, daemon: usize, version: u64) {
        let nth = self.writes.iter().position(|v| *v == version).unwrap_or(0) as u64 + 1;
        self.daemons[daemon]
            .documents
            .apply(&name(), version, check(nth));
    }

    /// Checks the active version of a daemon and offers it to the others as gossip.
    fn publish_active(&mut self, daemon: usize) {
        let daemon = &mut self.daemons[daemon];
        let version = daemon.documents.get("seats").map(|(version, _)| *version);
        if let Some(version) = version {
            self.has_reverted |= version < daemon.max_active;
            daemon.max_active = daemon.max_active.max(version);
            self.gossiped.insert(version);
        }
    }

    /// Reads the platform as of a revision that may be stale.
    fn read(&mut self, daemon: usize, as_of: u64) {
        let read = self.writes.iter().copied().filter(|v| *v <= as_of).max();
        if let Some(version) = read {
            self.apply(daemon, version);
        }
        let revision = if self.trust_stale_reads {
            u64::MAX
        } else {
            as_of
        };
        self.daemons[daemon].documents.on_listed(revision);
        self.publish_active(daemon);
    }
}

fn successors(world: &World) -> Vec<World> {
    let mut successors = Vec::new();
    if (world.writes.len() as u64) < WRITES_MAX {
        let mut next = world.clone();
        next.revision += 1;
        next.writes.push(next.revision);
        successors.push(next);
    }
    for daemon in 0..DAEMONS {
        if world.daemons[daemon].registered_at.is_none() {
            let mut next = world.clone();
            next.revision += 1;
            next.daemons[daemon].registered_at = Some(next.revision);
            next.daemons[daemon].documents.on_registered(next.revision);
            successors.push(next);
        }
        for as_of in 0..=world.revision {
            let mut next = world.clone();
            next.read(daemon, as_of);
            successors.push(next);
        }
        for version in &world.gossiped {
            let mut next = world.clone();
            next.apply(daemon, *version);
            next.publish_active(daemon);
            successors.push(next);
        }
        if world.restarts < RESTARTS_MAX {
            let mut next = world.clone();
            next.restarts += 1;
            next.daemons[daemon].documents = Documents::default();
            next.daemons[daemon].registered_at = None;
            successors.push(next);
        }
    }
    successors
}

#[test]
fn the_active_version_never_decreases() {
    let mut states = 0;
    let mut newest = 0;
    for world in bfs_reach(start(false), successors) {
        states += 1;
        assert!(!world.has_reverted, "{world:#?}");
        newest = newest.max(world.daemons[0].max_active);
    }
    println!("documents: {states} states");
    assert!(
        newest > WRITES_MAX,
        "the newest version was never active at the first daemon"
    );
}

#[test]
fn trusting_a_stale_read_reverts_the_active_version() {
    assert!(bfs_reach(start(true), successors).any(|world| world.has_reverted));
}
