//! Large values reach all hosts whole and once, whatever happens to the parts and the hosts.

mod bounds;
mod network;
mod parts;
mod random;
mod sources;
