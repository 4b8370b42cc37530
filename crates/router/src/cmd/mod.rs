//! Subcommands.

mod apply;
mod audit;
mod check;
mod completions;
mod get;
mod keys;
mod run;
mod status;

use std::fs;
use std::path::Path;

use crate::cli::{Cli, Command};
use crate::error::Error;

/// Runs the selected subcommand.
pub fn run(cli: Cli) -> Result<(), Error> {
    match cli.command {
        Command::Run(args) => run::run(&args),
        Command::Check(args) => check::run(&args),
        Command::Apply(args) => apply::run(&args),
        Command::Get(args) => get::run(&args),
        Command::Status(args) => status::run(&args),
        Command::Audit(args) => audit::run(&args),
        Command::Keys(args) => keys::run(&args),
        Command::Completions(args) => {
            completions::run(&args);
            Ok(())
        }
    }
}

fn read_file(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|err| Error::ReadFile(path.to_owned(), err))
}
