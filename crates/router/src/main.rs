//! pollenrouter: a load balancer daemon that runs beside each target.

mod calls;
mod cli;
mod cmd;
mod error;
mod event;
mod fleet;
mod instruments;
mod logging;
mod memory_metrics;
mod platform_io;
mod profile;
mod quota;
mod router;
mod routes;
mod sockets;
mod status;
mod threads;
mod timer;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    match cmd::run(cli::Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("pollenrouter: {err}");
            ExitCode::FAILURE
        }
    }
}
