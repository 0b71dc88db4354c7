//! A queue of timers, ordered by the time at which they expire.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::types::Time;

/// Timers, each with a key that identifies its purpose. A timer can't be cancelled: the owner of the queue ignores an
/// expired timer that is no longer needed.
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
    /// Adds a timer. Timers that expire at the same time are ordered by their keys.
    pub(super) fn schedule(&mut self, expires_at: Time, key: K) {
        self.heap.push(Reverse((expires_at, key)));
    }

    /// When the next timer expires.
    pub(super) fn next_expiry(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((expires_at, _))| *expires_at)
    }

    /// Removes the first timer that has expired by `now`, and returns its key.
    pub(super) fn pop_expired(&mut self, now: Time) -> Option<K> {
        if self.next_expiry()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, key))| key)
    }
}
