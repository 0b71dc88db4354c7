//! Which admissions of a requester are settled: a bitmap in memory, runs of numbers in the store.

use roaring::RoaringBitmap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::resource_vector::ResourceVector;

/// Numbers of settled admissions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettledSet(RoaringBitmap);

/// A run of numbers as it is stored: the first one, and how many there are.
type Run = (u32, u64);

impl SettledSet {
    /// Whether the admission of that number is settled.
    pub fn contains(&self, sequence: u32) -> bool {
        self.0.contains(sequence)
    }

    /// Adds a number; `false` if it was there already.
    pub fn insert(&mut self, sequence: u32) -> bool {
        self.0.insert(sequence)
    }

    /// How many there are.
    pub fn len(&self) -> u64 {
        self.0.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        let mut numbers = self.0.iter();
        while let Some(range) = numbers.next_range() {
            let count = u64::from(range.end() - range.start()) + 1;
            runs.push((*range.start(), count));
        }
        runs
    }
}

impl Serialize for SettledSet {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        self.runs().serialize(s)
    }
}

impl<'de> Deserialize<'de> for SettledSet {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let runs = Vec::<Run>::deserialize(d)?;
        let mut numbers = RoaringBitmap::new();
        for (first, count) in runs {
            let Some(last) = count.checked_sub(1) else {
                continue;
            };
            let last = u32::try_from(u64::from(first).saturating_add(last)).unwrap_or(u32::MAX);
            numbers.insert_range(first..=last);
        }
        Ok(SettledSet(numbers))
    }
}

/// What is left of a requester's settled admissions: which they are, and their sum.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SettledRecord {
    /// Their numbers.
    pub numbers: SettledSet,
    /// What all of them had charged, together.
    pub released: ResourceVector,
}

impl SettledRecord {
    /// Folds one more settled admission in. `false` if it was in there already: then nothing changes.
    pub fn fold(&mut self, sequence: u32, usage: ResourceVector) -> bool {
        let new = self.numbers.insert(sequence);
        if new {
            self.released += usage;
        }
        new
    }
}
