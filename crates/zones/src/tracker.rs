//! The state of all zones, and the decisions on displacement, provisioning and admission based on it.

use std::collections::BTreeMap;
use std::time::Duration;

use lichencrank_store::Time;

use crate::displacement::{self, Candidate};
use crate::observation::ZoneObservation;
use crate::record::{ZonesRecord, VERSION};
use crate::settings::ZoneSettings;
use crate::state::{ZoneState, ZoneTransition};
use crate::token_bucket::{BucketLimits, TokenBucket};
use crate::zone::Zone;

/// The status of a zone, as operators are shown it.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneStatus {
    /// State of the zone.
    pub state: ZoneState,
    /// When the zone entered that state.
    pub since: Time,
    /// Present penalty of the zone.
    pub penalty: f64,
    /// Whether the zone takes no new tasks because of its penalty.
    pub is_suppressed: bool,
    /// Silent hosts that wait for the displacement budget.
    pub waiting_hosts: usize,
}

/// Tracks all zones and decides on displacement, provisioning and admission.
#[derive(Clone, Debug)]
pub struct ZoneTracker {
    settings: ZoneSettings,
    zones: BTreeMap<String, Zone>,
    /// Hosts that may be provisioned while a zone is lost, in all zones together.
    provisioning_budget: TokenBucket,
    /// Since when all zones with hosts have been disrupted.
    isolated_since: Option<Time>,
    /// Whether states have changed since the record was last written.
    is_record_outdated: bool,
}

impl ZoneTracker {
    /// A tracker that knows no zones yet. The settings have to be valid, see [`ZoneSettings::validate`].
    pub fn new(settings: ZoneSettings, now: Time) -> ZoneTracker {
        ZoneTracker {
            settings,
            zones: BTreeMap::new(),
            provisioning_budget: TokenBucket::full(now),
            isolated_since: None,
            is_record_outdated: false,
        }
    }

    /// Processes the observations of all zones, by name, and returns the changes of state that follow. A
    /// known zone that is missing counts as one without hosts or controllers; a zone with an empty name is
    /// ignored.
    pub fn observe(
        &mut self,
        observations: &BTreeMap<String, ZoneObservation>,
        now: Time,
    ) -> Vec<ZoneTransition> {
        let is_observer_isolated = self.detect_isolation(observations, now);
        for zone in observations.keys().filter(|zone| !zone.is_empty()) {
            if !self.zones.contains_key(zone) {
                self.zones.insert(zone.clone(), Zone::new(now));
            }
        }
        let settings = &self.settings;
        let transitions = self.zones.iter_mut().filter_map(|(name, zone)| {
            let observation = observations.get(name).copied().unwrap_or_default();
            zone.observe(name, observation, is_observer_isolated, now, settings)
        });
        let transitions: Vec<ZoneTransition> = transitions.collect();
        self.is_record_outdated |= !transitions.is_empty();
        transitions
    }

    /// Updates since when all zones with hosts have been disrupted. Returns whether the observer is isolated.
    fn detect_isolation(
        &mut self,
        observations: &BTreeMap<String, ZoneObservation>,
        now: Time,
    ) -> bool {
        let mut zones_with_hosts = observations
            .values()
            .filter(|zone| zone.hosts > 0)
            .peekable();
        let are_all_disrupted = zones_with_hosts.peek().is_some()
            && zones_with_hosts.all(ZoneObservation::is_disrupted);
        if !are_all_disrupted {
            self.isolated_since = None;
            return false;
        }
        self.isolated_since.get_or_insert(now);
        self.is_isolated(now)
    }

    /// Whether all zones with hosts are disrupted, so that the observer itself may be the one that is cut
    /// off. After [`ZoneSettings::isolation_timeout_s`] it no longer counts as isolated.
    pub fn is_isolated(&self, now: Time) -> bool {
        let timeout = self.settings.isolation_timeout();
        self.isolated_since
            .is_some_and(|since| now.since(since) < timeout)
    }

    /// The state of a zone. A zone that was never observed is healthy.
    pub fn state(&self, zone: &str) -> ZoneState {
        self.zones.get(zone).map_or(ZoneState::Healthy, Zone::state)
    }

    /// How long a zone has been in its state; zero if it was never observed.
    pub fn time_in_state(&self, zone: &str, now: Time) -> Duration {
        let zone = self.zones.get(zone);
        zone.map_or(Duration::ZERO, |zone| zone.time_in_state(now))
    }

    /// Whether a zone is in any state other than healthy. Its silent hosts are then released only as
    /// [`ZoneTracker::displace`] chooses, not one by one for their own silence.
    pub fn is_unhealthy(&self, zone: &str) -> bool {
        self.state(zone) != ZoneState::Healthy
    }

