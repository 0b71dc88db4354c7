//! Records in the state service: their form, the requests for them, budgets and group commit.

pub mod budget;
pub mod record_split;
pub mod records;
pub mod store;
pub mod write_batcher;
