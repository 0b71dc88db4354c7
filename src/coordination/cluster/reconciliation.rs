//! Reconciliation: squares what a worker's heartbeat says with the state.
//!
//! Only a heartbeat that shows the term's fencing token proves anything: its worker obeys no earlier leader any
//! more. One that was made before may be a late copy.

use std::collections::BTreeSet;
use std::time::Duration;

use super::host::{
    Allocation, CordonReason, EndedAttempt, HeartbeatId, Host, HostLifecycle, Reachability,
    StopReason,
};
use super::job::{Job, JobPhase, TaskState, REPLICA_STABLE_AFTER};
use super::ClusterState;
use crate::coordination::run_times::RunTimes;
use crate::coordination::Policy;
use crate::protocol::workers::{AttemptState, AttemptStatus, EndReason, WorkerHeartbeat};
use crate::storage::records::RunRecordId;
use crate::types::{
    duration_from_seconds, Attempt, Incarnation, SequenceNumber, TaskId, Term, Time,
};

/// An attempt that was started by a direct command stays in its worker's memory for so many of its leases after it
/// ended, as a copy of the command may still arrive.
const RETAINED_LEASES: u32 = 4;
/// The tasks of a job of which one was refused wait for this long.
const REFUSED_PAUSE: Duration = Duration::from_secs(1);
/// A host with tasks of so many failing jobs is faulty.
const FAULTY_AFTER_JOBS: usize = 2;
/// A host with so many failures in a row is faulty, if the job succeeds elsewhere.
const FAULTY_AFTER_FAILURES: u32 = 2;
/// A single failing host with so many failures in a row is more likely to blame than its job.
const FAILURES_THAT_BLAME_THE_HOST: u32 = 3;

/// How a heartbeat reached the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatSource {
    /// The worker sent it by itself. It may be a late copy.
    Worker,
    /// It came in the response to a direct command or a probe.
    CommandResponse,
}

/// One reconciliation of a heartbeat with the state.
pub(crate) struct Reconciliation<'a> {
    pub(crate) cluster: &'a mut ClusterState,
    pub(crate) run_times: &'a mut RunTimes,
    pub(crate) policy: &'a Policy,
    pub(crate) term: Term,
    pub(crate) source: HeartbeatSource,
    pub(crate) now: Time,
}

