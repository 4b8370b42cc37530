//! TLS and QUIC settings of connections between daemons.

use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;

use crate::keys;

/// DNS name in every daemon's certificate.
pub const SERVER_NAME: &str = "pollenrouter";
/// ALPN protocol identifier, which includes the protocol version.
const ALPN: &[u8] = b"pollenrouter/1";
/// Time without traffic after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Concurrent streams of a connection for messages with a reply. Bounded because `quinn`
/// reserves memory for each stream that a connection allows.
const RPC_STREAMS_MAX: u32 = 256;
/// Concurrent streams of a connection for messages without a reply; bounded for the same
/// reason.
const NOTIFICATION_STREAMS_MAX: u32 = 64;
/// Receive window of each stream, bytes: what a link of 200 Mbit/s carries in 10 ms, which is
/// longer than a round trip between failure domains.
pub const STREAM_WINDOW_BYTES: u32 = 256 << 10;
/// Receive window of all streams of a connection, bytes. Streams that wait for memory keep theirs,
/// and the others still need some.
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;
/// Bytes of a connection that are sent and not acknowledged; for one stream as much as the window
/// of a peer, for all a bound on what a peer that reads nothing keeps.
const SEND_WINDOW_BYTES: u64 = 2 << 20;

quick_error! {
    /// The transport settings could not be built.
    #[derive(Debug)]
    pub enum TlsError {
        /// A setting is not PEM of the expected kind.
        Pem(field: &'static str, err: rustls::pki_types::pem::Error) {
            source(err)
            display("`keys.{field}` is not valid PEM: {err}")
        }
        /// A setting contains no certificate.
        NoCertificate(field: &'static str) {
            display("`keys.{field}` contains no certificate")
        }
        /// The TLS or QUIC library rejected the keys or the settings.
        Rejected(reason: String) {
            display("could not use the keys: {reason}")
        }
    }
}

/// QUIC configurations for incoming and outgoing connections.
#[derive(Clone, Debug)]
pub struct Transport {
    /// Configuration for accepting connections.
    pub server: quinn::ServerConfig,
    /// Configuration for opening connections.
    pub client: quinn::ClientConfig,
}

/// Builds the configurations for daemons that authenticate each other with keys.
///
/// # Errors
/// [`TlsError`] if the keys cannot be used.
pub fn authenticated(keys: &keys::Keys) -> Result<Transport, TlsError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let versions = &[&rustls::version::TLS13];
    let roots = Arc::new(root_store(&keys.authority)?);
    let chain = parse_certificates("certificate", &keys.certificate)?;
    let key = PrivateKeyDer::from_pem_slice(keys.key.as_bytes())
        .map_err(|err| TlsError::Pem("key", err))?;

    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .map_err(rejection)?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(versions)
        .map_err(rejection)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())
        .map_err(rejection)?;
    server.alpn_protocols = vec![ALPN.to_vec()];

    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(versions)
        .map_err(rejection)?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .map_err(rejection)?;
    client.alpn_protocols = vec![ALPN.to_vec()];
    build_transport(server, client)
}

/// Builds the configurations for daemons without keys: connections are encrypted, but
/// neither end is authenticated.
///
/// # Errors
/// [`TlsError`] if no self-signed certificate can be generated.
pub fn unauthenticated() -> Result<Transport, TlsError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let versions = &[&rustls::version::TLS13];
    let self_signed =
        rcgen::generate_simple_self_signed(vec![SERVER_NAME.to_owned()]).map_err(rejection)?;
    let chain = vec![self_signed.cert.der().clone()];
    let key =
        PrivateKeyDer::try_from(self_signed.signing_key.serialize_der()).map_err(rejection)?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(versions)
        .map_err(rejection)?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(rejection)?;
    server.alpn_protocols = vec![ALPN.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(versions)
        .map_err(rejection)?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(AcceptAnyCertificate(provider)))
        .with_no_client_auth();
    client.alpn_protocols = vec![ALPN.to_vec()];
    build_transport(server, client)
}

/// Verifier that accepts every certificate; signatures of the handshake are still checked.
#[derive(Debug)]
struct AcceptAnyCertificate(Arc<rustls::crypto::CryptoProvider>);

impl rustls::client::danger::ServerCertVerifier for AcceptAnyCertificate {
    fn verify_server_cert(
        &self,
        _: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &rustls::pki_types::ServerName<'_>,
        _: &[u8],
        _: rustls::pki_types::UnixTime,
    ) -> Result<rustls::client::danger::ServerCertVerified, rustls::Error> {
        Ok(rustls::client::danger::ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &rustls::DigitallySignedStruct,
    ) -> Result<rustls::client::danger::HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls12_signature(message, certificate, signature, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &rustls::DigitallySignedStruct,
    ) -> Result<rustls::client::danger::HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls13_signature(message, certificate, signature, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<rustls::SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}

fn build_transport(
    server: rustls::ServerConfig,
    client: rustls::ClientConfig,
) -> Result<Transport, TlsError> {
    let settings = Arc::new(quic_settings()?);
    let crypto = QuicServerConfig::try_from(server).map_err(rejection)?;
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    server.transport_config(settings.clone());
    let crypto = QuicClientConfig::try_from(client).map_err(rejection)?;
    let mut client = quinn::ClientConfig::new(Arc::new(crypto));
    client.transport_config(settings);
    Ok(Transport { server, client })
}

fn quic_settings() -> Result<quinn::TransportConfig, TlsError> {
    let mut settings = quinn::TransportConfig::default();
    let idle_timeout = quinn::IdleTimeout::try_from(IDLE_TIMEOUT).map_err(rejection)?;
    settings.max_idle_timeout(Some(idle_timeout));
    // MTU discovery takes about 10 KB for each connection, and larger datagrams gain
    // little because most messages are small.
    settings.mtu_discovery_config(None);
    settings.max_concurrent_bidi_streams(RPC_STREAMS_MAX.into());
    settings.max_concurrent_uni_streams(NOTIFICATION_STREAMS_MAX.into());
    settings.stream_receive_window(STREAM_WINDOW_BYTES.into());
    settings.receive_window(CONNECTION_WINDOW_BYTES.into());
    settings.send_window(SEND_WINDOW_BYTES);
    Ok(settings)
}

fn root_store(pem: &str) -> Result<rustls::RootCertStore, TlsError> {
    let mut roots = rustls::RootCertStore::empty();
    for certificate in parse_certificates("authority", pem)? {
        roots.add(certificate).map_err(rejection)?;
    }
    Ok(roots)
}

fn parse_certificates(
    field: &'static str,
    pem: &str,
) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let found: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem.as_bytes()).collect();
    let found = found.map_err(|err| TlsError::Pem(field, err))?;
    if found.is_empty() {
        return Err(TlsError::NoCertificate(field));
    }
    Ok(found)
}

fn rejection(err: impl std::fmt::Display) -> TlsError {
    TlsError::Rejected(err.to_string())
}
