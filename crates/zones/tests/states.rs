//! What counts as a lost zone, as a return, and as the observer being cut off itself.

mod support;

use lichencrank_zones::{Candidate, ControllerReach, Urgency, ZoneState};
use support::{observation, seen, unreachable, World};

#[test]
fn a_zone_is_suspected_then_lost_then_returns_then_is_healthy() {
    let mut world = World::new();
    world
        .see("a", observation(20, 0))
        .see("b", observation(20, 0));
    assert_eq!(world.state("b"), ZoneState::Healthy);
    world.see("b", unreachable(20, 20)).after(1.0);
    assert_eq!(world.state("b"), ZoneState::Suspected);
    world.after(5.0);
    assert_eq!(world.state("b"), ZoneState::Lost);
    world.see("b", observation(20, 8)).after(1.0);
    assert_eq!(world.state("b"), ZoneState::Returning);
    world.see("b", observation(20, 0)).after(20.0);
    assert_eq!(world.state("b"), ZoneState::Healthy);
}

/// A short break must not count as a loss.
#[test]
fn a_suspected_zone_that_is_heard_again_is_healthy_without_a_penalty() {
    let mut world = World::new();
    world
        .see("a", observation(20, 0))
        .see("b", unreachable(20, 20));
    world.after(1.0);
    world.see("b", observation(20, 0)).after(1.0);
    assert_eq!(world.state("b"), ZoneState::Healthy);
    assert_eq!(world.penalty("b"), 0.0);
}

#[test]
fn a_zone_of_one_machine_is_lost_only_together_with_its_controllers() {
    let alone = seen(1, 1, ControllerReach::Reachable);
    assert!(!alone.is_disrupted());
    assert!(seen(1, 1, ControllerReach::Unreachable).is_disrupted());
}

#[test]
fn a_zone_without_a_controller_is_judged_by_its_machines() {
    assert!(seen(10, 6, ControllerReach::NoController).is_disrupted());
    assert!(!seen(10, 5, ControllerReach::NoController).is_disrupted());
    assert!(!seen(2, 2, ControllerReach::NoController).is_disrupted());
}

/// Machines that report but don't hear are counted as silent by the caller; machines that answer
/// probes but don't report are too. Either way most of them have to be out of reach.
#[test]
fn controllers_that_answer_do_not_prove_that_machines_hear() {
    assert!(seen(10, 9, ControllerReach::Reachable).is_disrupted());
    assert!(!seen(10, 0, ControllerReach::Unreachable).is_disrupted());
}

#[test]
fn spot_machines_that_are_taken_back_together_are_no_lost_zone() {
    let mut zone = observation(0, 0);
    for _ in 0..9 {
        zone.count(true, true);
    }
    for _ in 0..3 {
        zone.count(false, false);
    }
    assert!(!zone.is_disrupted());
    zone.controllers = ControllerReach::Unreachable;
    assert!(zone.is_disrupted());
}

/// Machines that boot are not counted, so they neither make a zone lost nor keep it from it.
#[test]
fn a_zone_in_which_machines_only_boot_is_healthy() {
    let mut world = World::new();
    world
        .see("a", observation(5, 0))
        .see("b", unreachable(0, 0));
    world.after(60.0);
    assert_eq!(world.state("b"), ZoneState::Healthy);
}

#[test]
fn with_all_zones_silent_the_observer_is_cut_off_and_nothing_moves() {
    let mut world = World::new();
    world
        .see("a", unreachable(20, 20))
        .see("b", unreachable(20, 20));
    world.after(60.0);
    assert_eq!(world.state("a"), ZoneState::Suspected);
    assert_eq!(world.state("b"), ZoneState::Suspected);
    assert!(world.displace(&["a", "b"]).is_empty());
    // A zone that never comes back is not waited for for ever.
    world.after(120.0);
    assert_eq!(world.state("a"), ZoneState::Lost);
    assert!(!world.displace(&["a"]).is_empty());
}

