//! What the leader observes of zones, and which machines it gives up in a lost one.

use std::collections::BTreeMap;
use std::time::Duration;

use lichencrank_zones::{
    Candidate, MachineObservation, Urgency, ZoneObservation, ZoneState, ZoneTracker, ZonesRecord,
};

use crate::coordination::cluster::host::{Allocation, Host, HostLifecycle, Reachability};
use crate::coordination::{max_heartbeat_delay, Leader, View};
use crate::protocol::users::Priority;
use crate::types::{HostName, TaskId, Time};

/// A machine that missed its report by this factor is late.
pub(crate) const LATE_AFTER_INTERVALS: f64 = 1.8;
/// Urgent work in a lost zone is given up after so many leases of silence, other work after more. Until
/// then it may be running: a controller in the zone answers its worker.
const URGENT_LEASES: f64 = 2.5;
const USUAL_LEASES: f64 = 3.0;

/// The zones as the leader sees them, where that feature is on.
pub(crate) struct Zones {
    pub(crate) tracker: ZoneTracker,
    /// Whether the record of an earlier leader has been read. Nothing is judged before.
    restored: bool,
    /// The record that is being written.
    writing: Option<ZonesRecord>,
    /// No record is written before.
    write_at: Time,
}

/// A record that could not be written is tried again after this.
const WRITE_AGAIN: Duration = Duration::from_secs(1);

impl Zones {
    pub(crate) fn new(settings: lichencrank_zones::ZoneSettings, now: Time) -> Zones {
        Zones {
            tracker: ZoneTracker::new(settings, now),
            restored: false,
            writing: None,
            write_at: now,
        }
    }
}

