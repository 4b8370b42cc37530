//! Keys with which daemons authenticate each other.

use quick_error::quick_error;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use serde::{Deserialize, Serialize};

use crate::tls;

/// One daemon's keys, each in PEM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
    /// Certificates of the authorities that other daemons may use.
    pub authority: String,
    /// This daemon's certificate.
    pub certificate: String,
    /// This daemon's private key.
    pub key: String,
}

quick_error! {
    /// Keys could not be made.
    #[derive(Debug)]
    pub enum KeysError {
        /// The library refused.
        Generate(err: rcgen::Error) {
            from()
            source(err)
            display("could not generate keys: {err}")
        }
    }
}

/// Makes one new authority and keys for `count` daemons under it.
///
/// # Errors
/// [`KeysError::Generate`] if the library can not make a key or a certificate.
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
