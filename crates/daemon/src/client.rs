//! Opens connections to other daemons and sends messages over them.
//!
//! Connections share one socket. If a connection to a daemon goes silent, the next
//! connection to that daemon uses a socket of its own: a firewall or NAT device between
//! the two hosts may have lost its state for the old address pair and drop its datagrams.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use pollenrouter_core::entry::Sent;
use pollenrouter_core::memory::Class;
use pollenrouter_core::{call, id, quota};
use pollenrouter_http::memory::Memory;
use tokio::sync::Mutex;
use tokio::{task, time};

use crate::connect_error::{CONNECT_TIMEOUT, ConnectError};
use crate::frame::{self, FrameError, NotificationHead, ReplyHead, RpcHead};
use crate::message::{Answer, Command, Event, Failure, GateReply, Peer, Request};
use crate::protocol;
use crate::tls;

/// Interval of the liveness checks on a connection with an open stream.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Consecutive checks without a received datagram after which a connection counts as
/// silent.
const SILENT_CHECKS_MAX: u32 = 2;
/// QUIC error code with which a silent connection is closed.
const SILENT_ERROR_CODE: u32 = 1;
/// QUIC error code with which a stream is reset whose message is not sent to its end.
const UNFINISHED_ERROR_CODE: u32 = 2;

/// An established connection, and the incarnation that the peer has reported on it.
#[derive(Clone)]
struct PeerConnection {
    connection: quinn::Connection,
    incarnation: id::Incarnation,
}

/// A stream for one message and its reply.
struct Stream {
    connection: PeerConnection,
    tx: quinn::SendStream,
    rx: quinn::RecvStream,
}

/// State of the connection to one peer.
#[derive(Default)]
struct PeerState {
    connection: Option<PeerConnection>,
    /// When the latest attempt to connect failed.
    failed_at: Option<time::Instant>,
    /// Whether a connection to this peer has been closed because it was silent.
    was_silent: bool,
}

type SharedPeerState = Rc<Mutex<PeerState>>;

/// Client with at most one connection to each other daemon.
#[derive(Clone)]
pub struct Client {
    config: quinn::ClientConfig,
    local_ip: net::IpAddr,
    shared_endpoint: quinn::Endpoint,
    peer_states: Rc<RefCell<HashMap<Peer, SharedPeerState>>>,
    memory: Memory,
    sink: protocol::Sink,
}

impl Client {
    /// Creates a client without connections. Its sockets are bound to `local_ip`.
    ///
    /// # Errors
    /// No socket can be opened.
    pub fn new(
        config: quinn::ClientConfig,
        local_ip: net::IpAddr,
        memory: Memory,
        sink: protocol::Sink,
    ) -> io::Result<Self> {
        Ok(Self {
            config,
            local_ip,
            shared_endpoint: open_endpoint(local_ip)?,
            peer_states: Rc::default(),
            memory,
            sink,
        })
    }

    /// Executes a command in a task of its own.
    pub fn execute(&self, command: Command) {
        let client = self.clone();
        task::spawn_local(async move {
            match command {
                Command::Offer(peer, offer, request) => {
                    client.send_offer(peer, offer, request).await;
                }
                Command::Query(peer, query) => client.send_query(peer, query).await,
                Command::Withdraw(peer, query) => {
                    let head = NotificationHead::Withdraw(query);
                    let _ = client.notify(&peer, &head).await;
                }
                Command::Heartbeat(peer, gossip) => {
                    // The next one follows soon.
                    let head = NotificationHead::Gossip(gossip);
                    let _ = client.notify(&peer, &head).await;
                }
                Command::Probe(peer) => {
                    if client.notify(&peer, &NotificationHead::Probe).await.is_ok() {
                        (client.sink)(Event::Reachable(peer.host));
                    }
                }
                Command::Ask(peer, from, ask) => client.send_ask(peer, from, ask).await,
                Command::Grant(peer, from, grant) => {
                    // The entry asks the next holder after a time-out.
                    let head = NotificationHead::Grant(from, grant);
                    let _ = client.notify(&peer, &head).await;
                }
                Command::Replicate(peer, gossip) => {
                    let objects = gossip.objects.clone();
                    if client
                        .notify(&peer, &NotificationHead::Gossip(gossip))
                        .await
                        .is_ok()
                    {
                        (client.sink)(Event::Replicated(peer.host, objects));
                    }
                }
                Command::Gossip(peer, gossip) => {
                    let head = NotificationHead::Gossip(gossip);
                    client.deliver(peer, &head, Event::Unreachable).await;
                }
                Command::Transfer(peer, transfer) => {
                    let head = NotificationHead::Transfer(transfer);
                    let failure = Event::TransferUndelivered;
                    client.deliver(peer, &head, failure).await;
                }
            }
        });
    }

