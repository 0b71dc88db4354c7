//! Reconciles the state with what a worker's heartbeat reports.
//!
//! Only a heartbeat with a fencing token of this leader proves anything, as its worker rejects commands of earlier
//! leaders. A heartbeat that was composed before its worker saw the first one may be a delayed copy.

use std::collections::BTreeSet;
use std::time::Duration;

use super::host::{
    Allocation, CordonReason, EndedAttempt, HeartbeatId, Host, HostLifecycle, Reachability,
    StopReason,
};
use super::host_attributes::{AttributeSource, HostAttributes};
use super::job::{JobPhase, TaskState};
use super::ClusterState;
use crate::coordination::run_times::RunTimes;
use crate::protocol::workers::{AttemptState, AttemptStatus, WorkerHeartbeat};
use crate::storage::records::RunRecordId;
use crate::types::{
    duration_from_seconds, Attempt, Incarnation, SequenceNumber, TaskId, Term, Time,
};

/// How a heartbeat reached the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatSource {
    /// The worker sent it on its own. It may be a delayed copy.
    Worker,
    /// It is the response to direct commands or a probe.
    CommandResponse,
}

/// The reconciliation of the state with one heartbeat.
pub(crate) struct Reconciliation<'a> {
    pub(crate) cluster: &'a mut ClusterState,
    pub(crate) run_times: &'a mut RunTimes,
    /// The leader's term. Heartbeats with a lower token are not reconciled.
    pub(crate) term: Term,
    /// The leader's fencing token, which is its term or higher.
    pub(crate) fencing_token: Term,
    pub(crate) source: HeartbeatSource,
    pub(crate) now: Time,
}

