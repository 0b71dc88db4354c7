//! Which hosts of a lost zone are released first, and the displacement and provisioning budgets.

mod support;

use std::time::Duration;

use lichencrank_zones::{Candidate, Urgency, ZoneState};
use support::{idle_candidate, reachable, unreachable, urgency, Harness};

/// A harness with a healthy zone `a` and a lost zone `b`, with `hosts` hosts each.
fn lost_zone(hosts: usize) -> Harness {
    let mut harness = Harness::new();
    harness
        .observe("a", reachable(hosts, 0))
        .observe("b", unreachable(hosts, hosts));
    harness.advance_s(10);
    assert_eq!(harness.state("b"), ZoneState::Lost);
    harness
}

/// Offers one host of zone `b` for each urgency. Returns the indexes of the hosts that are released.
fn displace(harness: &mut Harness, urgencies: &[Urgency]) -> Vec<usize> {
    let candidates = urgencies.iter().enumerate();
    let candidates = candidates.map(|(host, urgency)| Candidate {
        urgency: *urgency,
        ..idle_candidate(host, "b")
    });
    harness.tracker.displace(candidates.collect(), harness.now)
}

/// The order depends on the priority, then the guarantee, then the deadline, then the least work lost, and not
/// on the order in which hosts are offered.
#[test]
fn hosts_with_urgent_tasks_are_released_first() {
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
    let released = displace(&mut harness, &urgencies);
    // The budget of 60 hosts is 6 at once, so the idle host waits.
    assert_eq!(released, [6, 5, 4, 3, 2, 1]);
    assert_eq!(
        harness.status("b").map(|status| status.waiting_hosts),
        Some(1)
    );
}

#[test]
fn a_zone_that_stays_lost_is_emptied_within_the_budget() {
    let mut harness = lost_zone(100);
    let mut remaining_hosts = 100;
    let mut max_released_per_minute = 0;
    let mut minutes = 0;
    while remaining_hosts > 0 {
        let mut released_in_this_minute = 0;
        for _ in 0..240 {
            let released = harness.displace_count("b", remaining_hosts);
            remaining_hosts -= released;
            released_in_this_minute += released;
            harness
                .observe("b", unreachable(remaining_hosts, remaining_hosts))
                .advance(support::STEP);
        }
        max_released_per_minute = max_released_per_minute.max(released_in_this_minute);
        minutes += 1;
        assert!(minutes < 10, "{remaining_hosts} hosts are not released");
    }
    // Ten at once and fifty per minute.
    assert!(
        max_released_per_minute <= 60,
        "{max_released_per_minute} released in a minute"
    );
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
    // A new loss of the zone doesn't refill the budget.
    harness.observe("b", reachable(40, 0)).advance_s(1);
    harness.observe("b", unreachable(40, 40)).advance_s(1);
    let limit = harness.tracker.provisioning_limit(harness.now);
    assert!(limit < Some(20), "{limit:?}");
}

#[test]
fn no_host_is_provisioned_in_a_suspected_or_lost_zone() {
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

/// Hosts that were not released before the zone responded again are not released afterwards.
#[test]
fn hosts_that_respond_again_are_no_longer_candidates() {
    let mut harness = Harness::new();
    harness
        .observe("a", reachable(10, 0))
        .observe("b", unreachable(10, 10));
    harness.advance_s(10);
    let released = harness.displace_count("b", 10);
    assert!(released < 10, "{released} released");
    harness
        .observe("b", reachable(10 - released, 0))
        .advance(Duration::from_millis(500));
    assert_eq!(harness.displace(&[]).len(), 0);
}

#[test]
fn hosts_of_a_suspected_zone_are_kept() {
    let mut harness = Harness::new();
    harness
        .observe("a", reachable(10, 0))
        .observe("b", unreachable(10, 10));
    harness.advance_s(1);
    assert_eq!(harness.displace(&["b"]), Vec::<usize>::new());
}
