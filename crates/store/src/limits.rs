//! The limits of the store, checked before a request is sent.

use serde::Serialize;
use thiserror::Error;

use crate::messages::{Change, Txn};

/// How many conditions a transaction may have for each change that it may have.
const CONDITIONS_PER_CHANGE: usize = 4;
/// The largest transaction, in bytes of JSON.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// The longest key, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// The limits that a deployment of the store sets. Sizes are those of the records in JSON.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// The largest value, in bytes.
    pub max_value_bytes: usize,
    /// The most changes of a transaction.
    pub max_changes: usize,
    /// The most requests a second, of all clients together.
    pub requests_per_second: f64,
    /// The most changes a second, of all clients together.
    pub changes_per_second: f64,
}

/// Why the store would refuse a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LimitError {
    /// More changes than a transaction may have.
    #[error("{count} changes in one transaction, {limit} are allowed")]
    TooManyChanges {
        /// How many there are.
        count: usize,
        /// How many are allowed.
        limit: usize,
    },
    /// More conditions than a transaction may have.
    #[error("{count} conditions in one transaction, {limit} are allowed")]
    TooManyConditions {
        /// How many there are.
        count: usize,
        /// How many are allowed.
        limit: usize,
    },
    /// A value is too large.
    #[error("the value of {key} has {bytes} bytes, {limit} are allowed")]
    ValueTooLarge {
        /// Its key.
        key: String,
        /// Its size.
        bytes: usize,
        /// The largest size that is allowed.
        limit: usize,
    },
    /// The transaction as a whole is too large.
    #[error("a transaction of {bytes} bytes, {limit} are allowed")]
    TransactionTooLarge {
        /// Its size.
        bytes: usize,
        /// The largest size that is allowed.
        limit: usize,
    },
    /// A key is empty, too long or contains whitespace.
    #[error("{key:?} is no key: 1 to {max} bytes without spaces are allowed", max = MAX_KEY_BYTES)]
    InvalidKey {
        /// The key.
        key: String,
    },
}

/// The size of a record in JSON, in bytes: the form whose size is limited.
pub fn json_size(record: &impl Serialize) -> usize {
    serde_json::to_vec(record).map_or(usize::MAX, |json| json.len())
}

impl StoreLimits {
    /// The most conditions of a transaction.
    pub fn max_conditions(&self) -> usize {
        self.max_changes.saturating_mul(CONDITIONS_PER_CHANGE)
    }

    /// Checks whether the store would accept a transaction, apart from its conditions and rate limits.
    ///
    /// # Errors
    ///
    /// The first limit that it exceeds.
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
    found: usize,
    limit: usize,
    error: impl FnOnce(usize, usize) -> LimitError,
) -> Result<(), LimitError> {
    if found > limit {
        return Err(error(found, limit));
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
