//! The leader's status reports: the reachability of hosts for the node, and summaries for the log.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::coordination::cluster::host::{Host, HostLifecycle};
use crate::coordination::cluster::job::Job;
use crate::coordination::failure_detection::zones;
use crate::coordination::scheduling::scoring;
use crate::coordination::{Leader, LeaderPhase, View};
use crate::types::Time;

/// How many hosts the leader receives heartbeats from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerReach {
    /// Hosts whose last heartbeat is not late.
    pub reachable_hosts: usize,
    /// Hosts that are up or unresponsive.
    pub known_hosts: usize,
    /// The zone that holds the most of these hosts.
    pub home_zone: Option<String>,
}

impl WorkerReach {
    /// Whether more than half of the hosts are unreachable. Fewer than three hosts are too few to tell.
    pub fn is_partitioned(&self) -> bool {
        self.known_hosts >= 3 && self.reachable_hosts * 2 < self.known_hosts
    }
}

/// CPUs of the hosts that are up.
#[derive(Clone, Copy, Debug, Default)]
struct CpuUsage {
    allocated_cpus: f64,
    /// CPUs that are free on cordoned hosts.
    cordoned_cpus: f64,
    total_cpus: f64,
}

/// Allocations whose tasks are being stopped.
#[derive(Clone, Copy, Debug, Default)]
struct PendingStops {
    count: usize,
    /// How long ago the first of their stops was requested.
    longest: Duration,
}

impl View<'_> {
    fn pending_stops(&self) -> PendingStops {
        let mut stops = PendingStops::default();
        let hosts = self.cluster.hosts().values();
        let allocations = hosts.flat_map(|host| host.allocations.values());
        for requested_at in allocations.filter_map(|a| a.stop_requested_at) {
            stops.count += 1;
            stops.longest = stops.longest.max(self.clock.now.since(requested_at));
        }
        stops
    }

    fn cpu_usage(&self) -> CpuUsage {
        let mut usage = CpuUsage::default();
        for host in self
            .cluster
            .hosts()
            .values()
            .filter(|host| host.lifecycle == HostLifecycle::Up)
        {
            let cpus = host
                .type_index
                .and_then(|index| self.cluster.machine_types().get(index))
                .map_or(0.0, |machine_type| machine_type.cpus.0);
            usage.allocated_cpus += host.allocated_resources.cpus;
            usage.total_cpus += cpus;
            if host.cordon_reason.is_some() {
                usage.cordoned_cpus += cpus - host.allocated_resources.cpus;
            }
        }
        usage
    }
}

impl Leader {
    /// How many of the hosts that have been up still send heartbeats to this leader, and which zone holds the most
    /// hosts.
    pub fn worker_reach(&self, now: Time) -> WorkerReach {
        let max_silence = self
            .policy
            .heartbeat_interval
            .mul_f64(zones::LATE_AFTER_INTERVALS);
        let mut reach = WorkerReach::default();
        let mut hosts_by_zone: BTreeMap<&str, usize> = BTreeMap::new();
        for host in self.cluster.hosts().values() {
            if host.zone.is_empty()
                || !matches!(
                    host.lifecycle,
                    HostLifecycle::Up | HostLifecycle::Unresponsive
                )
            {
                continue;
            }
            reach.known_hosts += 1;
            reach.reachable_hosts += usize::from(now.since(host.last_heartbeat_at) <= max_silence);
            *hosts_by_zone.entry(&host.zone).or_default() += 1;
        }
        reach.home_zone = hosts_by_zone
            .iter()
            .max_by_key(|(_, count)| **count)
            .map(|(zone, _)| (*zone).to_owned());
        reach
    }

    /// A log line for operators that names the job that has waited the longest for its first task to start, and the
    /// reason.
    pub fn longest_wait(&self, now: Time) -> Option<String> {
        let has_not_started =
            |job: &&Job| job.waiting_count() > 0 && job.allocated_count == 0 && job.done_count == 0;
        let job = self
            .cluster
            .jobs()
            .values()
            .filter(has_not_started)
            .min_by_key(|job| job.submitted_at_ms)?;
        let spec = job.spec.as_ref()?;
        let waited_s = self.clock.wall_clock_ms.saturating_sub(job.submitted_at_ms) / 1000;
        let reason = if !self.has_valid_lease(now) {
            "no valid leader lease, as the state service does not respond to this controller"
                .to_owned()
        } else if matches!(
            self.phase,
            LeaderPhase::LoadingRecords | LeaderPhase::AwaitingHeartbeats { .. }
        ) {
            "the new leader is still reading records or awaiting heartbeats".to_owned()
        } else if job.fails_everywhere() || now < job.retry_not_before {
            format!("its tasks failed {} times", job.failure_count)
        } else if self.view().tasks_within_team_quota(job) == 0 {
            format!("team {} has no quota left for another task", job.team)
        } else if self.cluster.record_writer().urgent_record_count()
            >= self.policy.max_queued_records_per_priority
        {
            format!(
                "{} urgent records wait to be written",
                self.cluster.record_writer().urgent_record_count()
            )
        } else {
            let is_suitable = |host: &&Host| {
                let machine_type = host
                    .type_index
                    .and_then(|index| self.cluster.machine_types().get(index));
                machine_type
                    .is_some_and(|machine_type| scoring::is_type_suitable(spec, machine_type))
                    && (spec.allows_spot || !host.is_spot)
            };
            let count = |lifecycle| {
                let hosts = self.cluster.hosts().values().filter(is_suitable);
                hosts.filter(|host| host.lifecycle == lifecycle).count()
            };
            let (up, expected) = (count(HostLifecycle::Up), count(HostLifecycle::Expected));
            format!("no free capacity on {up} suitable hosts that are up, {expected} more expected")
        };
        Some(format!(
            "{} has waited for {waited_s} s for its first task to start: {reason}",
            job.id
        ))
    }

    /// A log line for operators that summarizes the state of the cluster.
    pub fn summary(&self) -> String {
        let count = |lifecycle| {
            self.cluster
                .hosts()
                .values()
                .filter(|host| host.lifecycle == lifecycle)
                .count()
        };
        let waiting: u64 = self
            .cluster
            .jobs()
            .values()
            .map(|job| u64::from(job.waiting_count()))
            .sum();
        let allocated: usize = self
            .cluster
            .hosts()
            .values()
            .map(|host| host.allocations.len())
            .sum();
        let not_started: usize = self
            .cluster
            .hosts()
            .values()
            .map(|host| {
                host.allocations
                    .values()
                    .filter(|allocation| allocation.started_at.is_none())
                    .count()
            })
            .sum();
        let stops = self.view().pending_stops();
        let usage = self.view().cpu_usage();
        let (used, cordoned, all) = (usage.allocated_cpus, usage.cordoned_cpus, usage.total_cpus);
        format!(
            "{} jobs, {waiting} tasks waiting, {allocated} allocated, {not_started} of them not started, {} being stopped, the longest for {:.0} s; {used} of {all} CPUs allocated, {cordoned} free on cordoned hosts; hosts: {} up, {} expected, {} unresponsive, {} being released",
            self.cluster.jobs().len(),
            stops.count,
            stops.longest.as_secs_f64(),
            count(HostLifecycle::Up),
            count(HostLifecycle::Expected),
            count(HostLifecycle::Unresponsive),
            count(HostLifecycle::Releasing),
        )
    }
}
