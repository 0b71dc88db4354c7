//! The seam between a controller process and the simulation.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lichencrank::transport::{CallId, ConnectionId, Network, Request, Response, SocketUsage};
use lichencrank::types::Time;

use super::clock::{SimClock, SimTime};

/// The time of day when a simulation starts, in milliseconds since 1970.
const WALL_CLOCK_AT_START_MS: u64 = 1_700_000_000_000;

/// A call that a controller makes.
pub struct OutgoingCall {
    /// Its number within the process.
    pub id: CallId,
    /// Whom it is for.
    pub server: SocketAddr,
    /// The HTTP method.
    pub method: String,
    /// The path and the query.
    pub target: String,
    /// The body, empty if there is none.
    pub body: Vec<u8>,
    /// How long the caller waits.
    pub timeout: Duration,
}

impl OutgoingCall {
    /// What the called side receives.
    pub fn into_request(self) -> Request {
        Request {
            method: self.method,
            target: self.target,
            body: self.body,
            close: false,
        }
    }
}

/// What a controller sends.
pub enum Outgoing {
    /// The response to a request.
    Response {
        /// The connection on which the request came.
        connection: ConnectionId,
        /// The response.
        response: Response,
    },
    /// A call.
    Call(OutgoingCall),
}

/// What a process has sent since somebody looked. Its clones share one content.
#[derive(Clone, Default)]
pub struct Outbox(Rc<RefCell<Vec<Outgoing>>>);

impl Outbox {
    fn push(&self, message: Outgoing) {
        self.0.borrow_mut().push(message);
    }

    /// Takes all that was sent, in its order.
    pub fn take(&self) -> Vec<Outgoing> {
        self.0.take()
    }
}

/// The transport of one controller process, whatever version of the service it runs.
pub struct SimTransport {
    clock: SimClock,
    started_at: SimTime,
    last_call: u64,
    outbox: Outbox,
}

/// A call in terms that no version of the service owns.
pub struct CallParameters<'a> {
    /// Whom it is for.
    pub server: SocketAddr,
    /// The HTTP method.
    pub method: &'a str,
    /// The path and the query.
    pub target: &'a str,
    /// The body, empty if there is none.
    pub body: &'a [u8],
    /// How long the caller waits.
    pub timeout: Duration,
}

impl SimTransport {
    /// The transport of a process that starts now and sends to `outbox`.
    pub fn new(clock: SimClock, outbox: Outbox) -> SimTransport {
        SimTransport {
            started_at: clock.now(),
            clock,
            last_call: 0,
            outbox,
        }
    }

    /// Milliseconds since the process started.
    pub fn uptime_ms(&self) -> u64 {
        let uptime = self.clock.now().since(self.started_at);
        uptime.as_millis() as u64
    }

    /// Milliseconds since 1970.
    pub fn wall_clock_ms(&self) -> u64 {
        WALL_CLOCK_AT_START_MS + self.clock.now().as_millis()
    }

    /// Sends the response to a request.
    pub fn send_response(&mut self, connection: ConnectionId, response: Response) {
        self.outbox.push(Outgoing::Response {
            connection,
            response,
        });
    }

    /// Makes a call and returns its number.
    pub fn send_call(&mut self, call: &CallParameters) -> u64 {
        self.last_call += 1;
        self.outbox.push(Outgoing::Call(OutgoingCall {
            id: CallId(self.last_call),
            server: call.server,
            method: call.method.to_owned(),
            target: call.target.to_owned(),
            body: call.body.to_vec(),
            timeout: call.timeout,
        }));
        self.last_call
    }
}

impl Network for SimTransport {
    fn now(&self) -> Time {
        Time(self.uptime_ms())
    }

    fn wall_clock_ms(&self) -> u64 {
        self.wall_clock_ms()
    }

    fn respond(&mut self, conn: ConnectionId, response: &Response) {
        self.send_response(conn, response.clone());
    }

    fn call(
        &mut self,
        server: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        limit: Duration,
    ) -> CallId {
        CallId(self.send_call(&CallParameters {
            server,
            method,
            target,
            body,
            timeout: limit,
        }))
    }

    fn socket_usage(&self) -> SocketUsage {
        SocketUsage::default()
    }
}
