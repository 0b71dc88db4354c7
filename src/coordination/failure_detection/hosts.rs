//! Detection of failed hosts: which hosts are unresponsive, partitioned or lost, and when they are probed or released.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::coordination::cluster::host::{
    CordonReason, Host, HostLifecycle, Reachability, StopReason,
};
use crate::coordination::failure_detection::zones::LATE_AFTER_INTERVALS;
use crate::coordination::{Action, Leader, View};
use crate::protocol::cloud::MAX_RELEASE_COUNT;
use crate::types::{duration_from_seconds, HostName, Incarnation, Time};

/// A host whose announced reclaim time has passed is lost if no heartbeat has followed within this time.
const RECLAIM_GRACE: Duration = Duration::from_millis(500);
/// A host that still holds a cancelled task after this share of the cancellation timeout is released by force.
const FORCED_RELEASE_CANCEL_SHARE: f64 = 0.62;
/// Time after which the cloud is asked again for a forced release.
const FORCED_RELEASE_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// The longest delay of a heartbeat if the worker's controller does not answer: the worker waits 4 s for the
/// response, then 1 s before it tries the next controller, which may redirect it.
const MAX_CONTROLLER_FAILOVER_TIME: Duration = Duration::from_millis(6500);
/// With fewer silent hosts than this in a zone they count as failed rather than partitioned.
const MIN_SILENT_HOSTS_IN_PARTITION: usize = 3;
/// Boot time assumed for a host of an unknown machine type.
const DEFAULT_BOOT_S: f64 = 60.0;
/// Workers send their heartbeats at most this many heartbeat intervals apart.
const MAX_HEARTBEAT_INTERVALS: f64 = 1.25;

/// The longest time between two heartbeats of a healthy worker at the leader, if the worker can reach any controller.
pub fn max_heartbeat_delay(heartbeat_interval: Duration) -> Duration {
    heartbeat_interval.mul_f64(MAX_HEARTBEAT_INTERVALS) + MAX_CONTROLLER_FAILOVER_TIME
}

/// A host is probed once it has been silent for this many heartbeat intervals.
const PROBE_AFTER_INTERVALS: f64 = 1.5;

/// A command request without commands, to find out whether requests of this leader reach the host's worker.
struct Probe {
    host: HostName,
    address: SocketAddr,
    incarnation: Incarnation,
}

impl Probe {
    /// A probe of the host; `None` if its address is not known.
    fn of_host(host: &Host) -> Option<Probe> {
        Some(Probe {
            host: host.name.clone(),
            address: host.address?,
            incarnation: host
                .incarnation
                .max(host.newest_unfenced_heartbeat.incarnation),
        })
    }
}

