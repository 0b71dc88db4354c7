//! Silence: which machines are cut off, broken or gone, and what is done about it.

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

/// A machine that is to be taken and was not heard after its time is gone this much later.
const TAKEN_AFTER: Duration = Duration::from_millis(500);
/// Cancelled work that is still there after this part of its time goes with its machine.
const OVERDUE_PART: f64 = 0.62;
/// The cloud is asked for that again after this.
const REMOVE_AGAIN: Duration = Duration::from_secs(2);

/// A worker whose controller does not answer is heard again at the latest so long after its report was
/// due: it waits 4 s for the answer and 1 s before it tries the next one, which may send it on.
const LONGEST_RETRY: Duration = Duration::from_millis(6500);
/// Fewer silent machines than this are broken rather than cut off.
const FEW_MACHINES: usize = 3;
/// How long a machine of an unknown type boots.
const UNKNOWN_BOOT_S: f64 = 60.0;
/// Reports come at the latest after this many intervals.
const LATEST_REPORT: f64 = 1.25;

/// A healthy worker that can reach some controller has been heard by the leader after so long.
pub fn max_heartbeat_delay(report: Duration) -> Duration {
    report.mul_f64(LATEST_REPORT) + LONGEST_RETRY
}

/// A host is probed once it was silent for so many heartbeat intervals.
const PROBED_AFTER_INTERVALS: f64 = 1.5;

/// A command request without commands, to find out whether the host hears this leader.
struct Probe {
    host: HostName,
    address: SocketAddr,
    incarnation: Incarnation,
}

