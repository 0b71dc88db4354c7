//! Test doubles of the services around lichencrank. They speak the published protocols and hold everything
//! in memory, on loopback or in simulated time.
//!
//! - [`store`]: the key-value store as a pure function of requests and the time.
//! - [`loopback`]: the store as a server.
//! - [`faults`]: the store with clients whose requests and responses fail.
//! - [`http`]: a small server and client.
//! - [`values`]: CBOR values by field.
//! - [`sync`]: locks in tests.

pub mod faults;
pub mod http;
pub mod loopback;
pub mod store;
pub mod sync;
pub mod values;

pub use faults::{FaultyStore, SharedStore};
pub use http::HttpResponse;
pub use store::{InMemoryStore, Limits};
