//! Events that the transport reports to its owner, and the ids in them.

use thiserror::Error;

use super::http::{Request, Response};

/// A request that was received, or the result of a call.
#[derive(Debug)]
pub enum TransportEvent {
    /// A client sent a request, which is to be answered with [`respond`](super::Network::respond).
    Request {
        /// Connection on which the response is awaited.
        connection: ConnectionId,
        /// Listener that accepted the connection.
        listener: ListenerKind,
        /// The request.
        request: Request,
    },
    /// A call has completed or failed.
    Reply {
        /// The call.
        call: CallId,
        /// The response, or the reason why there is none.
        result: Result<Response, CallError>,
    },
}

/// Identifies a listener of a controller by the clients that it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    /// Serves users, workers and health checks.
    Public,
    /// Serves the other controllers.
    Internal,
}

/// Identifies an accepted connection. No two connections of a process have the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId {
    /// Slot of the connection in the table of sockets; reused after the connection is closed.
    pub slot: usize,
    /// Distinguishes connections that use the same slot one after the other.
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
    /// This process could not open a socket for the call: the server did not process the request. This says nothing
    /// about the state of the server.
    #[error("no socket is available for the request")]
    NoSocket,
    /// At least a part of the request was sent, but no response arrived: the server may have processed the request or
    /// may still do so.
    #[error("the request was sent, but no response was received")]
    Lost,
}
