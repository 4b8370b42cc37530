//! Many hostile connections at a time.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Time in which a client that cannot send on makes up its mind that the daemon does not read.
const BLOCKED_AFTER: Duration = Duration::from_secs(2);

/// Opens `clients` connections at the same time and sends on each what `write` writes. A
/// connection on which the daemon reads no further, or that it closes, ends its attempt. Returns
/// the connections, which stay open.
pub fn send(
    address: SocketAddr,
    clients: usize,
    write: impl Fn(&mut TcpStream) -> std::io::Result<()> + Send + Sync,
) -> Vec<TcpStream> {
    thread::scope(|scope| {
        let run = || {
            let mut stream = TcpStream::connect(address).ok()?;
            stream.set_write_timeout(Some(BLOCKED_AFTER)).ok()?;
            // The daemon may stop reading or close the connection.
            let _ = write(&mut stream);
            Some(stream)
        };
        let running: Vec<_> = (0..clients).map(|_| scope.spawn(run)).collect();
        let ended = running.into_iter().map(thread::ScopedJoinHandle::join);
        ended
            .filter_map(|stream| stream.expect("client must end"))
            .collect()
    })
}

/// Reads a little from each connection in turn for this time, `rate` bytes at a time.
pub fn read_slowly(streams: &mut [TcpStream], rate: usize, lasts: Duration) {
    let until = Instant::now() + lasts;
    let mut buf = vec![0; rate];
    while Instant::now() < until {
        for stream in &mut *streams {
            stream.set_nonblocking(true).expect("mode must be set");
            match stream.read(&mut buf) {
                Err(err) if err.kind() == ErrorKind::WouldBlock => {}
                // Nothing more comes, or the daemon has closed the connection.
                _ => {}
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Writes bytes again and again until `total` bytes are written.
pub fn write_repeated(stream: &mut TcpStream, bytes: &[u8], total: usize) -> std::io::Result<()> {
    // Larger writes, so that the clients do not take the processor from the daemons.
    let block = bytes.repeat((64 << 10) / bytes.len() + 1);
    let mut left = total / bytes.len() * bytes.len();
    while left > 0 {
        let len = left.min(block.len());
        stream.write_all(&block[..len])?;
        left -= len;
    }
    Ok(())
}
