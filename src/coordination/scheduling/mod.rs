//! Scheduling: which waiting task is placed on which host. Covers queue order, eligibility, scores, placement and
//! preemption.

mod candidates;
mod job_placement;
mod placement;
mod preemption;
pub mod ranking;
mod room_reservations;
pub mod scoring;
mod type_eligibility;

pub(crate) use job_placement::is_zone_allowed;

use std::time::Duration;

use crate::types::Time;
use room_reservations::RoomReservations;

/// The least time between two moves of a replica off a surplus host that holds nothing but replicas.
const SURPLUS_HOST_MOVE_INTERVAL: Duration = Duration::from_secs(15);
/// The least time between two rounds of preemption.
const PREEMPTION_INTERVAL: Duration = Duration::from_millis(250);
/// The longest time between two placement passes.
const PASS_INTERVAL: Duration = Duration::from_secs(1);

/// When the parts of the scheduler run next.
#[derive(Debug)]
pub(crate) struct Scheduler {
    next_pass_at: Time,
    next_preemption_at: Time,
    next_surplus_move_at: Time,
    /// Room that tasks were stopped for.
    room_reservations: RoomReservations,
}

impl Scheduler {
    pub(crate) fn new(now: Time) -> Scheduler {
        Scheduler {
            next_pass_at: now,
            next_preemption_at: now,
            next_surplus_move_at: now,
            room_reservations: RoomReservations::default(),
        }
    }

    /// Whether a placement pass is due even if none was requested.
    pub(crate) fn is_pass_due(&self, now: Time) -> bool {
        now >= self.next_pass_at
    }

    /// Whether a replica may be moved off a surplus host that holds nothing but replicas.
    pub(crate) fn may_move_off_surplus_host(&self, now: Time) -> bool {
        now >= self.next_surplus_move_at
    }

    /// A replica is being moved off a surplus host.
    pub(crate) fn on_moved_off_surplus_host(&mut self, now: Time) {
        self.next_surplus_move_at = now.after(SURPLUS_HOST_MOVE_INTERVAL);
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
