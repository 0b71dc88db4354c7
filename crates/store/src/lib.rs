//! The protocol of the consensus-backed key-value store that holds all shared state. Operators and the daemon call
//! it the *state service*.
//!
//! Every key has a version. A transaction is a compare-and-swap: if all keys in its conditions have the given versions,
//! all of its changes are committed, otherwise none. [`Outcome`] is the meaning of a response. [`Outcome::Unknown`]
//! needs care: the transaction may have been committed or may still be. Its sender either repeats exactly the same
//! transaction, whose conditions let it take effect only once, or reads the keys again.
//!
//! Programs that embed the libraries access the store through a [`ConditionalStore`], such as [`BlockingClient`]. The
//! daemon has an event loop and rate limits of its own and uses [`Request::render`] and [`Outcome::read`].
//!
//! - [`request`], [`outcome`]: requests, and the meaning of their responses.
//! - [`messages`]: transactions, and the bodies of requests and responses.
//! - [`limits`]: the limits of the store, which are checked before a request is sent.
//! - [`rate_limit`]: a token bucket for the rate limits of the store.
//! - [`codec`]: the encoding of bodies.
//! - [`client`]: the blocking client.

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
pub use messages::{value, Change, Condition, Item, Page, Txn, WatchEvents};
pub use outcome::Outcome;
pub use request::Request;

/// A store that is sent one request at a time.
pub trait ConditionalStore {
    /// Sends a request and waits for its outcome.
    fn execute(&mut self, request: &Request) -> Outcome;
}

impl<S: ConditionalStore + ?Sized> ConditionalStore for Box<S> {
    fn execute(&mut self, request: &Request) -> Outcome {
        (**self).execute(request)
    }
}
