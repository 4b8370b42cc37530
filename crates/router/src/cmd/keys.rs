//! `pollenrouter keys`.

use pollenrouter_daemon::keys;

use crate::cli;
use crate::error::Error;

/// Prints one `keys` section of the settings for each host.
pub fn run(args: &cli::Keys) -> Result<(), Error> {
    let generated = keys::generate(args.hosts.len())?;
    for (host, keys) in args.hosts.iter().zip(&generated) {
        println!("# {host}\nkeys:");
        print_pem("authority", &keys.authority);
        print_pem("certificate", &keys.certificate);
        print_pem("key", &keys.key);
    }
    Ok(())
}

fn print_pem(name: &str, pem: &str) {
    println!("  {name}: |");
    for line in pem.lines() {
        println!("    {line}");
    }
}
