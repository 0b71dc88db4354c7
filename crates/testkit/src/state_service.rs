//! The state service as a pure function of requests and the time, in milliseconds: for stand-ins on
//! loopback and for simulated time.

use ciborium::Value;
use std::collections::BTreeMap;

use crate::values::{get, list, map, number, text};

/// What the stand-in takes at the most.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a value in JSON.
    pub value_bytes: usize,
    /// Changes of a transaction.
    pub txn_ops: usize,
}

/// The whole content of the store.
pub struct StateService {
    revision: u64,
    /// Data, stamp and lease of each key.
    keys: BTreeMap<String, (Value, u64, u64)>,
    /// Time to live and end of each lease.
    leases: BTreeMap<u64, (u64, u64)>,
    last_lease: u64,
    changes: Vec<(u64, String, Option<Value>)>,
    /// Changes up to this revision are no longer kept.
    forgotten_until: u64,
    /// Limits in force.
    pub limits: Limits,
    /// Every transaction that was carried out and changed something.
    pub carried_out: Vec<Value>,
}

fn query(target: &str, name: &str) -> String {
    let query = target.split_once('?').map_or("", |(_, q)| q);
    let found = query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .find(|(k, _)| *k == name);
    found.map_or(String::new(), |(_, v)| v.to_owned())
}

/// How long a watch is to be held open.
pub fn hold_ms(target: &str) -> u64 {
    query(target, "holdMs").parse().unwrap_or(0)
}

fn size(value: &Value) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX, |v| v.len())
}

/// A watch can begin so many changes back.
const KEPT_CHANGES: usize = 10_000;

/// What a `set` with an expired lease is refused with.
pub const NO_SUCH_LEASE: &str = "no such lease";

impl StateService {
    /// An empty store.
    pub fn new(limits: Limits) -> StateService {
        StateService {
            revision: 0,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            changes: Vec::new(),
            forgotten_until: 0,
            limits,
            carried_out: Vec::new(),
        }
    }

