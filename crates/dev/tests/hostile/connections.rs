//! Connections that send nothing, or almost nothing.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::crowd;
use crate::site::{DESCRIPTORS, Site};

/// More connections than the host has descriptors.
const CLIENTS: usize = 2 * DESCRIPTORS;
/// Longer than a daemon takes to accept what is in its backlog.
const SETTLES: Duration = Duration::from_secs(2);

/// Guards against connections that take every descriptor of the host.
#[test]
fn idle_connections() {
    let site = Site::start();
    let crowd: Vec<_> = (0..CLIENTS)
        .filter_map(|_| TcpStream::connect(site.public()).ok())
        .collect();
    thread::sleep(SETTLES);
    site.check("idle connections");
    drop(crowd);
    site.check_large("after idle connections");
}

/// Guards against heads that keep a connection and its memory by one byte after the other.
#[test]
fn heads_byte_by_byte() {
    let site = Site::start();
    let head = "GET /board/refresh HTTP/1.1\r\nhost: x\r\nx: ";
    let mut crowd = crowd::send(site.public(), DESCRIPTORS, |stream| {
        stream.write_all(head.as_bytes())?;
        // Almost as large as a head may be.
        crowd::write_repeated(stream, b"x", 15 << 10)
    });
    for _ in 0..20 {
        for stream in &mut crowd {
            // The daemon may have closed the connection.
            let _ = stream.write(b"x");
        }
        thread::sleep(Duration::from_millis(100));
    }
    site.check("heads byte by byte");
    drop(crowd);
    site.check_large("after heads byte by byte");
}
