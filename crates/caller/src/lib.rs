//! Listener for callers: HTTP requests in, whole answers out.
