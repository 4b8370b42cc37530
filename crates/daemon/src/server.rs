//! Accepts connections from other daemons and serves their streams.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use log::{debug, warn};
use pollenrouter_core::id;
use pollenrouter_core::memory::Class;
use pollenrouter_http::memory::Memory;
use tokio::sync::oneshot;
use tokio::task;

use crate::frame::{self, FrameError, NotificationHead, ReplyHead, RpcHead};
use crate::message::{Event, GateReply, Request};
use crate::{protocol, tls};

/// QUIC error code with which an answer is reset that the peer takes too slowly.
const SLOW_ERROR_CODE: u32 = 2;
/// Size above which an answer gives way if the peer takes it too slowly and memory is short, bytes.
const LARGE_ANSWER_BYTES: usize = 32 << 10;

/// Number of streams that are being served.
pub type OpenStreamCount = Rc<Cell<usize>>;

/// Accepts connections until the endpoint is closed.
pub async fn accept(
    endpoint: quinn::Endpoint,
    incarnation: id::Incarnation,
    memory: Memory,
    sink: protocol::Sink,
    open_streams: OpenStreamCount,
) {
    while let Some(incoming) = endpoint.accept().await {
        let (memory, sink) = (memory.clone(), sink.clone());
        let open_streams = open_streams.clone();
        task::spawn_local(async move {
            let from = incoming.remote_address();
            match incoming.await {
                Ok(connection) => {
                    serve_connection(connection, incarnation, memory, sink, open_streams).await;
                }
                Err(err) => warn!(from:%; "handshake with a daemon failed: {err}"),
            }
        });
    }
}

async fn serve_connection(
    connection: quinn::Connection,
    incarnation: id::Incarnation,
    memory: Memory,
    sink: protocol::Sink,
    open_streams: OpenStreamCount,
) {
    if let Err(err) = send_incarnation(&connection, incarnation).await {
        debug!("could not send this daemon's incarnation: {err}");
        return;
    }
    loop {
        tokio::select! {
            stream = connection.accept_bi() => match stream {
                Ok((tx, rx)) => {
                    let serving = serve_rpc(tx, rx, memory.clone(), sink.clone());
                    spawn_stream_task(serving, open_streams.clone());
                }
                Err(_) => return,
            },
            stream = connection.accept_uni() => match stream {
                Ok(rx) => {
                    let receiving = receive_notification(rx, memory.clone(), sink.clone());
                    spawn_stream_task(receiving, open_streams.clone());
                }
                Err(_) => return,
            },
        }
    }
}

/// Tells the peer which incarnation of this daemon it is connected to.
async fn send_incarnation(
    connection: &quinn::Connection,
    incarnation: id::Incarnation,
) -> Result<(), FrameError> {
    let mut tx = connection.open_uni().await.map_err(frame::read_error)?;
    frame::write(&mut tx, &incarnation, &Bytes::new(), None).await
}

fn spawn_stream_task(
    work: impl Future<Output = Result<(), FrameError>> + 'static,
    open_streams: OpenStreamCount,
) {
    task::spawn_local(async move {
        open_streams.set(open_streams.get() + 1);
        if let Err(err) = work.await {
            debug!("could not serve a stream: {err}");
        }
        open_streams.set(open_streams.get() - 1);
    });
}

async fn serve_rpc(
    mut tx: quinn::SendStream,
    mut rx: quinn::RecvStream,
    memory: Memory,
    sink: protocol::Sink,
) -> Result<(), FrameError> {
    let (reply_tx, reply_rx) = oneshot::channel();
    let event = match frame::read_head(&mut rx, &memory).await? {
        RpcHead::Offer {
            offer,
            head,
            body_bytes,
        } => {
            let share = memory.share(Class::Request);
            // Without memory, the stream is dropped without a reply, and the entry asks again; the
            // gate then makes the call void.
            let body = frame::read_body(&mut rx, body_bytes, share).await?;
            Event::OfferReceived(*offer, Request { head, body }, reply_tx)
        }
        RpcHead::Query(query) => Event::QueryReceived(query, reply_tx),
    };
    // If the event queue is full, the stream is dropped without a reply, and the entry
    // asks again.
    if !sink(event) {
        return Ok(());
    }
    if let Ok(gate_reply) = reply_rx.await {
        let written = write_reply(&mut tx, gate_reply, &memory).await;
        if written.is_err() {
            // Without a reset, the rest of the answer would stay in memory.
            let _ = tx.reset(SLOW_ERROR_CODE.into());
        }
        return written;
    }
    Ok(())
}

async fn write_reply(
    tx: &mut quinn::SendStream,
    gate_reply: GateReply,
    memory: &Memory,
) -> Result<(), FrameError> {
    let (answer_head, body) = gate_reply.answer.map_or((None, Bytes::new()), |answer| {
        (Some(answer.head), answer.body)
    });
    let head = ReplyHead {
        reply: gate_reply.reply,
        load: gate_reply.load,
        target_notice: gate_reply.target_notice,
        answer_head,
        body_bytes: body.len() as u64,
    };
    let taker = (body.len() > LARGE_ANSWER_BYTES)
        .then(|| memory.taker(Class::Answer, tls::STREAM_WINDOW_BYTES as usize));
    frame::write(tx, &head, &body, taker.as_ref()).await?;
    // Counts as open until the entry has received the reply, so that a shutdown can
    // wait for it.
    frame::wait_until_taken(tx, taker.as_ref()).await
}

async fn receive_notification(
    mut rx: quinn::RecvStream,
    memory: Memory,
    sink: protocol::Sink,
) -> Result<(), FrameError> {
    match frame::read_head(&mut rx, &memory).await? {
        NotificationHead::Withdraw(query) => sink(Event::WithdrawalReceived(query)),
        NotificationHead::Gossip(gossip) => sink(Event::GossipReceived(gossip)),
        NotificationHead::Probe => true,
        // If the event queue is full, the entry asks the next holder after a time-out.
        NotificationHead::Ask(host, ask) => sink(Event::AskReceived(host, ask)),
        NotificationHead::Grant(host, grant) => sink(Event::GrantReceived(host, grant)),
        NotificationHead::Transfer(transfer) => sink(Event::TransferReceived(transfer)),
    };
    Ok(())
}
