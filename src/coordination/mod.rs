//! The decisions of a controller, free of input and output: it takes events and the time and returns actions, so that
//! recorded traces can be replayed.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`election`] | which controller leads, and in which term |
//! | [`leader`] | the leader of one term: passes events to the components below and collects their actions |
//! | [`cluster`] | hosts, jobs, allocations and the records still to be written; the only module that changes them |
//! | `scheduling` | the queue order, eligibility, scores, placement and preemption |
//! | `autoscaling` | the demand forecast, the capacity pools, scale-out, scale-in and standby capacity |
//! | `failure_detection` | hosts that missed heartbeats and partitioned or lost zones |
//! | `dispatch` | the limits on commands and probes in flight to workers |
//! | `quota` | how much each team may use: its limit or, with the `quota` feature, the leader's allowance |
//! | `run_times` | expected run times, learnt from completed tasks |
//! | `policy` | the parameters of all decisions, derived from the settings |

mod actions;
pub mod autoscaling;
pub mod cluster;
mod dispatch;
pub mod election;
mod failure_detection;
pub mod leader;
mod policy;
mod quota;
pub mod resources;
mod run_times;
pub mod scheduling;
mod view;

pub use actions::{Action, CommandResult, LeadershipLost};
pub use failure_detection::max_heartbeat_delay;
pub use leader::{Leader, LeaderPhase, WorkerReach};
pub use policy::Policy;
pub use quota::quota_policy;
pub(crate) use view::View;