    /// Chooses which of the silent hosts are released now: the most urgent first, within the displacement
    /// budgets of their zones, and none in zones that are only suspected. While the observer is isolated no
    /// host is chosen.
    pub fn displace<H: Ord>(&mut self, mut candidates: Vec<Candidate<H>>, now: Time) -> Vec<H> {
        for zone in self.zones.values_mut() {
            zone.begin_displacement();
        }
        if self.is_isolated(now) {
            return Vec::new();
        }
        displacement::sort_by_urgency(&mut candidates);
        let chosen = candidates.into_iter().filter_map(|candidate| {
            let zone = self.zones.get_mut(&candidate.zone)?;
            let may_displace = zone.try_displace(now, &self.settings);
            may_displace.then_some(candidate.host)
        });
        chosen.collect()
    }

    /// Whether hosts may be provisioned in a zone.
    pub fn may_provision_in(&self, zone: &str) -> bool {
        self.zones.get(zone).is_none_or(Zone::may_provision)
    }

    /// How many hosts may be provisioned now, in all zones together. `None` if there is no limit, as no zone
    /// is lost.
    pub fn provisioning_limit(&mut self, now: Time) -> Option<usize> {
        let mut zones = self.zones.values();
        if !zones.any(|zone| zone.state() == ZoneState::Lost) {
            return None;
        }
        let host_count = self.zones.values().map(Zone::peak_host_count).sum();
        let limits = BucketLimits::for_hosts(
            host_count,
            self.settings.provisioning_burst,
            self.settings.provisioning_per_minute,
        );
        Some(self.provisioning_budget.available(now, limits))
    }

    /// Charges `count` hosts that are being provisioned to the provisioning budget.
    pub fn on_provisioned(&mut self, count: usize) {
        self.provisioning_budget.take(count);
    }

    /// How many new tasks each zone takes now, by name. Zones without a limit are left out.
    pub fn admission_limits(&mut self, now: Time) -> BTreeMap<String, usize> {
        let settings = &self.settings;
        let limits = self.zones.iter_mut().filter_map(|(name, zone)| {
            let limit = zone.admission_limit(now, settings)?;
            Some((name.clone(), limit))
        });
        limits.collect()
    }

    /// How many new tasks a zone takes now; `None` if it has no limit.
    pub fn admission_limit(&mut self, zone: &str, now: Time) -> Option<usize> {
        let zone = self.zones.get_mut(zone)?;
        zone.admission_limit(now, &self.settings)
    }

    /// Charges `count` new tasks that were placed in a zone to its return budget.
    pub fn on_placed(&mut self, zone: &str, count: usize) {
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.on_placed(count);
        }
    }

    /// The names and statuses of all zones, as operators are shown them.
    pub fn statuses(&self, now: Time) -> impl Iterator<Item = (&str, ZoneStatus)> {
        self.zones
            .iter()
            .map(move |(name, zone)| (name.as_str(), zone.status(now, &self.settings)))
    }

    /// The record to be written, if states have changed since it was last written. It stays due until
    /// [`ZoneTracker::on_record_written`] confirms the write. `wall_clock_ms` is `now` in
    /// milliseconds since the Unix epoch.
    pub fn record_due(&self, now: Time, wall_clock_ms: u64) -> Option<ZonesRecord> {
        self.is_record_outdated
            .then(|| self.record(now, wall_clock_ms))
    }

    /// The record from which the next leader restores the zones. `wall_clock_ms` is `now` in milliseconds
    /// since the Unix epoch.
    pub fn record(&self, now: Time, wall_clock_ms: u64) -> ZonesRecord {
        let zones = self.zones.iter();
        let zones = zones.map(|(name, zone)| {
            let settings = &self.settings;
            zone.to_record(name, now, wall_clock_ms, settings)
        });
        ZonesRecord {
            version: VERSION,
            zones: zones.collect(),
        }
    }

    /// Confirms that the record was written. If states have changed since, the next record is due.
    pub fn on_record_written(&mut self, written: &ZonesRecord, now: Time, wall_clock_ms: u64) {
        let present = self.record(now, wall_clock_ms);
        self.is_record_outdated = !written.has_same_states(&present);
    }

    /// Restores the zones that an earlier leader recorded, except those that were already observed. A record
    /// of another version is ignored. `wall_clock_ms` is `now` in milliseconds since the Unix epoch.
    pub fn restore(&mut self, record: &ZonesRecord, now: Time, wall_clock_ms: u64) {
        if !record.is_supported() {
            tracing::info!(
                "zones record ignored: version {} is not supported",
                record.version
            );
            return;
        }
        for recorded in &record.zones {
            if !self.zones.contains_key(&recorded.zone) {
                let zone = Zone::restore(recorded, now, wall_clock_ms, &self.settings);
                self.zones.insert(recorded.zone.clone(), zone);
            }
        }
    }
}
