//! The meaning of the store's responses.

use std::time::Duration;

use crate::codec::{decode, DecodeError};
use crate::ids::{LeaseId, Version};
use crate::messages::{CommitResponse, ConflictResponse, Item, LeaseResponse, Page, WatchEvents};
use crate::request::RequestKind;

/// How long to wait before a request that exceeded the rate limit is repeated.
pub const RATE_LIMIT_PAUSE: Duration = Duration::from_millis(200);

/// The outcome of a request.
#[derive(Debug)]
pub enum Outcome {
    /// The key's value and version; `None` if it does not exist.
    Item(Option<Item>),
    /// A page of keys.
    Page(Page),
    /// The transaction was committed; its changes have this version.
    Committed(Version),
    /// The conditions on these keys were not met; the transaction changed nothing.
    Conflict(Vec<String>),
    /// A lease was granted.
    LeaseGranted(LeaseId),
    /// The lease was renewed or ended.
    LeaseUpdated,
    /// The lease has expired or was ended.
    LeaseGone,
    /// The changes that a watch reports.
    WatchEvents(WatchEvents),
    /// The store no longer has the changes after the revision from which the watch starts: the state has to be read
    /// again.
    RevisionTooOld,
    /// The request was not processed: it was not sent, or the store is temporarily unavailable or can't be reached.
    Unavailable,
    /// The request was not processed, since it exceeded the rate limit; the store is available.
    RateLimited {
        /// How long to wait before the request is repeated.
        retry_after: Duration,
    },
    /// The request may have been processed or may still be.
    Unknown,
    /// The store rejects the request for its content; repeating it is of no use.
    Invalid,
}

impl Outcome {
    /// Reads the status code and body of the response to a request of a kind.
    pub fn read(kind: RequestKind, status: u16, body: &[u8]) -> Outcome {
        match status {
            429 => {
                tracing::debug!("state service: a request exceeded the rate limit");
                Outcome::RateLimited {
                    retry_after: RATE_LIMIT_PAUSE,
                }
            }
            503 => Outcome::Unavailable,
            400 => {
                tracing::warn!(
                    "state service: rejected a request with status 400: {}",
                    String::from_utf8_lossy(body)
                );
                Outcome::Invalid
            }
            _ => Outcome::read_result(kind, status, body).unwrap_or_else(|error| {
                tracing::warn!("state service: malformed response body: {error}");
                Outcome::Unknown
            }),
        }
    }

    /// Reads a response whose meaning depends on the kind of the request.
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
                tracing::warn!("state service: unexpected response status {status}");
                Outcome::Unknown
            }
        };
        Ok(outcome)
    }

    /// Whether the store itself has responded, so that it is known to be reachable.
    pub fn is_answer(&self) -> bool {
        !matches!(self, Outcome::Unavailable | Outcome::Unknown)
    }
}
