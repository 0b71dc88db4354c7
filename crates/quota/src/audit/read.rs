//! Reads all records of the package from a store.

use lichencrank_store::outcome::RATE_LIMIT_PAUSE;
use lichencrank_store::{ConditionalStore, Outcome, Page, Request};
use thiserror::Error;

use super::Ledger;
use crate::records::KEY_PREFIX;

/// Maximum number of records that are read with one request.
const PAGE_SIZE: u32 = 500;
/// Number of attempts to read a page before the read fails.
const MAX_ATTEMPTS: u32 = 20;

/// Why the records could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The store rejected the request as invalid, so a retry would fail as well.
    #[error("the store does not understand the request")]
    InvalidRequest,
    /// Every attempt failed or exceeded the rate limit.
    #[error("the store does not answer")]
    Unavailable,
}

impl Ledger {
    /// Reads all records from a store, page by page. The pages have different revisions, so a transaction
    /// that is committed meanwhile may be contained only in part.
    ///
    /// # Errors
    ///
    /// See [`ReadError`].
    pub fn read(store: &mut dyn ConditionalStore) -> Result<Ledger, ReadError> {
        let mut ledger = Ledger::default();
        let mut after = String::new();
        loop {
            let list = Request::List {
                prefix: KEY_PREFIX.to_owned(),
                after: after.clone(),
                limit: PAGE_SIZE,
            };
            let page = read_page(store, &list)?;
            for item in &page.items {
                ledger.insert_item(item);
            }
            match page.items.last() {
                Some(last) if page.has_more => after = last.key.clone(),
                _ => return Ok(ledger),
            }
        }
    }
}

fn read_page(store: &mut dyn ConditionalStore, list: &Request) -> Result<Page, ReadError> {
    for _ in 0..MAX_ATTEMPTS {
        match store.execute(list) {
            Outcome::Page(page) => return Ok(page),
            Outcome::RateLimited { retry_after } => std::thread::sleep(retry_after),
            Outcome::Invalid => return Err(ReadError::InvalidRequest),
            _ => std::thread::sleep(RATE_LIMIT_PAUSE),
        }
    }
    Err(ReadError::Unavailable)
}
