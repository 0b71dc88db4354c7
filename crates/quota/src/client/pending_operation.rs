//! The operation that is in flight. There is at most one.

use std::mem;

use lichencrank_store::{Request, Time};

use super::operation::{Operation, Purpose};
use crate::records::RecordKey;

/// An operation that was sent to the store.
#[derive(Debug)]
pub(super) struct SentOperation {
    pub(super) operation: Operation,
    /// When the operation was sent for the first time.
    pub(super) first_sent_at: Time,
    /// Whether the operation was sent before with an unknown outcome, so that it may have been carried out
    /// already.
    pub(super) is_retry: bool,
}

#[derive(Debug, Default)]
enum State {
    /// No operation is in flight.
    #[default]
    Idle,
    /// The outcome of the operation is awaited.
    Sent(SentOperation),
    /// The outcome is unknown: the operation may have been carried out, or still may be. The same request
    /// has to be sent again, and no other one, until the store reports the outcome.
    RetryDue(SentOperation),
}

/// The operation in flight, if there is one.
#[derive(Debug, Default)]
pub(super) struct PendingOperation {
    state: State,
}

impl PendingOperation {
    /// Whether the outcome of a request is awaited.
    pub(super) fn is_awaiting_outcome(&self) -> bool {
        matches!(self.state, State::Sent(_))
    }

    /// Sends an operation for the first time.
    pub(super) fn send(&mut self, operation: Operation, now: Time) -> Request {
        self.record_sent(SentOperation {
            operation,
            first_sent_at: now,
            is_retry: false,
        })
    }

    /// Sends the operation whose outcome is unknown again; `None` if there is none.
    pub(super) fn resend(&mut self) -> Option<Request> {
        match mem::take(&mut self.state) {
            State::RetryDue(sent) => Some(self.record_sent(SentOperation {
                is_retry: true,
                ..sent
            })),
            other => {
                self.state = other;
                None
            }
        }
    }

    fn record_sent(&mut self, sent: SentOperation) -> Request {
        let request = sent.operation.request.clone();
        self.state = State::Sent(sent);
        request
    }

    /// Takes the operation whose outcome has arrived; `None` if no outcome is awaited.
    pub(super) fn take_sent(&mut self) -> Option<SentOperation> {
        match mem::take(&mut self.state) {
            State::Sent(sent) => Some(sent),
            other => {
                self.state = other;
                None
            }
        }
    }

    /// The outcome is unknown: the operation has to be sent again before anything else.
    pub(super) fn retry(&mut self, sent: SentOperation) {
        self.state = State::RetryDue(sent);
    }

    /// Whether the operation in flight writes the record of that key.
    pub(super) fn writes(&self, key: &RecordKey) -> bool {
        let (State::Sent(sent) | State::RetryDue(sent)) = &self.state else {
            return false;
        };
        match &sent.operation.purpose {
            Purpose::Commit { writes, .. } => writes.iter().any(|write| write.key == *key),
            _ => false,
        }
    }
}
