//! Transactions, and the bodies of the store's requests and responses. The serde attributes hold the names of the
//! published protocol.

use ciborium::Value;
use serde::{Deserialize, Serialize};

use crate::codec::null_is_empty;
use crate::ids::{LeaseId, Version};

/// A condition of a transaction: the key has this version.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The required version; [`Version::ABSENT`] if the key must not exist.
    #[serde(rename = "stamp")]
    pub version: Version,
}

/// A change of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a value.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// The new value.
        #[serde(rename = "data")]
        value: Value,
        /// The lease that the key is attached to by this change, if any.
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "remove")]
        key: String,
    },
}

impl Change {
    /// A change that writes a value without attaching the key to a lease.
    pub fn put(key: String, value: Value) -> Change {
        Change::Put {
            key,
            value,
            lease: None,
        }
    }

    /// A change that deletes a key.
    pub fn delete(key: String) -> Change {
        Change::Delete { key }
    }

    /// The key that is written or deleted.
    pub fn key(&self) -> &String {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }
}

/// A transaction: if all of its conditions are met, all of its changes are committed, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Txn {
    /// The conditions.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// The changes.
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

impl Txn {
    /// Adds the condition that a key has a version, unless there is already a condition on the key.
    pub fn require(&mut self, key: String, version: Version) {
        let mut keys = self.conditions.iter().map(|condition| &condition.key);
        if !keys.any(|other| *other == key) {
            self.conditions.push(Condition { key, version });
        }
    }
}

/// A key with its value and version.
#[derive(Clone, Debug, Deserialize)]
pub struct Item {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// Its value.
    #[serde(rename = "data")]
    pub value: Value,
    /// Its version.
    #[serde(rename = "stamp")]
    pub version: Version,
}

impl Item {
    /// Decodes the value as a record of a type. If that fails, logs an error and returns `None`.
    pub fn record<T: serde::de::DeserializeOwned>(&self) -> Option<T> {
        match self.value.deserialized() {
            Ok(record) => Some(record),
            Err(error) => {
                tracing::error!(
                    "{}: the value is not a record of the expected type: {error}",
                    self.key
                );
                None
            }
        }
    }
}

/// Converts a record to a value of the store. Every record type can be represented in CBOR. If another value can't, the
/// error is logged and the result is null.
pub fn value<T: Serialize>(record: &T) -> Value {
    Value::serialized(record).unwrap_or_else(|error| {
        tracing::error!("converting a record to CBOR failed: {error}");
        Value::Null
    })
}

/// A page of a list of keys.
#[derive(Debug, Deserialize)]
pub struct Page {
    /// Keys with their values, in the order of the keys.
    #[serde(rename = "pairs", default, deserialize_with = "null_is_empty")]
    pub items: Vec<Item>,
    /// Whether more pages follow.
    #[serde(rename = "truncated", default)]
    pub has_more: bool,
    /// The revision of the store at which the page was read.
    #[serde(rename = "ledgerRev")]
    pub revision: Version,
}

/// Response to a transaction that was committed.
#[derive(Debug, Deserialize)]
pub(crate) struct CommitResponse {
    /// The revision of the transaction's changes.
    #[serde(rename = "ledgerRev")]
    pub(crate) revision: Version,
}

/// Response to a transaction whose conditions were not met.
#[derive(Debug, Deserialize)]
pub(crate) struct ConflictResponse {
    /// Keys that don't have the version of their condition.
    #[serde(rename = "failed", default, deserialize_with = "null_is_empty")]
    pub(crate) keys: Vec<String>,
}

/// Request for a lease.
#[derive(Debug, Serialize)]
pub(crate) struct LeaseRequest {
    /// How long the lease lasts without a renewal, in milliseconds.
    #[serde(rename = "ttlMs")]
    pub(crate) ttl_ms: u64,
}

/// Response with a lease.
#[derive(Debug, Deserialize)]
pub(crate) struct LeaseResponse {
    /// The lease.
    #[serde(rename = "hold")]
    pub(crate) lease: LeaseId,
}

/// Response to a watch.
#[derive(Debug, Deserialize)]
pub struct WatchEvents {
    /// The revision up to which all changes are listed here; the next watch continues after it.
    #[serde(rename = "ledgerRev")]
    pub revision: Version,
    /// The changes in the order of their revisions; empty if there was none while the watch waited.
    #[serde(rename = "news", default, deserialize_with = "null_is_empty")]
    pub events: Vec<Event>,
}

/// A change of one key that a watch reports. Either `put_key` or `deleted_key` is set.
#[derive(Debug, Deserialize)]
pub struct Event {
    /// The key that was written.
    #[serde(rename = "set", default)]
    pub put_key: Option<String>,
    /// The key that was deleted.
    #[serde(rename = "remove", default)]
    pub deleted_key: Option<String>,
    /// The value that was written.
    #[serde(rename = "data", default)]
    pub value: Option<Value>,
    /// The revision of the change.
    #[serde(rename = "stamp", default)]
    pub version: Version,
}
