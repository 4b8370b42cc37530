//! Conversion between `hyper` headers and the headers that daemons exchange.

use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};
use pollenrouter_core::http_message;
use smol_str::SmolStr;

/// The end-to-end headers of a message; hop-by-hop and reserved headers are removed.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> Vec<http_message::Header> {
    let named = listed_in_connection(headers);
    headers
        .iter()
        .filter(|(name, _)| http_message::is_end_to_end(name.as_str(), &named))
        .map(|(name, value)| (SmolStr::new(name.as_str()), value.as_bytes().to_vec()))
        .collect()
}

/// Appends headers to a message; headers that `hyper` rejects as invalid are skipped.
pub fn add(headers: &mut HeaderMap, added: &[http_message::Header]) {
    for (name, value) in added {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}

/// The value of a header, if the header is present and its value is printable ASCII.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn listed_in_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