impl View<'_> {
    /// For each zone, the number of silent hosts and of all hosts. A host counts as silent once its heartbeat is
    /// late, even if it may be silent for longer: when a zone is partitioned, one host exceeds its limit first while
    /// the others are only late, and if those did not count, each host would be declared lost by itself, one after the
    /// other.
    fn silent_hosts_by_zone(&self, now: Time) -> BTreeMap<String, (usize, usize)> {
        let max_heartbeat_age = self.policy.heartbeat_interval.mul_f64(LATE_AFTER_INTERVALS);
        let mut counts_by_zone: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        let mut total_counts = (0, 0);
        for host in self.cluster.hosts().values() {
            if matches!(
                host.lifecycle,
                HostLifecycle::Up | HostLifecycle::Unresponsive
            ) {
                let is_half_open = matches!(host.reachability, Reachability::HalfOpen { .. });
                let silent = usize::from(
                    is_half_open || now.since(host.last_heartbeat_at) > max_heartbeat_age,
                );
                let (silent_count, host_count) =
                    counts_by_zone.entry(host.zone.clone()).or_default();
                *host_count += 1;
                *silent_count += silent;
                total_counts.0 += silent;
                total_counts.1 += 1;
            }
        }
        // Hosts that are known only from the records of an earlier leader have no known zone. All of them are silent,
        // so counted as a zone of their own they would look partitioned forever. The totals decide for them instead.
        counts_by_zone.insert(String::new(), total_counts);
        counts_by_zone
    }

    /// Whether most hosts of the zone are silent, or were until so recently that heartbeats of healthy hosts may not
    /// have arrived since.
    fn is_zone_partitioned(&self, zone: &str, now: Time) -> bool {
        let settling_time = max_heartbeat_delay(self.policy.heartbeat_interval);
        let last_partitioned_at = self.failure_detector.partitioned_zones.get(zone);
        last_partitioned_at.is_some_and(|at| now.since(*at) < settling_time)
    }

    /// How long a host may be silent before it is marked as unresponsive and, unless its zone is unreachable or
    /// unhealthy, declared lost. An outage of a service's replica is noticed at once, so a host with replicas gets no
    /// more time than the longest delay of a healthy worker's heartbeat.
    fn max_silence(&self, host: &Host) -> Duration {
        let default_limit = self.policy.heartbeat_timeout();
        if self.holds_replicas(host) {
            default_limit.min(max_heartbeat_delay(self.policy.heartbeat_interval))
        } else {
            default_limit
        }
    }

    fn needs_probe(&self, host: &Host, now: Time) -> bool {
        let probe_after = self
            .policy
            .heartbeat_interval
            .mul_f64(PROBE_AFTER_INTERVALS);
        let is_suspect = match host.lifecycle {
            HostLifecycle::Up => host.reachability != Reachability::Confirmed,
            HostLifecycle::Unresponsive => now.since(host.last_heartbeat_at) > probe_after,
            HostLifecycle::Expected => host
                .listed_running_since
                .is_some_and(|at| now.since(at) > probe_after),
            HostLifecycle::Releasing => false,
        };
        is_suspect && now >= host.next_probe_at && !host.has_command_in_flight
    }

    /// Whether the host is to be declared lost. A host in an unreachable zone is likely to come back, so it gets more
    /// time.
    fn is_host_lost(&self, host: &Host, now: Time) -> bool {
        let max_silence = self.max_silence(host);
        let silent_for = now.since(host.last_heartbeat_at);
        let is_partitioned = self.is_zone_partitioned(&host.zone, now);
        let is_zone_unreachable = is_partitioned
            || self
                .failure_detector
                .zones_without_reachable_peer
                .contains(&host.zone);
        let is_reclaim_overdue = host
            .reclaim_at
            .is_some_and(|reclaim_at| now.since(reclaim_at) > RECLAIM_GRACE);
        match (host.lifecycle, host.reachability) {
            // The cloud has reclaimed it as announced.
            (HostLifecycle::Up | HostLifecycle::Unresponsive, _)
                if is_reclaim_overdue && host.reclaim_at > Some(host.last_heartbeat_at) =>
            {
                true
            }
            // The cloud no longer lists it, and it is silent for longer than the time between two heartbeats, which is
            // at most `MAX_HEARTBEAT_INTERVALS` heartbeat intervals.
            (HostLifecycle::Up | HostLifecycle::Unresponsive, _) if host.is_missing_from_list => {
                silent_for > self.policy.heartbeat_interval.mul_f64(1.3)
            }
            _ if self.zone_explains_silence(host) => false,
            (HostLifecycle::Unresponsive, _) => {
                silent_for
                    > if is_zone_unreachable {
                        self.policy.worker_lease * 3
                    } else {
                        max_silence
                    }
            }
            // Its tasks end when its worker's lease expires, unless responses reach the worker again before.
            (HostLifecycle::Up, Reachability::HalfOpen { since }) => {
                let lease_count = if is_zone_unreachable { 3 } else { 1 };
                now.since(since) > self.policy.worker_lease * lease_count + max_silence
            }
            (HostLifecycle::Expected, _) => {
                // Hosts that have been up for long are new to a new leader too, so they get time to send a heartbeat.
                // In a partitioned zone they can't send one, and neither can a host that has booted since.
                let max_wait = if is_partitioned {
                    self.policy.worker_lease * 3
                } else {
                    max_silence
                };
                now.since(host.first_seen_at) > max_wait
                    && self.should_have_sent_heartbeat(host, now)
            }
            (HostLifecycle::Up | HostLifecycle::Releasing, _) => false,
        }
    }

    /// Whether the leader should have received a heartbeat of the host: it has received some before, the cloud has
    /// listed the host as running for long enough, or the host exceeds its expected boot time by far.
    pub(crate) fn should_have_sent_heartbeat(&self, host: &Host, now: Time) -> bool {
        if host.lifecycle != HostLifecycle::Expected {
            return true;
        }
        let machine_type = host
            .type_index
            .and_then(|index| self.cluster.machine_types().get(index));
        let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_time_s.0);
        let is_boot_overdue = now.since(host.provisioned_at)
            > duration_from_seconds(boot_s * self.policy.tuning.boot_timeout_factor);
        let max_silence = self.max_silence(host);
        let is_listed_long_enough = host
            .listed_running_since
            .is_some_and(|at| now.since(at) > max_silence);
        is_boot_overdue || is_listed_long_enough
    }

    /// Whether a task of a cancelled job has not stopped within a share of the cancellation timeout, which is smaller
    /// if the host does not respond.
    fn holds_overdue_cancelled_task(&self, host: &Host, now: Time) -> bool {
        let is_responsive = now.since(host.last_heartbeat_at) <= self.policy.heartbeat_interval * 2
            && host.reachability == Reachability::Confirmed;
        host.allocations.iter().any(|(task, allocation)| {
            let cancelled_at = self
                .cluster
                .jobs()
                .get(&task.job)
                .and_then(|job| job.cancelled_at);
            let share = if is_responsive { 0.55 } else { 0.25 };
            allocation.stop_reason == Some(StopReason::Cancelled)
                && cancelled_at.is_some_and(|at| {
                    now.since(at) > self.policy.cancellation_timeout.mul_f64(share)
                })
        })
    }
}

