//! Assembling a batch: one transaction, and what it changes in the leader's state once it is committed.

use lichencrank_store::{value, Change, Txn};

use super::split::SplitStep;
use super::{Jobs, RecordWriter};
use crate::coordination::cluster::job::{Job, JobPhase};
use crate::coordination::cluster::record_writer::queue::QueuedRecord;
use crate::storage::records::{self, RunRecordId, UnarchivedOutcome};
use crate::types::{JobId, Version};

/// No more records are added to a transaction once its size in JSON exceeds this. The state service's limit of a
/// transaction leaves room beyond it for the last record and the framing.
pub(super) const TXN_SOFT_LIMIT_BYTES: usize = 44 * 1024;
/// Approximate size in JSON of a stored outcome.
const OUTCOME_BYTES: usize = 200;
/// Archiving an outcome takes two changes: one deletes it under its `live/` key, one stores it under its `over/` key.
const ARCHIVE_CHANGES: usize = 2;

/// A run record exceeds the size limit of a value.
struct TooLarge;

/// A run record in a batch.
#[derive(Clone, Copy, Debug)]
pub(super) struct BatchedRecord {
    pub(super) id: RunRecordId,
    /// Count of the record's changes that the batch includes.
    pub(super) change_count: u64,
}

/// A transaction, and what it changes in the leader's state once it is committed.
#[derive(Debug)]
pub(super) struct Batch {
    pub(super) txn: Txn,
    /// The step of a split that the transaction carries out; it has the transaction to itself.
    pub(super) split_step: Option<SplitStep>,
    pub(super) run_records: Vec<BatchedRecord>,
    /// Jobs whose outcome is written under their `live/` key.
    pub(super) finished_jobs: Vec<JobId>,
    /// Jobs whose outcome is moved to the archive.
    pub(super) archived_jobs: Vec<JobId>,
    /// Run records that are deleted.
    pub(super) deleted_records: Vec<RunRecordId>,
    max_changes: usize,
    /// Approximate size in JSON of the outcomes and run records in it.
    approximate_bytes: usize,
}

impl Batch {
    /// An empty batch for at most `max_changes` changes, on condition that the leader's key has that version.
    pub(super) fn new(leader_key_version: Version, max_changes: usize) -> Batch {
        let mut txn = Txn::default();
        txn.require(records::LEADER_KEY.to_owned(), leader_key_version);
        Batch {
            txn,
            split_step: None,
            run_records: Vec::new(),
            finished_jobs: Vec::new(),
            archived_jobs: Vec::new(),
            deleted_records: Vec::new(),
            max_changes,
            approximate_bytes: 0,
        }
    }

    /// The most changes that the batch may hold.
    pub(super) fn max_changes(&self) -> usize {
        self.max_changes
    }

    fn has_room_for(&self, changes: usize) -> bool {
        self.txn.changes.len() + changes <= self.max_changes
    }

    fn contains(&self, id: RunRecordId) -> bool {
        self.run_records.iter().any(|record| record.id == id)
    }

    fn delete_run_record(&mut self, id: RunRecordId) {
        let change = Change::delete(records::run_key(id));
        self.txn.changes.push(change);
        self.deleted_records.push(id);
    }
}

impl RecordWriter {
    /// Adds the outcomes of jobs whose tasks are all done.
    pub(super) fn add_outcomes(&mut self, jobs: &Jobs, batch: &mut Batch) {
        for id in self.pending_outcomes.clone() {
            let Some(job) = jobs.get(&id).filter(|j| j.phase == JobPhase::Finishing) else {
                self.pending_outcomes.remove(&id);
                continue;
            };
            if !batch.has_room_for(1) || batch.approximate_bytes > TXN_SOFT_LIMIT_BYTES {
                return;
            }
            self.pending_outcomes.remove(&id);
            let outcome = job.outcome();
            batch.txn.require(records::live_key(id), job.record_version);
            let record = value(&UnarchivedOutcome { outcome });
            let change = Change::put(records::live_key(id), record);
            batch.txn.changes.push(change);
            batch.approximate_bytes += OUTCOME_BYTES;
            batch.finished_jobs.push(id);
        }
    }

    /// Adds run records that have changed: urgent ones first, normal ones only with `includes_normal`.
    pub(super) fn add_run_records(
        &mut self,
        jobs: &Jobs,
        includes_normal: bool,
        batch: &mut Batch,
    ) {
        let mut deferred = Vec::new();
        while batch.has_room_for(1) && batch.approximate_bytes < TXN_SOFT_LIMIT_BYTES {
            let Some(queued) = self.queue.pop(includes_normal) else {
                break;
            };
            let Some(job) = jobs.get(&queued.id.job) else {
                continue;
            };
            if job.record_split.is_some() && !deletes_all_records(job) {
                // The split writes all of the job's records, and those that change meanwhile are written after it.
                deferred.push(queued);
                continue;
            }
            let Some(numbers) = records_to_write(job, queued.id.number) else {
                continue;
            };
            if !batch.has_room_for(numbers.len()) {
                deferred.push(queued);
                break;
            }
            for number in numbers {
                let id = RunRecordId {
                    job: job.id,
                    number,
                };
                if let Err(TooLarge) = self.add_run_record(job, id, batch) {
                    let is_urgent = false;
                    deferred.push(QueuedRecord { id, is_urgent });
                }
            }
        }
        for queued in deferred {
            self.queue.push(queued);
        }
    }

