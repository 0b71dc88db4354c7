//! Records in the state service: their form, the requests for them, rate limits and group commit.

pub mod record_split;
pub mod records;
pub mod store;
pub mod write_batcher;
