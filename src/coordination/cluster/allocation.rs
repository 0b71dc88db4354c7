//! The allocation of one attempt at a task to a host, from before the start of the attempt until it is proven to have
//! ended.

use crate::coordination::resources::Resources;
use crate::protocol::workers::{AttemptState, AttemptStatus};
use crate::types::{Attempt, Incarnation, SequenceNumber, Time};

/// Progress of an allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllocationPhase {
    /// Its run record is not known to be written, so no `run` may be sent.
    Uncommitted,
    /// Its run record is written. A `run` may be sent, and may have been sent.
    Committed,
    /// The worker has reported that the attempt exists.
    Observed,
}

/// Why a task is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job was cancelled.
    Cancelled,
    /// The task has to leave its host, for example before the host is reclaimed.
    Drained,
    /// A job of higher priority needs the resources, or a job that is within the guarantee of its team.
    Preempted,
}

/// The allocation of a task to a host.
#[derive(Clone, Debug)]
pub struct Allocation {
    /// Number of the attempt at the task.
    pub attempt: Attempt,
    /// Incarnation of the worker that the attempt is allocated to.
    pub incarnation: Incarnation,
    /// The resources of the host that the task uses.
    pub resources: Resources,
    /// Its progress.
    pub phase: AllocationPhase,
    /// Change count of its run record from which on the record holds the allocation; 0 if it was read from the record.
    pub record_change_count: u64,
    /// Whether a `run` of the attempt may have been sent, by this leader or an earlier one.
    pub was_run_possibly_sent: bool,
    /// Sequence number of the last heartbeat in whose response a `run` was sent; 0 if there was none.
    pub run_sent_in_response_to: SequenceNumber,
    /// Sequence number of the last heartbeat in whose response a `stop` was sent; 0 if there was none.
    pub stop_sent_in_response_to: SequenceNumber,
    /// Sequence number of the heartbeat in whose response the attempt was started and stopped, to fence off a lost
    /// `run`, until the next heartbeat shows whether that took effect; 0 if there is none.
    pub fenced_in_response_to: SequenceNumber,
    /// Why the task is to be stopped, if it is. Only `request_stop` sets it.
    pub stop_reason: Option<StopReason>,
    /// When this leader first requested the stop.
    pub stop_requested_at: Option<Time>,
    /// Whether the task was saving its progress according to the worker's last heartbeat.
    pub is_saving: bool,
    /// When the task was first reported as running, with its image on the host.
    pub started_at: Option<Time>,
}

impl Allocation {
    fn new(attempt: Attempt, incarnation: Incarnation, resources: Resources) -> Allocation {
        Allocation {
            attempt,
            incarnation,
            resources,
            phase: AllocationPhase::Uncommitted,
            record_change_count: 0,
            was_run_possibly_sent: false,
            run_sent_in_response_to: SequenceNumber(0),
            stop_sent_in_response_to: SequenceNumber(0),
            fenced_in_response_to: SequenceNumber(0),
            stop_reason: None,
            stop_requested_at: None,
            is_saving: false,
            started_at: None,
        }
    }

    /// A new allocation, which its run record holds from `record_change_count` on.
    pub(super) fn uncommitted(
        attempt: Attempt,
        incarnation: Incarnation,
        resources: Resources,
        record_change_count: u64,
    ) -> Allocation {
        Allocation {
            record_change_count,
            ..Allocation::new(attempt, incarnation, resources)
        }
    }

    /// An allocation that an earlier leader recorded. Its attempt may have been started.
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

    /// An allocation for an attempt that was reported by a host although no run record places it there. It is to be
    /// stopped.
    pub(super) fn found_running(
        attempt: Attempt,
        incarnation: Incarnation,
        resources: Resources,
        record_change_count: u64,
    ) -> Allocation {
        Allocation {
            phase: AllocationPhase::Observed,
            record_change_count,
            was_run_possibly_sent: true,
            stop_reason: Some(StopReason::Drained),
            ..Allocation::new(attempt, incarnation, resources)
        }
    }

    /// Applies the status of the attempt, which has not ended, from the worker's heartbeat.
    pub(super) fn observe(&mut self, status: &AttemptStatus, now: Time) {
        self.phase = AllocationPhase::Observed;
        self.is_saving = status.state == AttemptState::Saving;
        if status.state != AttemptState::Fetching {
            self.started_at.get_or_insert(now);
        }
    }

    /// Marks the task to be stopped. A cancellation replaces every other reason, and no other reason replaces it.
    pub(super) fn request_stop(&mut self, reason: StopReason, now: Time) {
        if self.stop_reason != Some(StopReason::Cancelled) {
            self.stop_reason = Some(reason);
        }
        self.stop_requested_at.get_or_insert(now);
    }

    /// Notes that a `run` is sent, in the response to a heartbeat or, with `None`, directly.
    pub(super) fn on_run_sent(&mut self, heartbeat_sequence: Option<SequenceNumber>) {
        self.was_run_possibly_sent = true;
        if let Some(sequence) = heartbeat_sequence {
            self.run_sent_in_response_to = sequence;
        }
    }

    /// Notes that a `run` and a `stop` are sent in the response to a heartbeat, to fence off a lost `run`.
    pub(super) fn on_fence_sent(&mut self, heartbeat_sequence: Option<SequenceNumber>) {
        self.on_run_sent(heartbeat_sequence);
        self.fenced_in_response_to = heartbeat_sequence.unwrap_or_default();
    }

    /// Notes that a `stop` is sent, in the response to a heartbeat or, with `None`, directly.
    pub(super) fn on_stop_sent(&mut self, heartbeat_sequence: Option<SequenceNumber>) {
        if let Some(sequence) = heartbeat_sequence {
            self.stop_sent_in_response_to = sequence;
        }
    }

    /// Whether the attempt is to run and has not been reported by the worker yet.
    pub(super) fn is_to_be_started(&self) -> bool {
        self.stop_reason.is_none() && self.phase != AllocationPhase::Observed
    }

    /// Whether a `run` was sent in a heartbeat response and the attempt has not been reported by the worker yet.
    pub(super) fn awaits_effect_of_run(&self) -> bool {
        self.phase == AllocationPhase::Committed
            && self.run_sent_in_response_to != SequenceNumber(0)
    }

    /// Whether a `stop` is due for the attempt, which was last reported as not ended. A task that saves its progress
    /// needs no further one, unless its job was cancelled meanwhile: a second `stop` without grace ends it at once.
    pub(super) fn needs_stop_command(&self) -> bool {
        let is_cancelled = self.stop_reason == Some(StopReason::Cancelled);
        self.stop_reason.is_some()
            && self.phase == AllocationPhase::Observed
            && (is_cancelled || !self.is_saving)
    }
}
