//! Team limits and guarantees that hold across all controllers, also when they decide at the same
//! instant.
//!
//! A team's limit is lent in allowances to the holders that admit its work . A holder
//! charges admissions within its allowance, each with a record in the store, on condition that its
//! allowance still has the version that it knows ([`QuotaClient`]). So limits hold without holders talking
//! to each other, and a holder that was given up can charge nothing more, also with a transaction
//! that is still under way. [`audit`] rebuilds every total from the admissions.
//!
//! [`QuotaClient`] decides without input or output; [`driver::BlockingQuotaClient`] runs one against a store.

pub mod admission;
mod allocation;
pub mod amount;
pub mod audit;
pub mod blocking;
pub mod client;
pub mod completed;
pub mod ids;
pub mod leader;
pub mod policy;
pub mod preemption;
pub mod records;
pub mod resource_vector;

pub use admission::{AdmissionRequest, AdmissionState, Priority, RejectReason};
pub use amount::Amount;
pub use audit::{Discrepancy, Ledger, PoolTotals, ReadError};
pub use blocking::BlockingQuotaClient;
pub use client::{ClientConfig, QuotaClient, QuotaEvent};
pub use ids::{AdmissionId, AllowanceId, ClientName, RequesterId, RequesterName, TeamName};
pub use leader::{LeaderAllowances, TeamWorkload};
pub use policy::{QuotaPolicy, TeamPolicy};
pub use resource_vector::ResourceVector;
