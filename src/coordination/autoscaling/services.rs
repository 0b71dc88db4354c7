//! Capacity for services: their replicas run until the job is cancelled and have to start sooner than a host boots, so
//! on-demand capacity is kept ready for them, and replicas are moved before their host is reclaimed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::coordination::autoscaling::provisioning::CapacityPool;
use crate::coordination::cluster::host::{CordonReason, Host, HostLifecycle, StopReason};
use crate::coordination::cluster::job::{Job, JobPhase};
use crate::coordination::scheduling::is_zone_allowed;
use crate::coordination::scheduling::scoring::{self, capacity};
use crate::coordination::{Leader, View};
use crate::protocol::users::JobSpec;
use crate::types::{duration_from_seconds, HostName, TaskId, Time};

/// A replica is stopped this long before its host is reclaimed, even if no other host has room for the replica.
const RECLAIM_MARGIN: Duration = Duration::from_secs(2);
/// How long a host has to be cordoned as surplus before replicas are moved off it, if nothing else runs there.
const SURPLUS_DRAIN_DELAY: Duration = Duration::from_secs(120);
/// On-demand capacity that is kept, as a multiple of the recent peak demand of jobs that may not use spot hosts.
const ON_DEMAND_HEADROOM_FACTOR: f64 = 1.25;

impl View<'_> {
    /// Whether the task is a replica of a service.
    pub(crate) fn is_replica(&self, task: TaskId) -> bool {
        self.cluster
            .jobs()
            .get(&task.job)
            .is_some_and(|job| job.is_service())
    }

    /// Whether any replica is allocated to the host.
    pub(crate) fn holds_replicas(&self, host: &Host) -> bool {
        host.allocations.keys().any(|task| self.is_replica(*task))
    }

    /// CPUs on on-demand hosts that services should find at any time, either free or taken by tasks that services
    /// preempt, as replicas have to start sooner than any host boots. This capacity is also kept for job classes whose
    /// wait objective is shorter than any boot time and of which no job has been seen, as nobody knows what such a
    /// class will need.
    fn standby_cpus(&self, now: Time) -> f64 {
        let boot_times_s = self.cluster.machine_types().iter().map(|t| t.boot_time_s.0);
        let min_boot_s = boot_times_s.fold(f64::INFINITY, f64::min);
        let is_unseen = |class: &str| !self.autoscaler.seen_classes.contains(class);
        let needs_standby =
            |(class, within_s): &(String, f64)| *within_s < min_boot_s && is_unseen(class);
        // Right after the start the first jobs are about to show which classes there are.
        let has_settled = now.since(self.started_at) > UNSEEN_CLASSES_COUNT_AFTER;
        let expects_unseen_class =
            has_settled && self.policy.wait_objectives_s.iter().any(needs_standby);
        if expects_unseen_class || self.cluster.jobs().values().any(Job::is_service) {
            self.policy.tuning.standby_cpus
        } else {
            0.0
        }
    }

    /// CPUs on on-demand hosts that are up, expected or requested, less the CPUs that allocated and waiting replicas
    /// take.
    fn cpus_for_services(&self) -> f64 {
        let cpus_of_type = |type_index: usize| {
            self.cluster
                .machine_types()
                .get(type_index)
                .map_or(0.0, |t| t.cpus.0)
        };
        let usable_hosts = self.cluster.hosts().values().filter(|h| {
            !h.is_spot
                && h.lifecycle != HostLifecycle::Releasing
                && matches!(h.cordon_reason, None | Some(CordonReason::Surplus))
        });
        let host_cpus = usable_hosts.map(|h| {
            let replicas = h
                .allocations
                .iter()
                .filter(|(task, _)| self.is_replica(**task));
            let replica_cpus: f64 = replicas
                .map(|(_, allocation)| allocation.resources.cpus)
                .sum();
            (h.type_index.map_or(0.0, cpus_of_type) - replica_cpus).max(0.0)
        });
        let pending_requests = self
            .autoscaler
            .pending_requests
            .values()
            .filter(|pending| !pending.pool.is_spot);
        let requested_cpus = pending_requests
            .map(|pending| cpus_of_type(pending.pool.type_index) * pending.request.count as f64);
        let services = self.cluster.jobs().values().filter(|j| j.is_service());
        let waiting_cpus = services.map(|j| f64::from(j.waiting_count()) * j.task_resources.cpus);
        host_cpus.chain(requested_cpus).sum::<f64>() - waiting_cpus.sum::<f64>()
    }

    /// A replica on a host that has been cordoned as surplus for [`SURPLUS_DRAIN_DELAY`] and holds nothing but
    /// replicas, each of which has room elsewhere.
    fn replica_on_surplus_host(&self, now: Time) -> Option<(HostName, TaskId)> {
        let is_past_delay = |since: Time| now.since(since) > SURPLUS_DRAIN_DELAY;
        let host = self.cluster.hosts().values().find(|host| {
            let is_surplus = host.cordon_reason == Some(CordonReason::Surplus)
                && host.lifecycle == HostLifecycle::Up;
            let may_be_drained = is_surplus
                && host.surplus_since.is_some_and(is_past_delay)
                && !host.allocations.is_empty();
            may_be_drained
                && host.allocations.iter().all(|(task, allocation)| {
                    allocation.stop_reason.is_none()
                        && self.is_replica(*task)
                        && self.has_room_elsewhere(*task, host, now)
                })
        })?;
        let task = *host.allocations.keys().next()?;
        Some((host.name.clone(), task))
    }

    /// Whether a host other than the task's present one could take the task at once, beside the other tasks of its job.
    fn has_room_elsewhere(&self, task: TaskId, present_host: &Host, now: Time) -> bool {
        let Some(job) = self.cluster.job(task.job) else {
            return false;
        };
        let Some(spec) = job.spec.as_ref() else {
            return false;
        };
        let task_resources = scoring::task_resources(spec);
        let siblings_by_zone = self.siblings_without(job, spec, present_host);
        self.cluster.hosts().values().any(|host| {
            let machine_type = host
                .type_index
                .and_then(|index| self.cluster.machine_types().get(index));
            host.name != present_host.name
                && self.accepts_tasks(host, now)
                && (spec.allows_spot || !host.is_spot)
                && is_zone_allowed(spec, &host.zone, &siblings_by_zone)
                && machine_type.is_some_and(|t| {
                    scoring::is_type_suitable(spec, t)
                        && task_resources
                            .fits(&capacity(t).saturating_sub(&host.allocated_resources))
                })
        })
    }

    /// How many tasks of the job each zone holds, apart from one on this host.
    fn siblings_without(&self, job: &Job, spec: &JobSpec, host: &Host) -> BTreeMap<String, u64> {
        let mut siblings_by_zone = self.siblings_by_zone(job, spec);
        if let Some(count) = siblings_by_zone.get_mut(&host.zone) {
            *count -= 1;
        }
        siblings_by_zone.retain(|_, count| *count > 0);
        siblings_by_zone
    }
}

