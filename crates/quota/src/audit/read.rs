//! Reads all records of the package from a store.

use lichencrank_store::outcome::RATE_LIMIT_PAUSE;
use lichencrank_store::{ConditionalStore, Outcome, Page, Request};
use thiserror::Error;

use super::Ledger;
use crate::records::KEY_PREFIX;

/// Records read with one request.
const PAGE_SIZE: u32 = 500;
/// How often a page is requested before reading is given up.
const MAX_ATTEMPTS: u32 = 20;

/// Why the records could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The store refused the request for what it says; repeating it is of no use.
    #[error("the store does not understand the request")]
    InvalidRequest,
    /// Every attempt failed, or was over the rate limit.
    #[error("the store does not answer")]
    Unavailable,
}

impl Ledger {
    /// Reads all records from a store, page by page. The pages are of different revisions, so changes
    /// that are made meanwhile may be in the ledger in part.
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
