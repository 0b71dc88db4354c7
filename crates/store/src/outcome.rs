//! What the responses of the store mean.

use std::time::Duration;

use crate::codec::{decode, DecodeError};
use crate::ids::{LeaseId, Version};
use crate::messages::{CommitResponse, ConflictResponse, Item, LeaseResponse, Page, WatchEvents};
use crate::request::RequestKind;

/// How long to wait before a request that was over the rate limit is repeated.
pub const RATE_LIMIT_PAUSE: Duration = Duration::from_millis(200);

/// What became of a request.
#[derive(Debug)]
pub enum Outcome {
    /// The key's value and version; `None` if it does not exist.
    Item(Option<Item>),
    /// A page of keys.
    Page(Page),
    /// The transaction was carried out; its changes have that version.
    Committed(Version),
    /// The conditions on these keys were not met; nothing was changed.
    Conflict(Vec<String>),
    /// The new lease.
    LeaseGranted(LeaseId),
    /// The lease was renewed or ended.
    LeaseUpdated,
    /// The lease has expired or was ended.
    LeaseGone,
    /// Changes that a watch brought.
    WatchEvents(WatchEvents),
    /// The store no longer has the changes after the revision at which the watch begins: the state has to
    /// be read again.
    RevisionTooOld,
    /// Not processed: the store, or the way to it, is out of order for now.
    Unavailable,
    /// Not processed, since the rate limit is used up: the store itself is healthy.
    RateLimited {
        /// How long to wait before it is repeated.
        retry_after: Duration,
    },
    /// It may have been processed, or may yet be.
    Unknown,
    /// The store refuses it for its content; repeating it is of no use.
    Invalid,
}

impl Outcome {
    /// Reads the response to a request of that kind: its status code and body.
    pub fn read(kind: RequestKind, status: u16, body: &[u8]) -> Outcome {
        match status {
            429 => {
                tracing::debug!("store: over the rate limit");
                Outcome::RateLimited {
                    retry_after: RATE_LIMIT_PAUSE,
                }
            }
            503 => Outcome::Unavailable,
            400 => {
                tracing::warn!("store: 400 {}", String::from_utf8_lossy(body));
                Outcome::Invalid
            }
            _ => Outcome::read_result(kind, status, body).unwrap_or_else(|error| {
                tracing::warn!("store: answer not understood: {error}");
                Outcome::Unknown
            }),
        }
    }

    /// Reads a response whose meaning depends on the kind of its request.
    fn read_result(kind: RequestKind, status: u16, body: &[u8]) -> Result<Outcome, DecodeError> {
        let outcome = match (status, kind) {
            (200, RequestKind::Get) => Outcome::Item(Some(decode(body)?)),
            (404, RequestKind::Get) => Outcome::Item(None),
            (200, RequestKind::List) => Outcome::Page(decode(body)?),
            (200, RequestKind::Txn) => Outcome::Committed(decode::<CommitResponse>(body)?.revision),
            (409, RequestKind::Txn) => Outcome::Conflict(decode::<ConflictResponse>(body)?.keys),
            (200, RequestKind::GrantLease) => {
                Outcome::LeaseGranted(decode::<LeaseResponse>(body)?.lease)
            }
            (200, RequestKind::UpdateLease) => Outcome::LeaseUpdated,
            (404, RequestKind::UpdateLease) => Outcome::LeaseGone,
            (200, RequestKind::Watch) => Outcome::WatchEvents(decode(body)?),
            (410, RequestKind::Watch) => Outcome::RevisionTooOld,
            (status, _) => {
                tracing::warn!("store: unexpected status {status}");
                Outcome::Unknown
            }
        };
        Ok(outcome)
    }

    /// Whether the store itself has answered, so that it is known to be reachable.
    pub fn is_answer(&self) -> bool {
        !matches!(self, Outcome::Unavailable | Outcome::Unknown)
    }
}
