//! A whole deployment on loopback: platform stand-in, daemons and targets.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use pollenrouter_daemon::keys;
use serde::Deserialize;
use tempfile::TempDir;

use crate::error::Error;
use crate::platform;
use crate::process::Process;
use crate::start;
use crate::target;

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_CHECK: Duration = Duration::from_millis(50);

/// One service of a deployment.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Its name.
    pub name: &'static str,
    /// Failure domain of each target.
    pub domains: Vec<&'static str>,
    /// Slots of each target.
    pub slots: u32,
    /// Mean service time, microseconds.
    pub work_us: u64,
    /// Stragglers in a thousand runs.
    pub stragglers: u32,
}

/// A deployment to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Folder with one document for each service.
    pub documents: PathBuf,
    /// Services.
    pub services: Vec<ServicePlan>,
}

/// Addresses of a daemon.
#[derive(Clone, Debug, Deserialize)]
pub struct Addresses {
    /// For the public.
    pub public: SocketAddr,
    /// For services.
    pub internal: SocketAddr,
    /// For the target's announcements.
    pub announcements: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
    /// For daemons.
    pub daemons: SocketAddr,
}

/// One host: a daemon and its target.
pub struct Host {
    /// Its name.
    pub name: String,
    /// Service of its target.
    pub service: &'static str,
    /// Its daemon; `None` while it is stopped.
    pub daemon: Option<Process>,
    /// Addresses of the daemon.
    pub addresses: Addresses,
    /// Its target; `None` once it has stopped.
    pub target: Option<Process>,
    /// Address of the target.
    pub target_address: SocketAddr,
    /// Ledger of the target.
    pub ledger: PathBuf,
    /// Settings of the daemon.
    pub settings: PathBuf,
}

/// A running deployment.
pub struct Deployment {
    /// Folder for settings and ledgers.
    pub folder: TempDir,
    /// The platform stand-in.
    pub platform: Process,
    /// Its address.
    pub platform_address: SocketAddr,
    /// Hosts.
    pub hosts: Vec<Host>,
}

/// The Wartebank deployment: 3 services with 4 targets each.
#[must_use]
pub fn wartebank(examples: &Path) -> Plan {
    let service = |name, work_us, stragglers| ServicePlan {
        name,
        domains: vec!["graz-nord", "graz-sued", "leoben", "kapfenberg"],
        slots: 10,
        work_us,
        stragglers,
    };
    Plan {
        documents: examples.join("wartebank"),
        services: vec![
            service("board", 5000, 20),
            service("assignment", 5000, 0),
            service("seats", 5000, 20),
        ],
    }
}

impl Deployment {
    /// Starts everything and waits until every daemon knows every target.
    ///
    /// # Errors
    /// A process can not be started or the deployment does not come up.
    pub fn start(plan: &Plan) -> Result<Self, Error> {
        let folder = TempDir::new()?;
        let (platform, platform_address) = start::platform()?;
        let mut deployment = Self {
            folder,
            platform,
            platform_address,
            hosts: Vec::new(),
        };
        for service in &plan.services {
            let file = plan.documents.join(format!("{}.yaml", service.name));
            deployment.apply(&file, 0)?;
        }
        deployment.start_hosts(plan)?;
        deployment.wait_ready(deployment.hosts.len(), plan.services.len())?;
        Ok(deployment)
    }

    fn start_hosts(&mut self, plan: &Plan) -> Result<(), Error> {
        let count = plan.services.iter().map(|s| s.domains.len()).sum();
        let keys = keys::generate(count)
            .map_err(|err| Error::Process("keys".to_owned(), err.to_string()))?;
        let places = plan
            .services
            .iter()
            .flat_map(|service| service.domains.iter().map(move |domain| (service, domain)));
        for (nth, ((service, domain), keys)) in places.zip(&keys).enumerate() {
            let name = format!("{}-{nth}", service.name);
            let settings = self.folder.path().join(format!("{name}.yaml"));
            let platform = self.platform_address;
            fs::write(
                &settings,
                start::settings_text(&name, domain, platform, keys),
            )?;
            let (daemon, addresses) = start::daemon(&name, &settings)?;
            let ledger = self.folder.path().join(format!("{name}.ledger"));
            let (target, target_address) = start::target(&name, service, &addresses, &ledger, nth)?;
            self.hosts.push(Host {
                name,
                service: service.name,
                daemon: Some(daemon),
                addresses,
                target: Some(target),
                target_address,
                ledger,
                settings,
            });
        }
        Ok(())
    }

