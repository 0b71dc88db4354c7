//! The queue of requests to the state service when the rate limits don't suffice: which requests are sent first, and
//! that none waits without end.

use std::collections::BTreeMap;
use std::time::Duration;

use lichencrank::storage::store::{RequestClass, StoreClient, StoreRequest, StoreRequestId};
use lichencrank::transport::{CallError, CallId, Response};
use lichencrank::types::{LeaseId, Time};
use lichencrank_store::rate_limit::client_share;
use lichencrank_store::{Change, Txn};

/// A transaction with the given number of changes.
fn write_request(changes: usize) -> StoreRequest {
    let mut txn = Txn::default();
    for number in 0..changes {
        txn.changes.push(Change::delete(format!("k/{number}")));
    }
    StoreRequest::Txn(txn)
}

/// Runs the queue for ten seconds. Every 100 ms it gets one request of `observed_class`, and for each entry of `load`
/// six transactions of that class, each with the given number of changes. Returns how long each request of `observed_class`
/// waited until it was sent, in milliseconds; `None` for each that was refused.
fn waits_under_load(
    store: &mut StoreClient,
    observed_class: RequestClass,
    load: &[(RequestClass, usize)],
) -> Vec<Option<u64>> {
    let response_timeout = Duration::from_millis(1700);
    let mut enqueued_at_ms: BTreeMap<StoreRequestId, u64> = BTreeMap::new();
    let mut waits_ms = Vec::new();
    for now_ms in 0..10_000u64 {
        if now_ms % 100 == 0 {
            for (class, changes) in load {
                for _ in 0..6 {
                    store.enqueue(
                        Time(now_ms),
                        *class,
                        write_request(*changes),
                        response_timeout,
                    );
                }
            }
            let request = match observed_class {
                RequestClass::Lease => StoreRequest::RenewLease(LeaseId(1)),
                _ => StoreRequest::Get("live/job-000001".into()),
            };
            enqueued_at_ms.insert(
                store.enqueue(Time(now_ms), observed_class, request, response_timeout),
                now_ms,
            );
        }
        while let Some(next) = store.next_outgoing(Time(now_ms), true) {
            let (id, is_sent) = match next {
                Ok(outgoing) => (outgoing.id, true),
                Err(id) => (id, false),
            };
            if let Some(enqueued_at) = enqueued_at_ms.remove(&id) {
                waits_ms.push(is_sent.then_some(now_ms - enqueued_at));
            }
        }
    }
    waits_ms
}

/// While there was a backlog of submissions and records of the leader beyond both rate limits, status queries used to
/// get no response, and their jobs counted as lost.
#[test]
fn status_queries_are_sent_beside_a_backlog_of_writes() {
    let mut store = StoreClient::new(40.0, 12.0);
    let waits_ms = waits_under_load(
        &mut store,
        RequestClass::Read,
        &[(RequestClass::User, 1), (RequestClass::Records, 6)],
    );
    assert!(
        waits_ms.len() > 80,
        "only {} requests were sent or refused",
        waits_ms.len()
    );
    let refused = waits_ms.iter().filter(|wait| wait.is_none()).count();
    assert_eq!(refused, 0, "{waits_ms:?}");
}

