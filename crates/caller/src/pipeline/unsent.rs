//! Memory for responses that a caller has not taken yet.

use pollenrouter_core::memory::Class;
use pollenrouter_http::memory::{Memory, Share};

/// While no more bytes are unsent, they take no share of the memory: each connection is accounted
/// for with this much.
pub const SMALL_BYTES: usize = 4 << 10;

/// The share that copied responses take beyond [`SMALL_BYTES`].
#[derive(Debug, Default)]
pub struct Unsent {
    share: Option<Share>,
    is_blocked: bool,
}

impl Unsent {
    /// Whether there is no room for another response, so that no further request may begin.
    pub fn is_blocked(&self) -> bool {
        self.is_blocked
    }

    /// Counts `held` bytes of buffers and takes room for one more small response. The bytes are
    /// counted even if there is no room; others can tell that memory is short by the share that
    /// waits.
    pub fn reserve(&mut self, held: usize, memory: &Memory) {
        if held <= SMALL_BYTES {
            if self.share.is_some() {
                *self = Self::default();
            }
            return;
        }
        let share = self
            .share
            .get_or_insert_with(|| memory.share(Class::Answer));
        let total = (held + SMALL_BYTES) as u64;
        share.grow_unconditionally(held as u64);
        if share.bytes() < total {
            self.is_blocked = !share.try_grow(total);
            return;
        }
        share.shrink(total);
        if std::mem::take(&mut self.is_blocked) {
            share.stop_waiting();
        }
    }
}
