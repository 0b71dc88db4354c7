//! Which waiting task goes on which host: queue order, eligibility, scores, placement and preemption.

mod candidates;
mod placement;
mod preemption;
pub mod ranking;
pub mod scoring;
mod type_eligibility;

use std::time::Duration;

use crate::types::Time;

/// How often one replica is moved off an otherwise empty host.
const IDLE_MOVE_INTERVAL: Duration = Duration::from_secs(15);
/// How often room is looked for by preemption.
const PREEMPTION_INTERVAL: Duration = Duration::from_millis(250);
/// The longest time between two passes over the waiting tasks.
const PASS_INTERVAL: Duration = Duration::from_secs(1);

/// When the scheduler runs next.
#[derive(Debug)]
pub(crate) struct Scheduler {
    next_pass_at: Time,
    next_preemption_at: Time,
    /// No replica is moved off an otherwise empty host before.
    next_idle_move_at: Time,
}

impl Scheduler {
    pub(crate) fn new(now: Time) -> Scheduler {
        Scheduler {
            next_pass_at: now,
            next_preemption_at: now,
            next_idle_move_at: now,
        }
    }

    /// Whether a pass over the waiting tasks is due by time alone.
    pub(crate) fn is_pass_due(&self, now: Time) -> bool {
        now >= self.next_pass_at
    }

    /// Whether a replica may be moved off an otherwise empty host.
    pub(crate) fn may_move_lone_replica(&self, now: Time) -> bool {
        now >= self.next_idle_move_at
    }

    /// A replica is moved off an otherwise empty host.
    pub(crate) fn on_lone_replica_moved(&mut self, now: Time) {
        self.next_idle_move_at = now.after(IDLE_MOVE_INTERVAL);
    }

    /// Whether room may be made by preemption now; the next time follows after the interval.
    pub(crate) fn begin_preemption(&mut self, now: Time) -> bool {
        let is_due = now >= self.next_preemption_at;
        if is_due {
            self.next_preemption_at = now.after(PREEMPTION_INTERVAL);
        }
        is_due
    }

    /// A pass over the waiting tasks begins.
    pub(crate) fn begin_pass(&mut self, now: Time) {
        self.next_pass_at = now.after(PASS_INTERVAL);
    }
}
