//! `pollenrouter keys`.

use pollenrouter_daemon::keys;

use crate::cli;
use crate::error::Error;

/// Prints one `keys` section of settings for each host.
pub fn run(args: &cli::Keys) -> Result<(), Error> {
    let all = keys::generate(args.hosts.len())?;
    for (host, keys) in args.hosts.iter().zip(&all) {
        println!("# {host}\nkeys:");
        print("authority", &keys.authority);
        print("certificate", &keys.certificate);
        print("key", &keys.key);
    }
    Ok(())
}

fn print(name: &str, pem: &str) {
    println!("  {name}: |");
    for line in pem.lines() {
        println!("    {line}");
    }
}