    /// Ends the leases whose time is up.
    pub fn expire(&mut self, now: u64) {
        let over = |(_, (_, until)): &(&u64, &(u64, u64))| *until <= now;
        let ended: Vec<u64> = self.leases.iter().filter(over).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end(lease);
        }
    }

    /// An outage passes: all leases have their full time again.
    pub fn refill_leases(&mut self, now: u64) {
        for (ttl, until) in self.leases.values_mut() {
            *until = now + *ttl;
        }
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = |(_, v): &(&String, &(Value, u64, u64))| v.2 == lease;
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(held)
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.keys.remove(&key);
            self.changes.push((self.revision, key, None));
        }
    }

    fn too_large(&self, body: &Value) -> bool {
        let changes = list(body, "apply");
        let value = |c: &Value| get(c, "data").map_or(0, size);
        list(body, "if").len() > self.limits.txn_ops * 4
            || changes.len() > self.limits.txn_ops
            || changes.iter().any(|c| value(c) > self.limits.value_bytes)
            || size(body) > 64 * 1024
    }

    /// Carries out a transaction.
    pub fn txn(&mut self, body: &Value) -> (u16, Value) {
        let changes = list(body, "apply");
        let gone = |c: &&Value| {
            let hold = number(c, "hold");
            hold != 0 && !self.leases.contains_key(&hold)
        };
        if self.too_large(body) {
            return (400, map(vec![("error", "too large".into())]));
        }
        if changes.iter().any(|c| gone(&c)) {
            return (400, map(vec![("error", NO_SUCH_LEASE.into())]));
        }
        let stamp_of = |path: &str| self.keys.get(path).map_or(0, |(_, stamp, _)| *stamp);
        let differs = |c: &&Value| stamp_of(&text(c, "path")) != number(c, "stamp");
        let failed: Vec<Value> = list(body, "if")
            .iter()
            .filter(differs)
            .map(|c| Value::from(text(c, "path")))
            .collect();
        let revision = self.revision;
        if !failed.is_empty() {
            let failed = Value::Array(failed);
            return (
                409,
                map(vec![("failed", failed), ("ledgerRev", revision.into())]),
            );
        }
        if !changes.is_empty() {
            self.revision += 1;
            self.carried_out.push(body.clone());
        }
        for change in changes {
            if let Some(key) = get(change, "set").and_then(Value::as_text) {
                let data = get(change, "data").cloned().unwrap_or(Value::Null);
                let held = (data.clone(), self.revision, number(change, "hold"));
                self.keys.insert(key.to_owned(), held);
                self.changes
                    .push((self.revision, key.to_owned(), Some(data)));
            } else {
                let key = text(change, "remove");
                self.keys.remove(&key);
                self.changes.push((self.revision, key, None));
            }
        }
        self.forget_old_changes();
        (200, map(vec![("ledgerRev", self.revision.into())]))
    }

    fn forget_old_changes(&mut self) {
        // In steps, as each one moves all that is kept.
        if self.changes.len() < KEPT_CHANGES * 2 {
            return;
        }
        let surplus = self.changes.len() - KEPT_CHANGES;
        if let Some((revision, ..)) = self.changes.drain(..surplus).next_back() {
            self.forgotten_until = revision;
        }
    }

    fn item(key: &str, (data, stamp, hold): &(Value, u64, u64)) -> Value {
        map(vec![
            ("path", Value::from(key)),
            ("data", data.clone()),
            ("stamp", (*stamp).into()),
            ("hold", (*hold).into()),
        ])
    }

    /// The answer to a watch, once there is news or `late`.
    pub fn changes(&self, target: &str, late: bool) -> Option<(u16, Value)> {
        let after: u64 = query(target, "after").parse().unwrap_or(0);
        let prefix = query(target, "prefix");
        if after < self.forgotten_until {
            return Some((410, map(vec![("error", "too old".into())])));
        }
        let seen = self.changes.iter().rev();
        let mut news: Vec<Value> = seen
            .take_while(|(revision, ..)| *revision > after)
            .filter(|(_, key, _)| key.starts_with(&prefix))
            .map(|(revision, key, data)| {
                let key = Value::from(key.as_str());
                let stamp = ("stamp", Value::from(*revision));
                match data {
                    Some(data) => map(vec![("set", key), ("data", data.clone()), stamp]),
                    None => map(vec![("remove", key), stamp]),
                }
            })
            .collect();
        news.reverse();
        let answers = late || !news.is_empty();
        let news = Value::Array(news);
        let revision = self.revision.into();
        answers.then(|| (200, map(vec![("ledgerRev", revision), ("news", news)])))
    }

    /// The answer to a watch that does not wait.
    pub fn watch_now(&self, target: &str) -> (u16, Value) {
        self.changes(target, true).unwrap_or((503, Value::Null))
    }

    /// What a key holds, for tests that look on.
    pub fn peek(&self, key: &str) -> Option<&Value> {
        self.keys.get(key).map(|(data, ..)| data)
    }

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All keys below a prefix with what they hold.
    pub fn below<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Value)> {
        let from = self.keys.range(prefix.to_owned()..);
        from.take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(key, (data, ..))| (key.as_str(), data))
    }

    /// How many keys there are below a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let below = self.keys.keys().filter(|k| k.starts_with(prefix));
        below.count()
    }

    fn page(&self, target: &str) -> Value {
        let (prefix, after) = (query(target, "prefix"), query(target, "after"));
        let page: usize = query(target, "page").parse().unwrap_or(1000);
        let mut found = self
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with(&prefix) && **k > after);
        let pairs: Vec<Value> = found
            .by_ref()
            .take(page.min(1000))
            .map(|(k, v)| StateService::item(k, v))
            .collect();
        map(vec![
            ("pairs", Value::Array(pairs)),
            ("truncated", found.next().is_some().into()),
            ("ledgerRev", self.revision.into()),
        ])
    }

    /// Everything but watches.
    pub fn handle(&mut self, now: u64, method: &str, target: &str, body: &Value) -> (u16, Value) {
        self.expire(now);
        let path = target.split('?').next().unwrap_or("");
        match (method, path) {
            ("POST", "/txn") => self.txn(body),
            ("POST", "/grants") => {
                self.last_lease += 1;
                let ttl = number(body, "ttlMs");
                self.leases.insert(self.last_lease, (ttl, now + ttl));
                (200, map(vec![("hold", self.last_lease.into())]))
            }
            ("GET", "/kv") => (200, self.page(target)),
            ("GET", _) => {
                let key = path.strip_prefix("/kv/").unwrap_or("");
                match self.keys.get(key) {
                    Some(held) => (200, StateService::item(key, held)),
                    None => (404, map(vec![("ledgerRev", self.revision.into())])),
                }
            }
            _ => {
                let named = path.split('/').nth(2);
                let lease = named.and_then(|l| l.parse().ok()).unwrap_or(0);
                let Some((ttl, until)) = self.leases.get_mut(&lease) else {
                    return (404, Value::Null);
                };
                *until = now + *ttl;
                if method == "DELETE" {
                    self.end(lease);
                }
                (200, Value::Null)
            }
        }
    }
}
