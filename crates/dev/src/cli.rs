//! Command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use pollenrouter_dev::target;

/// Stand-ins, demo and measurements for pollenrouter.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the platform stand-in; prints its address.
    Platform,
    /// Run a target stand-in.
    Target(target::Profile),
    /// Run the Wartebank deployment under load, a restart and a drain.
    Demo(Demo),
    /// Measure the latency that the path adds to a direct call.
    Measure(Measure),
    /// Load one service on a schedule, beside computed baselines.
    Load(Load),
    /// Measure what a daemon spends as one quantity grows.
    Capacity(Capacity),
}

/// Arguments of `load`.
#[derive(Debug, Args)]
pub struct Load {
    /// Folder with the examples.
    #[arg(long, default_value = "examples")]
    pub examples: PathBuf,
    /// Mean load as a share of what all slots can serve.
    #[arg(long = "load", default_value_t = 0.7)]
    pub share: f64,
    /// Length, seconds.
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Seed of arrivals and service times.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// File for the report in JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// File for the plot in SVG.
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

/// Arguments of `capacity`.
#[derive(Debug, Args)]
pub struct Capacity {
    /// The quantity that grows.
    pub what: Slope,
    /// Its sizes.
    #[arg(required = true)]
    pub sizes: Vec<usize>,
}

/// A quantity that grows.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Slope {
    /// Daemons in the fleet.
    Members,
    /// Services with a document.
    Services,
    /// Size of each document.
    DocumentBytes,
    /// Calls per second.
    Calls,
    /// Tickets that a gate remembers.
    Tickets,
}

/// Arguments of `demo`.
#[derive(Debug, Args)]
pub struct Demo {
    /// Folder with the examples.
    #[arg(long, default_value = "examples")]
    pub examples: PathBuf,
    /// Length of the load, seconds.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Calls per second.
    #[arg(long, default_value_t = 400)]
    pub rate: u64,
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Arguments of `measure`.
#[derive(Debug, Args)]
pub struct Measure {
    /// Folder with the examples.
    #[arg(long, default_value = "examples")]
    pub examples: PathBuf,
    /// Calls of each kind.
    #[arg(long, default_value_t = 4000)]
    pub calls: usize,
    /// Calls per second of each kind.
    #[arg(long, default_value_t = 500)]
    pub rate: u64,
}
