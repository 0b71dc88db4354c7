//! Requests to the state service under a budget that does not suffice: what goes first, and that
//! nothing waits without end.

use std::collections::BTreeMap;
use std::time::Duration;

use lichencrank::storage::store::{RequestClass, StoreClient, StoreRequest, StoreRequestId};
use lichencrank::transport::{CallError, CallId, Response};
use lichencrank::types::{LeaseId, Time};
use lichencrank_store::rate_limit::node_share;
use lichencrank_store::{Change, Txn};

fn write(changes: usize) -> StoreRequest {
    let mut txn = Txn::default();
    for number in 0..changes {
        txn.changes.push(Change::delete(format!("k/{number}")));
    }
    StoreRequest::Txn(txn)
}

/// Plays ten seconds with the given arrivals every 100 ms; returns how long each request of the
/// class waited until it was sent, `None` for those refused.
fn play(
    store: &mut StoreClient,
    watched: RequestClass,
    flood: &[(RequestClass, usize)],
) -> Vec<Option<u64>> {
    let limit = Duration::from_millis(1700);
    let mut asked: BTreeMap<StoreRequestId, u64> = BTreeMap::new();
    let mut waits = Vec::new();
    for now in 0..10_000u64 {
        if now % 100 == 0 {
            for (class, changes) in flood {
                for _ in 0..6 {
                    store.enqueue(Time(now), *class, write(*changes), limit);
                }
            }
            let ask = match watched {
                RequestClass::Lease => StoreRequest::RenewLease(LeaseId(1)),
                _ => StoreRequest::Get("live/job-000001".into()),
            };
            asked.insert(store.enqueue(Time(now), watched, ask, limit), now);
        }
        while let Some(next) = store.next_outgoing(Time(now), true) {
            let (id, sent) = match next {
                Ok(out) => (out.id, true),
                Err(id) => (id, false),
            };
            if let Some(at) = asked.remove(&id) {
                waits.push(sent.then_some(now - at));
            }
        }
    }
    waits
}

/// A backlog of submissions and bookings, beyond both budgets, used to leave polls unanswered for
/// as long as it lasted: their jobs counted as forgotten.
#[test]
fn polls_are_answered_beside_a_backlog_of_writes() {
    let mut store = StoreClient::new(40.0, 12.0);
    let waits = play(
        &mut store,
        RequestClass::Read,
        &[(RequestClass::User, 1), (RequestClass::Records, 6)],
    );
    assert!(waits.len() > 80, "{} were looked at", waits.len());
    let refused = waits.iter().filter(|w| w.is_none()).count();
    assert_eq!(refused, 0, "{waits:?}");
}

/// Operators see in the log how much waits, and for how long.
#[test]
fn a_backlog_tells_its_length_and_age() {
    let mut store = StoreClient::new(2.0, 2.0);
    assert_eq!(store.request_backlog(Time(0)), (0, Duration::ZERO));
    for now in [0, 100, 200, 300] {
        store.enqueue(
            Time(now),
            RequestClass::Read,
            StoreRequest::Get("types".into()),
            Duration::from_secs(2),
        );
    }
    while let Some(next) = store.next_outgoing(Time(300), true) {
        assert!(next.is_ok());
    }
    assert_eq!(
        store.request_backlog(Time(450)),
        (2, Duration::from_millis(250))
    );
}

#[test]
fn the_lease_waits_for_nothing() {
    let mut store = StoreClient::new(5.0, 2.0);
    let waits = play(
        &mut store,
        RequestClass::Lease,
        &[(RequestClass::User, 1), (RequestClass::Records, 6)],
    );
    assert!(waits.len() == 100);
    assert!(waits.iter().all(|w| *w == Some(0)), "{waits:?}");
}

/// A booking may not take the writes that a submission waits for.
#[test]
fn submissions_get_writes_before_bookings() {
    let mut store = StoreClient::new(100.0, 6.0);
    let limit = Duration::from_millis(1700);
    let mut sent = BTreeMap::new();
    let mut classes = BTreeMap::new();
    for now in 0..5000u64 {
        if now % 100 == 0 {
            for class in [RequestClass::Records, RequestClass::User] {
                classes.insert(store.enqueue(Time(now), class, write(1), limit), class);
            }
        }
        while let Some(next) = store.next_outgoing(Time(now), true) {
            if let Ok(out) = next {
                *sent.entry(classes[&out.id]).or_insert(0) += 1;
            }
        }
    }
    assert!(
        sent[&RequestClass::User] >= 3 * sent[&RequestClass::Records],
        "{sent:?}"
    );
}

/// Three nodes that each took half of a budget overran it together, and renewals were refused with
/// the rest. What they take settles at no more than there is, and one alone gets nearly all.
#[test]
fn nodes_share_a_budget_by_what_each_wants() {
    let settle = |wants: &[f64]| {
        let mut spends = vec![0.0; wants.len()];
        for round in 0..20 {
            let before = spends.clone();
            // Not all hear of the others at the same moment.
            let node = round % wants.len();
            let others = before.iter().sum::<f64>() - before[node];
            spends[node] = node_share(100.0, wants.len(), others).min(wants[node]);
        }
        spends
    };
    assert_eq!(settle(&[500.0, 0.0, 0.0]), [100.0, 0.0, 0.0]);
    let crowded = settle(&[500.0, 500.0, 500.0]);
    assert!(crowded.iter().sum::<f64>() <= 100.0 + 1e-6, "{crowded:?}");
    assert!(crowded.iter().all(|s| *s >= 33.0), "{crowded:?}");
    let mixed = settle(&[500.0, 10.0, 20.0]);
    assert!((mixed[0] - 70.0).abs() < 1e-6, "{mixed:?}");
}

/// When the state service answers slowly, requests used to be given up before their answers came,
/// all of them. Transactions that are lost one by one while all else is quick are no such sign.
#[test]
fn patience_follows_what_answers_take() {
    let mut store = StoreClient::new(1000.0, 1000.0);
    let mut serial = 0;
    let mut play = |store: &mut StoreClient, ask: StoreRequest, took: u64, lost: bool| {
        serial += 1;
        let at = Time(serial * 10_000);
        store.enqueue(at, RequestClass::Read, ask, Duration::from_secs(2));
        let Some(Ok(out)) = store.next_outgoing(at, true) else {
            panic!("the budget allows it")
        };
        store.on_sent(out.id, CallId(serial));
        let answer = if lost {
            Err(CallError::Lost)
        } else {
            Ok(Response::new(404, Vec::new()))
        };
        store.on_response(Time(at.0 + took), CallId(serial), answer);
    };
    let get = || StoreRequest::Get("types".into());
    let usual = store.response_timeout();
    for _ in 0..5 {
        play(&mut store, get(), 8, false);
        play(&mut store, write(1), 450, true);
    }
    assert_eq!(store.response_timeout(), usual);
    play(&mut store, get(), 400, false);
    assert_eq!(store.response_timeout(), Duration::from_millis(1200));
    play(&mut store, get(), 1200, true);
    assert_eq!(store.response_timeout(), Duration::from_millis(1500));
    for _ in 0..40 {
        play(&mut store, get(), 8, false);
    }
    assert_eq!(store.response_timeout(), usual);
}
