//! Client of the target on the same host.
