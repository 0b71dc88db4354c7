//! Why received bytes are rejected.

use thiserror::Error;

use super::{MAX_HEADERS, MAX_HEAD_BYTES};

/// Why received bytes are not a message that this implementation accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The start line or a header field breaks the syntax of HTTP/1.
    #[error("malformed head")]
    MalformedHead(#[source] httparse::Error),
    /// The head is larger than [`MAX_HEAD_BYTES`].
    #[error("head larger than {max} bytes", max = MAX_HEAD_BYTES)]
    HeadTooLarge,
    /// The head has more than [`MAX_HEADERS`] header fields.
    #[error("more than {max} header fields", max = MAX_HEADERS)]
    TooManyHeaders,
    /// The value of a header field is not UTF-8.
    #[error("header value is not UTF-8")]
    HeaderNotUtf8,
    /// `Content-Length` is not a decimal number.
    #[error("Content-Length is not a decimal number")]
    InvalidContentLength,
    /// There are several `Content-Length` header fields with different values.
    #[error("Content-Length header fields differ")]
    ConflictingContentLength,
    /// The body is larger than the limit.
    #[error("body larger than {limit} bytes")]
    BodyTooLarge {
        /// The largest body that is accepted, in bytes.
        limit: usize,
    },
    /// The request has a `Transfer-Encoding`; only a `Content-Length` is supported there.
    #[error("request with Transfer-Encoding")]
    TransferEncodingUnsupported,
    /// The request has an `Expect` header field.
    #[error("request with Expect")]
    ExpectUnsupported,
    /// A chunk of a chunked body doesn't begin with its size.
    #[error("malformed chunk size")]
    MalformedChunkSize,
}

impl HttpError {
    /// The status code of the response to a request that is rejected for this.
    pub fn status(self) -> u16 {
        match self {
            HttpError::MalformedHead(_)
            | HttpError::HeaderNotUtf8
            | HttpError::InvalidContentLength
            | HttpError::ConflictingContentLength
            | HttpError::MalformedChunkSize => 400,
            // The protocol has no 413: a body over the limit is a malformed request like any other.
            HttpError::BodyTooLarge { .. } => 400,
            HttpError::TransferEncodingUnsupported => 411,
            HttpError::ExpectUnsupported => 417,
            HttpError::HeadTooLarge | HttpError::TooManyHeaders => 431,
        }
    }
}
