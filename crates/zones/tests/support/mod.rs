//! A test harness: a tracker with its clock and the present observations of its zones.
#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses only a part of this module"
)]

use std::collections::BTreeMap;
use std::time::Duration;

use lichencrank_store::Time;
use lichencrank_zones::{
    Candidate, ControllerReach, Urgency, ZoneObservation, ZoneSettings, ZoneState, ZoneStatus,
    ZoneTracker, ZoneTransition,
};

/// Interval at which the tracker gets observations.
pub const STEP: Duration = Duration::from_millis(250);

/// The wall clock when records are written or read, in milliseconds since the Unix epoch.
pub const WALL_CLOCK_MS: u64 = 1_700_000_000_000;

/// A tracker under test.
pub struct Harness {
    pub now: Time,
    pub tracker: ZoneTracker,
    /// The present observation of each zone.
    pub observations: BTreeMap<String, ZoneObservation>,
    /// All changes of state since the start.
    pub transitions: Vec<ZoneTransition>,
}

/// A zone whose hosts are all on-demand.
pub fn observation(
    hosts: usize,
    silent_hosts: usize,
    controllers: ControllerReach,
) -> ZoneObservation {
    ZoneObservation {
        hosts,
        silent_hosts,
        on_demand_hosts: hosts,
        silent_on_demand_hosts: silent_hosts,
        controllers,
    }
}

/// A zone whose controllers answer.
pub fn reachable(hosts: usize, silent_hosts: usize) -> ZoneObservation {
    observation(hosts, silent_hosts, ControllerReach::Reachable)
}

/// A zone whose controllers don't answer.
pub fn unreachable(hosts: usize, silent_hosts: usize) -> ZoneObservation {
    observation(hosts, silent_hosts, ControllerReach::Unreachable)
}

pub fn urgency(priority: u8, deadline_ms: u64) -> Urgency {
    Urgency {
        priority,
        is_over_guarantee: false,
        deadline_ms,
        work_lost_ms: 0,
    }
}

/// An idle host that may be released.
pub fn idle_candidate(host: usize, zone: &str) -> Candidate<usize> {
    Candidate {
        host,
        zone: zone.to_owned(),
        urgency: Urgency::IDLE,
    }
}

/// A harness whose zone `b` was lost five times within 40 s and is returning.
pub fn flapped_five_times() -> Harness {
    let mut harness = Harness::new();
    harness
        .observe("a", reachable(20, 0))
        .observe("b", reachable(20, 0));
    for _ in 0..5 {
        harness.observe("b", unreachable(20, 20)).advance_s(6);
        harness.observe("b", reachable(20, 0)).advance_s(2);
    }
    harness
}

impl Harness {
    pub fn new() -> Harness {
        let now = Time(1_000_000);
        Harness {
            now,
            tracker: ZoneTracker::new(ZoneSettings::default(), now),
            observations: BTreeMap::new(),
            transitions: Vec::new(),
        }
    }

    /// Replaces the observation of the zone, and passes all observations to the tracker.
    pub fn observe(&mut self, zone: &str, observation: ZoneObservation) -> &mut Harness {
        self.observations.insert(zone.to_owned(), observation);
        self.observe_all();
        self
    }

    /// Advances the time, in whole steps.
    pub fn advance(&mut self, duration: Duration) -> &mut Harness {
        for _ in 0..duration.as_millis().div_ceil(STEP.as_millis()) {
            self.now = self.now.after(STEP);
            self.observe_all();
        }
        self
    }

    pub fn advance_s(&mut self, seconds: u64) -> &mut Harness {
        self.advance(Duration::from_secs(seconds))
    }

    fn observe_all(&mut self) {
        let transitions = self.tracker.observe(&self.observations, self.now);
        self.transitions.extend(transitions);
    }

    pub fn state(&self, zone: &str) -> ZoneState {
        self.tracker.state(zone)
    }

    pub fn status(&self, zone: &str) -> Option<ZoneStatus> {
        let mut statuses = self.tracker.statuses(self.now);
        let found = statuses.find(|(name, _)| *name == zone);
        found.map(|(_, status)| status)
    }

    pub fn penalty(&self, zone: &str) -> f64 {
        self.status(zone).map_or(0.0, |status| status.penalty)
    }

    pub fn is_suppressed(&self, zone: &str) -> bool {
        self.status(zone).is_some_and(|status| status.is_suppressed)
    }

    /// Offers one idle host of each of the zones. Returns the indexes of the hosts that are released.
    pub fn displace(&mut self, zones: &[&str]) -> Vec<usize> {
        let candidates = zones.iter().enumerate();
        let candidates = candidates.map(|(host, zone)| idle_candidate(host, zone));
        self.tracker.displace(candidates.collect(), self.now)
    }

    /// Offers `count` idle hosts of a zone. Returns how many are released.
    pub fn displace_count(&mut self, zone: &str, count: usize) -> usize {
        self.displace(&vec![zone; count]).len()
    }
}
