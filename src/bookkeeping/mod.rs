//! Records in the state service: their form, the requests for them, budgets and group commit.

pub mod budget;
pub mod division;
pub mod ledger;
pub mod records;
pub mod store;
