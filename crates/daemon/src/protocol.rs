//! Runs the protocol: a server that accepts connections, and a client that opens them.

use std::io;
use std::net;
use std::sync::Arc;
use std::time::Duration;

use pollenrouter_core::id;
use pollenrouter_http::memory::Memory;
use tokio::sync::mpsc;
use tokio::{task, time};

use crate::client;
use crate::message::{Command, Event};
use crate::server;
use crate::tls;

/// How long a shutdown waits for peers to receive the replies that were sent.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Receives events; returns whether the event was accepted. An event that is not
/// accepted is dropped.
pub type Sink = Arc<dyn Fn(Event) -> bool + Send + Sync>;

/// Runs the protocol until the command channel is closed. Needs a current-thread runtime
/// inside a [`task::LocalSet`].
///
/// # Errors
/// An endpoint cannot be set up on the socket, or the client's socket cannot be opened.
pub async fn run(
    socket: net::UdpSocket,
    incarnation: id::Incarnation,
    transport: tls::Transport,
    memory: Memory,
    mut commands: mpsc::Receiver<Command>,
    sink: Sink,
) -> io::Result<()> {
    let local_ip = socket.local_addr()?.ip();
    let runtime = quinn::default_runtime().ok_or_else(|| io::Error::other("no async runtime"))?;
    let config = quinn::EndpointConfig::default();
    let endpoint = quinn::Endpoint::new(config, Some(transport.server), socket, runtime)?;
    let open_streams = server::OpenStreamCount::default();
    task::spawn_local(server::accept(
        endpoint.clone(),
        incarnation,
        memory.clone(),
        sink.clone(),
        open_streams.clone(),
    ));
    let client = client::Client::new(transport.client, local_ip, memory, sink)?;
    while let Some(command) = commands.recv().await {
        client.execute(command);
    }
    drain_streams(&open_streams).await;
    endpoint.close(0_u32.into(), b"stopped");
    endpoint.wait_idle().await;
    Ok(())
}

/// Waits until peers have received every reply, but no longer than [`DRAIN_TIMEOUT`].
async fn drain_streams(open_streams: &server::OpenStreamCount) {
    let deadline = time::Instant::now() + DRAIN_TIMEOUT;
    while time::Instant::now() < deadline && open_streams.get() > 0 {
        time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