impl Probe {
    /// The probe to that host; `None` if its address is not known.
    fn to(host: &Host) -> Option<Probe> {
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
    /// How many machines of each zone are silent, and how many there are. In a cut the first machine is
    /// past the limit while the others are merely late: all that missed a report count, or each would be
    /// given up alone, one after the other.
    fn silence_by_zone(&self, now: Time) -> BTreeMap<String, (usize, usize)> {
        let late = self.policy.heartbeat_interval.mul_f64(LATE_AFTER_INTERVALS);
        let mut by_zone: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        let mut everywhere = (0, 0);
        for host in self.cluster.hosts().values() {
            if matches!(
                host.lifecycle,
                HostLifecycle::Up | HostLifecycle::Unresponsive
            ) {
                let deaf = matches!(host.reachability, Reachability::HalfOpen { .. });
                let gone = usize::from(deaf || now.since(host.last_heartbeat_at) > late);
                let (silent, all) = by_zone.entry(host.zone.clone()).or_default();
                *all += 1;
                *silent += gone;
                everywhere.0 += gone;
                everywhere.1 += 1;
            }
        }
        // Of machines that only the records of an earlier leader name the zone is not known. They are
        // all silent, but no zone of their own: that would look like a cut for ever.
        by_zone.insert(String::new(), everywhere);
        by_zone
    }

    /// Whether most machines of the zone are silent, or were until so short a while ago that the others
    /// have had no time to report.
    fn is_cut_off(&self, zone: &str, now: Time) -> bool {
        let settling_time = max_heartbeat_delay(self.policy.heartbeat_interval);
        let seen_at = self.failure_detector.partitioned_zones.get(zone);
        seen_at.is_some_and(|at| now.since(*at) < settling_time)
    }

    /// How long a machine may be silent before it is given up. Replicas are missed at every moment:
    /// one that holds some is given up as soon as a healthy worker would have been heard.
    fn silence_limit(&self, host: &Host) -> Duration {
        let usual = self.policy.heartbeat_timeout();
        if self.holds_replicas(host) {
            usual.min(max_heartbeat_delay(self.policy.heartbeat_interval))
        } else {
            usual
        }
    }

    fn needs_probe(&self, host: &Host, now: Time) -> bool {
        let max_silence = self
            .policy
            .heartbeat_interval
            .mul_f64(PROBED_AFTER_INTERVALS);
        let is_wanted = match host.lifecycle {
            HostLifecycle::Up => host.reachability != Reachability::Confirmed,
            HostLifecycle::Unresponsive => now.since(host.last_heartbeat_at) > max_silence,
            HostLifecycle::Expected => host
                .listed_running_since
                .is_some_and(|at| now.since(at) > max_silence),
            HostLifecycle::Releasing => false,
        };
        is_wanted && now >= host.next_probe_at && !host.has_command_in_flight
    }

    fn host_is_lost(&self, host: &Host, now: Time) -> bool {
        let limit = self.silence_limit(host);
        let silent_for = now.since(host.last_heartbeat_at);
        // What is cut off comes back, later.
        let machines_cut = self.is_cut_off(&host.zone, now);
        let cut = machines_cut
            || self
                .failure_detector
                .zones_without_reachable_peer
                .contains(&host.zone);
        let taken = host
            .reclaim_at
            .is_some_and(|by| now.since(by) > TAKEN_AFTER);
        match (host.lifecycle, host.reachability) {
            // The cloud has taken it, as it said it would.
            (HostLifecycle::Up | HostLifecycle::Unresponsive, _)
                if taken && host.reclaim_at > Some(host.last_heartbeat_at) =>
            {
                true
            }
            // No longer in the list, and silent for longer than reports take.
            (HostLifecycle::Up | HostLifecycle::Unresponsive, _) if host.is_missing_from_list => {
                silent_for > self.policy.heartbeat_interval.mul_f64(1.3)
            }
            _ if self.zone_explains_silence(host) => false,
            (HostLifecycle::Unresponsive, _) => {
                silent_for
                    > if cut {
                        self.policy.worker_lease * 3
                    } else {
                        limit
                    }
            }
            // Its tasks end with its lease, unless it hears again before.
            (HostLifecycle::Up, Reachability::HalfOpen { since }) => {
                let patience = if cut { 3 } else { 1 };
                now.since(since) > self.policy.worker_lease * patience + limit
            }
            (HostLifecycle::Expected, _) => {
                // A new leader finds machines that are long up: they get their time to report. In a
                // cut zone none of them can, nor can one that came up meanwhile.
                let patience = if machines_cut {
                    self.policy.worker_lease * 3
                } else {
                    limit
                };
                now.since(host.first_seen_at) > patience && self.should_have_reported(host, now)
            }
            (HostLifecycle::Up | HostLifecycle::Releasing, _) => false,
        }
    }

    /// Whether the machine ought to have reported: it has before, the cloud has said for long that it
    /// runs, or its boot takes far too long.
    pub(crate) fn should_have_reported(&self, host: &Host, now: Time) -> bool {
        if host.lifecycle != HostLifecycle::Expected {
            return true;
        }
        let kind = host
            .type_index
            .and_then(|k| self.cluster.machine_types().get(k));
        let boot = kind.map_or(UNKNOWN_BOOT_S, |t| t.boot_s.0);
        let overdue = now.since(host.provisioned_at)
            > duration_from_seconds(boot * self.policy.tuning.boot_patience);
        let limit = self.silence_limit(host);
        let said_running = host
            .listed_running_since
            .is_some_and(|at| now.since(at) > limit);
        overdue || said_running
    }

    /// A cancelled job's task sits on a machine that doesn't answer, and the time runs out.
    fn holds_a_cancelled_task(&self, host: &Host, now: Time) -> bool {
        let heard = now.since(host.last_heartbeat_at) <= self.policy.heartbeat_interval * 2
            && host.reachability == Reachability::Confirmed;
        host.allocations.iter().any(|(task, allocation)| {
            let cancelled_at = self
                .cluster
                .jobs()
                .get(&task.job)
                .and_then(|j| j.cancelled_at);
            let share = if heard { 0.55 } else { 0.25 };
            allocation.stop_reason == Some(StopReason::Cancelled)
                && cancelled_at.is_some_and(|at| {
                    now.since(at) > self.policy.cancellation_timeout.mul_f64(share)
                })
        })
    }
}

impl Leader {
    pub(crate) fn check_hosts(&mut self, now: Time, may_act: bool) {
        self.mark_unresponsive_hosts(now);
        self.observe_zones(now);
        self.note_cut_zones(now);
        self.remove_overdue(now);
        if !may_act {
            return;
        }
        self.send_probes(now);
        for (name, why) in self.hosts_to_give_up(now) {
            let Some(host) = self.cluster.host(&name) else {
                continue;
            };
            let (lifecycle, allocated) = (host.lifecycle, host.allocations.len());
            if self.cluster.begin_release(&name, why) {
                tracing::info!("{name}: declared lost, {lifecycle:?}, {allocated} allocated");
                self.autoscaler.queue_release(name);
            }
        }
    }

