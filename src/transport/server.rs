//! The accepting side of a connection: one request at a time, then its response.

use mio::net::TcpStream;
use std::io::{Read, Write};

use super::event_loop::ListenerKind;
use super::http::{self, Parsed, Request, Response};
use crate::types::Time;

/// Names one accepted connection for as long as the process lives; slots are reused, ids are not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId {
    /// Place of the connection in its table.
    pub slot: usize,
    /// Tells connections in the same place apart.
    pub serial: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waiting for a request or in the middle of reading one.
    Reading,
    /// A request is with the service, which has not answered yet.
    Serving,
    /// The response is being written.
    Writing,
    /// All is said; what the peer still sends is thrown away until it closes.
    Draining,
    Closed,
}

pub(super) struct ServerConn {
    stream: TcpStream,
    pub id: ConnId,
    pub listener: ListenerKind,
    pub phase: Phase,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    close_after: bool,
    ended: bool,
    drained: usize,
    pub last_used: Time,
}

/// What a closing connection may still send before it is cut.
const MAX_DRAIN: usize = 1024 * 1024;
const READ_STEP: usize = 16 * 1024;
/// A request and a little of the next; a peer that sends more waits.
const MAX_INPUT: usize = http::MAX_BODY_BYTES + 16 * 1024;

impl ServerConn {
    pub(super) fn new(
        stream: TcpStream,
        id: ConnId,
        listener: ListenerKind,
        now: Time,
    ) -> ServerConn {
        ServerConn {
            stream,
            id,
            listener,
            phase: Phase::Reading,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            close_after: false,
            ended: false,
            drained: 0,
            last_used: now,
        }
    }

    pub(super) fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Waiting for the next request with none of it read.
    pub(super) fn is_idle(&self) -> bool {
        self.phase == Phase::Reading && self.input.is_empty()
    }

    /// The one place where a connection changes its phase.
    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        if phase == Phase::Draining {
            self.input = Vec::new();
            let _ = self.stream.shutdown(std::net::Shutdown::Write);
        }
    }

    /// Reads what has come and returns a request once one is whole.
    pub(super) fn readable(&mut self, now: Time) -> Option<Request> {
        if matches!(self.phase, Phase::Reading | Phase::Draining) {
            self.fill(now);
        }
        self.next_request(now)
    }

    fn fill(&mut self, now: Time) {
        let mut chunk = [0u8; READ_STEP];
        while !self.ended && self.input.len() < MAX_INPUT {
            match self.stream.read(&mut chunk) {
                Ok(0) => self.ended = true,
                Ok(n) if self.phase == Phase::Draining => {
                    self.drained += n;
                    if self.drained > MAX_DRAIN {
                        self.ended = true;
                    }
                }
                Ok(n) => {
                    self.last_used = now;
                    self.input.extend_from_slice(&chunk[..n]);
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.enter(Phase::Closed);
                    return;
                }
            }
        }
        if self.ended && self.phase == Phase::Draining {
            self.enter(Phase::Closed);
        }
    }

    fn next_request(&mut self, now: Time) -> Option<Request> {
        if self.phase != Phase::Reading {
            return None;
        }
        if self.input.is_empty() {
            if self.ended {
                self.enter(Phase::Closed);
            }
            return None;
        }
        match http::parse_request(&self.input) {
            Ok(Parsed::Complete {
                message: request,
                length,
            }) => {
                self.input.drain(..length);
                if self.input.is_empty() {
                    self.input = Vec::new();
                }
                self.close_after = request.close;
                self.enter(Phase::Serving);
                Some(request)
            }
            Ok(Parsed::Partial) => {
                if self.ended {
                    self.enter(Phase::Closed);
                }
                None
            }
            Err(error) => {
                self.close_after = true;
                self.enter(Phase::Serving);
                self.respond(&Response::new(error.status(), Vec::new()), now)
            }
        }
    }

    /// Sends the response; returns the next request if it has come already.
    pub(super) fn respond(&mut self, response: &Response, now: Time) -> Option<Request> {
        if self.phase != Phase::Serving {
            return None;
        }
        self.output.clear();
        self.written = 0;
        http::write_response(&mut self.output, response, self.close_after);
        self.enter(Phase::Writing);
        self.writable(now)
    }

    pub(super) fn writable(&mut self, now: Time) -> Option<Request> {
        if self.phase != Phase::Writing {
            return None;
        }
        while self.written < self.output.len() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => {
                    self.enter(Phase::Closed);
                    return None;
                }
                Ok(n) => self.written += n,
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return None,
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.enter(Phase::Closed);
                    return None;
                }
            }
        }
        self.output = Vec::new();
        self.last_used = now;
        if self.close_after {
            self.enter(Phase::Draining);
        } else {
            self.enter(Phase::Reading);
        }
        // Bytes that came while the request was served raised no new event: look at once.
        self.readable(now)
    }
}
