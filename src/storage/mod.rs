//! The records in the key-value store: their form and keys, and the queue of requests under rate limits.

pub mod records;
pub mod store;
