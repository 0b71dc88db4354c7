//! Handling of job records: accepted, finished and cancelled jobs.

use std::collections::BTreeMap;

use crate::coordination::cluster::host::StopReason;
use crate::coordination::cluster::JobRecordEffect;
use crate::coordination::{Leader, LeaderPhase};
use crate::storage::records::{JobRecord, OutcomeRecord};
use crate::types::{JobId, Time, Version};

/// Most cancelled jobs that are remembered, at about ten bytes each: as many as several peer heartbeats carry.
const MAX_CANCELLED_JOBS: usize = 12_000;
/// A new leader that cannot read the records renews workers' leases for this part of the difference between the
/// cancellation timeout and a worker's lease. The rest is for jobs whose cancellation was confirmed shortly before its
/// term.
const LOADING_LEASE_PART: f64 = 0.6;

/// Jobs whose cancellation some controller has confirmed to its user, and when this leader learnt of it.
#[derive(Debug, Default)]
pub(crate) struct Cancellations {
    learnt_at: BTreeMap<JobId, Time>,
}

impl Cancellations {
    /// Whether the job is known to be cancelled.
    pub(crate) fn contains(&self, job: JobId) -> bool {
        self.learnt_at.contains_key(&job)
    }

    /// Adds a cancelled job. Returns whether it was not known before.
    fn insert(&mut self, job: JobId, now: Time) -> bool {
        self.learnt_at.insert(job, now).is_none()
    }

    fn forget_oldest_beyond_limit(&mut self) {
        if self.learnt_at.len() <= MAX_CANCELLED_JOBS {
            return;
        }
        tracing::warn!(
            "more than {MAX_CANCELLED_JOBS} cancelled jobs to remember: forgetting the oldest"
        );
        let oldest = self.learnt_at.iter().min_by_key(|(_, at)| **at);
        if let Some(oldest) = oldest.map(|(job, _)| *job) {
            self.learnt_at.remove(&oldest);
        }
    }
}

impl Leader {
    /// Handles the record of an unfinished job, which was read at the start of the term or reported by the watch.
    pub fn on_job_record(&mut self, record: JobRecord, version: Version) {
        let now = self.clock.now;
        let id = record.spec.id;
        let age_ms = self
            .clock
            .wall_clock_ms
            .saturating_sub(record.submitted_at_ms);
        let submitted_at = Time(now.0.saturating_sub(age_ms));
        match self.cluster.on_job_record(record, version, now) {
            JobRecordEffect::AlreadyKnown => {}
            JobRecordEffect::SplitCommitted { hosts_to_command } => {
                self.send_commands_to(&hosts_to_command, now);
            }
            JobRecordEffect::Added => {
                if let Some(spec) = self.cluster.job(id).and_then(|job| job.spec.as_deref()) {
                    self.autoscaler.on_job_arrived(submitted_at, spec);
                }
                if self.cancellations.contains(id) {
                    // The record was read before the cancellation deleted it.
                    self.on_job_deleted(id, now);
                }
            }
        }
    }

    /// Handles an outcome that has replaced the job's description in its record: an earlier leader finished the job, or
    /// this one did and the response to the write was lost.
    pub fn on_outcome_record(&mut self, id: JobId, outcome: OutcomeRecord, version: Version) {
        let now = self.clock.now;
        self.cluster.on_outcome_record(id, outcome, version, now);
    }

    /// Some controller has confirmed to its user that the job is cancelled. The deletion of its record may reach this
    /// controller much later, if the state service does not respond to it.
    pub fn on_cancellation(&mut self, id: JobId, now: Time) {
        if self.cancellations.insert(id, now) {
            self.on_job_deleted(id, now);
        }
        self.cancellations.forget_oldest_beyond_limit();
    }

    /// Whether no other leader can keep a task of the cancelled job running. See
    /// [`ClusterState::has_fenced_all_hosts`](crate::coordination::cluster::ClusterState).
    pub fn has_fenced_all_hosts(&self, id: JobId) -> bool {
        self.cluster.has_fenced_all_hosts(id, self.term)
    }

    /// Whether heartbeats must be left without a response, so that the workers' leases expire. The records, and with
    /// them the cancellations from before this term, could not be read for too long: each response would keep tasks of
    /// cancelled jobs running that this leader does not know of. Without one they end with their worker's lease,
    /// before the cancellation timeout expires.
    pub fn must_let_leases_expire(&self, now: Time) -> bool {
        let max_renewal_time = self
            .policy
            .cancellation_timeout
            .saturating_sub(self.policy.worker_lease);
        self.phase == LeaderPhase::LoadingRecords
            && now.since(self.started_at) > max_renewal_time.mul_f64(LOADING_LEASE_PART)
    }

    /// The job's record has been deleted: its user has cancelled the job, unless this leader has finished it.
    pub fn on_job_deleted(&mut self, id: JobId, now: Time) {
        let Some(allocated) = self.cluster.begin_cancelling(id, now) else {
            return;
        };
        for (host, task) in allocated {
            self.stop_task(&host, task, StopReason::Cancelled, now);
        }
        self.cluster.finish_cancelling(id, now);
    }
}
