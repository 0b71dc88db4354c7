//! Outgoing calls: their connections, deadlines and results.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Timer, Transport};
use crate::transport::client_connection::{CallResult, ClientConnection, Phase};
use crate::transport::event::{CallError, CallId, TransportEvent};
use crate::transport::http;
use crate::transport::idle_pool::IdleConnection;
use crate::transport::sockets::{Readiness, Socket};
use crate::transport::Network;
use crate::types::Time;

/// Initial capacity for the head of a request.
const HEAD_CAPACITY_BYTES: usize = 160;

impl Transport {
    pub(super) fn start_call(
        &mut self,
        server: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        timeout: Duration,
    ) -> CallId {
        let call = CallId(self.next_id());
        let mut request = Vec::with_capacity(body.len() + HEAD_CAPACITY_BYTES);
        http::write_request(&mut request, &server.to_string(), method, target, body);
        let deadline = self.now().after(timeout);
        let started = match self.idle_pool.take(server) {
            Some(idle) => self.call_on_idle_connection(idle.slot, call, request, deadline),
            None => self.call_on_new_connection(server, call, request, deadline),
        };
        if let Err(error) = started {
            self.report_result(call, Err(error));
        }
        call
    }

    /// Sends a request on an idle connection.
    fn call_on_idle_connection(
        &mut self,
        slot: usize,
        call: CallId,
        request: Vec<u8>,
        deadline: Time,
    ) -> Result<(), CallError> {
        let connection = self.sockets.client(slot).ok_or(CallError::NotSent)?;
        let result = connection.reuse(call, request);
        self.timers
            .schedule(deadline, Timer::CallDeadline(call, slot));
        self.after_client_progress(slot, result);
        Ok(())
    }

    /// Opens a connection and sends a request on it.
    fn call_on_new_connection(
        &mut self,
        server: SocketAddr,
        call: CallId,
        request: Vec<u8>,
        deadline: Time,
    ) -> Result<(), CallError> {
        if !self.sockets.has_room_for_call() && !self.evict_idle_connection() {
            return Err(CallError::NoSocket);
        }
        let connection = ClientConnection::connect(server, call, request).map_err(|error| {
            tracing::debug!("connecting to {server} failed: {error}");
            CallError::NoSocket
        })?;
        let inserted = self
            .sockets
            .insert(|_| Socket::Client(Box::new(connection)));
        let slot = inserted.map_err(|_| CallError::NoSocket)?;
        self.timers
            .schedule(deadline, Timer::CallDeadline(call, slot));
        Ok(())
    }

    pub(super) fn on_client_ready(&mut self, readiness: Readiness) {
        let Some(connection) = self.sockets.client(readiness.slot) else {
            return;
        };
        let result = connection.on_ready(readiness.readable, readiness.writable);
        self.after_client_progress(readiness.slot, result);
    }

    pub(super) fn on_call_deadline(&mut self, call: CallId, slot: usize) {
        let Some(connection) = self.sockets.client(slot) else {
            return;
        };
        if connection.is_waiting_for(call) {
            let result = connection.fail();
            self.after_client_progress(slot, result);
        }
    }

    /// Reports the result of a call, if there is one, and closes its connection or keeps it for the next call.
    fn after_client_progress(&mut self, slot: usize, result: Option<CallResult>) {
        let Some(connection) = self.sockets.client(slot) else {
            return;
        };
        let call = connection.call();
        let phase = connection.phase();
        let idle = IdleConnection {
            slot,
            address: connection.address(),
            last_call: call,
        };
        if let Some(result) = result {
            self.report_result(call, result);
        }
        match phase {
            Phase::Closed => {
                self.idle_pool.remove(&idle);
                self.sockets.close(slot);
            }
            Phase::Idle => self.keep_idle(idle),
            Phase::Connecting | Phase::Busy => {}
        }
    }

    /// Adds a connection to the idle pool, and closes those that exceed the limits of the pool.
    fn keep_idle(&mut self, idle: IdleConnection) {
        if let Some(surplus) = self.idle_pool.add(idle) {
            self.sockets.close(surplus.slot);
        }
        while self.idle_pool.len() > self.sockets.max_idle_clients() {
            self.evict_idle_connection();
        }
    }

    fn report_result(&mut self, call: CallId, result: CallResult) {
        self.events
            .push_back(TransportEvent::Reply { call, result });
    }
}