    /// Sends a message without a reply, and reports a failure.
    async fn deliver(&self, peer: Peer, head: &NotificationHead, failure: Failure) {
        if self.notify(&peer, head).await.is_err() {
            (self.sink)(failure(peer.host));
        }
    }

    /// Sends an offer. Once its deadline has passed, an offer whose end has not been sent is not
    /// sent any more: the gate never has the whole of it.
    async fn send_offer(&self, peer: Peer, offer: call::Offer, request: Request) {
        let (id, incarnation, remaining) = (offer.id, offer.incarnation, offer.remaining);
        let began = time::Instant::now();
        let head = RpcHead::Offer {
            offer: Box::new(offer),
            head: request.head,
            body_bytes: request.body.len() as u64,
        };
        let mut opening = Box::pin(self.open_stream(&peer));
        let event = match time::timeout(remaining, &mut opening).await {
            Err(_) => {
                (self.sink)(Event::ConnectionLost(
                    peer.host.clone(),
                    id,
                    Sent::NotInTime,
                ));
                // The connection serves later offers.
                let _ = opening.await;
                return;
            }
            Ok(Ok(stream)) if stream.connection.incarnation == incarnation => {
                let limit = remaining.saturating_sub(began.elapsed());
                let replied = self.round_trip(&peer, stream, &head, &request.body, limit);
                reply_event(&peer, id, replied.await)
            }
            Ok(_) => Event::ConnectionLost(peer.host.clone(), id, Sent::Nothing),
        };
        // If the event queue is full, the event is dropped, and the entry gives up at the
        // call's deadline.
        (self.sink)(event);
    }

    async fn send_ask(&self, peer: Peer, from: id::HostName, ask: quota::Ask) {
        let (organisation, id) = (ask.organisation.clone(), ask.id);
        let sent = self.notify(&peer, &NotificationHead::Ask(from, ask)).await;
        if sent.is_err() {
            (self.sink)(Event::AskFailed(peer.host, organisation, id));
        }
    }

    async fn send_query(&self, peer: Peer, query: call::Query) {
        let head = RpcHead::Query(query);
        let replied = match self.open_stream(&peer).await {
            Ok(stream) => {
                let body = Bytes::new();
                self.round_trip(&peer, stream, &head, &body, Duration::MAX)
                    .await
            }
            Err(sent) => Err(sent),
        };
        // The same holds as for an offer.
        (self.sink)(reply_event(&peer, query.id, replied));
    }

    /// Opens a stream for an offer or a query.
    async fn open_stream(&self, peer: &Peer) -> Result<Stream, Sent> {
        let connection = self.connection(peer).await.map_err(|err| {
            log::debug!(host:% = peer.host; "could not connect: {err}");
            Sent::Nothing
        })?;
        let opened = connection.connection.open_bi().await;
        let (tx, rx) = opened.map_err(|_| Sent::Nothing)?;
        Ok(Stream { connection, tx, rx })
    }

    /// Writes a message within the limit, and reads the reply.
    async fn round_trip(
        &self,
        peer: &Peer,
        stream: Stream,
        head: &RpcHead,
        body: &Bytes,
        limit: Duration,
    ) -> Result<GateReply, Sent> {
        let Stream {
            connection: PeerConnection { connection, .. },
            mut tx,
            mut rx,
        } = stream;
        let log_failed = |err: &FrameError| {
            log::debug!(host:% = peer.host; "could not send the message or read its reply: {err}");
        };
        let written = tokio::select! {
            written = time::timeout(limit, frame::write(&mut tx, head, body, None)) => match written {
                Ok(Ok(())) => Ok(()),
                Ok(Err(err)) => {
                    log_failed(&err);
                    Err(Sent::Nothing)
                }
                Err(_) => Err(Sent::NotInTime),
            },
            () = wait_until_silent(&connection) => {
                self.close_silent(peer, &connection).await;
                Err(Sent::Nothing)
            }
        };
        if let Err(sent) = written {
            // Dropping the stream would finish it. Fails only if the connection is gone.
            let _ = tx.reset(UNFINISHED_ERROR_CODE.into());
            return Err(sent);
        }
        tokio::select! {
            reply = read_reply(&mut rx, &self.memory) => reply.map_err(|err| {
                log_failed(&err);
                Sent::Maybe
            }),
            () = wait_until_silent(&connection) => {
                self.close_silent(peer, &connection).await;
                Err(Sent::Maybe)
            }
        }
    }