    /// Adds one run record, unless the batch contains it already or it does not have to be written.
    fn add_run_record(
        &mut self,
        job: &Job,
        id: RunRecordId,
        batch: &mut Batch,
    ) -> Result<(), TooLarge> {
        if batch.contains(id) {
            return Ok(());
        }
        let (Some(chunk), Some(record)) = (job.chunk(id.number), job.run_record(id.number)) else {
            return Ok(());
        };
        // A record that was not written before the job's cancellation is not needed any more.
        if job.phase == JobPhase::Cancelled && chunk.record_version == Version::ABSENT {
            return Ok(());
        }
        let size = if record.fits_by_upper_bound(self.max_value_bytes) {
            record.estimated_size_bytes()
        } else {
            records::json_size(&record)
        };
        if size > self.max_value_bytes {
            self.jobs_to_split.insert(job.id);
            return Err(TooLarge);
        }
        self.unsplittable_jobs.remove(&job.id);
        batch.approximate_bytes += size;
        if job.phase == JobPhase::Active {
            self.require_active(job, batch);
        }
        let key = records::run_key(id);
        batch.txn.require(key.clone(), chunk.record_version);
        batch.txn.changes.push(Change::put(key, value(&record)));
        let change_count = chunk.change_count;
        batch.run_records.push(BatchedRecord { id, change_count });
        Ok(())
    }

    /// Makes the batch conditional on the job's record and on its team's allowance: no allocation is recorded after a
    /// cancellation, or beyond the allowance.
    fn require_active(&self, job: &Job, batch: &mut Batch) {
        let txn = &mut batch.txn;
        txn.require(records::live_key(job.id), job.record_version);
        if let Some((key, version)) = self.allowance_fences.get(&job.team) {
            txn.require(key.clone(), *version);
        }
    }

    /// Adds the changes that archive the outcomes of jobs that are done or cancelled, and delete their run records.
    pub(super) fn add_deletions(&mut self, jobs: &Jobs, batch: &mut Batch) {
        for id in self.pending_deletions.clone() {
            let job = jobs.get(&id);
            let Some(job) = job.filter(|job| job.phase == JobPhase::GarbageCollecting) else {
                self.pending_deletions.remove(&id);
                continue;
            };
            if !add_archived_outcome(job, batch) || !add_deleted_records(job, batch) {
                return;
            }
        }
    }
}

/// Whether all run records of the job are about to be deleted, so that none is written any more.
fn deletes_all_records(job: &Job) -> bool {
    matches!(job.phase, JobPhase::Finishing | JobPhase::GarbageCollecting)
}

/// The numbers of the records to write when the record with that number has changed; `None` if it is not written now.
/// The first record is always among them, if it can be written, as it counts the tasks of all other records.
fn records_to_write(job: &Job, number: u32) -> Option<Vec<u32>> {
    let is_version_unknown = |number| job.chunk(number).map(|chunk| chunk.is_version_unknown);
    if deletes_all_records(job) || is_version_unknown(number) == Some(true) {
        // A record of unknown version is queued again once its version has been read.
        return None;
    }
    let with_first = number != 0 && is_version_unknown(0) == Some(false);
    Some(if with_first {
        vec![number, 0]
    } else {
        vec![number]
    })
}

/// Adds the changes that archive the job's outcome, if it is not archived yet. Returns false if the batch has no room
/// for them.
fn add_archived_outcome(job: &Job, batch: &mut Batch) -> bool {
    let Some(outcome) = job.unarchived_outcome else {
        return true;
    };
    if batch.archived_jobs.contains(&job.id) {
        return true;
    }
    if !batch.has_room_for(ARCHIVE_CHANGES) {
        return false;
    }
    let live_key = records::live_key(job.id);
    batch.txn.require(live_key.clone(), job.record_version);
    let archived = Change::put(records::outcome_key(job.id), value(&outcome));
    batch
        .txn
        .changes
        .extend([Change::delete(live_key), archived]);
    batch.archived_jobs.push(job.id);
    true
}

/// Adds the changes that delete the job's run records. Returns false if the batch has no room for all of them.
fn add_deleted_records(job: &Job, batch: &mut Batch) -> bool {
    let abandoned = job.abandoned_records.keys().copied();
    let abandoned = abandoned.filter(|number| job.chunk(*number).is_none());
    let chunks = (0..).zip(&job.chunks);
    let recorded = chunks.filter(|(_, chunk)| chunk.as_ref().is_some_and(|c| c.may_have_record()));
    for number in abandoned.chain(recorded.map(|(number, _)| number)) {
        if !batch.has_room_for(1) {
            return false;
        }
        batch.delete_run_record(RunRecordId {
            job: job.id,
            number,
        });
    }
    true
}
