//! The calling side: kept connections, one call at a time on each, every call with a time limit.

use mio::net::TcpStream;
use std::io::{Read, Write};
use std::net::SocketAddr;

use super::http::{self, Parsed, Response};

/// Names one call for as long as the process lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No byte of the request left this process: it was surely not carried out.
    NotSent,
    /// The same, for want of a socket here: it says nothing of the other side.
    NoSocket,
    /// The request may have been carried out, or may yet be.
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Connecting,
    /// A request is being written or its response awaited.
    Busy,
    /// Kept for the next call.
    Idle,
    Closed,
}

pub(super) struct ClientConn {
    stream: TcpStream,
    pub to: SocketAddr,
    pub call: CallId,
    pub phase: Phase,
    output: Vec<u8>,
    written: usize,
    input: Vec<u8>,
}

const READ_STEP: usize = 16 * 1024;

impl ClientConn {
    pub(super) fn connect(
        to: SocketAddr,
        call: CallId,
        request: Vec<u8>,
    ) -> std::io::Result<ClientConn> {
        let stream = TcpStream::connect(to)?;
        Ok(ClientConn {
            stream,
            to,
            call,
            phase: Phase::Connecting,
            output: request,
            written: 0,
            input: Vec::new(),
        })
    }

    pub(super) fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// The one place where a connection changes its phase.
    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        if phase == Phase::Idle {
            self.output = Vec::new();
            self.input = Vec::new();
        }
    }

    /// Starts the next call on a kept connection.
    pub(super) fn reuse(
        &mut self,
        call: CallId,
        request: Vec<u8>,
    ) -> Option<Result<Response, CallError>> {
        self.call = call;
        self.output = request;
        self.written = 0;
        self.enter(Phase::Busy);
        self.flush()
    }

    /// Ends the connection and says what that means for the call on it, if there is one.
    pub(super) fn fail(&mut self) -> Option<Result<Response, CallError>> {
        let error = match self.phase {
            Phase::Connecting => Some(CallError::NotSent),
            Phase::Busy if self.written == 0 => Some(CallError::NotSent),
            Phase::Busy => Some(CallError::Lost),
            Phase::Idle | Phase::Closed => None,
        };
        self.enter(Phase::Closed);
        error.map(Err)
    }

    pub(super) fn ready(
        &mut self,
        readable: bool,
        writable: bool,
    ) -> Option<Result<Response, CallError>> {
        if self.phase == Phase::Connecting {
            if !writable {
                return None;
            }
            if let Ok(Some(_)) | Err(_) = self.stream.take_error() {
                return self.fail();
            }
            match self.stream.peer_addr() {
                Ok(_) => {
                    let _ = self.stream.set_nodelay(true);
                    self.enter(Phase::Busy);
                }
                Err(e) if e.kind() == std::io::ErrorKind::NotConnected => return None,
                Err(_) => return self.fail(),
            }
        }
        if writable && self.phase == Phase::Busy {
            if let Some(ended) = self.flush() {
                return Some(ended);
            }
        }
        if readable && matches!(self.phase, Phase::Busy | Phase::Idle) {
            return self.read();
        }
        None
    }

    fn flush(&mut self) -> Option<Result<Response, CallError>> {
        while self.written < self.output.len() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return self.fail(),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return None,
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => return self.fail(),
            }
        }
        None
    }

    fn read(&mut self) -> Option<Result<Response, CallError>> {
        let mut chunk = [0u8; READ_STEP];
        let mut ended = false;
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => {
                    ended = true;
                    break;
                }
                // Nothing may come on a connection that has no call.
                Ok(_) if self.phase == Phase::Idle => return self.fail(),
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => return self.fail(),
            }
        }
        if self.phase == Phase::Idle {
            return if ended { self.fail() } else { None };
        }
        if self.input.is_empty() {
            return if ended { self.fail() } else { None };
        }
        match http::parse_response(&self.input, ended) {
            Ok(Parsed::Complete {
                message: response,
                length,
            }) => {
                let keep = !ended && !response.close && length == self.input.len();
                self.enter(if keep { Phase::Idle } else { Phase::Closed });
                Some(Ok(response))
            }
            Ok(Parsed::Partial) if !ended => None,
            _ => self.fail(),
        }
    }
}
