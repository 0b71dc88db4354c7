//! The decisions of a controller, without input or output: events and the time come in, actions go out,
//! so that kept traces can be replayed.
//!
//! | module | what it owns |
//! | --- | --- |
//! | [`election`] | which controller leads, and in which term |
//! | [`leader`] | the leader of one term: hands events to the components below and collects their actions |
//! | [`cluster`] | hosts, jobs, allocations and the records still to be written; the only place that changes them |
//! | `scheduling` | the queue order, eligibility, scores, placement and preemption |
//! | `autoscaling` | the demand forecast, the capacity pools, scale-out, scale-in and warm spares |
//! | `failure_detection` | hosts that missed heartbeats and partitioned or lost zones |
//! | `dispatch` | commands and probes to workers |

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
