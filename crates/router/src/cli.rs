//! Command line arguments.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use pollenrouter_core::id;
use smol_str::SmolStr;

/// Load balancer daemon that runs beside each target.
#[derive(Debug, Parser)]
#[command(version, about, arg_required_else_help = true)]
pub struct Cli {
    /// Subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the daemon; on SIGTERM or SIGINT it finishes the calls in flight and stops.
    Run(Run),
    /// Check settings and service documents; print every finding with its position.
    Check(Check),
    /// Store a service document at the platform, unless it was changed since it was read.
    Apply(Apply),
    /// Print a service document and the version to base a change on.
    Get(Get),
    /// Print the active documents, known members and load of a daemon.
    Status(Status),
    /// Print the changes of documents and members: author, time and versions.
    Audit(Audit),
    /// Generate keys for daemons; print one `keys` section of the settings for each host.
    Keys(Keys),
    /// Print a completion script for a shell.
    Completions(Completions),
}

/// Arguments of `run`.
#[derive(Debug, Args)]
pub struct Run {
    /// Settings file, in YAML.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}

/// Arguments of `check`.
#[derive(Debug, Args)]
pub struct Check {
    /// Files with settings or service documents, in YAML or JSON.
    #[arg(required = true, value_name = "FILE")]
    pub files: Vec<PathBuf>,
}

/// Arguments of `apply`.
#[derive(Debug, Args)]
pub struct Apply {
    /// File with the service document, in YAML or JSON.
    #[arg(value_name = "FILE")]
    pub file: PathBuf,
    /// Version that the change is based on, as printed by `get`; 0 for a new service.
    #[arg(long, value_name = "VERSION", default_value_t = 0)]
    pub read_at: id::Version,
    /// Author recorded in the audit trail.
    #[arg(long, env = "USER", default_value = "operator")]
    pub author: SmolStr,
    #[command(flatten)]
    pub platform: Platform,
}

/// Arguments of `get`.
#[derive(Debug, Args)]
pub struct Get {
    /// Name of the service.
    pub service: id::ServiceName,
    #[command(flatten)]
    pub platform: Platform,
}

/// Arguments of `status`.
#[derive(Debug, Args)]
pub struct Status {
    /// Operator address of a daemon, such as 10.0.0.1:7400.
    #[arg(long, value_name = "ADDRESS")]
    pub daemon: SmolStr,
}

/// Arguments of `audit`.
#[derive(Debug, Args)]
pub struct Audit {
    /// Print only changes of this service's document and its rejections.
    #[arg(long)]
    pub service: Option<id::ServiceName>,
    #[command(flatten)]
    pub platform: Platform,
}

/// Arguments of `keys`.
#[derive(Debug, Args)]
pub struct Keys {
    /// Hosts to generate keys for; one new certificate authority signs all of them.
    #[arg(required = true, value_name = "HOST")]
    pub hosts: Vec<id::HostName>,
}

/// Arguments of `completions`.
#[derive(Debug, Args)]
pub struct Completions {
    /// Shell to generate the script for.
    pub shell: Shell,
}

/// Address of the platform.
#[derive(Debug, Args)]
pub struct Platform {
    /// Base address of the platform's object API.
    #[arg(long = "platform", env = "POLLENROUTER_PLATFORM", value_name = "URL")]
    pub url: SmolStr,
}
