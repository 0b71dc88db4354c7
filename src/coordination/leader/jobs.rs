//! Jobs as they are accepted, finished and cancelled.

use std::collections::BTreeMap;

use crate::coordination::cluster::host::StopReason;
use crate::coordination::cluster::JobRecordEffect;
use crate::coordination::{Leader, LeaderPhase};
use crate::storage::records::{JobRecord, OutcomeRecord};
use crate::types::{JobId, Time, Version};

/// Cancelled jobs that are remembered, of some ten bytes each; several heartbeats' worth.
const MAX_CANCELLED: usize = 12_000;
/// A new leader that can't read the records renews workers' leases for this part of the time by which the time for
/// cancellations exceeds a worker's lease. The rest is for jobs whose cancellation was confirmed just before its term.
const LOADING_LEASE_PART: f64 = 0.6;

/// Jobs that some controller told its user were cancelled, and when this leader heard of it.
#[derive(Debug, Default)]
pub(crate) struct Cancellations {
    jobs: BTreeMap<JobId, Time>,
}

impl Cancellations {
    /// Whether the job was cancelled by a controller's word.
    pub(crate) fn contains(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Notes a cancellation. Returns whether it was news.
    fn insert(&mut self, job: JobId, now: Time) -> bool {
        self.jobs.insert(job, now).is_none()
    }

    fn forget_oldest_beyond_limit(&mut self) {
        if self.jobs.len() <= MAX_CANCELLED {
            return;
        }
        tracing::warn!("more than {MAX_CANCELLED} jobs are cancelled, the oldest is forgotten");
        let oldest = self.jobs.iter().min_by_key(|(_, at)| **at);
        if let Some(oldest) = oldest.map(|(job, _)| *job) {
            self.jobs.remove(&oldest);
        }
    }
}

impl Leader {
    /// Takes in the record of a job that is not over, while the records are read or as a change that was watched.
    pub fn on_job(&mut self, record: JobRecord, version: Version) {
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
                    // The record was read before the job was cancelled.
                    self.on_job_deleted(id, now);
                }
            }
        }
    }

    /// Takes in an outcome that stands in the place of the job's description: an earlier leader finished the job, or this
    /// one did and the response was lost.
    pub fn on_outcome_record(&mut self, id: JobId, outcome: OutcomeRecord, version: Version) {
        let now = self.clock.now;
        self.cluster.on_outcome_record(id, outcome, version, now);
    }

    /// Some controller told its user that the job is cancelled. If the store does not answer this controller, the record
    /// that says so may not reach it for long.
    pub fn on_cancellation(&mut self, id: JobId, now: Time) {
        if self.cancellations.insert(id, now) {
            self.on_job_deleted(id, now);
        }
        self.cancellations.forget_oldest_beyond_limit();
    }

    /// Whether no other leader can keep a task of the cancelled job running; see
    /// [`ClusterState::has_fenced_all_hosts`](crate::coordination::cluster::ClusterState).
    pub fn is_sole_commander(&self, id: JobId) -> bool {
        self.cluster.has_fenced_all_hosts(id, self.term)
    }

    /// Whether workers may not be answered any more, so that their leases expire. The records, and with them the
    /// cancellations from before this term, have been out of reach for long: each response would keep cancelled work
    /// alive that nobody else knows of. Without one it ends with its worker's lease, just in time.
    pub fn must_let_leases_expire(&self, now: Time) -> bool {
        let spare = self
            .policy
            .cancellation_timeout
            .saturating_sub(self.policy.worker_lease);
        self.phase == LeaderPhase::LoadingRecords
            && now.since(self.started_at) > spare.mul_f64(LOADING_LEASE_PART)
    }

    /// The job's record is gone: its user cancelled it, unless this leader finished it.
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
