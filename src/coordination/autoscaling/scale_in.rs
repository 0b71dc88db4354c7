//! Scale-in: which hosts are cordoned because the recent demand does not need them, and when they are released.

use std::cmp::Ordering;
use std::time::Duration;

use crate::coordination::cluster::host::{CordonReason, Host, HostLifecycle};
use crate::coordination::scheduling::scoring::capacity;
use crate::coordination::{Leader, View};
use crate::types::{duration_from_seconds, HostName, JobId, TaskId, Time};

/// The cloud bills each host for at least a minute, so releasing one much earlier saves nothing.
const MIN_TIME_BEFORE_RELEASE: Duration = Duration::from_secs(55);

/// How long a host that was uncordoned for a task is not cordoned as surplus again.
const UNCORDONED_FOR: Duration = Duration::from_secs(3);

/// A host that may be cordoned as surplus.
struct ScaleInCandidate {
    price_per_cpu: f64,
    /// The negative of the allocated share of the host's CPUs, plus 1 if the host is cordoned already.
    idleness: f64,
    name: HostName,
    cpus: f64,
}

impl View<'_> {
    /// The hosts that may be kept or cordoned as surplus, on the scarce types or on the others, those to be kept first:
    /// the cheapest per CPU, then the fullest.
    fn scale_in_candidates(&self, scarce_types: &[bool], is_scarce: bool) -> Vec<ScaleInCandidate> {
        let mut candidates: Vec<ScaleInCandidate> = self
            .cluster
            .hosts()
            .values()
            .filter(|h| h.lifecycle == HostLifecycle::Up)
            .filter(|h| matches!(h.cordon_reason, None | Some(CordonReason::Surplus)))
            .filter_map(|h| {
                let type_index = h
                    .type_index
                    .filter(|index| scarce_types.get(*index) == Some(&is_scarce))?;
                let machine_type = self.cluster.machine_types().get(type_index)?;
                let price = if h.is_spot {
                    machine_type.spot_price_per_hour.0
                } else {
                    machine_type.on_demand_price_per_hour.0
                };
                let cpus = machine_type.cpus.0.max(0.1);
                // Other things being equal, hosts that are cordoned already stay cordoned.
                let cordoned_penalty = if h.cordon_reason.is_some() { 1.0 } else { 0.0 };
                Some(ScaleInCandidate {
                    price_per_cpu: price / cpus,
                    idleness: cordoned_penalty - h.allocated_resources.cpus / cpus,
                    name: h.name.clone(),
                    cpus,
                })
            })
            .collect();
        candidates.sort_by(|a, b| {
            let key = |c: &ScaleInCandidate| (c.price_per_cpu, c.idleness);
            key(a).partial_cmp(&key(b)).unwrap_or(Ordering::Equal)
        });
        candidates
    }

    /// CPUs that allocated and waiting tasks take, on the scarce types or on the others. A host counts with the larger
    /// of the allocated shares of its CPUs and of its memory.
    fn demand_cpus(&self, scarce_types: &[bool], is_scarce: bool) -> f64 {
        let mut demand_cpus = 0.0;
        for host in self.cluster.hosts().values() {
            let Some(type_index) = host
                .type_index
                .filter(|index| scarce_types.get(*index) == Some(&is_scarce))
            else {
                continue;
            };
            let Some(machine_type) = self.cluster.machine_types().get(type_index) else {
                continue;
            };
            let total = capacity(machine_type);
            let used_share = (host.allocated_resources.cpus / total.cpus)
                .max(host.allocated_resources.memory_gb / total.memory_gb);
            demand_cpus += if used_share.is_finite() {
                used_share * total.cpus
            } else {
                0.0
            };
        }
        for job in self.cluster.jobs().values() {
            let (Some(spec), true) = (&job.spec, job.waiting_count() > 0) else {
                continue;
            };
            let needs_scarce = self
                .suitable_types(spec)
                .iter()
                .all(|index| scarce_types.get(*index) == Some(&true));
            if needs_scarce == is_scarce {
                let count =
                    u64::from(job.schedulable_count()).min(self.tasks_within_team_quota(job));
                demand_cpus += count as f64 * job.task_resources.cpus;
            }
        }
        demand_cpus
    }
}

