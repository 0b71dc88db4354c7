//! A small HTTP server and client on loopback, with a thread for each connection. Bodies are CBOR.

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
/// How many bytes are read at once.
const READ_CHUNK_BYTES: usize = 4096;
/// What separates the head of a message from its body.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A response to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Body; null if it is empty or no CBOR.
    pub body: Value,
}

impl HttpResponse {
    /// Status 200 with a body.
    pub fn ok(body: Value) -> HttpResponse {
        HttpResponse { status: 200, body }
    }

    /// A status alone.
    pub fn without_body(status: u16) -> HttpResponse {
        HttpResponse {
            status,
            body: Value::Null,
        }
    }

    /// A status with a text in the field `error`.
    pub fn error(status: u16, error: &str) -> HttpResponse {
        HttpResponse {
            status,
            body: map(vec![("error", error.into())]),
        }
    }

    /// Status 503: the service is out of order.
    pub fn unavailable() -> HttpResponse {
        HttpResponse::without_body(503)
    }
}

/// Serves requests on a free port until the process ends. `handle` gets their methods, targets and bodies.
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

/// Sends one request on a connection of its own. `None` if there was no response in time.
pub fn call(to: SocketAddr, method: &str, target: &str, body: &[u8]) -> Option<HttpResponse> {
    let mut stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT).ok()?;
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

/// A request or response.
struct Message {
    start_line: String,
    body: Value,
}

/// Reads the next message; `input` holds what was received beyond the one before. `None` if the connection
/// ends first.
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

/// Takes the message at the start of the input, if it is complete.
fn take_message(input: &mut Vec<u8>) -> Option<Message> {
    let head_length = input
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)?;
    let head = String::from_utf8_lossy(&input[..head_length]).into_owned();
    let body_start = head_length + HEAD_END.len();
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
