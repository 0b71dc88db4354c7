//! Splitting a job's run records into smaller ones when a record exceeds the size limit of a value, such as after the
//! limit was lowered.
//!
//! The job's description says how many tasks each record holds, and thus which records are in force. New records with
//! numbers beyond those of the old records are written first, in as many steps as needed; no leader reads them yet.
//! The last step commits the split: in one transaction it writes the description with the new number of tasks per
//! record, and all records whose numbers were in use before. If the split is interrupted before that, the old records
//! stay in force with every allocation and attempt. Earlier versions of this program can read both the old and the
//! new records.

use lichencrank_store::{value, Change};

use super::batch::{Batch, TXN_SOFT_LIMIT_BYTES};
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
    /// Number of each record that the step writes, and the count of its changes that are included.
    written: Vec<(u32, u64)>,
    /// Whether the step commits the split.
    is_last: bool,
}

impl RecordWriter {
    /// Begins to split the run records of a job that has one above the size limit. Returns false if the split does
    /// not fit the limits of a transaction or can't begin now; then the record waits until enough of its tasks have
    /// ended.
    pub(crate) fn begin_split(&mut self, job: &mut Job) -> bool {
        let fitting_tasks = records::tasks_per_record(self.max_value_bytes as f64 / 1024.0);
        let tasks_per_record = if fitting_tasks < job.tasks_per_record {
            fitting_tasks
        } else {
            (job.tasks_per_record / 2).max(1)
        };
        // The last step has to write the description and all records with numbers of old ones in one transaction.
        let is_possible = job.chunks.len() < self.max_txn_changes
            && job.description_size_bytes() <= self.max_value_bytes
            && job.begin_split(tasks_per_record);
        if is_possible {
            tracing::info!(
                "{}: splitting the run records into records of {tasks_per_record} tasks",
                job.id
            );
            self.splitting_jobs.insert(job.id);
        } else if self.unsplittable_jobs.insert(job.id) {
            tracing::info!(
                "{}: a run record exceeds the size limit and can't be split now; it is written once enough of its tasks have ended",
                job.id
            );
        }
        is_possible
    }

    /// Adds the next step of a split, if one is under way. The step has the transaction to itself.
    pub(super) fn add_split_step(&mut self, jobs: &mut Jobs, batch: &mut Batch) {
        for id in self.splitting_jobs.clone() {
            let is_splitting =
                |job: &&mut Job| job.phase == JobPhase::Active && job.record_split.is_some();
            let Some(job) = jobs.get_mut(&id).filter(is_splitting) else {
                self.splitting_jobs.remove(&id);
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

    /// A step of a split was committed at that revision. Returns the run records that are in force since then: none
    /// before the last step.
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

    /// The split of the job's run records is committed: its last step was written at that version. Returns the run
    /// records that are in force since then.
    pub(crate) fn on_split_committed(
        &mut self,
        job: &mut Job,
        record_version: Version,
    ) -> Vec<RunRecordId> {
        if job.record_split.is_none() {
            return Vec::new();
        }
        self.splitting_jobs.remove(&job.id);
        self.unsplittable_jobs.remove(&job.id);
        for number in job.finish_split(record_version) {
            let id = RunRecordId {
                job: job.id,
                number,
            };
            let is_urgent = true;
            self.queue.push(QueuedRecord { id, is_urgent });
        }
        tracing::info!("{}: split of the run records committed", job.id);
        let chunks = (0..).zip(&job.chunks);
        let recorded = chunks.filter(|(_, chunk)| chunk.is_some());
        let ids = recorded.map(|(number, _)| RunRecordId {
            job: job.id,
            number,
        });
        ids.collect()
    }
}

/// Adds the next step of the job's split to the batch; `None` if the step has to wait.
fn next_step(job: &Job, batch: &mut Batch) -> Option<SplitStep> {
    let split = job.record_split.as_ref()?;
    let mut numbers = unprepared_records(job, split);
    let is_last = numbers.is_empty();
    if is_last {
        numbers = final_records(job, split);
    }
    let is_unknown = |number: &u32| job.chunk(*number).is_some_and(|c| c.is_version_unknown);
    if numbers.iter().any(is_unknown) {
        // The versions of these records are being read.
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
        if bytes > TXN_SOFT_LIMIT_BYTES && !is_last {
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

/// The new records with numbers beyond those of the old ones that are not written yet.
fn unprepared_records(job: &Job, split: &RecordSplit) -> Vec<u32> {
    let new_numbers = split.old_record_count..job.chunks.len() as u32;
    let is_unprepared =
        |number: &u32| job.chunk(*number).is_some() && !split.prepared_records.contains_key(number);
    new_numbers.filter(is_unprepared).collect()
}

/// The records that the last step writes in addition to the description.
fn final_records(job: &Job, split: &RecordSplit) -> Vec<u32> {
    let numbers = 0..split.old_record_count.min(job.chunks.len() as u32);
    let has_tasks = |number: &u32| job.chunk(*number).is_some();
    numbers.filter(has_tasks).collect()
}
