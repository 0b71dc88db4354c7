//! Splitting a job's run records into smaller ones, in memory; [`super::super::record_split`] writes them.

use std::collections::BTreeMap;

use super::{Chunk, Job, TaskState};
use crate::protocol::cloud::MachineType;
use crate::storage::records::{self, JobRecord};
use crate::types::Version;

/// A split of a job's run records that is under way.
#[derive(Clone, Debug, Default)]
pub struct RecordSplit {
    /// How many run records the job had before.
    pub old_record_count: u32,
    /// New records beyond the old ones that are written already, and up to which change.
    pub prepared_records: BTreeMap<u32, u64>,
    /// Records that the last step writes, and up to which change.
    pub final_records: BTreeMap<u32, u64>,
}

impl Job {
    /// Begins to split its run records so that each holds `size` tasks at the most. Returns false if that can't be done
    /// now. Changes of its tasks from here on are kept in memory and written once the split is in force.
    pub(crate) fn begin_split(&mut self, size: u32) -> bool {
        let unsure = self.chunks.iter().flatten().any(|c| c.is_version_unknown);
        if self.record_split.is_some()
            || unsure
            || size >= self.tasks_per_record
            || self.spec.is_none()
        {
            return false;
        }
        let old = std::mem::take(&mut self.chunks);
        let old_size = self.tasks_per_record;
        self.tasks_per_record = size;
        // What waits for a change of an old record is satisfied by the new ones.
        let newest = old.iter().flatten().map(|c| c.change_count).max();
        let changes = newest.unwrap_or(0) + 1;
        for number in 0..self.task_count.div_ceil(size) {
            let first = number * size;
            let tasks = (first..self.task_count.min(first + size)).map(|index| {
                let chunk = old.get((index / old_size) as usize);
                let chunk = chunk.and_then(Option::as_ref);
                chunk.and_then(|c| c.tasks().get((index % old_size) as usize))
            });
            let tasks: Vec<TaskState> = tasks.map(|t| t.cloned().unwrap_or_default()).collect();
            let before = old.get(number as usize).and_then(Option::as_ref);
            let version = before
                .map(|c| c.record_version)
                .or(self.abandoned_records.remove(&number))
                .unwrap_or(Version::ABSENT);
            let chunk = Chunk::new(tasks, version, changes);
            let needed = version != Version::ABSENT || !chunk.was_never_allocated();
            self.chunks.push(needed.then(|| Box::new(chunk)));
        }
        self.record_split = Some(RecordSplit {
            old_record_count: old.len() as u32,
            ..RecordSplit::default()
        });
        true
    }

    /// The split is in force, as its last step was written at that version. Returns the records that have changed
    /// since they were written.
    pub(crate) fn finish_split(&mut self, live: Version) -> Vec<u32> {
        let Some(split) = self.record_split.take() else {
            return Vec::new();
        };
        self.record_version = live;
        let mut dirty = Vec::new();
        for (number, slot) in self.chunks.iter_mut().enumerate() {
            let number = number as u32;
            let Some(chunk) = slot else { continue };
            if number < split.old_record_count {
                chunk.record_version = live;
                chunk.written_change_count = split.final_records.get(&number).copied().unwrap_or(0);
            } else {
                chunk.written_change_count =
                    split.prepared_records.get(&number).copied().unwrap_or(0);
            }
            if chunk.written_change_count < chunk.change_count {
                dirty.push(number);
            }
        }
        dirty
    }

    /// Shortens the description to that many bytes; see [`JobRecord::remove_unavailable_machine_types`].
    pub(crate) fn shorten_description(&mut self, max_value_bytes: usize, offered: &[MachineType]) {
        if let Some(mut record) = self.description() {
            record.remove_unavailable_machine_types(max_value_bytes, offered);
            self.spec = Some(Box::new(record.spec));
        }
    }

    pub(crate) fn description_size_bytes(&self) -> usize {
        self.description()
            .map_or(usize::MAX, |d| records::json_size(&d))
    }

    pub(crate) fn description(&self) -> Option<JobRecord> {
        let spec = self.spec.as_deref()?.clone();
        Some(JobRecord {
            spec,
            submitted_at_ms: self.submitted_at_ms,
            tasks_per_record: self.tasks_per_record,
        })
    }
}
