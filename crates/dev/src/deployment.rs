//! Complete deployment on loopback: platform stand-in, daemons and target stand-ins.

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
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Service to deploy.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: &'static str,
    /// Failure domain of each target.
    pub domains: Vec<&'static str>,
    /// Slots of each target.
    pub slots: u32,
    /// Mean service time, microseconds.
    pub service_time_us: u64,
    /// Number of slow runs (stragglers) per thousand.
    pub stragglers_per_thousand: u32,
}

/// A deployment to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Directory with one document for each service.
    pub documents: PathBuf,
    /// Services to deploy.
    pub services: Vec<ServicePlan>,
    /// Lines that are added to the settings of each daemon.
    pub settings: String,
}

/// Addresses of a daemon, as it logs them at startup.
#[derive(Clone, Debug, Deserialize)]
pub struct Addresses {
    /// Listener for public callers.
    pub public: SocketAddr,
    /// Listener for calls from services.
    pub internal: SocketAddr,
    /// Listener for the announcements of the target.
    pub announcements: SocketAddr,
    /// Listener for operators.
    pub operator: SocketAddr,
    /// Address for traffic between daemons.
    pub daemons: SocketAddr,
}

/// Host with a daemon and its target.
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// Service that the target runs.
    pub service: &'static str,
    /// Daemon; `None` while it is stopped.
    pub daemon: Option<Process>,
    /// Addresses of the daemon.
    pub addresses: Addresses,
    /// Target; `None` once it has stopped.
    pub target: Option<Process>,
    /// Address of the target.
    pub target_address: SocketAddr,
    /// Ledger file of the target.
    pub ledger: PathBuf,
    /// Settings file of the daemon.
    pub settings: PathBuf,
}

/// A running deployment.
pub struct Deployment {
    /// Temporary directory with the settings and ledgers.
    pub dir: TempDir,
    /// The platform stand-in.
    pub platform: Process,
    /// Address of the platform stand-in.
    pub platform_address: SocketAddr,
    /// Hosts, in the order of the plan.
    pub hosts: Vec<Host>,
}

/// Plan of the Wartebank example: 3 services with 4 targets each.
#[must_use]
pub fn wartebank(examples: &Path) -> Plan {
    let service = |name, service_time_us, stragglers_per_thousand| ServicePlan {
        name,
        domains: vec!["graz-nord", "graz-sued", "leoben", "kapfenberg"],
        slots: 10,
        service_time_us,
        stragglers_per_thousand,
    };
    Plan {
        documents: examples.join("wartebank"),
        services: vec![
            service("board", 5000, 20),
            service("assignment", 5000, 0),
            service("seats", 5000, 20),
        ],
        settings: String::new(),
    }
}

impl Deployment {
    /// Starts all processes and waits until every daemon knows every target.
    ///
    /// # Errors
    /// A process cannot be started, or the deployment is not ready in time.
    pub fn start(plan: &Plan) -> Result<Self, Error> {
        let dir = TempDir::new()?;
        let (platform, platform_address) = start::platform()?;
        let mut deployment = Self {
            dir,
            platform,
            platform_address,
            hosts: Vec::new(),
        };
        for service in &plan.services {
            let file = plan.documents.join(format!("{}.yaml", service.name));
            deployment.apply_document(&file, 0)?;
        }
        deployment.start_hosts(plan)?;
        deployment.wait_until_ready(deployment.hosts.len(), plan.services.len())?;
        Ok(deployment)
    }

