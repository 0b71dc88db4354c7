//! Bursts that land exactly at limits, from several clients at once.

mod support;

use std::collections::BTreeMap;

use lichencrank_quota::{Priority, QuotaEvent, RejectReason, ResourceVector};
use support::{id, policy, request, team, Cluster};

fn admitted(cluster: &Cluster) -> usize {
    let events = cluster.events.iter();
    events
        .filter(|(_, d)| matches!(d, QuotaEvent::Admitted(_)))
        .count()
}

/// Ninety-six CPUs are asked for at three clients at the same instant, and there are as many.
#[test]
fn a_burst_exactly_at_the_limit_is_admitted_whole() {
    let mut cluster = Cluster::new(3, policy(None, &[("vision", 0, 96)]));
    for n in 0..96 {
        cluster.clients[n % 3].request(request(&id("vision", n, 1), 1.0));
    }
    cluster.settle();
    assert_eq!(admitted(&cluster), 96);
    assert_eq!(
        cluster.ledger().used(&team("vision")),
        ResourceVector::from_cpus(96)
    );
}

/// One more than there are: all but one begin, and the last begins once any of them has ended.
#[test]
fn one_above_the_limit_waits_for_the_first_that_ends() {
    let mut cluster = Cluster::new(3, policy(None, &[("vision", 0, 96)]));
    for n in 0..97 {
        cluster.clients[n % 3].request(request(&id("vision", n, 1), 1.0));
    }
    cluster.settle();
    assert_eq!(admitted(&cluster), 96);
    let some = cluster.running.first().cloned().expect("work runs");
    cluster.finish(&some, 1);
    cluster.settle();
    assert_eq!(admitted(&cluster), 97);
}

/// Fills twelve CPUs with small work, then asks for a large piece while small requests keep coming and
/// small work ends one by one. The large one has to begin.
fn flood_with_small_requests(mut cluster: Cluster, small: &str, large: &str) {
    for n in 0..12 {
        cluster.clients[n % 3].request(request(&id(small, n, 1), 1.0));
    }
    cluster.settle();
    let large = id(large, 99, 1);
    cluster.clients[2].request(request(&large, 8.0));
    cluster.settle();
    for round in 0..40u32 {
        for client in 0..2 {
            cluster.clients[client].request(request(&id(small, client, round + 10), 1.0));
        }
        let running = cluster.running.first().cloned();
        if let Some(first) = running.filter(|first| *first != large) {
            cluster.finish(&first, 0);
        }
        for _ in 0..30 {
            for n in 0..3 {
                cluster.step(n);
            }
            cluster.advance(10);
        }
        if cluster.answers.contains_key(&large) {
            return;
        }
    }
    cluster.fail("the large request is starved");
}

/// The last unit goes to whoever waits first, also if others ask for smaller parts all the time.
#[test]
fn large_requests_are_not_starved_by_small_ones() {
    let cluster = Cluster::new(3, policy(None, &[("vision", 0, 12)]));
    flood_with_small_requests(cluster, "vision", "vision");
}

/// The same where the small requests are those of another team, and both borrow.
#[test]
fn a_team_is_not_starved_by_small_requests_of_another() {
    let cluster = Cluster::new(3, policy(Some(12), &[("a", 0, 12), ("b", 0, 12)]));
    flood_with_small_requests(cluster, "a", "b");
}

/// Three teams at once on machines that don't have all limits together: no borrowing takes what
/// another team's guarantee needs, whoever comes first.
#[test]
fn guarantees_hold_while_others_flood() {
    let teams = [("a", 20, 100), ("b", 40, 100), ("c", 0, 100)];
    let mut cluster = Cluster::new(3, policy(Some(100), &teams));
    for n in 0..300 {
        let name = ["a", "c"][n % 2];
        cluster.clients[n % 3].request(request(&id(name, n, 1), 1.0));
    }
    cluster.settle();
    let ledger = cluster.ledger();
    let flooded = ledger.used(&team("a")) + ledger.used(&team("c"));
    assert_eq!(flooded, ResourceVector::from_cpus(60));
    for n in 0..40 {
        cluster.clients[n % 3].request(request(&id("b", n, 1), 1.0));
    }
    cluster.settle();
    assert_eq!(
        cluster.ledger().used(&team("b")),
        ResourceVector::from_cpus(40)
    );
    assert_eq!(cluster.ledger().audit(), []);
}

/// Capacity shrinks: borrowed work is told to end, the least urgent first, and counts until it has.
#[test]
fn borrowed_work_ends_when_capacity_shrinks() {
    let teams = [("a", 20, 100), ("b", 40, 100)];
    let mut cluster = Cluster::new(3, policy(Some(100), &teams));
    for n in 0..60 {
        let mut asked = request(&id("a", n, 1), 1.0);
        if n % 2 == 0 {
            asked.priority = Priority::BestEffort;
        }
        cluster.clients[n % 3].request(asked);
    }
    cluster.settle();
    assert_eq!(
        cluster.ledger().used(&team("a")),
        ResourceVector::from_cpus(60)
    );
    cluster.lenient = true;
    cluster.clients[1].set_policy(policy(Some(80), &teams));
    cluster.settle();
    let events = cluster.events.iter();
    let revoked: Vec<_> = events
        .filter_map(|(_, d)| match d {
            QuotaEvent::Revoked(id) => Some(id.clone()),
            _ => None,
        })
        .collect();
    let ledger = cluster.ledger();
    assert_eq!(revoked.len(), 20, "{revoked:?}");
    assert!(revoked
        .iter()
        .all(|id| ledger.charges[id].priority == Priority::BestEffort));
    assert_eq!(ledger.used(&team("a")), ResourceVector::from_cpus(60));
    for id in &revoked {
        cluster.finish(id, 2);
    }
    cluster.settle();
    cluster.lenient = false;
    assert_eq!(
        cluster.ledger().used(&team("a")),
        ResourceVector::from_cpus(40)
    );
    assert_eq!(cluster.ledger().audit(), []);
}

