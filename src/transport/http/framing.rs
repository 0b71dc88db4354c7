//! The header fields that determine where a message ends and whether its connection stays open.

use super::HttpError;

/// The header fields that the transport itself acts on.
#[derive(Debug, Default)]
pub(super) struct Framing {
    /// Length of the body in bytes; `usize::MAX` for larger numbers.
    pub(super) content_length: Option<usize>,
    /// The message has a `Transfer-Encoding`, which is assumed to be `chunked`.
    pub(super) is_chunked: bool,
    /// The sender closes the connection after this exchange.
    pub(super) close: bool,
    /// The message has an `Expect` header field.
    pub(super) has_expect: bool,
    /// `Retry-After` in seconds; `None` if it is a date.
    pub(super) retry_after: Option<u32>,
}

impl Framing {
    /// Reads the header fields of an HTTP/1.`minor_version` message. By default, HTTP/1.0 connections are closed after
    /// an exchange and HTTP/1.1 connections stay open.
    ///
    /// # Errors
    ///
    /// If a value is not UTF-8, or a `Content-Length` is not a number or contradicts another one.
    pub(super) fn read(
        headers: &[httparse::Header],
        minor_version: u8,
    ) -> Result<Framing, HttpError> {
        let mut framing = Framing {
            close: minor_version == 0,
            ..Framing::default()
        };
        for header in headers {
            let value = std::str::from_utf8(header.value).map_err(|_| HttpError::HeaderNotUtf8)?;
            framing.read_field(header.name, value.trim())?;
        }
        Ok(framing)
    }

    fn read_field(&mut self, name: &str, value: &str) -> Result<(), HttpError> {
        if name.eq_ignore_ascii_case("content-length") {
            self.read_content_length(value)?;
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            self.is_chunked = true;
        } else if name.eq_ignore_ascii_case("connection") {
            self.read_connection(value);
        } else if name.eq_ignore_ascii_case("expect") {
            self.has_expect = true;
        } else if name.eq_ignore_ascii_case("retry-after") {
            self.retry_after = value.parse().ok();
        }
        Ok(())
    }

    fn read_content_length(&mut self, value: &str) -> Result<(), HttpError> {
        if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(HttpError::InvalidContentLength);
        }
        // A number that is too large for the type exceeds every limit, and so does the largest value of the type.
        let length = value.parse().unwrap_or(usize::MAX);
        if self.content_length.is_some_and(|earlier| earlier != length) {
            return Err(HttpError::ConflictingContentLength);
        }
        self.content_length = Some(length);
        Ok(())
    }

    fn read_connection(&mut self, value: &str) {
        for option in value.split(',') {
            let option = option.trim();
            if option.eq_ignore_ascii_case("close") {
                self.close = true;
            } else if option.eq_ignore_ascii_case("keep-alive") {
                self.close = false;
            }
        }
    }
}
