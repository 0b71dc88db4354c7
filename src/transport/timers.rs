//! Deadlines in order of time. A cancelled one is simply ignored when it fires.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::types::Time;

/// Keys with the time at which each is due.
#[derive(Debug)]
pub struct Timers<K: Ord> {
    heap: BinaryHeap<Reverse<(Time, K)>>,
}

impl<K: Ord> Default for Timers<K> {
    fn default() -> Self {
        Timers {
            heap: BinaryHeap::new(),
        }
    }
}

impl<K: Ord> Timers<K> {
    /// Sets the time of a key.
    pub fn set(&mut self, at: Time, key: K) {
        self.heap.push(Reverse((at, key)));
    }

    /// The first time at which a key is due.
    pub fn next_due(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes one deadline that has passed.
    pub fn pop_due(&mut self, now: Time) -> Option<K> {
        if self.next_due()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, key))| key)
    }
}
