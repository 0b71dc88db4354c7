//! A queue of timers, ordered by the time at which they are due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::types::Time;

/// Timers, each with a key that says what it is for. A timer can't be cancelled: its owner ignores those
/// whose purpose is gone when they are due.
#[derive(Debug)]
pub(super) struct TimerQueue<K: Ord> {
    heap: BinaryHeap<Reverse<(Time, K)>>,
}

impl<K: Ord> Default for TimerQueue<K> {
    fn default() -> Self {
        TimerQueue {
            heap: BinaryHeap::new(),
        }
    }
}

impl<K: Ord> TimerQueue<K> {
    /// Adds a timer. Timers that are due at the same time are ordered by their keys.
    pub(super) fn schedule(&mut self, due: Time, key: K) {
        self.heap.push(Reverse((due, key)));
    }

    /// When the first timer is due.
    pub(super) fn next_due(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((due, _))| *due)
    }

    /// Removes the first timer that is due by `now`, and returns its key.
    pub(super) fn pop_due(&mut self, now: Time) -> Option<K> {
        if self.next_due()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, key))| key)
    }
}
