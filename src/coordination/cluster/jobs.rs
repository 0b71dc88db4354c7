//! Applies job records, outcomes and cancellations to the state.

use std::collections::BTreeSet;

use super::job::{Job, JobPhase};
use super::{AllocatedTask, ClusterState};
use crate::protocol::users::JobSpec;
use crate::storage::records::{JobRecord, OutcomeRecord};
use crate::types::{HostName, JobId, Term, Time, Version};

/// How a job record changed the state.
#[derive(Debug)]
pub(crate) enum JobRecordEffect {
    /// The job is new and was added.
    Added,
    /// The job was known already, so nothing changed.
    AlreadyKnown,
    /// The record was written by the last step of a record split, the response to which was lost. The split has taken
    /// effect.
    SplitCommitted {
        /// Hosts with tasks that may be started now.
        hosts_to_command: BTreeSet<HostName>,
    },
}

impl ClusterState {
    /// Applies the record of an unfinished job.
    pub(crate) fn on_job_record(
        &mut self,
        record: JobRecord,
        version: Version,
        now: Time,
    ) -> JobRecordEffect {
        let id = record.spec.id;
        if let Some(job) = self.jobs.get_mut(&id).filter(|job| job.spec.is_some()) {
            if job.record_split.is_some() && record.tasks_per_record == job.tasks_per_record {
                let written = self.record_writer.on_split_committed(job, version);
                let hosts_to_command = self.on_records_written(&written, now);
                return JobRecordEffect::SplitCommitted { hosts_to_command };
            }
            return JobRecordEffect::AlreadyKnown;
        }
        log_new_job(&record.spec);
        self.jobs.insert(id, Job::new(record, version));
        self.request_scheduling();
        JobRecordEffect::Added
    }

    /// Applies an outcome that has replaced the job's description under the same key: the job was finished by an
    /// earlier leader, or by this one and the response to the write was lost.
    pub(crate) fn on_outcome_record(
        &mut self,
        id: JobId,
        outcome: OutcomeRecord,
        version: Version,
        now: Time,
    ) {
        let job = self
            .jobs
            .entry(id)
            .or_insert_with(|| Job::finished_by_earlier_leader(id, outcome, version));
        if job.phase == JobPhase::Active {
            // An active job is finished by the states of its tasks alone.
            return;
        }
        if job.record_version != version {
            job.record_version = version;
            job.unarchived_outcome = Some(outcome);
            job.set_phase(JobPhase::GarbageCollecting, now);
        }
        self.record_writer.queue_deletion(id);
    }

    /// Cancels a job. Returns its allocated tasks, which have to be stopped; `None` if the job is unknown, is cancelled
    /// already, or its outcome is written. [`ClusterState::finish_cancelling`] has to be called once their stop was
    /// requested.
    pub(crate) fn begin_cancelling(&mut self, id: JobId, now: Time) -> Option<Vec<AllocatedTask>> {
        let job = self.jobs.get_mut(&id)?;
        if !matches!(job.phase, JobPhase::Active | JobPhase::Finishing) {
            return None;
        }
        tracing::debug!(job = %id, allocated = job.allocated_count, "job cancelled");
        job.set_phase(JobPhase::Cancelled, now);
        let allocated = self.hosts.values().flat_map(|host| {
            host.allocations
                .keys()
                .map(|task| (host.name.clone(), *task))
        });
        Some(allocated.filter(|(_, task)| task.job == id).collect())
    }

    /// Completes the cancellation of a job whose tasks were all marked to be stopped. Marking them has freed the
    /// allocations that were not written yet, and no run record with these allocations will be written.
    pub(crate) fn finish_cancelling(&mut self, id: JobId, now: Time) {
        self.uncommitted_allocations
            .retain(|record, _| record.job != id);
        self.check_completion(id, now);
        self.request_scheduling();
    }

    /// Whether no other leader can run a task of the job: all workers to which its tasks are allocated have seen the
    /// fencing token of `term`, so they reject commands of earlier leaders. A later leader reads the records first.
    pub(crate) fn has_fenced_all_hosts(&self, id: JobId, term: Term) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|job| job.allocated_count > 0) else {
            return true;
        };
        let mut hosts = job
            .allocated_hosts()
            .filter_map(|name| self.hosts.get(name));
        hosts.all(|host| host.fencing_token >= term)
    }
}

fn log_new_job(spec: &JobSpec) {
    tracing::debug!(
        "{}: new job: {} tasks, priority {:?}, {} CPUs, estimate {} s, checkpoint every {} s, deadline after {} s",
        spec.id,
        spec.task_count,
        spec.priority,
        spec.cpus.0,
        spec.estimated_run_time_s.0,
        spec.checkpoint_interval_s.0,
        spec.deadline_s.map_or(f64::INFINITY, |deadline_s| deadline_s.0)
    );
}