impl Leader {
    /// Checks all hosts and zones for failures. Hosts are probed and lost hosts released only if `may_act`, that
    /// is, while the leader's lease is valid; forced releases do not depend on it.
    pub(crate) fn check_hosts(&mut self, now: Time, may_act: bool) {
        if may_act {
            self.failure_detector.is_outdated_by_pause = false;
        }
        self.mark_unresponsive_hosts(now);
        self.observe_zones(now);
        self.record_partitioned_zones(now);
        self.force_overdue_releases(now);
        if !may_act {
            return;
        }
        self.send_probes(now);
        for (name, reason) in self.hosts_to_release(now) {
            let Some(host) = self.cluster.host(&name) else {
                continue;
            };
            let (lifecycle, task_count) = (host.lifecycle, host.allocations.len());
            if self.cluster.begin_release(&name, reason) {
                tracing::info!(
                    "{name}: declared lost or faulty, releasing it: {lifecycle:?}, {task_count} tasks allocated");
                self.autoscaler.queue_release(name);
            }
        }
    }

    /// The hosts to be declared lost or faulty and released, each with the reason. A host may be named twice.
    fn hosts_to_release(&mut self, now: Time) -> Vec<(HostName, CordonReason)> {
        let displaced = self.hosts_to_displace(now);
        let mut to_release: Vec<(HostName, CordonReason)> = displaced
            .into_iter()
            .map(|name| (name, CordonReason::Lost))
            .collect();
        for host in self.cluster.hosts().values() {
            if host.lifecycle == HostLifecycle::Releasing {
                continue;
            }
            if self.view().is_host_lost(host, now)
                || self.view().holds_overdue_cancelled_task(host, now)
            {
                to_release.push((host.name.clone(), CordonReason::Lost));
            } else if host.cordon_reason == Some(CordonReason::Faulty) {
                to_release.push((host.name.clone(), CordonReason::Faulty));
            }
        }
        to_release
    }