impl Leader {
    /// CPUs to keep on on-demand hosts: the recent peak demand of jobs that may not use spot hosts, with headroom, and
    /// the standby for services. The demand is that of allocated and waiting tasks and of tasks that are likely to be
    /// submitted before a new host could start them.
    fn wanted_on_demand_cpus(&mut self, now: Time) -> f64 {
        let mut demand_cpus = 0.0;
        for job in self.cluster.jobs().values() {
            let needs_on_demand = job.spec.as_ref().is_some_and(|spec| !spec.allows_spot);
            if needs_on_demand && job.phase == JobPhase::Active {
                let task_count =
                    f64::from(job.allocated_count) + f64::from(job.schedulable_count());
                demand_cpus += task_count * job.task_resources.cpus;
            }
        }
        for spec in self
            .autoscaler
            .recent_arrivals(now)
            .filter(|spec| !spec.allows_spot)
        {
            let startup_delay_s = self
                .view()
                .min_startup_delay_s(spec, &self.view().usable_types(spec, &[]));
            let window_share = (startup_delay_s
                / crate::coordination::autoscaling::provisioning::ARRIVAL_WINDOW.as_secs_f64())
            .min(1.0);
            demand_cpus += spec.task_count as f64 * spec.cpus.0 * window_share;
        }
        let window = duration_from_seconds(self.policy.tuning.idle_release_s) * 2;
        let peak_cpus = self
            .autoscaler
            .on_demand_only_cpus
            .record(now, demand_cpus, window);
        // Placement by headroom spreads replicas over many hosts, so part of the free capacity is fragmented.
        peak_cpus * ON_DEMAND_HEADROOM_FACTOR + self.view().standby_cpus(now)
    }

