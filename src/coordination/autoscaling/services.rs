//! Standing services: their replicas have no end, so room for them is kept ready, and they are moved in
//! time when their machine goes.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::coordination::autoscaling::provisioning::CapacityPool;
use crate::coordination::cluster::host::{
    CordonReason, Host, HostLifecycle, Reachability, StopReason,
};
use crate::coordination::cluster::job::{Job, JobPhase};
use crate::coordination::scheduling::scoring::{self, capacity};
use crate::coordination::{Leader, View};
use crate::protocol::users::JobSpec;
use crate::types::{seconds, HostName, JobId, TaskId, Time};

/// A replica whose machine goes is moved at the latest so long before, room or not.
const LAST_MOMENT: Duration = Duration::from_secs(2);
/// A machine that nothing but replicas keeps from going back is emptied after so long.
const IDLE_FOR: Duration = Duration::from_secs(120);
/// A machine that was opened for a replica stays open for so long.
const REOPENED_FOR: Duration = Duration::from_secs(3);
/// So much of the ordinary machines is kept for what needs them.
const ORDINARY_SPARE: f64 = 1.25;

impl View<'_> {
    pub(crate) fn is_service(&self, task: TaskId) -> bool {
        self.cluster
            .jobs()
            .get(&task.job)
            .is_some_and(|j| j.is_service())
    }

    pub(crate) fn holds_replicas(&self, host: &Host) -> bool {
        host.allocations.keys().any(|task| self.is_service(*task))
    }

    /// CPUs on ordinary machines that services should find free, or taken by what they preempt, at any
    /// time: they are to begin sooner than any machine boots. So it is for classes of which that is
    /// expected and no job has been seen yet, as nobody knows what they will need.
    fn standby(&self, now: Time) -> f64 {
        let boots = self.cluster.machine_types().iter().map(|t| t.boot_s.0);
        let soonest = boots.fold(f64::INFINITY, f64::min);
        let unseen = |class: &str| !self.autoscaler.seen_classes.contains(class);
        let hurried = |(class, within): &(String, f64)| *within < soonest && unseen(class);
        // The first jobs of the day are about to tell which classes there are.
        let settled = now.since(self.started_at) > STANDBY_AFTER;
        let unknown = settled && self.policy.hurried.iter().any(hurried);
        if unknown || self.cluster.jobs().values().any(Job::is_service) {
            self.policy.tuning.standby_cpus
        } else {
            0.0
        }
    }

    /// CPUs on ordinary machines, here or to come, that no replica takes.
    fn room_for_services(&self) -> f64 {
        let cpus = |kind: usize| {
            self.cluster
                .machine_types()
                .get(kind)
                .map_or(0.0, |t| t.cpus.0)
        };
        let here = self.cluster.hosts().values().filter(|h| {
            !h.spot
                && h.lifecycle != HostLifecycle::Releasing
                && matches!(h.cordon, None | Some(CordonReason::Surplus))
        });
        let room = here.map(|h| {
            let replicas = h.allocations.iter().filter(|(t, _)| self.is_service(**t));
            let taken: f64 = replicas.map(|(_, b)| b.resources.cpus).sum();
            (h.type_index.map_or(0.0, cpus) - taken).max(0.0)
        });
        let rentals = self.autoscaler.rentals.values().filter(|r| !r.pool.spot);
        let ordered = rentals.map(|r| cpus(r.pool.type_index) * r.rental.count as f64);
        let services = self.cluster.jobs().values().filter(|j| j.is_service());
        let waiting = services.map(|j| f64::from(j.waiting_count()) * j.task_resources.cpus);
        room.chain(ordered).sum::<f64>() - waiting.sum::<f64>()
    }

    /// A replica on a machine that has long been closed as not needed, and holds nothing but replicas.
    fn idle_replica(&self, now: Time) -> Option<(HostName, TaskId)> {
        let long = |at: Time| now.since(at) > IDLE_FOR;
        let host = self.cluster.hosts().values().find(|host| {
            let idle =
                host.cordon == Some(CordonReason::Surplus) && host.lifecycle == HostLifecycle::Up;
            let idle = idle && host.surplus_since.is_some_and(long) && !host.allocations.is_empty();
            idle && host.allocations.iter().all(|(task, b)| {
                b.stop_reason.is_none() && self.is_service(*task) && self.has_room(*task, host, now)
            })
        })?;
        let task = *host.allocations.keys().next()?;
        Some((host.name.clone(), task))
    }

    /// Whether another open machine could take the task at once.
    fn has_room(&self, task: TaskId, but: &Host, now: Time) -> bool {
        let Some(spec) = self
            .cluster
            .jobs()
            .get(&task.job)
            .and_then(|j| j.spec.as_ref())
        else {
            return false;
        };
        let need = scoring::task_resources(spec);
        self.cluster.hosts().values().any(|host| {
            let kind = host
                .type_index
                .and_then(|k| self.cluster.machine_types().get(k));
            host.name != but.name
                && self.accepts_tasks(host, now)
                && (spec.spot || !host.spot)
                && kind.is_some_and(|t| {
                    scoring::is_type_suitable(spec, t)
                        && need.fits(&capacity(t).minus(&host.allocated))
                })
        })
    }
}

