//! Zone tracking: what the leader observes of each zone, and which silent hosts of a lost zone it releases.

use std::collections::BTreeMap;
use std::time::Duration;

use lichencrank_zones::{
    Candidate, HostObservation, Urgency, ZoneObservation, ZoneState, ZoneTracker, ZonesRecord,
};

use crate::coordination::cluster::host::{Allocation, Host, HostLifecycle, Reachability};
use crate::coordination::{max_heartbeat_delay, Leader, View};
use crate::protocol::users::Priority;
use crate::types::{HostName, TaskId, Time};

/// A host's heartbeat is late once the last one is this many heartbeat intervals old.
pub(crate) const LATE_AFTER_INTERVALS: f64 = 1.8;
/// A silent host with urgent tasks in an unhealthy zone is overdue after this many lease durations. Until then its
/// tasks may still be running: a controller in the zone may renew its worker's lease.
const URGENT_SILENCE_LEASES: f64 = 2.5;
/// The same for a host without urgent tasks.
const DEFAULT_SILENCE_LEASES: f64 = 3.0;

/// The leader's zone tracking, if that feature is enabled.
pub(crate) struct ZoneMonitor {
    pub(crate) tracker: ZoneTracker,
    /// Whether the record of an earlier leader has been read. Until then the tracker gets no observations.
    is_restored: bool,
    /// The record whose write is in progress.
    record_being_written: Option<ZonesRecord>,
    /// No write of a record begins before this time.
    next_write_at: Time,
}

/// The least time between two attempts to write the record, and so the delay before a failed write is retried.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);

impl ZoneMonitor {
    pub(crate) fn new(settings: lichencrank_zones::ZoneSettings, now: Time) -> ZoneMonitor {
        ZoneMonitor {
            tracker: ZoneTracker::new(settings, now),
            is_restored: false,
            record_being_written: None,
            next_write_at: now,
        }
    }
}

