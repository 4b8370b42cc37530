//! Opens connections to other daemons and sends messages over them.
//!
//! Connections share one socket. After a connection to a daemon went silent, the
//! next one to it has a socket of its own, so that it does not share the address
//! pair that a device between the two hosts may have lost.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use pollenrouter_core::entry::Sent;
use pollenrouter_core::{call, id};
use quick_error::quick_error;
use serde::Serialize;
use tokio::sync::Mutex;
use tokio::{task, time};

use crate::frame::{self, Ask, FrameError, ReplyHead, Tell};
use crate::message::{Answer, Command, Event, Peer, Replied, Request};
use crate::peer;
use crate::tls;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection with an open call is checked this often.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Checks without a datagram after which a connection counts as silent.
const SILENT_CHECKS: u32 = 2;
const CLOSED_SILENT: u32 = 1;

quick_error! {
    /// A connection could not be opened.
    #[derive(Debug)]
    pub enum ConnectError {
        /// No socket.
        Socket(err: std::io::Error) {
            from()
            source(err)
            display("could not open a socket: {err}")
        }
        /// The address or the settings do not fit.
        Connect(err: quinn::ConnectError) {
            from()
            source(err)
            display("could not start a connection: {err}")
        }
        /// The handshake failed.
        Handshake(err: quinn::ConnectionError) {
            from()
            source(err)
            display("could not authenticate: {err}")
        }
        /// The other end did not say which incarnation it is.
        Greeting(err: FrameError) {
            from()
            source(err)
            display("could not read the greeting: {err}")
        }
        /// The handshake took too long.
        Timeout(address: net::SocketAddr) {
            display("no reply from {address} within {} ms", CONNECT_TIMEOUT.as_millis())
        }
    }
}

/// A connection whose other end has said which incarnation it is.
#[derive(Clone)]
struct Greeted {
    connection: quinn::Connection,
    incarnation: id::Incarnation,
}

#[derive(Default)]
struct Link {
    connection: Option<Greeted>,
    failed_at: Option<time::Instant>,
    /// Whether the latest connection went silent.
    was_silent: bool,
}

type Slot = Rc<Mutex<Link>>;

/// Connections to other daemons, at most one for each.
#[derive(Clone)]
pub struct Client {
    config: quinn::ClientConfig,
    local: net::IpAddr,
    shared: quinn::Endpoint,
    slots: Rc<RefCell<HashMap<Peer, Slot>>>,
    sink: peer::Sink,
}

impl Client {
    /// A client without connections; sockets are bound to `local`.
    ///
    /// # Errors
    /// No socket can be had.
    pub fn new(
        config: quinn::ClientConfig,
        local: net::IpAddr,
        sink: peer::Sink,
    ) -> io::Result<Self> {
        Ok(Self {
            config,
            local,
            shared: open(local)?,
            slots: Rc::default(),
            sink,
        })
    }

    /// Starts work on a command.
    pub fn run(&self, command: Command) {
        let client = self.clone();
        task::spawn_local(async move {
            match command {
                Command::Offer(peer, offer, request) => client.offer(peer, offer, request).await,
                Command::Query(peer, query) => client.query(peer, query).await,
                Command::Withdraw(peer, query) => {
                    let _ = client.tell(&peer, &Tell::Withdraw(query)).await;
                }
                Command::Probe(peer) => {
                    if client.tell(&peer, &Tell::Probe).await.is_ok() {
                        (client.sink)(Event::Reachable(peer.host));
                    }
                }
                Command::Copy(peer, gossip) => {
                    let objects = gossip.objects.clone();
                    if client.tell(&peer, &Tell::Gossip(gossip)).await.is_ok() {
                        (client.sink)(Event::Copied(peer.host, objects));
                    }
                }
                Command::Gossip(peer, gossip) => {
                    if client.tell(&peer, &Tell::Gossip(gossip)).await.is_err() {
                        (client.sink)(Event::Unreachable(peer.host));
                    }
                }
            }
        });
    }

    async fn offer(&self, peer: Peer, offer: call::Offer, request: Request) {
        let id = offer.id;
        let reached = self
            .connection(&peer)
            .await
            .map(|greeted| greeted.incarnation);
        if reached.is_ok_and(|incarnation| incarnation != offer.incarnation) {
            (self.sink)(Event::Lost(peer.host, id, Sent::Nothing));
            return;
        }
        let ask = Ask::Offer {
            offer,
            head: request.head,
            body_bytes: request.body.len() as u64,
        };
        self.ask(peer, id, &ask, &request.body).await;
    }

    async fn query(&self, peer: Peer, query: call::Query) {
        let ask = Ask::Query(query);
        self.ask(peer, query.id, &ask, &Bytes::new()).await;
    }

    async fn ask(&self, peer: Peer, id: id::CallId, ask: &Ask, body: &Bytes) {
        let event = match self.exchange(&peer, ask, body).await {
            Ok(replied) => Event::Replied(peer.host, id, replied),
            Err(sent) => Event::Lost(peer.host, id, sent),
        };
        // The entry's deadline covers an event that a full ring turned away.
        (self.sink)(event);
    }

