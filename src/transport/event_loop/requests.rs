//! Accepted connections: their requests, responses and deadlines.

use super::{Timer, Transport};
use crate::transport::event::{ConnectionId, TransportEvent};
use crate::transport::http::{Request, Response};
use crate::transport::server_connection::DeadlineCheck;
use crate::transport::sockets::Readiness;
use crate::transport::Network;
use crate::types::Time;

impl Transport {
    pub(super) fn on_server_ready(&mut self, readiness: Readiness) {
        let now = self.now();
        let Some(connection) = self.sockets.server(readiness.slot) else {
            return;
        };
        let mut request = None;
        if readiness.writable {
            request = connection.on_writable(now);
        }
        if readiness.readable && request.is_none() {
            request = connection.on_readable(now);
        }
        self.after_server_progress(readiness.slot, request);
    }

    pub(super) fn send_response(&mut self, id: ConnectionId, response: &Response) {
        let now = self.now();
        let Some(connection) = self.sockets.server(id.slot) else {
            return;
        };
        if connection.id() == id {
            let next_request = connection.respond(response, now);
            self.after_server_progress(id.slot, next_request);
        }
    }

    pub(super) fn on_connection_deadline(&mut self, id: ConnectionId, now: Time) {
        let Some(connection) = self.sockets.server(id.slot) else {
            return;
        };
        if connection.id() != id {
            return;
        }
        match connection.check_deadline(now) {
            DeadlineCheck::TimedOut => self.sockets.close(id.slot),
            DeadlineCheck::CheckAgainAt(check_at) => {
                self.timers
                    .schedule(check_at, Timer::ConnectionDeadline(id));
            }
        }
    }

    /// Reports a request that has arrived, if there is one, and closes the connection if it has ended.
    fn after_server_progress(&mut self, slot: usize, request: Option<Request>) {
        let Some(connection) = self.sockets.server(slot) else {
            return;
        };
        if let Some(request) = request {
            self.events.push_back(TransportEvent::Request {
                connection: connection.id(),
                listener: connection.listener(),
                request,
            });
        }
        if connection.is_closed() {
            self.sockets.close(slot);
        }
    }
}
