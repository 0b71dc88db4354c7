//! A small HTTP server and client for loopback addresses. The server has a thread for each connection. Bodies
//! are CBOR.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use ciborium::Value;
use lichencrank_store::codec::{decode, encode};

use crate::values::map;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// The most bytes that one read takes from a connection.
const READ_CHUNK_BYTES: usize = 4096;
/// The blank line between the head of a message and its body.
const HEAD_DELIMITER: &[u8] = b"\r\n\r\n";

/// A response to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The body; null if it is empty or not CBOR.
    pub body: Value,
}

impl HttpResponse {
    /// A response with status 200 and a body.
    pub fn ok(body: Value) -> HttpResponse {
        HttpResponse { status: 200, body }
    }

    /// A response without a body.
    pub fn without_body(status: u16) -> HttpResponse {
        HttpResponse {
            status,
            body: Value::Null,
        }
    }

    /// A response whose body has a text in the field `error`.
    pub fn error(status: u16, error: &str) -> HttpResponse {
        HttpResponse {
            status,
            body: map(vec![("error", error.into())]),
        }
    }

    /// A response with status 503 and no body.
    pub fn unavailable() -> HttpResponse {
        HttpResponse::without_body(503)
    }
}

/// Serves requests on a free port of the loopback address until the process ends, and returns the address.
/// `handle` gets the method, target and body of each request.
pub fn serve(
    handle: impl Fn(&str, &str, &Value) -> HttpResponse + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, handle: &dyn Fn(&str, &str, &Value) -> HttpResponse) {
    let mut input = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut input) {
        let mut words = request.start_line.split_whitespace();
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let response = handle(method, target, &request.body);
        let body = encode(&response.body);
        let (status, length) = (response.status, body.len());
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n");
        let sent = stream.write_all(&[head.as_bytes(), &body].concat());
        if sent.is_err() {
            return;
        }
    }
}

/// Sends one request on a new connection. `None` if the connection fails, or no valid response arrives within
/// the timeout.
pub fn call(server: SocketAddr, method: &str, target: &str, body: &[u8]) -> Option<HttpResponse> {
    let mut stream = TcpStream::connect_timeout(&server, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
    let length = body.len();
    let head = format!(
        "{method} {target} HTTP/1.1\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(&[head.as_bytes(), body].concat()).ok()?;
    let response = read_message(&mut stream, &mut Vec::new())?;
    let status = response.start_line.split_whitespace().nth(1)?;
    Some(HttpResponse {
        status: status.parse().ok()?,
        body: response.body,
    })
}

/// A request or a response.
struct Message {
    start_line: String,
    body: Value,
}

/// Reads the next message. `input` holds the bytes received after the previous message. `None` if the
/// connection ends before the message is complete.
fn read_message(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; READ_CHUNK_BYTES];
    loop {
        if let Some(message) = take_message(input) {
            return Some(message);
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => input.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Removes the message at the start of the input, if it is complete.
fn take_message(input: &mut Vec<u8>) -> Option<Message> {
    let head_length = input
        .windows(HEAD_DELIMITER.len())
        .position(|window| window == HEAD_DELIMITER)?;
    let head = String::from_utf8_lossy(&input[..head_length]).into_owned();
    let body_start = head_length + HEAD_DELIMITER.len();
    let body_end = body_start + content_length(&head);
    let body = input.get(body_start..body_end)?;
    let message = Message {
        start_line: head.lines().next().unwrap_or("").to_owned(),
        body: decode(body).unwrap_or(Value::Null),
    };
    input.drain(..body_end);
    Some(message)
}

fn content_length(head: &str) -> usize {
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    let length = fields.find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    length
        .and_then(|(_, value)| value.trim().parse().ok())
        .unwrap_or(0)
}
