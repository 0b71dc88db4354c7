//! All zones together: their states, penalties and budgets.

use std::collections::BTreeMap;
use std::time::Duration;

use lichencrank_store::Time;

use crate::budget::{Allowance, Budget};
use crate::damping::FlapDamping;
use crate::displacement::{self, Candidate};
use crate::observation::ZoneObservation;
use crate::ramp::ReturnRamp;
use crate::record::{ZoneRecord, ZonesRecord, VERSION};
use crate::settings::ZoneSettings;
use crate::state::{ZoneMachine, ZoneState, ZoneTransition};

/// What is known of one zone.
#[derive(Clone, Debug)]
struct Zone {
    machine: ZoneMachine,
    damping: FlapDamping,
    seen: ZoneObservation,
    /// The most machines seen since the zone was healthy: budgets don't shrink as it is emptied.
    size: usize,
    displaced: Budget,
    ramp: ReturnRamp,
    /// Machines that waited for the budget in the last pass.
    waiting: usize,
}

impl Zone {
    fn new(now: Time) -> Zone {
        Zone {
            machine: ZoneMachine::default(),
            damping: FlapDamping::default(),
            seen: ZoneObservation::default(),
            size: 0,
            displaced: Budget::full(now),
            ramp: ReturnRamp::default(),
            waiting: 0,
        }
    }
}

/// What operators are shown of a zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneStatus {
    /// Its state.
    pub state: ZoneState,
    /// Since when.
    pub since: Time,
    /// Its penalty by now.
    pub penalty: f64,
    /// Whether it takes no new work because of its penalty.
    pub suppressed: bool,
    /// Machines that wait for the budget.
    pub waiting: usize,
}

/// Decides for all zones.
#[derive(Clone, Debug)]
pub struct ZoneTracker {
    settings: ZoneSettings,
    zones: BTreeMap<String, Zone>,
    rented: Budget,
    /// Since when all zones with machines have been disrupted.
    isolated_since: Option<Time>,
    /// The record in the state service is older than the states here.
    record_outdated: bool,
}

impl ZoneTracker {
    /// All zones are healthy, as far as is known.
    pub fn new(settings: ZoneSettings, now: Time) -> ZoneTracker {
        ZoneTracker {
            settings,
            zones: BTreeMap::new(),
            rented: Budget::full(now),
            isolated_since: None,
            record_outdated: false,
        }
    }

    /// Takes in what is seen of every zone, and returns the changes of state.
    pub fn observe(
        &mut self,
        observations: &BTreeMap<String, ZoneObservation>,
        now: Time,
    ) -> Vec<ZoneTransition> {
        let isolated = self.note_isolation(observations, now);
        for zone in observations.keys().filter(|zone| !zone.is_empty()) {
            if !self.zones.contains_key(zone) {
                self.zones.insert(zone.clone(), Zone::new(now));
            }
        }
        let mut transitions = Vec::new();
        for (name, zone) in &mut self.zones {
            zone.seen = observations.get(name).copied().unwrap_or_default();
            zone.damping.update(now, &self.settings.damping);
            if zone.machine.state() == ZoneState::Healthy {
                zone.size = 0;
            }
            zone.size = zone.size.max(zone.seen.machines);
            let next = zone.machine.next(&zone.seen, isolated, now, &self.settings);
            if let Some(next) = next {
                transitions.push(enter(name, zone, next, now, &self.settings));
            }
        }
        self.record_outdated |= !transitions.is_empty();
        transitions
    }

    /// Whether every zone that has machines is disrupted, for less long than nothing is to be given up.
    fn note_isolation(
        &mut self,
        observations: &BTreeMap<String, ZoneObservation>,
        now: Time,
    ) -> bool {
        let with_machines = || observations.values().filter(|seen| seen.machines > 0);
        let all = with_machines().count() > 0 && with_machines().all(|seen| seen.is_disrupted());
        if !all {
            self.isolated_since = None;
            return false;
        }
        self.isolated_since.get_or_insert(now);
        self.is_isolated(now)
    }

