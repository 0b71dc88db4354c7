//! The store's contract, tested against every implementation of it: the store in memory, the blocking client
//! over loopback, and the daemon's queue of requests.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

use ciborium::Value;
use lichencrank::storage::store::{RequestClass, StoreClient};
use lichencrank::transport::{CallId, Response};
use lichencrank::types::{LeaseId, Time, Version};
use lichencrank_store::codec::encode;
use lichencrank_store::{
    BlockingClient, Change, ConditionalStore, LimitError, Outcome, Request, StoreLimits, Txn,
};
use lichencrank_testkit::http::{call, serve};
use lichencrank_testkit::loopback::start_store;
use lichencrank_testkit::{HttpResponse, Limits, SharedStore};

/// How long responses are awaited, and leases last.
const TIMEOUT: Duration = Duration::from_secs(10);
const LIMITS: StoreLimits = StoreLimits {
    value_bytes: 16 * 1024,
    changes: 16,
    requests_per_second: 1000.0,
    changes_per_second: 1000.0,
};

/// The daemon's queue of requests, each of which is sent and answered before the next one.
struct QueuedStore {
    queue: StoreClient,
    address: SocketAddr,
    calls: u64,
}

impl ConditionalStore for QueuedStore {
    fn execute(&mut self, request: &Request) -> Outcome {
        // A second for each request, so that the rate limits hold none back.
        let now = Time(self.calls * 1000);
        self.calls += 1;
        let call_id = CallId(self.calls);
        let enqueued = self
            .queue
            .enqueue(now, RequestClass::User, request.clone(), TIMEOUT);
        let next = self.queue.next_outgoing(now, true).expect("it is sent");
        let outgoing = next.expect("it did not wait");
        self.queue.on_sent(outgoing.id, call_id);
        let response = call(
            self.address,
            outgoing.method,
            &outgoing.target,
            &outgoing.body,
        );
        let response = response.expect("a response of the store");
        let response = Response::new(response.status, encode(&response.body));
        let (answered, outcome) = self
            .queue
            .on_response(now, call_id, Ok(response))
            .expect("the response belongs to the request");
        assert_eq!(answered, enqueued);
        outcome
    }
}

fn start_store_on_loopback() -> SocketAddr {
    start_store(Arc::new(AtomicBool::new(false)))
}

/// Runs a test against every implementation, each with an empty store.
fn with_each_store(test: impl Fn(&mut dyn ConditionalStore)) {
    let limits = Limits {
        max_value_bytes: LIMITS.value_bytes,
        max_changes: LIMITS.changes,
    };
    test(&mut SharedStore::new(limits).client(0));
    test(&mut BlockingClient::new(start_store_on_loopback(), TIMEOUT));
    test(&mut QueuedStore {
        queue: StoreClient::new(LIMITS.requests_per_second, LIMITS.changes_per_second),
        address: start_store_on_loopback(),
        calls: 0,
    });
}

/// A transaction whose conditions are these keys and versions.
fn txn(conditions: &[(&str, Version)], changes: Vec<Change>) -> Txn {
    let mut txn = Txn::default();
    for (key, version) in conditions {
        txn.require((*key).to_owned(), *version);
    }
    txn.changes = changes;
    txn
}

fn put(key: &str, value: u64) -> Change {
    Change::put(key.to_owned(), Value::from(value))
}

fn delete(key: &str) -> Change {
    Change::delete(key.to_owned())
}

fn commit(store: &mut dyn ConditionalStore, txn: Txn) -> Version {
    match store.execute(&Request::Txn(txn)) {
        Outcome::Committed(version) => version,
        other => panic!("not committed: {other:?}"),
    }
}

/// The value and version of a key.
fn read(store: &mut dyn ConditionalStore, key: &str) -> Option<(Value, Version)> {
    match store.execute(&Request::Get(key.to_owned())) {
        Outcome::Item(item) => item.map(|item| (item.value, item.version)),
        other => panic!("no item: {other:?}"),
    }
}

#[test]
fn a_transaction_is_carried_out_completely_or_not_at_all() {
    with_each_store(|store| {
        let first = commit(
            store,
            txn(&[("a", Version::ABSENT)], vec![put("a", 1), put("b", 2)]),
        );
        assert_eq!(read(store, "a"), Some((Value::from(1), first)));
        assert_eq!(read(store, "b"), Some((Value::from(2), first)));
        let stale = txn(&[("a", Version::ABSENT), ("b", first)], vec![put("b", 3)]);
        match store.execute(&Request::Txn(stale)) {
            Outcome::Conflict(keys) => assert_eq!(keys, ["a"]),
            other => panic!("no conflict: {other:?}"),
        }
        assert_eq!(read(store, "b"), Some((Value::from(2), first)));
        let second = commit(store, txn(&[("a", first)], vec![delete("a")]));
        assert!(second > first, "{second} after {first}");
        assert_eq!(read(store, "a"), None);
    });
}

#[test]
fn a_transaction_without_changes_only_checks_its_conditions() {
    with_each_store(|store| {
        let version = commit(store, txn(&[], vec![put("a", 1)]));
        assert_eq!(commit(store, txn(&[("a", version)], Vec::new())), version);
    });
}

