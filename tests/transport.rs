//! The limit of sockets: what comes in, and what is kept for calls to come, each have their bound.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use lichencrank::transport::{ListenerKind, Network, Transport, TransportEvent};

/// As many as the transport leaves of 72.
const MOST: usize = 64;

/// Answers every request on every connection, and keeps them all open.
fn answers() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("its address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            thread::spawn(move || {
                let mut chunk = [0; 1024];
                while stream.read(&mut chunk).is_ok_and(|n| n > 0) {
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                    if stream.write_all(answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    at
}

/// True if the call was answered.
fn call(transport: &mut Transport, to: SocketAddr) -> bool {
    let limit = Duration::from_secs(20);
    let asked = transport.call(to, "GET", "/", &[], limit);
    loop {
        let until = transport.now().after(limit);
        transport.wait_for_events(until).expect("the event loop");
        while let Some(event) = transport.next_event() {
            if let TransportEvent::Reply { call, result } = event {
                assert_eq!(call, asked);
                return result.is_ok_and(|r| r.status == 200);
            }
        }
    }
}

/// A leader once held two sockets for each machine: one for its reports and one for the commands it
/// was sent some time ago. At half as many machines again that was more than the limit.
#[test]
fn connections_kept_for_calls_are_bounded() {
    let mut transport = Transport::new(72).expect("an event loop");
    for _ in 0..3 * MOST / 8 {
        assert!(call(&mut transport, answers()));
        assert!(transport.socket_usage().open <= MOST / 8);
    }
}

/// However many connect, own calls find a socket.
#[test]
fn a_flood_leaves_room_for_own_calls() {
    let mut transport = Transport::new(72).expect("an event loop");
    let at = {
        let free = TcpListener::bind("127.0.0.1:0").expect("a port");
        free.local_addr().expect("its address")
    };
    transport
        .listen(at, ListenerKind::Public)
        .expect("listening");
    let to = answers();
    let mut flood = Vec::new();
    for _ in 0..3 * MOST {
        flood.push(TcpStream::connect(at).expect("a connection"));
        let now = transport.now();
        transport.wait_for_events(now).expect("the event loop");
        assert!(transport.socket_usage().open <= MOST - MOST / 8);
    }
    for _ in 0..MOST {
        assert!(call(&mut transport, to));
    }
    drop(flood);
}
