//! One set of tests of the store's contract, run against everything that keeps it: the stand-in in
//! memory, the blocking client over loopback, and the daemon's queue of requests.

use std::cell::Cell;
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
use lichencrank_testkit::http::call;
use lichencrank_testkit::loopback::state_service;
use lichencrank_testkit::{Limits, SharedState};

const PATIENCE: Duration = Duration::from_secs(10);
const LIMITS: StoreLimits = StoreLimits {
    value_bytes: 16 * 1024,
    changes: 16,
    requests_per_second: 1000.0,
    changes_per_second: 1000.0,
};

/// The daemon's queue of requests, with a call of its own for each of them.
struct QueuedStore {
    queue: StoreClient,
    address: SocketAddr,
    calls: Cell<u64>,
}

impl ConditionalStore for QueuedStore {
    fn execute(&mut self, request: &Request) -> Outcome {
        let now = Time(self.calls.get() * 1000);
        let asked = self
            .queue
            .enqueue(now, RequestClass::User, request.clone(), PATIENCE);
        let next = self.queue.next_outgoing(now, true).expect("it is sent");
        let outgoing = next.expect("it did not wait");
        self.calls.set(self.calls.get() + 1);
        let id = CallId(self.calls.get());
        self.queue.sent_as(outgoing.id, id);
        let answer = call(
            self.address,
            outgoing.method,
            &outgoing.target,
            &outgoing.body,
        );
        let (status, body) = answer.expect("the stand-in answers");
        let response = Response {
            status,
            body: encode(&body),
            ..Response::default()
        };
        let (answered, outcome) = self
            .queue
            .on_response(now, id, Ok(response))
            .expect("it is its own");
        assert_eq!(answered, asked);
        outcome
    }
}

/// Runs a test against everything that keeps the contract.
fn with_each_store(test: fn(&mut dyn ConditionalStore)) {
    let limits = Limits {
        value_bytes: LIMITS.value_bytes,
        txn_ops: LIMITS.changes,
    };
    test(&mut SharedState::new(limits).client(0));
    let address = state_service(Arc::new(AtomicBool::new(false)));
    test(&mut BlockingClient::new(address, PATIENCE));
    let address = state_service(Arc::new(AtomicBool::new(false)));
    test(&mut QueuedStore {
        queue: StoreClient::new(LIMITS.requests_per_second, LIMITS.changes_per_second),
        address,
        calls: Cell::new(0),
    });
}

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

fn commit(store: &mut dyn ConditionalStore, txn: Txn) -> Version {
    match store.execute(&Request::Txn(txn)) {
        Outcome::Committed(version) => version,
        other => panic!("not committed: {other:?}"),
    }
}

fn read(store: &mut dyn ConditionalStore, key: &str) -> Option<(Value, Version)> {
    match store.execute(&Request::Get(key.to_owned())) {
        Outcome::Item(item) => item.map(|item| (item.value, item.version)),
        other => panic!("no item: {other:?}"),
    }
}

#[test]
fn a_transaction_is_carried_out_whole_or_not_at_all() {
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
            other => panic!("carried out: {other:?}"),
        }
        assert_eq!(read(store, "b"), Some((Value::from(2), first)));
        let gone = vec![Change::delete("a".to_owned())];
        let second = commit(store, txn(&[("a", first)], gone));
        assert!(second > first);
        assert_eq!(read(store, "a"), None);
    });
}

#[test]
fn a_transaction_without_changes_only_compares() {
    with_each_store(|store| {
        let version = commit(store, txn(&[], vec![put("a", 1)]));
        assert_eq!(commit(store, txn(&[("a", version)], Vec::new())), version);
    });
}

