//! Dividing a job's run records into smaller ones, after the limit of a value has fallen.
//!
//! The job's description says how many tasks a record holds, so it tells which records are in force.
//! New records whose numbers lie beyond the old ones are written first, in as many steps as it takes;
//! no leader reads them. The last step writes the description, with the new size, and all records whose
//! numbers the old ones had, in one transaction. A split that is broken off before that leaves the
//! old records in force, with every allocation and attempt. Earlier versions of this program read both.

use crate::coordination::cluster::job::{Job, JobPhase};
use crate::coordination::cluster::record_writer::{Batch, Jobs, RecordWriter, MAX_BYTES};
use crate::storage::records;
use crate::types::{JobId, Version};
use lichencrank_store::{value, Change};

/// What a split's transaction will mean once it is written.
#[derive(Debug)]
pub(crate) struct SplitStep {
    /// Job whose records are split.
    pub job: JobId,
    /// The records in it, and up to which change they hold.
    pub written: Vec<(u32, u64)>,
    /// It is the step that brings the split into force.
    pub last: bool,
}

/// The records that the last step writes beside the description.
fn last_numbers(job: &Job, old_count: u32) -> Vec<u32> {
    let numbers = 0..old_count.min(job.chunks.len() as u32);
    numbers.filter(|n| job.chunk(*n).is_some()).collect()
}

impl RecordWriter {
    /// Begins to split the records of a job of which one is too large. `false`: it can't be done in
    /// transactions of this size, and the record waits until enough of its tasks have ended.
    pub(crate) fn split(&mut self, job: &mut Job) -> bool {
        let small = records::tasks_per_record(self.max_value_bytes as f64 / 1024.0);
        let size = if small < job.tasks_per_record {
            small
        } else {
            (job.tasks_per_record / 2).max(1)
        };
        // With the description the last step replaces all that have old numbers.
        let fits = job.chunks.len() < self.max_txn_changes
            && job.description_size() <= self.max_value_bytes
            && job.begin_split(size);
        if fits {
            tracing::info!("{}: run records are split into {size} tasks each", job.id);
            self.splitting.insert(job.id);
        } else if self.oversized.insert(job.id) {
            tracing::info!(
                "{}: a run record is too large to be written for now",
                job.id
            );
        }
        fits
    }

    /// Adds the next step of a split, if one is under way; it has the transaction to itself.
    pub(crate) fn add_split_step(&mut self, jobs: &mut Jobs, max: usize, batch: &mut Batch) {
        for id in self.splitting.clone() {
            let active = |j: &&mut Job| j.phase == JobPhase::Active && j.record_split.is_some();
            let Some(job) = jobs.get_mut(&id).filter(active) else {
                self.splitting.remove(&id);
                continue;
            };
            if let Some(step) = Self::step(job, max, batch) {
                if step.last {
                    if let Some(split) = &mut job.record_split {
                        split.final_records = step.written.iter().copied().collect();
                    }
                }
                batch.split_step = Some(step);
                return;
            }
        }
    }

    fn step(job: &Job, max: usize, batch: &mut Batch) -> Option<SplitStep> {
        let split = job.record_split.as_ref()?;
        let beyond = split.old_record_count..job.chunks.len() as u32;
        let open = |n: &u32| job.chunk(*n).is_some() && !split.prepared_records.contains_key(n);
        let mut numbers: Vec<u32> = beyond.filter(open).collect();
        let last = numbers.is_empty();
        if last {
            numbers = last_numbers(job, split.old_record_count);
        }
        if numbers
            .iter()
            .any(|n| job.chunk(*n).is_some_and(|c| c.version_unknown))
        {
            // Their versions are being read.
            return None;
        }
        let extra = usize::from(last);
        if last && numbers.len() + extra > max {
            return None;
        }
        numbers.truncate(max);
        batch
            .txn
            .require(records::live_key(job.id), job.record_version);
        if last {
            let description = value(&job.description()?);
            let put = Change::put(records::live_key(job.id), description);
            batch.txn.changes.push(put);
        }
        let mut written = Vec::new();
        let mut bytes = 0;
        for number in numbers {
            let (chunk, record) = (job.chunk(number)?, job.run_record(number)?);
            bytes += records::size(&record);
            if bytes > MAX_BYTES && !last {
                break;
            }
            let key = records::run_key(job.id, number);
            batch.txn.require(key.clone(), chunk.record_version);
            batch.txn.changes.push(Change::put(key, value(&record)));
            written.push((number, chunk.change_count));
        }
        let job = job.id;
        Some(SplitStep { job, written, last })
    }

    /// A step of a split is written. Returns the records that count as written by it.
    pub(crate) fn step_applied(
        &mut self,
        jobs: &mut Jobs,
        step: &SplitStep,
        revision: Version,
    ) -> Vec<(JobId, u32)> {
        let Some(job) = jobs.get_mut(&step.job) else {
            return Vec::new();
        };
        if step.last {
            return self.split_in_force(job, revision);
        }
        for (number, changes) in &step.written {
            if let Some(chunk) = job.chunk_mut(*number) {
                chunk.record_version = revision;
            }
            if let Some(split) = &mut job.record_split {
                split.prepared_records.insert(*number, *changes);
            }
        }
        Vec::new()
    }

    /// The description says so, or the answer to the last step.
    pub(crate) fn split_in_force(&mut self, job: &mut Job, live: Version) -> Vec<(JobId, u32)> {
        if job.record_split.is_none() {
            return Vec::new();
        }
        self.splitting.remove(&job.id);
        self.oversized.remove(&job.id);
        for number in job.finish_split(live) {
            self.mark_dirty(job.id, number, true);
        }
        tracing::info!("{}: its run records are split", job.id);
        let numbers = job.chunks.iter().enumerate();
        let written = numbers.filter(|(_, c)| c.is_some());
        written.map(|(n, _)| (job.id, n as u32)).collect()
    }
}
