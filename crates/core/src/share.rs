//! Shares of a service's budget for measuring targets.
//!
//! A service's document states how many daemons share its budget. A daemon's
//! place is the number of members that registered before it. Its own view holds
//! all of them, because documents and members come into force only after a read
//! that is newer than its registration; a view that lags can only count members
//! that have left since, and so give too high a place, never too low a one.

use crate::id;

/// Place of a daemon in the order of registrations, from 0; `None` while its
/// own registration is not known to have taken effect.
#[must_use]
pub fn place(own: Option<id::Version>, others: impl Iterator<Item = id::Version>) -> Option<usize> {
    let own = own?;
    Some(others.filter(|version| *version < own).count())
}

/// Whether a daemon in a place may spend a share.
#[must_use]
pub fn may_spend(place: Option<usize>, shared_by: u32) -> bool {
    place.is_some_and(|place| u32::try_from(place).is_ok_and(|place| place < shared_by))
}
