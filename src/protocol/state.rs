//! The state service's messages.

use ciborium::Value;
use serde::{Deserialize, Serialize};

use super::null_is_empty;
use crate::types::{LeaseId, Stamp};

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Condition {
    #[serde(rename = "path")]
    pub key: String,
    pub stamp: Stamp,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Change {
    Put {
        #[serde(rename = "set")]
        key: String,
        #[serde(rename = "data")]
        value: Value,
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    Delete {
        #[serde(rename = "remove")]
        key: String,
    },
}

impl Change {
    pub fn put(key: String, value: Value) -> Change {
        Change::Put {
            key,
            value,
            lease: None,
        }
    }

    pub fn delete(key: String) -> Change {
        Change::Delete { key }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Txn {
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

impl Txn {
    pub fn require(&mut self, key: String, stamp: Stamp) {
        if !self.conditions.iter().any(|c| c.key == key) {
            self.conditions.push(Condition { key, stamp });
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct Item {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "data")]
    pub value: Value,
    pub stamp: Stamp,
}

impl Item {
    /// The value as a record; `None`, with a line in the log, where it isn't one.
    pub fn record<T: serde::de::DeserializeOwned>(&self) -> Option<T> {
        match self.value.deserialized() {
            Ok(record) => Some(record),
            Err(e) => {
                log::error!("{}: not a record of ours: {e}", self.key);
                None
            }
        }
    }
}

/// A record in the form that the state service keeps.
pub fn value<T: Serialize>(record: &T) -> Value {
    Value::serialized(record).unwrap_or_else(|e| {
        log::error!("a record has no form in CBOR: {e}");
        Value::Null
    })
}

#[derive(Debug, Deserialize)]
pub struct Page {
    #[serde(rename = "pairs", default, deserialize_with = "null_is_empty")]
    pub items: Vec<Item>,
    #[serde(rename = "truncated", default)]
    pub more: bool,
    #[serde(rename = "ledgerRev")]
    pub revision: Stamp,
}

#[derive(Debug, Deserialize)]
pub struct Applied {
    #[serde(rename = "ledgerRev")]
    pub revision: Stamp,
}

#[derive(Debug, Deserialize)]
pub struct Failed {
    #[serde(default, deserialize_with = "null_is_empty")]
    pub failed: Vec<String>,
}

#[derive(Debug, Serialize)]
pub struct Grant {
    #[serde(rename = "ttlMs")]
    pub ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
pub struct Granted {
    #[serde(rename = "hold")]
    pub lease: LeaseId,
}

#[derive(Debug, Deserialize)]
pub struct News {
    #[serde(rename = "ledgerRev")]
    pub revision: Stamp,
    #[serde(rename = "news", default, deserialize_with = "null_is_empty")]
    pub events: Vec<Event>,
}

#[derive(Debug, Deserialize)]
pub struct Event {
    #[serde(rename = "set", default)]
    pub put: Option<String>,
    #[serde(rename = "remove", default)]
    pub delete: Option<String>,
    #[serde(rename = "data", default)]
    pub value: Option<Value>,
    #[serde(default)]
    pub stamp: Stamp,
}
