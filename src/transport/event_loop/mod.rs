//! The event loop: waits for sockets and timers, and hands each to the part that it concerns.
//!
//! - `accept`: listeners, and which connections are accepted.
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

/// What a timer is for. Timers that are due at the same time run in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// A call has to have its response, on the connection in that slot.
    CallDeadline(CallId, usize),
    /// An accepted connection may have been silent for too long.
    ConnectionDeadline(ConnectionId),
    /// Accepting failed on the listener in that slot and is to be tried again: the poller doesn't report
    /// connections that were waiting then.
    AcceptRetry(usize),
}

/// HTTP server and client on real sockets, on one thread. Its owner calls
/// [`wait_for_events`](Transport::wait_for_events) and then takes the events one by one.
pub struct Transport {
    started: Instant,
    sockets: SocketTable,
    idle_calls: IdlePool,
    timers: TimerQueue<Timer>,
    /// Slots of listeners that may have more connections waiting than were accepted at the last wake-up.
    unfinished_accepts: Vec<usize>,
    /// Events that the owner has not taken yet.
    events: VecDeque<TransportEvent>,
    /// The last id given to a connection or a call.
    last_id: u64,
}

impl Transport {
    /// Opens an event loop for a process that may have that many open descriptors.
    ///
    /// # Errors
    ///
    /// If the operating system provides no poller.
    pub fn new(max_descriptors: usize) -> io::Result<Transport> {
        Ok(Transport {
            started: Instant::now(),
            sockets: SocketTable::new(max_descriptors)?,
            idle_calls: IdlePool::default(),
            timers: TimerQueue::default(),
            unfinished_accepts: Vec::new(),
            events: VecDeque::new(),
            last_id: 0,
        })
    }

    /// Waits until a socket is ready or a timer is due, at the latest until `until`, and does what follows.
    /// Returns at once while there are events to be taken.
    ///
    /// # Errors
    ///
    /// If the poller failed.
    pub fn wait_for_events(&mut self, until: Time) -> io::Result<()> {
        let timeout = self.wait_timeout(until);
        let ready = match self.sockets.wait(timeout) {
            Err(error) if error.kind() == ErrorKind::Interrupted => return Ok(()),
            other => other?,
        };
        for slot in std::mem::take(&mut self.unfinished_accepts) {
            self.accept_connections(slot);
        }
        for readiness in ready {
            self.on_ready(readiness);
        }
        let now = self.now();
        while let Some(timer) = self.timers.pop_due(now) {
            self.on_timer(timer, now);
        }
        Ok(())
    }

    /// Takes the next event, in the order in which they occurred.
    pub fn next_event(&mut self) -> Option<TransportEvent> {
        self.events.pop_front()
    }

    /// How long to wait for sockets.
    fn wait_timeout(&self, until: Time) -> Duration {
        if !self.events.is_empty() || !self.unfinished_accepts.is_empty() {
            return Duration::ZERO;
        }
        let now = self.now();
        let next_timer = self.timers.next_due().unwrap_or(until);
        until.min(next_timer).since(now)
    }

    fn on_ready(&mut self, readiness: Readiness) {
        match self.sockets.get_mut(readiness.slot) {
            // Closed by what another socket's readiness led to.
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

    /// Makes room for a socket by closing an idle one: first a connection kept for outgoing calls, which
    /// costs only a new handshake; then the accepted one that has waited longest for a request. Returns
    /// whether there was one.
    fn make_room(&mut self) -> bool {
        let idle_call = self.idle_calls.take_oldest();
        let idle = match idle_call {
            Some(connection) => Some(connection.slot),
            None => self.sockets.longest_idle_server(),
        };
        if let Some(slot) = idle {
            self.sockets.close(slot);
        }
        idle.is_some()
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

impl Network for Transport {
    fn now(&self) -> Time {
        Time(self.started.elapsed().as_millis() as u64)
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
        to: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        limit: Duration,
    ) -> CallId {
        self.start_call(to, method, target, body, limit)
    }

    fn socket_usage(&self) -> SocketUsage {
        self.sockets.usage()
    }
}
