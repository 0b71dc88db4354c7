//! The tasks that share a run record.

use crate::types::{Attempt, HostName, Incarnation, Version};

/// State of one task.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskState {
    /// Not allocated; attempts up to `last` were used.
    Waiting {
        /// The last attempt that was used; 0 if none was.
        last_attempt: Attempt,
    },
    /// Allocated to a host.
    Allocated {
        /// The host.
        host: HostName,
        /// Which attempt it is.
        attempt: Attempt,
        /// Incarnation of the worker that the attempt is meant for.
        incarnation: Incarnation,
    },
    /// Completed. This is final.
    Done,
}

impl Default for TaskState {
    fn default() -> TaskState {
        TaskState::Waiting {
            last_attempt: Attempt(0),
        }
    }
}

/// A change of a run record: the record's number, and the count of its changes with this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordChange {
    /// Number of the run record.
    pub record_number: u32,
    /// Count of its changes.
    pub change_count: u64,
}

/// The tasks that share a run record, and how far the record is written.
#[derive(Debug)]
pub struct Chunk {
    tasks: Vec<TaskState>,
    allocated_count: u32,
    /// The version of its record; 0 while there is none.
    pub record_version: Version,
    /// How many changes there were since it was read or created.
    pub change_count: u64,
    /// The last change that is known to be written.
    pub written_change_count: u64,
    /// A lost response left the record's version unknown; it has to be read before the next write.
    pub is_version_unknown: bool,
}

impl Chunk {
    /// Tasks whose record has that version, after so many changes of which none is known to be written.
    pub(super) fn new(tasks: Vec<TaskState>, record_version: Version, change_count: u64) -> Chunk {
        let is_allocated = |task: &&TaskState| matches!(task, TaskState::Allocated { .. });
        Chunk {
            allocated_count: tasks.iter().filter(is_allocated).count() as u32,
            tasks,
            record_version,
            change_count,
            written_change_count: 0,
            is_version_unknown: false,
        }
    }

    /// So many tasks that were never allocated.
    pub(super) fn never_allocated(task_count: u32) -> Chunk {
        let tasks = vec![TaskState::default(); task_count as usize];
        Chunk::new(tasks, Version::ABSENT, 0)
    }

    /// Whether none of its tasks was ever allocated.
    pub fn was_never_allocated(&self) -> bool {
        self.tasks.iter().all(|task| *task == TaskState::default())
    }

    /// States of its tasks.
    pub fn tasks(&self) -> &[TaskState] {
        &self.tasks
    }

    /// Whether any of its tasks is allocated.
    pub(super) fn has_allocations(&self) -> bool {
        self.allocated_count > 0
    }

    /// Whether there may be a record of it.
    pub(crate) fn may_have_record(&self) -> bool {
        self.record_version != Version::ABSENT || self.is_version_unknown
    }

    /// Changes the state of the task at that offset. Returns the state before; `None`, with nothing changed, if there
    /// is no such task or it is done.
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
