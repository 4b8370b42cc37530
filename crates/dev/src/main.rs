//! Development tool: stand-ins, demo, load generator and measurements.

#![allow(clippy::cast_precision_loss, reason = "all figures are far below 2^52")]

mod baseline;
mod capacity;
mod cli;
mod demo;
mod load;
mod measure;
mod plot;

use std::process::ExitCode;

use clap::Parser;
use pollenrouter_dev::{error, platform, target};

use crate::cli::{Cli, Command};

fn main() -> ExitCode {
    match run(Cli::parse()) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("pollenrouter-dev: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: Cli) -> Result<ExitCode, error::Error> {
    match cli.command {
        Command::Platform => platform::run().map(|()| ExitCode::SUCCESS),
        Command::Target(profile) => target::run(profile).map(|()| ExitCode::SUCCESS),
        Command::Demo(args) => demo::run(&args),
        Command::Capacity(args) => capacity::run(&args).map(|()| ExitCode::SUCCESS),
        Command::Load(args) => load::run(&args).map(|()| ExitCode::SUCCESS),
        Command::Measure(args) => measure::run(&args).map(|()| ExitCode::SUCCESS),
    }
}
