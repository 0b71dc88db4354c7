//! Team limits and guarantees that hold across all controllers and all programs that embed this package,
//! also when they decide at the same instant.
//!
//! A team's limit is divided into allowances, which are granted to quota clients. A client charges
//! admissions to its allowance, each with a record in the store, on condition that the allowance still
//! has the version that the client knows. So limits hold without clients talking to each other, and a
//! client that was given up can charge nothing more, also with a transaction that is still under way.
//!
//! [`QuotaClient`] decides without input or output, [`BlockingQuotaClient`] runs one against a store, and
//! [`LeaderAllowances`] serves the daemon's leader, which keeps its charges in records of its own.
//! [`Ledger::audit`] rebuilds every total from the charges.
//!
//! # Glossary
//!
//! | term | meaning |
//! | --- | --- |
//! | team | the unit that has a quota: a guarantee and a limit |
//! | limit | what all admissions of a team together never exceed |
//! | guarantee | the part of the capacity that borrowing of other teams never takes |
//! | capacity | what all machines have; the *pool* is the record of it and of what is committed |
//! | quota client | a controller or an embedding program that admits work ([`QuotaClient`]) |
//! | allowance | the part of a team's limit that one client may charge on its own; *granted* is its size, *unspent* what is not charged, *reserved* what was granted for pending requests |
//! | borrowing | allowances beyond the team's guarantee |
//! | admission | permission to run work; its id makes the request idempotent ([`AdmissionId`]) |
//! | charge, release | counting an admission against an allowance, and ending that once the work has ended |
//! | completed | an admission whose charge is released; its number is remembered, so that a repeated request is not admitted again |
//! | pending, queue position | a request that is not charged yet, and its place among those of its client: by priority, then by arrival |
//! | unmet demand | how much more a client or a team waits for; recorded in the order of service |
//! | rebalance | growing an allowance for pending requests, giving back what others wait for or what is idle |
//! | reclaim | taking back what a client that was given up has not spent |
//! | revoke | telling borrowed work to end, as capacity or guarantees changed; it is charged until it has |
//! | preempt | the daemon's stopping of work for other work; the rules are shared ([`preemption`]) |
//! | epoch, fence | number in an allowance that each process raises to *acquire* it; the change of version *fences off* what others still have under way |
//! | compare-and-swap | each transaction is conditional on the versions of the records that it was computed from |
//! | ledger, audit | all records, and the comparison of their totals ([`Ledger`]) |

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
