//! The sockets that a daemon listens on.

use std::net::{TcpListener, UdpSocket};

use log::info;
use pollenrouter_operator::settings;
use pollenrouter_platform::object::Member;

use crate::error::Error;

/// The sockets that a daemon listens on.
pub struct Sockets {
    /// For public callers.
    pub public: TcpListener,
    /// For calls between services.
    pub internal: Option<TcpListener>,
    /// For the target on this host.
    pub target: TcpListener,
    /// For operators.
    pub operator: TcpListener,
    /// Second one for operators, for metrics.
    pub metrics: Option<TcpListener>,
    /// For other daemons.
    pub daemons: UdpSocket,
}

/// Binds the sockets.
pub fn bind(listen: &settings::ListenAddresses) -> Result<Sockets, Error> {
    let tcp =
        |name, address| TcpListener::bind(address).map_err(|err| Error::Listen(name, address, err));
    Ok(Sockets {
        public: tcp("public", listen.public)?,
        internal: listen
            .internal
            .map(|address| tcp("internal", address))
            .transpose()?,
        target: tcp("target", listen.target)?,
        operator: tcp("operator", listen.operator)?,
        metrics: listen
            .metrics
            .map(|address| tcp("metrics", address))
            .transpose()?,
        daemons: UdpSocket::bind(listen.daemons)
            .map_err(|err| Error::Listen("daemons", listen.daemons, err))?,
    })
}

/// Logs the addresses that the sockets are bound to.
pub fn log(own: &Member, sockets: &Sockets) -> Result<(), Error> {
    let internal = match &sockets.internal {
        Some(listener) => listener.local_addr()?.to_string(),
        None => String::new(),
    };
    info!(
        host:% = own.host,
        incarnation:% = format!("{:x}", own.incarnation),
        public:% = sockets.public.local_addr()?,
        internal:%,
        announcements:% = sockets.target.local_addr()?,
        operator:% = sockets.operator.local_addr()?,
        daemons:% = own.address;
        "listening"
    );
    Ok(())
}