/// Machines that don't even have the guarantees: nothing is borrowed, guarantees are admitted.
#[test]
fn nothing_is_borrowed_below_the_guarantees() {
    let teams = [("a", 40, 100), ("b", 40, 100)];
    let mut cluster = Cluster::new(3, policy(Some(60), &teams));
    for n in 0..100 {
        cluster.clients[n % 3].request(request(&id(["a", "b"][n % 2], n, 1), 1.0));
    }
    cluster.settle();
    assert_eq!(
        cluster.ledger().used(&team("a")),
        ResourceVector::from_cpus(40)
    );
    assert_eq!(
        cluster.ledger().used(&team("b")),
        ResourceVector::from_cpus(40)
    );
}

/// A limit is lowered under running work: that goes on, what is unspent is recalled, nothing begins
/// before it fits.
#[test]
fn a_lowered_limit_admits_nothing_before_it_fits() {
    let mut cluster = Cluster::new(3, policy(None, &[("vision", 0, 60)]));
    for n in 0..30 {
        cluster.clients[n % 3].request(request(&id("vision", n, 1), 1.0));
    }
    cluster.settle();
    cluster.lenient = true;
    cluster.clients[0].set_policy(policy(None, &[("vision", 0, 20)]));
    cluster.settle();
    let before = admitted(&cluster);
    assert_eq!(before, 30);
    cluster.clients[2].request(request(&id("vision", 77, 1), 1.0));
    cluster.settle();
    assert_eq!(admitted(&cluster), before);
    let running: Vec<_> = cluster.running.iter().take(11).cloned().collect();
    for id in running {
        cluster.finish(&id, 1);
    }
    cluster.settle();
    cluster.lenient = false;
    assert_eq!(admitted(&cluster), before + 1);
    assert_eq!(
        cluster.ledger().used(&team("vision")),
        ResourceVector::from_cpus(20)
    );
}

/// Zero is no limit; a task larger than the limit, or of a team that nobody knows, is turned down at
/// once; fractions add up exactly.
#[test]
fn odd_amounts_are_defined() {
    let teams = [("open", 0, 0), ("small", 0, 3)];
    let mut cluster = Cluster::new(2, policy(None, &teams));
    for n in 0..200 {
        cluster.clients[n % 2].request(request(&id("open", n, 1), 50.0));
    }
    for n in 0..40 {
        cluster.clients[n % 2].request(request(&id("small", n, 1), 0.1));
    }
    cluster.clients[0].request(request(&id("small", 98, 1), 3.1));
    cluster.clients[1].request(request(&id("nobody", 99, 1), 1.0));
    cluster.clients[1].request(request(&id("", 99, 1), 1.0));
    cluster.settle();
    let ledger = cluster.ledger();
    assert_eq!(
        ledger.used(&team("open")),
        ResourceVector::from_cpus(10_000)
    );
    assert_eq!(ledger.used(&team("small")), ResourceVector::from_cpus(3));
    let events = cluster.events.iter();
    let reasons: Vec<RejectReason> = events
        .filter_map(|(_, d)| match d {
            QuotaEvent::Rejected { reason, .. } => Some(*reason),
            _ => None,
        })
        .collect();
    for reason in [
        RejectReason::LargerThanLimit,
        RejectReason::UnknownTeam,
        RejectReason::InvalidName,
    ] {
        assert!(reasons.contains(&reason), "{reasons:?}");
    }
}

/// Repeats at other clients, before and after the end, are the same admission.
#[test]
fn a_repeat_is_the_same_admission() {
    let mut cluster = Cluster::new(3, policy(None, &[("vision", 0, 10)]));
    let one = id("vision", 1, 1);
    let asked = request(&one, 2.0);
    for client in &mut cluster.clients {
        client.request(asked.clone());
    }
    cluster.settle();
    assert_eq!(admitted(&cluster), 1);
    assert_eq!(
        cluster.ledger().used(&team("vision")),
        ResourceVector::from_cpus(2)
    );
    cluster.finish(&one, 2);
    cluster.settle();
    for client in &mut cluster.clients {
        client.request(asked.clone());
    }
    cluster.settle();
    assert_eq!(admitted(&cluster), 1);
    let last = cluster.events.iter().rev().take(3);
    let settled = last.filter(|(_, d)| *d == QuotaEvent::AlreadyCompleted(one.clone()));
    assert_eq!(settled.count(), 3);
    let all = BTreeMap::from([(one, asked)]);
    cluster.wind_up(&all, &["vision"]);
}
