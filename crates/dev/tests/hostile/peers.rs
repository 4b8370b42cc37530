//! A daemon with valid keys that does not keep to the protocol.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use pollenrouter_core::call::{Offer, WhenSlow};
use pollenrouter_core::http_message::RequestHead;
use pollenrouter_core::id::CallId;
use pollenrouter_daemon::frame::RpcHead;
use pollenrouter_daemon::{keys, tls};
use pollenrouter_dev::deployment;
use pollenrouter_operator::settings;
use tokio::sync::oneshot;
use tokio::{runtime, task, time};

use crate::site::{ANSWER_BYTES, BODY_BYTES, Site, TWO_ANSWERS_MB};

/// Streams of one connection; a daemon permits 256 at a time.
const STREAMS: usize = 250;
/// Streams with a body or an answer; together they are almost four times the memory of the host.
const LONG_STREAMS: usize = 60;
/// Largest head that the protocol permits, bytes.
const HEAD_BYTES: u32 = 1 << 20;
/// Time in which a stream that is not read takes what the protocol lets it send.
const SENDS: Duration = Duration::from_secs(8);

/// A connection to the first daemon, with a stream for each payload.
struct Peer {
    _stop: oneshot::Sender<()>,
}

impl Peer {
    /// Connects with the keys of the second daemon and sends each payload on a stream of its own.
    /// `ends` finishes the streams. Nothing is ever read from them.
    fn start(site: &Site, payloads: Vec<Vec<u8>>, ends: bool) -> Self {
        let text = std::fs::read_to_string(&site.deployment.hosts[1].settings);
        let settings = settings::check(&text.expect("settings must be readable"));
        let keys = settings.expect("settings must be valid").keys;
        let keys = keys.expect("daemons must have keys");
        let transport = tls::authenticated(&keys::Keys {
            authority: keys.authority.to_string(),
            certificate: keys.certificate.to_string(),
            key: keys.key.to_string(),
        });
        let config = transport.expect("keys must be valid").client;
        let address = site.deployment.hosts[0].addresses.daemons;
        let (stop, stopped) = oneshot::channel::<()>();
        let (sent, is_sent) = mpsc::channel();
        thread::spawn(move || {
            let runtime = runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("runtime must start");
            let work = async move {
                let endpoint = quinn::Endpoint::client(([127, 0, 0, 1], 0).into());
                let endpoint = endpoint.expect("socket must open");
                let connecting = endpoint.connect_with(config, address, tls::SERVER_NAME);
                let connection = connecting.expect("address must be valid").await;
                let connection = connection.expect("daemon must accept");
                let mut streams = Vec::new();
                for payload in payloads {
                    let (mut tx, rx) = connection.open_bi().await.expect("stream must open");
                    streams.push(task::spawn_local(async move {
                        // The daemon may stop reading or reset the stream.
                        let _ = time::timeout(SENDS, tx.write_all(&payload)).await;
                        if ends {
                            let _ = tx.finish();
                        }
                        (tx, rx)
                    }));
                }
                time::sleep(SENDS).await;
                sent.send(()).expect("test must wait");
                // Ends when the test drops the peer.
                let _ = stopped.await;
                drop(streams);
            };
            task::LocalSet::new().block_on(&runtime, work);
        });
        is_sent.recv().expect("peer must send");
        Self { _stop: stop }
    }
}

/// The frame of an offer for the target beside the first daemon.
fn offer(site: &Site, seq: u64, body_bytes: usize) -> Vec<u8> {
    let host = &site.deployment.hosts[0];
    let status = deployment::get_json(host.addresses.operator, "/status");
    let status = status.expect("daemon must report its status");
    let incarnation = status["own"]["incarnation"]
        .as_str()
        .expect("status must name it");
    let incarnation = u64::from_str_radix(incarnation, 16).expect("incarnation must be a number");
    let headers = [("x-answer-bytes", ANSWER_BYTES.to_string())];
    let headers = headers.map(|(name, value)| (name.into(), value.into_bytes()));
    let head = RpcHead::Offer {
        offer: Box::new(Offer {
            incarnation,
            id: CallId {
                entry: 1,
                seq,
                nonce: seq,
            },
            service: "board".into(),
            route: "refresh".into(),
            depth: 0,
            organisation: "".into(),
            rank: 0,
            remaining: Duration::from_mins(1),
            objective: Duration::from_mins(1),
            sheddable: false,
            when_slow: WhenSlow::Start,
            at_most_once: false,
            fingerprint: seq,
            issued_by_sender: true,
            target_notice: None,
        }),
        head: RequestHead {
            method: "GET".into(),
            host: None,
            path: "/refresh".into(),
            headers: headers.to_vec(),
        },
        body_bytes: body_bytes as u64,
    };
    let head = postcard::to_stdvec(&head).expect("head must be encoded");
    let len = u32::try_from(head.len()).expect("head must be short");
    [len.to_be_bytes().as_slice(), &head].concat()
}

/// Guards against heads that take their memory before they arrive, or stay without an end.
#[test]
fn heads_of_streams_that_stop_short() {
    let site = Site::start();
    let mut head = HEAD_BYTES.to_be_bytes().to_vec();
    head.resize(HEAD_BYTES as usize, b'x');
    let peer = Peer::start(&site, vec![head; STREAMS], false);
    site.check("heads of streams");
    drop(peer);
    site.check_large("after heads of streams");
}

/// Guards against bodies on streams that take memory without a bound while they wait for their end.
#[test]
fn bodies_of_streams_that_stop_short() {
    let site = Site::start();
    let payload = |at| {
        let mut payload = offer(&site, at, BODY_BYTES);
        payload.resize(payload.len() + BODY_BYTES - 1, b'x');
        payload
    };
    let payloads = (0..LONG_STREAMS as u64).map(payload).collect();
    let peer = Peer::start(&site, payloads, false);
    site.check("bodies of streams");
    drop(peer);
    site.check_large("after bodies of streams");
}

/// Guards against answers that wait in memory for an entry that does not take them.
#[test]
fn answers_that_an_entry_does_not_read() {
    let site = Site::start();
    let payloads = (0..LONG_STREAMS as u64).map(|at| offer(&site, at, 0));
    let peer = Peer::start(&site, payloads.collect(), true);
    site.check("answers not read by an entry");
    drop(peer);
    site.check_large("after answers not read by an entry");
}

/// Guards against answers that wait for memory and keep the slots of the target meanwhile.
#[test]
fn ordinary_callers_beside_an_entry_that_does_not_read() {
    let site = Site::with_memory(TWO_ANSWERS_MB);
    let payloads = (0..LONG_STREAMS as u64).map(|at| offer(&site, at, 0));
    let peer = Peer::start(&site, payloads.collect(), true);
    site.check("ordinary callers beside an entry");
    drop(peer);
    site.check_large("after ordinary callers beside an entry");
}