impl Reconciliation<'_> {
    /// Applies a heartbeat with this term's fencing token. Returns whether it was newer than all earlier ones of its
    /// host; if not, it is ignored.
    pub(crate) fn apply(&mut self, heartbeat: &WorkerHeartbeat) -> bool {
        let name = heartbeat.host.clone();
        let mut host = self
            .cluster
            .hosts
            .remove(&name)
            .unwrap_or_else(|| Host::new(name.clone(), self.now));
        let is_newer = host.is_newer_heartbeat(heartbeat);
        if is_newer {
            self.apply_newer(&mut host, heartbeat);
        } else {
            tracing::debug!(
                "{name}: ignoring late heartbeat, incarnation {}, sequence number {}",
                heartbeat.incarnation,
                heartbeat.sequence_number
            );
        }
        self.cluster.hosts.insert(name, host);
        is_newer
    }

    /// Applies a heartbeat that its worker composed before it saw this term's fencing token. It may be a delayed copy,
    /// even from a host that is gone by now, so it proves nothing, not even that the host exists. The response carries
    /// the token, and the next heartbeat will show it.
    pub(crate) fn apply_unfenced(&mut self, heartbeat: &WorkerHeartbeat) {
        let Some(mut host) = self.cluster.hosts.remove(&heartbeat.host) else {
            return;
        };
        self.update_attributes(&mut host, heartbeat);
        let id = HeartbeatId {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence_number,
        };
        if id > host.newest_unfenced_heartbeat {
            self.on_newer_unfenced(&mut host, id);
        }
        self.cluster.hosts.insert(heartbeat.host.clone(), host);
    }

    fn on_newer_unfenced(&self, host: &mut Host, id: HeartbeatId) {
        let was_answered = host.newest_unfenced_heartbeat != HeartbeatId::default();
        host.newest_unfenced_heartbeat = id;
        match self.source {
            HeartbeatSource::Worker if was_answered => host.on_command_without_effect(self.now),
            HeartbeatSource::Worker => {}
            // The worker rejected a probe for the wrong incarnation. The right one is known now, so probe again at
            // once.
            HeartbeatSource::CommandResponse => host.next_probe_at = self.now,
        }
    }

    /// Sets the host's machine type, zone, spot flag and address from the heartbeat.
    fn update_attributes(&self, host: &mut Host, heartbeat: &WorkerHeartbeat) {
        let mut types = self.cluster.machine_types.iter();
        let attributes = HostAttributes {
            type_index: types.position(|machine_type| machine_type.name == heartbeat.machine_type),
            zone: heartbeat.zone.clone(),
            is_spot: heartbeat.is_spot,
        };
        host.learn_attributes(AttributeSource::Worker, attributes);
        host.address = heartbeat.address.parse().ok();
    }

    fn apply_newer(&mut self, host: &mut Host, heartbeat: &WorkerHeartbeat) {
        // A heartbeat that ends a silence within this term may have been in transit for long.
        let was_silent =
            host.first_heartbeat_at.is_some() && host.lifecycle == HostLifecycle::Unresponsive;
        if host.first_heartbeat_at.is_none() {
            host.first_heartbeat_at = Some(self.now);
        }
        self.update_attributes(host, heartbeat);
        self.update_reachability(host, heartbeat, was_silent);
        host.on_token_reported(heartbeat.fencing_token);
        host.last_heartbeat_at = self.now;
        if !host.is_up() {
            self.mark_up(host);
        }
        if heartbeat.incarnation > host.incarnation {
            self.on_new_incarnation(host, heartbeat.incarnation);
        }
        host.newest_sequence = heartbeat.sequence_number;
        host.unrecorded_attempts.clear();
        for status in &heartbeat.attempts {
            self.reconcile_attempt(host, status);
        }
        self.reconcile_missing(host, heartbeat);
        if let Some(notice) = heartbeat.reclaim_notice_s {
            self.on_reclaim_notice(host, duration_from_seconds(notice.0));
        }
    }

    fn update_reachability(
        &mut self,
        host: &mut Host,
        heartbeat: &WorkerHeartbeat,
        was_silent: bool,
    ) {
        let reachability_before = host.reachability;
        let has_received_message = host.fencing_token < heartbeat.fencing_token
            || self.source == HeartbeatSource::CommandResponse;
        if has_received_message {
            host.on_command_took_effect();
        } else if was_silent {
            host.set_reachability(Reachability::Unconfirmed);
            host.next_probe_at = self.now;
        } else if host.reachability == Reachability::Unconfirmed {
            host.set_reachability(Reachability::Confirmed);
        }
        if host.reachability != reachability_before {
            self.cluster.request_scheduling();
        }
    }

    fn mark_up(&mut self, host: &mut Host) {
        host.set_lifecycle(HostLifecycle::Up);
        if host.cordon_reason == Some(CordonReason::Lost) && host.is_up() {
            host.cordon_reason = None;
        }
        self.cluster.request_scheduling();
    }

    /// Handles a new incarnation: the worker's lease expired, and it killed and forgot all tasks of earlier
    /// incarnations.
    fn on_new_incarnation(&mut self, host: &mut Host, incarnation: Incarnation) {
        let sent_by_worker = self.source == HeartbeatSource::Worker;
        if sent_by_worker && host.incarnation != Incarnation(0) && host.is_up() {
            // The lease expired although heartbeats of the worker were answered, so the responses had no effect.
            host.on_command_without_effect(self.now);
        }
        let is_older = |allocation: &Allocation| allocation.incarnation < incarnation;
        let lost: Vec<TaskId> = host
            .allocations
            .iter()
            .filter(|(_, allocation)| is_older(allocation))
            .map(|(task, _)| *task)
            .collect();
        if !lost.is_empty() {
            tracing::info!(
                "{}: worker lease expired, new incarnation {incarnation}, {} tasks lost",
                host.name,
                lost.len()
            );
        }
        for task in lost {
            self.cluster.end_allocation(host, task, false, self.now);
        }
        host.begin_incarnation(incarnation);
        self.cluster.request_scheduling();
    }

    fn reconcile_attempt(&mut self, host: &mut Host, status: &AttemptStatus) {
        let (task, attempt) = (status.task, status.attempt);
        let allocation = host.allocations.get_mut(&task);
        let allocation = allocation.filter(|allocation| allocation.attempt == attempt);
        match (allocation, status.state) {
            (Some(_), AttemptState::Ended) => self.on_attempt_ended(host, status),
            (Some(allocation), _) => {
                let run_took_effect = allocation.awaits_effect_of_run();
                let was_starting = allocation.started_at.is_none();
                allocation.observe(status, self.now);
                if was_starting && allocation.started_at.is_some() {
                    self.on_task_started(host, task);
                }
                if run_took_effect {
                    host.on_command_took_effect();
                }
            }
            (None, AttemptState::Ended) => {
                // Its outcome is in the records already, or does not matter.
                let ended = EndedAttempt {
                    record_change_count: 0,
                    first_listed_at: self.now,
                    end_reason: status.end_reason,
                };
                host.ended_attempts.entry((task, attempt)).or_insert(ended);
            }
            (None, _) => self.on_unrecorded_attempt(host, task, attempt),
        }
    }

    /// Handles an attempt that no run record places on this host. As allocations are recorded before their tasks are
    /// started, this does not occur in normal operation. The attempt is stopped, and until it has ended its task is not
    /// started elsewhere.
    fn on_unrecorded_attempt(&mut self, host: &mut Host, task: TaskId, attempt: Attempt) {
        tracing::warn!(
            "{}: {task} attempt {attempt} is not allocated to this host, stopping it",
            host.name
        );
        host.unrecorded_attempts.insert((task, attempt));
        let Some(job) = self.cluster.jobs.get_mut(&task.job) else {
            return;
        };
        let state = job.task_state(task.index);
        let is_unallocated =
            matches!(state, Some(TaskState::Waiting { last_attempt }) if *last_attempt <= attempt);
        let is_allocated_here = host.allocations.contains_key(&task);
        if job.phase != JobPhase::Active || !is_unallocated || is_allocated_here {
            return;
        }
        host.unrecorded_attempts.remove(&(task, attempt));
        let state = TaskState::Allocated {
            host: host.name.clone(),
            attempt,
            incarnation: host.incarnation,
        };
        let Some(change) = job.set_task(task.index, state) else {
            return;
        };
        let (team, resources) = (job.team.clone(), job.task_resources);
        let record = RunRecordId {
            job: task.job,
            number: change.record_number,
        };
        self.cluster.record_writer.mark_dirty(record, true);
        self.cluster.add_team_usage(&team, &resources);
        let allocation =
            Allocation::found_running(attempt, host.incarnation, resources, change.change_count);
        host.add_allocation(task, allocation);
    }

    /// Frees the allocations whose attempts are missing from the heartbeat, where that proves that they ended.
    fn reconcile_missing(&mut self, host: &mut Host, heartbeat: &WorkerHeartbeat) {
        let statuses = heartbeat.attempts.iter();
        let reported: BTreeSet<(TaskId, Attempt)> = statuses
            .map(|status| (status.task, status.attempt))
            .collect();
        host.ended_attempts.retain(|key, _| reported.contains(key));
        let missing: Vec<TaskId> = host
            .allocations
            .iter()
            .filter(|(task, allocation)| !reported.contains(&(**task, allocation.attempt)))
            .map(|(task, _)| *task)
            .collect();
        let sent_by_worker = self.source == HeartbeatSource::Worker;
        // A command must have taken effect by now only if it was sent in the response to an earlier heartbeat.
        let is_overdue = |sent_in_response_to: SequenceNumber| {
            sent_by_worker
                && sent_in_response_to != SequenceNumber(0)
                && heartbeat.sequence_number > sent_in_response_to
        };
        let ignores_stop = |allocation: &Allocation| {
            allocation.needs_stop_command() && is_overdue(allocation.stop_sent_in_response_to)
        };
        let mut ignores_commands = host.allocations.values().any(ignores_stop);
        if sent_by_worker {
            ignores_commands |= host.take_ignored_fences(heartbeat.sequence_number);
        }
        for task in missing {
            let Some(allocation) = host.allocations.get(&task) else {
                continue;
            };
            // An attempt that is to run is started again under the same number, which is safe.
            if allocation.is_to_be_started() {
                ignores_commands |= is_overdue(allocation.run_sent_in_response_to);
                continue;
            }
            if self.proves_absence(host, task, allocation, heartbeat) {
                self.cluster.end_allocation(host, task, false, self.now);
            } else {
                tracing::debug!(
                    host = %host.name,
                    %task,
                    attempt = %allocation.attempt,
                    reason = ?allocation.stop_reason,
                    "not reported, but its run may still be executed"
                );
                self.cluster.is_token_raise_requested |=
                    host.needs_higher_token_for(task, self.fencing_token);
            }
        }
        if ignores_commands {
            host.on_command_without_effect(self.now);
        }
    }

    /// Whether the absence of a task from the heartbeat proves that it is not on the host and can't be started there:
    /// late commands of earlier leaders are fenced off, and no `run` of this leader may still be executed.
    fn proves_absence(
        &self,
        host: &Host,
        task: TaskId,
        allocation: &Allocation,
        heartbeat: &WorkerHeartbeat,
    ) -> bool {
        if !allocation.was_run_possibly_sent {
            return true;
        }
        let sent_in_response_to = allocation.run_sent_in_response_to;
        let has_processed_response = sent_in_response_to == SequenceNumber(0)
            || self.source == HeartbeatSource::Worker
                && heartbeat.sequence_number > sent_in_response_to;
        heartbeat.fencing_token >= self.term
            && has_processed_response
            && !host.may_run_arrive_late(task, allocation.attempt)
    }

    /// Handles the notice that the cloud will reclaim the host. Tasks that can't end in time are stopped now, so that
    /// they can save their progress and be placed elsewhere.
    fn on_reclaim_notice(&mut self, host: &mut Host, time_left: Duration) {
        if host.reclaim_at.is_some() {
            return;
        }
        host.reclaim_at = Some(self.now.after(time_left));
        host.cordon(CordonReason::Reclaimed);
        self.cluster.request_scheduling();
        for (task, allocation) in &mut host.allocations {
            let Some(job) = self.cluster.jobs.get(&task.job) else {
                continue;
            };
            if job.is_service() {
                // Replicas are moved by the autoscaler, once other hosts have room for them.
                continue;
            }
            let remaining_s =
                self.run_times
                    .expected_remaining_s(job, allocation.started_at, self.now);
            if remaining_s > time_left.as_secs_f64() && allocation.stop_reason.is_none() {
                allocation.request_stop(StopReason::Drained, self.now);
            }
        }
    }
}
