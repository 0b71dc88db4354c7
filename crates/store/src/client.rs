//! A blocking client over TCP, for programs that embed the libraries.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::outcome::Outcome;
use crate::request::{HttpRequest, Request};
use crate::ConditionalStore;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Answers have this many header fields at the most.
const MAX_HEADERS: usize = 48;
/// Bytes read at once.
const READ_STEP: usize = 16 * 1024;
/// A larger answer is no answer of the store.
const MAX_ANSWER: usize = 4 * 1024 * 1024;

/// Talks to the store over one connection, one request at a time.
#[derive(Debug)]
pub struct BlockingClient {
    address: SocketAddr,
    answer_timeout: Duration,
    connection: Option<TcpStream>,
}

/// Why there is no answer.
enum CallError {
    /// The request surely did not leave.
    NotSent,
    /// The request may have been carried out.
    NoAnswer,
}

/// An answer's status and body.
struct HttpAnswer {
    status: u16,
    body: Vec<u8>,
    closes: bool,
}

impl BlockingClient {
    /// A client of the store at that address. An answer that takes longer counts as lost.
    pub fn new(address: SocketAddr, answer_timeout: Duration) -> BlockingClient {
        BlockingClient {
            address,
            answer_timeout,
            connection: None,
        }
    }

    fn call(&mut self, request: &HttpRequest, timeout: Duration) -> Result<HttpAnswer, CallError> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.connect()?,
        };
        let limited = connection.set_read_timeout(Some(timeout));
        limited.map_err(|_| CallError::NotSent)?;
        let sent = connection.write_all(&encode_request(request, self.address));
        sent.map_err(|_| CallError::NoAnswer)?;
        let answer = read_answer(&mut connection).ok_or(CallError::NoAnswer)?;
        if !answer.closes {
            self.connection = Some(connection);
        }
        Ok(answer)
    }

    fn connect(&self) -> Result<TcpStream, CallError> {
        let opened = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT);
        let connection = opened.map_err(|_| CallError::NotSent)?;
        // Requests are small and each waits for its answer.
        let _ = connection.set_nodelay(true);
        Ok(connection)
    }
}

impl ConditionalStore for BlockingClient {
    fn execute(&mut self, request: &Request) -> Outcome {
        let hold = match request {
            Request::Watch { hold, .. } => *hold,
            _ => Duration::ZERO,
        };
        let http = request.render();
        match self.call(&http, self.answer_timeout + hold) {
            Ok(answer) => Outcome::read(http.kind, answer.status, &answer.body),
            Err(CallError::NotSent) => Outcome::Refused,
            Err(CallError::NoAnswer) => Outcome::Unknown,
        }
    }
}

fn encode_request(request: &HttpRequest, host: SocketAddr) -> Vec<u8> {
    let HttpRequest {
        method,
        target,
        body,
        ..
    } = request;
    let length = body.len();
    let head =
        format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Reads one answer; `None` if it does not come whole or is malformed.
fn read_answer(connection: &mut TcpStream) -> Option<HttpAnswer> {
    let mut input = Vec::new();
    let mut step = [0; READ_STEP];
    loop {
        if let Some(answer) = parse_answer(&input)? {
            return Some(answer);
        }
        if input.len() > MAX_ANSWER {
            return None;
        }
        match connection.read(&mut step) {
            Ok(0) => return None,
            Ok(count) => input.extend_from_slice(&step[..count]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}

/// `Some(None)` while more bytes are needed, `None` if it is malformed.
fn parse_answer(input: &[u8]) -> Option<Option<HttpAnswer>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response.parse(input) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Some(None),
        Err(_) => return None,
    };
    let field = |name: &str| {
        let named = response
            .headers
            .iter()
            .find(|h| h.name.eq_ignore_ascii_case(name));
        named.and_then(|header| std::str::from_utf8(header.value).ok())
    };
    let length: usize = field("content-length").unwrap_or("0").trim().parse().ok()?;
    if length > MAX_ANSWER {
        return None;
    }
    let Some(body) = input.get(head..head + length) else {
        return Some(None);
    };
    Some(Some(HttpAnswer {
        status: response.code?,
        body: body.to_vec(),
        closes: field("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")),
    }))
}