    /// Whether the observer hears no zone, and so is cut off itself as far as it can tell.
    pub fn is_isolated(&self, now: Time) -> bool {
        let patience = Duration::from_secs_f64(self.settings.isolation_patience_s);
        self.isolated_since
            .is_some_and(|since| now.since(since) < patience)
    }

    /// The state of a zone; one that was never seen is healthy.
    pub fn state(&self, zone: &str) -> ZoneState {
        self.zones
            .get(zone)
            .map_or(ZoneState::Healthy, |z| z.machine.state())
    }

    /// For how long a zone has been in its state.
    pub fn lasted(&self, zone: &str, now: Time) -> Duration {
        let zone = self.zones.get(zone);
        zone.map_or(Duration::ZERO, |z| now.since(z.machine.since()))
    }

    /// Whether the zone's machines are silent for the zone's sake: each of them is given up by
    /// [`ZoneTracker::displace`] only, and not one by one.
    pub fn explains_silence(&self, zone: &str) -> bool {
        self.state(zone) != ZoneState::Healthy
    }

    /// Which of the silent machines are given up now: the most urgent first, within the budgets of
    /// their zones. Machines of a zone that is merely suspected are kept.
    pub fn displace<M: Ord>(&mut self, mut candidates: Vec<Candidate<M>>, now: Time) -> Vec<M> {
        for zone in self.zones.values_mut() {
            zone.waiting = 0;
        }
        if self.is_isolated(now) {
            return Vec::new();
        }
        displacement::sort(&mut candidates);
        let mut given_up = Vec::new();
        for candidate in candidates {
            let Some(zone) = self.zones.get_mut(&candidate.zone) else {
                continue;
            };
            if zone.machine.state() == ZoneState::Suspected {
                continue;
            }
            let shares = (
                self.settings.displaced_at_once,
                self.settings.displaced_per_minute,
            );
            let allowance = Allowance::of(zone.size, shares.0, shares.1);
            if zone.displaced.available(now, allowance) == 0 {
                zone.waiting += 1;
                continue;
            }
            zone.displaced.take(1);
            given_up.push(candidate.machine);
        }
        given_up
    }

    /// Whether machines may be rented in the zone.
    pub fn may_rent_in(&self, zone: &str) -> bool {
        let zone = self.zones.get(zone);
        zone.is_none_or(|z| !z.machine.state().is_disrupted() && !z.damping.is_suppressed())
    }

    /// How many machines may be rented now, in all zones together; `None`: as many as are needed.
    pub fn rentals_left(&mut self, now: Time) -> Option<usize> {
        let lost = |zone: &&Zone| zone.machine.state() == ZoneState::Lost;
        self.zones.values().find(lost)?;
        let size = self.zones.values().map(|zone| zone.size).sum();
        let shares = (
            self.settings.rented_at_once,
            self.settings.rented_per_minute,
        );
        let allowance = Allowance::of(size, shares.0, shares.1);
        Some(self.rented.available(now, allowance))
    }

    /// So many machines are being rented.
    pub fn on_rented(&mut self, count: usize) {
        self.rented.take(count);
    }

    /// Zones that take only so many new tasks now.
    pub fn limited_zones(&mut self, now: Time) -> BTreeMap<String, usize> {
        let names: Vec<String> = self.zones.keys().cloned().collect();
        let limited = names.into_iter().filter_map(|name| {
            let left = self.tasks_left(&name, now)?;
            Some((name, left))
        });
        limited.collect()
    }

    /// How many new tasks the zone takes now; `None`: as many as it has room for.
    pub fn tasks_left(&mut self, zone: &str, now: Time) -> Option<usize> {
        let zone = self.zones.get_mut(zone)?;
        if zone.damping.is_suppressed() {
            return Some(0);
        }
        if zone.machine.state() != ZoneState::Returning {
            return None;
        }
        let returned_for = now.since(zone.machine.since());
        let machines = zone.seen.machines;
        Some(
            zone.ramp
                .available(machines, returned_for, now, &self.settings),
        )
    }

