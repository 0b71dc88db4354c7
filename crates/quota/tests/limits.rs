//! Bursts of requests from several clients at once that reach limits, guarantees and the capacity exactly.

mod support;

use std::collections::BTreeMap;

use lichencrank_quota::{AdmissionId, Priority, QuotaEvent, RejectReason, ResourceVector};
use support::{admission_id, admission_request, policy, team, Cluster};

const ALL_CLIENTS: [usize; 3] = [0, 1, 2];

/// Three clients are asked for 96 CPUs at the same time, which is exactly the limit.
#[test]
fn burst_exactly_at_the_limit_is_admitted_completely() {
    let mut cluster = Cluster::new(3, policy(None, &[("vision", 0, 96)]));
    for n in 0..96 {
        cluster.request(n % 3, &admission_id("vision", n, 1), 1.0);
    }
    cluster.run_until_quiet();
    assert_eq!(cluster.admitted_count(), 96);
    cluster.assert_used("vision", 96);
}

/// One request more than the limit allows: all but one are admitted, and the last one once any other has ended.
#[test]
fn one_request_above_the_limit_waits_until_any_work_ends() {
    let mut cluster = Cluster::new(3, policy(None, &[("vision", 0, 96)]));
    for n in 0..97 {
        cluster.request(n % 3, &admission_id("vision", n, 1), 1.0);
    }
    cluster.run_until_quiet();
    assert_eq!(cluster.admitted_count(), 96);
    let running = cluster.running.first().cloned().expect("work runs");
    cluster.finish_work(&running, 1);
    cluster.run_until_quiet();
    assert_eq!(cluster.admitted_count(), 97);
}

/// Fills 12 CPUs with small work, then requests a large admission while small requests keep arriving and small
/// work ends one by one. The large request has to start: as it fits into the limit, an answer to it is its admission.
fn flood_with_small_requests(mut cluster: Cluster, small_team: &str, large_team: &str) {
    for n in 0..12 {
        cluster.request(n % 3, &admission_id(small_team, n, 1), 1.0);
    }
    cluster.run_until_quiet();
    let large = admission_id(large_team, 99, 1);
    cluster.request(2, &large, 8.0);
    cluster.run_until_quiet();
    for round in 0..40 {
        for client in 0..2 {
            let small = admission_id(small_team, client, round + 10);
            cluster.request(client, &small, 1.0);
        }
        let running = cluster.running.first().cloned();
        if let Some(first) = running.filter(|first| *first != large) {
            cluster.finish_work(&first, 0);
        }
        cluster.run(&ALL_CLIENTS, 30, 10);
        if cluster.answers.contains_key(&large) {
            return;
        }
    }
    cluster.fail("the large request starves");
}

/// Guards against starvation within a team: freed resources go to the request that waits first, even if smaller
/// requests that would fit keep arriving.
#[test]
fn large_requests_are_not_starved_by_small_ones() {
    let cluster = Cluster::new(3, policy(None, &[("vision", 0, 12)]));
    flood_with_small_requests(cluster, "vision", "vision");
}

/// Guards against starvation between teams: the small requests are those of another team, and both teams borrow.
#[test]
fn team_is_not_starved_by_small_requests_of_another() {
    let cluster = Cluster::new(3, policy(Some(12), &[("a", 0, 12), ("b", 0, 12)]));
    flood_with_small_requests(cluster, "a", "b");
}

/// Three teams whose limits together exceed the capacity: borrowing must not use capacity that another team's
/// guarantee needs, regardless of the order of requests.
#[test]
fn guarantees_hold_while_others_flood() {
    let teams = [("a", 20, 100), ("b", 40, 100), ("c", 0, 100)];
    let mut cluster = Cluster::new(3, policy(Some(100), &teams));
    for n in 0..300 {
        let name = ["a", "c"][n % 2];
        cluster.request(n % 3, &admission_id(name, n, 1), 1.0);
    }
    cluster.run_until_quiet();
    let ledger = cluster.ledger();
    let flooded = ledger.used(&team("a")) + ledger.used(&team("c"));
    let expected = ResourceVector::from_cpus(60);
    assert_eq!(flooded, expected, "used by teams a and c");
    for n in 0..40 {
        cluster.request(n % 3, &admission_id("b", n, 1), 1.0);
    }
    cluster.run_until_quiet();
    cluster.assert_used("b", 40);
    cluster.assert_consistent();
}

fn revoked(cluster: &Cluster) -> Vec<AdmissionId> {
    let events = cluster.events.iter();
    let revoked = events.filter_map(|(_, event)| match event {
        QuotaEvent::Revoked(id) => Some(id.clone()),
        _ => None,
    });
    revoked.collect()
}

