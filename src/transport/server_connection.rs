//! The server's side of a connection: one request at a time, then its response.

use mio::net::TcpStream;
use std::net::Shutdown;
use std::time::Duration;

use super::event::{ConnectionId, ListenerKind};
use super::http::{self, Parsed, Request, Response};
use super::nonblocking::{self, OutputBuffer, ReadProgress, WriteProgress, READ_CHUNK_BYTES};
use crate::types::Time;

/// How long a peer may be silent while it sends a request, or while it is sent a response.
pub(super) const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection is kept open without a request.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(90);
/// The deadline of a connection is checked no more often than this.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// What a peer may still send after the last response before it is cut off, in bytes.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// The most input that is buffered: a request with its head and a little of the next one. A peer that
/// sends more has to wait (backpressure).
const MAX_INPUT_BYTES: usize = http::MAX_BODY_BYTES + 16 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waiting for a request, or receiving one.
    Reading,
    /// The node has a request and has not responded yet.
    Serving,
    /// The response is being written.
    Writing,
    /// The last response is sent. What the peer still sends is discarded until it closes its side; closing
    /// at once would reset the connection and could destroy the response on its way.
    Draining,
    /// Over: the socket is to be closed.
    Closed,
}

/// What follows from a deadline that has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeadlineCheck {
    /// The connection is to be closed.
    TimedOut,
    /// It is to be checked again at that time.
    CheckAgainAt(Time),
}

/// An accepted connection.
pub(super) struct ServerConnection {
    stream: TcpStream,
    id: ConnectionId,
    listener: ListenerKind,
    phase: Phase,
    /// Received bytes that are not part of a request yet.
    input: Vec<u8>,
    /// Nothing more is read: the peer has closed its side, or has sent too much while draining.
    input_ended: bool,
    output: OutputBuffer,
    /// The connection is closed after the response that is under way.
    close_after_response: bool,
    /// Bytes discarded while draining.
    discarded_bytes: usize,
    /// When bytes were last received, or a response was last sent completely.
    last_active: Time,
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
            input_ended: false,
            output: OutputBuffer::default(),
            close_after_response: false,
            discarded_bytes: 0,
            last_active: now,
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

    /// When bytes were last received, or a response was last sent completely.
    pub(super) fn last_active(&self) -> Time {
        self.last_active
    }

    /// Whether it waits for a request of which nothing was received yet.
    pub(super) fn is_idle(&self) -> bool {
        self.phase == Phase::Reading && self.input.is_empty()
    }

    /// Whether it is over, so that its socket is to be closed.
    pub(super) fn is_closed(&self) -> bool {
        self.phase == Phase::Closed
    }

    /// Reads what has arrived. Returns a request once one is complete.
    pub(super) fn on_readable(&mut self, now: Time) -> Option<Request> {
        if matches!(self.phase, Phase::Reading | Phase::Draining) {
            self.receive(now);
        }
        self.next_request(now)
    }

    /// Goes on writing a response. Returns the next request if it has arrived completely.
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

    /// Sends the response to the request that the node has. Returns the next request if it has arrived
    /// completely.
    pub(super) fn respond(&mut self, response: &Response, now: Time) -> Option<Request> {
        if self.phase != Phase::Serving {
            return None;
        }
        let mut output = Vec::new();
        http::write_response(&mut output, response, self.close_after_response);
        self.output = OutputBuffer::new(output);
        self.enter(Phase::Writing);
        self.on_writable(now)
    }

    /// Whether the peer was silent for too long. A connection whose request the node has does not time
    /// out: the node answers within limits of its own.
    pub(super) fn check_deadline(&self, now: Time) -> DeadlineCheck {
        let timeout = match self.phase {
            Phase::Reading if self.is_idle() => KEEP_ALIVE_TIMEOUT,
            Phase::Serving => KEEP_ALIVE_TIMEOUT,
            _ => TRANSFER_TIMEOUT,
        };
        if self.phase != Phase::Serving && now.since(self.last_active) >= timeout {
            return DeadlineCheck::TimedOut;
        }
        let due = self.last_active.after(timeout);
        DeadlineCheck::CheckAgainAt(due.max(now.after(MIN_CHECK_INTERVAL)))
    }

    /// The one place where a connection changes its phase.
    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        if phase == Phase::Draining {
            self.input = Vec::new();
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }

    /// Reads until nothing more has arrived, or the buffer is full.
    fn receive(&mut self, now: Time) {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        while !self.input_ended && self.input.len() < MAX_INPUT_BYTES {
            match nonblocking::read(&mut self.stream, &mut chunk) {
                Ok(ReadProgress::Bytes(count)) if self.phase == Phase::Draining => {
                    self.discarded_bytes += count;
                    self.input_ended = self.discarded_bytes > MAX_DISCARDED_BYTES;
                }
                Ok(ReadProgress::Bytes(count)) => {
                    self.last_active = now;
                    self.input.extend_from_slice(&chunk[..count]);
                }
                Ok(ReadProgress::End) => self.input_ended = true,
                Ok(ReadProgress::WouldBlock) => break,
                Err(_) => {
                    self.enter(Phase::Closed);
                    return;
                }
            }
        }
        if self.input_ended && self.phase == Phase::Draining {
            self.enter(Phase::Closed);
        }
    }

    /// Takes the next request off the input, once it is complete. A malformed one is answered here.
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
                    // Gives the memory back: most connections are idle for long.
                    self.input = Vec::new();
                }
                self.close_after_response = message.close;
                self.enter(Phase::Serving);
                Some(message)
            }
            Ok(Parsed::Partial) => {
                if self.input_ended {
                    self.enter(Phase::Closed);
                }
                None
            }
            Err(error) => {
                self.close_after_response = true;
                self.enter(Phase::Serving);
                self.respond(&Response::new(error.status(), Vec::new()), now)
            }
        }
    }

    /// A response is sent completely.
    fn finish_response(&mut self, now: Time) -> Option<Request> {
        self.output = OutputBuffer::default();
        self.last_active = now;
        if self.close_after_response {
            self.enter(Phase::Draining);
        } else {
            self.enter(Phase::Reading);
        }
        // The poller has reported bytes that arrived in the meantime, and does not report them again.
        self.on_readable(now)
    }
}
