//! The run records that wait to be written.

use std::collections::{BTreeMap, VecDeque};

use super::Jobs;
use crate::coordination::cluster::job::Job;
use crate::storage::records::RunRecordId;

/// A run record that waits to be written.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRecord {
    pub(super) id: RunRecordId,
    /// Whether something waits for it, such as the start of a task.
    pub(super) is_urgent: bool,
}

/// Run records that wait to be written: urgent ones, and others that are written if the budget has some to spare.
#[derive(Default)]
pub(super) struct WriteQueue {
    urgent: VecDeque<RunRecordId>,
    normal: VecDeque<RunRecordId>,
    /// All that wait, and whether they are urgent. One that became urgent while it waited is in both queues.
    waiting: BTreeMap<RunRecordId, bool>,
}

impl WriteQueue {
    /// Adds a record, or makes one that waits urgent.
    pub(super) fn push(&mut self, record: QueuedRecord) {
        let QueuedRecord { id, is_urgent } = record;
        let was_urgent = self.waiting.get(&id).copied();
        if is_urgent && was_urgent != Some(true) {
            self.urgent.push_back(id);
            self.waiting.insert(id, true);
        } else if was_urgent.is_none() {
            self.normal.push_back(id);
            self.waiting.insert(id, false);
        }
    }

    /// Takes the next record: urgent ones first, and others only `with_normal`.
    pub(super) fn pop(&mut self, with_normal: bool) -> Option<QueuedRecord> {
        loop {
            let urgent = self.urgent.pop_front();
            let id = match urgent {
                None if with_normal => self.normal.pop_front(),
                other => other,
            }?;
            if let Some(is_urgent) = self.waiting.remove(&id) {
                return Some(QueuedRecord { id, is_urgent });
            }
        }
    }

    /// Orders the urgent records: what has waited the longest stays first, so that nothing waits without end; the others
    /// by the priority of their jobs, as starts wait for these records.
    pub(super) fn sort_urgent(&mut self, jobs: &Jobs) {
        let urgent = self.urgent.make_contiguous();
        if let Some((_, others)) = urgent.split_first_mut() {
            others.sort_by_key(|id| jobs.get(&id.job).map(Job::priority));
        }
    }

    /// Whether the record waits and is urgent.
    pub(super) fn is_urgent(&self, id: RunRecordId) -> bool {
        self.waiting.get(&id) == Some(&true)
    }

    /// How many urgent records wait.
    pub(super) fn urgent_len(&self) -> usize {
        self.urgent.len()
    }

    /// How many other records wait.
    pub(super) fn normal_len(&self) -> usize {
        self.normal.len()
    }
}
