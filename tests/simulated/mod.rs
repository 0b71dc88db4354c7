//! Deterministic simulation of a cluster: several real controllers in one thread and in simulated time,
//! against stand-ins for the key-value store, the cloud, machines with their workers, and users. A seed
//! determines every delay and fault, so a failed run can be repeated. The controllers are the service's own
//! code; nothing that it does is done here a second time.
//!
//! | modules | job |
//! | --- | --- |
//! | [`simulation`] | owns the parts below, hands events to them, carries out the script, judges the run |
//! | [`event_queue`], [`clock`], [`context`] | what happens next, and when; what all parts share |
//! | [`controllers`], [`process`], [`transport`] | controller processes and the seam to the service |
//! | [`network`], [`load_balancer`] | latency, partitions, calls in flight |
//! | [`store`], [`rate_limiter`] | the key-value store with its limits and faults |
//! | [`fleet`], [`cloud`], [`worker`] | machines: rented, running tasks, sending heartbeats |
//! | [`users`], [`job_template`] | users with their jobs and requests |
//! | [`embedder`], [`quota_audit`] | a program beside the controllers that shares their limits |
//! | [`leadership`], [`rolling_upgrade`] | who leads, who is upgraded |
//! | [`script`], [`deployment`], [`runner`] | scenario files |
//! | [`checker`], [`history`], [`fingerprint`] | what a run has to show |

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
