//! The limits of the store, which are checked before a request is sent.

use serde::Serialize;
use thiserror::Error;

use crate::messages::{Change, Txn};

/// Ratio of the most conditions to the most changes of a transaction.
const CONDITIONS_PER_CHANGE: usize = 4;
/// Largest transaction, as JSON.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// Longest key.
const MAX_KEY_BYTES: usize = 200;

/// The limits that are configured for a deployment of the store. Sizes are those of the JSON representation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Largest value, in bytes of JSON.
    pub max_value_bytes: usize,
    /// Most changes in a transaction.
    pub max_changes: usize,
    /// Most requests per second, of all clients together.
    pub requests_per_second: f64,
    /// Most changes per second, of all clients together.
    pub changes_per_second: f64,
}

/// A limit that a transaction exceeds, so that the store would reject it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LimitError {
    /// The transaction has too many changes.
    #[error("the transaction has {count} changes, at most {limit} are allowed")]
    TooManyChanges {
        /// Number of changes.
        count: usize,
        /// Most changes that are allowed.
        limit: usize,
    },
    /// The transaction has too many conditions.
    #[error("the transaction has {count} conditions, at most {limit} are allowed")]
    TooManyConditions {
        /// Number of conditions.
        count: usize,
        /// Most conditions that are allowed.
        limit: usize,
    },
    /// A value is too large.
    #[error("the value of {key} has {bytes} bytes, at most {limit} are allowed")]
    ValueTooLarge {
        /// The key of the value.
        key: String,
        /// Size of the value, in bytes of JSON.
        bytes: usize,
        /// Largest size that is allowed, in bytes.
        limit: usize,
    },
    /// The transaction as a whole is too large.
    #[error("the transaction has {bytes} bytes, at most {limit} are allowed")]
    TransactionTooLarge {
        /// Size of the transaction, in bytes of JSON.
        bytes: usize,
        /// Largest size that is allowed, in bytes.
        limit: usize,
    },
    /// A key is empty, too long or contains whitespace.
    #[error("{key:?} is not a valid key: 1 to {max} bytes without whitespace are allowed", max = MAX_KEY_BYTES)]
    InvalidKey {
        /// The key.
        key: String,
    },
}

/// The size of a record as JSON, in bytes. The limits apply to this representation.
pub fn json_size(record: &impl Serialize) -> usize {
    serde_json::to_vec(record).map_or(usize::MAX, |json| json.len())
}

impl StoreLimits {
    /// Most conditions in a transaction.
    pub fn max_conditions(&self) -> usize {
        self.max_changes.saturating_mul(CONDITIONS_PER_CHANGE)
    }

    /// Checks a transaction against the limits, except for the rate limits.
    ///
    /// # Errors
    ///
    /// The first limit that the transaction exceeds.
    pub fn check(&self, txn: &Txn) -> Result<(), LimitError> {
        check_limit(txn.changes.len(), self.max_changes, |count, limit| {
            LimitError::TooManyChanges { count, limit }
        })?;
        check_limit(
            txn.conditions.len(),
            self.max_conditions(),
            |count, limit| LimitError::TooManyConditions { count, limit },
        )?;
        let condition_keys = txn.conditions.iter().map(|condition| &condition.key);
        let changed_keys = txn.changes.iter().map(Change::key);
        for key in condition_keys.chain(changed_keys) {
            check_key(key)?;
        }
        for change in &txn.changes {
            self.check_value(change)?;
        }
        check_limit(json_size(txn), MAX_TRANSACTION_BYTES, |bytes, limit| {
            LimitError::TransactionTooLarge { bytes, limit }
        })
    }

    fn check_value(&self, change: &Change) -> Result<(), LimitError> {
        let Change::Put { key, value, .. } = change else {
            return Ok(());
        };
        check_limit(json_size(value), self.max_value_bytes, |bytes, limit| {
            LimitError::ValueTooLarge {
                key: key.clone(),
                bytes,
                limit,
            }
        })
    }
}

fn check_limit(
    actual: usize,
    limit: usize,
    error: impl FnOnce(usize, usize) -> LimitError,
) -> Result<(), LimitError> {
    if actual > limit {
        return Err(error(actual, limit));
    }
    Ok(())
}

fn check_key(key: &str) -> Result<(), LimitError> {
    let is_valid =
        !key.is_empty() && key.len() <= MAX_KEY_BYTES && !key.contains(char::is_whitespace);
    if is_valid {
        return Ok(());
    }
    Err(LimitError::InvalidKey {
        key: key.to_owned(),
    })
}
