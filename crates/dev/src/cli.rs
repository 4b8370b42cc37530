//! Command-line arguments of the development tool.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use pollenrouter_dev::target;

/// Stand-ins, demo and measurements for pollenrouter.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Cli {
    /// Subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the platform stand-in and print its address.
    Platform,
    /// Run a target stand-in and print its address.
    Target(target::Profile),
    /// Run the Wartebank example under load, with a daemon restart and a target drain.
    Demo(Demo),
    /// Measure the latency that daemons add to a direct call.
    Measure(Measure),
    /// Run an open-loop load on one service and compare it with simulated baselines.
    Load(Load),
    /// Measure the resource use of daemons as one dimension grows.
    Capacity(Capacity),
}

/// Arguments of `load`.
#[derive(Debug, Args)]
pub struct Load {
    /// Directory with the examples.
    #[arg(long, default_value = "examples")]
    pub examples: PathBuf,
    /// Mean offered load as a fraction of the capacity of all slots.
    #[arg(long = "load", default_value_t = 0.7)]
    pub share: f64,
    /// Duration of the load, seconds.
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Random seed of arrivals and service times.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// File to write the JSON report to.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// File to write the SVG plot to.
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

/// Arguments of `capacity`.
#[derive(Debug, Args)]
pub struct Capacity {
    /// Dimension to vary.
    pub what: Dimension,
    /// Sizes to measure, in order.
    #[arg(required = true)]
    pub sizes: Vec<usize>,
}

/// Dimension that `capacity` varies.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Dimension {
    /// Number of daemons.
    Members,
    /// Number of services with a document.
    Services,
    /// Size of each document, bytes.
    DocumentBytes,
    /// Calls per second.
    Calls,
    /// Number of tickets that a gate remembers.
    Tickets,
}

/// Arguments of `demo`.
#[derive(Debug, Args)]
pub struct Demo {
    /// Directory with the examples.
    #[arg(long, default_value = "examples")]
    pub examples: PathBuf,
    /// Duration of the load, seconds.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Calls per second.
    #[arg(long, default_value_t = 400)]
    pub rate: u64,
    /// Random seed of the load.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Arguments of `measure`.
#[derive(Debug, Args)]
pub struct Measure {
    /// Directory with the examples.
    #[arg(long, default_value = "examples")]
    pub examples: PathBuf,
    /// Number of calls of each kind.
    #[arg(long, default_value_t = 4000)]
    pub calls: usize,
    /// Calls per second of each kind.
    #[arg(long, default_value_t = 500)]
    pub rate: u64,
}
