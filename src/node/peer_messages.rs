//! Sending and receiving the messages of [`crate::protocol::peers`]: what has no encoding is never
//! sent, and what can't be decoded is refused without any other effect.

use std::net::SocketAddr;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::protocol::peers::{self, DecodeError};
use crate::transport::{CallError, CallId, Network, Response};

/// Sends a message to a peer; `None` if it has no encoding.
pub(super) fn send<T: BorshSerialize>(
    net: &mut impl Network,
    to: SocketAddr,
    path: &str,
    message: &T,
    timeout: Duration,
) -> Option<CallId> {
    match peers::encode(message) {
        Ok(body) => Some(net.call(to, "POST", path, &body, timeout)),
        Err(error) => {
            tracing::error!("{path} to {to}: {error}");
            None
        }
    }
}

/// The response that carries a message.
pub(super) fn response<T: BorshSerialize>(message: &T) -> Response {
    match peers::encode(message) {
        Ok(body) => Response::new(200, body),
        Err(error) => {
            tracing::error!("answer to a peer: {error}");
            Response::new(500, Vec::new())
        }
    }
}

/// The response to a request that is not the expected message, such as one of a later version.
pub(super) fn refusal(path: &str, error: &DecodeError) -> Response {
    tracing::info!("{path}: refused: {error}");
    Response::new(400, Vec::new())
}

/// The message in a peer's answer, if there is one.
pub(super) fn answer<T: BorshDeserialize>(
    path: &str,
    result: Result<Response, CallError>,
) -> Option<T> {
    let response = result.ok().filter(|response| response.status == 200)?;
    match peers::decode(&response.body) {
        Ok(message) => Some(message),
        Err(error) => {
            tracing::info!("answer to {path}: ignored: {error}");
            None
        }
    }
}
