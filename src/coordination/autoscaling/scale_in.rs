//! Scaling down: which machines are closed because the work does not need them, and when they go back.

use std::cmp::Ordering;
use std::time::Duration;

use crate::coordination::cluster::host::{CordonReason, Host, HostLifecycle};
use crate::coordination::scheduling::scoring::capacity;
use crate::coordination::{Leader, View};
use crate::types::{duration_from_seconds, HostName, Time};

/// The cloud charges at least a minute; a machine that goes back earlier saves nothing.
const MIN_PAID: Duration = Duration::from_secs(55);

/// A host that may be cordoned as surplus.
struct ScaleInCandidate {
    price_per_cpu: f64,
    /// Minus the allocated share of its CPUs, and 1 more if it is cordoned already.
    idleness: f64,
    name: HostName,
    cpus: f64,
}

impl View<'_> {
    /// The hosts of the group that may be kept or cordoned as surplus, those to be kept first: the
    /// cheapest per CPU, then the fullest.
    fn scale_in_candidates(&self, scarce: &[bool], group: bool) -> Vec<ScaleInCandidate> {
        let mut candidates: Vec<ScaleInCandidate> = self
            .cluster
            .hosts()
            .values()
            .filter(|h| h.lifecycle == HostLifecycle::Up)
            .filter(|h| matches!(h.cordon_reason, None | Some(CordonReason::Surplus)))
            .filter_map(|h| {
                let kind = h.type_index.filter(|k| scarce.get(*k) == Some(&group))?;
                let machine_type = self.cluster.machine_types().get(kind)?;
                let price = if h.is_spot {
                    machine_type.spot_price.0
                } else {
                    machine_type.on_demand_price.0
                };
                let cpus = machine_type.cpus.0.max(0.1);
                // What is cordoned already stays so, other things being equal.
                let cordoned = if h.cordon_reason.is_some() { 1.0 } else { 0.0 };
                Some(ScaleInCandidate {
                    price_per_cpu: price / cpus,
                    idleness: cordoned - h.allocated_resources.cpus / cpus,
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

    /// CPUs that booked and waiting work takes, on the scarce types or on the others.
    fn demand(&self, scarce: &[bool], group: bool) -> f64 {
        let mut demand = 0.0;
        for host in self.cluster.hosts().values() {
            let Some(kind) = host.type_index.filter(|k| scarce.get(*k) == Some(&group)) else {
                continue;
            };
            let Some(t) = self.cluster.machine_types().get(kind) else {
                continue;
            };
            let whole = capacity(t);
            let share = (host.allocated_resources.cpus / whole.cpus)
                .max(host.allocated_resources.memory_gb / whole.memory_gb);
            demand += if share.is_finite() {
                share * whole.cpus
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
                .all(|k| scarce.get(*k) == Some(&true));
            if needs_scarce == group {
                let count =
                    u64::from(job.schedulable_count()).min(self.tasks_within_team_quota(job));
                demand += count as f64 * job.task_resources.cpus;
            }
        }
        demand
    }
}

impl Leader {
    /// Scale down by cordoning. Headroom spreads work thinly over all machines, so that none ever
    /// idles; what the recent peak of demand does not need is therefore closed, the dearest first,
    /// runs empty, and goes back. When demand rises it is opened again before any is rented.
    pub(crate) fn cordon_surplus(&mut self, scarce: &[bool], now: Time) {
        let window = duration_from_seconds(self.policy.tuning.idle_return_s);
        let ordinary = self.ordinary_kept(now);
        for group in [false, true] {
            let demand = self.view().demand(scarce, group);
            let peak = self.autoscaler.peaks[usize::from(group)].note(now, demand, window);
            let wanted = peak * (1.0 + self.policy.tuning.spare_share);
            let candidates = self.view().scale_in_candidates(scarce, group);
            let mut kept = 0.0;
            for ScaleInCandidate { name, cpus, .. } in candidates {
                let Some(host) = self.cluster.host(&name) else {
                    continue;
                };
                if kept < wanted || ordinary.contains(&name) {
                    kept += cpus;
                    self.cluster.uncordon_surplus(&name);
                } else if now >= host.keep_uncordoned_until {
                    self.cluster.cordon_surplus(&name, now);
                }
            }
        }
    }

    /// Machines that are closed for good reasons and empty go back.
    pub(crate) fn return_empty(&mut self, now: Time) {
        let is_releasable = |host: &&Host| {
            let is_empty = host.is_up() && host.allocations.is_empty();
            // What has been paid for anyway may stay.
            let is_paid_for = now.since(host.provisioned_at) < MIN_PAID;
            let is_cordoned = host
                .cordon_reason
                .is_some_and(|reason| reason != CordonReason::Reclaimed);
            is_empty && is_cordoned && !is_paid_for
        };
        let releasable = self.cluster.hosts().values().filter(is_releasable);
        let names: Vec<HostName> = releasable.map(|host| host.name.clone()).collect();
        for name in names {
            self.cluster.begin_release_of_empty(&name);
            self.autoscaler.queue_release(name);
        }
    }
}
