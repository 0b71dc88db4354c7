//! The outcome that the blocking client reports for a missing or malformed response, and which connections it reuses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::Duration;

use lichencrank_store::{BlockingClient, ConditionalStore, Outcome, Request};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a server that sends the next response to each request and closes the connection after those marked with
/// `Close::Yes`. The receiver gets, for each request, the number of the connection that it arrived on.
fn serve(responses: Vec<(&'static str, Close)>) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let mut responses = responses.into_iter();
        for (number, stream) in listener.incoming().enumerate() {
            let Ok(mut stream) = stream else { return };
            let mut chunk = [0; 1024];
            while stream.read(&mut chunk).is_ok_and(|count| count > 0) {
                let Some((response, close)) = responses.next() else {
                    return;
                };
                let _ = sender.send(number);
                if stream.write_all(response.as_bytes()).is_err() || close == Close::Yes {
                    break;
                }
            }
        }
    });
    (address, receiver)
}

#[derive(Clone, Copy, PartialEq)]
enum Close {
    Yes,
    No,
}

const NOT_FOUND: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
const NOT_FOUND_AND_CLOSE: &str =
    "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

#[test]
fn a_missing_or_malformed_response_has_an_unknown_outcome() {
    let responses = [
        "",
        "HTTP/1.1 404 Not Found\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
        "HTTP/1.1 404 Not Found\r\nContent-Length: x\r\n\r\n",
        "HTTP/1.1 404 Not Found\r\nContent-Length: 4194305\r\n\r\n",
        "what?\r\n\r\n",
        // Well-formed HTTP whose body is not a value of the store's protocol.
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n\x7f",
        "HTTP/1.1 500 Fault\r\nContent-Length: 0\r\n\r\n",
    ];
    for response in responses {
        let (address, _requests) = serve(vec![(response, Close::Yes)]);
        let mut client = BlockingClient::new(address, RESPONSE_TIMEOUT);
        let outcome = client.execute(&Request::Get("a".to_owned()));
        assert!(
            matches!(outcome, Outcome::Unknown),
            "{response:?}: {outcome:?}"
        );
    }
}

#[test]
fn a_connection_is_reused_until_the_store_closes_it_or_a_response_is_malformed() {
    let (address, connections) = serve(vec![
        (NOT_FOUND, Close::No),
        (NOT_FOUND, Close::No),
        (NOT_FOUND_AND_CLOSE, Close::Yes),
        (NOT_FOUND, Close::No),
        ("what?\r\n\r\n", Close::No),
        (NOT_FOUND, Close::No),
    ]);
    let mut client = BlockingClient::new(address, RESPONSE_TIMEOUT);
    let is_key_absent = [true, true, true, true, false, true];
    for (number, expected) in is_key_absent.into_iter().enumerate() {
        let outcome = client.execute(&Request::Get("a".to_owned()));
        assert_eq!(
            matches!(outcome, Outcome::Item(None)),
            expected,
            "request {number}: {outcome:?}"
        );
    }
    drop(client);
    let connections: Vec<usize> = connections.iter().take(6).collect();
    assert_eq!(connections, [0, 0, 0, 1, 1, 2]);
}
