//! `pollenrouter get`.

use pollenrouter_core::id;
use pollenrouter_platform::client::Client;
use pollenrouter_platform::object;

use crate::cli;
use crate::error::Error;

/// Prints the document; the version goes to the error output.
pub fn run(args: &cli::Get) -> Result<(), Error> {
    let client = Client::new(&args.platform.url);
    let (version, document) =
        document(&client, &args.service)?.ok_or_else(|| Error::NoService(args.service.clone()))?;
    eprintln!("version {version}: change it with `apply --read-at {version}`");
    print!("{}", document.text);
    Ok(())
}

/// Reads a document with its version.
pub fn document(
    client: &Client,
    service: &str,
) -> Result<Option<(id::Version, object::Document)>, Error> {
    let key = object::service_key(service);
    let Some(found) = client.get(&key)? else {
        return Ok(None);
    };
    let document = serde_json::from_str(&found.value).map_err(|err| Error::Object(key, err))?;
    Ok(Some((found.version, document)))
}
