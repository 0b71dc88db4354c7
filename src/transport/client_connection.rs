//! The client side of a connection: one call at a time; the connection is kept open for the next one.

use mio::net::TcpStream;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use super::event::{CallError, CallId};
use super::http::{self, Parsed, Response};
use super::nonblocking::{self, OutputBuffer, ReadProgress, READ_CHUNK_BYTES};

/// Result of a call.
pub(super) type CallResult = Result<Response, CallError>;

/// The state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The connection is being established for a call.
    Connecting,
    /// A request is being written, or its response is awaited.
    Busy,
    /// No call is in progress; the connection is kept for the next one.
    Idle,
    /// The connection has ended: the socket is to be closed.
    Closed,
}

/// A connection to a server.
pub(super) struct ClientConnection {
    stream: TcpStream,
    address: SocketAddr,
    /// The call in progress, or the last one.
    call: CallId,
    phase: Phase,
    output: OutputBuffer,
    input: Vec<u8>,
}

impl ClientConnection {
    /// Starts to connect, for a call that sends `request`.
    ///
    /// # Errors
    ///
    /// If no socket could be opened, or there is no route to the address.
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

    /// The call in progress, or the last one.
    pub(super) fn call(&self) -> CallId {
        self.call
    }

    pub(super) fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether the call is in progress on this connection.
    pub(super) fn is_waiting_for(&self, call: CallId) -> bool {
        self.call == call && matches!(self.phase, Phase::Connecting | Phase::Busy)
    }

    /// Starts the next call on an idle connection. Returns its result if it fails at once.
    pub(super) fn reuse(&mut self, call: CallId, request: Vec<u8>) -> Option<CallResult> {
        self.call = call;
        self.output = OutputBuffer::new(request);
        self.enter(Phase::Busy);
        self.flush()
    }

    /// Abandons the connection. Returns the result of the call that was in progress, if any.
    pub(super) fn fail(&mut self) -> Option<CallResult> {
        let error = match self.phase {
            Phase::Connecting => Some(CallError::NotSent),
            Phase::Busy if self.output.has_started() => Some(CallError::Lost),
            Phase::Busy => Some(CallError::NotSent),
            Phase::Idle | Phase::Closed => None,
        };
        self.enter(Phase::Closed);
        error.map(Err)
    }

    /// Continues the call as far as the socket is ready. Returns the call's result once there is one.
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

    /// Changes the phase; no other function does.
    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        if phase == Phase::Idle {
            self.output = OutputBuffer::default();
            self.input = Vec::new();
        }
    }

    /// Checks whether the connection is established. Returns the call's result if connecting failed.
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
            // The poller may report a socket that is still connecting.
            Err(error) if error.kind() == ErrorKind::NotConnected => None,
            Err(_) => self.fail(),
        }
    }

    /// Writes as much as the socket accepts. Returns the call's result if the connection failed.
    fn flush(&mut self) -> Option<CallResult> {
        match self.output.flush(&mut self.stream) {
            Ok(_) => None,
            Err(_) => self.fail(),
        }
    }

    /// Reads the bytes that have arrived. Returns the call's result once there is one.
    fn receive(&mut self) -> Option<CallResult> {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        let mut peer_closed = false;
        loop {
            match nonblocking::read(&mut self.stream, &mut chunk) {
                // A server must not send anything while no call is in progress.
                Ok(ReadProgress::Bytes(_)) if self.phase == Phase::Idle => return self.fail(),
                Ok(ReadProgress::Bytes(count)) => self.input.extend_from_slice(&chunk[..count]),
                Ok(ReadProgress::WouldBlock) => break,
                Ok(ReadProgress::Eof) => {
                    peer_closed = true;
                    break;
                }
                Err(_) => return self.fail(),
            }
        }
        if self.input.is_empty() {
            return if peer_closed { self.fail() } else { None };
        }
        match http::parse_response(&self.input, peer_closed) {
            Ok(Parsed::Complete { message, length }) => {
                let is_reusable = !peer_closed && !message.close && length == self.input.len();
                self.enter(if is_reusable {
                    Phase::Idle
                } else {
                    Phase::Closed
                });
                Some(Ok(message))
            }
            Ok(Parsed::Partial) if !peer_closed => None,
            Ok(Parsed::Partial) | Err(_) => self.fail(),
        }
    }
}
