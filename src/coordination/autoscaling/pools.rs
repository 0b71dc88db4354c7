//! Which pool a host is provisioned from for a waiting task, and whether the host would start the task soon enough to
//! be worth it.

use std::collections::BTreeMap;

use crate::coordination::autoscaling::provisioning::CapacityPool;
use crate::coordination::scheduling::is_zone_allowed;
use crate::coordination::scheduling::scoring::{self, capacity};
use crate::coordination::View;
use crate::protocol::users::{JobSpec, Priority};
use crate::types::Time;

/// A deadline counts as met if the forecast leaves at least this margin.
pub(crate) const DEADLINE_MARGIN_S: f64 = 3.0;
/// By how much the longest task of a job may exceed the expected run time, as a share of that run time.
const RUN_TIME_MARGIN_SHARE: f64 = 1.0;
/// A host that does not meet the deadline of a task, or is for a task without one, is provisioned only if it starts the
/// task sooner by more than this. For services any gain suffices.
const MIN_TIME_SAVED_S: f64 = 45.0;
/// Cost factor of a host that does not meet the task's deadline.
const MISSED_DEADLINE_COST_FACTOR: f64 = 2.0;
/// A task that may use spot hosts gets an on-demand host only if it would wait for longer than this.
const ON_DEMAND_AFTER_S: f64 = 180.0;
/// For services, the cost of a host doubles at this startup delay, and grows linearly with the delay.
const STARTUP_DELAY_COST_S: f64 = 60.0;
/// The cloud bills each host for at least this time.
const MIN_BILLED_S: f64 = 60.0;

/// The forecast for a waiting task. Times are seconds from now.
pub(crate) struct TaskForecast<'a> {
    /// How many tasks of its job each zone holds or is to hold, which limits the zones that it may use.
    pub(crate) siblings_by_zone: &'a BTreeMap<String, u64>,
    /// When it would start on the hosts that are up, expected or requested.
    pub(crate) start_s: f64,
    /// Its expected run time.
    pub(crate) run_s: f64,
    /// Its deadline.
    pub(crate) deadline_s: Option<f64>,
    /// How many tasks of its job wait, including this one.
    pub(crate) waiting_tasks: u64,
}