/// The log shows operators how many requests the rate limits hold back, and for how long.
#[test]
fn the_backlog_has_the_count_and_the_age_of_waiting_requests() {
    let mut store = StoreClient::new(2.0, 2.0);
    assert_eq!(store.request_backlog(Time(0)), (0, Duration::ZERO));
    for now_ms in [0, 100, 200, 300] {
        store.enqueue(
            Time(now_ms),
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
fn lease_renewals_are_sent_at_once() {
    let mut store = StoreClient::new(5.0, 2.0);
    let waits_ms = waits_under_load(
        &mut store,
        RequestClass::Lease,
        &[(RequestClass::User, 1), (RequestClass::Records, 6)],
    );
    assert!(waits_ms.len() == 100);
    assert!(waits_ms.iter().all(|wait| *wait == Some(0)), "{waits_ms:?}");
}

/// Records of the leader must not use the changes that a submission waits for.
#[test]
fn submissions_get_changes_before_records_of_the_leader() {
    let mut store = StoreClient::new(100.0, 6.0);
    let response_timeout = Duration::from_millis(1700);
    let mut sent_by_class = BTreeMap::new();
    let mut class_by_id = BTreeMap::new();
    for now_ms in 0..5000u64 {
        if now_ms % 100 == 0 {
            for class in [RequestClass::Records, RequestClass::User] {
                class_by_id.insert(
                    store.enqueue(Time(now_ms), class, write_request(1), response_timeout),
                    class,
                );
            }
        }
        while let Some(next) = store.next_outgoing(Time(now_ms), true) {
            if let Ok(outgoing) = next {
                *sent_by_class.entry(class_by_id[&outgoing.id]).or_insert(0) += 1;
            }
        }
    }
    assert!(
        sent_by_class[&RequestClass::User] >= 3 * sent_by_class[&RequestClass::Records],
        "{sent_by_class:?}"
    );
}

/// Three nodes that each used half of a rate limit exceeded it together, and the state service refused their requests,
/// lease renewals included. The nodes' rates have to settle within the limit, and a node that is the only one with demand
/// gets all of it.
#[test]
fn nodes_share_a_rate_limit_by_their_demand() {
    let settled_rates = |demands_per_s: &[f64]| {
        let mut rates_per_s = vec![0.0; demands_per_s.len()];
        for round in 0..20 {
            let known_rates_per_s = rates_per_s.clone();
            // The nodes learn of each other's rates at different times, so they adapt one by one.
            let node = round % demands_per_s.len();
            let others_per_s = known_rates_per_s.iter().sum::<f64>() - known_rates_per_s[node];
            rates_per_s[node] =
                client_share(100.0, demands_per_s.len(), others_per_s).min(demands_per_s[node]);
        }
        rates_per_s
    };
    assert_eq!(settled_rates(&[500.0, 0.0, 0.0]), [100.0, 0.0, 0.0]);
    let crowded = settled_rates(&[500.0, 500.0, 500.0]);
    assert!(crowded.iter().sum::<f64>() <= 100.0 + 1e-6, "{crowded:?}");
    assert!(crowded.iter().all(|rate| *rate >= 33.0), "{crowded:?}");
    let mixed = settled_rates(&[500.0, 10.0, 20.0]);
    assert!((mixed[0] - 70.0).abs() < 1e-6, "{mixed:?}");
}

/// While the state service was slow, every request used to time out before its response arrived. The timeout grows
/// with the response times, but not if single transactions are lost while everything else is fast.
#[test]
fn the_response_timeout_follows_the_response_times() {
    let mut store = StoreClient::new(1000.0, 1000.0);
    let mut call_number = 0;
    // Sends a request, and after `response_time_ms` delivers a response or the loss of the call.
    let mut exchange =
        |store: &mut StoreClient, request: StoreRequest, response_time_ms: u64, is_lost: bool| {
            call_number += 1;
            let sent_at = Time(call_number * 10_000);
            store.enqueue(sent_at, RequestClass::Read, request, Duration::from_secs(2));
            let Some(Ok(outgoing)) = store.next_outgoing(sent_at, true) else {
                panic!("the rate limit allows the request")
            };
            store.on_sent(outgoing.id, CallId(call_number));
            let result = if is_lost {
                Err(CallError::Lost)
            } else {
                Ok(Response::new(404, Vec::new()))
            };
            store.on_response(
                Time(sent_at.0 + response_time_ms),
                CallId(call_number),
                result,
            );
        };
    let get = || StoreRequest::Get("types".into());
    let initial_timeout = store.response_timeout();
    for _ in 0..5 {
        exchange(&mut store, get(), 8, false);
        exchange(&mut store, write_request(1), 450, true);
    }
    assert_eq!(store.response_timeout(), initial_timeout);
    exchange(&mut store, get(), 400, false);
    assert_eq!(store.response_timeout(), Duration::from_millis(1200));
    exchange(&mut store, get(), 1200, true);
    assert_eq!(store.response_timeout(), Duration::from_millis(1500));
    for _ in 0..40 {
        exchange(&mut store, get(), 8, false);
    }
    assert_eq!(store.response_timeout(), initial_timeout);
}