    /// The on-demand hosts that are kept to provide the wanted on-demand CPUs: first those that hold replicas, which
    /// have no end, then those that are not cordoned, then the cheapest.
    pub(crate) fn on_demand_hosts_to_keep(&mut self, now: Time) -> BTreeSet<HostName> {
        let mut missing_cpus = self.wanted_on_demand_cpus(now);
        let mut candidates = Vec::new();
        for host in self
            .cluster
            .hosts()
            .values()
            .filter(|h| !h.is_spot && h.lifecycle == HostLifecycle::Up)
        {
            if let Some(machine_type) = host
                .type_index
                .and_then(|index| self.cluster.machine_types().get(index))
            {
                let cpus = machine_type.cpus.0.max(0.1);
                let cost_per_cpu = machine_type.on_demand_price_per_hour.0 / cpus
                    * self
                        .view()
                        .startup_delay_cost_factor(machine_type.boot_time_s.0);
                let has_no_replicas = !self.view().holds_replicas(host);
                candidates.push((
                    has_no_replicas,
                    host.cordon_reason.is_some(),
                    cost_per_cpu,
                    cpus,
                    &host.name,
                ));
            }
        }
        candidates.sort_by(|a, b| {
            let by_use = (a.0, a.1).cmp(&(b.0, b.1));
            by_use.then(a.2.total_cmp(&b.2)).then(a.4.cmp(b.4))
        });
        let mut kept = BTreeSet::new();
        for (_, _, _, cpus, name) in candidates {
            if missing_cpus <= 0.0 {
                break;
            }
            missing_cpus -= cpus;
            kept.insert(name.clone());
        }
        kept
    }

    /// Requests on-demand hosts for the CPUs that the standby lacks, of the type that is cheap and boots fast.
    pub(crate) fn provision_standby(&mut self, now: Time) {
        let wanted_cpus = self.view().standby_cpus(now);
        if wanted_cpus <= 0.0 {
            return;
        }
        let missing_cpus = wanted_cpus - self.view().cpus_for_services();
        let cpus_of_type =
            |type_index: usize| self.cluster.machine_types()[type_index].cpus.0.max(0.1);
        let cost_per_cpu = |type_index: &usize| {
            let machine_type = &self.cluster.machine_types()[*type_index];
            machine_type.on_demand_price_per_hour.0 / cpus_of_type(*type_index)
                * self
                    .view()
                    .startup_delay_cost_factor(machine_type.boot_time_s.0)
        };
        let pools = (0..self.cluster.machine_types().len()).filter_map(|type_index| {
            let on_demand_pool = |zone: &String| CapacityPool {
                type_index,
                zone: zone.clone(),
                is_spot: false,
            };
            let mut pools_of_type = self.cluster.machine_types()[type_index]
                .zones
                .iter()
                .map(on_demand_pool);
            pools_of_type.find(|pool| !self.view().is_pool_unavailable(pool, now))
        });
        let cheapest_pool = pools
            .min_by(|a, b| cost_per_cpu(&a.type_index).total_cmp(&cost_per_cpu(&b.type_index)));
        let Some(pool) = cheapest_pool.filter(|_| missing_cpus > 0.0) else {
            return;
        };
        let count = (missing_cpus / cpus_of_type(pool.type_index)).ceil() as u64;
        tracing::info!("requesting {count} on-demand hosts as standby capacity for services");
        self.request_hosts(pool, count, now);
    }

    /// Moves replicas off hosts that are to be reclaimed as soon as there is room elsewhere, so that each is down for
    /// no longer than a start takes. Also moves replicas off surplus hosts that hold nothing else, one at a time.
    pub(crate) fn move_replicas(&mut self, now: Time) {
        if !self.cluster.jobs().values().any(Job::is_service) {
            return;
        }
        let mut replicas_to_move: Vec<(HostName, TaskId)> = Vec::new();
        for host in self.cluster.hosts().values() {
            let reclaim_at = host
                .reclaim_at
                .filter(|_| host.lifecycle == HostLifecycle::Up);
            if let Some(reclaim_at) = reclaim_at {
                let is_within_margin = reclaim_at.since(now) <= RECLAIM_MARGIN;
                let active_allocations = host
                    .allocations
                    .iter()
                    .filter(|(_, allocation)| allocation.stop_reason.is_none());
                for (task, _) in active_allocations {
                    if self.view().is_replica(*task)
                        && (is_within_margin || self.view().has_room_elsewhere(*task, host, now))
                    {
                        replicas_to_move.push((host.name.clone(), *task));
                    }
                }
            }
        }
        if replicas_to_move.is_empty() && self.scheduler.may_move_off_surplus_host(now) {
            replicas_to_move.extend(self.view().replica_on_surplus_host(now));
            if !replicas_to_move.is_empty() {
                self.scheduler.on_moved_off_surplus_host(now);
            }
        }
        for (host, task) in replicas_to_move {
            tracing::info!("{host}: stopping replica {task}, to be restarted on another host");
            self.stop_task(&host, task, StopReason::Drained, now);
        }
    }
}

/// Unseen classes count only once a leader has run for this long, and has thus seen the classes of all jobs in the
/// records that it read.
const UNSEEN_CLASSES_COUNT_AFTER: Duration = Duration::from_secs(2);