#[test]
fn pages_list_the_keys_with_a_prefix_in_their_order() {
    with_each_store(|store| {
        let changes = (0..5).map(|n| put(&format!("p/{n}"), n)).collect();
        commit(store, txn(&[], changes));
        commit(store, txn(&[], vec![put("q", 9)]));
        let mut after = String::new();
        let mut keys = Vec::new();
        loop {
            let list = Request::List {
                prefix: "p/".to_owned(),
                after: after.clone(),
                limit: 2,
            };
            let page = match store.execute(&list) {
                Outcome::Page(page) => page,
                other => panic!("no page: {other:?}"),
            };
            keys.extend(page.items.into_iter().map(|item| item.key));
            if !page.more {
                break;
            }
            after = keys.last().cloned().unwrap_or_default();
        }
        assert_eq!(keys, ["p/0", "p/1", "p/2", "p/3", "p/4"]);
    });
}

#[test]
fn keys_are_deleted_with_their_lease() {
    with_each_store(|store| {
        let lease = match store.execute(&Request::Grant(TIMEOUT)) {
            Outcome::Granted(lease) => lease,
            other => panic!("no lease: {other:?}"),
        };
        let attached = |lease: LeaseId| {
            let change = Change::Put {
                key: "attached".to_owned(),
                value: Value::from(1),
                lease: Some(lease),
            };
            txn(&[], vec![change])
        };
        commit(store, attached(lease));
        for request in [Request::Extend(lease), Request::End(lease)] {
            let outcome = store.execute(&request);
            assert!(
                matches!(outcome, Outcome::Extended),
                "{request:?}: {outcome:?}"
            );
        }
        assert_eq!(read(store, "attached"), None);
        let renewed = store.execute(&Request::Extend(lease));
        assert!(matches!(renewed, Outcome::LeaseGone), "{renewed:?}");
        let late = store.execute(&Request::Txn(attached(lease)));
        assert!(matches!(late, Outcome::Invalid), "{late:?}");
    });
}

#[test]
fn a_watch_lists_every_change_after_its_revision() {
    with_each_store(|store| {
        let first = commit(store, txn(&[], vec![put("w/1", 1)]));
        commit(store, txn(&[], vec![put("x", 1)]));
        let last = commit(store, txn(&[], vec![delete("w/1")]));
        let watch = Request::Watch {
            prefix: "w/".to_owned(),
            after: first,
            hold: Duration::ZERO,
        };
        let response = match store.execute(&watch) {
            Outcome::News(events) => events,
            other => panic!("no events: {other:?}"),
        };
        assert_eq!(response.revision, last);
        let events = response.events.into_iter();
        let deleted: Vec<Option<String>> = events.map(|event| event.delete).collect();
        assert_eq!(deleted, [Some("w/1".to_owned())]);
    });
}

#[test]
fn a_watch_after_a_compacted_revision_is_too_old() {
    // More changes than are kept, in few transactions: beyond the limits of the others.
    let shared = SharedStore::new(Limits {
        max_value_bytes: 1024,
        max_changes: 1000,
    });
    let store = &mut shared.client(0);
    for round in 0..21 {
        let changes = (0..1000).map(|n| put(&format!("k/{n}"), round)).collect();
        commit(store, txn(&[], changes));
    }
    let watch = Request::Watch {
        prefix: "k/".to_owned(),
        after: Version(1),
        hold: Duration::ZERO,
    };
    let outcome = store.execute(&watch);
    assert!(matches!(outcome, Outcome::TooOld), "{outcome:?}");
}

/// The check before a request is sent refuses exactly what the store refuses.
#[test]
fn the_limits_are_those_of_the_store() {
    let changes =
        |count: u64| -> Vec<Change> { (0..count).map(|n| put(&format!("k/{n}"), n)).collect() };
    let value = |length: usize| {
        let text = Value::from("x".repeat(length));
        vec![Change::put("k".to_owned(), text)]
    };
    let conditions = |count: usize| {
        let mut txn = txn(&[], vec![put("k", 1)]);
        for n in 0..count {
            txn.require(format!("c/{n}"), Version::ABSENT);
        }
        txn
    };
    with_each_store(|store| {
        // The value is a text: its JSON has two quotes besides.
        let cases = [
            ("16 changes", txn(&[], changes(16)), true),
            ("17 changes", txn(&[], changes(17)), false),
            ("16 KiB", txn(&[], value(16 * 1024 - 2)), true),
            ("16 KiB and a byte", txn(&[], value(16 * 1024 - 1)), false),
            ("64 conditions", conditions(64), true),
            ("65 conditions", conditions(65), false),
        ];
        for (name, txn, allowed) in cases {
            let checked = LIMITS.check(&txn);
            assert_eq!(checked.is_ok(), allowed, "{name}: {checked:?}");
            let outcome = store.execute(&Request::Txn(txn));
            assert_eq!(
                matches!(outcome, Outcome::Committed(_)),
                allowed,
                "{name}: {outcome:?}"
            );
        }
    });
    let checked = LIMITS.check(&txn(&[], vec![put("a key", 1)]));
    assert!(
        matches!(checked, Err(LimitError::BadKey { .. })),
        "{checked:?}"
    );
}

/// If nobody listens, nothing was sent. A fault of the store leaves open what became of the request.
#[test]
fn a_client_without_a_proper_response_knows_what_it_proves() {
    let request = Request::Txn(txn(&[], vec![put("a", 1)]));
    let faulty = serve(|_, _, _| HttpResponse::without_body(500));
    let outcome = BlockingClient::new(faulty, TIMEOUT).execute(&request);
    assert!(matches!(outcome, Outcome::Unknown), "{outcome:?}");
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let closed = free.local_addr().expect("its address");
    drop(free);
    let outcome = BlockingClient::new(closed, TIMEOUT).execute(&request);
    assert!(matches!(outcome, Outcome::Refused), "{outcome:?}");
}
