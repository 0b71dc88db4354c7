//! The contract of the key-value store, tested against every implementation: the store in memory, the blocking client
//! over loopback, and the daemon's queue of requests over loopback.

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

/// The response timeout, and the duration of leases.
const TIMEOUT: Duration = Duration::from_secs(10);
const LIMITS: StoreLimits = StoreLimits {
    max_value_bytes: 16 * 1024,
    max_changes: 16,
    requests_per_second: 1000.0,
    changes_per_second: 1000.0,
};

/// The daemon's queue of requests. Each request is sent and answered before the next one.
struct QueuedStore {
    queue: StoreClient,
    address: SocketAddr,
    request_count: u64,
}

impl ConditionalStore for QueuedStore {
    fn execute(&mut self, request: &Request) -> Outcome {
        // The clock advances by a second for each request, so that the rate limits hold none back.
        let now = Time(self.request_count * 1000);
        self.request_count += 1;
        let call_id = CallId(self.request_count);
        let enqueued_id = self
            .queue
            .enqueue(now, RequestClass::User, request.clone(), TIMEOUT);
        let next = self
            .queue
            .next_outgoing(now, true)
            .expect("the rate limits allow the request");
        let outgoing = next.expect("the request is not refused");
        self.queue.on_sent(outgoing.id, call_id);
        let response = call(
            self.address,
            outgoing.method,
            &outgoing.target,
            &outgoing.body,
        );
        let response = response.expect("a response of the store");
        let response = Response::new(response.status, encode(&response.body));
        let (answered_id, outcome) = self
            .queue
            .on_response(now, call_id, Ok(response))
            .expect("the response belongs to the request");
        assert_eq!(answered_id, enqueued_id);
        outcome
    }
}

fn start_store_on_loopback() -> SocketAddr {
    start_store(Arc::new(AtomicBool::new(false)))
}

/// Runs a test against every implementation, each with an empty store of its own.
fn with_each_store(test: impl Fn(&mut dyn ConditionalStore)) {
    let limits = Limits {
        max_value_bytes: LIMITS.max_value_bytes,
        max_changes: LIMITS.max_changes,
    };
    test(&mut SharedStore::new(limits).client(0));
    test(&mut BlockingClient::new(start_store_on_loopback(), TIMEOUT));
    test(&mut QueuedStore {
        queue: StoreClient::new(LIMITS.requests_per_second, LIMITS.changes_per_second),
        address: start_store_on_loopback(),
        request_count: 0,
    });
}

/// A transaction with the given changes, on condition that these keys have these versions.
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

/// Carries out a transaction that has to be committed. Returns the version of its changes.
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
            if !page.has_more {
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
        let lease = match store.execute(&Request::GrantLease(TIMEOUT)) {
            Outcome::LeaseGranted(lease) => lease,
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
        for request in [Request::RenewLease(lease), Request::EndLease(lease)] {
            let outcome = store.execute(&request);
            assert!(
                matches!(outcome, Outcome::LeaseUpdated),
                "{request:?}: {outcome:?}"
            );
        }
        assert_eq!(read(store, "attached"), None);
        let renewed = store.execute(&Request::RenewLease(lease));
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
            max_wait: Duration::ZERO,
        };
        let response = match store.execute(&watch) {
            Outcome::WatchEvents(events) => events,
            other => panic!("no events: {other:?}"),
        };
        assert_eq!(response.revision, last);
        let events = response.events.into_iter();
        let deleted: Vec<Option<String>> = events.map(|event| event.deleted_key).collect();
        assert_eq!(deleted, [Some("w/1".to_owned())]);
    });
}

#[test]
fn a_watch_after_a_compacted_revision_is_too_old() {
    // More changes than the store keeps, in few transactions, which exceed the limits that the other tests use.
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
        max_wait: Duration::ZERO,
    };
    let outcome = store.execute(&watch);
    assert!(matches!(outcome, Outcome::RevisionTooOld), "{outcome:?}");
}

/// The client's check before a request is sent refuses the same transactions as the store.
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
        // The value is a string, whose JSON has two more bytes for the quotes.
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
        matches!(checked, Err(LimitError::InvalidKey { .. })),
        "{checked:?}"
    );
}

/// If nothing listens at the address, the request was not sent. After an error of the store, the outcome of the
/// request is unknown.
#[test]
fn a_client_tells_a_refused_request_from_one_of_unknown_outcome() {
    let request = Request::Txn(txn(&[], vec![put("a", 1)]));
    let faulty_store = serve(|_, _, _| HttpResponse::without_body(500));
    let outcome = BlockingClient::new(faulty_store, TIMEOUT).execute(&request);
    assert!(matches!(outcome, Outcome::Unknown), "{outcome:?}");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let closed_address = listener.local_addr().expect("its address");
    drop(listener);
    let outcome = BlockingClient::new(closed_address, TIMEOUT).execute(&request);
    assert!(matches!(outcome, Outcome::Unavailable), "{outcome:?}");
}