    fn hosts_to_give_up(&mut self, now: Time) -> Vec<(HostName, CordonReason)> {
        let displaced = self.hosts_to_displace(now);
        let mut give_up: Vec<(HostName, CordonReason)> = displaced
            .into_iter()
            .map(|name| (name, CordonReason::Lost))
            .collect();
        for host in self.cluster.hosts().values() {
            if host.lifecycle == HostLifecycle::Releasing {
                continue;
            }
            if self.view().host_is_lost(host, now) || self.view().holds_a_cancelled_task(host, now)
            {
                give_up.push((host.name.clone(), CordonReason::Lost));
            } else if host.cordon_reason == Some(CordonReason::Faulty) {
                give_up.push((host.name.clone(), CordonReason::Faulty));
            }
        }
        give_up
    }

    /// Many machines at once are cut off rather than broken.
    fn note_cut_zones(&mut self, now: Time) {
        for (zone, (silent, all)) in self.view().silence_by_zone(now) {
            if silent >= FEW_MACHINES && silent * 2 > all {
                self.failure_detector.partitioned_zones.insert(zone, now);
            }
        }
    }

    fn mark_unresponsive_hosts(&mut self, now: Time) {
        let is_overdue = |host: &&Host| {
            host.is_up() && now.since(host.last_heartbeat_at) > self.view().silence_limit(host)
        };
        let overdue = self.cluster.hosts().values().filter(is_overdue);
        let names: Vec<HostName> = overdue.map(|host| host.name.clone()).collect();
        for name in names {
            tracing::info!("{name}: missed heartbeats");
            self.cluster.mark_unresponsive(&name);
        }
    }

    /// Cancelled work whose time is nearly up goes with its machine, whether or not this leader has
    /// its lease: in an outage nobody else could do it.
    fn remove_overdue(&mut self, now: Time) {
        let limit = self.policy.cancellation_timeout.mul_f64(OVERDUE_PART);
        let overdue = |host: &&Host| {
            let asked = host
                .force_released_at
                .is_some_and(|at| now.since(at) < REMOVE_AGAIN);
            !asked
                && host.allocations.iter().any(|(task, allocation)| {
                    let cancelled_at = self
                        .cluster
                        .jobs()
                        .get(&task.job)
                        .and_then(|j| j.cancelled_at);
                    allocation.stop_reason == Some(StopReason::Cancelled)
                        && cancelled_at.is_some_and(|at| now.since(at) > limit)
                })
        };
        let hosts = self.cluster.hosts().values().filter(overdue);
        let names: Vec<HostName> = hosts.map(|h| h.name.clone()).collect();
        for name in &names {
            tracing::info!("{name}: a cancelled task is on it for too long, release is forced");
            self.cluster.begin_forced_release(name, now);
        }
        for names in names.chunks(MAX_RELEASE_COUNT) {
            self.actions.push(Action::ForceRelease(names.to_vec()));
        }
    }

    /// Asks machines whether they hear: those that seem not to, and those that are silent here. The
    /// latter may still report to an earlier leader that is cut off with them; the command carries
    /// our token, and from then on they drop the answers of the other, who learns of it from them.
    fn send_probes(&mut self, now: Time) {
        let max_new = self.dispatcher.free_probe_slots();
        let hosts = self.cluster.hosts().values();
        let due = hosts.filter(|host| self.view().needs_probe(host, now));
        let probes: Vec<Probe> = due.filter_map(Probe::to).take(max_new).collect();
        for probe in probes {
            let next_probe_at = now.after(self.policy.heartbeat_interval * 2);
            self.cluster.on_probe_sent(&probe.host, next_probe_at);
            self.dispatcher.on_probe_sent();
            self.actions.push(Action::SendCommands {
                host: probe.host,
                address: probe.address,
                incarnation: probe.incarnation,
                commands: Vec::new(),
            });
        }
    }
}
