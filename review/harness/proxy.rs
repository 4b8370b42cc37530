//! TCP proxy whose open connections can go silent while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

#[derive(Clone, Default)]
pub struct Proxy {
    /// Connections that were opened in an earlier generation are silent.
    generation: Arc<AtomicU64>,
}

impl Proxy {
    /// Forwards the connections of a listener to `to`.
    pub fn serve(&self, listener: TcpListener, to: SocketAddr) {
        let proxy = self.clone();
        thread::spawn(move || {
            for inbound in listener.incoming().flatten() {
                let Ok(outbound) = TcpStream::connect(to) else {
                    continue;
                };
                let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
                let born = proxy.generation.load(Ordering::SeqCst);
                let (Ok(inbound2), Ok(outbound2)) = (inbound.try_clone(), outbound.try_clone())
                else {
                    continue;
                };
                proxy.forward(inbound, outbound, born);
                proxy.forward(outbound2, inbound2, born);
            }
        });
    }

    /// Makes all open connections silent: nothing passes, and none is closed or reset.
    pub fn silence(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream, born: u64) {
        let proxy = self.clone();
        thread::spawn(move || {
            let mut buf = [0; 16 << 10];
            let is_silent = || proxy.generation.load(Ordering::SeqCst) != born;
            loop {
                let read = from.read(&mut buf).unwrap_or(0);
                if is_silent() {
                    // What arrives is lost, the end of the connection as well.
                    if read == 0 {
                        return;
                    }
                    continue;
                }
                if read == 0 || to.write_all(&buf[..read]).is_err() {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
            }
        });
    }
}
