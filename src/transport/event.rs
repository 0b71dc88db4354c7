//! What the transport reports to its owner, and the ids in it.

use thiserror::Error;

use super::http::{Request, Response};

/// What arrived from the network.
#[derive(Debug)]
pub enum TransportEvent {
    /// A client sent a request. It is answered with [`respond`](super::Network::respond).
    Request {
        /// Connection that waits for the response.
        connection: ConnectionId,
        /// Listener that accepted the connection.
        listener: ListenerKind,
        /// The request.
        request: Request,
    },
    /// A call has ended.
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
    /// For users, workers and health checks.
    Public,
    /// For the other nodes of the service.
    Internal,
}

/// Identifies an accepted connection. No two connections of a process have the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId {
    /// Slot of the connection in the table of sockets; reused after the connection is closed.
    pub slot: usize,
    /// Tells apart the connections that use a slot one after the other.
    pub serial: u64,
}

/// Identifies a call. No two calls of a process have the same id, and later calls have larger ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The connection failed before any byte of the request was sent: the server did not process it.
    #[error("the request was not sent")]
    NotSent,
    /// This process has no socket left for the call: the server did not process the request. Says
    /// nothing about the server.
    #[error("no socket is free for the request")]
    NoSocket,
    /// The request was sent, in part at least, and no response arrived: the server may have processed
    /// it, or may yet.
    #[error("the request was sent, its response was lost")]
    Lost,
}
