//! Conversion between heads of the HTTP library and heads passed on.

use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};
use pollenrouter_core::http_message;
use smol_str::SmolStr;

/// End-to-end headers of a message.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> Vec<http_message::Header> {
    let named = named_by_connection(headers);
    headers
        .iter()
        .filter(|(name, _)| http_message::is_end_to_end(name.as_str(), &named))
        .map(|(name, value)| (SmolStr::new(name.as_str()), value.as_bytes().to_vec()))
        .collect()
}

/// Adds headers to a message; one that the library rejects is left out.
pub fn add(headers: &mut HeaderMap, added: &[http_message::Header]) {
    for (name, value) in added {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}

/// The text of a header, if it is there and is text.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
