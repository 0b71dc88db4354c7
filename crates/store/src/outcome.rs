//! What the answers of the store mean.

use std::time::Duration;

use crate::codec::decode;
use crate::ids::{LeaseId, Version};
use crate::messages::{Applied, Failed, Granted, Item, News, Page};
use crate::request::RequestKind;

/// A request over the rate limit may be repeated after this.
pub const RATE_LIMIT_PAUSE: Duration = Duration::from_millis(200);

/// What became of a request.
#[derive(Debug)]
pub enum Outcome {
    /// The key's item; `None` if it does not exist.
    Item(Option<Item>),
    /// A page of keys.
    Page(Page),
    /// The transaction was committed at that revision.
    Committed(Version),
    /// The versions of these keys differ from the conditions; nothing was changed.
    Conflict(Vec<String>),
    /// The lease.
    Granted(LeaseId),
    /// The lease was renewed or ended.
    Extended,
    /// The lease is no more.
    LeaseGone,
    /// Changes that a watch brought.
    News(News),
    /// The watch began too far back.
    TooOld,
    /// Surely not carried out: the store, or the way to it, is out of order for now.
    Refused,
    /// Surely not carried out, as the rate limit is used up: the store itself is well.
    RateLimited {
        /// When a repetition makes sense.
        retry_after: Duration,
    },
    /// May have been carried out, or may yet be.
    Unknown,
    /// Refused for what it says; repeating it is of no use.
    Invalid,
}

impl Outcome {
    /// Reads the store's answer to a request of that kind.
    pub fn read(kind: RequestKind, status: u16, body: &[u8]) -> Outcome {
        let read = match (status, kind) {
            (200, RequestKind::Get) => decode(body).map(|item| Outcome::Item(Some(item))),
            (404, RequestKind::Get) => Ok(Outcome::Item(None)),
            (200, RequestKind::List) => decode(body).map(Outcome::Page),
            (200, RequestKind::Txn) => {
                decode(body).map(|applied: Applied| Outcome::Committed(applied.revision))
            }
            (409, RequestKind::Txn) => {
                decode(body).map(|failed: Failed| Outcome::Conflict(failed.failed))
            }
            (200, RequestKind::Grant) => {
                decode(body).map(|granted: Granted| Outcome::Granted(granted.lease))
            }
            (200, RequestKind::Lease) => Ok(Outcome::Extended),
            (404, RequestKind::Lease) => Ok(Outcome::LeaseGone),
            (200, RequestKind::Watch) => decode(body).map(|news: News| Outcome::News(news)),
            (410, RequestKind::Watch) => Ok(Outcome::TooOld),
            (429, _) => {
                tracing::debug!("store: over the rate limit");
                Ok(Outcome::RateLimited {
                    retry_after: RATE_LIMIT_PAUSE,
                })
            }
            (503, _) => Ok(Outcome::Refused),
            (400, _) => {
                tracing::warn!("store: 400 {}", String::from_utf8_lossy(body));
                Ok(Outcome::Invalid)
            }
            (status, _) => {
                tracing::warn!("store: unexpected status {status}");
                Ok(Outcome::Unknown)
            }
        };
        read.unwrap_or_else(|error| {
            tracing::warn!("store: answer not understood: {error}");
            Outcome::Unknown
        })
    }

    /// Whether the store itself gave an answer, rather than nobody.
    pub fn is_answer(&self) -> bool {
        !matches!(self, Outcome::Refused | Outcome::Unknown)
    }
}
