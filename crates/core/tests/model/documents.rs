//! Second model: the version of a document in force at each place, with stale
//! reads, gossip from places that lag, restarts, and a rejected version.

use std::collections::BTreeSet;

use pathfinding::directed::bfs::bfs_reach;
use pollenrouter_core::documents::{Documents, Verdict};
use pollenrouter_core::service::{Limits, Measuring, Service};
use smol_str::SmolStr;

const PLACES: usize = 2;
const WRITES_MAX: u64 = 3;
const RESTARTS_MAX: u8 = 2;
/// Documents written at these revisions are rejected.
const REJECTED_NTH: u64 = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Place {
    documents: Documents,
    registered_at: Option<u64>,
    /// The highest version that was ever in force here, through restarts.
    ever: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    revision: u64,
    /// Revisions at which the document was written.
    writes: Vec<u64>,
    gossiped: BTreeSet<u64>,
    places: Vec<Place>,
    restarts: u8,
    reverted: bool,
    trust_stale_reads: bool,
}

fn name() -> SmolStr {
    "seats".into()
}

fn verdict(nth: u64) -> Verdict {
    if nth == REJECTED_NTH {
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
        measuring: Measuring {
            probes_per_minute: 0,
            targets_max: 1,
        },
    })
}

fn start(trust_stale_reads: bool) -> World {
    let place = Place {
        documents: Documents::default(),
        registered_at: None,
        ever: 0,
    };
    World {
        revision: 0,
        writes: Vec::new(),
        gossiped: BTreeSet::new(),
        places: vec![place; PLACES],
        restarts: 0,
        reverted: false,
        trust_stale_reads,
    }
}

impl World {
    fn learn(&mut self, place: usize, version: u64) {
        let nth = self.writes.iter().position(|v| *v == version).unwrap_or(0) as u64 + 1;
        self.places[place]
            .documents
            .learn(&name(), version, verdict(nth));
    }

    fn note(&mut self, place: usize) {
        let place = &mut self.places[place];
        let version = place.documents.get("seats").map(|(version, _)| *version);
        if let Some(version) = version {
            self.reverted |= version < place.ever;
            place.ever = place.ever.max(version);
            self.gossiped.insert(version);
        }
    }

    /// Reads the platform as of a revision that may be old.
    fn read(&mut self, place: usize, as_of: u64) {
        let seen = self.writes.iter().copied().filter(|v| *v <= as_of).max();
        if let Some(version) = seen {
            self.learn(place, version);
        }
        let trusted = if self.trust_stale_reads {
            u64::MAX
        } else {
            as_of
        };
        self.places[place].documents.listed(trusted);
        self.note(place);
    }
}

fn next(world: &World) -> Vec<World> {
    let mut all = Vec::new();
    if (world.writes.len() as u64) < WRITES_MAX {
        let mut next = world.clone();
        next.revision += 1;
        next.writes.push(next.revision);
        all.push(next);
    }
    for place in 0..PLACES {
        if world.places[place].registered_at.is_none() {
            let mut next = world.clone();
            next.revision += 1;
            next.places[place].registered_at = Some(next.revision);
            next.places[place].documents.registered(next.revision);
            all.push(next);
        }
        for as_of in 0..=world.revision {
            let mut next = world.clone();
            next.read(place, as_of);
            all.push(next);
        }
        for version in &world.gossiped {
            let mut next = world.clone();
            next.learn(place, *version);
            next.note(place);
            all.push(next);
        }
        if world.restarts < RESTARTS_MAX {
            let mut next = world.clone();
            next.restarts += 1;
            next.places[place].documents = Documents::default();
            next.places[place].registered_at = None;
            all.push(next);
        }
    }
    all
}

#[test]
fn a_version_never_goes_back() {
    let mut states = 0;
    let mut newest = 0;
    for world in bfs_reach(start(false), next) {
        states += 1;
        assert!(!world.reverted, "{world:#?}");
        newest = newest.max(world.places[0].ever);
    }
    println!("documents: {states} states");
    assert!(
        newest > WRITES_MAX,
        "no place has the newest version in force"
    );
}

#[test]
fn a_stale_read_that_is_trusted_takes_a_version_back() {
    assert!(bfs_reach(start(true), next).any(|world| world.reverted));
}
