//! HTTP/1.1 server and client over TCP, on one thread: an event loop around the operating system's poller.
//!
//! - [`http`]: parsing and writing of messages.
//! - `server_connection`, `client_connection`: the state machine of one connection.
//! - `sockets`: all open sockets, the poller, and the limit on open sockets.
//! - `idle_pool`: client connections that are kept open for the next call.
//! - `timers`: a queue of deadlines.
//! - `event_loop`: [`Transport`], which combines these.

use std::net::SocketAddr;
use std::time::Duration;

mod client_connection;
mod event;
mod event_loop;
pub mod http;
mod idle_pool;
mod nonblocking;
mod server_connection;
mod sockets;
mod timers;

use crate::types::Time;
pub use event::{CallError, CallId, ConnectionId, ListenerKind, TransportEvent};
pub use event_loop::Transport;
pub use http::{Request, Response};

/// The clocks and the HTTP server and client that a controller runs on. [`Transport`] implements them on real sockets;
/// tests implement them for several controllers in simulated time.
pub trait Network {
    /// The monotonic clock, in milliseconds since the process started.
    fn now(&self) -> Time;
    /// The wall clock, in milliseconds since the Unix epoch.
    fn wall_clock_ms(&self) -> u64;
    /// Sends the response to the request that was received on a connection. Does nothing if the connection has been
    /// closed or no request on it awaits a response.
    fn respond(&mut self, connection: ConnectionId, response: &Response);
    /// Sends a request to a server. The result arrives as a [`TransportEvent::Reply`] with the returned id, when
    /// `timeout` has passed at the latest.
    fn call(
        &mut self,
        server: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        timeout: Duration,
    ) -> CallId;
    /// Number of open sockets, and the limit on it.
    fn socket_usage(&self) -> SocketUsage;
}

/// Open sockets of the process, and the limit on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SocketUsage {
    /// Number of sockets that are open.
    pub open: usize,
    /// Most sockets that may be open at the same time.
    pub max: usize,
}
