//! A tracker with its clock, and what it sees.
#![allow(dead_code, unreachable_pub)]

use std::collections::BTreeMap;

use lichencrank_store::Time;
use lichencrank_zones::{
    Candidate, ControllerReach, Urgency, ZoneObservation, ZoneSettings, ZoneState, ZoneTracker,
    ZoneTransition,
};

/// The tracker looks at the zones this often.
pub const STEP_S: f64 = 0.25;

pub struct World {
    pub now: Time,
    pub tracker: ZoneTracker,
    pub seen: BTreeMap<String, ZoneObservation>,
    pub transitions: Vec<ZoneTransition>,
}

pub fn seen(machines: usize, silent: usize, controllers: ControllerReach) -> ZoneObservation {
    ZoneObservation {
        machines,
        silent,
        ordinary: machines,
        ordinary_silent: silent,
        controllers,
    }
}

/// A zone whose controllers answer.
pub fn observation(machines: usize, silent: usize) -> ZoneObservation {
    seen(machines, silent, ControllerReach::Reachable)
}

/// A zone whose controllers don't answer.
pub fn unreachable(machines: usize, silent: usize) -> ZoneObservation {
    seen(machines, silent, ControllerReach::Unreachable)
}

pub fn urgency(priority: u8, due_ms: u64) -> Urgency {
    Urgency {
        priority,
        beyond_guarantee: false,
        due_ms,
        work_lost_ms: 0,
    }
}

impl World {
    pub fn new() -> World {
        World::with(ZoneSettings::default())
    }

    pub fn with(settings: ZoneSettings) -> World {
        let now = Time(1_000_000);
        World {
            now,
            tracker: ZoneTracker::new(settings, now),
            seen: BTreeMap::new(),
            transitions: Vec::new(),
        }
    }

    /// From now on that is seen of the zone.
    pub fn see(&mut self, zone: &str, seen: ZoneObservation) -> &mut World {
        self.seen.insert(zone.to_owned(), seen);
        let transitions = self.tracker.observe(&self.seen, self.now);
        self.transitions.extend(transitions);
        self
    }

    /// So much time passes.
    pub fn after(&mut self, seconds: f64) -> &mut World {
        for _ in 0..(seconds / STEP_S).ceil() as u32 {
            self.now = Time(self.now.0 + (STEP_S * 1000.0) as u64);
            let transitions = self.tracker.observe(&self.seen, self.now);
            self.transitions.extend(transitions);
        }
        self
    }

    pub fn state(&self, zone: &str) -> ZoneState {
        self.tracker.state(zone)
    }

    pub fn penalty(&self, zone: &str) -> f64 {
        let mut status = self.tracker.status(self.now);
        let found = status.find(|(name, _)| *name == zone);
        found.map_or(0.0, |(_, status)| status.penalty)
    }

    pub fn is_suppressed(&self, zone: &str) -> bool {
        let mut status = self.tracker.status(self.now);
        status.any(|(name, status)| name == zone && status.suppressed)
    }

    /// Offers one idle machine of each of these zones.
    pub fn displace(&mut self, zones: &[&str]) -> Vec<usize> {
        let candidates = zones.iter().enumerate().map(|(machine, zone)| Candidate {
            machine,
            zone: (*zone).to_owned(),
            urgency: Urgency::IDLE,
        });
        self.tracker.displace(candidates.collect(), self.now)
    }

    /// Offers so many idle machines of a zone; tells how many are given up.
    pub fn displace_many(&mut self, zone: &str, count: usize) -> usize {
        self.displace(&vec![zone; count]).len()
    }
}
