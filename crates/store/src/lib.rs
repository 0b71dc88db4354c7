//! The contract with the conditional key-value store that all shared state lives in.
//!
//! Keys have versions; a transaction is carried out if all keys in its conditions have the given
//! versions. [`Outcome`] says what an answer proves. The one that needs care is
//! [`Outcome::Unknown`]: the transaction may have been carried out, or may yet be. Whoever gets it
//! repeats the very same transaction, whose conditions let it take effect only once, or reads again.
//!
//! Programs that embed the libraries talk to the store through a [`ConditionalStore`], such as
//! [`BlockingClient`]. The daemon has an event loop and rate limits of its own and uses
//! [`Request::render`] and [`Outcome::read`].

pub mod client;
pub mod codec;
pub mod ids;
pub mod limits;
pub mod messages;
pub mod outcome;
pub mod rate_limit;
pub mod request;

pub use client::BlockingClient;
pub use ids::{LeaseId, Time, Version};
pub use limits::{json_size, LimitError, StoreLimits};
pub use messages::{value, Change, Condition, Item, News, Page, Txn};
pub use outcome::Outcome;
pub use request::Request;

/// A store that answers one request after the other.
pub trait ConditionalStore {
    /// Carries out a request and waits for its outcome.
    fn execute(&mut self, request: &Request) -> Outcome;
}

impl<S: ConditionalStore + ?Sized> ConditionalStore for Box<S> {
    fn execute(&mut self, request: &Request) -> Outcome {
        (**self).execute(request)
    }
}
