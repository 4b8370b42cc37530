//! Protocol between daemons: QUIC, one stream per call, mutual authentication.
