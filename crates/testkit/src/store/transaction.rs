//! Processing of transactions: their limits, conditions and changes.

use ciborium::Value;

use super::change_log::Change;
use super::leases::LeaseId;
use super::{Entry, InMemoryStore};
use crate::http::HttpResponse;
use crate::values::{get, list, map, number, text};

/// The most conditions in a transaction, as a multiple of the most changes.
const MAX_CONDITIONS_PER_CHANGE: usize = 4;
/// The largest transaction, in bytes of JSON.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;

/// The error of a transaction that is refused because it attaches a key to a lease that doesn't exist.
pub const NO_SUCH_LEASE: &str = "no such lease";

impl InMemoryStore {
    /// Applies a transaction if it is within the limits and all its conditions are met.
    pub fn transact(&mut self, body: &Value) -> HttpResponse {
        let changes = list(body, "apply");
        if self.exceeds_limits(body) {
            return HttpResponse::error(400, "too large");
        }
        let mut attached_leases = changes.iter().filter_map(attached_lease);
        if attached_leases.any(|lease| !self.leases.contains(lease)) {
            return HttpResponse::error(400, NO_SUCH_LEASE);
        }
        let conditions = list(body, "if").iter();
        let unmet = conditions.filter(|condition| !self.is_met(condition));
        let failed_keys: Vec<Value> = unmet
            .map(|condition| text(condition, "path").into())
            .collect();
        if !failed_keys.is_empty() {
            let failed = ("failed", Value::Array(failed_keys));
            let body = map(vec![failed, ("ledgerRev", self.revision.into())]);
            return HttpResponse { status: 409, body };
        }
        if !changes.is_empty() {
            self.revision += 1;
            self.applied_transactions.push(body.clone());
        }
        for change in changes {
            self.apply(change);
        }
        self.changes.compact();
        HttpResponse::ok(map(vec![("ledgerRev", self.revision.into())]))
    }

    fn exceeds_limits(&self, body: &Value) -> bool {
        let changes = list(body, "apply");
        let value_bytes = |change| get(change, "data").map_or(0, json_bytes);
        list(body, "if").len() > self.limits.max_changes * MAX_CONDITIONS_PER_CHANGE
            || changes.len() > self.limits.max_changes
            || changes
                .iter()
                .any(|change| value_bytes(change) > self.limits.max_value_bytes)
            || json_bytes(body) > MAX_TRANSACTION_BYTES
    }

    fn is_met(&self, condition: &Value) -> bool {
        let entry = self.entries.get(&text(condition, "path"));
        let version = entry.map_or(0, |entry| entry.version);
        version == number(condition, "stamp")
    }

    /// Applies one change of the transaction that has the present revision.
    fn apply(&mut self, change: &Value) {
        let Some(key) = get(change, "set").and_then(Value::as_text) else {
            self.delete(text(change, "remove"));
            return;
        };
        let value = get(change, "data").cloned().unwrap_or(Value::Null);
        let entry = Entry {
            value: value.clone(),
            version: self.revision,
            lease: attached_lease(change),
        };
        self.entries.insert(key.to_owned(), entry);
        self.changes.push(Change {
            revision: self.revision,
            key: key.to_owned(),
            value: Some(value),
        });
    }
}

/// The lease that a change attaches its key to, if any.
fn attached_lease(change: &Value) -> Option<LeaseId> {
    let lease = number(change, "hold");
    (lease != 0).then_some(lease)
}

fn json_bytes(value: &Value) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX, |json| json.len())
}
