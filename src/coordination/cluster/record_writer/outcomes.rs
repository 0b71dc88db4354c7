//! What the outcome of a batch means for the records in it.

use lichencrank_store::Change;

use super::batch::Batch;
use super::queue::QueuedRecord;
use super::{CommitResult, InFlight, Jobs, RecordWriter};
use crate::coordination::cluster::job::{Job, JobPhase};
use crate::storage::records::{self, RunRecordId};
use crate::types::{JobId, Time, Version};

/// However much the store refuses, transactions may have so many changes and values so many bytes.
const MIN_TXN_CHANGES: usize = 4;
const MIN_VALUE_BYTES: usize = 400;

impl RecordWriter {
    /// The batch under way was committed at that revision.
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
        for id in batch.deleted {
            if let Some(job) = jobs.get_mut(&id.job) {
                job.on_run_record_deleted(id.number);
            }
        }
        for id in batch.archived {
            if let Some(job) = jobs.get_mut(&id) {
                job.unarchived_outcome = None;
            }
        }
        for id in batch.finished {
            if let Some(job) = jobs.get_mut(&id) {
                job.on_outcome_written(revision);
                job.set_phase(JobPhase::GarbageCollecting, now);
                self.to_delete.insert(id);
            }
        }
        self.forget_deleted_jobs(jobs);
        CommitResult::Committed(written)
    }

    /// Forgets jobs that are over and of which no record is left.
    pub(super) fn forget_deleted_jobs(&mut self, jobs: &mut Jobs) {
        let is_deleted = |id: &JobId| jobs.get(id).is_none_or(Job::is_deleted);
        let deleted: Vec<JobId> = self.to_delete.iter().copied().filter(is_deleted).collect();
        for id in deleted {
            self.to_delete.remove(&id);
            jobs.remove(&id);
        }
    }

    /// Conditions of the batch under way failed: nothing was written, at least not now.
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

    /// Only the leader writes run records, so an earlier transaction, whose response was lost, was committed.
    fn on_run_record_conflict(&mut self, jobs: &mut Jobs, id: RunRecordId) {
        let job = jobs.get_mut(&id.job);
        if let Some(chunk) = job.and_then(|job| job.chunk_mut(id.number)) {
            chunk.is_version_unknown = true;
            self.version_unknown.insert(id);
        }
    }

    /// The batch under way was surely not committed: its contents are gathered anew.
    pub(crate) fn on_not_committed(&mut self) {
        if let Some(batch) = self.take_sent() {
            self.requeue(batch);
        }
    }

    /// The store refuses the batch under way for its size. Later batches are smaller; where a batch can't be, the largest
    /// value counts as too large.
    pub(crate) fn on_invalid(&mut self) {
        let Some(batch) = self.take_sent() else {
            return;
        };
        let change_count = batch.txn.changes.len();
        let values = batch.txn.changes.iter().filter_map(|change| match change {
            Change::Put { value, .. } => Some(records::json_size(value)),
            Change::Delete { .. } => None,
        });
        let largest = values.max().unwrap_or(0);
        if change_count > MIN_TXN_CHANGES {
            self.max_txn_changes = (change_count / 2).max(MIN_TXN_CHANGES);
        } else {
            self.max_value_bytes = self
                .max_value_bytes
                .min(largest.saturating_sub(1))
                .max(MIN_VALUE_BYTES);
        }
        tracing::info!(
            "the store refuses {change_count} changes, the largest of {largest} bytes: from now on {} and {}",
            self.max_txn_changes,
            self.max_value_bytes
        );
        self.requeue(batch);
    }

    /// The batch under way got no response: it may be committed at any time, so only the very same may follow.
    pub(crate) fn on_response_lost(&mut self) {
        if let Some(batch) = self.take_sent() {
            self.in_flight = InFlight::Repeat(batch);
        }
    }

    /// Takes the batch whose response is awaited.
    fn take_sent(&mut self) -> Option<Batch> {
        match std::mem::replace(&mut self.in_flight, InFlight::Idle) {
            InFlight::Sent(batch) => Some(batch),
            InFlight::Idle | InFlight::Repeat(_) => None,
        }
    }

    fn requeue(&mut self, batch: Batch) {
        for record in batch.run_records {
            self.queue.push(QueuedRecord {
                id: record.id,
                is_urgent: true,
            });
        }
        self.finishing.extend(batch.finished);
        self.to_delete.extend(batch.archived);
        self.to_delete.extend(batch.deleted.iter().map(|id| id.job));
    }
}

/// The record of a job is gone or has changed. Returns the job if it was cancelled.
fn on_job_record_conflict(jobs: &mut Jobs, id: JobId, batch: &Batch) -> Option<JobId> {
    if batch.split_step.as_ref().is_some_and(|step| step.job == id) {
        // Cancelled, or an earlier transaction, whose response was lost, was committed: the watch says which.
        return None;
    }
    if batch.archived.contains(&id) {
        // Only the leader archives outcomes, so an earlier transaction was committed.
        if let Some(job) = jobs.get_mut(&id) {
            job.unarchived_outcome = None;
        }
    }
    Some(id)
}
