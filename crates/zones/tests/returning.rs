//! The return of a zone: the growing rate of new tasks, and flap damping.

mod support;

use std::time::Duration;

use lichencrank_zones::{ZoneSettings, ZoneState};
use support::{flapped_five_times, reachable, unreachable, Harness};

/// As in RFC 2439, a zone whose penalty reaches the suppress threshold takes no new tasks until the penalty has
/// decayed below the reuse threshold. A few losses far apart never suppress it.
#[test]
fn a_zone_that_flaps_is_suppressed_and_reused() {
    let mut harness = flapped_five_times();
    assert!(harness.is_suppressed("b"));
    assert_eq!(harness.tracker.admission_limit("b", harness.now), Some(0));
    assert!(!harness.tracker.may_provision_in("b"));
    let max_suppression = ZoneSettings::default().damping.max_suppression();
    harness.advance(max_suppression + Duration::from_secs(1));
    assert!(!harness.is_suppressed("b"));
    assert_eq!(harness.tracker.admission_limit("b", harness.now), None);
    for _ in 0..3 {
        harness.observe("b", unreachable(20, 20)).advance_s(6);
        harness.observe("b", reachable(20, 0)).advance_s(60);
        assert!(!harness.is_suppressed("b"));
    }
}

#[test]
fn a_returning_zone_takes_new_tasks_at_a_bounded_growing_rate() {
    let mut harness = Harness::new();
    harness
        .observe("a", reachable(40, 0))
        .observe("b", unreachable(40, 40));
    harness.advance_s(10);
    harness.observe("b", reachable(40, 0));
    assert_eq!(harness.state("b"), ZoneState::Returning);
    assert_eq!(harness.tracker.admission_limit("b", harness.now), Some(0));
    let mut placed_by_second = Vec::new();
    for _ in 0..4 {
        let mut placed = 0;
        for _ in 0..4 {
            harness.advance(Duration::from_millis(250));
            let limit = harness.tracker.admission_limit("b", harness.now);
            let limit = limit.expect("a limit during the return");
            harness.tracker.on_placed("b", limit);
            placed += limit;
        }
        placed_by_second.push(placed);
    }
    // A quarter of the hosts take a task in the first second, and about twice as many in each further one.
    assert!(
        (10..=20).contains(&placed_by_second[0]),
        "{placed_by_second:?}"
    );
    assert!(
        placed_by_second
            .windows(2)
            .all(|pair| pair[1] > pair[0] && pair[1] <= pair[0] * 3),
        "{placed_by_second:?}"
    );
    harness.advance_s(20);
    assert_eq!(harness.tracker.admission_limit("b", harness.now), None);
}
