//! `pollenrouter completions`.

use std::io;

use clap::CommandFactory;

use crate::cli;

/// Prints the completion script.
pub fn run(args: &cli::Completions) {
    let mut command = cli::Cli::command();
    let name = command.get_name().to_owned();
    clap_complete::generate(args.shell, &mut command, name, &mut io::stdout());
}
