//! Memory for the bytes that are read ahead of the requests.

use pollenrouter_core::memory::Class;
use pollenrouter_http::memory::{Memory, Share};

use super::READ_BYTES;

/// While no more bytes are read ahead, they take no share of the memory: each connection is
/// accounted for with this much.
const SMALL_BYTES: usize = 4 << 10;

/// The share that the bytes read ahead take beyond [`SMALL_BYTES`].
#[derive(Debug, Default)]
pub struct ReadAhead {
    share: Option<Share>,
    is_blocked: bool,
}

impl ReadAhead {
    /// Whether the next read waits for memory.
    pub fn is_blocked(&self) -> bool {
        self.is_blocked
    }

    /// Takes memory for the next read behind `len` bytes, or gives back what is not used.
    pub fn reserve(&mut self, len: usize, memory: &Memory) {
        let needed = len + READ_BYTES;
        if needed <= SMALL_BYTES {
            if self.share.is_some() {
                *self = Self::default();
            }
            return;
        }
        let total = needed.next_power_of_two() as u64;
        let share = self
            .share
            .get_or_insert_with(|| memory.share(Class::Request));
        self.is_blocked = !share.try_grow(total);
    }
}
