//! The listener for callers, over connections whose bytes the tests write themselves.

mod bytes_cut;
mod closing;
mod held;
mod keys;
mod memory;
mod pipelining;
mod stale_tables;
mod support;
