//! The server side of a connection: one request at a time, then its response.

use mio::net::TcpStream;
use std::net::Shutdown;
use std::time::Duration;

use super::event::{ConnectionId, ListenerKind};
use super::http::{self, Parsed, Request, Response};
use super::nonblocking::{self, OutputBuffer, ReadProgress, WriteProgress, READ_CHUNK_BYTES};
use crate::types::Time;

/// How long a peer may be silent while it sends a request or receives a response.
pub(super) const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection is kept open without a request.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(90);
/// Shortest interval between checks of a connection's deadline.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Most bytes that a peer may still send after the last response before its connection is closed.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// Most input that is buffered: a request with its head and the beginning of the next one. A peer that sends more has
/// to wait (backpressure).
const MAX_INPUT_BYTES: usize = http::MAX_BODY_BYTES + 16 * 1024;

/// The state of an accepted connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waiting for a request, or receiving one.
    Reading,
    /// A request was passed to the node, which has not responded yet.
    Serving,
    /// The response is being written.
    Writing,
    /// The last response has been sent. Input is discarded until the peer closes its side: closing the socket at once
    /// would reset the connection, which could destroy the response on its way.
    Draining,
    /// The connection has ended: the socket is to be closed.
    Closed,
}

/// Result of checking the deadline of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeadlineCheck {
    /// The peer was silent for too long: the connection is to be closed.
    TimedOut,
    /// The deadline is to be checked again at this time.
    CheckAgainAt(Time),
}

/// An accepted connection.
pub(super) struct ServerConnection {
    stream: TcpStream,
    id: ConnectionId,
    listener: ListenerKind,
    phase: Phase,
    /// Received bytes that have not been parsed as a request yet.
    input: Vec<u8>,
    /// No more input is read: the peer has closed its side, or has sent too much while draining.
    has_input_ended: bool,
    output: OutputBuffer,
    /// The connection is closed after the response to the current request.
    closes_after_response: bool,
    /// Bytes discarded while draining.
    discarded_bytes: usize,
    /// When bytes were last received or a response was last completely sent.
    last_active_at: Time,
}

impl ServerConnection {
    pub(super) fn new(
        stream: TcpStream,
        id: ConnectionId,
        listener: ListenerKind,
        now: Time,
    ) -> ServerConnection {
        ServerConnection {
            stream,
            id,
            listener,
            phase: Phase::Reading,
            input: Vec::new(),
            has_input_ended: false,
            output: OutputBuffer::default(),
            closes_after_response: false,
            discarded_bytes: 0,
            last_active_at: now,
        }
    }

    /// The socket, to be registered with the poller.
    pub(super) fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    pub(super) fn id(&self) -> ConnectionId {
        self.id
    }

    /// The listener that accepted the connection.
    pub(super) fn listener(&self) -> ListenerKind {
        self.listener
    }

    /// When bytes were last received or a response was last completely sent.
    pub(super) fn last_active_at(&self) -> Time {
        self.last_active_at
    }

    /// Whether the connection waits for a request of which nothing has been received yet.
    pub(super) fn is_idle(&self) -> bool {
        self.phase == Phase::Reading && self.input.is_empty()
    }

    /// Whether the connection has ended, so that its socket is to be closed.
    pub(super) fn is_closed(&self) -> bool {
        self.phase == Phase::Closed
    }

    /// Reads the bytes that have arrived. Returns a request once one is complete.
    pub(super) fn on_readable(&mut self, now: Time) -> Option<Request> {
        if matches!(self.phase, Phase::Reading | Phase::Draining) {
            self.receive(now);
        }
        self.next_request(now)
    }

    /// Continues to write a response. Returns the next request if it has already arrived completely.
    pub(super) fn on_writable(&mut self, now: Time) -> Option<Request> {
        if self.phase != Phase::Writing {
            return None;
        }
        match self.output.flush(&mut self.stream) {
            Ok(WriteProgress::WouldBlock) => None,
            Ok(WriteProgress::Complete) => self.finish_response(now),
            Err(_) => {
                self.enter(Phase::Closed);
                None
            }
        }
    }

