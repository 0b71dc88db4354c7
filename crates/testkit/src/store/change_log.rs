//! The changes that watches are answered from.

use ciborium::Value;

use crate::values::map;

/// How many changes are kept for watches.
const MAX_CHANGES: usize = 10_000;
/// Compaction moves all that is kept, so it waits until there are that many times as many.
const COMPACTION_FACTOR: usize = 2;

/// A change of one key.
pub(super) struct Change {
    pub(super) revision: u64,
    pub(super) key: String,
    /// The value that was written; `None` if the key was deleted.
    pub(super) value: Option<Value>,
}

impl Change {
    /// Its form in the response to a watch.
    pub(super) fn to_event(&self) -> Value {
        let key = Value::from(self.key.as_str());
        let revision = ("stamp", Value::from(self.revision));
        match &self.value {
            Some(value) => map(vec![("set", key), ("data", value.clone()), revision]),
            None => map(vec![("remove", key), revision]),
        }
    }
}

/// The latest changes.
#[derive(Default)]
pub(super) struct ChangeLog {
    /// In the order of their revisions.
    changes: Vec<Change>,
    /// Changes up to this revision are no longer kept.
    compacted_until: u64,
}

impl ChangeLog {
    pub(super) fn push(&mut self, change: Change) {
        self.changes.push(change);
    }

    /// The changes after a revision; `None` if some of them are no longer kept.
    pub(super) fn after(&self, revision: u64) -> Option<&[Change]> {
        if revision < self.compacted_until {
            return None;
        }
        let is_known = |change: &Change| change.revision <= revision;
        let first = self.changes.partition_point(is_known);
        Some(&self.changes[first..])
    }

    /// Drops the oldest changes, if there are far too many.
    pub(super) fn compact(&mut self) {
        if self.changes.len() < MAX_CHANGES * COMPACTION_FACTOR {
            return;
        }
        let surplus = self.changes.len() - MAX_CHANGES;
        if let Some(last) = self.changes.drain(..surplus).next_back() {
            self.compacted_until = last.revision;
        }
    }
}