    /// Applies a document with the product's own command line.
    ///
    /// # Errors
    /// The command fails.
    pub fn apply(&self, file: &Path, read_at: u64) -> Result<String, Error> {
        let output = Command::new(binary("pollenrouter")?)
            .arg("apply")
            .arg(file)
            .arg("--platform")
            .arg(format!("http://{}", self.platform_address))
            .args(["--read-at", &read_at.to_string(), "--author", "demo"])
            .output()?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if output.status.success() {
            return Ok(text);
        }
        let reason = String::from_utf8_lossy(&output.stderr).into_owned();
        Err(Error::Process(
            "apply".to_owned(),
            format!("{text}{reason}"),
        ))
    }

    /// Waits until each daemon has all documents in force and knows so many
    /// targets that serve.
    ///
    /// # Errors
    /// That does not come to be in time.
    pub fn wait_ready(&self, targets: usize, documents: usize) -> Result<(), Error> {
        self.wait("targets and documents", |status| {
            let serving = status["gates"].as_array().map_or(0, |gates| {
                gates.iter().filter(|gate| gate["serving"] == true).count()
            });
            let in_force = status["documents"].as_array().map_or(0, Vec::len);
            serving == targets && in_force == documents
        })
    }

    /// Waits until the status of each running daemon fits.
    ///
    /// # Errors
    /// That does not come to be in time.
    pub fn wait(&self, what: &str, fits: impl Fn(&serde_json::Value) -> bool) -> Result<(), Error> {
        let until = Instant::now() + READY_TIMEOUT;
        for host in self.hosts.iter().filter(|host| host.daemon.is_some()) {
            loop {
                let status = get(host.addresses.operator, "/status");
                if status.as_ref().is_ok_and(&fits) {
                    break;
                }
                if Instant::now() > until {
                    let reason = format!("host {}, {what}: {status:?}", host.name);
                    return Err(Error::NotReady(reason));
                }
                thread::sleep(READY_CHECK);
            }
        }
        Ok(())
    }

    /// Sets the faults of the platform stand-in.
    ///
    /// # Errors
    /// The stand-in does not reply.
    pub fn platform_faults(&self, faults: platform::Faults) -> Result<(), Error> {
        post(self.platform_address, "/control", &faults)
    }
}

impl Host {
    /// Starts the daemon again, with new ports and a new incarnation.
    ///
    /// # Errors
    /// The daemon or the target does not reply.
    pub fn restart_daemon(&mut self) -> Result<(), Error> {
        let (daemon, addresses) = start::daemon(&self.name, &self.settings)?;
        self.daemon = Some(daemon);
        self.addresses = addresses;
        let control = target::Control {
            daemon: Some(self.addresses.announcements),
            ..target::Control::default()
        };
        self.control(&control)
    }

    /// Changes how the target behaves.
    ///
    /// # Errors
    /// The target does not reply.
    pub fn control(&self, control: &target::Control) -> Result<(), Error> {
        post(self.target_address, "/.target/control", control)
    }

    /// Calls that the target runs.
    ///
    /// # Errors
    /// The target does not reply.
    pub fn running(&self) -> Result<u64, Error> {
        let health = get(self.target_address, "/.target/health")?;
        Ok(health["running"].as_u64().unwrap_or(0))
    }
}

/// A program that was built beside this one.
///
/// # Errors
/// This program's folder is unknown.
pub fn binary(name: &str) -> Result<PathBuf, Error> {
    let own = env::current_exe()?;
    // Test programs stand one folder deeper.
    let found = own
        .ancestors()
        .skip(1)
        .map(|folder| folder.join(name))
        .find(|p| p.is_file());
    found.ok_or_else(|| Error::Process(name.to_owned(), "is not built".to_owned()))
}

/// Reads JSON from a stand-in or a daemon.
///
/// # Errors
/// It does not reply with JSON.
pub fn get(address: SocketAddr, path: &str) -> Result<serde_json::Value, Error> {
    let uri = format!("http://{address}{path}");
    let failed = |err: ureq::Error| Error::Http(uri.clone(), err.to_string());
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .max_idle_connections(0)
        .build()
        .into();
    let mut answer = agent.get(&uri).call().map_err(failed)?;
    answer.body_mut().read_json().map_err(failed)
}

fn post(address: SocketAddr, path: &str, value: &impl serde::Serialize) -> Result<(), Error> {
    let uri = format!("http://{address}{path}");
    let sent = ureq::post(&uri).send_json(value);
    sent.map(drop)
        .map_err(|err| Error::Http(uri, err.to_string()))
}
