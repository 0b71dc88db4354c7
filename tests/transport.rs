//! The transport on real sockets: requests and responses, calls and their results, the pool of idle connections, and
//! the limit on open sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use lichencrank::transport::{
    CallError, CallId, ConnectionId, ListenerKind, Network, Response, Transport, TransportEvent,
};

/// File descriptors that the transport may use.
const MAX_DESCRIPTORS: usize = 72;
/// Sockets that the transport may open with these file descriptors.
const MAX_SOCKETS: usize = 64;
/// Sockets that are reserved for calls.
const RESERVED_FOR_CALLS: usize = MAX_SOCKETS / 8;
/// Idle client connections that are kept for later calls.
const MAX_IDLE_CLIENTS: usize = MAX_SOCKETS / 8;
/// Longest time that an event may take to arrive.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

const EMPTY_OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

fn transport() -> Transport {
    Transport::new(MAX_DESCRIPTORS).expect("an event loop")
}

/// A transport that listens on a free port, and its address.
fn server() -> (Transport, SocketAddr) {
    let address = {
        let free = TcpListener::bind("127.0.0.1:0").expect("a free port");
        free.local_addr().expect("its address")
    };
    let mut transport = transport();
    transport
        .listen(address, ListenerKind::Public)
        .expect("listening");
    (transport, address)
}

/// Waits for the next event; panics if there is none within `EVENT_TIMEOUT`.
fn next_event(transport: &mut Transport) -> TransportEvent {
    let deadline = transport.now().after(EVENT_TIMEOUT);
    loop {
        if let Some(event) = transport.next_event() {
            return event;
        }
        assert!(transport.now() < deadline, "no event arrived in time");
        transport
            .wait_for_events(deadline)
            .expect("the event loop runs");
    }
}

/// The connection and target of the next request.
fn next_request(transport: &mut Transport) -> (ConnectionId, String) {
    match next_event(transport) {
        TransportEvent::Request {
            connection,
            request,
            ..
        } => (connection, request.target),
        other => panic!("no request: {other:?}"),
    }
}

fn start_call(transport: &mut Transport, server: SocketAddr, timeout: Duration) -> CallId {
    transport.call(server, "GET", "/", &[], timeout)
}

/// The result of a call, which has to be the next event.
fn result_of(transport: &mut Transport, started: CallId) -> Result<Response, CallError> {
    match next_event(transport) {
        TransportEvent::Reply { call, result } => {
            assert_eq!(call, started);
            result
        }
        other => panic!("no reply: {other:?}"),
    }
}

fn assert_call_succeeds(transport: &mut Transport, server: SocketAddr) {
    let call = start_call(transport, server, EVENT_TIMEOUT);
    let status = result_of(transport, call).map(|response| response.status);
    assert_eq!(status, Ok(200));
}

/// Handles what is ready at present, without waiting.
fn poll_once(transport: &mut Transport) {
    let now = transport.now();
    transport.wait_for_events(now).expect("the event loop runs");
}

/// Starts a server that answers every request with status 200 and keeps all connections open.
fn start_responder() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            thread::spawn(move || {
                let mut chunk = [0; 1024];
                while stream.read(&mut chunk).is_ok_and(|count| count > 0) {
                    if stream.write_all(EMPTY_OK).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Starts a server that answers the first request on each connection with `response` and closes the connection.
fn start_faulty_responder(response: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let mut chunk = [0; 1024];
            if stream.read(&mut chunk).is_ok_and(|count| count > 0) {
                let _ = stream.write_all(response);
            }
        }
    });
    address
}

/// All bytes that the peer receives until the connection is closed.
fn read_to_end(stream: &mut TcpStream) -> String {
    stream
        .set_read_timeout(Some(EVENT_TIMEOUT))
        .expect("a timeout");
    let mut received = String::new();
    stream
        .read_to_string(&mut received)
        .expect("the connection is closed");
    received
}

#[test]
fn pipelined_requests_in_pieces_are_served_one_after_the_other() {
    let (mut transport, address) = server();
    let mut peer = TcpStream::connect(address).expect("a connection");
    for piece in [
        "GET /first HT",
        "TP/1.1\r\n\r\nGET /second HTTP/1.1\r\n\r\nGET /third HTTP/1.1\r\nConnection: close\r\n",
    ] {
        peer.write_all(piece.as_bytes()).expect("writing");
        thread::sleep(Duration::from_millis(20));
        poll_once(&mut transport);
    }
    for expected in ["/first", "/second"] {
        let (connection, target) = next_request(&mut transport);
        assert_eq!(target, expected);
        poll_once(&mut transport);
        assert!(
            transport.next_event().is_none(),
            "a request before the response to {expected}"
        );
        transport.respond(connection, &Response::new(200, expected.into()));
    }
    peer.write_all(b"\r\n").expect("writing");
    let (connection, target) = next_request(&mut transport);
    assert_eq!(target, "/third");
    transport.respond(connection, &Response::new(201, Vec::new()));
    let received = read_to_end(&mut peer);
    let statuses: Vec<&str> = received.matches("HTTP/1.1 20").collect();
    assert_eq!(statuses.len(), 3, "{received}");
    assert!(received.contains("Connection: close"), "{received}");
    // A response on a connection that awaits none has no effect.
    transport.respond(connection, &Response::new(500, Vec::new()));
    drop(peer);
    poll_once(&mut transport);
}

