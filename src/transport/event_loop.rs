//! The event loop: every socket of the process, their time limits, and the limit of sockets.

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use slab::Slab;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::client::{self, CallError, CallId, ClientConn};
use super::http::{self, Request, Response};
use super::server::{self, ConnId, ServerConn};
use super::timers::Timers;
use super::{Network, SocketUsage};
use crate::types::Time;

/// What arrived from the network.
#[derive(Debug)]
pub enum TransportEvent {
    /// A request arrived.
    Request {
        /// Connection that waits for the response.
        conn: ConnId,
        /// Address that it came through.
        listener: ListenerKind,
        /// The request.
        request: Request,
    },
    /// A call has its outcome.
    Reply {
        /// The call.
        call: CallId,
        /// Its response, or why there is none.
        result: Result<Response, CallError>,
    },
}

/// The addresses that a node listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    /// Users, workers and health checks.
    Public,
    /// The service's own processes.
    Internal,
}

enum Socket {
    Listener(TcpListener, ListenerKind),
    Server(Box<ServerConn>),
    Client(Box<ClientConn>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Deadline {
    Call(CallId, usize),
    Conn(ConnId),
    /// Accepting failed, and no event will tell of the connections that wait.
    Accept(usize),
}

/// A peer must finish a request it began, or read its response, within this time.
const SLOW: Duration = Duration::from_secs(10);
/// A connection without requests is closed after this time.
const IDLE: Duration = Duration::from_secs(90);
/// Kept idle connections to one address.
const KEPT: usize = 8;
/// This part of the sockets stays for our own calls, so that what comes in, however much, can't
/// cut us off from the state service and the cloud.
const OWN_PART: usize = 8;
/// At most this part of the sockets is kept open for calls to come: a machine costs one socket for
/// its reports all the time, and a second one only while it is being told something.
const KEPT_PART: usize = 8;
/// When accepting is tried again after it failed.
const ACCEPT_AGAIN: Duration = Duration::from_millis(100);
/// Accepts at one wake-up, so that a flood can't keep other work waiting.
const ACCEPTS: usize = 64;

/// Sockets, timers and HTTP on one event loop.
pub struct Transport {
    poll: Poll,
    events: Events,
    start: Instant,
    sockets: Slab<Socket>,
    serial: u64,
    kept: HashMap<SocketAddr, Vec<usize>>,
    /// All kept connections by their last calls: the first has been idle the longest.
    idle_calls: BTreeMap<CallId, usize>,
    deadlines: Timers<Deadline>,
    happened: VecDeque<TransportEvent>,
    max_sockets: usize,
    accept_again: Vec<usize>,
}

impl Transport {
    /// Opens an event loop that holds at most so many sockets.
    pub fn new(max_sockets: usize) -> std::io::Result<Transport> {
        Ok(Transport {
            poll: Poll::new()?,
            events: Events::with_capacity(256),
            start: Instant::now(),
            sockets: Slab::new(),
            serial: 0,
            kept: HashMap::new(),
            idle_calls: BTreeMap::new(),
            deadlines: Timers::default(),
            happened: VecDeque::new(),
            // The poller, standard streams and the like need some of them.
            max_sockets: max_sockets.saturating_sub(8),
            accept_again: Vec::new(),
        })
    }

    /// Listens on an address.
    pub fn listen(&mut self, address: SocketAddr, listener: ListenerKind) -> std::io::Result<()> {
        let mut socket = TcpListener::bind(address)?;
        let entry = self.sockets.vacant_entry();
        self.poll
            .registry()
            .register(&mut socket, Token(entry.key()), Interest::READABLE)?;
        entry.insert(Socket::Listener(socket, listener));
        Ok(())
    }

    /// Waits until something happens, at most until `until`.
    pub fn wait_for_events(&mut self, until: Time) -> std::io::Result<()> {
        let mut wait = until.since(self.now());
        if let Some(next) = self.deadlines.next_due() {
            wait = wait.min(next.since(self.now()));
        }
        if !self.happened.is_empty() || !self.accept_again.is_empty() {
            wait = Duration::ZERO;
        }
        match self.poll.poll(&mut self.events, Some(wait)) {
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        let ready: Vec<(usize, bool, bool)> = self
            .events
            .iter()
            .map(|e| {
                let broken = e.is_error() || e.is_read_closed();
                let readable = e.is_readable() || broken;
                let writable = e.is_writable() || e.is_error() || e.is_write_closed();
                (e.token().0, readable, writable)
            })
            .collect();
        for slot in std::mem::take(&mut self.accept_again) {
            self.accept(slot);
        }
        for (slot, readable, writable) in ready {
            self.ready(slot, readable, writable);
        }
        let now = self.now();
        while let Some(deadline) = self.deadlines.pop_due(now) {
            self.expired(deadline, now);
        }
        Ok(())
    }

    /// The next thing that happened, if any.
    pub fn next_event(&mut self) -> Option<TransportEvent> {
        self.happened.pop_front()
    }

    fn ready(&mut self, slot: usize, readable: bool, writable: bool) {
        let now = self.now();
        match self.sockets.get_mut(slot) {
            None => {}
            Some(Socket::Listener(..)) => self.accept(slot),
            Some(Socket::Server(conn)) => {
                let mut request = None;
                if writable {
                    request = conn.writable(now);
                }
                if readable && request.is_none() {
                    request = conn.readable(now);
                }
                self.served(slot, request);
            }
            Some(Socket::Client(conn)) => {
                let result = conn.ready(readable, writable);
                self.called(slot, result);
            }
        }
    }

    fn accept(&mut self, slot: usize) {
        for _ in 0..ACCEPTS {
            let Some(Socket::Listener(socket, listener)) = self.sockets.get(slot) else {
                return;
            };
            let listener = *listener;
            match socket.accept() {
                Ok((stream, _)) => self.accepted(stream, listener),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) => {
                    tracing::debug!("accept: {e}");
                    self.make_room();
                    let again = self.now().after(ACCEPT_AGAIN);
                    self.deadlines.set(again, Deadline::Accept(slot));
                    return;
                }
            }
        }
        self.accept_again.push(slot);
    }

    fn accepted(&mut self, mut stream: TcpStream, listener: ListenerKind) {
        let for_others = self.max_sockets - self.max_sockets / OWN_PART;
        if self.sockets.len() >= for_others && !self.make_room() {
            return;
        }
        let _ = stream.set_nodelay(true);
        let now = self.now();
        self.serial += 1;
        let entry = self.sockets.vacant_entry();
        let id = ConnId {
            slot: entry.key(),
            serial: self.serial,
        };
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Err(e) = self
            .poll
            .registry()
            .register(&mut stream, Token(id.slot), interest)
        {
            tracing::debug!("register: {e}");
            return;
        }
        entry.insert(Socket::Server(Box::new(ServerConn::new(
            stream, id, listener, now,
        ))));
        self.deadlines.set(now.after(SLOW), Deadline::Conn(id));
    }

    /// Makes room for a socket by closing an idle one: first a connection kept for our own calls,
    /// which costs only a new handshake; then the one that has waited longest for a request.
    fn make_room(&mut self) -> bool {
        if let Some((_, slot)) = self.idle_calls.first_key_value() {
            let slot = *slot;
            self.drop_socket(slot);
            return true;
        }
        let oldest = self
            .sockets
            .iter()
            .filter_map(|(slot, s)| match s {
                Socket::Server(c) if c.is_idle() => Some((c.last_used, slot)),
                _ => None,
            })
            .min();
        if let Some((_, slot)) = oldest {
            self.drop_socket(slot);
        }
        oldest.is_some()
    }

    fn drop_socket(&mut self, slot: usize) {
        if let Some(mut socket) = self.sockets.try_remove(slot) {
            let _ = match &mut socket {
                Socket::Listener(l, _) => self.poll.registry().deregister(l),
                Socket::Server(c) => self.poll.registry().deregister(c.stream()),
                Socket::Client(c) => {
                    self.idle_calls.remove(&c.call);
                    if let Some(kept) = self.kept.get_mut(&c.to) {
                        kept.retain(|s| *s != slot);
                        if kept.is_empty() {
                            self.kept.remove(&c.to);
                        }
                    }
                    self.poll.registry().deregister(c.stream())
                }
            };
        }
    }

    fn served(&mut self, slot: usize, request: Option<Request>) {
        let Some(Socket::Server(conn)) = self.sockets.get(slot) else {
            return;
        };
        let (conn, listener, phase) = (conn.id, conn.listener, conn.phase);
        if let Some(request) = request {
            self.happened.push_back(TransportEvent::Request {
                conn,
                listener,
                request,
            });
        }
        if phase == server::Phase::Closed {
            self.drop_socket(slot);
        }
    }

    fn called(&mut self, slot: usize, result: Option<Result<Response, CallError>>) {
        let Some(Socket::Client(conn)) = self.sockets.get(slot) else {
            return;
        };
        let (call, phase, to) = (conn.call, conn.phase, conn.to);
        if let Some(result) = result {
            self.happened
                .push_back(TransportEvent::Reply { call, result });
        }
        match phase {
            client::Phase::Closed => self.drop_socket(slot),
            client::Phase::Idle => {
                let kept = self.kept.entry(to).or_default();
                if !kept.contains(&slot) {
                    kept.push(slot);
                }
                self.idle_calls.insert(call, slot);
                if kept.len() > KEPT {
                    let oldest = kept[0];
                    self.drop_socket(oldest);
                }
                while self.idle_calls.len() > self.max_sockets / KEPT_PART {
                    self.make_room();
                }
            }
            client::Phase::Connecting | client::Phase::Busy => {}
        }
    }

    fn expired(&mut self, deadline: Deadline, now: Time) {
        match deadline {
            Deadline::Accept(slot) => self.accept(slot),
            Deadline::Call(call, slot) => {
                let Some(Socket::Client(conn)) = self.sockets.get_mut(slot) else {
                    return;
                };
                let waiting = matches!(conn.phase, client::Phase::Connecting | client::Phase::Busy);
                if conn.call == call && waiting {
                    let result = conn.fail();
                    self.called(slot, result);
                }
            }
            Deadline::Conn(id) => {
                let Some(Socket::Server(conn)) = self.sockets.get(id.slot) else {
                    return;
                };
                if conn.id != id {
                    return;
                }
                let limit = match conn.phase {
                    server::Phase::Reading if conn.is_idle() => IDLE,
                    // Its time limit is the service's matter.
                    server::Phase::Serving => IDLE,
                    _ => SLOW,
                };
                let serving = conn.phase == server::Phase::Serving;
                let last_used = conn.last_used;
                if !serving && now.since(last_used) >= limit {
                    self.drop_socket(id.slot);
                } else {
                    let again = last_used
                        .after(limit)
                        .max(now.after(Duration::from_secs(1)));
                    self.deadlines.set(again, Deadline::Conn(id));
                }
            }
        }
    }

    fn not_sent(&mut self, call: CallId, why: CallError) {
        self.happened.push_back(TransportEvent::Reply {
            call,
            result: Err(why),
        });
    }
}

impl Network for Transport {
    fn now(&self) -> Time {
        Time(self.start.elapsed().as_millis() as u64)
    }

    fn time_of_day(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64)
    }

    fn socket_usage(&self) -> SocketUsage {
        SocketUsage {
            open: self.sockets.len(),
            max: self.max_sockets,
        }
    }

    fn respond(&mut self, conn: ConnId, response: &Response) {
        let now = self.now();
        let Some(Socket::Server(c)) = self.sockets.get_mut(conn.slot) else {
            return;
        };
        if c.id == conn {
            let next = c.respond(response, now);
            self.served(conn.slot, next);
        }
    }

    fn call(
        &mut self,
        to: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        limit: Duration,
    ) -> CallId {
        self.serial += 1;
        let call = CallId(self.serial);
        let mut request = Vec::with_capacity(body.len() + 160);
        http::write_request(&mut request, &to.to_string(), method, target, body);
        let deadline = self.now().after(limit);
        if let Some(slot) = self.kept.get_mut(&to).and_then(Vec::pop) {
            if let Some(Socket::Client(conn)) = self.sockets.get_mut(slot) {
                self.idle_calls.remove(&conn.call);
                let result = conn.reuse(call, request);
                self.deadlines.set(deadline, Deadline::Call(call, slot));
                self.called(slot, result);
                return call;
            }
            self.not_sent(call, CallError::NotSent);
            return call;
        }
        if self.sockets.len() >= self.max_sockets && !self.make_room() {
            self.not_sent(call, CallError::NoSocket);
            return call;
        }
        match ClientConn::connect(to, call, request) {
            Ok(mut conn) => {
                let entry = self.sockets.vacant_entry();
                let slot = entry.key();
                let interest = Interest::READABLE | Interest::WRITABLE;
                let registered =
                    self.poll
                        .registry()
                        .register(conn.stream(), Token(slot), interest);
                if registered.is_ok() {
                    entry.insert(Socket::Client(Box::new(conn)));
                    self.deadlines.set(deadline, Deadline::Call(call, slot));
                } else {
                    self.not_sent(call, CallError::NoSocket);
                }
            }
            Err(e) => {
                tracing::debug!("connect to {to}: {e}");
                self.not_sent(call, CallError::NoSocket);
            }
        }
        call
    }
}
