//! Order of the versions that the platform assigns. A platform that comes back from a copy has
//! lost later changes and gives out their revisions again; it says so by a higher era. The era
//! is part of each version, in front of the revision, so that no comparison can leave it out.

use crate::id::Version;

const REVISION_BITS: u32 = 44;
/// Number of eras that versions can tell apart. Eras rise by one but may begin at any number, such
/// as a time, so that their lowest digits order all but one in a million of them.
const ERAS: u64 = 1 << (u64::BITS - REVISION_BITS);

/// The era of versions, for the era that the platform states.
#[must_use]
pub fn from_stated_era(stated: u64) -> u64 {
    stated % ERAS
}

/// The version of a revision given out in an era, which is one of [`from_stated_era`].
#[must_use]
pub fn in_era(era: u64, revision: u64) -> Version {
    let revision_max = (1 << REVISION_BITS) - 1;
    from_stated_era(era) << REVISION_BITS | revision.min(revision_max)
}

/// The era in which a version was given out.
#[must_use]
pub fn era(version: Version) -> u64 {
    version >> REVISION_BITS
}

/// The platform's revision in a version.
#[must_use]
pub fn revision(version: Version) -> u64 {
    version & ((1 << REVISION_BITS) - 1)
}