impl Leader {
    /// CPUs on ordinary machines that work needs which may use no others: the peak of the last while of
    /// what is booked and waits, and what is likely to come before another could boot.
    fn ordinary_wanted(&mut self, now: Time) -> f64 {
        let mut demand = 0.0;
        for job in self.cluster.jobs().values() {
            let ordinary = job.spec.as_ref().is_some_and(|s| !s.spot);
            if ordinary && job.phase == JobPhase::Active {
                let tasks = f64::from(job.allocated_count) + f64::from(job.schedulable_count());
                demand += tasks * job.task_resources.cpus;
            }
        }
        for spec in self.autoscaler.lately(now).filter(|s| !s.spot) {
            let ready = self
                .view()
                .least_ready(spec, &self.view().usable_types(spec, &[]));
            let share = (ready
                / crate::coordination::autoscaling::provisioning::ARRIVALS_FOR.as_secs_f64())
            .min(1.0);
            demand += spec.tasks as f64 * spec.cpus.0 * share;
        }
        let window = seconds(self.policy.tuning.idle_return_s) * 2;
        let peak = self.autoscaler.ordinary_peak.note(now, demand, window);
        // Headroom spreads replicas thinly, so some of it is split up among machines.
        peak * ORDINARY_SPARE + self.view().standby(now)
    }

    /// The ordinary machines that are kept for that: first those that hold replicas, which have no end,
    /// then those that are open, then the cheapest.
    pub(crate) fn ordinary_kept(&mut self, now: Time) -> BTreeSet<HostName> {
        let mut wanted = self.ordinary_wanted(now);
        let mut order = Vec::new();
        for host in self
            .cluster
            .hosts()
            .values()
            .filter(|h| !h.spot && h.lifecycle == HostLifecycle::Up)
        {
            if let Some(t) = host
                .type_index
                .and_then(|k| self.cluster.machine_types().get(k))
            {
                let cpus = t.cpus.0.max(0.1);
                let price = t.on_demand_price.0 / cpus * self.view().urgency_factor(t.boot_s.0);
                let idle = !self.view().holds_replicas(host);
                order.push((idle, host.cordon.is_some(), price, cpus, &host.name));
            }
        }
        order.sort_by(|a, b| {
            let first = (a.0, a.1).cmp(&(b.0, b.1));
            first.then(a.2.total_cmp(&b.2)).then(a.4.cmp(b.4))
        });
        let mut kept = BTreeSet::new();
        for (_, _, _, cpus, name) in order {
            if wanted <= 0.0 {
                break;
            }
            wanted -= cpus;
            kept.insert(name.clone());
        }
        kept
    }