    /// Sends the response to the request that was passed to the node. Returns the next request if it has already
    /// arrived completely.
    pub(super) fn respond(&mut self, response: &Response, now: Time) -> Option<Request> {
        if self.phase != Phase::Serving {
            return None;
        }
        let mut output = Vec::new();
        http::write_response(&mut output, response, self.closes_after_response);
        self.output = OutputBuffer::new(output);
        self.enter(Phase::Writing);
        self.on_writable(now)
    }

    /// Checks whether the peer was silent for too long. A connection does not time out while the node processes its
    /// request, since the node responds within time limits of its own.
    pub(super) fn check_deadline(&self, now: Time) -> DeadlineCheck {
        let timeout = match self.phase {
            Phase::Reading if self.is_idle() => KEEP_ALIVE_TIMEOUT,
            Phase::Serving => KEEP_ALIVE_TIMEOUT,
            _ => TRANSFER_TIMEOUT,
        };
        if self.phase != Phase::Serving && now.since(self.last_active_at) >= timeout {
            return DeadlineCheck::TimedOut;
        }
        let deadline = self.last_active_at.after(timeout);
        DeadlineCheck::CheckAgainAt(deadline.max(now.after(MIN_CHECK_INTERVAL)))
    }

    /// Changes the phase; no other function does.
    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        if phase == Phase::Draining {
            self.input = Vec::new();
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }

    /// Reads until the socket would block or the input buffer is full.
    fn receive(&mut self, now: Time) {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        while !self.has_input_ended && self.input.len() < MAX_INPUT_BYTES {
            match nonblocking::read(&mut self.stream, &mut chunk) {
                Ok(ReadProgress::Bytes(count)) if self.phase == Phase::Draining => {
                    self.discarded_bytes += count;
                    self.has_input_ended = self.discarded_bytes > MAX_DISCARDED_BYTES;
                }
                Ok(ReadProgress::Bytes(count)) => {
                    self.last_active_at = now;
                    self.input.extend_from_slice(&chunk[..count]);
                }
                Ok(ReadProgress::Eof) => self.has_input_ended = true,
                Ok(ReadProgress::WouldBlock) => break,
                Err(_) => {
                    self.enter(Phase::Closed);
                    return;
                }
            }
        }
        if self.has_input_ended && self.phase == Phase::Draining {
            self.enter(Phase::Closed);
        }
    }

    /// Takes the next request off the input once it is complete. A malformed request is answered here.
    fn next_request(&mut self, now: Time) -> Option<Request> {
        if self.phase != Phase::Reading {
            return None;
        }
        let parsed = if self.input.is_empty() {
            Ok(Parsed::Partial)
        } else {
            http::parse_request(&self.input)
        };
        match parsed {
            Ok(Parsed::Complete { message, length }) => {
                self.input.drain(..length);
                if self.input.is_empty() {
                    // Frees the buffer, since most connections are idle most of the time.
                    self.input = Vec::new();
                }
                self.closes_after_response = message.close;
                self.enter(Phase::Serving);
                Some(message)
            }
            Ok(Parsed::Partial) => {
                if self.has_input_ended {
                    self.enter(Phase::Closed);
                }
                None
            }
            Err(error) => {
                self.closes_after_response = true;
                self.enter(Phase::Serving);
                self.respond(&Response::new(error.status(), Vec::new()), now)
            }
        }
    }

    /// Called when a response has been sent completely. Returns the next request if it has already arrived completely.
    fn finish_response(&mut self, now: Time) -> Option<Request> {
        self.output = OutputBuffer::default();
        self.last_active_at = now;
        if self.closes_after_response {
            self.enter(Phase::Draining);
        } else {
            self.enter(Phase::Reading);
        }
        // The edge-triggered poller does not report again bytes that arrived while the response was written.
        self.on_readable(now)
    }
}
