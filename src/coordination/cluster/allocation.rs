//! One attempt at a task on a host: from before its start until it is proven to have ended.

use crate::coordination::resources::Resources;
use crate::protocol::workers::{AttemptState, AttemptStatus};
use crate::types::{Attempt, Incarnation, SequenceNumber, Time};

/// How far an allocation is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllocationPhase {
    /// Its record is not known to be written; no `run` may be sent.
    Persisting,
    /// Its record is written; `run` may be sent, and may have been.
    Committed,
    /// The worker has reported the attempt alive.
    Observed,
}

/// Why a task is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job was cancelled.
    Cancelled,
    /// Its host is about to go.
    Drained,
    /// Work of a higher priority needs the room.
    Preempted,
}

/// The allocation of a task to a host.
#[derive(Clone, Debug)]
pub struct Allocation {
    /// Which attempt at the task it is.
    pub attempt: Attempt,
    /// Incarnation of the worker that the attempt is meant for.
    pub incarnation: Incarnation,
    /// What the task takes of the host.
    pub resources: Resources,
    /// How far it is.
    pub phase: AllocationPhase,
    /// The change of its run record that holds the allocation; 0 if it was read from the record.
    pub record_change_count: u64,
    /// Whether a `run` of the attempt may have been sent, by this leader or an earlier one.
    pub was_run_possibly_sent: bool,
    /// Whether this leader sent a `run` by a direct command, of which copies may arrive late.
    pub was_run_sent_directly: bool,
    /// The last heartbeat in whose response `run` was sent; 0 if there was none.
    pub run_sent_in_response_to: SequenceNumber,
    /// The last heartbeat in whose response `stop` was sent; 0 if there was none.
    pub stop_sent_in_response_to: SequenceNumber,
    /// Why it is to be stopped, if it is.
    pub stop_reason: Option<StopReason>,
    /// Whether the worker last said that the task saves its progress.
    pub is_saving: bool,
    /// When it was first seen to run, with its image on the host.
    pub started_at: Option<Time>,
}

impl Allocation {
    fn new(attempt: Attempt, incarnation: Incarnation, resources: Resources) -> Allocation {
        Allocation {
            attempt,
            incarnation,
            resources,
            phase: AllocationPhase::Persisting,
            record_change_count: 0,
            was_run_possibly_sent: false,
            was_run_sent_directly: false,
            run_sent_in_response_to: SequenceNumber(0),
            stop_sent_in_response_to: SequenceNumber(0),
            stop_reason: None,
            is_saving: false,
            started_at: None,
        }
    }

    /// A new allocation, whose record holds it from `record_change` on.
    pub(super) fn uncommitted(
        attempt: Attempt,
        incarnation: Incarnation,
        resources: Resources,
        record_change: u64,
    ) -> Allocation {
        Allocation {
            record_change_count: record_change,
            ..Allocation::new(attempt, incarnation, resources)
        }
    }

    /// An allocation that an earlier leader recorded. It may have been started.
    pub(super) fn from_record(
        attempt: Attempt,
        incarnation: Incarnation,
        resources: Resources,
        stop_reason: Option<StopReason>,
    ) -> Allocation {
        Allocation {
            phase: AllocationPhase::Committed,
            was_run_possibly_sent: true,
            stop_reason,
            ..Allocation::new(attempt, incarnation, resources)
        }
    }

    /// An attempt that was found on a host although no record places it there. It is stopped.
    pub(super) fn found_running(
        attempt: Attempt,
        incarnation: Incarnation,
        resources: Resources,
        record_change: u64,
    ) -> Allocation {
        Allocation {
            phase: AllocationPhase::Observed,
            record_change_count: record_change,
            was_run_possibly_sent: true,
            stop_reason: Some(StopReason::Drained),
            ..Allocation::new(attempt, incarnation, resources)
        }
    }

    /// Takes in what the worker says of the attempt while it is alive.
    pub(super) fn observe(&mut self, status: &AttemptStatus, now: Time) {
        self.phase = AllocationPhase::Observed;
        self.is_saving = status.state == AttemptState::Saving;
        if status.state != AttemptState::Fetching {
            self.started_at.get_or_insert(now);
        }
    }

    /// Notes that `run` is sent, in the response to that heartbeat or else directly.
    pub(super) fn on_run_sent(&mut self, response_to: Option<SequenceNumber>) {
        self.was_run_possibly_sent = true;
        if let Some(sequence) = response_to {
            self.run_sent_in_response_to = sequence;
        }
    }

    /// Notes that `stop` is sent, in the response to that heartbeat or else directly.
    pub(super) fn on_stop_sent(&mut self, response_to: Option<SequenceNumber>) {
        if let Some(sequence) = response_to {
            self.stop_sent_in_response_to = sequence;
        }
    }

    /// Whether the attempt is wanted and was not reported yet.
    pub(super) fn is_to_be_started(&self) -> bool {
        self.stop_reason.is_none() && self.phase != AllocationPhase::Observed
    }

    /// Whether a `run` was sent in a response and the attempt was not reported yet.
    pub(super) fn awaits_effect_of_run(&self) -> bool {
        self.phase == AllocationPhase::Committed
            && self.run_sent_in_response_to != SequenceNumber(0)
    }

    /// Whether the attempt is to be stopped, but was last reported as running.
    pub(super) fn is_running_against_stop(&self) -> bool {
        self.stop_reason.is_some() && self.phase == AllocationPhase::Observed && !self.is_saving
    }
}
