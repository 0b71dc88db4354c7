//! Deterministic simulation of a cluster. Several controllers run the service's own code in one thread and in
//! simulated time; the key-value store, the cloud, hosts with their workers, and users are simulated. Nothing that
//! the service does is implemented here a second time. A seed determines every delay and fault, so that a failed run
//! can be repeated.
//!
//! | modules | purpose |
//! | --- | --- |
//! | [`simulation`] | event loop: owns the parts, dispatches events, executes the script |
//! | [`event_queue`], [`clock`], [`context`] | scheduled events; simulated time; state that all parts share |
//! | [`controllers`], [`process`], [`transport`] | controller processes, and their interface to the service |
//! | [`network`], [`load_balancer`] | latency, partitions, load balancing, calls in flight |
//! | [`store`], [`rate_limiter`] | the key-value store with its limits and faults |
//! | [`fleet`], [`cloud`], [`worker`] | hosts: provisioned by the cloud, running tasks, sending heartbeats |
//! | [`users`], [`job_template`] | users with their jobs and requests |
//! | [`embedder`], [`quota_audit`] | a program that embeds the quota library; the audit of the quota records |
//! | [`leadership`], [`rolling_upgrade`] | which controller leads, which ones are upgraded |
//! | [`script`], [`deployment`], [`runner`] | scenario files: parser, simulated deployment, runner |
//! | [`checker`], [`history`], [`fingerprint`] | invariants; a log and counters of each run; a hash of all messages |

pub mod checker;
pub mod clock;
mod cloud;
mod context;
mod controllers;
mod deployment;
mod embedder;
mod event_queue;
mod faults;
mod fingerprint;
mod fleet;
mod history;
pub mod ids;
mod job_template;
mod leadership;
mod load_balancer;
mod network;
pub mod process;
mod quota_audit;
mod rate_limiter;
mod rolling_upgrade;
pub mod runner;
mod script;
mod simulation;
mod store;
pub mod transport;
mod users;
mod worker;