impl View<'_> {
    /// What is observed of each zone: whether its controllers answer, and how many of its hosts are silent.
    fn zone_observations(&self, now: Time) -> BTreeMap<String, ZoneObservation> {
        let mut observations: BTreeMap<String, ZoneObservation> = BTreeMap::new();
        for (zone, reach) in &self.failure_detector.controller_reach_by_zone {
            observations.entry(zone.clone()).or_default().controllers = *reach;
        }
        let max_heartbeat_age = self.policy.heartbeat_interval.mul_f64(LATE_AFTER_INTERVALS);
        for host in self
            .cluster
            .hosts()
            .values()
            .filter(|host| !host.zone.is_empty())
        {
            if !has_booted(host, now, max_heartbeat_age) {
                continue;
            }
            let is_half_open = matches!(host.reachability, Reachability::HalfOpen { .. });
            let is_silent = is_half_open || now.since(host.last_heartbeat_at) > max_heartbeat_age;
            let observation = observations.entry(host.zone.clone()).or_default();
            observation.add(HostObservation {
                is_silent,
                is_spot: host.is_spot,
            });
        }
        observations
    }

    /// Whether the host's silence is attributed to its zone, as the zone is unhealthy. Only
    /// [`Leader::hosts_to_displace`] then releases the host for its silence.
    pub(crate) fn zone_explains_silence(&self, host: &Host) -> bool {
        let monitor = self
            .failure_detector
            .zone_monitor
            .as_ref()
            .filter(|monitor| monitor.is_restored);
        monitor.is_some_and(|monitor| monitor.tracker.is_unhealthy(&host.zone))
    }

    /// Whether a host in an unhealthy zone has been silent for longer than its tasks may wait for the zone to return.
    fn is_displacement_due(&self, host: &Host, now: Time) -> bool {
        let silent_for = match (host.lifecycle, host.reachability) {
            (HostLifecycle::Unresponsive, _) => now.since(host.last_heartbeat_at),
            (HostLifecycle::Up, Reachability::HalfOpen { since }) => now.since(since),
            (HostLifecycle::Expected, _) => {
                now.since(host.first_seen_at.max(host.last_heartbeat_at))
            }
            (HostLifecycle::Up | HostLifecycle::Releasing, _) => return false,
        };
        silent_for > self.max_silence_in_zone(host, now)
            && self.should_have_sent_heartbeat(host, now)
    }

    /// How long the host may be silent before its tasks no longer wait for its unhealthy zone.
    fn max_silence_in_zone(&self, host: &Host, now: Time) -> Duration {
        let zone_state = self.failure_detector.zone_monitor.as_ref().map(|monitor| {
            let tracker = &monitor.tracker;
            (
                tracker.state(&host.zone),
                tracker.time_in_state(&host.zone, now),
            )
        });
        let settling_time = max_heartbeat_delay(self.policy.heartbeat_interval);
        match zone_state {
            // The zone has been returning for long enough for a heartbeat of every healthy worker to arrive.
            Some((ZoneState::Returning, age)) if age > settling_time => {
                self.policy.heartbeat_timeout()
            }
            _ if self.holds_urgent_task(host) => {
                self.policy.worker_lease.mul_f64(URGENT_SILENCE_LEASES)
            }
            _ => self.policy.worker_lease.mul_f64(DEFAULT_SILENCE_LEASES),
        }
    }

    /// Whether the host has a task of high priority or a replica of a service.
    fn holds_urgent_task(&self, host: &Host) -> bool {
        host.allocations.keys().any(|task| {
            let job = self.cluster.jobs().get(&task.job);
            job.is_some_and(|job| job.priority() <= Priority::High || job.is_service())
        })
    }

    /// The urgency of releasing the host: that of its most urgent task, with the lost work of all its tasks.
    fn host_urgency(&self, host: &Host, now: Time) -> Urgency {
        let allocations = host.allocations.iter();
        let most_urgent = allocations
            .filter_map(|(task, allocation)| self.task_urgency(*task, allocation, now))
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

    fn task_urgency(&self, task: TaskId, allocation: &Allocation, now: Time) -> Option<Urgency> {
        let job = self.cluster.jobs().get(&task.job)?;
        Some(Urgency {
            priority: job.priority() as u8,
            is_over_guarantee: self.is_team_over_guarantee(&job.team),
            deadline_ms: job
                .deadline_ms()
                .map_or(u64::MAX, |deadline_ms| deadline_ms as u64),
            work_lost_ms: self.work_lost_ms(task, allocation, now),
        })
    }

    /// Whether the team uses more than its guarantee. A team without settings has no guarantee.
    fn is_team_over_guarantee(&self, team: &str) -> bool {
        let Some(team_settings) = self.policy.team(team) else {
            return true;
        };
        let (cpus, gpus) = team_settings.guaranteed();
        let guaranteed = lichencrank_quota::ResourceVector::rounded_down(cpus, gpus);
        let used = self.cluster.team_usage(team);
        !used.fits_within(&guaranteed)
    }

    /// Run time in milliseconds that the task would have to repeat if its host were released: the time since its last
    /// checkpoint, or since its start if it makes none.
    fn work_lost_ms(&self, task: TaskId, allocation: &Allocation, now: Time) -> u64 {
        let Some(started_at) = allocation.started_at else {
            return 0;
        };
        let run_time_ms = now.since(started_at).as_millis() as u64;
        let spec = self
            .cluster
            .jobs()
            .get(&task.job)
            .and_then(|job| job.spec.as_ref());
        let checkpoint_interval_ms =
            spec.map_or(0.0, |spec| spec.checkpoint_interval_s.0 * 1000.0) as u64;
        if checkpoint_interval_ms > 0 {
            run_time_ms % checkpoint_interval_ms
        } else {
            run_time_ms
        }
    }

    /// Whether hosts may be provisioned in the zone.
    pub(crate) fn may_provision_in_zone(&self, zone: &str) -> bool {
        let monitor = self.failure_detector.zone_monitor.as_ref();
        monitor.is_none_or(|monitor| monitor.tracker.may_provision_in(zone))
    }
}

impl Leader {
    /// Whether zones are tracked.
    pub fn tracks_zones(&self) -> bool {
        self.failure_detector.zone_monitor.is_some()
    }

    /// The earlier leader's record was read; `None` if there is none or it cannot be decoded. From now on zones are
    /// tracked.
    pub fn on_zones_record_read(&mut self, record: Option<&ZonesRecord>, now: Time) {
        let wall_clock_ms = self.clock.wall_clock_ms;
        let Some(monitor) = &mut self.failure_detector.zone_monitor else {
            return;
        };
        if let Some(record) = record {
            monitor.tracker.restore(record, now, wall_clock_ms);
        }
        monitor.is_restored = true;
    }