    /// So many new tasks were placed in the zone.
    pub fn on_placed(&mut self, zone: &str, count: usize) {
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.ramp.take(count);
        }
    }

    /// What operators are shown.
    pub fn status(&self, now: Time) -> impl Iterator<Item = (&str, ZoneStatus)> {
        self.zones.iter().map(move |(name, zone)| {
            let status = ZoneStatus {
                state: zone.machine.state(),
                since: zone.machine.since(),
                penalty: zone.damping.penalty(now, &self.settings.damping),
                suppressed: zone.damping.is_suppressed(),
                waiting: zone.waiting,
            };
            (name.as_str(), status)
        })
    }

    // ---- the record

    /// The record to be written, if the one in the state service is outdated. Until it is confirmed
    /// by [`ZoneTracker::on_recorded`] it stays so.
    pub fn record_due(&self, now: Time, day_ms: u64) -> Option<ZonesRecord> {
        self.record_outdated.then(|| self.record(now, day_ms))
    }

    /// What the next leader continues with.
    pub fn record(&self, now: Time, day_ms: u64) -> ZonesRecord {
        let to_record = |(name, zone): (&String, &Zone)| ZoneRecord {
            zone: name.clone(),
            state: zone.machine.state(),
            since_ms: day_ms.saturating_sub(now.since(zone.machine.since()).as_millis() as u64),
            penalty: zone
                .damping
                .penalty(zone.machine.since(), &self.settings.damping),
            suppressed: zone.damping.is_suppressed(),
            machines: zone.seen.machines as u64,
            silent: zone.seen.silent as u64,
            waiting: zone.waiting as u64,
        };
        ZonesRecord {
            version: VERSION,
            zones: self.zones.iter().map(to_record).collect(),
        }
    }

    /// That record was written; a change since then makes it outdated again.
    pub fn on_recorded(&mut self, written: &ZonesRecord, now: Time, day_ms: u64) {
        let present = self.record(now, day_ms);
        let states = |record: &ZonesRecord| -> Vec<(String, ZoneState)> {
            let zones = record.zones.iter();
            zones.map(|z| (z.zone.clone(), z.state)).collect()
        };
        self.record_outdated = states(written) != states(&present);
    }

    /// Continues with what an earlier leader recorded. What this leader has seen itself stands.
    pub fn restore(&mut self, record: &ZonesRecord, now: Time, day_ms: u64) {
        if !record.is_understood() {
            tracing::info!(
                "the record of the zones has version {}: ignored",
                record.version
            );
            return;
        }
        for recorded in &record.zones {
            if self.zones.contains_key(&recorded.zone) {
                continue;
            }
            let age = day_ms.saturating_sub(recorded.since_ms);
            let since = Time(now.0.saturating_sub(age));
            let mut zone = Zone::new(now);
            zone.machine = ZoneMachine::restore(recorded.state, since);
            zone.size = recorded.machines as usize;
            zone.ramp = ReturnRamp::begin(now);
            zone.damping = FlapDamping::restore(
                recorded.penalty,
                recorded.suppressed,
                Duration::from_millis(age),
                now,
                &self.settings.damping,
            );
            self.zones.insert(recorded.zone.clone(), zone);
        }
    }
}

/// Changes a zone's state, with all that goes with it.
fn enter(
    name: &str,
    zone: &mut Zone,
    to: ZoneState,
    now: Time,
    settings: &ZoneSettings,
) -> ZoneTransition {
    let from = zone.machine.state();
    zone.machine.enter(to, now);
    match to {
        ZoneState::Lost => zone.damping.on_loss(now, &settings.damping),
        ZoneState::Returning => zone.ramp = ReturnRamp::begin(now),
        ZoneState::Healthy | ZoneState::Suspected => {}
    }
    ZoneTransition {
        zone: name.to_owned(),
        from,
        to,
        evidence: zone.seen,
    }
}
