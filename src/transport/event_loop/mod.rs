//! The event loop: waits for sockets and timers, and dispatches them to their handlers.
//!
//! - `accept`: listeners, and the limit on accepted connections.
//! - `requests`: accepted connections, their requests and responses.
//! - `calls`: outgoing calls and their connections.

mod accept;
mod calls;
mod requests;

use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::event::{CallId, ConnectionId, TransportEvent};
use super::http::Response;
use super::idle_pool::IdlePool;
use super::sockets::{Readiness, Socket, SocketTable};
use super::timers::TimerQueue;
use super::{Network, SocketUsage};
use crate::types::Time;

/// The purpose of a timer. Timers that expire at the same time run in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// Deadline of a call, which uses the connection in this slot.
    CallDeadline(CallId, usize),
    /// The peer of an accepted connection may have been silent for too long.
    ConnectionDeadline(ConnectionId),
    /// Accepting is retried on the listener in this slot after a failure: the poller does not report again the
    /// connections that are already waiting.
    AcceptRetry(usize),
}

/// HTTP server and client on real sockets, on one thread. Its owner calls
/// [`wait_for_events`](Transport::wait_for_events) and then takes the events one by one.
pub struct Transport {
    started_at: Instant,
    sockets: SocketTable,
    idle_pool: IdlePool,
    timers: TimerQueue<Timer>,
    /// Slots of listeners that may have more waiting connections than were accepted at the last wake-up.
    unfinished_accepts: Vec<usize>,
    /// Events that the owner of the transport has not taken yet.
    events: VecDeque<TransportEvent>,
    /// The last id given to a connection or a call.
    last_id: u64,
}

impl Transport {
    /// Creates an event loop for a process that may have `max_descriptors` open file descriptors.
    ///
    /// # Errors
    ///
    /// If the operating system provides no poller.
    pub fn new(max_descriptors: usize) -> io::Result<Transport> {
        Ok(Transport {
            started_at: Instant::now(),
            sockets: SocketTable::new(max_descriptors)?,
            idle_pool: IdlePool::default(),
            timers: TimerQueue::default(),
            unfinished_accepts: Vec::new(),
            events: VecDeque::new(),
            last_id: 0,
        })
    }

    /// Waits until a socket is ready or a timer expires, until `deadline` at the latest, and handles all that are. Does
    /// not wait while there are events to be taken.
    ///
    /// # Errors
    ///
    /// If the poller failed.
    pub fn wait_for_events(&mut self, deadline: Time) -> io::Result<()> {
        let timeout = self.wait_timeout(deadline);
        let ready_sockets = match self.sockets.wait(timeout) {
            Err(error) if error.kind() == ErrorKind::Interrupted => return Ok(()),
            other => other?,
        };
        for slot in std::mem::take(&mut self.unfinished_accepts) {
            self.accept_connections(slot);
        }
        for readiness in ready_sockets {
            self.on_ready(readiness);
        }
        let now = self.now();
        while let Some(timer) = self.timers.pop_expired(now) {
            self.on_timer(timer, now);
        }
        Ok(())
    }

    /// Takes the next event, in the order in which they occurred.
    pub fn next_event(&mut self) -> Option<TransportEvent> {
        self.events.pop_front()
    }

    /// How long to wait for a socket to become ready.
    fn wait_timeout(&self, deadline: Time) -> Duration {
        if !self.events.is_empty() || !self.unfinished_accepts.is_empty() {
            return Duration::ZERO;
        }
        let now = self.now();
        let next_expiry = self.timers.next_expiry().unwrap_or(deadline);
        deadline.min(next_expiry).since(now)
    }

    fn on_ready(&mut self, readiness: Readiness) {
        match self.sockets.get_mut(readiness.slot) {
            // Closed while the readiness of another socket was handled.
            None => {}
            Some(Socket::Listener(_)) => self.accept_connections(readiness.slot),
            Some(Socket::Server(_)) => self.on_server_ready(readiness),
            Some(Socket::Client(_)) => self.on_client_ready(readiness),
        }
    }

    fn on_timer(&mut self, timer: Timer, now: Time) {
        match timer {
            Timer::CallDeadline(call, slot) => self.on_call_deadline(call, slot),
            Timer::ConnectionDeadline(id) => self.on_connection_deadline(id, now),
            Timer::AcceptRetry(slot) => self.accept_connections(slot),
        }
    }

    /// Closes an idle connection to free its socket: a client connection of the idle pool if there is one, which costs
    /// only a new handshake; else the accepted connection that has been idle longest. Returns whether one was closed.
    fn evict_idle_connection(&mut self) -> bool {
        let idle_client = self.idle_pool.take_oldest();
        let idle_slot = match idle_client {
            Some(connection) => Some(connection.slot),
            None => self.sockets.longest_idle_server(),
        };
        if let Some(slot) = idle_slot {
            self.sockets.close(slot);
        }
        idle_slot.is_some()
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

impl Network for Transport {
    fn now(&self) -> Time {
        Time(self.started_at.elapsed().as_millis() as u64)
    }

    fn wall_clock_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_millis() as u64)
    }

    fn respond(&mut self, connection: ConnectionId, response: &Response) {
        self.send_response(connection, response);
    }

    fn call(
        &mut self,
        server: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        timeout: Duration,
    ) -> CallId {
        self.start_call(server, method, target, body, timeout)
    }

    fn socket_usage(&self) -> SocketUsage {
        self.sockets.usage()
    }
}
