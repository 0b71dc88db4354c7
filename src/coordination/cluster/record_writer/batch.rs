//! Putting a batch together: one transaction, with what it will mean once it is committed.

use lichencrank_store::{value, Change, Txn};

use super::split::SplitStep;
use super::{Jobs, RecordWriter};
use crate::coordination::cluster::job::{Job, JobPhase};
use crate::coordination::cluster::record_writer::queue::QueuedRecord;
use crate::storage::records::{self, RunRecordId, UnarchivedOutcome};
use crate::types::{JobId, Version};

/// No more is added to a transaction that holds so many bytes. The store's limit leaves room for the last record and the
/// framing.
pub(super) const MAX_TXN_BYTES: usize = 44 * 1024;
/// About the bytes of a stored outcome.
const OUTCOME_BYTES: usize = 200;
/// Changes that archiving an outcome takes: deleting it in one place and storing it in another.
const ARCHIVE_CHANGES: usize = 2;

/// A record exceeds what a value may hold.
struct TooLarge;

/// A run record in a batch, and up to which change it holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct BatchedRecord {
    pub(super) id: RunRecordId,
    pub(super) change_count: u64,
}

/// A transaction, and what it will mean once it is committed.
#[derive(Debug)]
pub(super) struct Batch {
    pub(super) txn: Txn,
    pub(super) split_step: Option<SplitStep>,
    pub(super) run_records: Vec<BatchedRecord>,
    /// Jobs whose outcome is written.
    pub(super) finished: Vec<JobId>,
    /// Jobs whose outcome is moved to the archive.
    pub(super) archived: Vec<JobId>,
    /// Run records that are deleted.
    pub(super) deleted: Vec<RunRecordId>,
    max_changes: usize,
    bytes: usize,
}

impl Batch {
    /// An empty batch for at most so many changes, on condition that the leader's key has that version.
    pub(super) fn new(leader_key_version: Version, max_changes: usize) -> Batch {
        let mut txn = Txn::default();
        txn.require(records::LEADER_KEY.to_owned(), leader_key_version);
        Batch {
            txn,
            split_step: None,
            run_records: Vec::new(),
            finished: Vec::new(),
            archived: Vec::new(),
            deleted: Vec::new(),
            max_changes,
            bytes: 0,
        }
    }

    /// The most changes that it may hold.
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
        self.deleted.push(id);
    }
}

impl RecordWriter {
    /// Adds the outcomes of jobs whose tasks are all done.
    pub(super) fn add_outcomes(&mut self, jobs: &Jobs, batch: &mut Batch) {
        for id in self.finishing.clone() {
            let Some(job) = jobs.get(&id).filter(|j| j.phase == JobPhase::Finishing) else {
                self.finishing.remove(&id);
                continue;
            };
            if !batch.has_room_for(1) || batch.bytes > MAX_TXN_BYTES {
                return;
            }
            self.finishing.remove(&id);
            let outcome = job.outcome();
            batch.txn.require(records::live_key(id), job.record_version);
            let record = value(&UnarchivedOutcome { outcome });
            let change = Change::put(records::live_key(id), record);
            batch.txn.changes.push(change);
            batch.bytes += OUTCOME_BYTES;
            batch.finished.push(id);
        }
    }

    /// Adds run records that changed, the urgent ones first, and others only `with_normal`.
    pub(super) fn add_run_records(&mut self, jobs: &Jobs, with_normal: bool, batch: &mut Batch) {
        let mut later = Vec::new();
        while batch.has_room_for(1) && batch.bytes < MAX_TXN_BYTES {
            let Some(queued) = self.queue.pop(with_normal) else {
                break;
            };
            let Some(job) = jobs.get(&queued.id.job) else {
                continue;
            };
            if job.record_split.is_some() && !is_deleted_as_a_whole(job) {
                // All of it is written by the split, or after it.
                later.push(queued);
                continue;
            }
            let Some(numbers) = records_to_write(job, queued.id.number) else {
                continue;
            };
            if !batch.has_room_for(numbers.len()) {
                later.push(queued);
                break;
            }
            for number in numbers {
                let id = RunRecordId {
                    job: job.id,
                    number,
                };
                if let Err(TooLarge) = self.add_run_record(job, id, batch) {
                    let is_urgent = false;
                    later.push(QueuedRecord { id, is_urgent });
                }
            }
        }
        for queued in later {
            self.queue.push(queued);
        }
    }

    /// Adds one record, unless it is in the batch already or nothing has to be written of it.
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
        // What was never written of a job before its cancellation needs no record.
        if job.phase == JobPhase::Cancelled && chunk.record_version == Version::ABSENT {
            return Ok(());
        }
        let size = if record.fits_by_upper_bound(self.max_value_bytes) {
            record.estimated_size_bytes()
        } else {
            records::json_size(&record)
        };
        if size > self.max_value_bytes {
            self.too_large.insert(job.id);
            return Err(TooLarge);
        }
        self.oversized.remove(&job.id);
        batch.bytes += size;
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

    /// Nothing is allocated after a cancellation, or beyond the allowance of the job's team.
    fn require_active(&self, job: &Job, batch: &mut Batch) {
        let txn = &mut batch.txn;
        txn.require(records::live_key(job.id), job.record_version);
        if let Some((key, version)) = self.allowance_fences.get(&job.team) {
            txn.require(key.clone(), *version);
        }
    }

    /// Adds what is left to do for jobs that are over: archiving their outcome and deleting their run records.
    pub(super) fn add_deletions(&mut self, jobs: &Jobs, batch: &mut Batch) {
        for id in self.to_delete.clone() {
            let job = jobs.get(&id);
            let Some(job) = job.filter(|job| job.phase == JobPhase::GarbageCollecting) else {
                self.to_delete.remove(&id);
                continue;
            };
            if !add_archived_outcome(job, batch) || !add_deleted_records(job, batch) {
                return;
            }
        }
    }
}

/// Whether the records of a job are deleted, so that none is written any more.
fn is_deleted_as_a_whole(job: &Job) -> bool {
    matches!(job.phase, JobPhase::Finishing | JobPhase::GarbageCollecting)
}

/// The numbers of the records that are written if that one has changed; `None` if it is not written now. The first record
/// also counts what the others hold.
fn records_to_write(job: &Job, number: u32) -> Option<Vec<u32>> {
    let is_version_unknown = |number| job.chunk(number).map(|chunk| chunk.is_version_unknown);
    if is_deleted_as_a_whole(job) || is_version_unknown(number) == Some(true) {
        // One of unknown version is queued again once the version is read.
        return None;
    }
    let with_first = number != 0 && is_version_unknown(0) == Some(false);
    Some(if with_first {
        vec![number, 0]
    } else {
        vec![number]
    })
}

/// Moves the outcome of the job to the archive, if that is to be done. Returns whether there was room for it.
fn add_archived_outcome(job: &Job, batch: &mut Batch) -> bool {
    let Some(outcome) = job.unarchived_outcome else {
        return true;
    };
    if batch.archived.contains(&job.id) {
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
    batch.archived.push(job.id);
    true
}

/// Deletes the run records of the job. Returns whether there was room for all of them.
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
