//! Writes responses as bytes.

use std::time::SystemTime;

use bytes::{BufMut, Bytes, BytesMut};
use hyper::header::{CONNECTION, CONTENT_LENGTH, DATE, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};

use crate::output::Output;

/// Interim response to a caller that waits before it sends its body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Appends a response to `out`. `to_head_request` leaves the body out; `closes` announces that
/// the connection closes after the response.
pub fn response(out: &mut Output, response: &Response<Bytes>, to_head_request: bool, closes: bool) {
    let has_no_body = has_no_body(response.status());
    out.append(|out| {
        head(out, response, to_head_request, closes);
    });
    if !to_head_request && !has_no_body {
        out.append_body(response.body());
    }
}

fn has_no_body(status: StatusCode) -> bool {
    status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}

fn head(out: &mut BytesMut, response: &Response<Bytes>, to_head_request: bool, closes: bool) {
    let status = response.status();
    let reason = status.canonical_reason().unwrap_or("Unknown");
    let body = response.body();
    out.reserve(512);
    out.put_slice(b"HTTP/1.1 ");
    out.put_slice(status.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(reason.as_bytes());
    out.put_slice(b"\r\n");
    for (name, value) in response.headers() {
        if ![CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING].contains(name) {
            header(out, name.as_str(), value.as_bytes());
        }
    }
    if !response.headers().contains_key(DATE) {
        let date = httpdate::fmt_http_date(SystemTime::now());
        header(out, DATE.as_str(), date.as_bytes());
    }
    if !(has_no_body(status) || to_head_request && body.is_empty()) {
        let len = body.len().to_string();
        header(out, CONTENT_LENGTH.as_str(), len.as_bytes());
    }
    if closes {
        header(out, CONNECTION.as_str(), b"close");
    }
    out.put_slice(b"\r\n");
}

fn header(out: &mut BytesMut, name: &str, value: &[u8]) {
    out.put_slice(name.as_bytes());
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
}