impl View<'_> {
    fn zone_observations(&self, now: Time) -> BTreeMap<String, ZoneObservation> {
        let mut observations: BTreeMap<String, ZoneObservation> = BTreeMap::new();
        for (zone, reach) in &self.failure_detector.controller_reach_by_zone {
            observations.entry(zone.clone()).or_default().controllers = *reach;
        }
        let late = self.policy.heartbeat_interval.mul_f64(LATE_AFTER_INTERVALS);
        for host in self
            .cluster
            .hosts()
            .values()
            .filter(|host| !host.zone.is_empty())
        {
            if !has_booted(host, now, late) {
                continue;
            }
            let half_open = matches!(host.reachability, Reachability::HalfOpen { .. });
            let silent = half_open || now.since(host.last_heartbeat_at) > late;
            let zone = observations.entry(host.zone.clone()).or_default();
            zone.add(MachineObservation {
                silent,
                spot: host.is_spot,
            });
        }
        observations
    }

    /// Whether the machine's silence is that of its zone, so that only [`Leader::hosts_to_displace`]
    /// gives it up for being silent.
    pub(crate) fn zone_explains_silence(&self, host: &Host) -> bool {
        let zones = self
            .failure_detector
            .zones
            .as_ref()
            .filter(|zones| zones.restored);
        zones.is_some_and(|zones| zones.tracker.is_unhealthy(&host.zone))
    }

    /// Whether a machine has been silent for longer than work like that on it waits for its zone.
    fn is_overdue(&self, host: &Host, now: Time) -> bool {
        let silent_for = match (host.lifecycle, host.reachability) {
            (HostLifecycle::Unresponsive, _) => now.since(host.last_heartbeat_at),
            (HostLifecycle::Up, Reachability::HalfOpen { since }) => now.since(since),
            (HostLifecycle::Expected, _) => {
                now.since(host.first_seen_at.max(host.last_heartbeat_at))
            }
            (HostLifecycle::Up | HostLifecycle::Releasing, _) => return false,
        };
        silent_for > self.patience(host, now) && self.should_have_reported(host, now)
    }

    fn patience(&self, host: &Host, now: Time) -> Duration {
        let state = self.failure_detector.zones.as_ref().map(|zones| {
            let tracker = &zones.tracker;
            (
                tracker.state(&host.zone),
                tracker.time_in_state(&host.zone, now),
            )
        });
        let settling = max_heartbeat_delay(self.policy.heartbeat_interval);
        match state {
            // The zone has been back for long enough for every worker to report.
            Some((ZoneState::Returning, lasted)) if lasted > settling => {
                self.policy.heartbeat_timeout()
            }
            _ if self.holds_urgent_work(host) => self.policy.worker_lease.mul_f64(URGENT_LEASES),
            _ => self.policy.worker_lease.mul_f64(USUAL_LEASES),
        }
    }

    fn holds_urgent_work(&self, host: &Host) -> bool {
        host.allocations.keys().any(|task| {
            let job = self.cluster.jobs().get(&task.job);
            job.is_some_and(|job| job.priority() <= Priority::High || job.is_service())
        })
    }

    /// How urgent the most urgent work on the machine is.
    fn urgency(&self, host: &Host, now: Time) -> Urgency {
        let allocations = host.allocations.iter();
        let most_urgent = allocations
            .filter_map(|(task, allocation)| self.urgency_of(*task, allocation, now))
            .min();
        let work_lost_ms = host
            .allocations
            .iter()
            .map(|(task, allocation)| self.work_lost_ms(*task, allocation, now))
            .sum();
        match most_urgent {
            Some(urgency) => Urgency {
                work_lost_ms,
                ..urgency
            },
            None => Urgency::IDLE,
        }
    }

    fn urgency_of(&self, task: TaskId, allocation: &Allocation, now: Time) -> Option<Urgency> {
        let job = self.cluster.jobs().get(&task.job)?;
        Some(Urgency {
            priority: job.priority() as u8,
            over_guarantee: self.is_beyond_guarantee(&job.team),
            due_ms: job.deadline_ms().map_or(u64::MAX, |due| due as u64),
            work_lost_ms: self.work_lost_ms(task, allocation, now),
        })
    }

    fn is_beyond_guarantee(&self, team: &str) -> bool {
        let Some(known) = self.policy.team(team) else {
            return true;
        };
        let (cpus, gpus) = known.guaranteed();
        let guaranteed = lichencrank_quota::ResourceVector::rounded_down(cpus, gpus);
        let used = self.cluster.team_usage(team);
        !used.fits_within(&guaranteed)
    }

    /// What the task has done since it last saved, or began.
    fn work_lost_ms(&self, task: TaskId, allocation: &Allocation, now: Time) -> u64 {
        let Some(started) = allocation.started_at else {
            return 0;
        };
        let ran_ms = now.since(started).as_millis() as u64;
        let spec = self
            .cluster
            .jobs()
            .get(&task.job)
            .and_then(|job| job.spec.as_ref());
        let checkpoint_ms = spec.map_or(0.0, |spec| spec.checkpoint_s.0 * 1000.0) as u64;
        if checkpoint_ms > 0 {
            ran_ms % checkpoint_ms
        } else {
            ran_ms
        }
    }

    /// Whether machines may be rented in the zone.
    pub(crate) fn may_provision_in_zone(&self, zone: &str) -> bool {
        let zones = self.failure_detector.zones.as_ref();
        zones.is_none_or(|zones| zones.tracker.may_provision_in(zone))
    }
}

impl Leader {
    /// Whether zones are tracked.
    pub fn tracks_zones(&self) -> bool {
        self.failure_detector.zones.is_some()
    }

    /// The record of the earlier leader, or that there is none that can be read.
    pub fn on_zones_record_read(&mut self, record: Option<&ZonesRecord>, now: Time) {
        let day_ms = self.clock.wall_clock_ms;
        let Some(zones) = &mut self.failure_detector.zones else {
            return;
        };
        if let Some(record) = record {
            zones.tracker.restore(record, now, day_ms);
        }
        zones.restored = true;
    }

