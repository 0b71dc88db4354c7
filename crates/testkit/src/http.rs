//! A small HTTP server and client on loopback, a thread for each connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use ciborium::Value;
use lichencrank_store::codec::{decode, encode};

/// Locks, also after a panic elsewhere.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reads one message: its first line and its body.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = head
                .lines()
                .filter_map(|l| l.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, v)| v.trim().parse::<usize>().ok())
                .unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some((head.lines().next()?.to_owned(), body));
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
        }
    }
}

/// Serves requests on a free port, a thread for each connection.
pub fn serve(
    handle: impl Fn(&str, &str, &Value) -> (u16, Value) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("its address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || answer_all(stream, &*handle));
        }
    });
    at
}

fn answer_all(mut stream: TcpStream, handle: &dyn Fn(&str, &str, &Value) -> (u16, Value)) {
    let mut buffer = Vec::new();
    while let Some((line, body)) = read_message(&mut stream, &mut buffer) {
        let mut words = line.split_whitespace();
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let body = decode(&body).unwrap_or(Value::Null);
        let (status, answer) = handle(method, target, &body);
        let answer = encode(&answer);
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
            answer.len()
        );
        if stream
            .write_all(&[head.as_bytes(), &answer].concat())
            .is_err()
        {
            return;
        }
    }
}

/// One request on a connection of its own; `None` if there was no answer in time.
pub fn call(to: SocketAddr, method: &str, target: &str, body: &[u8]) -> Option<(u16, Value)> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let length = body.len();
    let head = format!(
        "{method} {target} HTTP/1.1\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(&[head.as_bytes(), body].concat()).ok()?;
    let (line, body) = read_message(&mut stream, &mut Vec::new())?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, decode(&body).unwrap_or(Value::Null)))
}
