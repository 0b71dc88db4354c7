//! Converts between a job's tasks and its run records, which are read after an election and written as tasks change.

use super::{Job, JobPhase, TaskChunk, TaskState};
use crate::storage::records::{
    AllocationEntry, AttemptedEntry, FinishedRange, RunRecord, TaskCounts,
};
use crate::types::{Attempt, HostName, Incarnation, Version};

/// Maximum number of run records of a job. Records with higher numbers are ignored.
const MAX_RECORD_COUNT: usize = 100_000;

/// An allocation as a run record holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAllocation {
    /// Index of the task within its job.
    pub task_index: u32,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// The host that the task is allocated to.
    pub host: HostName,
    /// Incarnation of the worker that the attempt is allocated to.
    pub incarnation: Incarnation,
}

impl Job {
    /// Applies a run record that was read. Returns the allocations in it.
    pub(crate) fn load_run_record(
        &mut self,
        number: u32,
        record: &RunRecord,
        version: Version,
    ) -> Vec<RecordedAllocation> {
        if !self.is_current(number, record) {
            tracing::info!(
                "{}: ignoring run record {number} of a split that was not completed",
                self.id
            );
            self.abandoned_records.insert(number, version);
            return Vec::new();
        }
        if self.spec.is_none() {
            self.tasks_per_record = record.tasks_per_record.max(1);
            self.grow_chunks(number as usize);
        }
        if number as usize >= self.chunks.len() {
            tracing::error!(
                "{}: ignoring run record {number}, whose number is out of range",
                self.id
            );
            return Vec::new();
        }
        let tasks = task_states(record, self.chunk_length(number));
        let first_task = number * self.tasks_per_record;
        let mut allocations = Vec::new();
        for (index, task) in (first_task..).zip(&tasks) {
            allocations.extend(self.load_task(index, task));
        }
        self.chunks[number as usize] = Some(Box::new(TaskChunk::new(tasks, version, 0)));
        allocations
    }

    /// Whether the record is one of the job's current records and not part of a split that was not completed. The
    /// larger records from before such a split hold all that its records hold.
    fn is_current(&self, number: u32, record: &RunRecord) -> bool {
        if self.spec.is_some() {
            return (number as usize) < self.chunks.len();
        }
        let is_first_record = self.chunks.iter().flatten().next().is_none();
        is_first_record || record.tasks_per_record == self.tasks_per_record
    }

    /// Makes room for the chunk with this number. How many records a job has is unknown if it has no description.
    fn grow_chunks(&mut self, number: usize) {
        if number >= self.chunks.len() && number < MAX_RECORD_COUNT {
            self.chunks.resize_with(number + 1, || None);
        }
    }

    /// Counts a task that was read with its state. Returns its allocation, if it has one.
    fn load_task(&mut self, index: u32, task: &TaskState) -> Option<RecordedAllocation> {
        match task {
            TaskState::Waiting { .. } => {
                self.retry_queue.insert(index);
                None
            }
            TaskState::Done => {
                self.done_count += 1;
                None
            }
            TaskState::Allocated {
                host,
                attempt,
                incarnation,
            } => {
                self.allocated_count += 1;
                Some(RecordedAllocation {
                    task_index: index,
                    attempt: *attempt,
                    host: host.clone(),
                    incarnation: *incarnation,
                })
            }
        }
    }

    /// Completes the loading once all run records are read. The tasks of missing records were never allocated.
    pub(crate) fn finish_loading(&mut self) {
        if self.phase != JobPhase::Active {
            self.retry_queue.clear();
            return;
        }
        // Tasks after the last record are kept as a range. Missing records before it are rare.
        let last_record = self.chunks.iter().rposition(Option::is_some);
        let record_count = last_record.map_or(0, |number| number + 1);
        for number in 0..record_count as u32 {
            if self.chunk(number).is_none() {
                let first_task = number * self.tasks_per_record;
                let end = first_task + self.chunk_length(number);
                self.retry_queue.extend(first_task..end);
            }
        }
        self.first_never_allocated =
            (record_count as u32 * self.tasks_per_record).min(self.task_count);
    }

    /// The run record to be written for a chunk; `None` if none of its tasks was ever allocated.
    pub(crate) fn run_record(&self, number: u32) -> Option<RunRecord> {
        let chunk = self.chunk(number)?;
        let mut record = RunRecord {
            first_task: number * self.tasks_per_record,
            tasks_per_record: self.tasks_per_record,
            team: self.team.clone(),
            cpus: self.task_resources.cpus,
            gpus: self.task_resources.gpus,
            memory_gb: self.task_resources.memory_gb,
            ..RunRecord::default()
        };
        for (offset, task) in (0..).zip(chunk.tasks()) {
            add_task(&mut record, offset, task);
        }
        if number == 0 && self.chunks.len() > 1 {
            record.other_records = TaskCounts {
                done: u64::from(self.done_count) - record.done_count(),
                allocated: u64::from(self.allocated_count) - record.allocations.len() as u64,
            };
        }
        Some(record)
    }
}

/// Adds a task at its offset to a run record. A waiting task without attempts has no entry.
fn add_task(record: &mut RunRecord, offset: u32, task: &TaskState) {
    match task {
        TaskState::Waiting {
            last_attempt: Attempt(0),
        } => {}
        TaskState::Waiting { last_attempt } => record.attempted.push(AttemptedEntry {
            offset,
            last_attempt: *last_attempt,
        }),
        TaskState::Allocated {
            host,
            attempt,
            incarnation,
        } => record.allocations.push(AllocationEntry {
            offset,
            attempt: *attempt,
            host: host.clone(),
            incarnation: *incarnation,
        }),
        TaskState::Done => match record.finished.last_mut() {
            Some(range) if range.first + range.count == offset => range.count += 1,
            _ => record.finished.push(FinishedRange {
                first: offset,
                count: 1,
            }),
        },
    }
}

/// States of the `task_count` tasks of a run record.
fn task_states(record: &RunRecord, task_count: u32) -> Vec<TaskState> {
    let mut tasks = vec![TaskState::default(); task_count as usize];
    let mut set = |offset: u32, state: TaskState| {
        if let Some(task) = tasks.get_mut(offset as usize) {
            *task = state;
        }
    };
    for entry in &record.attempted {
        let last_attempt = entry.last_attempt;
        set(entry.offset, TaskState::Waiting { last_attempt });
    }
    for range in &record.finished {
        let end = range.first.saturating_add(range.count).min(task_count);
        for offset in range.first..end {
            set(offset, TaskState::Done);
        }
    }
    for entry in &record.allocations {
        let state = TaskState::Allocated {
            host: entry.host.clone(),
            attempt: entry.attempt,
            incarnation: entry.incarnation,
        };
        set(entry.offset, state);
    }
    tasks
}
