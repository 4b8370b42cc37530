//! The protocol's work: one endpoint that accepts, one client that asks.

use std::io;
use std::net;
use std::sync::Arc;
use std::time::Duration;

use pollenrouter_core::id;
use tokio::sync::mpsc;
use tokio::{task, time};

use crate::client;
use crate::message::{Command, Event};
use crate::server;
use crate::tls;

/// Time for replies that were sent and not yet received at the end.
const FINISH_TIMEOUT: Duration = Duration::from_millis(500);
const FINISH_CHECK: Duration = Duration::from_millis(10);

/// Takes events; tells whether there was room.
pub type Sink = Arc<dyn Fn(Event) -> bool + Send + Sync>;

/// Runs the protocol until the commands end. Needs a current-thread runtime
/// inside a [`task::LocalSet`].
///
/// # Errors
/// The address can not be bound.
pub async fn run(
    socket: net::UdpSocket,
    own: id::Incarnation,
    transport: tls::Transport,
    mut commands: mpsc::Receiver<Command>,
    sink: Sink,
) -> io::Result<()> {
    let local = socket.local_addr()?.ip();
    let runtime = quinn::default_runtime().ok_or_else(|| io::Error::other("no runtime"))?;
    let config = quinn::EndpointConfig::default();
    let endpoint = quinn::Endpoint::new(config, Some(transport.server), socket, runtime)?;
    let open = server::Open::default();
    task::spawn_local(server::accept(
        endpoint.clone(),
        own,
        sink.clone(),
        open.clone(),
    ));
    let client = client::Client::new(transport.client, local, sink)?;
    while let Some(command) = commands.recv().await {
        client.run(command);
    }
    finish_streams(&open).await;
    endpoint.close(0_u32.into(), b"stopped");
    endpoint.wait_idle().await;
    Ok(())
}

/// Waits until every reply was received, up to [`FINISH_TIMEOUT`].
async fn finish_streams(open: &server::Open) {
    let until = time::Instant::now() + FINISH_TIMEOUT;
    while time::Instant::now() < until && open.get() > 0 {
        time::sleep(FINISH_CHECK).await;
    }
}
