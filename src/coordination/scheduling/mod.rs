//! Scheduling: which waiting task is placed on which host. Covers queue order, eligibility, scores, placement and
//! preemption.

mod candidates;
mod placement;
mod preemption;
pub mod ranking;
pub mod scoring;
mod type_eligibility;

use std::time::Duration;

use crate::types::Time;

/// The least time between two moves of a lone replica, which is the only task on its host.
const LONE_REPLICA_MOVE_INTERVAL: Duration = Duration::from_secs(15);
/// The least time between two rounds of preemption.
const PREEMPTION_INTERVAL: Duration = Duration::from_millis(250);
/// The longest time between two placement passes.
const PASS_INTERVAL: Duration = Duration::from_secs(1);

/// When the parts of the scheduler run next.
#[derive(Debug)]
pub(crate) struct Scheduler {
    next_pass_at: Time,
    next_preemption_at: Time,
    next_lone_replica_move_at: Time,
}

impl Scheduler {
    pub(crate) fn new(now: Time) -> Scheduler {
        Scheduler {
            next_pass_at: now,
            next_preemption_at: now,
            next_lone_replica_move_at: now,
        }
    }

    /// Whether a placement pass is due even if none was requested.
    pub(crate) fn is_pass_due(&self, now: Time) -> bool {
        now >= self.next_pass_at
    }

    /// Whether a replica that is the only task on its host may be moved to another host.
    pub(crate) fn may_move_lone_replica(&self, now: Time) -> bool {
        now >= self.next_lone_replica_move_at
    }

    /// A replica that is the only task on its host is being moved.
    pub(crate) fn on_lone_replica_moved(&mut self, now: Time) {
        self.next_lone_replica_move_at = now.after(LONE_REPLICA_MOVE_INTERVAL);
    }

    /// Returns whether a round of preemption is due. If so, the next one is due after [`PREEMPTION_INTERVAL`].
    pub(crate) fn begin_preemption(&mut self, now: Time) -> bool {
        let is_due = now >= self.next_preemption_at;
        if is_due {
            self.next_preemption_at = now.after(PREEMPTION_INTERVAL);
        }
        is_due
    }

    /// A placement pass begins; the next one is due after [`PASS_INTERVAL`].
    pub(crate) fn begin_pass(&mut self, now: Time) {
        self.next_pass_at = now.after(PASS_INTERVAL);
    }
}
