//! Accepts connections and messages of other daemons.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use log::{debug, warn};
use pollenrouter_core::id;
use tokio::sync::oneshot;
use tokio::task;

use crate::frame::{self, Ask, FrameError, ReplyHead, Tell};
use crate::message::{Event, Replied, Request};
use crate::peer;

/// Number of streams that are being served.
pub type Open = Rc<Cell<usize>>;

/// Accepts connections until the endpoint closes.
pub async fn accept(endpoint: quinn::Endpoint, own: id::Incarnation, sink: peer::Sink, open: Open) {
    while let Some(incoming) = endpoint.accept().await {
        let sink = sink.clone();
        let open = open.clone();
        task::spawn_local(async move {
            let from = incoming.remote_address();
            match incoming.await {
                Ok(connection) => serve(connection, own, sink, open).await,
                Err(err) => warn!(from:%; "could not authenticate a daemon: {err}"),
            }
        });
    }
}

async fn serve(connection: quinn::Connection, own: id::Incarnation, sink: peer::Sink, open: Open) {
    if let Err(err) = greet(&connection, own).await {
        debug!("could not greet a daemon: {err}");
        return;
    }
    loop {
        tokio::select! {
            stream = connection.accept_bi() => match stream {
                Ok((tx, rx)) => spawn(answer(tx, rx, sink.clone()), open.clone()),
                Err(_) => return,
            },
            stream = connection.accept_uni() => match stream {
                Ok(rx) => spawn(listen(rx, sink.clone()), open.clone()),
                Err(_) => return,
            },
        }
    }
}

/// Tells the other end which incarnation it has reached.
async fn greet(connection: &quinn::Connection, own: id::Incarnation) -> Result<(), FrameError> {
    let mut tx = connection.open_uni().await.map_err(frame::read_error)?;
    frame::write(&mut tx, &own, &Bytes::new()).await
}

fn spawn(work: impl Future<Output = Result<(), FrameError>> + 'static, open: Open) {
    task::spawn_local(async move {
        open.set(open.get() + 1);
        if let Err(err) = work.await {
            debug!("could not serve a stream: {err}");
        }
        open.set(open.get() - 1);
    });
}

async fn answer(
    mut tx: quinn::SendStream,
    mut rx: quinn::RecvStream,
    sink: peer::Sink,
) -> Result<(), FrameError> {
    let (reply_to, replied) = oneshot::channel();
    let event = match frame::read_head(&mut rx).await? {
        Ask::Offer {
            offer,
            head,
            body_bytes,
        } => {
            let body = frame::read_body(&mut rx, body_bytes).await?;
            Event::Offered(offer, Request { head, body }, reply_to)
        }
        Ask::Query(query) => Event::Asked(query, reply_to),
    };
    // A full ring gives no word: the dropped stream makes the entry ask again.
    if !sink(event) {
        return Ok(());
    }
    if let Ok(replied) = replied.await {
        reply(&mut tx, replied).await?;
    }
    Ok(())
}

async fn reply(tx: &mut quinn::SendStream, replied: Replied) -> Result<(), FrameError> {
    let (head, body) = replied.answer.map_or((None, Bytes::new()), |answer| {
        (Some(answer.head), answer.body)
    });
    let head = ReplyHead {
        reply: replied.reply,
        hint: replied.hint,
        head,
        body_bytes: body.len() as u64,
    };
    frame::write(tx, &head, &body).await?;
    // Open until the entry has it all, so that a planned stop can wait for it.
    let _ = tx.stopped().await;
    Ok(())
}

async fn listen(mut rx: quinn::RecvStream, sink: peer::Sink) -> Result<(), FrameError> {
    match frame::read_head(&mut rx).await? {
        Tell::Withdraw(query) => sink(Event::Withdrawn(query)),
        Tell::Gossip(gossip) => sink(Event::Gossiped(gossip)),
        Tell::Probe => true,
    };
    Ok(())
}
