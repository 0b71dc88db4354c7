//! The record from which the next leader restores the zones.

mod support;

use std::time::Duration;

use lichencrank_store::Time;
use lichencrank_zones::record::VERSION;
use lichencrank_zones::{ZoneSettings, ZoneState, ZoneTracker, ZonesRecord};
use support::{flapped_five_times, reachable, unreachable, Harness, WALL_CLOCK_MS};

impl Harness {
    fn record_due(&self) -> Option<ZonesRecord> {
        self.tracker.record_due(self.now, WALL_CLOCK_MS)
    }

    fn on_record_written(&mut self, record: &ZonesRecord) {
        self.tracker
            .on_record_written(record, self.now, WALL_CLOCK_MS);
    }
}

#[test]
fn the_next_leader_restores_state_penalty_and_suppression() {
    let harness = flapped_five_times();
    let record = harness.record_due().expect("a change");
    // Another process half a minute later, whose clock counts from another moment.
    let (now, wall_clock_ms) = (Time(5_000), WALL_CLOCK_MS + 30_000);
    let mut next = ZoneTracker::new(ZoneSettings::default(), now);
    next.restore(&record, now, wall_clock_ms);
    assert_eq!(next.state("b"), ZoneState::Returning);
    assert_eq!(next.admission_limit("b", now), Some(0));
    let (_, status) = next.statuses(now).last().expect("zone b");
    let decayed = harness.penalty("b") / 2.0;
    assert!(
        (status.penalty - decayed).abs() < decayed * 0.2,
        "{status:?}, {decayed}"
    );
}

#[test]
fn a_record_is_due_after_a_change_until_it_is_written() {
    let mut harness = Harness::new();
    harness.observe("a", reachable(20, 0));
    assert_eq!(harness.record_due(), None);
    harness.observe("b", unreachable(20, 20)).advance_s(1);
    let written = harness.record_due().expect("a change");
    // The zone is lost while the write is in progress.
    harness.advance_s(8);
    harness.on_record_written(&written);
    let newer = harness.record_due().expect("another change");
    harness.on_record_written(&newer);
    assert_eq!(harness.record_due(), None);
}

/// With a record of a version that is not supported, all zones count as healthy and the leader goes on.
#[test]
fn a_record_of_another_version_is_ignored() {
    let mut harness = Harness::new();
    harness
        .observe("a", reachable(20, 0))
        .observe("b", unreachable(20, 20));
    harness.advance(Duration::from_secs(10));
    assert_eq!(harness.state("b"), ZoneState::Lost);
    let mut record = harness.tracker.record(harness.now, WALL_CLOCK_MS);
    record.version = VERSION + 1;
    let mut next = ZoneTracker::new(ZoneSettings::default(), Time(0));
    next.restore(&record, Time(0), WALL_CLOCK_MS);
    assert_eq!(next.state("b"), ZoneState::Healthy);
    assert!(next.may_provision_in("b"));
    let unreadable = serde_json::from_str::<ZonesRecord>(r#"{"version":1,"zones":[{"zone":7}]}"#);
    assert!(unreadable.is_err());
}

/// Leaders of other versions read the stored record, so its form must not change.
#[test]
fn the_stored_form_is_fixed() {
    let mut harness = Harness::new();
    harness.observe("b", unreachable(20, 20)).advance_s(1);
    let record = harness.tracker.record(harness.now, WALL_CLOCK_MS);
    let stored = serde_json::to_string(&record).expect("a form in JSON");
    assert_eq!(
        stored,
        r#"{"version":1,"zones":[{"zone":"b","state":"suspected","since_ms":1699999999000,"#
            .to_owned()
            + r#""penalty":0.0,"suppressed":false,"machines":20,"silent":20,"waiting":0}]}"#
    );
}
