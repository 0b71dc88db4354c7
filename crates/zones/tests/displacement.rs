//! Which machines of a lost zone are given up first, and the budgets of displacement and provisioning.

mod support;

use std::time::Duration;

use lichencrank_zones::{Candidate, Urgency, ZoneState};
use support::{idle_candidate, reachable, unreachable, urgency, Harness};

/// Zone `b` of that many machines is lost.
fn lost_zone(hosts: usize) -> Harness {
    let mut harness = Harness::new();
    harness
        .observe("a", reachable(hosts, 0))
        .observe("b", unreachable(hosts, hosts));
    harness.advance_s(10);
    assert_eq!(harness.state("b"), ZoneState::Lost);
    harness
}

/// Offers a machine of zone `b` for each of these; returns the indexes of those that are given up.
fn displace(harness: &mut Harness, urgencies: &[Urgency]) -> Vec<usize> {
    let candidates = urgencies.iter().enumerate();
    let candidates = candidates.map(|(host, urgency)| Candidate {
        urgency: *urgency,
        ..idle_candidate(host, "b")
    });
    harness.tracker.displace(candidates.collect(), harness.now)
}

/// Whatever the order in which machines are offered: priority, then the guarantee, then the deadline,
/// then the least work lost.
#[test]
fn urgent_work_is_displaced_first() {
    let mut harness = lost_zone(60);
    let over_guarantee = Urgency {
        is_over_guarantee: true,
        ..urgency(1, 10)
    };
    let loses_more_work = Urgency {
        work_lost_ms: 500,
        ..urgency(1, 20)
    };
    let urgencies = [
        Urgency::IDLE,
        urgency(2, 1),
        over_guarantee,
        urgency(1, 30),
        loses_more_work,
        urgency(1, 20),
        urgency(0, 99),
    ];
    let order = displace(&mut harness, &urgencies);
    // The budget of 60 machines is 6 at once: the idle one waits.
    assert_eq!(order, [6, 5, 4, 3, 2, 1]);
    assert_eq!(
        harness.status("b").map(|status| status.waiting_hosts),
        Some(1)
    );
}

#[test]
fn a_zone_that_stays_lost_is_emptied_within_the_budget() {
    let mut harness = lost_zone(100);
    let mut left = 100;
    let mut max_in_a_minute = 0;
    let mut minutes = 0;
    while left > 0 {
        let mut in_this_minute = 0;
        for _ in 0..240 {
            let given_up = harness.displace_count("b", left);
            left -= given_up;
            in_this_minute += given_up;
            harness
                .observe("b", unreachable(left, left))
                .advance(support::STEP);
        }
        max_in_a_minute = max_in_a_minute.max(in_this_minute);
        minutes += 1;
        assert!(minutes < 10, "{left} machines are left");
    }
    // Ten at once and fifty a minute.
    assert!(max_in_a_minute <= 60, "{max_in_a_minute} in a minute");
}

#[test]
fn provisioning_is_limited_only_while_a_zone_is_lost() {
    let mut harness = Harness::new();
    harness
        .observe("a", reachable(40, 0))
        .observe("b", reachable(40, 0));
    assert_eq!(harness.tracker.provisioning_limit(harness.now), None);
    harness.observe("b", unreachable(40, 40)).advance_s(10);
    assert_eq!(harness.tracker.provisioning_limit(harness.now), Some(20));
    harness.tracker.on_provisioned(20);
    assert_eq!(harness.tracker.provisioning_limit(harness.now), Some(0));
    harness.advance_s(2);
    assert_eq!(harness.tracker.provisioning_limit(harness.now), Some(2));
    // The next loss finds the budget as the last one left it.
    harness.observe("b", reachable(40, 0)).advance_s(1);
    harness.observe("b", unreachable(40, 40)).advance_s(1);
    let limit = harness.tracker.provisioning_limit(harness.now);
    assert!(limit < Some(20), "{limit:?}");
}

#[test]
fn no_machine_is_provisioned_in_a_suspected_or_lost_zone() {
    let mut harness = Harness::new();
    harness
        .observe("a", reachable(10, 0))
        .observe("b", unreachable(10, 10));
    harness.advance_s(1);
    assert!(!harness.tracker.may_provision_in("b"));
    assert!(harness.tracker.may_provision_in("a"));
    harness.advance_s(10);
    assert!(!harness.tracker.may_provision_in("b"));
    harness.observe("b", reachable(10, 0)).advance_s(1);
    assert!(harness.tracker.may_provision_in("b"));
}

/// Nothing that was not released before the zone responded again is given up after it.
#[test]
fn machines_that_respond_again_are_no_candidates_any_more() {
    let mut harness = Harness::new();
    harness
        .observe("a", reachable(10, 0))
        .observe("b", unreachable(10, 10));
    harness.advance_s(10);
    let first = harness.displace_count("b", 10);
    assert!(first < 10, "{first} given up");
    harness
        .observe("b", reachable(10 - first, 0))
        .advance(Duration::from_millis(500));
    assert_eq!(harness.displace(&[]).len(), 0);
}

#[test]
fn machines_of_a_suspected_zone_are_kept() {
    let mut harness = Harness::new();
    harness
        .observe("a", reachable(10, 0))
        .observe("b", unreachable(10, 10));
    harness.advance_s(1);
    assert_eq!(harness.displace(&["b"]), Vec::<usize>::new());
}