/// The second zone goes while the first one returns: both are handled, neither is forgotten.
#[test]
fn a_second_zone_is_lost_during_the_return_of_the_first() {
    let mut world = World::new();
    for zone in ["a", "b", "c"] {
        world.see(zone, observation(10, 0));
    }
    world.see("b", unreachable(10, 10)).after(10.0);
    world
        .see("b", observation(10, 1))
        .see("c", unreachable(10, 10));
    world.after(8.0);
    assert_eq!(world.state("b"), ZoneState::Returning);
    assert_eq!(world.state("c"), ZoneState::Lost);
}

#[test]
fn a_zone_that_is_lost_again_during_its_return_is_lost_at_once() {
    let mut world = World::new();
    world
        .see("a", observation(10, 0))
        .see("b", unreachable(10, 10));
    world.after(10.0);
    world.see("b", observation(10, 0)).after(2.0);
    assert_eq!(world.state("b"), ZoneState::Returning);
    world.see("b", unreachable(10, 10)).after(0.5);
    assert_eq!(world.state("b"), ZoneState::Lost);
    assert!(world.penalty("b") > 1500.0);
}

/// Back empty: there is nothing to be heard, so its controllers tell.
#[test]
fn a_zone_that_comes_back_empty_returns_with_its_controllers() {
    let mut world = World::new();
    world
        .see("a", observation(10, 0))
        .see("b", unreachable(10, 10));
    world.after(10.0);
    world.see("b", unreachable(0, 0)).after(10.0);
    assert_eq!(world.state("b"), ZoneState::Lost);
    world
        .see("b", seen(0, 0, ControllerReach::Reachable))
        .after(0.5);
    assert_eq!(world.state("b"), ZoneState::Returning);
}

/// An emptied zone whose controllers never answer again would otherwise stay closed for ever.
#[test]
fn an_emptied_zone_is_tried_again_after_a_while() {
    let mut world = World::new();
    world
        .see("a", observation(10, 0))
        .see("b", unreachable(10, 10));
    world.after(10.0);
    world.see("b", unreachable(0, 0)).after(130.0);
    assert!(world.tracker.may_rent_in("b"));
}

/// Back in part: the zone is not healthy while much of it is silent, and the rest is given up within
/// the budget.
#[test]
fn a_zone_that_is_back_in_part_keeps_returning_until_the_rest_is_gone() {
    let mut world = World::new();
    world
        .see("a", observation(10, 0))
        .see("b", unreachable(40, 40));
    world.after(10.0);
    world.see("b", observation(40, 15)).after(60.0);
    assert_eq!(world.state("b"), ZoneState::Returning);
    let given_up = world.displace_many("b", 15);
    assert!((1..15).contains(&given_up), "{given_up} given up");
    world.see("b", observation(25, 0)).after(1.0);
    assert_eq!(world.state("b"), ZoneState::Healthy);
}

#[test]
fn no_machine_is_rented_in_a_suspected_or_lost_zone() {
    let mut world = World::new();
    world
        .see("a", observation(10, 0))
        .see("b", unreachable(10, 10));
    world.after(1.0);
    assert!(!world.tracker.may_rent_in("b"));
    assert!(world.tracker.may_rent_in("a"));
    world.after(10.0);
    assert!(!world.tracker.may_rent_in("b"));
    world.see("b", observation(10, 0)).after(1.0);
    assert!(world.tracker.may_rent_in("b"));
}

/// Nothing that was not released before the zone was heard again is given up after it.
#[test]
fn machines_that_are_heard_again_are_no_candidates_any_more() {
    let mut world = World::new();
    world
        .see("a", observation(10, 0))
        .see("b", unreachable(10, 10));
    world.after(10.0);
    let first = world.displace_many("b", 10);
    assert!(first < 10);
    world.see("b", observation(10 - first, 0)).after(0.5);
    assert_eq!(world.displace(&[]).len(), 0);
}

#[test]
fn machines_of_a_suspected_zone_are_kept() {
    let mut world = World::new();
    world
        .see("a", observation(10, 0))
        .see("b", unreachable(10, 10));
    world.after(1.0);
    let candidate = Candidate {
        machine: 1_u32,
        zone: "b".to_owned(),
        urgency: Urgency::IDLE,
    };
    let now = world.now;
    assert!(world.tracker.displace(vec![candidate], now).is_empty());
}