impl Leader {
    /// Scales in by cordoning. Placement by headroom spreads tasks over all hosts, so that none ever idles. Hosts that
    /// the recent peak demand does not need are therefore cordoned, the most expensive first, and released once their
    /// tasks have ended. When demand rises they are uncordoned before any host is requested.
    pub(crate) fn cordon_surplus_hosts(&mut self, scarce_types: &[bool], now: Time) {
        let window = duration_from_seconds(self.policy.tuning.idle_release_s);
        let kept_on_demand = self.on_demand_hosts_to_keep(now);
        for is_scarce in [false, true] {
            let demand_cpus = self.view().demand_cpus(scarce_types, is_scarce);
            let peak_cpus = self.autoscaler.demand_cpus[usize::from(is_scarce)].record(
                now,
                demand_cpus,
                window,
            );
            let wanted_cpus = peak_cpus * (1.0 + self.policy.tuning.spare_capacity_share);
            let candidates = self.view().scale_in_candidates(scarce_types, is_scarce);
            let mut kept_cpus = 0.0;
            for ScaleInCandidate { name, cpus, .. } in candidates {
                let Some(host) = self.cluster.host(&name) else {
                    continue;
                };
                if kept_cpus < wanted_cpus || kept_on_demand.contains(&name) {
                    kept_cpus += cpus;
                    self.cluster.uncordon_surplus(&name);
                } else if now >= host.keep_uncordoned_until {
                    self.cluster.cordon_surplus(&name, now);
                }
            }
        }
    }

    /// Releases empty hosts that are cordoned, unless the cloud reclaims them anyway. A host that goes on for longer than
    /// a worker lease after the announced time is released too.
    pub(crate) fn release_empty_hosts(&mut self, now: Time) {
        let is_releasable = |host: &&Host| {
            let is_empty = host.is_up() && host.allocations.is_empty();
            // A host may stay for the time that is billed in any case.
            let is_paid_for = now.since(host.provisioned_at) < MIN_TIME_BEFORE_RELEASE;
            let outlives_notice = host
                .reclaim_at
                .is_some_and(|at| now.since(at) > self.policy.worker_lease);
            let may_be_released = match host.cordon_reason {
                None => false,
                Some(CordonReason::Reclaimed) => outlives_notice,
                Some(_) => true,
            };
            is_empty && may_be_released && !is_paid_for
        };
        let releasable = self.cluster.hosts().values().filter(is_releasable);
        let names: Vec<HostName> = releasable.map(|host| host.name.clone()).collect();
        for name in names {
            self.cluster.begin_release_of_empty(&name);
            self.autoscaler.queue_release(name);
        }
    }

    /// Uncordons a surplus host that could take the job's next task, for which no other host was found. Which hosts are
    /// surplus is decided by the sum of their CPUs, so those that are kept need not fit the task, or the worker on them
    /// may still list an earlier attempt at it. `may_use` says which hosts the job may use apart from their room.
    /// Returns whether a host was uncordoned.
    pub(crate) fn uncordon_host_for(
        &mut self,
        job_id: JobId,
        may_use: impl Fn(&Host) -> bool,
        now: Time,
    ) -> bool {
        let Some(job) = self.cluster.job(job_id) else {
            return false;
        };
        let Some(index) = job.next_waiting_task() else {
            return false;
        };
        let task = TaskId { job: job_id, index };
        let has_room = |host: &Host| {
            let machine_type = self.cluster.machine_type_of(host);
            machine_type.map(capacity).is_some_and(|total| {
                let free = total.saturating_sub(&host.allocated_resources);
                job.task_resources.fits(&free)
            })
        };
        let suits = |host: &&Host| {
            host.cordon_reason == Some(CordonReason::Surplus)
                && self.view().is_responsive(host, now)
                && has_room(host)
                && may_use(host)
                && host.takes_new_attempt(task)
        };
        let hosts = self.cluster.hosts().values();
        let best = hosts
            .filter(suits)
            .min_by_key(|host| host.may_have_earlier_attempt(task));
        let Some(name) = best.map(|host| host.name.clone()) else {
            return false;
        };
        tracing::debug!(host = %name, %task, "uncordoned for a task that fits no other host");
        self.cluster
            .keep_uncordoned_until(&name, now.after(UNCORDONED_FOR));
        self.cluster.uncordon_surplus(&name)
    }
}
