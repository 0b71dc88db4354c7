//! The reasons why received bytes are rejected.

use thiserror::Error;

use super::{MAX_HEADERS, MAX_HEAD_BYTES};

/// The reason why received bytes are not accepted as an HTTP message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The start line or a header field violates the syntax of HTTP/1.
    #[error("malformed start line or header field")]
    MalformedHead(#[source] httparse::Error),
    /// The head is larger than [`MAX_HEAD_BYTES`].
    #[error("message head is larger than {max} bytes", max = MAX_HEAD_BYTES)]
    HeadTooLarge,
    /// The head has more than [`MAX_HEADERS`] header fields.
    #[error("message has more than {max} header fields", max = MAX_HEADERS)]
    TooManyHeaders,
    /// The value of a header field is not UTF-8.
    #[error("value of a header field is not UTF-8")]
    HeaderNotUtf8,
    /// `Content-Length` is not a decimal number.
    #[error("Content-Length is not a decimal number")]
    InvalidContentLength,
    /// There are several `Content-Length` header fields with different values.
    #[error("several Content-Length header fields differ")]
    ConflictingContentLength,
    /// The body is larger than the limit.
    #[error("message body is larger than {limit} bytes")]
    BodyTooLarge {
        /// Largest body that is accepted, in bytes.
        limit: usize,
    },
    /// The request has a `Transfer-Encoding`; requests may only have a `Content-Length`.
    #[error("Transfer-Encoding is not supported in a request")]
    TransferEncodingUnsupported,
    /// The request has an `Expect` header field.
    #[error("Expect is not supported in a request")]
    ExpectUnsupported,
    /// A chunk of a chunked body doesn't begin with its size.
    #[error("malformed size of a chunk")]
    MalformedChunkSize,
}

impl HttpError {
    /// Status code of the response to a request that is rejected for this reason.
    pub fn status(self) -> u16 {
        match self {
            HttpError::MalformedHead(_)
            | HttpError::HeaderNotUtf8
            | HttpError::InvalidContentLength
            | HttpError::ConflictingContentLength
            | HttpError::MalformedChunkSize => 400,
            // The protocol does not use status 413: a body over the limit counts as a malformed request.
            HttpError::BodyTooLarge { .. } => 400,
            HttpError::TransferEncodingUnsupported => 411,
            HttpError::ExpectUnsupported => 417,
            HttpError::HeadTooLarge | HttpError::TooManyHeaders => 431,
        }
    }
}
