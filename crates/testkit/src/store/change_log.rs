//! The log of recent changes, from which watches are served.

use ciborium::Value;

use crate::values::map;

/// How many changes a compaction keeps for watches.
const KEPT_CHANGES: usize = 10_000;
/// Compaction moves all kept changes, so it waits until the log holds this many times [`KEPT_CHANGES`].
const COMPACTION_FACTOR: usize = 2;

/// The change of one key by a transaction or an expired lease.
pub(super) struct Change {
    pub(super) revision: u64,
    pub(super) key: String,
    /// The value that was written; `None` if the key was deleted.
    pub(super) value: Option<Value>,
}

impl Change {
    /// The change as an event in the response to a watch.
    pub(super) fn to_event(&self) -> Value {
        let key = Value::from(self.key.as_str());
        let revision = ("stamp", Value::from(self.revision));
        match &self.value {
            Some(value) => map(vec![("set", key), ("data", value.clone()), revision]),
            None => map(vec![("remove", key), revision]),
        }
    }
}

/// The most recent changes of all keys.
#[derive(Default)]
pub(super) struct ChangeLog {
    /// The kept changes, by ascending revision.
    changes: Vec<Change>,
    /// The last revision whose changes are no longer kept.
    compacted_revision: u64,
}

impl ChangeLog {
    pub(super) fn push(&mut self, change: Change) {
        self.changes.push(change);
    }

    /// The changes after a revision. `None` if some of them are no longer kept.
    pub(super) fn after(&self, revision: u64) -> Option<&[Change]> {
        if revision < self.compacted_revision {
            return None;
        }
        let is_seen = |change: &Change| change.revision <= revision;
        let first = self.changes.partition_point(is_seen);
        Some(&self.changes[first..])
    }

    /// Drops the oldest changes once the log exceeds the compaction threshold.
    pub(super) fn compact(&mut self) {
        if self.changes.len() < KEPT_CHANGES * COMPACTION_FACTOR {
            return;
        }
        let surplus = self.changes.len() - KEPT_CHANGES;
        if let Some(last) = self.changes.drain(..surplus).next_back() {
            self.compacted_revision = last.revision;
        }
    }
}
