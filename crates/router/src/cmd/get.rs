//! `pollenrouter get`.

use pollenrouter_core::id;
use pollenrouter_platform::client::Client;
use pollenrouter_platform::object;

use crate::cli;
use crate::error::Error;

/// Prints the document to standard output and its version to standard error.
pub fn run(args: &cli::Get) -> Result<(), Error> {
    let client = Client::new(&args.platform.url);
    let (version, document) = fetch_document(&client, &args.service)?
        .ok_or_else(|| Error::NoDocument(args.service.clone()))?;
    eprintln!("version {version}: change it with `apply --read-at {version}`");
    print!("{}", document.text);
    Ok(())
}

/// Reads a document and its version from the platform.
pub fn fetch_document(
    client: &Client,
    service: &str,
) -> Result<Option<(id::Version, object::Document)>, Error> {
    let key = object::service_key(service);
    let Some(stored) = client.get(&key)? else {
        return Ok(None);
    };
    let document =
        serde_json::from_str(&stored.value).map_err(|err| Error::MalformedObject(key, err))?;
    Ok(Some((stored.version, document)))
}
