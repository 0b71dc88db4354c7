//! The tasks that share a run record.

use crate::types::{Attempt, HostName, Incarnation, Version};

/// State of one task.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskState {
    /// Not allocated. Attempt numbers up to `last_attempt` were used.
    Waiting {
        /// Number of the last attempt; 0 if there was none.
        last_attempt: Attempt,
    },
    /// Allocated to a host.
    Allocated {
        /// The host that it is allocated to.
        host: HostName,
        /// Number of the attempt.
        attempt: Attempt,
        /// Incarnation of the worker that the attempt is allocated to.
        incarnation: Incarnation,
    },
    /// Completed successfully. This is final.
    Done,
}

impl Default for TaskState {
    fn default() -> TaskState {
        TaskState::Waiting {
            last_attempt: Attempt(0),
        }
    }
}

/// A change of a run record in memory, which is identified by how many changes the record has had with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordChange {
    /// Number of the run record.
    pub record_number: u32,
    /// Count of the changes of the run record, including this one.
    pub change_count: u64,
}

/// The tasks that share a run record, and which of their changes are written to the record.
#[derive(Debug)]
pub struct TaskChunk {
    tasks: Vec<TaskState>,
    allocated_count: u32,
    /// Version of its run record in the state service; [`Version::ABSENT`] while there is none.
    pub record_version: Version,
    /// Number of changes since the record was read or the chunk was created.
    pub change_count: u64,
    /// Number of these changes that are known to be written.
    pub written_change_count: u64,
    /// Whether the record's version is unknown after a lost response. It has to be read before the next write.
    pub is_version_unknown: bool,
}

impl TaskChunk {
    /// A chunk with these tasks and version of its run record, after `change_count` changes of which none is known to
    /// be written.
    pub(super) fn new(
        tasks: Vec<TaskState>,
        record_version: Version,
        change_count: u64,
    ) -> TaskChunk {
        let is_allocated = |task: &&TaskState| matches!(task, TaskState::Allocated { .. });
        TaskChunk {
            allocated_count: tasks.iter().filter(is_allocated).count() as u32,
            tasks,
            record_version,
            change_count,
            written_change_count: 0,
            is_version_unknown: false,
        }
    }

    /// A chunk of `task_count` tasks that were never allocated.
    pub(super) fn never_allocated(task_count: u32) -> TaskChunk {
        let tasks = vec![TaskState::default(); task_count as usize];
        TaskChunk::new(tasks, Version::ABSENT, 0)
    }

    /// Whether none of its tasks was ever allocated.
    pub fn was_never_allocated(&self) -> bool {
        self.tasks.iter().all(|task| *task == TaskState::default())
    }

    /// States of its tasks, in the order of their indexes.
    pub fn tasks(&self) -> &[TaskState] {
        &self.tasks
    }

    /// Whether any of its tasks is allocated.
    pub(super) fn has_allocations(&self) -> bool {
        self.allocated_count > 0
    }

    /// Whether there may be a run record of it in the state service.
    pub(crate) fn may_have_record(&self) -> bool {
        self.record_version != Version::ABSENT || self.is_version_unknown
    }

    /// Changes the state of the task at this offset. Returns its old state; `None`, with nothing changed, if there is
    /// no such task or it is done.
    pub(super) fn replace_task(&mut self, offset: usize, state: TaskState) -> Option<TaskState> {
        let task = self.tasks.get_mut(offset)?;
        if *task == TaskState::Done {
            return None;
        }
        let is_allocated = |state: &TaskState| matches!(state, TaskState::Allocated { .. });
        self.allocated_count -= u32::from(is_allocated(task));
        self.allocated_count += u32::from(is_allocated(&state));
        self.change_count += 1;
        Some(std::mem::replace(task, state))
    }
}
