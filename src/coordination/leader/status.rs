//! What the leader tells of itself: to the node, about which machines it hears, and to the log.

use std::collections::BTreeMap;

use crate::coordination::cluster::host::{Host, HostLifecycle};
use crate::coordination::cluster::job::Job;
use crate::coordination::failure_detection::zones;
use crate::coordination::scheduling::scoring;
use crate::coordination::{Leader, LeaderPhase, View};
use crate::types::Time;

/// How many machines the leader hears.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerReach {
    /// Machines that reported lately.
    pub reachable_hosts: usize,
    /// Machines that are up or silent.
    pub known_hosts: usize,
    /// The zone that holds the most machines.
    pub home_zone: Option<String>,
}

impl WorkerReach {
    /// More than half of the machines are out of earshot.
    pub fn is_partitioned(&self) -> bool {
        self.known_hosts >= 3 && self.reachable_hosts * 2 < self.known_hosts
    }
}

/// CPUs of the hosts that are up.
#[derive(Clone, Copy, Debug, Default)]
struct CpuUsage {
    allocated: f64,
    /// Free on hosts that are cordoned.
    cordoned: f64,
    total: f64,
}

impl View<'_> {
    fn cpu_usage(&self) -> CpuUsage {
        let mut usage = CpuUsage::default();
        for host in self
            .cluster
            .hosts()
            .values()
            .filter(|h| h.lifecycle == HostLifecycle::Up)
        {
            let cpus = host
                .type_index
                .and_then(|k| self.cluster.machine_types().get(k))
                .map_or(0.0, |t| t.cpus.0);
            usage.allocated += host.allocated_resources.cpus;
            usage.total += cpus;
            if host.cordon_reason.is_some() {
                usage.cordoned += cpus - host.allocated_resources.cpus;
            }
        }
        usage
    }
}

impl Leader {
    /// How many of the machines that were up this leader still hears, and where most of them are.
    pub fn worker_reach(&self, now: Time) -> WorkerReach {
        let late = self
            .policy
            .heartbeat_interval
            .mul_f64(zones::LATE_AFTER_INTERVALS);
        let mut reach = WorkerReach::default();
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
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
            reach.reachable_hosts += usize::from(now.since(host.last_heartbeat_at) <= late);
            *zones.entry(&host.zone).or_default() += 1;
        }
        reach.home_zone = zones
            .iter()
            .max_by_key(|(_, count)| **count)
            .map(|(zone, _)| (*zone).to_owned());
        reach
    }

    /// Which job has waited the longest for its first start, and why, for operators.
    pub fn longest_wait(&self, now: Time) -> Option<String> {
        let unbegun =
            |j: &&Job| j.waiting_count() > 0 && j.allocated_count == 0 && j.done_count == 0;
        let job = self
            .cluster
            .jobs()
            .values()
            .filter(unbegun)
            .min_by_key(|j| j.submitted_at_ms)?;
        let spec = job.spec.as_ref()?;
        let waited = self.clock.wall_clock_ms.saturating_sub(job.submitted_at_ms) / 1000;
        let why = if !self.may_act(now) {
            "the state service does not answer here".to_owned()
        } else if matches!(
            self.phase,
            LeaderPhase::LoadingRecords | LeaderPhase::AwaitingHeartbeats { .. }
        ) {
            "a new leader is making its picture".to_owned()
        } else if job.fails_everywhere() || now < job.retry_not_before {
            format!("it failed {} times", job.failure_count)
        } else if self.view().tasks_within_team_quota(job) == 0 {
            format!("{} is at its limit", job.team)
        } else if self.cluster.record_writer().urgent_record_count()
            >= self.policy.max_queued_records_per_priority
        {
            format!(
                "{} records wait to be written",
                self.cluster.record_writer().urgent_record_count()
            )
        } else {
            let suits = |h: &&Host| {
                let kind = h
                    .type_index
                    .and_then(|k| self.cluster.machine_types().get(k));
                kind.is_some_and(|t| scoring::is_type_suitable(spec, t))
                    && (spec.spot || !h.is_spot)
            };
            let count = |life| {
                let hosts = self.cluster.hosts().values().filter(suits);
                hosts.filter(|h| h.lifecycle == life).count()
            };
            let (up, expected) = (count(HostLifecycle::Up), count(HostLifecycle::Expected));
            format!("no room on {up} machines that suit it, {expected} more expected")
        };
        Some(format!("{} waits for {waited} s: {why}", job.id))
    }

    /// A line for the log that tells operators how things stand.
    pub fn summary(&self) -> String {
        let count = |life| {
            self.cluster
                .hosts()
                .values()
                .filter(|h| h.lifecycle == life)
                .count()
        };
        let waiting: u64 = self
            .cluster
            .jobs()
            .values()
            .map(|j| u64::from(j.waiting_count()))
            .sum();
        let booked: usize = self
            .cluster
            .hosts()
            .values()
            .map(|h| h.allocations.len())
            .sum();
        let fetching: usize = self
            .cluster
            .hosts()
            .values()
            .map(|h| {
                h.allocations
                    .values()
                    .filter(|b| b.started_at.is_none())
                    .count()
            })
            .sum();
        let cpus = self.view().cpu_usage();
        let (used, closed, all) = (cpus.allocated, cpus.cordoned, cpus.total);
        format!(
            "{} jobs, {waiting} tasks waiting, {booked} booked, {fetching} of them not started; {used} of {all} CPUs used, {closed} closed; machines: {} up, {} expected, {} silent, {} returning",
            self.cluster.jobs().len(),
            count(HostLifecycle::Up),
            count(HostLifecycle::Expected),
            count(HostLifecycle::Unresponsive),
            count(HostLifecycle::Releasing),
        )
    }
}
