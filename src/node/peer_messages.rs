//! Sending and receiving the messages of [`crate::protocol::peers`]. A message that can't be encoded is not sent, and
//! one that can't be decoded is rejected without any other effect.

use std::net::SocketAddr;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::protocol::peers::{self, DecodeError};
use crate::transport::{CallError, CallId, Network, Response};

/// Sends a message to a peer. Returns `None` if it can't be encoded.
pub(super) fn send<T: BorshSerialize>(
    network: &mut impl Network,
    peer_address: SocketAddr,
    path: &str,
    message: &T,
    timeout: Duration,
) -> Option<CallId> {
    match peers::encode(message) {
        Ok(body) => Some(network.call(peer_address, "POST", path, &body, timeout)),
        Err(error) => {
            tracing::error!("{path} to {peer_address}: message not sent: {error}");
            None
        }
    }
}

/// A response with the message as its body.
pub(super) fn response<T: BorshSerialize>(message: &T) -> Response {
    match peers::encode(message) {
        Ok(body) => Response::new(200, body),
        Err(error) => {
            tracing::error!("the response to a peer could not be encoded: {error}");
            Response::new(500, Vec::new())
        }
    }
}

/// The response to a request whose body is not the expected message, for example one of a later version.
pub(super) fn refusal(path: &str, error: &DecodeError) -> Response {
    tracing::info!("{path}: rejected a request of a peer: {error}");
    Response::new(400, Vec::new())
}

/// Decodes the message in a peer's response. Returns `None` if the call failed or the body is no such message.
pub(super) fn decode_response<T: BorshDeserialize>(
    path: &str,
    result: Result<Response, CallError>,
) -> Option<T> {
    let response = result.ok().filter(|response| response.status == 200)?;
    match peers::decode(&response.body) {
        Ok(message) => Some(message),
        Err(error) => {
            tracing::info!("{path}: ignored the response of a peer: {error}");
            None
        }
    }
}
