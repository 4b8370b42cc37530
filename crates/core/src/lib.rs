//! Deterministic state machines of pollenrouter.
//!
//! Each state machine maps `(state, input, now)` to outputs. This crate uses no
//! threads, sockets, clocks or random number generators: time is a
//! [`std::time::Duration`] since an origin chosen by the embedder, and random numbers
//! are passed in as inputs. The daemon, the scripted scenarios and the model checker
//! run the same code.

pub mod active_table;
pub mod bucket;
pub mod call;
pub mod delta;
pub mod documents;
pub mod entry;
pub mod evacuations;
pub mod fingerprint;
pub mod gate;
pub mod gates;
pub mod hint;
pub mod http_message;
pub mod id;
pub mod membership;
pub mod memory;
pub mod organisation;
pub mod pause;
pub mod probe_share;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod rate;
pub mod records;
pub mod replica;
pub mod ring;
pub mod selection;
pub mod service;
pub mod service_times;
pub mod shedding;
pub mod startup_sync;
pub mod table;
pub mod version;
pub mod watching;
