//! A job's run records: what is read from them after an election, and what is written of the job.

use super::{Chunk, Job, JobPhase, TaskState};
use crate::storage::records::{
    AllocationEntry, AttemptedEntry, FinishedRange, RunRecord, TaskCounts,
};
use crate::types::{Attempt, HostName, Incarnation, Version};

/// Numbers of run records beyond this are no job's.
const MAX_RECORD_NUMBER: usize = 100_000;

/// An allocation as a run record holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAllocation {
    /// Number of the task in its job.
    pub task_index: u32,
    /// Which attempt it is.
    pub attempt: Attempt,
    /// The host.
    pub host: HostName,
    /// Incarnation of the worker that the attempt is meant for.
    pub incarnation: Incarnation,
}

impl Job {
    /// Takes in a run record. Returns the allocations that it holds.
    pub(crate) fn load_run_record(
        &mut self,
        number: u32,
        record: &RunRecord,
        version: Version,
    ) -> Vec<RecordedAllocation> {
        if !self.is_in_force(number, record) {
            tracing::info!("{}: run record {number} is not in force", self.id);
            self.abandoned_records.insert(number, version);
            return Vec::new();
        }
        if self.spec.is_none() {
            self.tasks_per_record = record.tasks_per_record.max(1);
            self.grow_chunks(number as usize);
        }
        if number as usize >= self.chunks.len() {
            tracing::error!("{}: run record {number} lies beyond the job", self.id);
            return Vec::new();
        }
        let tasks = task_states(record, self.chunk_length(number));
        let first = number * self.tasks_per_record;
        let mut allocations = Vec::new();
        for (index, task) in (first..).zip(&tasks) {
            allocations.extend(self.load_task(index, task));
        }
        self.chunks[number as usize] = Some(Box::new(Chunk::new(tasks, version, 0)));
        allocations
    }

    /// Whether the record is in force, and no part of a split that was broken off: what such a part holds stands in the
    /// larger records too.
    fn is_in_force(&self, number: u32, record: &RunRecord) -> bool {
        if self.spec.is_some() {
            return (number as usize) < self.chunks.len();
        }
        let is_first = self.chunks.iter().flatten().next().is_none();
        is_first || record.tasks_per_record == self.tasks_per_record
    }

    /// Of a job without a description it is not known how many records there are.
    fn grow_chunks(&mut self, number: usize) {
        if number >= self.chunks.len() && number < MAX_RECORD_NUMBER {
            self.chunks.resize_with(number + 1, || None);
        }
    }

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

    /// All run records are read: the tasks of missing ones were never allocated.
    pub(crate) fn finish_loading(&mut self) {
        if self.phase != JobPhase::Active {
            self.retry_queue.clear();
            return;
        }
        // The untouched ones at the end stay a range; missing records before them are rare.
        let last_record = self.chunks.iter().rposition(Option::is_some);
        let tail = last_record.map_or(0, |number| number + 1);
        for number in 0..tail as u32 {
            if self.chunk(number).is_none() {
                let first = number * self.tasks_per_record;
                let end = first + self.chunk_length(number);
                self.retry_queue.extend(first..end);
            }
        }
        self.first_never_allocated = (tail as u32 * self.tasks_per_record).min(self.task_count);
    }

    /// A run record as it is to be written; `None` if nothing of it was ever allocated.
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

fn add_task(record: &mut RunRecord, offset: u32, task: &TaskState) {
    match task {
        TaskState::Waiting {
            last_attempt: Attempt(0),
        } => {}
        TaskState::Waiting { last_attempt: last } => record.attempted.push(AttemptedEntry {
            offset,
            last_attempt: *last,
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

/// The tasks of a run record that holds so many.
fn task_states(record: &RunRecord, task_count: u32) -> Vec<TaskState> {
    let mut tasks = vec![TaskState::default(); task_count as usize];
    let mut set = |offset: u32, state: TaskState| {
        if let Some(task) = tasks.get_mut(offset as usize) {
            *task = state;
        }
    };
    for entry in &record.attempted {
        let last = entry.last_attempt;
        set(entry.offset, TaskState::Waiting { last_attempt: last });
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
