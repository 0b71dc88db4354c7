//! HTTP/1.1 messages: incremental parsing with size limits, and writing.

mod error;
mod framing;
mod parse;
mod write;

pub use error::HttpError;
pub use parse::{parse_request, parse_response, Parsed};
pub use write::{write_request, write_response};

/// Largest request body that is accepted. The protocol sets the same limit for the responses to users and workers.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Largest response body that is accepted. The protocol sets no limit for the responses of the state service; this one
/// bounds the memory that a call can use.
pub const MAX_RESPONSE_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Largest head (start line and header fields) that is accepted.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Most header fields that a message may have.
pub const MAX_HEADERS: usize = 48;

/// A parsed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Request method, such as `GET`.
    pub method: String,
    /// Request target: path and query, without percent-decoding.
    pub target: String,
    /// Body, at most [`MAX_BODY_BYTES`].
    pub body: Vec<u8>,
    /// Whether the client asks for the connection to be closed after the response.
    pub close: bool,
}

/// A response, received or to be sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body, at most [`MAX_RESPONSE_BODY_BYTES`] if it was received.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header field, in seconds.
    pub retry_after: Option<u32>,
    /// In a received response: whether the server closes the connection after it. Not used in a response that is sent.
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

    /// A response without a body that asks the client to retry after `after_s` seconds.
    pub fn retry_later(status: u16, after_s: u32) -> Response {
        Response {
            status,
            retry_after: Some(after_s),
            ..Response::default()
        }
    }
}
