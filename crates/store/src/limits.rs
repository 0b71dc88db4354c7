//! What the store takes at the most, checked before a request leaves.

use serde::Serialize;
use thiserror::Error;

use crate::messages::{Change, Txn};

/// A transaction may have so many conditions for each change that it may have.
const CONDITIONS_PER_CHANGE: usize = 4;
/// Size of a whole transaction, in bytes of JSON.
const TRANSACTION_BYTES: usize = 64 * 1024;
/// Length of a key, in bytes.
const KEY_BYTES: usize = 200;

/// Limits of the store. Sizes are counted in JSON.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Changes of a transaction.
    pub changes: usize,
    /// Requests a second.
    pub requests_per_second: f64,
    /// Changes a second.
    pub changes_per_second: f64,
}

/// Why the store would refuse a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LimitError {
    /// More changes than a transaction may have.
    #[error("{found} changes in one transaction, {most} are allowed")]
    TooManyChanges {
        /// So many there are.
        found: usize,
        /// So many are allowed.
        most: usize,
    },
    /// More conditions than a transaction may have.
    #[error("{found} conditions in one transaction, {most} are allowed")]
    TooManyConditions {
        /// So many there are.
        found: usize,
        /// So many are allowed.
        most: usize,
    },
    /// A value is too large.
    #[error("the value of {key} has {found} bytes, {most} are allowed")]
    ValueTooLarge {
        /// Its key.
        key: String,
        /// Its size.
        found: usize,
        /// The largest size.
        most: usize,
    },
    /// All of it together is too large.
    #[error("a transaction of {found} bytes, {most} are allowed")]
    TransactionTooLarge {
        /// Its size.
        found: usize,
        /// The largest size.
        most: usize,
    },
    /// A key is empty, too long or holds spaces.
    #[error("{key:?} is no key: 1 to 200 bytes without spaces are allowed")]
    BadKey {
        /// The key.
        key: String,
    },
}

/// The size of a record in the form whose size is limited.
pub fn json_size(record: &impl Serialize) -> usize {
    serde_json::to_vec(record).map_or(usize::MAX, |json| json.len())
}

impl StoreLimits {
    /// How many conditions a transaction may have.
    pub fn conditions(&self) -> usize {
        self.changes.saturating_mul(CONDITIONS_PER_CHANGE)
    }

    /// Checks what the store would refuse as malformed.
    pub fn check(&self, txn: &Txn) -> Result<(), LimitError> {
        check_count(txn.changes.len(), self.changes, |found, most| {
            LimitError::TooManyChanges { found, most }
        })?;
        check_count(txn.conditions.len(), self.conditions(), |found, most| {
            LimitError::TooManyConditions { found, most }
        })?;
        let condition_keys = txn.conditions.iter().map(|condition| &condition.key);
        let changed_keys = txn.changes.iter().map(Change::key);
        for key in condition_keys.chain(changed_keys) {
            check_key(key)?;
        }
        for change in &txn.changes {
            self.check_value(change)?;
        }
        check_count(json_size(txn), TRANSACTION_BYTES, |found, most| {
            LimitError::TransactionTooLarge { found, most }
        })
    }

    fn check_value(&self, change: &Change) -> Result<(), LimitError> {
        let Change::Put { key, value, .. } = change else {
            return Ok(());
        };
        check_count(json_size(value), self.value_bytes, |found, most| {
            LimitError::ValueTooLarge {
                key: key.clone(),
                found,
                most,
            }
        })
    }
}

fn check_count(
    found: usize,
    most: usize,
    error: impl FnOnce(usize, usize) -> LimitError,
) -> Result<(), LimitError> {
    if found > most {
        return Err(error(found, most));
    }
    Ok(())
}

fn check_key(key: &str) -> Result<(), LimitError> {
    let well_formed =
        !key.is_empty() && key.len() <= KEY_BYTES && !key.contains(char::is_whitespace);
    if well_formed {
        return Ok(());
    }
    Err(LimitError::BadKey {
        key: key.to_owned(),
    })
}