    /// Rents what the standby lacks: ordinary machines that are cheap and come soon.
    pub(crate) fn rent_standby(&mut self, now: Time) {
        let wanted = self.view().standby(now);
        if wanted <= 0.0 {
            return;
        }
        let missing = wanted - self.view().room_for_services();
        let cpus = |kind: usize| self.cluster.machine_types()[kind].cpus.0.max(0.1);
        let cost = |kind: &usize| {
            let t = &self.cluster.machine_types()[*kind];
            t.on_demand_price.0 / cpus(*kind) * self.view().urgency_factor(t.boot_s.0)
        };
        let pools = (0..self.cluster.machine_types().len()).filter_map(|kind| {
            let on_demand = |zone: &String| CapacityPool {
                type_index: kind,
                zone: zone.clone(),
                spot: false,
            };
            let mut pools = self.cluster.machine_types()[kind]
                .zones
                .iter()
                .map(on_demand);
            pools.find(|pool| !self.view().is_closed(pool, now))
        });
        let best = pools.min_by(|a, b| cost(&a.type_index).total_cmp(&cost(&b.type_index)));
        let Some(pool) = best.filter(|_| missing > 0.0) else {
            return;
        };
        let count = (missing / cpus(pool.type_index)).ceil() as u64;
        tracing::info!("{count} machines are rented as a standby");
        self.order(pool, count, now);
    }

    /// Opens a machine that was closed as not needed and could take a replica that found no other: those
    /// left open may remember an earlier attempt at it, and it is not to wait for that.
    pub(crate) fn reopen_for(
        &mut self,
        id: JobId,
        spec: &JobSpec,
        usable: &[bool],
        now: Time,
    ) -> bool {
        let Some(job) = self.cluster.job(id) else {
            return false;
        };
        let Some(index) = job.next_waiting_task() else {
            return false;
        };
        let task = TaskId { job: id, index };
        let suits = |host: &&Host| {
            let kind = host.type_index.filter(|k| usable.get(*k) == Some(&true));
            let whole = kind
                .and_then(|k| self.cluster.machine_types().get(k))
                .map(capacity);
            host.cordon == Some(CordonReason::Surplus)
                && host.lifecycle == HostLifecycle::Up
                && now.since(host.last_heartbeat_at) <= self.policy.report * 2
                && host.reachability == Reachability::Confirmed
                && (spec.spot || !host.spot)
                && spec.zone.as_ref().is_none_or(|z| *z == host.zone)
                && whole.is_some_and(|w| job.task_resources.fits(&w.minus(&host.allocated)))
                && !host.remembers_task(task)
        };
        let found = self
            .cluster
            .hosts()
            .values()
            .find(suits)
            .map(|h| h.name.clone());
        let Some(name) = found else { return false };
        self.cluster.keep_open_until(&name, now.after(REOPENED_FOR));
        self.cluster.uncordon_surplus(&name)
    }

    /// Moves replicas whose machine is about to go as soon as there is room for them elsewhere, so that
    /// the gap is no longer than a start; and those that alone keep a machine which nobody else needs.
    pub(crate) fn move_replicas(&mut self, now: Time) {
        if !self.cluster.jobs().values().any(Job::is_service) {
            return;
        }
        let mut moves: Vec<(HostName, TaskId)> = Vec::new();
        for host in self.cluster.hosts().values() {
            let leaving = host
                .reclaim_at
                .filter(|_| host.lifecycle == HostLifecycle::Up);
            if let Some(by) = leaving {
                let last = by.since(now) <= LAST_MOMENT;
                let there = host
                    .allocations
                    .iter()
                    .filter(|(_, b)| b.stop_reason.is_none());
                for (task, _) in there {
                    if self.view().is_service(*task)
                        && (last || self.view().has_room(*task, host, now))
                    {
                        moves.push((host.name.clone(), *task));
                    }
                }
            }
        }
        if moves.is_empty() && self.scheduler.may_move_off_surplus_host(now) {
            moves.extend(self.view().idle_replica(now));
            if !moves.is_empty() {
                self.scheduler.on_moved_off_surplus_host(now);
            }
        }
        for (host, task) in moves {
            tracing::info!("{host}: {task} is moved");
            self.stop_task(&host, task, StopReason::Drained, now);
        }
    }
}

/// What a new leader has read by then it has seen.
const STANDBY_AFTER: Duration = Duration::from_secs(2);
