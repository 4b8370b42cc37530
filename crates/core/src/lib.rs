//! Decision state machines of pollenrouter.
//!
//! Every machine maps `(state, input, now)` to outputs. There are no threads,
//! sockets, clocks or random sources here: time is a [`std::time::Duration`]
//! since an origin that the embedder picks, and random draws arrive as inputs.
//! The daemon, the scripted scenarios and the model checker drive the same
//! functions.

pub mod bucket;
pub mod call;
pub mod catchup;
pub mod choice;
pub mod documents;
pub mod entry;
pub mod gate;
pub mod gates;
pub mod hint;
pub mod http_message;
pub mod id;
pub mod membership;
pub mod pause;
pub mod queue;
pub mod records;
pub mod replica;
pub mod ring;
pub mod service;
pub mod service_times;
pub mod share;
pub mod table;
pub mod tables;