    async fn exchange(&self, peer: &Peer, ask: &Ask, body: &Bytes) -> Result<Replied, Sent> {
        let greeted = self.connection(peer).await.map_err(|err| {
            log::debug!(host:% = peer.host; "could not connect: {err}");
            Sent::Nothing
        })?;
        let connection = greeted.connection;
        let (mut tx, mut rx) = connection.open_bi().await.map_err(|_| Sent::Nothing)?;
        let exchange = async {
            frame::write(&mut tx, ask, body).await?;
            read_reply(&mut rx).await
        };
        tokio::select! {
            replied = exchange => replied.map_err(|err| {
                log::debug!(host:% = peer.host; "no whole reply: {err}");
                Sent::Maybe
            }),
            () = silence(&connection) => {
                self.drop_silent(peer, &connection).await;
                Err(Sent::Maybe)
            }
        }
    }

    async fn tell(&self, peer: &Peer, tell: &impl Serialize) -> Result<(), ()> {
        let connection = self.connection(peer).await.map_err(drop)?.connection;
        let mut tx = connection.open_uni().await.map_err(drop)?;
        frame::write(&mut tx, tell, &Bytes::new())
            .await
            .map_err(drop)?;
        tokio::select! {
            stopped = tx.stopped() => stopped.map(drop).map_err(drop),
            () = silence(&connection) => {
                self.drop_silent(peer, &connection).await;
                Err(())
            }
        }
    }

    async fn drop_silent(&self, peer: &Peer, connection: &quinn::Connection) {
        log::warn!(host:% = peer.host; "connection is silent, closing it");
        connection.close(CLOSED_SILENT.into(), b"silent");
        let slot = self.slot(peer);
        let mut held = slot.lock().await;
        let same = |c: &Greeted| c.connection.stable_id() == connection.stable_id();
        if held.connection.as_ref().is_some_and(same) {
            held.connection = None;
            held.was_silent = true;
        }
    }

    fn slot(&self, peer: &Peer) -> Slot {
        self.slots
            .borrow_mut()
            .entry(peer.clone())
            .or_default()
            .clone()
    }

    async fn connection(&self, peer: &Peer) -> Result<Greeted, ConnectError> {
        let asked_at = time::Instant::now();
        let slot = self.slot(peer);
        let mut link = slot.lock().await;
        let open = |c: &&Greeted| c.connection.close_reason().is_none();
        if let Some(connection) = link.connection.as_ref().filter(open) {
            return Ok(connection.clone());
        }
        // Whoever waited for an attempt that failed shares its failure.
        if link.failed_at.is_some_and(|at| at >= asked_at) {
            return Err(ConnectError::Timeout(peer.address));
        }
        let connected = self.connect(peer.address, link.was_silent).await;
        link.failed_at = connected.is_err().then(time::Instant::now);
        link.connection = connected.as_ref().ok().cloned();
        connected
    }

    async fn connect(
        &self,
        address: net::SocketAddr,
        own_socket: bool,
    ) -> Result<Greeted, ConnectError> {
        let endpoint = if own_socket {
            open(self.local)?
        } else {
            self.shared.clone()
        };
        let config = self.config.clone();
        let connecting = endpoint.connect_with(config, address, tls::SERVER_NAME)?;
        time::timeout(CONNECT_TIMEOUT, greeted(connecting))
            .await
            .map_err(|_| ConnectError::Timeout(address))?
    }
}

fn open(local: net::IpAddr) -> io::Result<quinn::Endpoint> {
    quinn::Endpoint::client((local, 0).into())
}

async fn greeted(connecting: quinn::Connecting) -> Result<Greeted, ConnectError> {
    let connection = connecting.await?;
    let mut rx = connection.accept_uni().await?;
    let incarnation = frame::read_head(&mut rx).await?;
    Ok(Greeted {
        connection,
        incarnation,
    })
}

async fn read_reply(rx: &mut quinn::RecvStream) -> Result<Replied, FrameError> {
    let head: ReplyHead = frame::read_head(rx).await?;
    let body = frame::read_body(rx, head.body_bytes).await?;
    Ok(Replied {
        reply: head.reply,
        hint: head.hint,
        answer: head.head.map(|head| Answer { head, body }),
    })
}

/// Returns once nothing was received for [`SILENT_CHECKS`] checks, although
/// a datagram was sent that has to be acknowledged.
async fn silence(connection: &quinn::Connection) {
    let mut silent = 0;
    let mut received = connection.stats().udp_rx.datagrams;
    while silent < SILENT_CHECKS {
        time::sleep(CHECK_INTERVAL).await;
        let now = connection.stats().udp_rx.datagrams;
        silent = if now == received { silent + 1 } else { 0 };
        received = now;
        // Fails only on a closed connection, which receives nothing either.
        let _ = connection.send_datagram(Bytes::from_static(b"?"));
    }
}
