//! Reads and writes on sockets that don't block.

use std::io::{self, ErrorKind, Read, Write};

/// How many bytes are read at once.
pub(super) const READ_CHUNK_BYTES: usize = 16 * 1024;

/// What one read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadProgress {
    /// That many bytes, at least one.
    Bytes(usize),
    /// Nothing more has arrived so far. The poller reports when there is more.
    WouldBlock,
    /// The peer has closed its side: nothing more will arrive.
    End,
}

/// Reads what has arrived, as much as fits into `chunk`.
///
/// # Errors
///
/// If the connection failed.
pub(super) fn read(stream: &mut impl Read, chunk: &mut [u8]) -> io::Result<ReadProgress> {
    loop {
        match stream.read(chunk) {
            Ok(0) => return Ok(ReadProgress::End),
            Ok(count) => return Ok(ReadProgress::Bytes(count)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                return Ok(ReadProgress::WouldBlock)
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}

/// Whether everything that is to be written was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteProgress {
    /// Nothing is left to be written.
    Complete,
    /// The operating system takes no more for now. The poller reports when it does.
    WouldBlock,
}

/// A message on its way out.
#[derive(Debug, Default)]
pub(super) struct OutputBuffer {
    bytes: Vec<u8>,
    /// How many of the bytes were written.
    written: usize,
}

impl OutputBuffer {
    /// A message of which nothing was written yet.
    pub(super) fn new(bytes: Vec<u8>) -> OutputBuffer {
        OutputBuffer { bytes, written: 0 }
    }

    /// Whether any byte was written.
    pub(super) fn is_begun(&self) -> bool {
        self.written > 0
    }

    /// Writes as much as the operating system takes.
    ///
    /// # Errors
    ///
    /// If the connection failed.
    pub(super) fn flush(&mut self, stream: &mut impl Write) -> io::Result<WriteProgress> {
        while self.written < self.bytes.len() {
            match stream.write(&self.bytes[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.written += count,
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
