//! HTTP/1.1 over TCP as server and client, on one thread: an event loop around the operating system's
//! poller.
//!
//! - [`http`]: parsing and writing of messages.
//! - `server_connection`, `client_connection`: the state machine of one connection.
//! - `sockets`: all open sockets, the poller, and the limit of open sockets.
//! - `idle_pool`: client connections that are kept for the next call.
//! - `timers`: deadlines.
//! - `event_loop`: [`Transport`], which ties these together.

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

/// What a node needs of its environment: clocks, and HTTP as server and client. [`Transport`] provides
/// it on real sockets; tests provide it for several nodes in simulated time.
pub trait Network {
    /// The monotonic clock, in milliseconds since the process started.
    fn now(&self) -> Time;
    /// The wall clock, in milliseconds since the Unix epoch.
    fn wall_clock_ms(&self) -> u64;
    /// Sends the response to the request that came on that connection. Without effect if the connection
    /// is closed by now, or waits for no response.
    fn respond(&mut self, connection: ConnectionId, response: &Response);
    /// Sends a request to a server. The result comes as a [`TransportEvent::Reply`] with the returned
    /// id, after `limit` at the latest.
    fn call(
        &mut self,
        to: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        limit: Duration,
    ) -> CallId;
    /// How many sockets are open, and how many may be.
    fn socket_usage(&self) -> SocketUsage;
}

/// Use of the limit of open sockets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SocketUsage {
    /// Sockets that are open.
    pub open: usize,
    /// Sockets that may be open at once.
    pub max: usize,
}
