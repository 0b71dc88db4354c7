//! Attempts that a host may hold although its worker does not report them as running: earlier attempts that have ended,
//! and those that a late copy of a direct `run` may still start.
//!
//! A direct `run` may be executed at any later time, and a copy of it again after it was executed and answered. Neither
//! time nor the number of attempts ends that. A copy has no effect while the worker lists the attempt, and is rejected
//! once the worker has seen a higher fencing token or has begun another incarnation.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use super::host::{AllocationPhase, Host, StopReason};
use crate::protocol::workers::EndReason;
use crate::types::{Attempt, SequenceNumber, TaskId, Term};

/// The direct `run` commands of one attempt. One request is in flight to a host at a time.
#[derive(Clone, Copy, Debug)]
pub(super) struct DirectRun {
    /// The fencing token of the last one.
    token: Term,
    /// The fencing token of the last one before it, if there was one.
    earlier_token: Option<Term>,
}

impl Host {
    /// Whether the worker still reports an ended attempt at the task, or a late `run` may still start one.
    pub fn may_have_earlier_attempt(&self, task: TaskId) -> bool {
        let attempts = all_attempts_at(task);
        self.ended_attempts.range(attempts.clone()).next().is_some()
            || self.direct_runs.range(attempts).next().is_some()
    }

    /// Whether the worker would take a new attempt at the task. Earlier attempts that it reports as ended do not
    /// prevent that, as a late `run` of theirs has no effect, unless it has refused an attempt because of them.
    pub fn takes_new_attempt(&self, task: TaskId) -> bool {
        let mut ended = self.ended_attempts.range(all_attempts_at(task));
        let mut runs = self.direct_runs.range(all_attempts_at(task));
        ended.all(|(_, ended)| ended.end_reason != Some(EndReason::OtherAttemptPresent))
            && runs.all(|(attempt, _)| self.ended_attempts.contains_key(attempt))
    }

    /// Whether [`Host::may_have_earlier_attempt`] holds for any task.
    pub fn may_have_any_earlier_attempt(&self) -> bool {
        let is_allocated = |&(task, attempt): &(TaskId, Attempt)| {
            let allocation = self.allocations.get(&task);
            allocation.is_some_and(|allocation| allocation.attempt == attempt)
        };
        !self.ended_attempts.is_empty() || !self.direct_runs.keys().all(is_allocated)
    }

    /// Whether a late copy of a direct `run` may start the attempt, unless the worker lists it.
    pub fn may_run_arrive_late(&self, task: TaskId, attempt: Attempt) -> bool {
        self.direct_runs.contains_key(&(task, attempt))
    }

    /// Whether a late copy of a direct `run` may start the attempt until the worker has seen a higher token than this one.
    pub(super) fn awaits_token_above(&self, task: TaskId, attempt: Attempt, token: Term) -> bool {
        let direct_run = self.direct_runs.get(&(task, attempt));
        direct_run.is_some_and(|direct_run| direct_run.token >= token)
    }

    /// Whether only a higher token than this one can prove that the task, which the worker does not report and which is
    /// to be stopped, is not started any more. While a command is in flight, its response may show that.
    pub(super) fn needs_higher_token_for(&self, task: TaskId, token: Term) -> bool {
        let allocation = self.allocations.get(&task);
        !self.has_command_in_flight
            && allocation.is_some_and(|a| self.awaits_token_above(task, a.attempt, token))
            && !self.attempts_to_fence().contains(&task)
    }

    /// Takes in the highest token that the worker has seen. Copies of commands with a lower one are rejected from now on.
    pub(super) fn on_token_reported(&mut self, token: Term) {
        if token > self.fencing_token {
            self.fencing_token = token;
            self.direct_runs
                .retain(|_, direct_run| direct_run.token >= token);
        }
    }

    /// Tasks to be stopped whose direct `run` may still be executed although the worker has not reported them. Only
    /// the worker can end this uncertainty: once it knows the attempt, in any state, a late `run` has no effect.
    /// Cancelled tasks are left out, as they must not be started any more, not even to be stopped at once.
    pub(super) fn attempts_to_fence(&self) -> BTreeSet<TaskId> {
        let allocations = self.allocations.iter();
        allocations
            .filter(|(task, allocation)| {
                allocation.phase == AllocationPhase::Committed
                    && allocation.incarnation == self.incarnation
                    && !matches!(allocation.stop_reason, None | Some(StopReason::Cancelled))
                    && self.may_run_arrive_late(**task, allocation.attempt)
            })
            .map(|(task, _)| *task)
            .collect()
    }

    /// Whether a heartbeat with this sequence number shows that a response which fenced off an attempt had no effect. Each
    /// response counts once, as without a valid lease no other follows.
    pub(super) fn take_ignored_fences(&mut self, heartbeat_sequence: SequenceNumber) -> bool {
        let mut is_ignored = false;
        for allocation in self.allocations.values_mut() {
            let fenced_in_response_to = std::mem::take(&mut allocation.fenced_in_response_to);
            is_ignored |= fenced_in_response_to != SequenceNumber(0)
                && heartbeat_sequence > fenced_in_response_to
                && allocation.phase != AllocationPhase::Observed;
        }
        is_ignored
    }

    /// Whether a late copy of a direct `run` may start the allocated attempt at the task.
    pub(super) fn may_allocated_run_arrive_late(&self, task: TaskId) -> bool {
        let allocation = self.allocations.get(&task);
        allocation.is_some_and(|a| self.may_run_arrive_late(task, a.attempt))
    }

    /// Notes that a `run` of the attempt is sent as a direct command with this token.
    pub(super) fn on_run_sent_directly(&mut self, task: TaskId, attempt: Attempt, token: Term) {
        let earlier = self.direct_runs.get(&(task, attempt));
        let direct_run = DirectRun {
            token,
            earlier_token: earlier.map(|direct_run| direct_run.token),
        };
        self.direct_runs.insert((task, attempt), direct_run);
    }

    /// Notes that the last direct `run` of the attempt was never sent, or certainly neither it nor a copy is executed.
    pub(super) fn on_run_not_executed(&mut self, task: TaskId, attempt: Attempt) {
        let Some(direct_run) = self.direct_runs.get_mut(&(task, attempt)) else {
            return;
        };
        let reported_token = self.fencing_token;
        match direct_run
            .earlier_token
            .filter(|token| *token >= reported_token)
        {
            Some(token) => direct_run.token = token,
            None => {
                self.direct_runs.remove(&(task, attempt));
            }
        }
    }
}

/// The keys of all attempts at the task.
fn all_attempts_at(task: TaskId) -> RangeInclusive<(TaskId, Attempt)> {
    (task, Attempt(0))..=(task, Attempt(u64::MAX))
}
