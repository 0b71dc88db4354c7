//! Team limits and guarantees that hold across all controllers and all programs that embed this package,
//! even when they admit work concurrently.
//!
//! A team's limit is divided into allowances, which are granted to quota clients. A client charges
//! admissions to its allowance. Each charge is a record in the store, written on condition that the
//! allowance still has the version that the client knows. So limits hold without communication between
//! clients, and a client whose allowance was fenced off can't charge anything before it acquires the allowance
//! again, not even with a transaction that is already in flight.
//!
//! [`QuotaClient`] makes the decisions and does no I/O, [`BlockingQuotaClient`] runs one against a store,
//! and [`LeaderAllowances`] manages the allowances of the daemon's leader, whose charges are the
//! allocations in its own records. [`Ledger::audit`] recomputes every total from the charges.
//!
//! # Glossary
//!
//! | term | meaning |
//! | --- | --- |
//! | team | the unit that has a quota: a guarantee and a limit |
//! | limit | the most that all admissions of a team may use together |
//! | guarantee | the part of the capacity that other teams can't borrow |
//! | capacity | the resources of all hosts together; the *pool* is the record of the capacity and of the committed part of it |
//! | quota client | a controller or an embedding program that admits work ([`QuotaClient`]) |
//! | allowance | the part of a team's limit that one client may charge on its own; *granted* is its size, *unspent* the part that is not charged, *reserved* the part that was granted for pending requests |
//! | borrowing | granting allowances that exceed the team's guarantee |
//! | admission | permission to run work; its id makes the request idempotent ([`AdmissionId`]) |
//! | charge, release | counting the usage of an admission against an allowance, and no longer counting it once the work has ended |
//! | completed | an admission whose charge is released; its sequence number is recorded, so that a repeated request is not admitted again |
//! | pending, queue position | a request that is not charged yet, and its position among the requests at its client: by priority, then by arrival |
//! | unmet demand | how much more a client or a team waits for; recorded in the order in which they are served |
//! | rebalance | growing an allowance for pending requests, and returning the part that is idle or that others wait for |
//! | reclaim | freeing the unspent allowance of a client that is considered lost |
//! | revoke | requesting that borrowed work ends, because the capacity shrank or a guarantee was raised; it stays charged until it has ended |
//! | preempt | stopping work to make room for other work, as the daemon does; revoking follows the same rules ([`preemption`]) |
//! | epoch, fence | a number in an allowance that each process raises to *acquire* it; the changed version *fences off* the transactions that others still have in flight |
//! | compare-and-swap | a transaction is conditional on the versions of the records that it was computed from |
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