/// When the capacity shrinks, borrowed work is revoked, lowest priority first, and stays charged until it has
/// ended.
#[test]
fn borrowed_work_is_revoked_when_capacity_shrinks() {
    let teams = [("a", 20, 100), ("b", 40, 100)];
    let mut cluster = Cluster::new(3, policy(Some(100), &teams));
    for n in 0..60 {
        let mut request = admission_request(&admission_id("a", n, 1), 1.0);
        if n % 2 == 0 {
            request.priority = Priority::BestEffort;
        }
        cluster.clients[n % 3].request(request);
    }
    cluster.run_until_quiet();
    cluster.assert_used("a", 60);
    cluster.is_excess_allowed = true;
    cluster.clients[1].set_policy(policy(Some(80), &teams));
    cluster.run_until_quiet();
    let revoked = revoked(&cluster);
    assert_eq!(revoked.len(), 20, "{revoked:?}");
    let charges = cluster.ledger().charges;
    for id in &revoked {
        let priority = charges[id].priority;
        assert_eq!(priority, Priority::BestEffort, "{id} is revoked");
    }
    cluster.assert_used("a", 60);
    for id in &revoked {
        cluster.finish_work(id, 2);
    }
    cluster.run_until_quiet();
    cluster.is_excess_allowed = false;
    cluster.assert_used("a", 40);
    cluster.assert_consistent();
}

/// The capacity is smaller than the sum of the guarantees: nothing may be borrowed, but work within guarantees is
/// admitted.
#[test]
fn nothing_is_borrowed_if_guarantees_exceed_the_capacity() {
    let teams = [("a", 40, 100), ("b", 40, 100)];
    let mut cluster = Cluster::new(3, policy(Some(60), &teams));
    for n in 0..100 {
        let name = ["a", "b"][n % 2];
        cluster.request(n % 3, &admission_id(name, n, 1), 1.0);
    }
    cluster.run_until_quiet();
    cluster.assert_used("a", 40);
    cluster.assert_used("b", 40);
}

/// A limit is lowered below the usage of running work: the work goes on, unspent allowances are reclaimed, and no
/// more work starts before it fits.
#[test]
fn lowered_limit_admits_nothing_before_it_fits() {
    let mut cluster = Cluster::new(3, policy(None, &[("vision", 0, 60)]));
    for n in 0..30 {
        cluster.request(n % 3, &admission_id("vision", n, 1), 1.0);
    }
    cluster.run_until_quiet();
    cluster.is_excess_allowed = true;
    cluster.clients[0].set_policy(policy(None, &[("vision", 0, 20)]));
    cluster.run_until_quiet();
    assert_eq!(cluster.admitted_count(), 30);
    cluster.request(2, &admission_id("vision", 77, 1), 1.0);
    cluster.run_until_quiet();
    assert_eq!(cluster.admitted_count(), 30);
    let ending: Vec<AdmissionId> = cluster.running.iter().take(11).cloned().collect();
    for id in ending {
        cluster.finish_work(&id, 1);
    }
    cluster.run_until_quiet();
    cluster.is_excess_allowed = false;
    assert_eq!(cluster.admitted_count(), 31);
    cluster.assert_used("vision", 20);
}

/// A limit of 0 means no limit, and fractions add up exactly. Requests are rejected immediately if they are larger
/// than the limit, if the team is unknown, or if a name does not fit into a key.
#[test]
fn unusual_amounts_and_names_are_handled() {
    let teams = [("unlimited", 0, 0), ("small", 0, 3)];
    let mut cluster = Cluster::new(2, policy(None, &teams));
    for n in 0..200 {
        cluster.request(n % 2, &admission_id("unlimited", n, 1), 50.0);
    }
    for n in 0..40 {
        cluster.request(n % 2, &admission_id("small", n, 1), 0.1);
    }
    let rejected = [
        (
            0,
            admission_id("small", 98, 1),
            3.1,
            RejectReason::LargerThanLimit,
        ),
        (
            1,
            admission_id("unknown", 99, 1),
            1.0,
            RejectReason::UnknownTeam,
        ),
        (1, admission_id("", 99, 1), 1.0, RejectReason::InvalidName),
    ];
    for (client, id, cpus, _) in &rejected {
        cluster.request(*client, id, *cpus);
    }
    cluster.run_until_quiet();
    cluster.assert_used("unlimited", 10_000);
    cluster.assert_used("small", 3);
    for (_, id, _, reason) in rejected {
        let expected = vec![QuotaEvent::Rejected {
            id: id.clone(),
            reason,
        }];
        assert_eq!(cluster.answers.get(&id), Some(&expected), "answers to {id}");
    }
}

/// A request that is repeated at other clients, before or after its work ends, is the same admission.
#[test]
fn repeated_request_is_the_same_admission() {
    let mut cluster = Cluster::new(3, policy(None, &[("vision", 0, 10)]));
    let id = admission_id("vision", 1, 1);
    for client in ALL_CLIENTS {
        cluster.request(client, &id, 2.0);
    }
    cluster.run_until_quiet();
    assert_eq!(cluster.admitted_count(), 1);
    cluster.assert_used("vision", 2);
    cluster.finish_work(&id, 2);
    cluster.run_until_quiet();
    for client in ALL_CLIENTS {
        cluster.request(client, &id, 2.0);
    }
    cluster.run_until_quiet();
    assert_eq!(cluster.admitted_count(), 1);
    let last_events: Vec<_> = cluster.events.iter().rev().take(3).collect();
    for (_, event) in &last_events {
        let expected = QuotaEvent::AlreadyCompleted(id.clone());
        assert_eq!(*event, expected, "last events: {last_events:?}");
    }
    assert_eq!(last_events.len(), 3, "{last_events:?}");
    let request = admission_request(&id, 2.0);
    cluster.finish_everything(&BTreeMap::from([(id, request)]), &["vision"]);
}
