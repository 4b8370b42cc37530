//! Command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use pollenrouter_core::id;
use smol_str::SmolStr;

/// Load balancer daemon that stands beside each target.
#[derive(Debug, Parser)]
#[command(version, about, arg_required_else_help = true)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the daemon until SIGTERM or SIGINT, which finish calls in flight first.
    Run(Run),
    /// Check settings and service documents; print every finding with its place.
    Check(Check),
    /// Put a service document in force, if nobody has changed it since it was read.
    Apply(Apply),
    /// Print a service document and the version to base a change on.
    Get(Get),
    /// Print what a daemon has in force, which members it knows and its load.
    Status(Status),
    /// Print who changed which document or member, when, and from which version.
    Audit(Audit),
    /// Print a daemon's keys for its settings, one set for each host named.
    Keys(Keys),
    /// Print completions for a shell.
    Completions(Completions),
}

/// Arguments of `run`.
#[derive(Debug, Args)]
pub struct Run {
    /// Settings in YAML.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}

/// Arguments of `check`.
#[derive(Debug, Args)]
pub struct Check {
    /// Settings or service documents, in YAML or JSON.
    #[arg(required = true, value_name = "FILE")]
    pub files: Vec<PathBuf>,
}

/// Arguments of `apply`.
#[derive(Debug, Args)]
pub struct Apply {
    /// Service document, in YAML or JSON.
    #[arg(value_name = "FILE")]
    pub file: PathBuf,
    /// Version that `get` printed; 0 for a new service.
    #[arg(long, value_name = "VERSION", default_value_t = 0)]
    pub read_at: id::Version,
    /// Author, for the audit trail.
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
    /// Only this service's document.
    #[arg(long)]
    pub service: Option<id::ServiceName>,
    #[command(flatten)]
    pub platform: Platform,
}

/// Arguments of `keys`.
#[derive(Debug, Args)]
pub struct Keys {
    /// Hosts to make keys for, under one new authority.
    #[arg(required = true, value_name = "HOST")]
    pub hosts: Vec<id::HostName>,
}

/// Arguments of `completions`.
#[derive(Debug, Args)]
pub struct Completions {
    /// Shell to complete for.
    pub shell: Shell,
}

/// Where the platform is.
#[derive(Debug, Args)]
pub struct Platform {
    /// Base address of the platform's object API.
    #[arg(long = "platform", env = "POLLENROUTER_PLATFORM", value_name = "URL")]
    pub url: SmolStr,
}
