//! Daemons without targets, for measuring what they spend by themselves.

use std::fs;
use std::net::SocketAddr;

use pollenrouter_daemon::keys;
use pollenrouter_platform::client::{Client, PlatformError};
use pollenrouter_platform::object;
use tempfile::TempDir;

use crate::deployment::{self, Addresses};
use crate::error::Error;
use crate::process::Process;
use crate::start;

/// Daemons without targets, for measuring what they spend by themselves.
pub struct Bare {
    /// Folder for settings.
    pub folder: TempDir,
    /// The platform stand-in.
    pub platform: Process,
    /// Its address.
    pub platform_address: SocketAddr,
    /// Daemons with their addresses.
    pub daemons: Vec<(Process, Addresses)>,
    /// Documents by service, as they were written at the start.
    pub documents: Vec<(String, String)>,
}

impl Bare {
    /// Starts so many daemons in four failure domains.
    ///
    /// # Errors
    /// A process can not be started.
    pub fn start(count: usize, documents: &[(String, String)]) -> Result<Self, Error> {
        let folder = TempDir::new()?;
        let (platform, platform_address) = start::platform()?;
        let mut bare = Self {
            folder,
            platform,
            platform_address,
            daemons: Vec::new(),
            documents: documents.to_vec(),
        };
        for (name, text) in documents {
            bare.write(name, text)?;
        }
        let keys = keys::generate(count)
            .map_err(|err| Error::Process("keys".to_owned(), err.to_string()))?;
        for (nth, keys) in keys.iter().enumerate() {
            let name = format!("host-{nth}");
            let domain = format!("domain-{}", nth % 4);
            let settings = bare.folder.path().join(format!("{name}.yaml"));
            fs::write(
                &settings,
                start::settings_text(&name, &domain, platform_address, keys),
            )?;
            bare.daemons.push(start::daemon(&name, &settings)?);
        }
        Ok(bare)
    }

    /// Writes a document past the command line; returns its version.
    ///
    /// # Errors
    /// The platform does not take it.
    pub fn write(&self, service: &str, text: &str) -> Result<u64, Error> {
        let client = Client::new(&format!("http://{}", self.platform_address));
        let key = object::service_key(service);
        let failed = |err: PlatformError| Error::Http(key.to_string(), err.to_string());
        let version = client
            .get(&key)
            .map_err(failed)?
            .map_or(0, |held| held.version);
        let document = serde_json::json!({ "text": text, "changes": [] });
        client
            .put(&key, &document.to_string(), version)
            .map_err(failed)
    }

    /// Calls that the platform has counted.
    ///
    /// # Errors
    /// The platform does not reply.
    pub fn platform_counts(&self) -> Result<serde_json::Value, Error> {
        deployment::get(self.platform_address, "/counts")
    }
}
