//! Moves bytes: the event loop, an HTTP server and an HTTP client on it.

use std::net::SocketAddr;
use std::time::Duration;

mod client;
pub mod event_loop;
pub mod http;
mod server;
pub mod timers;

use crate::types::Time;
pub use client::{CallError, CallId};
pub use event_loop::{ListenerKind, Transport, TransportEvent};
pub use http::{Request, Response};
pub use server::ConnId;

/// The narrow seam between a node and the world. [`Transport`] is the one that moves bytes; tests put
/// several nodes into one simulated world through another.
pub trait Network {
    /// The steady clock.
    fn now(&self) -> Time;
    /// The time of day, in milliseconds.
    fn time_of_day(&self) -> u64;
    /// Answers a request. If its connection is gone, so is the answer.
    fn respond(&mut self, conn: ConnId, response: &Response);
    /// Sends a request; its outcome comes as a [`TransportEvent::Reply`], at the latest after `limit`.
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
