//! Parses the head of a request and how its body is delimited.

use bytes::Bytes;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::http::request;
use hyper::{HeaderMap, Method, Request, Uri};
use quick_error::quick_error;

/// Maximum number of headers in a request.
const HEADERS_MAX: usize = 64;

quick_error! {
    /// Why bytes are not a request head.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum HeadError {
        /// The bytes violate the protocol.
        Malformed(reason: &'static str) {
            display("{reason}")
        }
        /// The head has too many headers or bytes.
        TooLarge {
            display("the head is too large")
        }
    }
}

/// How the body of a request is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By the number of its bytes, 0 for no body.
    Length(u64),
    /// In chunks.
    Chunked,
}

/// Head of a request.
#[derive(Debug)]
pub struct Head {
    /// Method, target and headers.
    pub parts: request::Parts,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Whether the connection closes after the response.
    pub closes: bool,
}

/// Parses a head from the start of `bytes`. Returns the head and its length, or `None` if it
/// is incomplete.
///
/// # Errors
/// [`HeadError`] if the bytes cannot be the start of a head.
pub fn parse(bytes: &[u8]) -> Result<Option<(Head, usize)>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    let len = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
        Err(_) => return Err(HeadError::Malformed("the head is not HTTP/1.1")),
    };
    let is_current = parsed.version == Some(1);
    let mut parts = Request::new(()).into_parts().0;
    parts.method = method(parsed.method)?;
    parts.uri = uri(parsed.path)?;
    parts.headers = header_map(parsed.headers)?;
    let (framing, is_ambiguous) = framing(&parts.headers, is_current)?;
    let head = Head {
        framing,
        expects_continue: is_current && has_token(&parts.headers, &EXPECT, "100-continue"),
        // The bytes after a request that states two lengths could be another request.
        closes: is_ambiguous || closes(&parts.headers, is_current),
        parts,
    };
    Ok(Some((head, len)))
}

fn method(name: Option<&str>) -> Result<Method, HeadError> {
    let parsed = Method::from_bytes(name.unwrap_or_default().as_bytes());
    parsed.map_err(|_| HeadError::Malformed("the method is invalid"))
}

fn uri(target: Option<&str>) -> Result<Uri, HeadError> {
    let target = Bytes::copy_from_slice(target.unwrap_or_default().as_bytes());
    Uri::from_maybe_shared(target).map_err(|_| HeadError::Malformed("the target is invalid"))
}

fn header_map(headers: &[httparse::Header]) -> Result<HeaderMap, HeadError> {
    let mut map = HeaderMap::with_capacity(headers.len());
    let invalid = HeadError::Malformed("a header is invalid");
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| invalid)?;
        let value = HeaderValue::from_bytes(header.value).map_err(|_| invalid)?;
        map.append(name, value);
    }
    Ok(map)
}

/// How the body is delimited, and whether the head states two ways. Chunks take precedence
/// over a length (RFC 9112, section 6.3).
fn framing(headers: &HeaderMap, is_current: bool) -> Result<(Framing, bool), HeadError> {
    let length = content_length(headers)?;
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(encoding) = encodings.next() else {
        return Ok((Framing::Length(length.unwrap_or(0)), false));
    };
    let is_chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
    if !is_current || !is_chunked || encodings.next().is_some() {
        return Err(HeadError::Malformed(
            "the transfer encoding is not supported",
        ));
    }
    Ok((Framing::Chunked, length.is_some()))
}

fn content_length(headers: &HeaderMap) -> Result<Option<u64>, HeadError> {
    let invalid = HeadError::Malformed("the content length is invalid");
    let mut length = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        let text = value.to_str().map_err(|_| invalid)?;
        let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        let parsed = text.parse::<u64>().ok().filter(|_| is_number);
        let parsed = parsed.ok_or(invalid)?;
        if length.is_some_and(|length| length != parsed) {
            return Err(invalid);
        }
        length = Some(parsed);
    }
    Ok(length)
}

fn closes(headers: &HeaderMap, is_current: bool) -> bool {
    has_token(headers, &CONNECTION, "close")
        || !is_current && !has_token(headers, &CONNECTION, "keep-alive")
}

fn has_token(headers: &HeaderMap, name: &HeaderName, token: &str) -> bool {
    let values = headers.get_all(name).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let mut tokens = texts.flat_map(|text| text.split(','));
    tokens.any(|found| found.trim().eq_ignore_ascii_case(token))
}
