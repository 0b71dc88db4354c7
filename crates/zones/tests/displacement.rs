//! Order, budgets, damping, the return and the record.

mod support;

use lichencrank_store::Time;
use lichencrank_zones::record::VERSION;
use lichencrank_zones::{Candidate, Urgency, ZoneSettings, ZoneState, ZoneTracker, ZonesRecord};
use support::{observation, unreachable, urgency, World};

fn lost_zone(machines: usize) -> World {
    let mut world = World::new();
    world
        .see("a", observation(machines, 0))
        .see("b", unreachable(machines, machines));
    world.after(10.0);
    assert_eq!(world.state("b"), ZoneState::Lost);
    world
}

/// Zone b was lost five times within 40 s, and is back.
fn flapped_five_times() -> World {
    let mut world = World::new();
    world
        .see("a", observation(20, 0))
        .see("b", observation(20, 0));
    for _ in 0..5 {
        world.see("b", unreachable(20, 20)).after(6.0);
        world.see("b", observation(20, 0)).after(2.0);
    }
    world
}

fn displace(world: &mut World, work: &[Urgency]) -> Vec<usize> {
    let candidates = work.iter().enumerate().map(|(machine, urgency)| Candidate {
        machine,
        zone: "b".to_owned(),
        urgency: *urgency,
    });
    let now = world.now;
    world.tracker.displace(candidates.collect(), now)
}

/// Whatever the order in which machines are offered: priority, then the guarantee, then the deadline,
/// then the least work lost.
#[test]
fn urgent_work_moves_first() {
    let mut world = lost_zone(60);
    let beyond = Urgency {
        beyond_guarantee: true,
        ..urgency(1, 10)
    };
    let costly = Urgency {
        work_lost_ms: 500,
        ..urgency(1, 20)
    };
    let work = [
        Urgency::IDLE,
        urgency(2, 1),
        beyond,
        urgency(1, 30),
        costly,
        urgency(1, 20),
        urgency(0, 99),
    ];
    let order = displace(&mut world, &work);
    // The budget of 60 machines is 6 at once: the idle one waits.
    assert_eq!(order, [6, 5, 4, 3, 2, 1]);
    assert_eq!(
        world.tracker.status(world.now).last().map(|s| s.1.waiting),
        Some(1)
    );
}

#[test]
fn what_is_over_the_budget_waits_and_a_zone_that_never_returns_is_emptied() {
    let mut world = lost_zone(100);
    let mut left = 100;
    let mut most_in_a_minute = 0;
    let mut minutes = 0;
    while left > 0 {
        let mut in_this_minute = 0;
        for _ in 0..240 {
            let given_up = world.displace_many("b", left);
            left -= given_up;
            in_this_minute += given_up;
            world.see("b", unreachable(left, left)).after(0.25);
        }
        most_in_a_minute = most_in_a_minute.max(in_this_minute);
        minutes += 1;
        assert!(minutes < 10, "{left} machines are left");
    }
    // Ten at once and fifty a minute.
    assert!(most_in_a_minute <= 60, "{most_in_a_minute} in a minute");
}

#[test]
fn rentals_are_bounded_only_while_a_zone_is_lost() {
    let mut world = World::new();
    world
        .see("a", observation(40, 0))
        .see("b", observation(40, 0));
    assert_eq!(world.tracker.rentals_left(world.now), None);
    world.see("b", unreachable(40, 40)).after(10.0);
    assert_eq!(world.tracker.rentals_left(world.now), Some(20));
    world.tracker.on_rented(20);
    assert_eq!(world.tracker.rentals_left(world.now), Some(0));
    world.after(2.0);
    assert_eq!(world.tracker.rentals_left(world.now), Some(2));
    // The next flap finds the budget as the last one left it.
    world.see("b", observation(40, 0)).after(1.0);
    world.see("b", unreachable(40, 40)).after(1.0);
    assert!(world.tracker.rentals_left(world.now) < Some(20));
}

/// RFC 2439: above the suppress threshold nothing new, until the penalty has decayed below the reuse
/// threshold. A few losses far apart never suppress.
#[test]
fn a_zone_that_flaps_is_suppressed_and_reused() {
    let mut world = flapped_five_times();
    assert!(world.is_suppressed("b"));
    assert_eq!(world.tracker.tasks_left("b", world.now), Some(0));
    assert!(!world.tracker.may_rent_in("b"));
    let longest = ZoneSettings::default().damping.longest_suppression();
    world.after(longest.as_secs_f64() + 1.0);
    assert!(!world.is_suppressed("b"));
    assert_eq!(world.tracker.tasks_left("b", world.now), None);
    for _ in 0..3 {
        world.see("b", unreachable(20, 20)).after(6.0);
        world.see("b", observation(20, 0)).after(60.0);
        assert!(!world.is_suppressed("b"));
    }
}

