//! Untrusted clients, targets and daemons neither end a daemon nor make it take more memory or
//! descriptors than its host has.
//!
//! Each test checks that the daemons live, that their peak memory and open descriptors stay under
//! the bound, and that an ordinary request is answered afterwards.

#[path = "../support/mod.rs"]
mod support;

mod answers;
mod bodies;
mod connections;
mod crowd;
mod peers;
mod site;
