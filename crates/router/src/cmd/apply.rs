//! `pollenrouter apply`.

use pollenrouter_operator::document;
use pollenrouter_platform::client::Client;
use pollenrouter_platform::object;

use crate::cli;
use crate::cmd::{self, check, get};
use crate::error::Error;
use crate::platform_io;

/// Checks a document and stores it if the platform still has the version it is based on.
pub fn run(args: &cli::Apply) -> Result<(), Error> {
    let text = cmd::read_file(&args.file)?;
    let service = document::check(&text)
        .map_err(|findings| Error::Findings(check::print_findings(&args.file, &findings)))?;
    let client = Client::new(&args.platform.url);
    let key = object::service_key(&service.name);
    let mut document = get::fetch_document(&client, &service.name)?
        .map(|(_, document)| document)
        .unwrap_or_default();
    document.text = text;
    let change = platform_io::new_change(&args.author, "apply", args.read_at);
    object::record_change(&mut document.changes, change);
    let value =
        serde_json::to_string(&document).map_err(|err| Error::MalformedObject(key.clone(), err))?;
    let version = client.put_idempotent(&key, &value, args.read_at)?;
    println!("service `{}` is at version {version}", service.name);
    Ok(())
}
