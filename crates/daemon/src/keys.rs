//! Keys and certificates with which daemons authenticate each other.

use quick_error::quick_error;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use serde::{Deserialize, Serialize};

use crate::tls;

/// Keys and certificates of one daemon, in PEM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
    /// Certificates of the authorities that may sign other daemons' certificates.
    pub authority: String,
    /// This daemon's certificate.
    pub certificate: String,
    /// This daemon's private key.
    pub key: String,
}

quick_error! {
    /// Keys could not be generated.
    #[derive(Debug)]
    pub enum KeysError {
        /// `rcgen` could not generate a key or a certificate.
        Generate(err: rcgen::Error) {
            from()
            source(err)
            display("could not generate keys: {err}")
        }
    }
}

/// Generates an authority, and keys for `count` daemons that it signs.
///
/// # Errors
/// [`KeysError::Generate`] if a key or a certificate cannot be generated.
pub fn generate(count: usize) -> Result<Vec<Keys>, KeysError> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
    (0..count)
        .map(|_| {
            let params = CertificateParams::new(vec![tls::SERVER_NAME.to_owned()])?;
            let key = KeyPair::generate()?;
            let certificate = params.signed_by(&key, &authority)?;
            Ok(Keys {
                authority: authority.pem(),
                certificate: certificate.pem(),
                key: key.serialize_pem(),
            })
        })
        .collect()
}
