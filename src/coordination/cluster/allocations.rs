//! Allocates tasks to hosts, requests their stop, and frees their allocations once they are proven to have ended.

use super::host::{Allocation, CordonReason, Host, StopReason};
use super::job::{JobPhase, ReplicaOutage, TaskState};
use super::ClusterState;
use crate::storage::records::RunRecordId;
use crate::types::{HostName, JobId, TaskId, Time};

/// Whether the request to stop a task needs a command to its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopEffect {
    /// The task is not allocated to the host, or its allocation was freed at once, as no `run` had been sent.
    NoCommandNeeded,
    /// The worker has to be sent a `stop`.
    CommandNeeded,
}

impl ClusterState {
    /// Allocates a task to a host, under a new attempt. Its run record has to be written before the task is started.
    pub(crate) fn allocate(&mut self, task: TaskId, name: &HostName) {
        let (Some(job), Some(host)) = (self.jobs.get_mut(&task.job), self.hosts.get_mut(name))
        else {
            return;
        };
        let attempt = job.last_attempt(task.index).next();
        let _attempt = tracing::debug_span!("attempt", %task, %attempt).entered();
        let incarnation = host.incarnation;
        let state = TaskState::Allocated {
            host: name.clone(),
            attempt,
            incarnation,
        };
        let Some(change) = job.set_task(task.index, state) else {
            return;
        };
        tracing::debug!(%task, %attempt, host = %name, "allocated");
        let (team, resources) = (job.team.clone(), job.task_resources);
        host.add_allocation(
            task,
            Allocation::uncommitted(attempt, incarnation, resources, change.change_count),
        );
        self.add_team_usage(&team, &resources);
        let record = RunRecordId {
            job: task.job,
            number: change.record_number,
        };
        self.record_writer.mark_dirty(record, true);
        let uncommitted = self.uncommitted_allocations.entry(record).or_default();
        uncommitted.push((name.clone(), task));
    }

    /// Marks an allocated task to be stopped. Its allocation is freed at once if no `run` can have been sent.
    pub(crate) fn request_stop(
        &mut self,
        name: &HostName,
        task: TaskId,
        reason: StopReason,
        now: Time,
    ) -> StopEffect {
        let Some(mut host) = self.hosts.remove(name) else {
            return StopEffect::NoCommandNeeded;
        };
        let may_run_arrive_late = host.may_allocated_run_arrive_late(task);
        let effect = match host.allocations.get_mut(&task) {
            None => StopEffect::NoCommandNeeded,
            Some(allocation) => {
                allocation.request_stop(reason, now);
                tracing::debug!(
                    host = %name,
                    %task,
                    attempt = %allocation.attempt,
                    ?reason,
                    phase = ?allocation.phase,
                    may_run_arrive_late,
                    "stop requested"
                );
                if allocation.was_run_possibly_sent {
                    StopEffect::CommandNeeded
                } else {
                    self.end_allocation(&mut host, task, false, now);
                    StopEffect::NoCommandNeeded
                }
            }
        };
        self.hosts.insert(name.clone(), host);
        effect
    }

    /// Frees an allocation whose attempt is proven to have ended. Returns the change count of its run record from which
    /// on the record holds the outcome; 0 if there is nothing to write.
    pub(super) fn end_allocation(
        &mut self,
        host: &mut Host,
        task: TaskId,
        is_done: bool,
        now: Time,
    ) -> u64 {
        let Some(allocation) = host.remove_allocation(task) else {
            return 0;
        };
        self.request_scheduling();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return 0;
        };
        if job.is_service() && allocation.started_at.is_some() {
            let outage = ReplicaOutage {
                since: now,
                cause: replica_outage_cause(&allocation, host.cordon_reason),
            };
            job.replica_outages.entry(task.index).or_insert(outage);
        }
        let state = if is_done {
            TaskState::Done
        } else {
            TaskState::Waiting {
                last_attempt: allocation.attempt,
            }
        };
        let team = job.team.clone();
        let change = job.set_task(task.index, state);
        if let Some(change) = change {
            let record = RunRecordId {
                job: task.job,
                number: change.record_number,
            };
            self.record_writer.mark_dirty(record, false);
        }
        self.subtract_team_usage(&team, &allocation.resources);
        self.check_completion(task.job, now);
        change.map_or(0, |change| change.change_count)
    }

    /// Changes the job's phase if all its tasks are done, or if it is cancelled and none of its tasks is allocated any
    /// more.
    pub(super) fn check_completion(&mut self, id: JobId, now: Time) {
        if !self.is_loaded {
            // Until all records are read, allocations may be missing.
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        match job.phase {
            // The outcome replaces the job record, which a split in progress also changes.
            JobPhase::Active if job.done_count == job.task_count && job.record_split.is_none() => {
                job.set_phase(JobPhase::Finishing, now);
                self.record_writer.queue_outcome(id);
            }
            JobPhase::Cancelled if job.allocated_count == 0 => {
                job.set_phase(JobPhase::GarbageCollecting, now);
                self.record_writer.queue_deletion(id);
            }
            _ => {}
        }
    }
}

/// Why a replica stopped running, for the log.
fn replica_outage_cause(
    allocation: &Allocation,
    cordon_reason: Option<CordonReason>,
) -> &'static str {
    match (allocation.stop_reason, cordon_reason) {
        (Some(StopReason::Preempted), _) => "preempted",
        (_, Some(CordonReason::Reclaimed)) => "host reclaimed",
        (Some(_), _) => "moved to another host",
        (None, Some(CordonReason::Lost | CordonReason::Faulty)) => "host declared lost",
        (None, _) => "task ended or its host was lost",
    }
}
