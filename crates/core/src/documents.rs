//! Which version of each service document is in force here.
//!
//! A version only goes up. A daemon without a disk can not know which version
//! its host had in force before a restart, and a read of the platform may be
//! stale. So nothing comes into force before a read whose revision is at least
//! that of the daemon's own registration: a conditional write, which can not be
//! stale. What is heard before that is held back.

use std::collections::BTreeMap;

use crate::id;
use crate::service;

/// Verdict on a document's text: a pure function of the text.
pub type Verdict = Result<service::Service, Vec<String>>;

/// What changed when a document was learned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// A version came into force.
    InForce {
        /// Version that it replaces; 0 for none.
        from: id::Version,
        /// Version now in force.
        to: id::Version,
        /// The document.
        service: service::Service,
    },
    /// A version was rejected; the one before stays in force.
    Rejected {
        /// The document's service.
        name: id::ServiceName,
        /// The rejected version.
        version: id::Version,
        /// What is wrong with it.
        findings: Vec<String>,
    },
}

/// Documents in force and rejected at one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Documents {
    registered_at: Option<id::Version>,
    confirmed: bool,
    in_force: BTreeMap<id::ServiceName, (id::Version, service::Service)>,
    rejected: BTreeMap<id::ServiceName, (id::Version, Vec<String>)>,
    held: BTreeMap<(id::ServiceName, id::Version), Verdict>,
}

impl Documents {
    /// Takes in one version of one document.
    pub fn learn(
        &mut self,
        name: &id::ServiceName,
        version: id::Version,
        verdict: Verdict,
    ) -> Option<Change> {
        if !self.confirmed {
            self.held.insert((name.clone(), version), verdict);
            return None;
        }
        match verdict {
            Ok(service) => self.put_in_force(name, version, service),
            Err(findings) => self.reject(name, version, findings),
        }
    }

    /// Tells the version of this daemon's first registration.
    pub fn registered(&mut self, version: id::Version) {
        self.registered_at.get_or_insert(version);
    }

    /// Tells that the platform was read in full as of a revision, and that all
    /// of it was learned; puts in force what was held, if the read is fresh.
    pub fn listed(&mut self, revision: id::Version) -> Vec<Change> {
        let is_fresh = self
            .registered_at
            .is_some_and(|version| version <= revision);
        if !is_fresh {
            return Vec::new();
        }
        self.confirmed = true;
        std::mem::take(&mut self.held)
            .into_iter()
            .filter_map(|((name, version), verdict)| self.learn(&name, version, verdict))
            .collect()
    }

    /// Whether documents can come into force.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// The document in force for a service, with its version.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&(id::Version, service::Service)> {
        self.in_force.get(name)
    }

    /// All documents in force.
    pub fn in_force(&self) -> impl Iterator<Item = &(id::Version, service::Service)> {
        self.in_force.values()
    }

    /// Rejected versions that are newer than what is in force.
    pub fn rejected(
        &self,
    ) -> impl Iterator<Item = (&id::ServiceName, &(id::Version, Vec<String>))> {
        self.rejected
            .iter()
            .filter(|(name, (version, _))| self.version(name) < *version)
    }

    fn version(&self, name: &str) -> id::Version {
        self.in_force.get(name).map_or(0, |(version, _)| *version)
    }

    fn put_in_force(
        &mut self,
        name: &id::ServiceName,
        version: id::Version,
        service: service::Service,
    ) -> Option<Change> {
        let from = self.version(name);
        if version <= from {
            return None;
        }
        self.in_force
            .insert(name.clone(), (version, service.clone()));
        Some(Change::InForce {
            from,
            to: version,
            service,
        })
    }

    fn reject(
        &mut self,
        name: &id::ServiceName,
        version: id::Version,
        findings: Vec<String>,
    ) -> Option<Change> {
        let known = self.rejected.get(name).is_some_and(|(v, _)| *v >= version);
        if known || version <= self.version(name) {
            return None;
        }
        self.rejected
            .insert(name.clone(), (version, findings.clone()));
        Some(Change::Rejected {
            name: name.clone(),
            version,
            findings,
        })
    }
}
