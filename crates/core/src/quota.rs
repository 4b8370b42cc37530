//! Fleet-wide quotas: limits on the calls of one organisation over all daemons.
//!
//! A few hosts, the holders, each grant a share of an organisation's quota as tokens
//! ([`holder`]). The entries admit calls with tokens that they ask holders for
//! ([`allowance`]). `docs/design/quotas.md` gives the reasons.

pub mod allowance;
mod bucket;
mod demand;
pub mod holder;
pub mod view;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;

/// Largest number of holders of one organisation.
pub const HOLDERS_MAX: usize = 4;
/// Time for which a new holder grants nothing. It covers the spread of a membership change
/// (a few round trips of gossip) and the lifetime of tokens that an earlier holder granted.
pub const HOLD_OFF: Duration = Duration::from_millis(1500);
/// Longest lifetime of a token at an entry. It has to end well within [`HOLD_OFF`].
const LIFETIME_MAX: Duration = Duration::from_millis(500);
/// Tokens by which the depth of a holder's bucket exceeds its share of the burst, as far as the
/// slack allows. Each holder may be left with a fraction of a token, and a bucket that is full
/// while others are empty loses tokens. In trials with 59 hosts and loads exactly at the limit
/// (20 runs of 600 s each), up to 1 % of the calls were refused with 1, and none with 2.
const EXTRA_DEPTH_MAX: u32 = 2;

/// How strictly quotas are kept. All daemons need the same values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Interval that the bound on the calls of an organisation refers to.
    pub window: Duration,
    /// Part of `rate x window + burst` by which the calls in one window may exceed it.
    pub overshoot: f64,
    /// Calls in one window beyond that.
    pub slack: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overshoot: 0.1,
            slack: 20,
        }
    }
}

impl Settings {
    /// Time from the sending of a request for tokens to the expiry of the tokens. A window
    /// contains no calls with tokens that were granted earlier than this before it, so that
    /// the bucket's refill in this time is the overshoot.
    #[must_use]
    pub fn lifetime(&self) -> Duration {
        self.window.mul_f64(self.overshoot).min(LIFETIME_MAX)
    }

    /// Number of holders of an organisation in a fleet with enough hosts.
    #[must_use]
    pub fn holders(&self) -> usize {
        usize::try_from(self.slack)
            .unwrap_or(HOLDERS_MAX)
            .clamp(1, HOLDERS_MAX)
    }

    /// Tokens by which the depth of a holder's bucket exceeds its share of the burst.
    #[must_use]
    pub fn extra_depth(&self) -> u32 {
        let holders = u32::try_from(self.holders()).unwrap_or(1);
        (self.slack / holders).min(EXTRA_DEPTH_MAX)
    }

    /// Number of hosts that may admit one call a window without a token: what the depths of the
    /// buckets leave of the slack.
    #[must_use]
    pub fn floor_hosts(&self) -> usize {
        let slack = usize::try_from(self.slack).unwrap_or(usize::MAX);
        let extra = usize::try_from(self.extra_depth()).unwrap_or(usize::MAX);
        slack.saturating_sub(extra.saturating_mul(self.holders()))
    }
}

/// Tokens of one grant that an entry returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Returned {
    /// Stamp of the grant.
    pub stamp: u64,
    /// Number of tokens.
    pub count: u32,
}

/// Request of an entry to a holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ask {
    /// Number that the grant repeats.
    pub id: u64,
    /// The organisation.
    pub organisation: id::OrganisationName,
    /// Tokens for calls that wait.
    pub needed: u32,
    /// Tokens that the entry expects to use within their lifetime, at least `needed`; 0 if it
    /// only returns tokens and expects no grant.
    pub wanted: u32,
    /// Unused tokens of earlier grants.
    pub returned: Vec<Returned>,
}

/// Reply of a holder to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the request.
    pub id: u64,
    /// The organisation.
    pub organisation: id::OrganisationName,
    /// Tokens granted.
    pub granted: u32,
    /// Identifies the grant when tokens are returned.
    pub stamp: u64,
    /// Time until the holder has the next token.
    pub next_in: Duration,
    /// Whether the sender is a holder; if not, it grants nothing.
    pub is_holder: bool,
}

/// Token with which a call was admitted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    /// The organisation.
    pub organisation: id::OrganisationName,
    /// Holder that granted the token.
    pub holder: id::HostName,
    /// Stamp of the grant.
    pub stamp: u64,
    /// When the token expires.
    pub expires_at: Duration,
}
