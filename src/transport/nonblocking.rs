//! Reading from and writing to non-blocking sockets.

use std::io::{self, ErrorKind, Read, Write};

/// Size of the buffer for one read.
pub(super) const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Result of one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadProgress {
    /// This many bytes were read, at least one.
    Bytes(usize),
    /// No more bytes have arrived yet. The poller reports when there are more.
    WouldBlock,
    /// The peer has closed its side: no more bytes will arrive.
    Eof,
}

/// Reads the bytes that have arrived, as many as fit into `buffer`.
///
/// # Errors
///
/// If the connection failed.
pub(super) fn read(stream: &mut impl Read, buffer: &mut [u8]) -> io::Result<ReadProgress> {
    loop {
        match stream.read(buffer) {
            Ok(0) => return Ok(ReadProgress::Eof),
            Ok(count) => return Ok(ReadProgress::Bytes(count)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                return Ok(ReadProgress::WouldBlock)
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}

/// Whether all pending output has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteProgress {
    /// No output is pending.
    Complete,
    /// The send buffer of the socket is full. The poller reports when there is space again.
    WouldBlock,
}

/// A message that is being sent.
#[derive(Debug, Default)]
pub(super) struct OutputBuffer {
    bytes: Vec<u8>,
    /// How many of the bytes have been written.
    written_bytes: usize,
}

impl OutputBuffer {
    /// A message of which nothing has been written yet.
    pub(super) fn new(bytes: Vec<u8>) -> OutputBuffer {
        OutputBuffer {
            bytes,
            written_bytes: 0,
        }
    }

    /// Whether at least one byte has been written.
    pub(super) fn has_started(&self) -> bool {
        self.written_bytes > 0
    }

    /// Writes as much as the socket accepts without blocking.
    ///
    /// # Errors
    ///
    /// If the connection failed.
    pub(super) fn flush(&mut self, stream: &mut impl Write) -> io::Result<WriteProgress> {
        while self.written_bytes < self.bytes.len() {
            match stream.write(&self.bytes[self.written_bytes..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.written_bytes += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return Ok(WriteProgress::WouldBlock)
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(WriteProgress::Complete)
    }
}
