//! Order of the versions that the platform assigns. A platform that comes back from a copy has
//! lost later changes and gives out their revisions again; it says so by a higher era. The era
//! is part of each version, in front of the revision, so that no comparison can leave it out.

use crate::id::Version;

const REVISION_BITS: u32 = 44;
/// Highest era that a version can hold.
pub const ERA_MAX: u64 = u64::MAX >> REVISION_BITS;

/// The version of a revision given out in an era; eras beyond [`ERA_MAX`] count as that one.
#[must_use]
pub fn in_era(era: u64, revision: u64) -> Version {
    let revision_max = (1 << REVISION_BITS) - 1;
    era.min(ERA_MAX) << REVISION_BITS | revision.min(revision_max)
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
