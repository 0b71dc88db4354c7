//! Writing the run records of a job in smaller ones, after the limit of a value has fallen.
//!
//! The job's description says how many tasks a record holds, so it tells which records are in force. New records whose
//! numbers lie beyond the old ones are written first, in as many steps as it takes; no leader reads them. The last step
//! writes the description, with the new size, and all records whose numbers the old ones had, in one transaction. A split
//! that is broken off before that leaves the old records in force, with every allocation and attempt. Earlier versions of
//! this program read both.

use lichencrank_store::{value, Change};

use super::batch::{Batch, MAX_TXN_BYTES};
use super::queue::QueuedRecord;
use super::{Jobs, RecordWriter};
use crate::coordination::cluster::job::{Job, JobPhase, RecordSplit};
use crate::storage::records::{self, RunRecordId};
use crate::types::{JobId, Version};

/// One transaction of a split.
#[derive(Debug)]
pub(super) struct SplitStep {
    /// The job whose records are split.
    pub(super) job: JobId,
    /// Numbers of the records in it, and up to which change they hold.
    written: Vec<(u32, u64)>,
    /// Whether it brings the split into force.
    is_last: bool,
}

impl RecordWriter {
    /// Begins to split the records of a job of which one is too large. Returns false if that can't be done in transactions
    /// of this size; then the record waits until enough of its tasks have ended.
    pub(crate) fn begin_split(&mut self, job: &mut Job) -> bool {
        let fitting = records::tasks_per_record(self.max_value_bytes as f64 / 1024.0);
        let tasks_per_record = if fitting < job.tasks_per_record {
            fitting
        } else {
            (job.tasks_per_record / 2).max(1)
        };
        // The last step replaces the description and all records with old numbers.
        let is_possible = job.chunks.len() < self.max_txn_changes
            && job.description_size_bytes() <= self.max_value_bytes
            && job.begin_split(tasks_per_record);
        if is_possible {
            tracing::info!(
                "{}: run records are split into {tasks_per_record} tasks each",
                job.id
            );
            self.splitting.insert(job.id);
        } else if self.oversized.insert(job.id) {
            tracing::info!(
                "{}: a run record is too large to be written for now",
                job.id
            );
        }
        is_possible
    }

    /// Adds the next step of a split, if one is under way. It has the transaction to itself.
    pub(super) fn add_split_step(&mut self, jobs: &mut Jobs, batch: &mut Batch) {
        for id in self.splitting.clone() {
            let is_splitting =
                |job: &&mut Job| job.phase == JobPhase::Active && job.record_split.is_some();
            let Some(job) = jobs.get_mut(&id).filter(is_splitting) else {
                self.splitting.remove(&id);
                continue;
            };
            let Some(step) = next_step(job, batch) else {
                continue;
            };
            if let Some(split) = job.record_split.as_mut().filter(|_| step.is_last) {
                split.final_records = step.written.iter().copied().collect();
            }
            batch.split_step = Some(step);
            return;
        }
    }

    /// A step of a split is written at that revision. Returns the records that count as written by it.
    pub(super) fn on_split_step_written(
        &mut self,
        jobs: &mut Jobs,
        step: &SplitStep,
        revision: Version,
    ) -> Vec<RunRecordId> {
        let Some(job) = jobs.get_mut(&step.job) else {
            return Vec::new();
        };
        if step.is_last {
            return self.on_split_committed(job, revision);
        }
        for (number, change_count) in &step.written {
            if let Some(chunk) = job.chunk_mut(*number) {
                chunk.record_version = revision;
            }
            if let Some(split) = &mut job.record_split {
                split.prepared_records.insert(*number, *change_count);
            }
        }
        Vec::new()
    }

    /// The split of the job's records is in force: its last step was written at that version. Returns the records that
    /// count as written by it.
    pub(crate) fn on_split_committed(
        &mut self,
        job: &mut Job,
        record_version: Version,
    ) -> Vec<RunRecordId> {
        if job.record_split.is_none() {
            return Vec::new();
        }
        self.splitting.remove(&job.id);
        self.oversized.remove(&job.id);
        for number in job.finish_split(record_version) {
            let id = RunRecordId {
                job: job.id,
                number,
            };
            let is_urgent = true;
            self.queue.push(QueuedRecord { id, is_urgent });
        }
        tracing::info!("{}: its run records are split", job.id);
        let chunks = (0..).zip(&job.chunks);
        let recorded = chunks.filter(|(_, chunk)| chunk.is_some());
        let ids = recorded.map(|(number, _)| RunRecordId {
            job: job.id,
            number,
        });
        ids.collect()
    }
}

/// Puts the next step of the job's split into the batch; `None` if it has to wait.
fn next_step(job: &Job, batch: &mut Batch) -> Option<SplitStep> {
    let split = job.record_split.as_ref()?;
    let mut numbers = unprepared_records(job, split);
    let is_last = numbers.is_empty();
    if is_last {
        numbers = final_records(job, split);
    }
    let is_unknown = |number: &u32| job.chunk(*number).is_some_and(|c| c.is_version_unknown);
    if numbers.iter().any(is_unknown) {
        // Their versions are being read.
        return None;
    }
    // The last step needs room for the description too.
    if is_last && numbers.len() + 1 > batch.max_changes() {
        return None;
    }
    numbers.truncate(batch.max_changes());
    let live_key = records::live_key(job.id);
    batch.txn.require(live_key.clone(), job.record_version);
    if is_last {
        let put = Change::put(live_key, value(&job.description()?));
        batch.txn.changes.push(put);
    }
    let mut written = Vec::new();
    let mut bytes = 0;
    for number in numbers {
        let (chunk, record) = (job.chunk(number)?, job.run_record(number)?);
        bytes += records::json_size(&record);
        if bytes > MAX_TXN_BYTES && !is_last {
            break;
        }
        let id = RunRecordId {
            job: job.id,
            number,
        };
        let key = records::run_key(id);
        batch.txn.require(key.clone(), chunk.record_version);
        batch.txn.changes.push(Change::put(key, value(&record)));
        written.push((number, chunk.change_count));
    }
    Some(SplitStep {
        job: job.id,
        written,
        is_last,
    })
}

/// The new records beyond the old ones that are not written yet.
fn unprepared_records(job: &Job, split: &RecordSplit) -> Vec<u32> {
    let beyond = split.old_record_count..job.chunks.len() as u32;
    let is_unprepared =
        |number: &u32| job.chunk(*number).is_some() && !split.prepared_records.contains_key(number);
    beyond.filter(is_unprepared).collect()
}

/// The records that the last step writes beside the description.
fn final_records(job: &Job, split: &RecordSplit) -> Vec<u32> {
    let numbers = 0..split.old_record_count.min(job.chunks.len() as u32);
    let has_tasks = |number: &u32| job.chunk(*number).is_some();
    numbers.filter(has_tasks).collect()
}
