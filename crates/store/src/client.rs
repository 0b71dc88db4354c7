//! A blocking client over TCP, for programs that embed the libraries.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use thiserror::Error;

use crate::outcome::Outcome;
use crate::request::{HttpRequest, Request};
use crate::ConditionalStore;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Most header fields that a response may have.
const MAX_HEADERS: usize = 48;
/// Size of the buffer for one read.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Largest response and largest response body.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A client of the store that sends one request at a time, on one connection that is kept open for the next request.
#[derive(Debug)]
pub struct BlockingClient {
    address: SocketAddr,
    response_timeout: Duration,
    connection: Option<TcpStream>,
}

/// The reason why there is no response.
#[derive(Debug, Error)]
enum CallError {
    /// The request was not sent.
    #[error("the request was not sent: {0}")]
    NotSent(#[source] io::Error),
    /// The store may have processed the request or may still do so.
    #[error("no response was received: {0}")]
    NoResponse(#[source] ResponseError),
}

/// The reason why no response could be read.
#[derive(Debug, Error)]
enum ResponseError {
    #[error(transparent)]
    Connection(#[from] io::Error),
    #[error("the connection was closed before the end of the response")]
    Closed,
    #[error("malformed response head: {0}")]
    MalformedHead(#[from] httparse::Error),
    #[error("Content-Length is not a decimal number")]
    InvalidContentLength,
    #[error("the response is larger than {MAX_RESPONSE_BYTES} bytes")]
    TooLarge,
}

/// A response of the store.
struct HttpResponse {
    status: u16,
    body: Vec<u8>,
    /// The store closes the connection after this response.
    closes_connection: bool,
}

impl BlockingClient {
    /// A client of the store at an address. A response counts as lost if it takes longer than `response_timeout` plus
    /// the time that the request itself asks the store to wait.
    pub fn new(address: SocketAddr, response_timeout: Duration) -> BlockingClient {
        BlockingClient {
            address,
            response_timeout,
            connection: None,
        }
    }

    /// Sends a request and waits for its response. After an error the connection is closed.
    fn call(
        &mut self,
        request: &HttpRequest,
        timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.connect().map_err(CallError::NotSent)?,
        };
        connection
            .set_read_timeout(Some(timeout))
            .map_err(CallError::NotSent)?;
        let response = exchange(&mut connection, request, self.address);
        let response = response.map_err(CallError::NoResponse)?;
        if !response.closes_connection {
            self.connection = Some(connection);
        }
        Ok(response)
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let connection = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT)?;
        // Each small request is followed by a wait for its response: Nagle's algorithm would only delay it.
        let _ = connection.set_nodelay(true);
        Ok(connection)
    }
}

impl ConditionalStore for BlockingClient {
    fn execute(&mut self, request: &Request) -> Outcome {
        let max_wait = match request {
            Request::Watch { max_wait, .. } => *max_wait,
            _ => Duration::ZERO,
        };
        let http_request = request.render();
        match self.call(&http_request, self.response_timeout + max_wait) {
            Ok(response) => Outcome::read(http_request.kind, response.status, &response.body),
            Err(error) => {
                tracing::debug!(
                    "state service: {} {} failed: {error}",
                    http_request.method,
                    http_request.target
                );
                match error {
                    CallError::NotSent(_) => Outcome::Unavailable,
                    CallError::NoResponse(_) => Outcome::Unknown,
                }
            }
        }
    }
}

fn exchange(
    connection: &mut TcpStream,
    request: &HttpRequest,
    host: SocketAddr,
) -> Result<HttpResponse, ResponseError> {
    connection.write_all(&encode_request(request, host))?;
    read_response(connection)
}

fn encode_request(request: &HttpRequest, host: SocketAddr) -> Vec<u8> {
    let HttpRequest {
        method,
        target,
        body,
        ..
    } = request;
    let body_length = body.len();
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {body_length}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

fn read_response(connection: &mut TcpStream) -> Result<HttpResponse, ResponseError> {
    let mut input = Vec::new();
    let mut chunk = [0; READ_CHUNK_BYTES];
    loop {
        if let Some(response) = parse_response(&input)? {
            return Ok(response);
        }
        if input.len() > MAX_RESPONSE_BYTES {
            return Err(ResponseError::TooLarge);
        }
        match connection.read(&mut chunk) {
            Ok(0) => return Err(ResponseError::Closed),
            Ok(count) => input.extend_from_slice(&chunk[..count]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
}

/// Parses the response at the start of `input`; `None` while it is incomplete.
fn parse_response(input: &[u8]) -> Result<Option<HttpResponse>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(body_start) = head.parse(input)? else {
        return Ok(None);
    };
    let body_length = header_value(head.headers, "content-length")
        .unwrap_or("0")
        .trim();
    let body_length: usize = body_length
        .parse()
        .map_err(|_| ResponseError::InvalidContentLength)?;
    if body_length > MAX_RESPONSE_BYTES {
        return Err(ResponseError::TooLarge);
    }
    let connection_header = header_value(head.headers, "connection");
    let body = input.get(body_start..body_start + body_length);
    Ok(body.map(|body| HttpResponse {
        status: head.code.unwrap_or(0),
        body: body.to_vec(),
        closes_connection: connection_header
            .is_some_and(|value| value.eq_ignore_ascii_case("close")),
    }))
}

/// The value of the first header field with a name, if it is UTF-8.
fn header_value<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    let mut headers = headers.iter();
    let found = headers.find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok()
}
