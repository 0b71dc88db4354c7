//! The fingerprint of a run: a hash over every message that a controller sent or received, with its content,
//! the controller and the simulated time. Two runs with the same fingerprint exchanged the same messages. What
//! is hashed must not change, or fingerprints of two versions can't be compared.

use std::hash::{DefaultHasher, Hash, Hasher};

use lichencrank::transport::{ListenerKind, Request, Response, TransportEvent};

use super::clock::SimTime;
use super::ids::NodeIndex;
use super::transport::{Outgoing, OutgoingCall};

/// The hash of the messages so far. Values are comparable between builds of the same toolchain only.
#[derive(Default)]
pub struct Fingerprint {
    hasher: DefaultHasher,
}

impl Fingerprint {
    /// The hash of all messages so far.
    pub fn value(&self) -> u64 {
        self.hasher.finish()
    }

    /// Adds a message that arrived at a controller.
    pub fn add_received(&mut self, now: SimTime, node: NodeIndex, event: &TransportEvent) {
        ("received", now.as_millis(), node.0).hash(&mut self.hasher);
        match event {
            TransportEvent::Request {
                connection,
                listener,
                request,
            } => {
                (
                    "request",
                    connection.serial,
                    *listener == ListenerKind::Public,
                )
                    .hash(&mut self.hasher);
                self.add_request(request);
            }
            TransportEvent::Reply { call, result } => {
                ("reply", call.0).hash(&mut self.hasher);
                match result {
                    Ok(response) => self.add_response(response),
                    Err(error) => format!("{error:?}").hash(&mut self.hasher),
                }
            }
        }
    }

    /// Adds a message that a controller sent.
    pub fn add_sent(&mut self, now: SimTime, node: NodeIndex, message: &Outgoing) {
        ("sent", now.as_millis(), node.0).hash(&mut self.hasher);
        match message {
            Outgoing::Response {
                connection,
                response,
            } => {
                ("response", connection.serial).hash(&mut self.hasher);
                self.add_response(response);
            }
            Outgoing::Call(call) => self.add_call(call),
        }
    }

    fn add_call(&mut self, call: &OutgoingCall) {
        let timeout_ms = call.timeout.as_millis() as u64;
        ("call", call.id.0, call.server, timeout_ms).hash(&mut self.hasher);
        (&call.method, &call.target, &call.body).hash(&mut self.hasher);
    }

    fn add_request(&mut self, request: &Request) {
        (&request.method, &request.target, &request.body).hash(&mut self.hasher);
    }

    fn add_response(&mut self, response: &Response) {
        (response.status, response.retry_after, &response.body).hash(&mut self.hasher);
    }
}
