//! Test doubles of the services that lichencrank uses. They speak the published protocols and keep all data in
//! memory, and run on loopback or in simulated time.
//!
//! - [`store`]: the key-value store, whose state depends only on requests and the given time.
//! - [`loopback`]: the store as an HTTP server.
//! - [`faults`]: the store with clients whose requests and responses can be made to fail.
//! - [`http`]: a small HTTP server and client.
//! - [`values`]: building and reading CBOR maps.
//! - [`sync`]: locking mutexes in tests.

pub mod faults;
pub mod http;
pub mod loopback;
pub mod store;
pub mod sync;
pub mod values;

pub use faults::{FaultyStore, SharedStore};
pub use http::HttpResponse;
pub use store::{InMemoryStore, Limits};