#[test]
fn pages_follow_each_other_in_the_order_of_keys() {
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
            let Outcome::Page(page) = store.execute(&list) else {
                panic!("no page");
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
fn keys_go_with_their_lease() {
    with_each_store(|store| {
        let Outcome::Granted(lease) = store.execute(&Request::Grant(PATIENCE)) else {
            panic!("no lease");
        };
        let held = |lease: LeaseId| {
            vec![Change::Put {
                key: "held".to_owned(),
                value: Value::from(1),
                lease: Some(lease),
            }]
        };
        commit(store, txn(&[], held(lease)));
        assert!(matches!(
            store.execute(&Request::Extend(lease)),
            Outcome::Extended
        ));
        assert!(matches!(
            store.execute(&Request::End(lease)),
            Outcome::Extended
        ));
        assert_eq!(read(store, "held"), None);
        assert!(matches!(
            store.execute(&Request::Extend(lease)),
            Outcome::LeaseGone
        ));
        let late = store.execute(&Request::Txn(txn(&[], held(lease))));
        assert!(matches!(late, Outcome::Invalid), "{late:?}");
    });
}

#[test]
fn a_watch_tells_every_change_after_its_revision() {
    with_each_store(|store| {
        let first = commit(store, txn(&[], vec![put("w/1", 1)]));
        commit(store, txn(&[], vec![put("x", 1)]));
        let last = commit(store, txn(&[], vec![Change::delete("w/1".to_owned())]));
        let watch = Request::Watch {
            prefix: "w/".to_owned(),
            after: first,
            hold: Duration::ZERO,
        };
        let Outcome::News(news) = store.execute(&watch) else {
            panic!("no news");
        };
        assert_eq!(news.revision, last);
        let gone: Vec<Option<String>> = news.events.into_iter().map(|e| e.delete).collect();
        assert_eq!(gone, [Some("w/1".to_owned())]);
    });
}

#[test]
fn a_watch_from_too_far_back_is_told_so() {
    // Twice what is kept, in the fewest transactions, so in memory only.
    let shared = SharedState::new(Limits {
        value_bytes: 1024,
        txn_ops: 1000,
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
    assert!(matches!(store.execute(&watch), Outcome::TooOld));
}

/// What the limits refuse the store refuses too, and the other way round.
#[test]
fn limits_are_those_of_the_store() {
    with_each_store(|store| {
        let changes = |count: u64| (0..count).map(|n| put(&format!("k/{n}"), n)).collect();
        let long =
            |length: usize| vec![Change::put("k".to_owned(), Value::from("x".repeat(length)))];
        let conditions: Vec<String> = (0..65).map(|n| format!("c/{n}")).collect();
        let compared = |count: usize| {
            let some = conditions[..count]
                .iter()
                .map(|key| (key.as_str(), Version::ABSENT));
            txn(&some.collect::<Vec<_>>(), vec![put("k", 1)])
        };
        let cases = [
            (txn(&[], changes(16)), true),
            (txn(&[], changes(17)), false),
            (txn(&[], long(16 * 1024 - 2)), true),
            (txn(&[], long(16 * 1024 - 1)), false),
            (compared(64), true),
            (compared(65), false),
        ];
        for (txn, allowed) in cases {
            assert_eq!(LIMITS.check(&txn).is_ok(), allowed);
            let outcome = store.execute(&Request::Txn(txn));
            assert_eq!(
                matches!(outcome, Outcome::Committed(_)),
                allowed,
                "{outcome:?}"
            );
        }
    });
    let spaced = LIMITS.check(&txn(&[], vec![put("a key", 1)]));
    assert!(matches!(spaced, Err(LimitError::BadKey { .. })));
}

/// Nobody listens: nothing was sent. Somebody who never answers properly: nobody knows.
#[test]
fn a_client_without_an_answer_knows_what_it_does_not_know() {
    let address = lichencrank_testkit::http::serve(|_, _, _| (500, Value::Null));
    let mut client = BlockingClient::new(address, PATIENCE);
    let request = Request::Txn(txn(&[], vec![put("a", 1)]));
    assert!(matches!(client.execute(&request), Outcome::Unknown));
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let closed = nobody.local_addr().expect("its address");
    drop(nobody);
    let mut client = BlockingClient::new(closed, PATIENCE);
    assert!(matches!(client.execute(&request), Outcome::Refused));
}
