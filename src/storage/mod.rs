//! The state service as the scheduler uses it: the stored records with their keys, and a client that queues requests
//! under the rate limits.

pub mod records;
pub mod store;