    /// Sends a message without a reply, and waits until the peer has acknowledged it.
    async fn notify(&self, peer: &Peer, head: &NotificationHead) -> Result<(), ()> {
        let connection = self.connection(peer).await.map_err(drop)?.connection;
        let mut tx = connection.open_uni().await.map_err(drop)?;
        frame::write(&mut tx, head, &Bytes::new(), None)
            .await
            .map_err(drop)?;
        tokio::select! {
            stopped = tx.stopped() => stopped.map(drop).map_err(drop),
            () = wait_until_silent(&connection) => {
                self.close_silent(peer, &connection).await;
                Err(())
            }
        }
    }

    async fn close_silent(&self, peer: &Peer, connection: &quinn::Connection) {
        log::warn!(host:% = peer.host; "connection is silent, closing it");
        connection.close(SILENT_ERROR_CODE.into(), b"silent");
        let peer_state = self.peer_state(peer);
        let mut state = peer_state.lock().await;
        let is_same = |c: &PeerConnection| c.connection.stable_id() == connection.stable_id();
        if state.connection.as_ref().is_some_and(is_same) {
            state.connection = None;
            state.was_silent = true;
        }
    }

    fn peer_state(&self, peer: &Peer) -> SharedPeerState {
        self.peer_states
            .borrow_mut()
            .entry(peer.clone())
            .or_default()
            .clone()
    }

    /// Returns the open connection to a peer, or opens one.
    async fn connection(&self, peer: &Peer) -> Result<PeerConnection, ConnectError> {
        let requested_at = time::Instant::now();
        let peer_state = self.peer_state(peer);
        let mut state = peer_state.lock().await;
        let is_open = |c: &&PeerConnection| c.connection.close_reason().is_none();
        if let Some(connection) = state.connection.as_ref().filter(is_open) {
            return Ok(connection.clone());
        }
        // If another task's attempt failed while this task waited for the lock, this one
        // fails too instead of repeating the attempt.
        if state.failed_at.is_some_and(|at| at >= requested_at) {
            return Err(ConnectError::Timeout(peer.address));
        }
        let connected = self.connect(peer.address, state.was_silent).await;
        state.failed_at = connected.is_err().then(time::Instant::now);
        state.connection = connected.as_ref().ok().cloned();
        connected
    }

    async fn connect(
        &self,
        address: net::SocketAddr,
        use_own_socket: bool,
    ) -> Result<PeerConnection, ConnectError> {
        let endpoint = if use_own_socket {
            open_endpoint(self.local_ip)?
        } else {
            self.shared_endpoint.clone()
        };
        let config = self.config.clone();
        let connecting = endpoint.connect_with(config, address, tls::SERVER_NAME)?;
        time::timeout(CONNECT_TIMEOUT, establish(connecting, &self.memory))
            .await
            .map_err(|_| ConnectError::Timeout(address))?
    }
}

fn open_endpoint(local_ip: net::IpAddr) -> io::Result<quinn::Endpoint> {
    quinn::Endpoint::client((local_ip, 0).into())
}

/// Completes the handshake and reads the peer's incarnation.
async fn establish(
    connecting: quinn::Connecting,
    memory: &Memory,
) -> Result<PeerConnection, ConnectError> {
    let connection = connecting.await?;
    let mut rx = connection.accept_uni().await?;
    let incarnation = frame::read_head(&mut rx, memory).await?;
    Ok(PeerConnection {
        connection,
        incarnation,
    })
}

/// The event for the reply to an offer or a query, or for its failure.
fn reply_event(peer: &Peer, id: id::CallId, replied: Result<GateReply, Sent>) -> Event {
    match replied {
        Ok(reply) => Event::ReplyReceived(peer.host.clone(), id, reply),
        Err(sent) => Event::ConnectionLost(peer.host.clone(), id, sent),
    }
}

async fn read_reply(rx: &mut quinn::RecvStream, memory: &Memory) -> Result<GateReply, FrameError> {
    let head: ReplyHead = frame::read_head(rx, memory).await?;
    let body = frame::read_body(rx, head.body_bytes, memory.share(Class::Answer)).await?;
    Ok(GateReply {
        reply: head.reply,
        load: head.load,
        target_notice: head.target_notice,
        answer: head.answer_head.map(|head| Answer { head, body }),
    })
}

/// Returns once no datagram has been received for [`SILENT_CHECKS_MAX`] consecutive checks,
/// although each check sends a datagram that the peer has to acknowledge.
async fn wait_until_silent(connection: &quinn::Connection) {
    let mut silent_checks = 0;
    let mut received = connection.stats().udp_rx.datagrams;
    while silent_checks < SILENT_CHECKS_MAX {
        time::sleep(LIVENESS_CHECK_INTERVAL).await;
        let received_now = connection.stats().udp_rx.datagrams;
        silent_checks = if received_now == received {
            silent_checks + 1
        } else {
            0
        };
        received = received_now;
        // Fails only on a closed connection, which receives nothing either and so counts
        // as silent.
        let _ = connection.send_datagram(Bytes::from_static(b"?"));
    }
}
