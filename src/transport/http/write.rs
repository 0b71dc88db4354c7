//! Writing of HTTP messages.

use std::io::Write;

use super::Response;

/// Header field of every message that has a body.
const CONTENT_TYPE: &[u8] = b"Content-Type: application/cbor\r\n";

/// Appends a response to `out`; `close` announces that the connection will be closed after it.
pub fn write_response(out: &mut Vec<u8>, response: &Response, close: bool) {
    // Writing to a vector can't fail.
    let _ = write!(
        out,
        "HTTP/1.1 {} {}\r\nContent-Length: {}\r\n",
        response.status,
        reason_phrase(response.status),
        response.body.len()
    );
    if !response.body.is_empty() {
        out.extend_from_slice(CONTENT_TYPE);
    }
    if let Some(after_s) = response.retry_after {
        let _ = write!(out, "Retry-After: {after_s}\r\n");
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&response.body);
}

/// Appends a request to `out`. `host` is the value of the `Host` header field, `target` the path and query.
pub fn write_request(out: &mut Vec<u8>, host: &str, method: &str, target: &str, body: &[u8]) {
    // Writing to a vector can't fail.
    let _ = write!(
        out,
        "{method} {target} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {}\r\n",
        body.len()
    );
    if !body.is_empty() {
        out.extend_from_slice(CONTENT_TYPE);
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

/// The text after the status code, which clients ignore. Status codes that the service doesn't send share one text.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        411 => "Length Required",
        417 => "Expectation Failed",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        _ => "Service Unavailable",
    }
}