impl Reconciliation<'_> {
    /// Takes in a heartbeat that shows this term's fencing token. Returns whether it was newer than all before;
    /// others count for nothing.
    pub(crate) fn apply(&mut self, heartbeat: &WorkerHeartbeat) -> bool {
        let name = heartbeat.host.clone();
        let mut host = self
            .cluster
            .hosts
            .remove(&name)
            .unwrap_or_else(|| Host::new(name.clone(), self.now));
        let is_newer = host.is_newer_heartbeat(heartbeat);
        if is_newer {
            self.update(&mut host, heartbeat);
        } else {
            tracing::debug!(
                "{name}: late heartbeat {}/{}",
                heartbeat.incarnation,
                heartbeat.sequence
            );
        }
        self.cluster.hosts.insert(name, host);
        is_newer
    }

    /// Takes in a heartbeat that its worker made before it saw this term's fencing token. It may be a late copy, even
    /// of a host that is gone by now, so it proves nothing, not even that there is such a host. The response carries
    /// the token, and the next heartbeat counts.
    pub(crate) fn apply_unfenced(&mut self, heartbeat: &WorkerHeartbeat) {
        let Some(mut host) = self.cluster.hosts.remove(&heartbeat.host) else {
            return;
        };
        self.describe(&mut host, heartbeat);
        let id = HeartbeatId {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
        };
        if id > host.newest_unfenced_heartbeat {
            self.on_newer_unfenced(&mut host, id);
        }
        self.cluster.hosts.insert(heartbeat.host.clone(), host);
    }

    fn on_newer_unfenced(&self, host: &mut Host, id: HeartbeatId) {
        let was_told_before = host.newest_unfenced_heartbeat != HeartbeatId::default();
        host.newest_unfenced_heartbeat = id;
        match self.source {
            HeartbeatSource::Worker if was_told_before => host.command_had_no_effect(self.now),
            HeartbeatSource::Worker => {}
            // A probe for the wrong incarnation was turned down; now the right one is known.
            HeartbeatSource::CommandResponse => host.next_probe_at = self.now,
        }
    }

    /// Takes in what does not change while a host lives.
    fn describe(&self, host: &mut Host, heartbeat: &WorkerHeartbeat) {
        if host.type_index.is_none() || host.zone.is_empty() {
            let mut types = self.cluster.machine_types.iter();
            host.type_index = types.position(|t| t.name == heartbeat.machine_type);
            host.zone.clone_from(&heartbeat.zone);
            host.is_spot = heartbeat.spot;
        }
        host.address = heartbeat.address.parse().ok();
    }

    fn update(&mut self, host: &mut Host, heartbeat: &WorkerHeartbeat) {
        // A heartbeat after a silence in this term may have been under way for long.
        let was_silent =
            host.first_heartbeat_at.is_some() && host.lifecycle == HostLifecycle::Unresponsive;
        if host.first_heartbeat_at.is_none() {
            host.first_heartbeat_at = Some(self.now);
        }
        self.describe(host, heartbeat);
        self.update_reachability(host, heartbeat, was_silent);
        host.fencing_token = heartbeat.fencing_token;
        host.last_heartbeat_at = self.now;
        if !host.is_up() {
            self.mark_up(host);
        }
        if heartbeat.incarnation > host.incarnation {
            self.on_new_incarnation(host, heartbeat.incarnation);
        }
        host.newest_sequence = heartbeat.sequence;
        host.unrecorded_attempts.clear();
        for status in &heartbeat.tasks {
            self.reconcile_attempt(host, status);
        }
        self.reconcile_missing(host, heartbeat);
        if let Some(notice) = heartbeat.notice_s {
            self.on_reclaim_notice(host, duration_from_seconds(notice.0));
        }
    }

    fn update_reachability(
        &mut self,
        host: &mut Host,
        heartbeat: &WorkerHeartbeat,
        was_silent: bool,
    ) {
        let before = host.reachability;
        let has_heard_us = host.fencing_token < heartbeat.fencing_token
            || self.source == HeartbeatSource::CommandResponse;
        if has_heard_us {
            host.command_took_effect();
        } else if was_silent {
            host.set_reachability(Reachability::Unconfirmed);
            host.next_probe_at = self.now;
        } else if host.reachability == Reachability::Unconfirmed {
            host.set_reachability(Reachability::Confirmed);
        }
        if host.reachability != before {
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

    /// The worker's lease expired: it killed and forgot all that earlier incarnations held.
    fn on_new_incarnation(&mut self, host: &mut Host, incarnation: Incarnation) {
        let sent_by_worker = self.source == HeartbeatSource::Worker;
        if sent_by_worker && host.incarnation != Incarnation(0) && host.is_up() {
            // Its lease expired although its heartbeats were answered.
            host.command_had_no_effect(self.now);
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
                "{}: incarnation {incarnation}, {} tasks lost",
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
                    host.command_took_effect();
                }
            }
            (None, AttemptState::Ended) => {
                // Its outcome is in the records already, or never mattered.
                let ended = EndedAttempt {
                    record_change_count: 0,
                    retain_until: self.now,
                };
                host.ended_attempts.entry((task, attempt)).or_insert(ended);
            }
            (None, _) => self.on_unrecorded_attempt(host, task, attempt),
        }
    }

    fn on_attempt_ended(&mut self, host: &mut Host, status: &AttemptStatus) {
        let AttemptStatus {
            task,
            attempt,
            end_reason,
            ..
        } = *status;
        let is_service = self.cluster.job(task.job).is_some_and(Job::is_service);
        let started_at = host.allocations.get(&task).and_then(|a| a.started_at);
        let ran_for = started_at.map_or(Duration::ZERO, |at| self.now.since(at));
        if is_service {
            self.on_replica_ended(host, status, ran_for);
        }
        match end_reason {
            Some(EndReason::Done) if is_service => {}
            Some(EndReason::Done) => self.on_task_succeeded(host, task, started_at),
            Some(EndReason::Stopped) => {}
            // One that had long been running says nothing of its host.
            Some(EndReason::Error) if is_service && ran_for >= REPLICA_STABLE_AFTER => {}
            Some(EndReason::Error) => self.on_task_failed(host, task),
            _ => self.on_start_refused(host, status),
        }
        // A service is never done.
        let is_done = end_reason == Some(EndReason::Done) && !is_service;
        self.retain_ended_attempt(host, task, attempt, is_done);
        self.cluster.request_scheduling();
    }

    fn on_replica_ended(&mut self, host: &Host, status: &AttemptStatus, ran_for: Duration) {
        if !matches!(status.end_reason, Some(EndReason::Done | EndReason::Error)) {
            return;
        }
        if let Some(job) = self.cluster.jobs.get_mut(&status.task.job) {
            job.on_replica_ended(ran_for, self.now);
        }
        tracing::info!(
            "{}: {} ended by itself after {ran_for:?}: {:?}",
            host.name,
            status.task,
            status.end_reason
        );
    }

    fn on_task_succeeded(&mut self, host: &mut Host, task: TaskId, started_at: Option<Time>) {
        let spec = self.cluster.job(task.job).and_then(|job| job.spec.as_ref());
        if let (Some(spec), Some(started_at)) = (spec, started_at) {
            self.run_times.observe(spec, self.now.since(started_at));
        }
        host.consecutive_failures = 0;
        host.failed_jobs.clear();
    }

    fn on_start_refused(&mut self, host: &Host, status: &AttemptStatus) {
        tracing::info!(
            "{}: {} attempt {} refused: {:?}",
            host.name,
            status.task,
            status.attempt,
            status.end_reason
        );
        if let Some(job) = self.cluster.jobs.get_mut(&status.task.job) {
            job.retry_not_before = self.now.after(REFUSED_PAUSE);
        }
    }

    /// A task failed: either its job is to blame, if it fails everywhere, or its host.
    fn on_task_failed(&mut self, host: &mut Host, task: TaskId) {
        let Some(job) = self.cluster.jobs.get_mut(&task.job) else {
            return;
        };
        let failed_everywhere_before = job.fails_everywhere();
        job.on_task_failed(&host.name, self.now);
        host.failed_jobs.insert(task.job, self.now);
        if job.fails_everywhere() {
            if !failed_everywhere_before {
                tracing::info!(
                    "{}: fails wherever it is tried ({} times, {} hosts)",
                    task.job,
                    job.consecutive_failures,
                    job.failed_hosts.len()
                );
            }
            // That says nothing about this host.
            return;
        }
        host.consecutive_failures += 1;
        let failures = host.consecutive_failures;
        let succeeds_elsewhere = job.done_count > 0
            || job.failed_hosts.len() == 1 && failures >= FAILURES_THAT_BLAME_THE_HOST;
        tracing::info!("{}: {task} failed, {failures} in a row", host.name);
        let is_faulty = host.failed_jobs.len() >= FAULTY_AFTER_JOBS
            || succeeds_elsewhere && failures >= FAULTY_AFTER_FAILURES;
        if is_faulty {
            tracing::info!("{}: fails what it is given", host.name);
            host.cordon(CordonReason::Faulty);
        }
    }

    /// Frees the allocation of an attempt that ended. The worker has to remember the attempt for as long as a copy of
    /// its `run` may still arrive.
    fn retain_ended_attempt(
        &mut self,
        host: &mut Host,
        task: TaskId,
        attempt: Attempt,
        is_done: bool,
    ) {
        let allocation = host.allocations.get(&task);
        let may_have_copies = allocation.is_some_and(|allocation| allocation.was_run_sent_directly);
        let retained_for = if may_have_copies {
            self.policy.worker_lease * RETAINED_LEASES
        } else {
            Duration::ZERO
        };
        let record_change = self.cluster.end_allocation(host, task, is_done, self.now);
        let ended = EndedAttempt {
            record_change_count: record_change,
            retain_until: self.now.after(retained_for),
        };
        host.ended_attempts.insert((task, attempt), ended);
    }

    /// The task has its image and runs.
    fn on_task_started(&mut self, host: &mut Host, task: TaskId) {
        let Some(job) = self.cluster.jobs.get_mut(&task.job) else {
            return;
        };
        if let Some(outage) = job.replica_outages.remove(&task.index) {
            let lasted = self.now.since(outage.since);
            tracing::info!("{task} runs again after {lasted:?}: {}", outage.cause);
        }
        // Only services ask where their image is.
        let spec = job.spec.as_ref().filter(|spec| spec.is_service());
        let machine_type = host
            .type_index
            .and_then(|index| self.cluster.machine_types.get(index));
        if let (Some(spec), Some(machine_type)) = (spec, machine_type) {
            host.cache_image(&spec.image, spec.image_gb.0, machine_type.cache_gb.0);
        }
    }

    /// An attempt that no record places on this host. As tasks are recorded before they are started, there is no
    /// ordinary way to this. It is stopped, and until it has ended its task is not started elsewhere.
    fn on_unrecorded_attempt(&mut self, host: &mut Host, task: TaskId, attempt: Attempt) {
        tracing::warn!("{}: {task} attempt {attempt} is not booked here", host.name);
        host.unrecorded_attempts.insert((task, attempt));
        let Some(job) = self.cluster.jobs.get_mut(&task.job) else {
            return;
        };
        let state = job.task_state(task.index);
        let is_unallocated =
            matches!(state, Some(TaskState::Waiting { last_attempt: last }) if *last <= attempt);
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
        self.cluster.charge(&team, &resources);
        let allocation =
            Allocation::found_running(attempt, host.incarnation, resources, change.change_count);
        host.allocate(task, allocation);
    }

    /// Frees the allocations that the heartbeat does not list, where that proves that they ended.
    fn reconcile_missing(&mut self, host: &mut Host, heartbeat: &WorkerHeartbeat) {
        let statuses = heartbeat.tasks.iter();
        let listed: BTreeSet<(TaskId, Attempt)> = statuses
            .map(|status| (status.task, status.attempt))
            .collect();
        host.ended_attempts.retain(|key, _| listed.contains(key));
        let missing: Vec<TaskId> = host
            .allocations
            .iter()
            .filter(|(task, allocation)| !listed.contains(&(**task, allocation.attempt)))
            .map(|(task, _)| *task)
            .collect();
        let sent_by_worker = self.source == HeartbeatSource::Worker;
        // Only what was in the response to an earlier heartbeat should show by now.
        let is_overdue = |sent_in_response_to: SequenceNumber| {
            sent_by_worker
                && sent_in_response_to != SequenceNumber(0)
                && heartbeat.sequence > sent_in_response_to
        };
        let ignores_stop = |allocation: &Allocation| {
            allocation.is_running_against_stop() && is_overdue(allocation.stop_sent_in_response_to)
        };
        let mut ignores_commands = host.allocations.values().any(ignores_stop);
        for task in missing {
            let Some(allocation) = host.allocations.get(&task) else {
                continue;
            };
            // One that is still wanted is started again under the same attempt, which is safe.
            if allocation.is_to_be_started() {
                ignores_commands |= is_overdue(allocation.run_sent_in_response_to);
                continue;
            }
            if self.proves_absence(host, task, allocation, heartbeat) {
                self.cluster.end_allocation(host, task, false, self.now);
            }
        }
        if ignores_commands {
            host.command_had_no_effect(self.now);
        }
    }

    /// Whether the absence of a task from the heartbeat proves that it is not there and can't arrive: late commands of
    /// earlier leaders are fenced off, and none of this leader's is still under way.
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
        let has_executed_response = sent_in_response_to == SequenceNumber(0)
            || self.source == HeartbeatSource::Worker && heartbeat.sequence > sent_in_response_to;
        heartbeat.fencing_token == self.term
            && has_executed_response
            && !host.is_run_unacknowledged(task, allocation.attempt)
    }

    /// The cloud will reclaim the host: what can't end in time is stopped now, so that it can save and move.
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
                // When a replica moves is decided by what room there is elsewhere.
                continue;
            }
            let remaining_s =
                self.run_times
                    .expected_remaining_s(job, allocation.started_at, self.now);
            if remaining_s > time_left.as_secs_f64() && allocation.stop_reason.is_none() {
                allocation.stop_reason = Some(StopReason::Drained);
            }
        }
    }
}
