//! Messages of the store's published protocol. Wire names live in the serde attributes.

use ciborium::Value;
use serde::{Deserialize, Serialize};

use crate::codec::null_is_empty;
use crate::ids::{LeaseId, Version};

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Condition {
    /// Key that it is about.
    #[serde(rename = "path")]
    pub key: String,
    /// Version that the key must have; 0 if it must not exist.
    #[serde(rename = "stamp")]
    pub version: Version,
}

/// A change of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a value.
    Put {
        /// Key to write.
        #[serde(rename = "set")]
        key: String,
        /// The new value.
        #[serde(rename = "data")]
        value: Value,
        /// Lease that the key is attached to; without one it is detached.
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// Key to delete.
        #[serde(rename = "remove")]
        key: String,
    },
}

impl Change {
    /// Writes a value that is attached to no lease.
    pub fn put(key: String, value: Value) -> Change {
        Change::Put {
            key,
            value,
            lease: None,
        }
    }

    /// Deletes a key.
    pub fn delete(key: String) -> Change {
        Change::Delete { key }
    }

    /// The key that is changed.
    pub fn key(&self) -> &String {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }
}

/// A transaction: its changes are carried out if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Txn {
    /// What must hold.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// What is changed then.
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

impl Txn {
    /// Adds a condition, unless there is one about that key.
    pub fn require(&mut self, key: String, version: Version) {
        if !self.conditions.iter().any(|c| c.key == key) {
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
    /// The revision of its last change.
    #[serde(rename = "stamp")]
    pub version: Version,
}

impl Item {
    /// The value as a record; `None`, with a line in the log, where it isn't one.
    pub fn record<T: serde::de::DeserializeOwned>(&self) -> Option<T> {
        match self.value.deserialized() {
            Ok(record) => Some(record),
            Err(e) => {
                tracing::error!("{}: not a record of ours: {e}", self.key);
                None
            }
        }
    }
}

/// A record in the form that the store keeps.
pub fn value<T: Serialize>(record: &T) -> Value {
    Value::serialized(record).unwrap_or_else(|e| {
        tracing::error!("a record has no form in CBOR: {e}");
        Value::Null
    })
}

/// A page of keys.
#[derive(Debug, Deserialize)]
pub struct Page {
    /// Items in the order of their keys.
    #[serde(rename = "pairs", default, deserialize_with = "null_is_empty")]
    pub items: Vec<Item>,
    /// More pages follow.
    #[serde(rename = "truncated", default)]
    pub more: bool,
    /// Revision that the page shows.
    #[serde(rename = "ledgerRev")]
    pub revision: Version,
}

/// A transaction was carried out.
#[derive(Debug, Deserialize)]
pub struct Applied {
    /// Revision of its changes.
    #[serde(rename = "ledgerRev")]
    pub revision: Version,
}

/// A transaction's conditions do not hold.
#[derive(Debug, Deserialize)]
pub struct Failed {
    /// Keys whose versions differ.
    #[serde(default, deserialize_with = "null_is_empty")]
    pub failed: Vec<String>,
}

/// Asks for a lease.
#[derive(Debug, Serialize)]
pub struct Grant {
    /// How long it lasts without a renewal, in milliseconds.
    #[serde(rename = "ttlMs")]
    pub ttl_ms: u64,
}

/// A lease was granted.
#[derive(Debug, Deserialize)]
pub struct Granted {
    /// The lease.
    #[serde(rename = "hold")]
    pub lease: LeaseId,
}

/// What a watch brought.
#[derive(Debug, Deserialize)]
pub struct News {
    /// Revision up to which all changes are told.
    #[serde(rename = "ledgerRev")]
    pub revision: Version,
    /// Changes in their order.
    #[serde(rename = "news", default, deserialize_with = "null_is_empty")]
    pub events: Vec<Event>,
}

/// One change that a watch brought.
#[derive(Debug, Deserialize)]
pub struct Event {
    /// Key that was written.
    #[serde(rename = "set", default)]
    pub put: Option<String>,
    /// Key that was deleted.
    #[serde(rename = "remove", default)]
    pub delete: Option<String>,
    /// Value that was written.
    #[serde(rename = "data", default)]
    pub value: Option<Value>,
    /// Revision of the change.
    #[serde(rename = "stamp", default)]
    pub version: Version,
}
