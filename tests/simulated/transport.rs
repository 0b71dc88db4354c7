//! The transport on which controller processes run in the simulation: it implements the service's network interface
//! by collecting outgoing messages, which the simulation delivers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lichencrank::transport::{CallId, ConnectionId, Network, Request, Response, SocketUsage};
use lichencrank::types::Time;

use super::clock::{SimClock, SimTime};

/// Wall clock time at the start of a simulation, in milliseconds since the Unix epoch.
const WALL_CLOCK_AT_START_MS: u64 = 1_700_000_000_000;

/// A call that a controller makes.
pub struct OutgoingCall {
    /// Id of the call, unique within the process.
    pub id: CallId,
    /// Address of the server.
    pub server: SocketAddr,
    /// The HTTP method.
    pub method: String,
    /// The path and the query.
    pub target: String,
    /// The body, empty if there is none.
    pub body: Vec<u8>,
    /// How long the caller waits for the response.
    pub timeout: Duration,
}

impl OutgoingCall {
    /// The request that the server receives.
    pub fn into_request(self) -> Request {
        Request {
            method: self.method,
            target: self.target,
            body: self.body,
            close: false,
        }
    }
}

/// A message that a controller sends.
pub enum Outgoing {
    /// The response to a request.
    Response {
        /// The connection on which the request was received.
        connection: ConnectionId,
        /// The response.
        response: Response,
    },
    /// A request to a server.
    Call(OutgoingCall),
}

/// Messages that a process has sent and the simulation has not taken yet. Clones share the messages.
#[derive(Clone, Default)]
pub struct Outbox(Rc<RefCell<Vec<Outgoing>>>);

impl Outbox {
    fn push(&self, message: Outgoing) {
        self.0.borrow_mut().push(message);
    }

    /// Takes all messages, in the order in which they were sent.
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

/// The parameters of a call, in types that do not depend on the version of the service.
pub struct CallParameters<'a> {
    /// Address of the server.
    pub server: SocketAddr,
    /// The HTTP method.
    pub method: &'a str,
    /// The path and the query.
    pub target: &'a str,
    /// The body, empty if there is none.
    pub body: &'a [u8],
    /// How long the caller waits for the response.
    pub timeout: Duration,
}

impl SimTransport {
    /// Creates the transport of a process that starts now and sends to `outbox`.
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

    /// The wall clock, in milliseconds since the Unix epoch.
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

    /// Makes a call and returns its id.
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

    fn respond(&mut self, connection: ConnectionId, response: &Response) {
        self.send_response(connection, response.clone());
    }

    fn call(
        &mut self,
        server: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        timeout: Duration,
    ) -> CallId {
        CallId(self.send_call(&CallParameters {
            server,
            method,
            target,
            body,
            timeout,
        }))
    }

    fn socket_usage(&self) -> SocketUsage {
        SocketUsage::default()
    }
}
