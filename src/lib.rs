//! lichencrank: a cluster scheduler in which an elected leader among the controllers places all tasks.
//!
//! Its layers: [`transport`] implements HTTP over non-blocking sockets, [`protocol`] defines the messages,
//! [`coordination`] makes all scheduling decisions, [`storage`] defines the records in the state service, and [`node`]
//! combines them into a running controller.

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