    /// Begins the write of the next record, and returns it; `None` if no write is due or one is in progress.
    pub fn next_zones_record(&mut self, now: Time) -> Option<ZonesRecord> {
        let wall_clock_ms = self.clock.wall_clock_ms;
        let monitor = self.failure_detector.zone_monitor.as_mut()?;
        if monitor.record_being_written.is_some() || now < monitor.next_write_at {
            return None;
        }
        monitor.next_write_at = now.after(MIN_WRITE_INTERVAL);
        monitor.record_being_written = monitor.tracker.record_due(now, wall_clock_ms);
        monitor.record_being_written.clone()
    }

    /// The write of the record has ended; `is_committed` says whether the state service is known to hold the record.
    /// Otherwise it is written again, which is harmless if the first write did succeed.
    pub fn on_zones_record_written(&mut self, is_committed: bool, now: Time) {
        let wall_clock_ms = self.clock.wall_clock_ms;
        let Some(monitor) = &mut self.failure_detector.zone_monitor else {
            return;
        };
        let record = monitor.record_being_written.take();
        if let Some(record) = record.filter(|_| is_committed) {
            monitor
                .tracker
                .on_record_written(&record, now, wall_clock_ms);
        }
    }

    /// Passes the observations of all zones to the tracker, and logs the changes of state that follow.
    pub(crate) fn observe_zones(&mut self, now: Time) {
        let observations = self.view().zone_observations(now);
        let Some(monitor) = self
            .failure_detector
            .zone_monitor
            .as_mut()
            .filter(|monitor| monitor.is_restored)
        else {
            return;
        };
        for transition in monitor.tracker.observe(&observations, now) {
            let observation = transition.observation;
            tracing::info!(
                "zone {}: {} -> {}: {} of {} hosts silent, {} of {} on-demand hosts silent, controllers: {:?}",
                transition.zone,
                transition.from,
                transition.to,
                observation.silent_hosts,
                observation.hosts,
                observation.silent_on_demand_hosts,
                observation.on_demand_hosts,
                observation.controllers
            );
            self.cluster.request_scheduling();
        }
    }

    /// The silent hosts of lost and returning zones that are to be released now, the most urgent first, within the
    /// displacement budgets of their zones.
    pub(crate) fn hosts_to_displace(&mut self, now: Time) -> Vec<HostName> {
        if self.failure_detector.zone_monitor.is_none() {
            return Vec::new();
        }
        let is_candidate = |host: &&Host| {
            self.view().zone_explains_silence(host) && self.view().is_displacement_due(host, now)
        };
        let overdue_hosts = self.cluster.hosts().values().filter(is_candidate);
        let candidates: Vec<Candidate<HostName>> = overdue_hosts
            .map(|host| Candidate {
                host: host.name.clone(),
                zone: host.zone.clone(),
                urgency: self.view().host_urgency(host, now),
            })
            .collect();
        match &mut self.failure_detector.zone_monitor {
            Some(monitor) => monitor.tracker.displace(candidates, now),
            None => Vec::new(),
        }
    }

    /// Charges up to `wanted` hosts to the provisioning budget, which is limited while a zone is lost. Returns how many
    /// hosts may be provisioned now.
    pub(crate) fn take_from_provisioning_budget(&mut self, wanted: u64, now: Time) -> u64 {
        let Some(monitor) = &mut self.failure_detector.zone_monitor else {
            return wanted;
        };
        let Some(limit) = monitor.tracker.provisioning_limit(now) else {
            return wanted;
        };
        let count = wanted.min(limit as u64);
        monitor.tracker.on_provisioned(count as usize);
        count
    }

    /// How many new tasks each zone takes now. Zones without a limit are left out.
    pub(crate) fn zone_admission_limits(&mut self, now: Time) -> BTreeMap<String, usize> {
        match &mut self.failure_detector.zone_monitor {
            Some(monitor) => monitor.tracker.admission_limits(now),
            None => BTreeMap::new(),
        }
    }

    /// A new task was placed in the zone, which counts against the zone's admission limit.
    pub(crate) fn on_task_placed_in_zone(&mut self, zone: &str) {
        if let Some(monitor) = &mut self.failure_detector.zone_monitor {
            monitor.tracker.on_placed(zone, 1);
        }
    }
}

/// Whether the host has sent a heartbeat to some leader, or should have by now. The silence of a host that may still be
/// booting says nothing about its zone.
fn has_booted(host: &Host, now: Time, max_heartbeat_age: Duration) -> bool {
    match host.lifecycle {
        HostLifecycle::Up | HostLifecycle::Unresponsive => true,
        HostLifecycle::Expected => host
            .listed_running_since
            .is_some_and(|at| now.since(at) > max_heartbeat_age),
        HostLifecycle::Releasing => false,
    }
}
