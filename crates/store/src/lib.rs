//! The contract with the consensus-backed key-value store that all shared state is kept in.
//!
//! Every key has a version. A transaction is a compare-and-swap: its changes are carried out, all or none,
//! if all keys in its conditions have the given versions. [`Outcome`] says what a response proves. The one
//! that needs care is [`Outcome::Unknown`]: the transaction may have been carried out, or may yet be.
//! Whoever gets it repeats the very same transaction, whose conditions let it take effect only once, or
//! reads again.
//!
//! Programs that embed the libraries use the store through a [`ConditionalStore`], such as
//! [`BlockingClient`]. The daemon has an event loop and rate limits of its own and uses
//! [`Request::render`] and [`Outcome::read`].
//!
//! - [`request`], [`outcome`]: what is asked, and what a response means.
//! - [`messages`]: transactions and the bodies of requests and responses.
//! - [`limits`]: the limits of the store, to be checked before a request is sent.
//! - [`rate_limit`]: a token bucket for its rate limits.
//! - [`codec`]: the format of bodies.
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

/// A store that processes one request after the other.
pub trait ConditionalStore {
    /// Sends a request and waits for its outcome.
    fn execute(&mut self, request: &Request) -> Outcome;
}

impl<S: ConditionalStore + ?Sized> ConditionalStore for Box<S> {
    fn execute(&mut self, request: &Request) -> Outcome {
        (**self).execute(request)
    }
}
