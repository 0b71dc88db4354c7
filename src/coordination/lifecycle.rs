//! What becomes of jobs: accepted, done, cancelled; and when their tasks are stopped for it.

use super::hosts::StopReason;
use super::jobs::{Job, JobPhase};
use super::{Leader, LeaderPhase, BLIND_PART, MAX_CANCELLED, MAX_CLASSES};
use crate::storage::records::{JobRecord, OutcomeRecord};
use crate::storage::write_batcher::CommittedRecords;
use crate::types::{HostName, JobId, TaskId, Time, Version};

impl Leader {
    /// A job's record, at the start or as news of the watch.
    pub fn on_job(&mut self, record: JobRecord, live: Version) {
        let id = record.spec.id;
        if let Some(job) = self.jobs.get_mut(&id).filter(|j| j.spec.is_some()) {
            if job.record_split.is_some() && record.tasks_per_record == job.tasks_per_record {
                // The answer to the last step of its split was lost.
                let chunks = self.batcher.split_in_force(job, live);
                let written = CommittedRecords {
                    chunks,
                    ..CommittedRecords::default()
                };
                self.on_written(&written, self.now);
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
        let age = self.day_ms.saturating_sub(record.submitted_at_ms);
        let at = Time(self.now.0.saturating_sub(age));
        self.autoscaler.arrived(at, &record.spec);
        if !self.seen_classes.contains(&record.spec.class) && self.seen_classes.len() < MAX_CLASSES
        {
            self.seen_classes.insert(record.spec.class.clone());
        }
        self.jobs.insert(id, Job::new(record, live));
        self.scheduling_requested = true;
        if self.cancelled_jobs.contains_key(&id) {
            // This was read before it was cancelled.
            self.on_job_deleted(id, self.now);
        }
    }

    /// A job's final record where its description was. It got done under an earlier leader, or it is our
    /// own doing; the answer to that may have been lost.
    pub fn on_outcome_record(&mut self, id: JobId, over: OutcomeRecord, live: Version) {
        let now = self.now;
        let job = self
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
        self.batcher.queue_deletion(id);
    }

    /// Some node told its user that the job is cancelled. The record that says so may not reach this
    /// one for long, if the state service does not answer it.
    pub fn on_cancellation(&mut self, id: JobId, now: Time) {
        if self.cancelled_jobs.insert(id, now).is_none() {
            self.on_job_deleted(id, now);
        }
        if self.cancelled_jobs.len() > MAX_CANCELLED {
            tracing::warn!("more than {MAX_CANCELLED} jobs are cancelled, the oldest is forgotten");
            let oldest = self.cancelled_jobs.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(job, _)| *job) {
                self.cancelled_jobs.remove(&oldest);
            }
        }
    }

    /// Whether no other leader can keep a task of the cancelled job going: the workers that may hold one
    /// have seen our token, so they obey nobody from before. Whoever comes after us reads the records.
    pub fn is_sole_commander(&self, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|j| j.allocated_count > 0) else {
            return true;
        };
        let mut hosts = job
            .allocated_hosts()
            .filter_map(|name| self.hosts.get(name));
        hosts.all(|host| host.fencing_token == self.term)
    }

    /// The records, and so the cancellations from before our term, have been out of reach for long. Each
    /// answer would keep cancelled work alive, and nobody else is left who knows of it; without one it
    /// ends with its worker's lease, just in time.
    pub fn must_let_leases_expire(&self, now: Time) -> bool {
        let spare = self.policy.cancel.saturating_sub(self.policy.lease);
        self.phase == LeaderPhase::LoadingRecords
            && now.since(self.started_at) > spare.mul_f64(BLIND_PART)
    }

    /// Its record is gone: cancelled by its user, unless it was this leader that finished it.
    pub fn on_job_deleted(&mut self, id: JobId, now: Time) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !matches!(job.phase, JobPhase::Active | JobPhase::Finishing) {
            return;
        }
        tracing::debug!("{id}: cancelled with {} tasks booked", job.allocated_count);
        job.set_phase(JobPhase::Cancelled, now);
        let booked: Vec<(HostName, TaskId)> = self
            .hosts
            .values()
            .flat_map(|h| h.allocations.keys().map(|t| (h.name.clone(), *t)))
            .filter(|(_, task)| task.job == id)
            .collect();
        for (host, task) in booked {
            self.stop(&host, task, StopReason::Cancelled, now);
        }
        // What was not written yet was ended just now, and no record of it will come.
        self.uncommitted_allocations
            .retain(|(job, _), _| *job != id);
        self.check_completion(id, now);
        self.scheduling_requested = true;
    }

    /// Marks a allocation to be stopped and tells its worker at once.
    pub(super) fn stop(&mut self, name: &HostName, task: TaskId, why: StopReason, now: Time) {
        let Some(mut host) = self.hosts.remove(name) else {
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
        self.hosts.insert(name.clone(), host);
    }

    /// After a allocation ended or a task got done: the job may be at its end.
    pub(super) fn check_completion(&mut self, id: JobId, now: Time) {
        if self.phase == LeaderPhase::LoadingRecords {
            // What is booked is not known before all records are read.
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        match job.phase {
            // A split under way changes the record that the final one replaces.
            JobPhase::Active if job.done_count == job.task_count && job.record_split.is_none() => {
                job.set_phase(JobPhase::Finishing, now);
                self.batcher.queue_outcome(id);
            }
            JobPhase::Cancelled if job.allocated_count == 0 => {
                job.set_phase(JobPhase::GarbageCollecting, now);
                self.batcher.queue_deletion(id);
            }
            _ => {}
        }
    }
}