#[test]
fn new_work_returns_at_a_bounded_growing_rate() {
    let mut world = lost_zone(40);
    world.see("b", observation(40, 0));
    assert_eq!(world.state("b"), ZoneState::Returning);
    assert_eq!(world.tracker.tasks_left("b", world.now), Some(0));
    let mut in_seconds = Vec::new();
    for _ in 0..4 {
        let mut placed = 0;
        for _ in 0..4 {
            world.after(0.25);
            let left = world.tracker.tasks_left("b", world.now);
            let left = left.expect("a bounded return");
            world.tracker.on_placed("b", left);
            placed += left;
        }
        in_seconds.push(placed);
    }
    // A quarter of the machines take a task in the first second, about twice as many in each next one.
    assert!((10..=20).contains(&in_seconds[0]), "{in_seconds:?}");
    assert!(
        in_seconds
            .windows(2)
            .all(|w| w[1] > w[0] && w[1] <= w[0] * 3),
        "{in_seconds:?}"
    );
    world.after(20.0);
    assert_eq!(world.tracker.tasks_left("b", world.now), None);
}

const DAY_MS: u64 = 1_700_000_000_000;

#[test]
fn the_next_leader_continues_with_state_penalty_and_suppression() {
    let world = flapped_five_times();
    let record = world
        .tracker
        .record_due(world.now, DAY_MS)
        .expect("a change");
    // Another process, whose clock began elsewhere, half a minute later.
    let (now, day_ms) = (Time(5_000), DAY_MS + 30_000);
    let mut next = ZoneTracker::new(ZoneSettings::default(), now);
    next.restore(&record, now, day_ms);
    assert_eq!(next.state("b"), ZoneState::Returning);
    assert!(next.tasks_left("b", now) == Some(0));
    let status = next.status(now).last().expect("zone b").1;
    let decayed = world.penalty("b") / 2.0;
    assert!(
        (status.penalty - decayed).abs() < decayed * 0.2,
        "{status:?}, {decayed}"
    );
}

#[test]
fn a_record_is_due_after_a_change_until_it_is_written() {
    let mut world = World::new();
    world.see("a", observation(20, 0));
    assert!(world.tracker.record_due(world.now, DAY_MS).is_none());
    world.see("b", unreachable(20, 20)).after(1.0);
    let written = world
        .tracker
        .record_due(world.now, DAY_MS)
        .expect("a change");
    // Lost while the write was under way.
    world.after(8.0);
    world.tracker.on_recorded(&written, world.now, DAY_MS);
    let newer = world
        .tracker
        .record_due(world.now, DAY_MS)
        .expect("another change");
    world.tracker.on_recorded(&newer, world.now, DAY_MS);
    assert!(world.tracker.record_due(world.now, DAY_MS).is_none());
}

/// A record that this version does not understand means healthy zones, never a stop.
#[test]
fn a_record_of_another_version_is_ignored() {
    let mut world = lost_zone(20);
    let mut record = world.tracker.record(world.now, DAY_MS);
    record.version = VERSION + 1;
    let mut next = ZoneTracker::new(ZoneSettings::default(), Time(0));
    next.restore(&record, Time(0), DAY_MS);
    assert_eq!(next.state("b"), ZoneState::Healthy);
    assert!(next.may_rent_in("b"));
    let unreadable = serde_json::from_str::<ZonesRecord>(r#"{"version":1,"zones":[{"zone":7}]}"#);
    assert!(unreadable.is_err());
    world.after(1.0);
}

#[test]
fn settings_that_make_no_sense_are_refused_by_name() {
    let mut settings = ZoneSettings::default();
    settings.damping.reuse = settings.damping.suppress;
    assert_eq!(
        settings.check().expect_err("equal thresholds").field,
        "damping.reuse"
    );
    let settings = ZoneSettings {
        displaced_per_minute: 0.0,
        ..ZoneSettings::default()
    };
    assert_eq!(
        settings.check().expect_err("no rate").field,
        "displaced_per_minute"
    );
    let settings = ZoneSettings {
        lost_after_s: f64::NAN,
        ..ZoneSettings::default()
    };
    assert_eq!(
        settings.check().expect_err("no number").field,
        "lost_after_s"
    );
    assert_eq!(ZoneSettings::default().check(), Ok(()));
}
