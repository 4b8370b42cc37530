//! Logging: JSON lines on the standard output, written by a separate thread.
//!
//! A line is dropped if the channel to that thread is full or the rate limit is reached.
//! The number of dropped lines is logged before the next line that is written.

use std::io::{self, Write};
use std::sync::mpsc::{self, Receiver, SyncSender, TrySendError};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use structured_logger::Builder;
use structured_logger::json;

/// Number of lines that can wait for the writer thread.
const CHANNEL_CAPACITY: usize = 1024;
/// Rate limit: under peak load a daemon logs more refused calls than an operator can read.
const LINES_PER_SECOND_MAX: u32 = 200;
const SECOND: Duration = Duration::from_secs(1);

/// Installs the logger. A logger that is already installed stays in place.
///
/// # Errors
/// The writer thread cannot be started.
pub fn init(level: log::LevelFilter) -> io::Result<()> {
    let (tx, rx) = mpsc::sync_channel(CHANNEL_CAPACITY);
    thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || write_lines(&rx, io::stdout()))?;
    let writer = json::new_writer(LineWriter(Mutex::new(LineQueue {
        tx,
        dropped: 0,
        window_start: Instant::now(),
        window_lines: 0,
    })));
    let builder = Builder::with_level(level.as_str()).with_default_writer(writer);
    // Fails only if a logger is already installed.
    let _ = builder.try_init();
    Ok(())
}

/// Queues lines for the writer thread without blocking; each write is one whole line.
struct LineWriter(Mutex<LineQueue>);

struct LineQueue {
    tx: SyncSender<Vec<u8>>,
    dropped: u64,
    window_start: Instant,
    window_lines: u32,
}

impl LineQueue {
    fn push(&mut self, line: &[u8]) {
        if self.window_start.elapsed() >= SECOND {
            self.window_start = Instant::now();
            self.window_lines = 0;
        }
        if self.window_lines >= LINES_PER_SECOND_MAX {
            self.dropped += 1;
            return;
        }
        let mut text = Vec::with_capacity(line.len());
        if self.dropped > 0 {
            let notice = serde_json::json!({ "level": "WARN", "message": "log lines were left out",
                "lines": self.dropped });
            text.extend_from_slice(notice.to_string().as_bytes());
            text.push(b'\n');
        }
        text.extend_from_slice(line);
        match self.tx.try_send(text) {
            Ok(()) => {
                self.window_lines += 1;
                self.dropped = 0;
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
        }
    }
}

impl Write for LineWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let queue = self.0.get_mut().unwrap_or_else(PoisonError::into_inner);
        queue.push(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(rx: &Receiver<Vec<u8>>, mut out: impl Write) {
    for line in rx {
        // The standard output is closed, so the failure cannot be reported either.
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
