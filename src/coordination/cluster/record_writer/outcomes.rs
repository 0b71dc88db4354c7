//! Handling the outcome of a batch: committed, conflict, refused or lost.

use lichencrank_store::Change;

use super::batch::Batch;
use super::queue::QueuedRecord;
use super::{CommitResult, InFlight, Jobs, RecordWriter};
use crate::coordination::cluster::job::{Job, JobPhase};
use crate::storage::records::{self, RunRecordId};
use crate::types::{JobId, Time, Version};

/// Lower bounds of the limits that are reduced when the state service refuses a transaction for its size.
const MIN_TXN_CHANGES: usize = 4;
const MIN_VALUE_BYTES: usize = 400;

impl RecordWriter {
    /// The batch in flight was committed at that revision.
    pub(crate) fn on_committed(
        &mut self,
        jobs: &mut Jobs,
        revision: Version,
        now: Time,
    ) -> CommitResult {
        let Some(batch) = self.take_sent() else {
            return CommitResult::Retry;
        };
        let mut written = match &batch.split_step {
            Some(step) => self.on_split_step_written(jobs, step, revision),
            None => Vec::new(),
        };
        for record in &batch.run_records {
            let job = jobs.get_mut(&record.id.job);
            if let Some(chunk) = job.and_then(|job| job.chunk_mut(record.id.number)) {
                chunk.record_version = revision;
                chunk.written_change_count = record.change_count;
                written.push(record.id);
            }
        }
        for id in batch.deleted_records {
            if let Some(job) = jobs.get_mut(&id.job) {
                job.on_run_record_deleted(id.number);
            }
        }
        for id in batch.archived_jobs {
            if let Some(job) = jobs.get_mut(&id) {
                job.unarchived_outcome = None;
            }
        }
        for id in batch.finished_jobs {
            if let Some(job) = jobs.get_mut(&id) {
                job.on_outcome_written(revision);
                job.set_phase(JobPhase::GarbageCollecting, now);
                self.pending_deletions.insert(id);
            }
        }
        self.remove_deleted_jobs(jobs);
        CommitResult::Committed(written)
    }

    /// Removes jobs that are done or cancelled and have no record left but their archived outcome.
    pub(super) fn remove_deleted_jobs(&mut self, jobs: &mut Jobs) {
        let is_deleted = |id: &JobId| jobs.get(id).is_none_or(Job::is_deleted);
        let deleted: Vec<JobId> = self
            .pending_deletions
            .iter()
            .copied()
            .filter(is_deleted)
            .collect();
        for id in deleted {
            self.pending_deletions.remove(&id);
            jobs.remove(&id);
        }
    }

    /// Conditions of the batch in flight failed: this request wrote nothing, though an earlier one of the same
    /// transaction, whose response was lost, may have.
    pub(crate) fn on_conflict(&mut self, jobs: &mut Jobs, failed: &[String]) -> CommitResult {
        let Some(batch) = self.take_sent() else {
            return CommitResult::Retry;
        };
        if failed.iter().any(|key| key == records::LEADER_KEY) {
            return CommitResult::LeadershipLost;
        }
        let mut cancelled = Vec::new();
        for key in failed {
            if let Some(id) = records::parse_live_key(key) {
                cancelled.extend(on_job_record_conflict(jobs, id, &batch));
            } else if let Some(id) = records::parse_run_key(key) {
                self.on_run_record_conflict(jobs, id);
            }
        }
        let is_allowance = |key: &String| {
            let mut fences = self.allowance_fences.values();
            fences.any(|(fence, _)| fence == key)
        };
        let is_allowance_outdated = failed.iter().any(is_allowance);
        self.requeue(batch);
        CommitResult::Conflict {
            cancelled,
            is_allowance_outdated,
        }
    }

    /// A run record has another version than expected. Only the leader writes run records, so an earlier transaction,
    /// whose response was lost, was committed.
    fn on_run_record_conflict(&mut self, jobs: &mut Jobs, id: RunRecordId) {
        let job = jobs.get_mut(&id.job);
        if let Some(chunk) = job.and_then(|job| job.chunk_mut(id.number)) {
            chunk.is_version_unknown = true;
            self.records_of_unknown_version.insert(id);
        }
    }

    /// The batch in flight was certainly not committed: its records are queued again.
    pub(crate) fn on_not_committed(&mut self) {
        if let Some(batch) = self.take_sent() {
            self.requeue(batch);
        }
    }

    /// The state service refuses the batch in flight for its content, presumably its size. Later batches have fewer
    /// changes; if the batch already had the fewest, its largest value counts as too large.
    pub(crate) fn on_invalid(&mut self) {
        let Some(batch) = self.take_sent() else {
            return;
        };
        let change_count = batch.txn.changes.len();
        let value_sizes = batch.txn.changes.iter().filter_map(|change| match change {
            Change::Put { value, .. } => Some(records::json_size(value)),
            Change::Delete { .. } => None,
        });
        let largest_value_bytes = value_sizes.max().unwrap_or(0);
        if change_count > MIN_TXN_CHANGES {
            self.max_txn_changes = (change_count / 2).max(MIN_TXN_CHANGES);
        } else {
            self.max_value_bytes = self
                .max_value_bytes
                .min(largest_value_bytes.saturating_sub(1))
                .max(MIN_VALUE_BYTES);
        }
        tracing::info!(
            "the state service refused a transaction of {change_count} changes with values of up to {largest_value_bytes} bytes: limits reduced to {} changes and values of {} bytes",
            self.max_txn_changes,
            self.max_value_bytes
        );
        self.requeue(batch);
    }

    /// The response to the batch in flight was lost. The transaction may still be committed at any time, so the same
    /// one has to be sent again before any other.
    pub(crate) fn on_response_lost(&mut self) {
        if let Some(batch) = self.take_sent() {
            self.in_flight = InFlight::Resend(batch);
        }
    }

    /// Takes the batch whose response is awaited.
    fn take_sent(&mut self) -> Option<Batch> {
        match std::mem::replace(&mut self.in_flight, InFlight::Idle) {
            InFlight::Sent(batch) => Some(batch),
            InFlight::Idle | InFlight::Resend(_) => None,
        }
    }

    /// Queues all that an uncommitted batch contained again.
    fn requeue(&mut self, batch: Batch) {
        for record in batch.run_records {
            self.queue.push(QueuedRecord {
                id: record.id,
                is_urgent: true,
            });
        }
        self.pending_outcomes.extend(batch.finished_jobs);
        self.pending_deletions.extend(batch.archived_jobs);
        self.pending_deletions
            .extend(batch.deleted_records.iter().map(|id| id.job));
    }
}

/// The job's record was deleted or has changed. Returns the job if that means that it was cancelled.
fn on_job_record_conflict(jobs: &mut Jobs, id: JobId, batch: &Batch) -> Option<JobId> {
    if batch.split_step.as_ref().is_some_and(|step| step.job == id) {
        // Either the job was cancelled, or an earlier transaction, whose response was lost, was committed. The watch
        // on the job's record shows which.
        return None;
    }
    if batch.archived_jobs.contains(&id) {
        // Only the leader archives outcomes, so an earlier transaction, whose response was lost, was committed.
        if let Some(job) = jobs.get_mut(&id) {
            job.unarchived_outcome = None;
        }
    }
    Some(id)
}
