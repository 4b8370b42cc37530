//! The active version of each service document at one daemon.
//!
//! The active version never decreases. A daemon stores nothing on disk, so it cannot know
//! which version was active on its host before a restart, and a read of the platform may
//! be stale. No version becomes active before a read whose revision is at least that of
//! the daemon's own registration, which is a conditional write and cannot be stale.
//! Versions received earlier are kept pending.

use std::collections::BTreeMap;

use crate::id;
use crate::service;

/// Result of checking a document: the service or what is wrong. Depends on its text alone.
pub type Checked = Result<service::Service, Vec<String>>;

/// Effect of applying a version of a document.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// A version became active.
    Activated {
        /// Version of the replaced document; 0 for none.
        from: id::Version,
        /// Version that is active now.
        to: id::Version,
        /// The document.
        service: service::Service,
    },
    /// A version was rejected; the previous one stays active.
    Rejected {
        /// Name of the document's service.
        name: id::ServiceName,
        /// The rejected version.
        version: id::Version,
        /// Problems found in the document.
        findings: Vec<String>,
    },
}

/// Active and rejected documents of one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Documents {
    registered_at: Option<id::Version>,
    is_confirmed: bool,
    active: BTreeMap<id::ServiceName, (id::Version, service::Service)>,
    rejected: BTreeMap<id::ServiceName, (id::Version, Vec<String>)>,
    /// Versions received before a fresh read of the platform.
    pending: BTreeMap<(id::ServiceName, id::Version), Checked>,
}

impl Documents {
    /// Applies one version of one document, unless it is stale; before a fresh read of the
    /// platform the version is kept pending.
    pub fn apply(
        &mut self,
        name: &id::ServiceName,
        version: id::Version,
        checked: Checked,
    ) -> Option<Change> {
        if !self.is_confirmed {
            self.pending.insert((name.clone(), version), checked);
            return None;
        }
        match checked {
            Ok(service) => self.activate(name, version, service),
            Err(findings) => self.reject(name, version, findings),
        }
    }

    /// Records the version of this daemon's first registration; later ones are ignored.
    pub fn on_registered(&mut self, version: id::Version) {
        self.registered_at.get_or_insert(version);
    }

    /// Records that the platform was read in full as of `revision` and that all its
    /// documents were applied. If the read is fresh, applies the pending versions.
    pub fn on_listed(&mut self, revision: id::Version) -> Vec<Change> {
        let is_fresh = self
            .registered_at
            .is_some_and(|version| version <= revision);
        if !is_fresh {
            return Vec::new();
        }
        self.is_confirmed = true;
        std::mem::take(&mut self.pending)
            .into_iter()
            .filter_map(|((name, version), checked)| self.apply(&name, version, checked))
            .collect()
    }

    /// Whether the platform was read after this daemon's registration, so that documents
    /// can become active.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// The active document of a service, with its version.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&(id::Version, service::Service)> {
        self.active.get(name)
    }

    /// All active documents, with their versions.
    pub fn active(&self) -> impl Iterator<Item = &(id::Version, service::Service)> {
        self.active.values()
    }

    /// Rejected versions that are newer than the active ones, with the problems found.
    pub fn rejected(
        &self,
    ) -> impl Iterator<Item = (&id::ServiceName, &(id::Version, Vec<String>))> {
        self.rejected
            .iter()
            .filter(|(name, (version, _))| self.active_version(name) < *version)
    }

    /// Services of which only rejected versions are known, so that nothing is known of their routes.
    pub fn unusable(&self) -> impl Iterator<Item = &id::ServiceName> {
        let names = self.rejected.keys();
        names.filter(|name| !self.active.contains_key(*name))
    }

    fn active_version(&self, name: &str) -> id::Version {
        self.active.get(name).map_or(0, |(version, _)| *version)
    }

    fn activate(
        &mut self,
        name: &id::ServiceName,
        version: id::Version,
        service: service::Service,
    ) -> Option<Change> {
        let from = self.active_version(name);
        if version <= from {
            return None;
        }
        self.active.insert(name.clone(), (version, service.clone()));
        Some(Change::Activated {
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
        let is_known = self.rejected.get(name).is_some_and(|(v, _)| *v >= version);
        if is_known || version <= self.active_version(name) {
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
