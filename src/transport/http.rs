//! HTTP/1.1 messages: incremental parsing with limits, and writing.

/// The largest body of a request or response to users and workers.
pub const MAX_BODY: usize = 64 * 1024;
const MAX_HEAD: usize = 8 * 1024;
const MAX_HEADERS: usize = 48;
/// Responses from the state service have no size limit of their own; this one bounds memory.
const MAX_REPLY: usize = 4 * 1024 * 1024;

/// A parsed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// HTTP target.
    pub target: String,
    /// Body.
    pub body: Vec<u8>,
    /// The sender closes the connection after the response.
    pub close: bool,
}

/// A response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// Seconds for the `Retry-After` header.
    pub retry_after: Option<u32>,
    /// Set on parsed responses: the peer wants the connection closed.
    pub close: bool,
}

impl Response {
    /// A response without `Retry-After`.
    pub fn new(status: u16, body: Vec<u8>) -> Response {
        Response {
            status,
            body,
            ..Response::default()
        }
    }

    /// An answer that asks the client to come back after some seconds.
    pub fn retry_later(status: u16, after_s: u32) -> Response {
        Response {
            status,
            retry_after: Some(after_s),
            ..Response::default()
        }
    }
}

/// Why bytes are not a request that this server takes; the status says it to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub u16);

/// How far parsing came.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<T> {
    /// More bytes are needed.
    Partial,
    /// A whole message, and how many bytes it took.
    Whole(T, usize),
}

struct Framing {
    length: Option<usize>,
    chunked: bool,
    close: bool,
    expects: bool,
    retry_after: Option<u32>,
}

fn framing(headers: &[httparse::Header], version: u8) -> Result<Framing, ()> {
    let mut f = Framing {
        length: None,
        chunked: false,
        close: version == 0,
        expects: false,
        retry_after: None,
    };
    for h in headers {
        let value = std::str::from_utf8(h.value).map_err(|_| ())?.trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(());
            }
            // A number too large for the type is just as much over the limit.
            let length = value.parse().unwrap_or(usize::MAX);
            if f.length.is_some_and(|l| l != length) {
                return Err(());
            }
            f.length = Some(length);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            f.chunked = true;
        } else if h.name.eq_ignore_ascii_case("connection") {
            for word in value.split(',') {
                if word.trim().eq_ignore_ascii_case("close") {
                    f.close = true;
                } else if word.trim().eq_ignore_ascii_case("keep-alive") {
                    f.close = false;
                }
            }
        } else if h.name.eq_ignore_ascii_case("expect") {
            f.expects = true;
        } else if h.name.eq_ignore_ascii_case("retry-after") {
            f.retry_after = value.parse().ok();
        }
    }
    Ok(f)
}

/// Parses the request at the start of `bytes`.
pub fn parse_request(bytes: &[u8]) -> Result<Parsed<Request>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(n)) if n > MAX_HEAD => return Err(Malformed(431)),
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD => return Err(Malformed(431)),
        Ok(httparse::Status::Partial) => return Ok(Parsed::Partial),
        Err(httparse::Error::TooManyHeaders) => return Err(Malformed(431)),
        Err(_) => return Err(Malformed(400)),
    };
    let framing = framing(head.headers, head.version.unwrap_or(1)).map_err(|()| Malformed(400))?;
    if framing.chunked {
        return Err(Malformed(411));
    }
    if framing.expects {
        return Err(Malformed(417));
    }
    let length = framing.length.unwrap_or(0);
    if length > MAX_BODY {
        return Err(Malformed(400));
    }
    let Some(body) = bytes.get(start..start + length) else {
        return Ok(Parsed::Partial);
    };
    let request = Request {
        method: head.method.unwrap_or("").to_owned(),
        target: head.path.unwrap_or("").to_owned(),
        body: body.to_vec(),
        close: framing.close,
    };
    Ok(Parsed::Whole(request, start + length))
}

/// Parses the response at the start of `bytes`; `ended` says that no more bytes will come.
pub fn parse_response(bytes: &[u8], ended: bool) -> Result<Parsed<Response>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD => return Ok(Parsed::Partial),
        Ok(httparse::Status::Partial) | Err(_) => return Err(Malformed(400)),
    };
    let framing = framing(head.headers, head.version.unwrap_or(1)).map_err(|()| Malformed(400))?;
    let mut response = Response {
        status: head.code.unwrap_or(0),
        retry_after: framing.retry_after,
        close: framing.close,
        body: Vec::new(),
    };
    let rest = &bytes[start..];
    if framing.chunked {
        return match dechunk(rest)? {
            None => Ok(Parsed::Partial),
            Some((body, used)) => {
                response.body = body;
                Ok(Parsed::Whole(response, start + used))
            }
        };
    }
    let length = match framing.length {
        Some(length) => length,
        None if matches!(response.status, 204 | 304) => 0,
        None if ended => rest.len(),
        None if framing.close => return Ok(Parsed::Partial),
        None => 0,
    };
    if length > MAX_REPLY {
        return Err(Malformed(413));
    }
    match rest.get(..length) {
        None => Ok(Parsed::Partial),
        Some(body) => {
            response.body = body.to_vec();
            Ok(Parsed::Whole(response, start + length))
        }
    }
}

fn dechunk(mut rest: &[u8]) -> Result<Option<(Vec<u8>, usize)>, Malformed> {
    let whole = rest.len();
    let mut body = Vec::new();
    loop {
        let (head, size) = match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((head, size))) => (head, size),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Malformed(400)),
        };
        if size > (MAX_REPLY - body.len()) as u64 {
            return Err(Malformed(413));
        }
        let size = size as usize;
        let Some(data) = rest.get(head..head + size + 2) else {
            return Ok(None);
        };
        body.extend_from_slice(&data[..size]);
        rest = &rest[head + size + 2..];
        if size == 0 {
            return Ok(Some((body, whole - rest.len())));
        }
    }
}

fn reason(status: u16) -> &'static str {
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

/// Appends a response to `out`.
pub fn write_response(out: &mut Vec<u8>, response: &Response, close: bool) {
    use std::io::Write;
    // Writing to a vector can't fail.
    let _ = write!(
        out,
        "HTTP/1.1 {} {}\r\nContent-Length: {}\r\n",
        response.status,
        reason(response.status),
        response.body.len()
    );
    if !response.body.is_empty() {
        out.extend_from_slice(b"Content-Type: application/cbor\r\n");
    }
    if let Some(after) = response.retry_after {
        let _ = write!(out, "Retry-After: {after}\r\n");
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&response.body);
}

/// Appends a request to `out`.
pub fn write_request(out: &mut Vec<u8>, host: &str, method: &str, target: &str, body: &[u8]) {
    use std::io::Write;
    let _ = write!(
        out,
        "{method} {target} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {}\r\n",
        body.len()
    );
    if !body.is_empty() {
        out.extend_from_slice(b"Content-Type: application/cbor\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}
