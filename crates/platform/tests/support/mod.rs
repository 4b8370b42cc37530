//! A stand-in for a platform that plays given answers.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::sync::mpsc::{self, Receiver};
use std::thread;

use pollenrouter_platform::client::Client;

/// Starts a platform that answers each request with the next of these; yields the request lines.
pub fn platform(answers: Vec<(u16, Vec<u8>)>) -> (Client, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("socket must bind");
    let address = listener.local_addr().expect("socket must have an address");
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for (status, body) in answers {
            let (mut stream, _) = listener.accept().expect("connection must be accepted");
            let mut reader = BufReader::new(stream.try_clone().expect("socket must be cloned"));
            let mut line = String::new();
            reader.read_line(&mut line).expect("request must arrive");
            // The test may have ended.
            let _ = tx.send(line);
            let mut len = 0;
            loop {
                let mut header = String::new();
                reader.read_line(&mut header).expect("header must arrive");
                if let Some(value) = header.to_lowercase().strip_prefix("content-length:") {
                    len = value.trim().parse().expect("length must be a number");
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            reader
                .read_exact(&mut vec![0; len])
                .expect("body must arrive");
            let len = body.len();
            let head = format!(
                "HTTP/1.1 {status} x\r\nconnection: close\r\n\
                 content-type: application/json\r\ncontent-length: {len}\r\n\r\n"
            );
            stream
                .write_all(&[head.as_bytes(), &body].concat())
                .expect("answer must be sent");
        }
    });
    (Client::new(&format!("http://{address}")), rx)
}