    /// The record to be written next, if it is time for one.
    pub fn next_zones_record(&mut self, now: Time) -> Option<ZonesRecord> {
        let day_ms = self.clock.wall_clock_ms;
        let zones = self.failure_detector.zones.as_mut()?;
        if zones.writing.is_some() || now < zones.write_at {
            return None;
        }
        zones.write_at = now.after(WRITE_AGAIN);
        zones.writing = zones.tracker.record_due(now, day_ms);
        zones.writing.clone()
    }

    /// Whether the record that was being written is in the state service now. Where that is not known
    /// it is written again, which does no harm.
    pub fn on_zones_record_written(&mut self, written: bool, now: Time) {
        let day_ms = self.clock.wall_clock_ms;
        let Some(zones) = &mut self.failure_detector.zones else {
            return;
        };
        let record = zones.writing.take();
        if let Some(record) = record.filter(|_| written) {
            zones.tracker.on_record_written(&record, now, day_ms);
        }
    }

    /// Feeds the tracker with what is seen of every zone.
    pub(crate) fn observe_zones(&mut self, now: Time) {
        let observations = self.view().zone_observations(now);
        let Some(zones) = self
            .failure_detector
            .zones
            .as_mut()
            .filter(|zones| zones.restored)
        else {
            return;
        };
        for change in zones.tracker.observe(&observations, now) {
            let seen = change.observation;
            tracing::info!(
                "zone {}: {} -> {}: {} of {} machines silent, {} of {} ordinary ones, controllers: {:?}",
                change.zone,
                change.from,
                change.to,
                seen.silent,
                seen.machines,
                seen.silent_on_demand,
                seen.on_demand,
                seen.controllers
            );
            self.cluster.request_scheduling();
        }
    }

    /// The silent machines of lost and returning zones that are given up now, the most urgent first,
    /// within the budgets of their zones.
    pub(crate) fn hosts_to_displace(&mut self, now: Time) -> Vec<HostName> {
        if self.failure_detector.zones.is_none() {
            return Vec::new();
        }
        let overdue = |host: &&Host| {
            self.view().zone_explains_silence(host) && self.view().is_overdue(host, now)
        };
        let hosts = self.cluster.hosts().values().filter(overdue);
        let candidates: Vec<Candidate<HostName>> = hosts
            .map(|host| Candidate {
                machine: host.name.clone(),
                zone: host.zone.clone(),
                urgency: self.view().urgency(host, now),
            })
            .collect();
        match &mut self.failure_detector.zones {
            Some(zones) => zones.tracker.displace(candidates, now),
            None => Vec::new(),
        }
    }

    /// How many of the wanted machines the budget of rentals allows now.
    pub(crate) fn take_from_provisioning_budget(&mut self, wanted: u64, now: Time) -> u64 {
        let Some(zones) = &mut self.failure_detector.zones else {
            return wanted;
        };
        let Some(left) = zones.tracker.provisioning_limit(now) else {
            return wanted;
        };
        let count = wanted.min(left as u64);
        zones.tracker.on_provisioned(count as usize);
        count
    }

    /// Zones that take only so many new tasks now.
    pub(crate) fn zone_admission_limits(&mut self, now: Time) -> BTreeMap<String, usize> {
        match &mut self.failure_detector.zones {
            Some(zones) => zones.tracker.admission_limits(now),
            None => BTreeMap::new(),
        }
    }

    /// A new task was placed in the zone.
    pub(crate) fn on_task_placed_in_zone(&mut self, zone: &str) {
        if let Some(zones) = &mut self.failure_detector.zones {
            zones.tracker.on_placed(zone, 1);
        }
    }
}

/// Whether the machine has reported to some leader, or ought to: silence before that says nothing.
fn has_booted(host: &Host, now: Time, late: Duration) -> bool {
    match host.lifecycle {
        HostLifecycle::Up | HostLifecycle::Unresponsive => true,
        HostLifecycle::Expected => host
            .listed_running_since
            .is_some_and(|at| now.since(at) > late),
        HostLifecycle::Releasing => false,
    }
}