    /// Notes zones with many silent hosts as partitioned: many hosts that fall silent at once are cut off rather than
    /// failed.
    fn record_partitioned_zones(&mut self, now: Time) {
        for (zone, (silent_count, host_count)) in self.view().silent_hosts_by_zone(now) {
            if silent_count >= MIN_SILENT_HOSTS_IN_PARTITION && silent_count * 2 > host_count {
                self.failure_detector.partitioned_zones.insert(zone, now);
            }
        }
    }

    fn mark_unresponsive_hosts(&mut self, now: Time) {
        let is_silent_too_long = |host: &&Host| {
            host.is_up() && now.since(host.last_heartbeat_at) > self.view().max_silence(host)
        };
        let unresponsive = self.cluster.hosts().values().filter(is_silent_too_long);
        let names: Vec<HostName> = unresponsive.map(|host| host.name.clone()).collect();
        for name in names {
            tracing::info!("{name}: missed heartbeats, marked as unresponsive");
            self.cluster.mark_unresponsive(&name);
        }
    }

    /// Releases hosts on which a cancelled task has almost reached the cancellation timeout. This does not depend on
    /// the leader's lease: during an outage of the state service no other controller could do it. After a pause without
    /// a valid lease, only what a host has reported since then counts.
    fn force_overdue_releases(&mut self, now: Time) {
        let max_cancel_time = self
            .policy
            .cancellation_timeout
            .mul_f64(FORCED_RELEASE_CANCEL_SHARE);
        let is_overdue = |host: &&Host| {
            let was_requested = host
                .force_released_at
                .is_some_and(|at| now.since(at) < FORCED_RELEASE_RETRY_INTERVAL);
            let is_outdated = self.failure_detector.is_outdated_by_pause
                && !(host.is_up() && host.reachability == Reachability::Confirmed);
            !was_requested
                && !is_outdated
                && host.allocations.iter().any(|(task, allocation)| {
                    let cancelled_at = self
                        .cluster
                        .jobs()
                        .get(&task.job)
                        .and_then(|job| job.cancelled_at);
                    allocation.stop_reason == Some(StopReason::Cancelled)
                        && cancelled_at.is_some_and(|at| now.since(at) > max_cancel_time)
                })
        };
        let overdue_hosts = self.cluster.hosts().values().filter(is_overdue);
        let names: Vec<HostName> = overdue_hosts.map(|host| host.name.clone()).collect();
        for name in &names {
            tracing::info!("{name}: forcing its release, a cancelled task has not stopped in time");
            self.cluster.begin_forced_release(name, now);
        }
        for names in names.chunks(MAX_RELEASE_COUNT) {
            self.actions.push(Action::ForceRelease(names.to_vec()));
        }
    }

    /// Probes hosts that commands seem not to reach, and hosts whose heartbeats do not arrive. The latter may still
    /// send them to an earlier leader that is cut off together with them. The probe carries this leader's fencing
    /// token: once a worker has seen it, the worker ignores the earlier leader's responses, and its heartbeats tell
    /// that leader of the new term.
    fn send_probes(&mut self, now: Time) {
        let max_new_probes = self.dispatcher.free_probe_slots();
        let hosts = self.cluster.hosts().values();
        let hosts_to_probe = hosts.filter(|host| self.view().needs_probe(host, now));
        let probes: Vec<Probe> = hosts_to_probe
            .filter_map(Probe::of_host)
            .take(max_new_probes)
            .collect();
        for probe in probes {
            let next_probe_at = now.after(self.policy.heartbeat_interval * 2);
            self.cluster.on_probe_sent(&probe.host, next_probe_at);
            self.dispatcher.on_probe_sent();
            self.actions.push(Action::SendCommands {
                host: probe.host,
                address: probe.address,
                fencing_token: self.fencing_token(),
                incarnation: probe.incarnation,
                commands: Vec::new(),
            });
        }
    }
}
