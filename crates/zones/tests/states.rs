//! What counts as a disrupted zone, the changes of state that follow, and isolated observers.

mod support;

use std::time::Duration;

use lichencrank_zones::{ControllerReach, HostObservation, ZoneState};
use support::{observation, reachable, unreachable, Harness};

#[test]
fn a_zone_is_suspected_then_lost_then_returns_then_is_healthy() {
    let mut harness = Harness::new();
    harness
        .observe("a", reachable(20, 0))
        .observe("b", reachable(20, 0));
    assert_eq!(harness.state("b"), ZoneState::Healthy);
    harness.observe("b", unreachable(20, 20)).advance_s(1);
    assert_eq!(harness.state("b"), ZoneState::Suspected);
    harness.advance_s(5);
    assert_eq!(harness.state("b"), ZoneState::Lost);
    harness.observe("b", reachable(20, 8)).advance_s(1);
    assert_eq!(harness.state("b"), ZoneState::Returning);
    harness.observe("b", reachable(20, 0)).advance_s(20);
    assert_eq!(harness.state("b"), ZoneState::Healthy);
}

/// A short disruption must not count as a loss.
#[test]
fn a_suspected_zone_that_responds_again_is_healthy_without_a_penalty() {
    let mut harness = Harness::new();
    harness
        .observe("a", reachable(20, 0))
        .observe("b", unreachable(20, 20));
    harness.advance_s(1);
    harness.observe("b", reachable(20, 0)).advance_s(1);
    assert_eq!(harness.state("b"), ZoneState::Healthy);
    assert_eq!(harness.penalty("b"), 0.0);
}

/// Hosts and controllers are judged together. Hosts that send heartbeats but don't receive commands count as
/// silent.
#[test]
fn a_zone_is_disrupted_if_most_hosts_are_silent_or_all_of_a_few_with_their_controllers() {
    use ControllerReach::{NoController, Reachable, Unreachable};
    let cases = [
        // One host alone proves nothing.
        (1, 1, Reachable, false),
        (1, 1, Unreachable, true),
        // Without a controller the hosts decide.
        (10, 6, NoController, true),
        (10, 5, NoController, false),
        (2, 2, NoController, false),
        // Controllers that answer don't prove that hosts can be reached, nor the other way round.
        (10, 9, Reachable, true),
        (10, 0, Unreachable, false),
    ];
    for (hosts, silent_hosts, controllers, is_disrupted) in cases {
        assert_eq!(
            observation(hosts, silent_hosts, controllers).is_disrupted(),
            is_disrupted,
            "{silent_hosts} of {hosts} hosts silent, controllers: {controllers:?}"
        );
    }
}

#[test]
fn spot_hosts_that_are_reclaimed_together_do_not_disrupt_a_zone() {
    let mut observation = reachable(0, 0);
    for _ in 0..9 {
        observation.add(HostObservation {
            is_silent: true,
            is_spot: true,
        });
    }
    for _ in 0..3 {
        observation.add(HostObservation {
            is_silent: false,
            is_spot: false,
        });
    }
    assert!(!observation.is_disrupted());
    observation.controllers = ControllerReach::Unreachable;
    assert!(observation.is_disrupted());
}

/// Hosts that are booting are not counted: they neither make a zone lost nor prevent that.
#[test]
fn a_zone_whose_hosts_are_all_booting_is_healthy() {
    let mut harness = Harness::new();
    harness
        .observe("a", reachable(5, 0))
        .observe("b", unreachable(0, 0));
    harness.advance_s(60);
    assert_eq!(harness.state("b"), ZoneState::Healthy);
}

#[test]
fn an_observer_that_finds_all_zones_disrupted_releases_nothing_until_the_timeout() {
    let mut harness = Harness::new();
    harness
        .observe("a", unreachable(20, 20))
        .observe("b", unreachable(20, 20));
    harness.advance_s(60);
    assert_eq!(harness.state("a"), ZoneState::Suspected);
    assert_eq!(harness.state("b"), ZoneState::Suspected);
    assert!(harness.displace(&["a", "b"]).is_empty());
    // After the isolation timeout, hosts of zones that don't return are released all the same.
    harness.advance_s(120);
    assert_eq!(harness.state("a"), ZoneState::Lost);
    assert!(!harness.displace(&["a"]).is_empty());
}

#[test]
fn a_second_zone_is_lost_during_the_return_of_the_first() {
    let mut harness = Harness::new();
    for zone in ["a", "b", "c"] {
        harness.observe(zone, reachable(10, 0));
    }
    harness.observe("b", unreachable(10, 10)).advance_s(10);
    harness
        .observe("b", reachable(10, 1))
        .observe("c", unreachable(10, 10));
    harness.advance_s(8);
    assert_eq!(harness.state("b"), ZoneState::Returning);
    assert_eq!(harness.state("c"), ZoneState::Lost);
}

#[test]
fn a_zone_that_is_lost_again_during_its_return_is_lost_at_once() {
    let mut harness = Harness::new();
    harness
        .observe("a", reachable(10, 0))
        .observe("b", unreachable(10, 10));
    harness.advance_s(10);
    harness.observe("b", reachable(10, 0)).advance_s(2);
    assert_eq!(harness.state("b"), ZoneState::Returning);
    harness
        .observe("b", unreachable(10, 10))
        .advance(Duration::from_millis(500));
    assert_eq!(harness.state("b"), ZoneState::Lost);
    assert!(harness.penalty("b") > 1500.0);
}

/// No host is left that could respond, so the controllers decide.
#[test]
fn a_zone_without_hosts_returns_when_its_controllers_answer() {
    let mut harness = Harness::new();
    harness
        .observe("a", reachable(10, 0))
        .observe("b", unreachable(10, 10));
    harness.advance_s(10);
    harness.observe("b", unreachable(0, 0)).advance_s(10);
    assert_eq!(harness.state("b"), ZoneState::Lost);
    harness
        .observe("b", observation(0, 0, ControllerReach::Reachable))
        .advance(Duration::from_millis(500));
    assert_eq!(harness.state("b"), ZoneState::Returning);
}

/// Otherwise a lost zone without hosts whose controllers never answer again would never get new hosts.
#[test]
fn a_lost_zone_without_hosts_is_tried_again_after_the_timeout() {
    let mut harness = Harness::new();
    harness
        .observe("a", reachable(10, 0))
        .observe("b", unreachable(10, 10));
    harness.advance_s(10);
    harness.observe("b", unreachable(0, 0)).advance_s(130);
    assert!(harness.tracker.may_provision_in("b"));
}

/// A zone is not healthy while many of its hosts are silent; these are released within the budget.
#[test]
fn a_zone_keeps_returning_until_the_silent_hosts_are_released() {
    let mut harness = Harness::new();
    harness
        .observe("a", reachable(10, 0))
        .observe("b", unreachable(40, 40));
    harness.advance_s(10);
    harness.observe("b", reachable(40, 15)).advance_s(60);
    assert_eq!(harness.state("b"), ZoneState::Returning);
    let released = harness.displace_count("b", 15);
    assert!((1..15).contains(&released), "{released} released");
    harness.observe("b", reachable(25, 0)).advance_s(1);
    assert_eq!(harness.state("b"), ZoneState::Healthy);
}
