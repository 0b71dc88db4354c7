//! What becomes of jobs: accepted, done, cancelled; and when their tasks are stopped for it.

use crate::coordination::cluster::host::StopReason;
use crate::coordination::cluster::job::{Job, JobPhase};
use crate::coordination::cluster::record_writer::CommittedRecords;
use crate::coordination::{Leader, LeaderPhase};
use crate::storage::records::{JobRecord, OutcomeRecord};
use crate::types::{HostName, JobId, TaskId, Time, Version};

/// Cancelled jobs remembered by a node's word, of some ten bytes each; several heartbeats' worth.
const MAX_CANCELLED: usize = 12_000;
/// A new leader that can't read the records answers workers for this part of what cancellations have
/// beyond a worker's lease. The rest is for those confirmed just before its term.
const WITHOUT_RECORDS_PART: f64 = 0.6;
/// Classes remembered.
const MAX_CLASSES: usize = 1000;

impl Leader {
    /// A job's record, at the start or as news of the watch.
    pub fn on_job(&mut self, record: JobRecord, live: Version) {
        let id = record.spec.id;
        if let Some(job) = self.cluster.jobs.get_mut(&id).filter(|j| j.spec.is_some()) {
            if job.record_split.is_some() && record.tasks_per_record == job.tasks_per_record {
                // The answer to the last step of its split was lost.
                let chunks = self.cluster.records.split_in_force(job, live);
                let written = CommittedRecords {
                    chunks,
                    ..CommittedRecords::default()
                };
                self.on_written(&written, self.clock.now);
            }
            return;
        }
        tracing::debug!(
            "{id}: {} tasks, {:?}, {} CPUs, about {} s each, saves every {} s, due in {} s",
            record.spec.tasks,
            record.spec.priority,
            record.spec.cpus.0,
            record.spec.estimate_s.0,
            record.spec.checkpoint_s.0,
            record.spec.deadline_s.map_or(f64::INFINITY, |d| d.0)
        );
        let age = self.clock.day_ms.saturating_sub(record.submitted_at_ms);
        let at = Time(self.clock.now.0.saturating_sub(age));
        self.autoscaler.arrived(at, &record.spec);
        if !self.autoscaler.seen_classes.contains(&record.spec.class)
            && self.autoscaler.seen_classes.len() < MAX_CLASSES
        {
            self.autoscaler
                .seen_classes
                .insert(record.spec.class.clone());
        }
        self.cluster.jobs.insert(id, Job::new(record, live));
        self.cluster.scheduling_requested = true;
        if self.cancellations.jobs.contains_key(&id) {
            // This was read before it was cancelled.
            self.on_job_deleted(id, self.clock.now);
        }
    }

    /// A job's final record where its description was. It got done under an earlier leader, or it is our
    /// own doing; the answer to that may have been lost.
    pub fn on_outcome_record(&mut self, id: JobId, over: OutcomeRecord, live: Version) {
        let now = self.clock.now;
        let job = self
            .cluster
            .jobs
            .entry(id)
            .or_insert_with(|| Job::finished_earlier(id, over, live, now));
        if job.phase == JobPhase::Active {
            // Its tasks decide.
            return;
        }
        if job.record_version != live {
            job.record_version = live;
            job.unarchived_outcome = Some(over);
            job.set_phase(JobPhase::GarbageCollecting, now);
        }
        self.cluster.records.queue_deletion(id);
    }

    /// Some node told its user that the job is cancelled. The record that says so may not reach this
    /// one for long, if the state service does not answer it.
    pub fn on_cancellation(&mut self, id: JobId, now: Time) {
        if self.cancellations.jobs.insert(id, now).is_none() {
            self.on_job_deleted(id, now);
        }
        if self.cancellations.jobs.len() > MAX_CANCELLED {
            tracing::warn!("more than {MAX_CANCELLED} jobs are cancelled, the oldest is forgotten");
            let oldest = self.cancellations.jobs.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(job, _)| *job) {
                self.cancellations.jobs.remove(&oldest);
            }
        }
    }

    /// Whether no other leader can keep a task of the cancelled job going: the workers that may hold one
    /// have seen our token, so they obey nobody from before. Whoever comes after us reads the records.
    pub fn is_sole_commander(&self, id: JobId) -> bool {
        let Some(job) = self.cluster.jobs.get(&id).filter(|j| j.allocated_count > 0) else {
            return true;
        };
        let mut hosts = job
            .allocated_hosts()
            .filter_map(|name| self.cluster.hosts.get(name));
        hosts.all(|host| host.fencing_token == self.term)
    }

    /// The records, and so the cancellations from before our term, have been out of reach for long. Each
    /// answer would keep cancelled work alive, and nobody else is left who knows of it; without one it
    /// ends with its worker's lease, just in time.
    pub fn must_let_leases_expire(&self, now: Time) -> bool {
        let spare = self.policy.cancel.saturating_sub(self.policy.lease);
        self.phase == LeaderPhase::LoadingRecords
            && now.since(self.started_at) > spare.mul_f64(WITHOUT_RECORDS_PART)
    }

    /// Its record is gone: cancelled by its user, unless it was this leader that finished it.
    pub fn on_job_deleted(&mut self, id: JobId, now: Time) {
        let Some(job) = self.cluster.jobs.get_mut(&id) else {
            return;
        };
        if !matches!(job.phase, JobPhase::Active | JobPhase::Finishing) {
            return;
        }
        tracing::debug!("{id}: cancelled with {} tasks booked", job.allocated_count);
        job.set_phase(JobPhase::Cancelled, now);
        let booked: Vec<(HostName, TaskId)> = self
            .cluster
            .hosts
            .values()
            .flat_map(|h| h.allocations.keys().map(|t| (h.name.clone(), *t)))
            .filter(|(_, task)| task.job == id)
            .collect();
        for (host, task) in booked {
            self.stop(&host, task, StopReason::Cancelled, now);
        }
        // What was not written yet was ended just now, and no record of it will come.
        self.cluster
            .uncommitted_allocations
            .retain(|(job, _), _| *job != id);
        self.check_completion(id, now);
        self.cluster.scheduling_requested = true;
    }

    /// Marks a allocation to be stopped and tells its worker at once.
    pub(crate) fn stop(&mut self, name: &HostName, task: TaskId, why: StopReason, now: Time) {
        let Some(mut host) = self.cluster.hosts.remove(name) else {
            return;
        };
        if let Some(allocation) = host.allocations.get_mut(&task) {
            allocation.stop_reason = Some(why);
            if !allocation.run_sent {
                // No `run` of it ever left, so it is nowhere.
                self.end_booking(&mut host, task, false, now);
            } else {
                self.command(&mut host, now);
            }
        }
        self.cluster.hosts.insert(name.clone(), host);
    }

    /// After a allocation ended or a task got done: the job may be at its end.
    pub(crate) fn check_completion(&mut self, id: JobId, now: Time) {
        if self.phase == LeaderPhase::LoadingRecords {
            // What is booked is not known before all records are read.
            return;
        }
        let Some(job) = self.cluster.jobs.get_mut(&id) else {
            return;
        };
        match job.phase {
            // A split under way changes the record that the final one replaces.
            JobPhase::Active if job.done_count == job.task_count && job.record_split.is_none() => {
                job.set_phase(JobPhase::Finishing, now);
                self.cluster.records.queue_outcome(id);
            }
            JobPhase::Cancelled if job.allocated_count == 0 => {
                job.set_phase(JobPhase::GarbageCollecting, now);
                self.cluster.records.queue_deletion(id);
            }
            _ => {}
        }
    }
}
