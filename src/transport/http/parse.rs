//! Incremental parsing: each function examines all bytes that have been received and reports whether they begin with a
//! complete message.

use super::framing::Framing;
use super::{
    HttpError, Request, Response, MAX_BODY_BYTES, MAX_HEADERS, MAX_HEAD_BYTES,
    MAX_RESPONSE_BODY_BYTES,
};

/// Result of parsing the bytes received so far.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<T> {
    /// More bytes are needed.
    Partial,
    /// The bytes begin with a complete message.
    Complete {
        /// The message.
        message: T,
        /// Size of the message in bytes; the next message begins after it.
        length: usize,
    },
}

/// Bytes between the data of a chunk and the next chunk.
const CHUNK_TERMINATOR: &[u8] = b"\r\n";

/// Parses the request at the start of `bytes`.
///
/// # Errors
///
/// If `bytes` are not the beginning of a supported request, or a limit is exceeded. [`HttpError::status`] is the status
/// of the response to the client.
pub fn parse_request(bytes: &[u8]) -> Result<Parsed<Request>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let body_start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length > MAX_HEAD_BYTES => {
            return Err(HttpError::HeadTooLarge)
        }
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD_BYTES => {
            return Err(HttpError::HeadTooLarge)
        }
        Ok(httparse::Status::Partial) => return Ok(Parsed::Partial),
        Err(error) => return Err(head_error(error)),
    };
    let framing = Framing::read(head.headers, head.version.unwrap_or(1))?;
    if framing.is_chunked {
        return Err(HttpError::TransferEncodingUnsupported);
    }
    if framing.has_expect {
        return Err(HttpError::ExpectUnsupported);
    }
    let body_length = framing.content_length.unwrap_or(0);
    if body_length > MAX_BODY_BYTES {
        return Err(HttpError::BodyTooLarge {
            limit: MAX_BODY_BYTES,
        });
    }
    let length = body_start + body_length;
    let Some(body) = bytes.get(body_start..length) else {
        return Ok(Parsed::Partial);
    };
    let message = Request {
        method: head.method.unwrap_or("").to_owned(),
        target: head.path.unwrap_or("").to_owned(),
        body: body.to_vec(),
        close: framing.close,
    };
    Ok(Parsed::Complete { message, length })
}

/// Parses the response at the start of `bytes`; `peer_closed` says that the server has closed its side, so that no more
/// bytes will arrive.
///
/// # Errors
///
/// If `bytes` are not the beginning of a response, or a limit is exceeded.
pub fn parse_response(bytes: &[u8], peer_closed: bool) -> Result<Parsed<Response>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let body_start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => {
            return Ok(Parsed::Partial)
        }
        Ok(httparse::Status::Partial) => return Err(HttpError::HeadTooLarge),
        Err(error) => return Err(head_error(error)),
    };
    let framing = Framing::read(head.headers, head.version.unwrap_or(1))?;
    let status = head.code.unwrap_or(0);
    let after_head = &bytes[body_start..];
    let body = if framing.is_chunked {
        parse_chunked_body(after_head)?
    } else {
        parse_plain_body(after_head, &framing, status, peer_closed)?
    };
    let Some(body) = body else {
        return Ok(Parsed::Partial);
    };
    let message = Response {
        status,
        body: body.data,
        retry_after: framing.retry_after,
        close: framing.close,
    };
    Ok(Parsed::Complete {
        message,
        length: body_start + body.received_bytes,
    })
}

fn head_error(error: httparse::Error) -> HttpError {
    match error {
        httparse::Error::TooManyHeaders => HttpError::TooManyHeaders,
        other => HttpError::MalformedHead(other),
    }
}

/// A complete body.
struct Body {
    data: Vec<u8>,
    /// Number of received bytes that encode the body; larger than its data if it was chunked.
    received_bytes: usize,
}

/// The body of a response without `Transfer-Encoding`; `None` while it is incomplete.
fn parse_plain_body(
    after_head: &[u8],
    framing: &Framing,
    status: u16,
    peer_closed: bool,
) -> Result<Option<Body>, HttpError> {
    let length = match framing.content_length {
        Some(length) => length,
        None if matches!(status, 204 | 304) => 0,
        None if peer_closed => after_head.len(),
        // The body extends until the server closes the connection.
        None if framing.close => return Ok(None),
        None => 0,
    };
    if length > MAX_RESPONSE_BODY_BYTES {
        return Err(HttpError::BodyTooLarge {
            limit: MAX_RESPONSE_BODY_BYTES,
        });
    }
    let data = after_head.get(..length).map(<[u8]>::to_vec);
    Ok(data.map(|data| Body {
        data,
        received_bytes: length,
    }))
}

/// The body of a response with chunked encoding; `None` while it is incomplete.
fn parse_chunked_body(bytes: &[u8]) -> Result<Option<Body>, HttpError> {
    let mut rest = bytes;
    let mut data = Vec::new();
    loop {
        let (start, size) = match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete(chunk)) => chunk,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpError::MalformedChunkSize),
        };
        if size > (MAX_RESPONSE_BODY_BYTES - data.len()) as u64 {
            return Err(HttpError::BodyTooLarge {
                limit: MAX_RESPONSE_BODY_BYTES,
            });
        }
        let end = start + size as usize;
        let next = end + CHUNK_TERMINATOR.len();
        if rest.len() < next {
            return Ok(None);
        }
        data.extend_from_slice(&rest[start..end]);
        rest = &rest[next..];
        // The last chunk is empty. Trailer fields after it are not supported.
        if size == 0 {
            let received_bytes = bytes.len() - rest.len();
            return Ok(Some(Body {
                data,
                received_bytes,
            }));
        }
    }
}
