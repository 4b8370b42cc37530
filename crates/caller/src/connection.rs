//! One connection of a caller: reads its bytes, writes its responses, and notices that it has left.

use std::pin::Pin;
use std::time::Duration;

use futures_util::stream::StreamExt;
use futures_util::{FutureExt, future};
use log::debug;
use tokio::io::{self, AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::futures::OwnedNotified;
use tokio::sync::watch;
use tokio::time::{self, Instant, Sleep};

use crate::connections;
use crate::output::Output;
use crate::pipeline::{Pipeline, READ_BYTES};

/// Time for which the connection stays open after the last response. A connection that is closed
/// with unread bytes is reset, and the caller could lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const LINGER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Serves a connection until one side closes it. After `stop` becomes true, the requests that
/// have been received are completed.
pub async fn serve(
    mut stream: TcpStream,
    pipeline: Pipeline,
    guard: connections::Guard,
    mut stop: watch::Receiver<bool>,
) {
    // Nagle's algorithm delays small responses until previous data is acknowledged.
    let _ = stream.set_nodelay(true);
    let (mut reader, mut writer) = stream.split();
    match run(pipeline, &guard.slot, &mut reader, &mut writer, &mut stop).await {
        Err(err) => debug!("connection closed with an error: {err}"),
        Ok(lingers) => {
            // The caller may have closed the connection first.
            let _ = writer.shutdown().await;
            if lingers {
                // A caller that stays is cut off.
                let _ = time::timeout(LINGER_TIMEOUT, wait_until_left(&reader)).await;
            }
        }
    }
}

async fn wait_until_left(reader: &ReadHalf<'_>) {
    while !has_left(reader) {
        time::sleep(LINGER_CHECK_INTERVAL).await;
    }
}

/// Whether the caller has closed the connection, also while bytes of it are unread.
fn has_left(reader: &ReadHalf<'_>) -> bool {
    let ready = reader.ready(Interest::READABLE).now_or_never();
    ready.is_some_and(|ready| ready.is_ok_and(io::Ready::is_read_closed))
}

/// Runs until the connection has ended; returns whether the caller may still be sending.
/// If the caller leaves, the requests at work are dropped.
async fn run(
    mut pipeline: Pipeline,
    slot: &connections::Slot,
    reader: &mut ReadHalf<'_>,
    writer: &mut WriteHalf<'_>,
    stop: &mut watch::Receiver<bool>,
) -> std::io::Result<bool> {
    let mut timer = Box::pin(time::sleep_until(pipeline.due()));
    loop {
        pipeline.advance();
        if pipeline.has_ended() {
            return Ok(pipeline.lingers || !pipeline.input.is_empty());
        }
        let room = pipeline.waits_for_room().then(|| pipeline.memory.room());
        if room.is_some() {
            // Room that was given since the attempt above would not be noticed.
            pipeline.advance();
        }
        slot.idle_since.set(pipeline.idle_since());
        schedule(&pipeline, &mut timer);
        let reads = pipeline.reads();
        tokio::select! {
            // The stop first, so that the last response after it announces the close.
            biased;
            _ = stop.wait_for(|stop| *stop), if pipeline.stop_deadline.is_none() => pipeline.stop(),
            () = &mut timer => {
                if pipeline.has_expired() || !reads && has_left(reader) {
                    return Ok(false);
                }
            }
            written = writer.write(pipeline.output.front()), if !pipeline.output.is_empty() => {
                pipeline.record_written(written?);
            }
            () = wait_for_room(room) => {}
            () = slot.close.notified() => {
                if pipeline.idle_since().is_some() {
                    return Ok(false);
                }
            }
            Some(done) = pipeline.at_work.next(), if !pipeline.at_work.is_empty() => {
                pipeline.respond(&done);
            }
            read = reader.read_buf(pipeline.input.space(READ_BYTES)), if reads => match read? {
                0 => {
                    if pipeline.at_work.is_empty() {
                        // A caller that has left may still take the responses that are ready.
                        let writing = write_all(writer, &mut pipeline.output);
                        let _ = time::timeout(LINGER_TIMEOUT, writing).await;
                    }
                    return Ok(false);
                }
                len => pipeline.input.record_read(len, Instant::now()),
            },
        }
    }
}

async fn write_all(writer: &mut WriteHalf<'_>, output: &mut Output) -> std::io::Result<()> {
    while !output.is_empty() {
        let written = writer.write(output.front()).await?;
        output.advance(written);
    }
    Ok(())
}

/// Completes when room is given; never if none is waited for.
async fn wait_for_room(room: Option<OwnedNotified>) {
    match room {
        Some(room) => room.await,
        None => future::pending().await,
    }
}

/// Moves the timer forward if it is due sooner. A timer that is early is harmless and
/// cheaper than one that is moved with each request.
fn schedule(pipeline: &Pipeline, timer: &mut Pin<Box<Sleep>>) {
    let due = pipeline.due();
    if due < timer.deadline() || timer.is_elapsed() {
        timer.as_mut().reset(due);
    }
}
