//! lichencrank: a cluster scheduler in which one leading controller places all tasks.
//!
//! The layers, from the outside in: [`transport`] moves bytes, [`protocol`] gives them types,
//! [`coordination`] decides, [`storage`] keeps records in the state service, and [`node`]
//! ties them together into a running controller.

#![deny(
    missing_docs,
    unreachable_pub,
    clippy::too_many_arguments,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::unwrap_used
)]

pub mod coordination;
pub mod features;
pub mod logging;
pub mod node;
pub mod protocol;
pub mod quota_report;
pub mod settings;
pub mod storage;
pub mod transport;
pub mod tuning;
pub mod types;
pub mod zones_report;