    fn start_hosts(&mut self, plan: &Plan) -> Result<(), Error> {
        let count = plan
            .services
            .iter()
            .map(|service| service.domains.len())
            .sum();
        let keys = keys::generate(count)
            .map_err(|err| Error::Process("keys".to_owned(), err.to_string()))?;
        let placements = plan
            .services
            .iter()
            .flat_map(|service| service.domains.iter().map(move |domain| (service, domain)));
        for (index, ((service, domain), keys)) in placements.zip(&keys).enumerate() {
            let name = format!("{}-{index}", service.name);
            let settings = self.dir.path().join(format!("{name}.yaml"));
            let platform = self.platform_address;
            let rendered = start::render_settings(&name, domain, platform, keys);
            fs::write(&settings, rendered + &plan.settings)?;
            let (daemon, addresses) = start::daemon(&name, &settings)?;
            let ledger = self.dir.path().join(format!("{name}.ledger"));
            let (target, target_address) =
                start::target(&name, service, &addresses, &ledger, index)?;
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

    /// Applies a document with the `apply` command of the product. `base_version` is the
    /// version that the change is based on; returns the output of the command.
    ///
    /// # Errors
    /// The command fails.
    pub fn apply_document(&self, file: &Path, base_version: u64) -> Result<String, Error> {
        let output = Command::new(binary_path("pollenrouter")?)
            .arg("apply")
            .arg(file)
            .arg("--platform")
            .arg(format!("http://{}", self.platform_address))
            .args(["--read-at", &base_version.to_string(), "--author", "demo"])
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

    /// Waits until each running daemon uses `documents` documents and knows `targets`
    /// serving targets.
    ///
    /// # Errors
    /// A daemon does not reach that state in time.
    pub fn wait_until_ready(&self, targets: usize, documents: usize) -> Result<(), Error> {
        self.wait_for_status("targets and documents", |status| {
            let serving = status["gates"].as_array().map_or(0, |gates| {
                gates.iter().filter(|gate| gate["serving"] == true).count()
            });
            let active = status["documents"].as_array().map_or(0, Vec::len);
            serving == targets && active == documents
        })
    }

    /// Waits until the status of each running daemon matches.
    ///
    /// # Errors
    /// A daemon does not reach that state in time.
    pub fn wait_for_status(
        &self,
        description: &str,
        matches: impl Fn(&serde_json::Value) -> bool,
    ) -> Result<(), Error> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for host in self.hosts.iter().filter(|host| host.daemon.is_some()) {
            loop {
                let status = get_json(host.addresses.operator, "/status");
                if status.as_ref().is_ok_and(&matches) {
                    break;
                }
                if Instant::now() > deadline {
                    let reason =
                        format!("host {}, waiting for {description}: {status:?}", host.name);
                    return Err(Error::NotReady(reason));
                }
                thread::sleep(READY_POLL_INTERVAL);
            }
        }
        Ok(())
    }

    /// Sets the faults that the platform stand-in injects.
    ///
    /// # Errors
    /// The stand-in does not reply.
    pub fn set_platform_faults(&self, faults: platform::Faults) -> Result<(), Error> {
        post_json(self.platform_address, "/control", &faults)
    }
}

impl Host {
    /// Starts the daemon again, with new ports and a new incarnation, and tells the
    /// target its new address.
    ///
    /// # Errors
    /// The daemon cannot be started or the target does not reply.
    pub fn restart_daemon(&mut self) -> Result<(), Error> {
        let (daemon, addresses) = start::daemon(&self.name, &self.settings)?;
        self.daemon = Some(daemon);
        self.addresses = addresses;
        let control = target::Control {
            daemon: Some(self.addresses.announcements),
            ..target::Control::default()
        };
        self.set_control(&control)
    }

    /// Replaces the runtime settings of the target.
    ///
    /// # Errors
    /// The target does not reply.
    pub fn set_control(&self, control: &target::Control) -> Result<(), Error> {
        post_json(self.target_address, "/.target/control", control)
    }

    /// Number of calls that the target is running.
    ///
    /// # Errors
    /// The target does not reply.
    pub fn running_calls(&self) -> Result<u64, Error> {
        let health = get_json(self.target_address, "/.target/health")?;
        Ok(health["running"].as_u64().unwrap_or(0))
    }
}

/// Path of a program that was built together with this one.
///
/// # Errors
/// The path of this program is unknown, or the program was not built.
pub fn binary_path(name: &str) -> Result<PathBuf, Error> {
    let program = env::current_exe()?;
    // Test programs are one directory deeper than the binaries.
    let binary = program
        .ancestors()
        .skip(1)
        .map(|dir| dir.join(name))
        .find(|path| path.is_file());
    binary.ok_or_else(|| Error::Process(name.to_owned(), "binary not found".to_owned()))
}

/// Reads JSON from a stand-in or a daemon.
///
/// # Errors
/// There is no reply, or it is not JSON.
pub fn get_json(address: SocketAddr, path: &str) -> Result<serde_json::Value, Error> {
    let uri = format!("http://{address}{path}");
    let to_error = |err: ureq::Error| Error::Http(uri.clone(), err.to_string());
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .max_idle_connections(0)
        .build()
        .into();
    let mut response = agent.get(&uri).call().map_err(to_error)?;
    response.body_mut().read_json().map_err(to_error)
}

fn post_json(address: SocketAddr, path: &str, value: &impl serde::Serialize) -> Result<(), Error> {
    let uri = format!("http://{address}{path}");
    let sent = ureq::post(&uri).send_json(value);
    sent.map(drop)
        .map_err(|err| Error::Http(uri, err.to_string()))
}
