//! The key-value store, for servers on loopback and for simulated time: its state depends only on requests and
//! the given time. It speaks the published protocol and uses the names of the wire format. Times are in
//! milliseconds since any fixed moment.

mod change_log;
mod leases;
pub(crate) mod target;
mod transaction;

use std::collections::BTreeMap;

use ciborium::Value;

use crate::http::HttpResponse;
use crate::values::{map, number};
use change_log::{Change, ChangeLog};
use leases::{LeaseId, LeaseTable};
pub use target::watch_timeout_ms;
use target::{path, query};
pub use transaction::NO_SUCH_LEASE;

/// The limits that the store enforces.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The largest value, in bytes of JSON.
    pub max_value_bytes: usize,
    /// The most changes in a transaction.
    pub max_changes: usize,
}

/// The most keys on a page of a listing.
const MAX_KEYS_PER_PAGE: usize = 1000;

/// The value of a key, with its version and lease.
struct Entry {
    value: Value,
    /// The revision of the key's last change.
    version: u64,
    /// The lease that the key is attached to.
    lease: Option<LeaseId>,
}

/// A key-value store in memory.
pub struct InMemoryStore {
    /// Incremented by each transaction with changes, and by each key that is deleted with its lease.
    revision: u64,
    entries: BTreeMap<String, Entry>,
    leases: LeaseTable,
    changes: ChangeLog,
    limits: Limits,
    /// The bodies of all committed transactions that had changes, oldest first.
    applied_transactions: Vec<Value>,
}

impl InMemoryStore {
    /// An empty store.
    pub fn new(limits: Limits) -> InMemoryStore {
        InMemoryStore {
            revision: 0,
            entries: BTreeMap::new(),
            leases: LeaseTable::default(),
            changes: ChangeLog::default(),
            limits,
            applied_transactions: Vec::new(),
        }
    }

    /// Changes the limits from now on.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Processes any request but a watch.
    pub fn handle(
        &mut self,
        now_ms: u64,
        method: &str,
        target: &str,
        body: &Value,
    ) -> HttpResponse {
        self.expire_leases(now_ms);
        let path = path(target);
        match (method, path) {
            ("POST", "/txn") => self.transact(body),
            ("POST", "/grants") => {
                let lease = self.leases.grant(number(body, "ttlMs"), now_ms);
                HttpResponse::ok(map(vec![("hold", lease.into())]))
            }
            ("GET", "/kv") => HttpResponse::ok(self.list_page(target)),
            ("GET", _) => self.read_key(path.strip_prefix("/kv/").unwrap_or("")),
            _ => self.renew_or_end_lease(now_ms, method, path),
        }
    }

    /// The response to a watch once there are changes or the watch has timed out. `None` until then.
    pub fn watch(&self, target: &str, timed_out: bool) -> Option<HttpResponse> {
        let after = query(target, "after").parse().unwrap_or(0);
        let prefix = query(target, "prefix");
        let Some(changes) = self.changes.after(after) else {
            return Some(HttpResponse::error(410, "too old"));
        };
        let changes = changes
            .iter()
            .filter(|change| change.key.starts_with(&prefix));
        let events: Vec<Value> = changes.map(Change::to_event).collect();
        if events.is_empty() && !timed_out {
            return None;
        }
        Some(HttpResponse::ok(map(vec![
            ("ledgerRev", self.revision.into()),
            ("news", Value::Array(events)),
        ])))
    }

    /// The response to a watch that doesn't wait for changes.
    pub fn watch_without_waiting(&self, target: &str) -> HttpResponse {
        let response = self.watch(target, true);
        response.unwrap_or_else(HttpResponse::unavailable)
    }

    /// Ends the leases that have expired, and deletes their keys.
    pub fn expire_leases(&mut self, now_ms: u64) {
        for lease in self.leases.expired(now_ms) {
            self.end_lease(lease);
        }
    }

    /// Renews all leases, as after an outage.
    pub fn renew_all_leases(&mut self, now_ms: u64) {
        self.leases.renew_all(now_ms);
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<&Value> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// All keys with a prefix, with their values.
    pub fn values_with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Value)> {
        let entries = self.entries.range(prefix.to_owned()..);
        entries
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(key, entry)| (key.as_str(), &entry.value))
    }

    /// The number of keys with a prefix.
    pub fn key_count(&self, prefix: &str) -> usize {
        let keys = self.entries.keys();
        keys.filter(|key| key.starts_with(prefix)).count()
    }

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The bodies of all committed transactions that had changes, oldest first.
    pub fn applied_transactions(&self) -> &[Value] {
        &self.applied_transactions
    }

    fn delete(&mut self, key: String) {
        self.entries.remove(&key);
        self.changes.push(Change {
            revision: self.revision,
            key,
            value: None,
        });
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(lease);
        let entries = self.entries.iter();
        let attached = entries.filter(|(_, entry)| entry.lease == Some(lease));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.delete(key);
        }
    }

    fn renew_or_end_lease(&mut self, now_ms: u64, method: &str, path: &str) -> HttpResponse {
        let id = path.split('/').nth(2);
        let lease = id.and_then(|id| id.parse().ok()).unwrap_or(0);
        if !self.leases.renew(lease, now_ms) {
            return HttpResponse::without_body(404);
        }
        if method == "DELETE" {
            self.end_lease(lease);
        }
        HttpResponse::without_body(200)
    }

    fn read_key(&self, key: &str) -> HttpResponse {
        match self.entries.get(key) {
            Some(entry) => HttpResponse::ok(entry.to_item(key)),
            None => HttpResponse {
                status: 404,
                body: map(vec![("ledgerRev", self.revision.into())]),
            },
        }
    }

    fn list_page(&self, target: &str) -> Value {
        let (prefix, after) = (query(target, "prefix"), query(target, "after"));
        let limit: usize = query(target, "page").parse().unwrap_or(MAX_KEYS_PER_PAGE);
        let entries = self.entries.iter();
        let mut found = entries.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let page = found.by_ref().take(limit.min(MAX_KEYS_PER_PAGE));
        let items: Vec<Value> = page.map(|(key, entry)| entry.to_item(key)).collect();
        map(vec![
            ("pairs", Value::Array(items)),
            ("truncated", found.next().is_some().into()),
            ("ledgerRev", self.revision.into()),
        ])
    }
}

impl Entry {
    fn to_item(&self, key: &str) -> Value {
        map(vec![
            ("path", key.into()),
            ("data", self.value.clone()),
            ("stamp", self.version.into()),
            ("hold", self.lease.unwrap_or(0).into()),
        ])
    }
}
