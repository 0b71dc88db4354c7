//! Which waiting task goes on which host: queue order, eligibility, scores, placement and preemption.

mod placement;
mod preemption;
pub mod ranking;
pub mod scoring;
mod type_eligibility;

use crate::types::Time;

/// When the scheduler runs next.
#[derive(Debug)]
pub(crate) struct Scheduler {
    pub(crate) next_pass_at: Time,
    pub(crate) next_preemption_at: Time,
    /// No replica is moved for the price alone before.
    pub(crate) next_idle_move_at: Time,
}

impl Scheduler {
    pub(crate) fn new(now: Time) -> Scheduler {
        Scheduler {
            next_pass_at: now,
            next_preemption_at: now,
            next_idle_move_at: now,
        }
    }
}
