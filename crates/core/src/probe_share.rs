//! Shares of a service's probe budget.
//!
//! The service document states how many daemons share the budget. Daemons are ordered by
//! registration, and the first ones hold a share each. A daemon's position is the number of
//! members that registered before it. Its own view contains all of them, because documents
//! and members take effect only after a read that is newer than its registration. A stale
//! view can only count members that have left since, so the position may be too high
//! but never too low.

use crate::id;

/// Position of a daemon in the order of registrations, from 0; `None` until its own
/// registration is known to have taken effect.
#[must_use]
pub fn position(
    own: Option<id::Version>,
    others: impl Iterator<Item = id::Version>,
) -> Option<usize> {
    let own = own?;
    Some(others.filter(|version| *version < own).count())
}

/// Whether the daemon at a position holds a share.
#[must_use]
pub fn has_share(position: Option<usize>, shared_by: u32) -> bool {
    position
        .is_some_and(|position| u32::try_from(position).is_ok_and(|position| position < shared_by))
}
