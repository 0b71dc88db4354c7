//! The one operation that is under way.

use std::mem;

use lichencrank_store::{Request, Time};

use super::operation::{Operation, Purpose};
use crate::records::RecordKey;

/// An operation that was sent.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) operation: Operation,
    /// When it was sent for the first time.
    pub(super) first_sent_at: Time,
    /// Whether it was sent before with an unknown outcome, and may have been carried out then.
    pub(super) is_retry: bool,
}

#[derive(Debug, Default)]
enum State {
    /// No operation is under way.
    #[default]
    Idle,
    /// The outcome is awaited.
    Sent(Attempt),
    /// The outcome is unknown: it may have been carried out, or may yet be. Nothing but the very same
    /// request may follow, until the store says which.
    RetryDue(Attempt),
}

/// The operation under way, if there is one.
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
        self.sent(Attempt {
            operation,
            first_sent_at: now,
            is_retry: false,
        })
    }

    /// Sends an operation again whose outcome is unknown; `None` if there is none.
    pub(super) fn resend(&mut self) -> Option<Request> {
        match mem::take(&mut self.state) {
            State::RetryDue(attempt) => Some(self.sent(Attempt {
                is_retry: true,
                ..attempt
            })),
            other => {
                self.state = other;
                None
            }
        }
    }

    fn sent(&mut self, attempt: Attempt) -> Request {
        let request = attempt.operation.request.clone();
        self.state = State::Sent(attempt);
        request
    }

    /// Takes the operation whose outcome has come; `None` if none is awaited.
    pub(super) fn take_sent(&mut self) -> Option<Attempt> {
        match mem::take(&mut self.state) {
            State::Sent(attempt) => Some(attempt),
            other => {
                self.state = other;
                None
            }
        }
    }

    /// The outcome is unknown: the operation has to be sent again before anything else.
    pub(super) fn retry(&mut self, attempt: Attempt) {
        self.state = State::RetryDue(attempt);
    }

    /// Whether the operation under way writes that record.
    pub(super) fn writes(&self, key: &RecordKey) -> bool {
        let (State::Sent(attempt) | State::RetryDue(attempt)) = &self.state else {
            return false;
        };
        match &attempt.operation.purpose {
            Purpose::Commit { writes, .. } => writes.iter().any(|write| write.key == *key),
            _ => false,
        }
    }
}
