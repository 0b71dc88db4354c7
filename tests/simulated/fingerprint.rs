//! A fingerprint of a simulated run: a hash over every message that a node sent or received, with its
//! bytes, the node and the simulated time. Two runs with the same fingerprint behaved alike on the wire.

use lichencrank::transport::{ListenerKind, Request, Response, TransportEvent};
use std::hash::{DefaultHasher, Hash, Hasher};

use super::network::{Call, Out};

/// The running hash. It is comparable between builds by one toolchain, not between toolchains.
#[derive(Default)]
pub struct Fingerprint {
    hasher: DefaultHasher,
}

impl Fingerprint {
    /// The hash of all messages so far.
    pub fn value(&self) -> u64 {
        self.hasher.finish()
    }

    /// Takes in a message that arrived at a node.
    pub fn received(&mut self, now_ms: u64, node: usize, event: &TransportEvent) {
        ("received", now_ms, node).hash(&mut self.hasher);
        match event {
            TransportEvent::Request {
                conn,
                listener,
                request,
            } => {
                ("request", conn.serial, *listener == ListenerKind::Public).hash(&mut self.hasher);
                self.request(request);
            }
            TransportEvent::Reply { call, result } => {
                ("reply", call.0).hash(&mut self.hasher);
                match result {
                    Ok(response) => self.response(response),
                    Err(error) => format!("{error:?}").hash(&mut self.hasher),
                }
            }
        }
    }

    /// Takes in a message that a node sent.
    pub fn sent(&mut self, now_ms: u64, node: usize, out: &Out) {
        ("sent", now_ms, node).hash(&mut self.hasher);
        match out {
            Out::Respond(conn, response) => {
                ("response", conn.serial).hash(&mut self.hasher);
                self.response(response);
            }
            Out::Call(call) => self.call(call),
        }
    }

    fn call(&mut self, call: &Call) {
        ("call", call.id.0, call.to, call.limit).hash(&mut self.hasher);
        (&call.method, &call.target, &call.body).hash(&mut self.hasher);
    }

    fn request(&mut self, request: &Request) {
        (&request.method, &request.target, &request.body).hash(&mut self.hasher);
    }

    fn response(&mut self, response: &Response) {
        (response.status, response.retry_after, &response.body).hash(&mut self.hasher);
    }
}