#[test]
fn a_malformed_request_is_answered_and_its_connection_closed() {
    let (mut transport, address) = server();
    let mut peer = TcpStream::connect(address).expect("a connection");
    peer.write_all(b"GET / HTTP/1.1\r\nExpect: 100-continue\r\n\r\n")
        .expect("writing");
    let receiver = thread::spawn(move || read_to_end(&mut peer));
    while !receiver.is_finished() {
        let deadline = transport.now().after(Duration::from_millis(10));
        transport
            .wait_for_events(deadline)
            .expect("the event loop runs");
        assert!(transport.next_event().is_none());
    }
    let received = receiver.join().expect("the peer received");
    assert!(received.starts_with("HTTP/1.1 417 "), "{received}");
}

#[test]
fn a_call_without_a_response_says_whether_it_may_have_been_processed() {
    let mut transport = transport();
    let closed_address = {
        let free = TcpListener::bind("127.0.0.1:0").expect("a free port");
        free.local_addr().expect("its address")
    };
    let call = start_call(&mut transport, closed_address, EVENT_TIMEOUT);
    assert_eq!(result_of(&mut transport, call), Err(CallError::NotSent));
    let faulty_responses: [&[u8]; 3] = [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
        b"HTTP/9 what?\r\n\r\n",
    ];
    for response in faulty_responses {
        let address = start_faulty_responder(response);
        let call = start_call(&mut transport, address, EVENT_TIMEOUT);
        assert_eq!(
            result_of(&mut transport, call),
            Err(CallError::Lost),
            "{:?}",
            String::from_utf8_lossy(response)
        );
    }
    assert_eq!(transport.socket_usage().open, 0);
}

#[test]
fn a_call_ends_at_its_deadline() {
    let mut transport = transport();
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = silent.local_addr().expect("its address");
    let timeout = Duration::from_millis(100);
    let started_at = transport.now();
    let call = start_call(&mut transport, address, timeout);
    assert_eq!(result_of(&mut transport, call), Err(CallError::Lost));
    assert!(transport.now() >= started_at.after(timeout));
    assert_eq!(transport.socket_usage().open, 0);
}

#[test]
fn a_connection_is_kept_for_the_next_call_until_the_server_closes_it() {
    let mut transport = transport();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let first = start_call(&mut transport, address, EVENT_TIMEOUT);
    let (mut accepted, _) = listener.accept().expect("a connection");
    for call in [first, CallId(first.0 + 1)] {
        if call != first {
            assert_eq!(start_call(&mut transport, address, EVENT_TIMEOUT), call);
        }
        poll_once(&mut transport);
        let mut chunk = [0; 1024];
        assert!(accepted.read(&mut chunk).expect("a request") > 0);
        accepted.write_all(EMPTY_OK).expect("writing");
        assert!(result_of(&mut transport, call).is_ok());
        assert_eq!(transport.socket_usage().open, 1);
    }
    drop(accepted);
    let deadline = transport.now().after(EVENT_TIMEOUT);
    while transport.socket_usage().open > 0 {
        assert!(transport.now() < deadline, "the connection stays open");
        transport
            .wait_for_events(deadline)
            .expect("the event loop runs");
    }
}

/// Guards against exhausting the sockets of the leader. It kept two sockets open for each host, one for the heartbeats
/// and an idle one for commands sent some time before, which exceeded the limit when the number of hosts grew by half.
#[test]
fn the_idle_connection_pool_is_bounded() {
    let mut transport = transport();
    for _ in 0..3 * MAX_IDLE_CLIENTS {
        assert_call_succeeds(&mut transport, start_responder());
        assert!(transport.socket_usage().open <= MAX_IDLE_CLIENTS);
    }
}

/// Calls find a socket no matter how many clients connect.
#[test]
fn a_flood_of_connections_leaves_room_for_calls() {
    let (mut transport, address) = server();
    let responder = start_responder();
    let mut flood = Vec::new();
    for _ in 0..3 * MAX_SOCKETS {
        flood.push(TcpStream::connect(address).expect("a connection"));
        poll_once(&mut transport);
        assert!(transport.socket_usage().open <= MAX_SOCKETS - RESERVED_FOR_CALLS);
    }
    for _ in 0..MAX_SOCKETS {
        assert_call_succeeds(&mut transport, responder);
    }
    drop(flood);
}
