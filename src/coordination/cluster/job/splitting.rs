//! Splits a job's run records into smaller ones in memory. The record writer writes them in several steps; the last one
//! writes the job's description, and with it the split takes effect.

use std::collections::BTreeMap;

use super::{Job, TaskChunk, TaskState};
use crate::protocol::cloud::MachineType;
use crate::storage::records::{self, JobRecord};
use crate::types::Version;

/// A split of a job's run records that is in progress.
#[derive(Clone, Debug, Default)]
pub struct RecordSplit {
    /// Number of run records that the job had before the split.
    pub old_record_count: u32,
    /// New records with numbers beyond the old ones that are written already: their numbers, and the change counts up
    /// to which they are written.
    pub prepared_records: BTreeMap<u32, u64>,
    /// Records in the last step once it was put together: their numbers, and the change counts up to which it writes
    /// them.
    pub final_records: BTreeMap<u32, u64>,
}

impl Job {
    /// Begins to split its run records so that each holds at most `tasks_per_record` tasks. Returns false if that can't
    /// be done now. Later changes of its tasks are kept in memory and written once the split has taken effect.
    pub(crate) fn begin_split(&mut self, tasks_per_record: u32) -> bool {
        let has_unknown_version = self
            .chunks
            .iter()
            .flatten()
            .any(|chunk| chunk.is_version_unknown);
        if self.record_split.is_some()
            || has_unknown_version
            || tasks_per_record >= self.tasks_per_record
            || self.spec.is_none()
        {
            return false;
        }
        let old_chunks = std::mem::take(&mut self.chunks);
        let old_length = self.tasks_per_record;
        self.tasks_per_record = tasks_per_record;
        // The new records count more changes than any old one, so that writing one satisfies whatever waits for a
        // change of the old record.
        let newest_change = old_chunks
            .iter()
            .flatten()
            .map(|chunk| chunk.change_count)
            .max();
        let change_count = newest_change.unwrap_or(0) + 1;
        for number in 0..self.task_count.div_ceil(tasks_per_record) {
            let first_task = number * tasks_per_record;
            let tasks =
                (first_task..self.task_count.min(first_task + tasks_per_record)).map(|index| {
                    let chunk = old_chunks.get((index / old_length) as usize);
                    let chunk = chunk.and_then(Option::as_ref);
                    chunk.and_then(|chunk| chunk.tasks().get((index % old_length) as usize))
                });
            let tasks: Vec<TaskState> = tasks
                .map(|task| task.cloned().unwrap_or_default())
                .collect();
            let old_chunk = old_chunks.get(number as usize).and_then(Option::as_ref);
            let record_version = old_chunk
                .map(|chunk| chunk.record_version)
                .or(self.abandoned_records.remove(&number))
                .unwrap_or(Version::ABSENT);
            let chunk = TaskChunk::new(tasks, record_version, change_count);
            let is_needed = record_version != Version::ABSENT || !chunk.was_never_allocated();
            self.chunks.push(is_needed.then(|| Box::new(chunk)));
        }
        self.record_split = Some(RecordSplit {
            old_record_count: old_chunks.len() as u32,
            ..RecordSplit::default()
        });
        true
    }

    /// Completes the split, whose last step was written at this version. Returns the numbers of the records that have
    /// changed since they were written.
    pub(crate) fn finish_split(&mut self, record_version: Version) -> Vec<u32> {
        let Some(split) = self.record_split.take() else {
            return Vec::new();
        };
        self.record_version = record_version;
        let mut dirty_records = Vec::new();
        for (number, slot) in self.chunks.iter_mut().enumerate() {
            let number = number as u32;
            let Some(chunk) = slot else { continue };
            if number < split.old_record_count {
                chunk.record_version = record_version;
                chunk.written_change_count = split.final_records.get(&number).copied().unwrap_or(0);
            } else {
                chunk.written_change_count =
                    split.prepared_records.get(&number).copied().unwrap_or(0);
            }
            if chunk.written_change_count < chunk.change_count {
                dirty_records.push(number);
            }
        }
        dirty_records
    }

    /// Shortens the description if its record exceeds `max_value_bytes`; see
    /// [`JobRecord::remove_unavailable_machine_types`].
    pub(crate) fn shorten_description(
        &mut self,
        max_value_bytes: usize,
        offered_types: &[MachineType],
    ) {
        if let Some(mut record) = self.description() {
            record.remove_unavailable_machine_types(max_value_bytes, offered_types);
            self.spec = Some(Box::new(record.spec));
        }
    }

    /// Size of the job record with the description, in bytes; `usize::MAX` if the description is unknown.
    pub(crate) fn description_size_bytes(&self) -> usize {
        self.description()
            .map_or(usize::MAX, |description| records::json_size(&description))
    }

    /// The job record with the description; `None` if the description is unknown.
    pub(crate) fn description(&self) -> Option<JobRecord> {
        let spec = self.spec.as_deref()?.clone();
        Some(JobRecord {
            spec,
            submitted_at_ms: self.submitted_at_ms,
            tasks_per_record: self.tasks_per_record,
        })
    }
}
