//! A job's run records: what is read from them after an election, and what is written of the job.

use super::{Chunk, Job, JobPhase, TaskState};
use crate::storage::records::RunRecord;
use crate::types::{Attempt, HostName, Incarnation, Version};

/// Numbers of run records beyond this are no job's.
const MAX_RECORD_NUMBER: usize = 100_000;

/// An allocation as a run record holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAllocation {
    /// Number of the task in its job.
    pub index: u32,
    /// Which attempt it is.
    pub attempt: Attempt,
    /// The host.
    pub host: HostName,
    /// Incarnation of the worker that the attempt is meant for.
    pub incarnation: Incarnation,
}

impl Job {
    /// Takes in a run record; returns the allocations it holds.
    pub(crate) fn load_run_record(
        &mut self,
        number: u32,
        record: &RunRecord,
        version: Version,
    ) -> Vec<RecordedAllocation> {
        let at = number as usize;
        let chunks = self.chunks.iter().flatten();
        let split = self.spec.is_none() && record.tasks_per_record != self.tasks_per_record;
        if split && chunks.count() > 0 || self.spec.is_some() && at >= self.chunks.len() {
            // Part of a split that was broken off: what it holds stands in the larger records too,
            // and those are in force.
            tracing::info!("{}: run record {number} is not in force", self.id);
            self.abandoned_records.insert(number, version);
            return Vec::new();
        }
        if self.spec.is_none() {
            self.tasks_per_record = record.tasks_per_record.max(1);
        }
        if self.spec.is_none() && at >= self.chunks.len() && at < MAX_RECORD_NUMBER {
            self.chunks.resize_with(at + 1, || None);
        }
        if at >= self.chunks.len() {
            tracing::error!("{}: run record {number} lies beyond the job", self.id);
            return Vec::new();
        }
        let tasks = task_states(record, self.chunk_length(number));
        let first = number * self.tasks_per_record;
        let mut allocations = Vec::new();
        for (index, task) in (first..).zip(&tasks) {
            match task {
                TaskState::Waiting { .. } => {
                    self.retry_queue.insert(index);
                }
                TaskState::Allocated {
                    host,
                    attempt,
                    incarnation,
                } => {
                    self.allocated_count += 1;
                    allocations.push(RecordedAllocation {
                        index,
                        attempt: *attempt,
                        host: host.clone(),
                        incarnation: *incarnation,
                    });
                }
                TaskState::Done => self.done_count += 1,
            }
        }
        self.chunks[at] = Some(Box::new(Chunk::new(tasks, version, 0)));
        allocations
    }

    /// After all run records are in: chunks without one hold untouched tasks.
    pub(crate) fn finish_loading(&mut self) {
        if self.phase != JobPhase::Active {
            self.retry_queue.clear();
            return;
        }
        // The untouched ones at the end stay a range; gaps before them are rare.
        let tail = self
            .chunks
            .iter()
            .rposition(Option::is_some)
            .map_or(0, |c| c + 1);
        for number in 0..tail as u32 {
            if self.chunks[number as usize].is_none() {
                let first = number * self.tasks_per_record;
                self.retry_queue
                    .extend(first..first + self.chunk_length(number));
            }
        }
        self.first_untouched = (tail as u32 * self.tasks_per_record).min(self.task_count);
    }

    /// A run record as it is to be written.
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
        for (offset, task) in chunk.tasks().iter().enumerate() {
            let offset = offset as u32;
            match task {
                TaskState::Waiting { last: Attempt(0) } => {}
                TaskState::Waiting { last } => record.tried.push((offset, *last)),
                TaskState::Allocated {
                    host,
                    attempt,
                    incarnation,
                } => {
                    record
                        .allocations
                        .push((offset, *attempt, host.clone(), *incarnation));
                }
                TaskState::Done => match record.finished.last_mut() {
                    Some((first, count)) if *first + *count == offset => *count += 1,
                    _ => record.finished.push((offset, 1)),
                },
            }
        }
        if number == 0 && self.chunks.len() > 1 {
            let booked = record.allocations.len() as u64;
            record.other_records = (
                u64::from(self.done_count) - record.done_count(),
                u64::from(self.allocated_count) - booked,
            );
        }
        Some(record)
    }
}

/// The tasks of a run record that holds so many.
fn task_states(record: &RunRecord, length: u32) -> Vec<TaskState> {
    let mut tasks = vec![TaskState::default(); length as usize];
    let mut set = |offset: u32, state: TaskState| {
        if let Some(task) = tasks.get_mut(offset as usize) {
            *task = state;
        }
    };
    for (offset, last) in &record.tried {
        set(*offset, TaskState::Waiting { last: *last });
    }
    for (first, count) in &record.finished {
        for offset in *first..first.saturating_add(*count).min(length) {
            set(offset, TaskState::Done);
        }
    }
    for (offset, attempt, host, incarnation) in &record.allocations {
        let booked = TaskState::Allocated {
            host: host.clone(),
            attempt: *attempt,
            incarnation: *incarnation,
        };
        set(*offset, booked);
    }
    tasks
}
