//! Daemons without targets, for measuring their idle resource use.

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

/// Running daemons without targets.
pub struct DaemonFleet {
    /// Temporary directory with the settings files.
    pub dir: TempDir,
    /// The platform stand-in.
    pub platform: Process,
    /// Address of the platform stand-in.
    pub platform_address: SocketAddr,
    /// Daemons with their addresses.
    pub daemons: Vec<(Process, Addresses)>,
    /// Service name and document text, as written at the start.
    pub documents: Vec<(String, String)>,
}

impl DaemonFleet {
    /// Starts `count` daemons, spread over four failure domains.
    ///
    /// # Errors
    /// A process cannot be started or a document cannot be written.
    pub fn start(count: usize, documents: &[(String, String)]) -> Result<Self, Error> {
        let dir = TempDir::new()?;
        let (platform, platform_address) = start::platform()?;
        let mut fleet = Self {
            dir,
            platform,
            platform_address,
            daemons: Vec::new(),
            documents: documents.to_vec(),
        };
        for (name, text) in documents {
            fleet.write_document(name, text)?;
        }
        let keys = keys::generate(count)
            .map_err(|err| Error::Process("keys".to_owned(), err.to_string()))?;
        for (index, keys) in keys.iter().enumerate() {
            let name = format!("host-{index}");
            let domain = format!("domain-{}", index % 4);
            let settings = fleet.dir.path().join(format!("{name}.yaml"));
            fs::write(
                &settings,
                start::render_settings(&name, &domain, platform_address, keys),
            )?;
            fleet.daemons.push(start::daemon(&name, &settings)?);
        }
        Ok(fleet)
    }

    /// Writes a document directly to the platform, without the checks of the
    /// `apply` command; returns its version.
    ///
    /// # Errors
    /// The platform does not reply or refuses the write.
    pub fn write_document(&self, service: &str, text: &str) -> Result<u64, Error> {
        let client = Client::new(&format!("http://{}", self.platform_address));
        let key = object::service_key(service);
        let to_error = |err: PlatformError| Error::Http(key.to_string(), err.to_string());
        let version = client
            .get(&key)
            .map_err(to_error)?
            .map_or(0, |object| object.version);
        let document = serde_json::json!({ "text": text, "changes": [] });
        client
            .put(&key, &document.to_string(), version)
            .map_err(to_error)
    }

    /// Call counters of the platform stand-in.
    ///
    /// # Errors
    /// The platform does not reply.
    pub fn platform_counts(&self) -> Result<serde_json::Value, Error> {
        deployment::get_json(self.platform_address, "/counts")
    }
}
