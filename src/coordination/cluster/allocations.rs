//! Allocating tasks to hosts, stopping them, and freeing them once they are proven to have ended.

use super::host::{Allocation, CordonReason, Host, StopReason};
use super::job::{JobPhase, ReplicaOutage, TaskState};
use super::ClusterState;
use crate::storage::records::RunRecordId;
use crate::types::{HostName, JobId, TaskId, Time};

/// What follows from the request to stop a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopEffect {
    /// Nothing is allocated there, or it was freed at once, as no `run` had been sent.
    NoCommandNeeded,
    /// Its worker has to be told.
    CommandNeeded,
}

impl ClusterState {
    /// Allocates the job's task to the host. Its record has to be written before the task is started.
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
        host.allocate(
            task,
            Allocation::uncommitted(attempt, incarnation, resources, change.change_count),
        );
        self.charge(&team, &resources);
        let record = RunRecordId {
            job: task.job,
            number: change.record_number,
        };
        self.record_writer.mark_dirty(record, true);
        let uncommitted = self.uncommitted_allocations.entry(record).or_default();
        uncommitted.push((name.clone(), task));
    }

    /// Marks the task to be stopped. It is freed at once if its `run` was never sent.
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
        let effect = match host.allocations.get_mut(&task) {
            None => StopEffect::NoCommandNeeded,
            Some(allocation) => {
                allocation.stop_reason = Some(reason);
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

    /// Frees an allocation whose attempt is proven to have ended. Returns the change of its run record that holds
    /// the outcome; 0 if there is none to write.
    pub(super) fn end_allocation(
        &mut self,
        host: &mut Host,
        task: TaskId,
        is_done: bool,
        now: Time,
    ) -> u64 {
        let Some(allocation) = host.free(task) else {
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
        self.discharge(&team, &allocation.resources);
        self.check_completion(task.job, now);
        change.map_or(0, |change| change.change_count)
    }

    /// Moves the job on if its last task is done, or if it is cancelled and nothing is allocated any more.
    pub(super) fn check_completion(&mut self, id: JobId, now: Time) {
        if !self.is_loaded {
            // What is allocated is not known before all records are read.
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        match job.phase {
            // A split under way changes the record that the outcome replaces.
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
fn replica_outage_cause(allocation: &Allocation, cordon: Option<CordonReason>) -> &'static str {
    match (allocation.stop_reason, cordon) {
        (Some(StopReason::Preempted), _) => "preempted",
        (_, Some(CordonReason::Reclaimed)) => "host reclaimed",
        (Some(_), _) => "moved",
        (None, Some(CordonReason::Lost | CordonReason::Faulty)) => "host declared lost",
        (None, _) => "ended or lost",
    }
}
