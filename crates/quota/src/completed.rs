//! Completed admissions of a requester: a bitmap of their sequence numbers in memory, ranges of sequence
//! numbers in the store.
//!
//! The set answers whether a repeated request was completed before. Its size grows with the number of gaps in
//! the sequence numbers, not with the number of admissions.

use roaring::RoaringBitmap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::resource_vector::ResourceVector;

/// A set of sequence numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CompletedSet(RoaringBitmap);

/// Consecutive sequence numbers, stored as the pair of `first` and `count`.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(from = "(u32, u64)", into = "(u32, u64)")]
struct SequenceRange {
    first: u32,
    count: u64,
}

impl From<(u32, u64)> for SequenceRange {
    fn from((first, count): (u32, u64)) -> SequenceRange {
        SequenceRange { first, count }
    }
}

impl From<SequenceRange> for (u32, u64) {
    fn from(range: SequenceRange) -> (u32, u64) {
        (range.first, range.count)
    }
}

impl CompletedSet {
    /// Whether the admission with this sequence number is completed.
    pub fn contains(&self, sequence: u32) -> bool {
        self.0.contains(sequence)
    }

    /// Adds a sequence number. Returns `false` if it was in the set already.
    pub fn insert(&mut self, sequence: u32) -> bool {
        self.0.insert(sequence)
    }

    /// Number of sequence numbers in the set.
    pub fn len(&self) -> u64 {
        self.0.len()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn ranges(&self) -> Vec<SequenceRange> {
        let mut ranges = Vec::new();
        let mut sequences = self.0.iter();
        while let Some(range) = sequences.next_range() {
            ranges.push(SequenceRange {
                first: *range.start(),
                count: u64::from(range.end() - range.start()) + 1,
            });
        }
        ranges
    }
}

impl Serialize for CompletedSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.ranges().serialize(serializer)
    }
}

/// Ignores empty ranges, and cuts off ranges at the largest sequence number. No version writes such ranges.
impl<'de> Deserialize<'de> for CompletedSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut sequences = RoaringBitmap::new();
        for range in Vec::<SequenceRange>::deserialize(deserializer)? {
            let Some(offset_of_last) = range.count.checked_sub(1) else {
                continue;
            };
            let last = u64::from(range.first).saturating_add(offset_of_last);
            let last = u32::try_from(last).unwrap_or(u32::MAX);
            sequences.insert_range(range.first..=last);
        }
        Ok(CompletedSet(sequences))
    }
}

/// The completed admissions of one requester.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompletedRecord {
    /// Sequence numbers of the completed admissions.
    #[serde(rename = "numbers")]
    pub sequences: CompletedSet,
    /// The sum of all charges that were released.
    #[serde(rename = "released")]
    pub total_released: ResourceVector,
}

impl CompletedRecord {
    /// Adds an admission whose charge of `usage` is released. Returns `false` and changes nothing if it was
    /// completed already.
    pub fn add(&mut self, sequence: u32, usage: ResourceVector) -> bool {
        let is_new = self.sequences.insert(sequence);
        if is_new {
            self.total_released += usage;
        }
        is_new
    }
}
