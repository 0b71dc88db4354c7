//! The queue of run records that wait to be written.

use std::collections::{BTreeMap, VecDeque};

use super::Jobs;
use crate::coordination::cluster::job::Job;
use crate::storage::records::RunRecordId;

/// A run record that waits to be written.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRecord {
    pub(super) id: RunRecordId,
    /// Whether something waits for the write, such as the start of a task.
    pub(super) is_urgent: bool,
}

/// Run records that wait to be written: urgent ones, and normal ones that are written while the rate limits have
/// capacity to spare.
#[derive(Default)]
pub(super) struct WriteQueue {
    urgent: VecDeque<RunRecordId>,
    normal: VecDeque<RunRecordId>,
    /// All records that wait, and whether they are urgent. A record that became urgent while it waited is in both
    /// queues.
    urgency_by_record: BTreeMap<RunRecordId, bool>,
}

impl WriteQueue {
    /// Adds a record, or makes a waiting one urgent.
    pub(super) fn push(&mut self, record: QueuedRecord) {
        let QueuedRecord { id, is_urgent } = record;
        let was_urgent = self.urgency_by_record.get(&id).copied();
        if is_urgent && was_urgent != Some(true) {
            self.urgent.push_back(id);
            self.urgency_by_record.insert(id, true);
        } else if was_urgent.is_none() {
            self.normal.push_back(id);
            self.urgency_by_record.insert(id, false);
        }
    }

    /// Takes the next record: urgent ones first, normal ones only with `includes_normal`.
    pub(super) fn pop(&mut self, includes_normal: bool) -> Option<QueuedRecord> {
        loop {
            let urgent = self.urgent.pop_front();
            let id = match urgent {
                None if includes_normal => self.normal.pop_front(),
                other => other,
            }?;
            if let Some(is_urgent) = self.urgency_by_record.remove(&id) {
                return Some(QueuedRecord { id, is_urgent });
            }
        }
    }

    /// Sorts the urgent records by the priority of their jobs, as the start of tasks waits for them. The first
    /// record, which has waited the longest, stays first, so that no record starves.
    pub(super) fn sort_urgent(&mut self, jobs: &Jobs) {
        let urgent = self.urgent.make_contiguous();
        if let Some((_, others)) = urgent.split_first_mut() {
            others.sort_by_key(|id| jobs.get(&id.job).map(Job::priority));
        }
    }

    /// Whether the record waits to be written and is urgent.
    pub(super) fn is_urgent(&self, id: RunRecordId) -> bool {
        self.urgency_by_record.get(&id) == Some(&true)
    }

    /// How many urgent records wait.
    pub(super) fn urgent_len(&self) -> usize {
        self.urgent.len()
    }

    /// How many normal records wait.
    pub(super) fn normal_len(&self) -> usize {
        self.normal.len()
    }
}
