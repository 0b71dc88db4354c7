//! The client's side of a connection: one call at a time; the connection is kept for the next one.

use mio::net::TcpStream;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use super::event::{CallError, CallId};
use super::http::{self, Parsed, Response};
use super::nonblocking::{self, OutputBuffer, ReadProgress, READ_CHUNK_BYTES};

/// How a call ended.
pub(super) type CallResult = Result<Response, CallError>;

/// What a connection does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The connection is being established for a call.
    Connecting,
    /// A request is being written, or its response awaited.
    Busy,
    /// No call is under way; the connection is kept for the next one.
    Idle,
    /// Over: the socket is to be closed.
    Closed,
}

/// A connection to a server.
pub(super) struct ClientConnection {
    stream: TcpStream,
    address: SocketAddr,
    /// The call that is under way, or the last one.
    call: CallId,
    phase: Phase,
    output: OutputBuffer,
    input: Vec<u8>,
}

impl ClientConnection {
    /// Begins to connect, for a call with that request.
    ///
    /// # Errors
    ///
    /// If no socket could be opened, or the address is not reachable from here.
    pub(super) fn connect(
        address: SocketAddr,
        call: CallId,
        request: Vec<u8>,
    ) -> io::Result<ClientConnection> {
        Ok(ClientConnection {
            stream: TcpStream::connect(address)?,
            address,
            call,
            phase: Phase::Connecting,
            output: OutputBuffer::new(request),
            input: Vec::new(),
        })
    }

    /// The socket, to be registered with the poller.
    pub(super) fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// The server's address.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The call that is under way, or the last one.
    pub(super) fn call(&self) -> CallId {
        self.call
    }

    pub(super) fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether that call is under way on this connection.
    pub(super) fn is_waiting_for(&self, call: CallId) -> bool {
        self.call == call && matches!(self.phase, Phase::Connecting | Phase::Busy)
    }

    /// Begins the next call on an idle connection. Returns its result if it fails at once.
    pub(super) fn reuse(&mut self, call: CallId, request: Vec<u8>) -> Option<CallResult> {
        self.call = call;
        self.output = OutputBuffer::new(request);
        self.enter(Phase::Busy);
        self.flush()
    }

    /// Gives the connection up. Returns the result of the call that was under way, if any.
    pub(super) fn fail(&mut self) -> Option<CallResult> {
        let error = match self.phase {
            Phase::Connecting => Some(CallError::NotSent),
            Phase::Busy if self.output.is_begun() => Some(CallError::Lost),
            Phase::Busy => Some(CallError::NotSent),
            Phase::Idle | Phase::Closed => None,
        };
        self.enter(Phase::Closed);
        error.map(Err)
    }

    /// Goes on with the call, as far as the socket is ready. Returns the call's result once there is one.
    pub(super) fn on_ready(&mut self, readable: bool, writable: bool) -> Option<CallResult> {
        if self.phase == Phase::Connecting {
            if !writable {
                return None;
            }
            if let Some(failed) = self.finish_connecting() {
                return Some(failed);
            }
        }
        if writable && self.phase == Phase::Busy {
            if let Some(failed) = self.flush() {
                return Some(failed);
            }
        }
        if readable && matches!(self.phase, Phase::Busy | Phase::Idle) {
            return self.receive();
        }
        None
    }

    /// The one place where a connection changes its phase.
    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        if phase == Phase::Idle {
            self.output = OutputBuffer::default();
            self.input = Vec::new();
        }
    }

    /// Finds out whether the connection is established. Returns the call's result if it failed.
    fn finish_connecting(&mut self) -> Option<CallResult> {
        if let Ok(Some(_)) | Err(_) = self.stream.take_error() {
            return self.fail();
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                let _ = self.stream.set_nodelay(true);
                self.enter(Phase::Busy);
                None
            }
            // Still connecting: the poller may report a socket before it is connected.
            Err(error) if error.kind() == ErrorKind::NotConnected => None,
            Err(_) => self.fail(),
        }
    }

    /// Writes what the operating system takes. Returns the call's result if the connection failed.
    fn flush(&mut self) -> Option<CallResult> {
        match self.output.flush(&mut self.stream) {
            Ok(_) => None,
            Err(_) => self.fail(),
        }
    }

    /// Reads what has arrived. Returns the call's result once there is one.
    fn receive(&mut self) -> Option<CallResult> {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        let mut at_end = false;
        loop {
            match nonblocking::read(&mut self.stream, &mut chunk) {
                // No server may send anything without a call.
                Ok(ReadProgress::Bytes(_)) if self.phase == Phase::Idle => return self.fail(),
                Ok(ReadProgress::Bytes(count)) => self.input.extend_from_slice(&chunk[..count]),
                Ok(ReadProgress::WouldBlock) => break,
                Ok(ReadProgress::End) => {
                    at_end = true;
                    break;
                }
                Err(_) => return self.fail(),
            }
        }
        if self.input.is_empty() {
            return if at_end { self.fail() } else { None };
        }
        match http::parse_response(&self.input, at_end) {
            Ok(Parsed::Complete { message, length }) => {
                let reusable = !at_end && !message.close && length == self.input.len();
                self.enter(if reusable { Phase::Idle } else { Phase::Closed });
                Some(Ok(message))
            }
            Ok(Parsed::Partial) if !at_end => None,
            Ok(Parsed::Partial) | Err(_) => self.fail(),
        }
    }
}