impl View<'_> {
    /// The pool to provision a host from for the task; `None` if the task meets its deadline without a new host, or a
    /// new host would not start it soon enough to be worth it.
    pub(crate) fn pool_worth_provisioning(
        &self,
        spec: &JobSpec,
        task: &TaskForecast,
        usable_types: &[bool],
        now: Time,
    ) -> Option<CapacityPool> {
        let TaskForecast {
            start_s,
            run_s,
            deadline_s,
            ..
        } = *task;
        if deadline_s.is_some_and(|deadline_s| {
            start_s + run_s * (1.0 + RUN_TIME_MARGIN_SHARE) + DEADLINE_MARGIN_S <= deadline_s
        }) {
            return None;
        }
        let pool = self.cheapest_pool(spec, task, usable_types, now)?;
        let startup_delay_s = self.startup_delay_s(spec, pool.type_index);
        let meets_deadline =
            deadline_s.is_some_and(|deadline_s| startup_delay_s + run_s <= deadline_s);
        // A task that is late on any host still has to run, but is not urgent.
        let min_time_saved_s = if meets_deadline || spec.is_service() {
            0.0
        } else {
            MIN_TIME_SAVED_S
        };
        (startup_delay_s + min_time_saved_s < start_s).then_some(pool)
    }

    /// Seconds until a task of the job could start on a host requested now, by the usable type with the least delay;
    /// infinite if no type is usable.
    pub(crate) fn min_startup_delay_s(&self, spec: &JobSpec, usable_types: &[bool]) -> f64 {
        let type_indices =
            (0..self.cluster.machine_types().len()).filter(|index| usable_types[*index]);
        type_indices
            .map(|type_index| self.startup_delay_s(spec, type_index))
            .fold(f64::INFINITY, f64::min)
    }

    /// The pool with the lowest cost per task, boot and image fetch included, among those that the job may use now and
    /// that have no request pending.
    fn cheapest_pool(
        &self,
        spec: &JobSpec,
        task: &TaskForecast,
        usable_types: &[bool],
        now: Time,
    ) -> Option<CapacityPool> {
        // Spot hosts serve nearly as well at a third of the price. For a task that may use them, an on-demand host is
        // worth its price only if no spot pool is available and the wait is long.
        let is_spot_available = self.is_spot_available(spec, task, usable_types, now);
        // Best-effort tasks that may use spot hosts never get on-demand ones: they are to use cheap capacity.
        let is_above_best_effort = spec.priority != Priority::BestEffort;
        let on_demand_ok = !spec.allows_spot
            || (is_above_best_effort && !is_spot_available && task.start_s > ON_DEMAND_AFTER_S);
        let mut best: Option<(f64, CapacityPool)> = None;
        for (type_index, machine_type) in self.cluster.machine_types().iter().enumerate() {
            if !usable_types[type_index] {
                continue;
            }
            let zones = machine_type.zones.iter();
            for zone in zones.filter(|zone| is_zone_allowed(spec, zone, task.siblings_by_zone)) {
                for spot in [true, false] {
                    let pool = CapacityPool {
                        type_index,
                        zone: zone.clone(),
                        is_spot: spot,
                    };
                    let has_request = self
                        .autoscaler
                        .pending_requests
                        .values()
                        .any(|pending| pending.pool == pool);
                    let is_allowed = if spot { spec.allows_spot } else { on_demand_ok };
                    if self.is_pool_unavailable(&pool, now) || has_request || !is_allowed {
                        continue;
                    }
                    let cost = self.cost_per_task(spec, task, type_index, spot);
                    if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                        best = Some((cost, pool));
                    }
                }
            }
        }
        best.map(|(_, pool)| pool)
    }

    /// Whether any spot pool of the usable types may have capacity, for a job that its other tasks confine to some zones
    /// in those zones.
    fn is_spot_available(
        &self,
        spec: &JobSpec,
        task: &TaskForecast,
        usable_types: &[bool],
        now: Time,
    ) -> bool {
        let is_confined = spec.same_zone || spec.spread;
        let is_usable_zone =
            |zone: &&String| !is_confined || is_zone_allowed(spec, zone, task.siblings_by_zone);
        let spot_pool = |type_index: usize, zone: &String| CapacityPool {
            type_index,
            zone: zone.clone(),
            is_spot: true,
        };
        usable_types.iter().enumerate().any(|(index, is_usable)| {
            let zones = self.cluster.machine_types()[index].zones.iter();
            let mut pools = zones
                .filter(is_usable_zone)
                .map(|zone| spot_pool(index, zone));
            *is_usable && pools.any(|pool| !self.is_pool_unavailable(&pool, now))
        })
    }

    /// The cost of a task on a new host of the type, boot and image fetch included; higher if the task would miss its
    /// deadline there. Costs are only compared with each other.
    fn cost_per_task(
        &self,
        spec: &JobSpec,
        task: &TaskForecast,
        type_index: usize,
        is_spot: bool,
    ) -> f64 {
        let machine_type = &self.cluster.machine_types()[type_index];
        let tasks_per_host = scoring::task_resources(spec)
            .multiples_within(&capacity(machine_type))
            .max(1);
        let startup_delay_s = self.startup_delay_s(spec, type_index);
        let finish_s = startup_delay_s + task.run_s;
        let price = if is_spot {
            machine_type.spot_price_per_hour.0
        } else {
            machine_type.on_demand_price_per_hour.0
        };
        let host_cost = price * finish_s.max(MIN_BILLED_S);
        // Other tasks use what a service leaves free on the host; a short startup delay matters more to a service.
        let cost = if spec.is_service() {
            host_cost / tasks_per_host as f64 * self.startup_delay_cost_factor(startup_delay_s)
        } else {
            host_cost / tasks_per_host.min(task.waiting_tasks) as f64
        };
        if task
            .deadline_s
            .is_some_and(|deadline_s| finish_s <= deadline_s)
        {
            cost
        } else {
            cost * MISSED_DEADLINE_COST_FACTOR
        }
    }

    /// Factor on the cost of a host for services, by its startup delay.
    pub(crate) fn startup_delay_cost_factor(&self, startup_delay_s: f64) -> f64 {
        1.0 + startup_delay_s / STARTUP_DELAY_COST_S
    }

    /// Seconds until a task of the job could start on a host of the type requested now: boot and image fetch.
    fn startup_delay_s(&self, spec: &JobSpec, type_index: usize) -> f64 {
        let machine_type = &self.cluster.machine_types()[type_index];
        machine_type.boot_time_s.0 + spec.image_gb.0 / machine_type.image_fetch_gb_per_s.0.max(0.01)
    }
}
