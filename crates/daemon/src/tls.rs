//! TLS and transport settings of connections between daemons.

use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;

use crate::keys;

/// Name that every daemon's certificate carries.
pub const SERVER_NAME: &str = "pollenrouter";
/// Protocol name, with its version.
const ALPN: &[u8] = b"pollenrouter/1";
/// A connection without traffic is closed after this long.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// The library sets memory aside for each stream that a connection allows.
const CALLS_MAX: u32 = 256;
const TELLS_MAX: u32 = 64;
const STREAM_WINDOW_BYTES: u32 = 1 << 20;

quick_error! {
    /// Keys that can not be used.
    #[derive(Debug)]
    pub enum TlsError {
        /// A text is not PEM of the expected kind.
        Pem(field: &'static str, err: rustls::pki_types::pem::Error) {
            source(err)
            display("`keys.{field}` is not in PEM: {err}")
        }
        /// A text holds no certificate.
        Empty(field: &'static str) {
            display("`keys.{field}` holds no certificate")
        }
        /// The certificates do not fit together.
        Rejected(reason: String) {
            display("could not use the keys: {reason}")
        }
    }
}

/// Transport settings of both directions.
#[derive(Clone, Debug)]
pub struct Transport {
    /// For accepting connections.
    pub server: quinn::ServerConfig,
    /// For opening connections.
    pub client: quinn::ClientConfig,
}

/// Builds transport settings from a daemon's keys.
///
/// # Errors
/// [`TlsError`] names the key that can not be used.
pub fn transport(keys: &keys::Keys) -> Result<Transport, TlsError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let versions = &[&rustls::version::TLS13];
    let roots = Arc::new(roots(&keys.authority)?);
    let chain = certificates("certificate", &keys.certificate)?;
    let key = PrivateKeyDer::from_pem_slice(keys.key.as_bytes())
        .map_err(|err| TlsError::Pem("key", err))?;

    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .map_err(rejected)?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(versions)
        .map_err(rejected)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())
        .map_err(rejected)?;
    server.alpn_protocols = vec![ALPN.to_vec()];

    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(versions)
        .map_err(rejected)?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .map_err(rejected)?;
    client.alpn_protocols = vec![ALPN.to_vec()];
    assemble(server, client)
}

/// Builds transport settings for daemons that have no keys: connections are
/// encrypted, and neither end is authenticated.
///
/// # Errors
/// [`TlsError`] if the library makes no keys.
pub fn unauthenticated() -> Result<Transport, TlsError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let versions = &[&rustls::version::TLS13];
    let own = rcgen::generate_simple_self_signed(vec![SERVER_NAME.to_owned()]).map_err(rejected)?;
    let chain = vec![own.cert.der().clone()];
    let key = PrivateKeyDer::try_from(own.signing_key.serialize_der()).map_err(rejected)?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(versions)
        .map_err(rejected)?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(rejected)?;
    server.alpn_protocols = vec![ALPN.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(versions)
        .map_err(rejected)?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(Anyone(provider)))
        .with_no_client_auth();
    client.alpn_protocols = vec![ALPN.to_vec()];
    assemble(server, client)
}

/// Accepts every certificate.
#[derive(Debug)]
struct Anyone(Arc<rustls::crypto::CryptoProvider>);

impl rustls::client::danger::ServerCertVerifier for Anyone {
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

fn assemble(
    server: rustls::ServerConfig,
    client: rustls::ClientConfig,
) -> Result<Transport, TlsError> {
    let settings = Arc::new(settings()?);
    let crypto = QuicServerConfig::try_from(server).map_err(rejected)?;
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    server.transport_config(settings.clone());
    let crypto = QuicClientConfig::try_from(client).map_err(rejected)?;
    let mut client = quinn::ClientConfig::new(Arc::new(crypto));
    client.transport_config(settings);
    Ok(Transport { server, client })
}

fn settings() -> Result<quinn::TransportConfig, TlsError> {
    let mut settings = quinn::TransportConfig::default();
    let idle = quinn::IdleTimeout::try_from(IDLE_TIMEOUT).map_err(rejected)?;
    settings.max_idle_timeout(Some(idle));
    // Messages are mostly small; probing for larger datagrams takes some 10 KB for
    // each connection.
    settings.mtu_discovery_config(None);
    settings.max_concurrent_bidi_streams(CALLS_MAX.into());
    settings.max_concurrent_uni_streams(TELLS_MAX.into());
    settings.stream_receive_window(STREAM_WINDOW_BYTES.into());
    Ok(settings)
}

fn roots(pem: &str) -> Result<rustls::RootCertStore, TlsError> {
    let mut roots = rustls::RootCertStore::empty();
    for certificate in certificates("authority", pem)? {
        roots.add(certificate).map_err(rejected)?;
    }
    Ok(roots)
}

fn certificates(field: &'static str, pem: &str) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let found: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem.as_bytes()).collect();
    let found = found.map_err(|err| TlsError::Pem(field, err))?;
    if found.is_empty() {
        return Err(TlsError::Empty(field));
    }
    Ok(found)
}

fn rejected(err: impl std::fmt::Display) -> TlsError {
    TlsError::Rejected(err.to_string())
}
