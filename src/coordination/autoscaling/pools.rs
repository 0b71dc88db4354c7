//! Which pool a machine is rented from, and whether that is worth its price.

use crate::coordination::autoscaling::provisioning::CapacityPool;
use crate::coordination::scheduling::scoring::{self, capacity};
use crate::coordination::View;
use crate::protocol::users::{JobSpec, Priority};
use crate::types::Time;

/// A deadline is taken for kept if the forecast leaves this much.
pub(crate) const MARGIN_S: f64 = 3.0;
/// The longest of a job's tasks takes this much more than the expected one, as a share.
const MARGIN_SHARE: f64 = 1.0;
/// How long late work waits for room rather than for a machine of its own.
const LATE_PATIENCE_S: f64 = 45.0;
/// How much more a machine may cost that keeps a deadline which another would miss.
const LATE_FACTOR: f64 = 2.0;
/// How long work that may use spot machines waits for one before an ordinary one is rented.
const ORDINARY_AFTER_S: f64 = 180.0;
/// For a service a machine that takes this much longer to come is worth half as much.
const URGENCY_S: f64 = 60.0;
/// The cloud charges a machine for so long at the least.
const LEAST_CHARGED_S: f64 = 60.0;

/// What the forecast says of a waiting task; times are seconds from now.
pub(crate) struct Outlook {
    /// When it would start on the machines that are here or coming.
    pub(crate) start: f64,
    pub(crate) run: f64,
    pub(crate) due: Option<f64>,
    /// How many of the job's tasks wait, with this one.
    pub(crate) left: u64,
}

impl View<'_> {
    /// The pool to rent from, if the task would start too late otherwise.
    pub(crate) fn worth_renting(
        &self,
        spec: &JobSpec,
        outlook: &Outlook,
        usable: &[bool],
        now: Time,
    ) -> Option<CapacityPool> {
        let Outlook {
            start, run, due, ..
        } = *outlook;
        if due.is_some_and(|due| start + run * (1.0 + MARGIN_SHARE) + MARGIN_S <= due) {
            return None;
        }
        let pool = self.cheapest(spec, outlook, usable, now)?;
        let ready = self.ready_after(spec, pool.type_index);
        let in_time = due.is_some_and(|due| ready + run <= due);
        // Work that is late either way still has to be done, but without hurry.
        let gained = if in_time || spec.is_service() {
            0.0
        } else {
            LATE_PATIENCE_S
        };
        (ready + gained < start).then_some(pool)
    }

    /// How soon a task of the job could start on any machine rented now.
    pub(crate) fn min_startup_delay_s(&self, spec: &JobSpec, usable: &[bool]) -> f64 {
        let kinds = (0..self.cluster.machine_types().len()).filter(|k| usable[*k]);
        kinds
            .map(|kind| self.ready_after(spec, kind))
            .fold(f64::INFINITY, f64::min)
    }

    /// The pool with the lowest cost per task, counting boot and fetch.
    fn cheapest(
        &self,
        spec: &JobSpec,
        outlook: &Outlook,
        usable: &[bool],
        now: Time,
    ) -> Option<CapacityPool> {
        // Spot machines serve nearly as well at a third of the price: for work that may use them,
        // an ordinary one is worth its price only when there are none, and the wait is long.
        let spot_left = usable.iter().enumerate().any(|(kind, usable)| {
            let mut zones = self.cluster.machine_types()[kind].zones.iter();
            *usable
                && zones.any(|z| {
                    !self.is_closed(
                        &CapacityPool {
                            type_index: kind,
                            zone: z.clone(),
                            spot: true,
                        },
                        now,
                    )
                })
        });
        // Work of the lowest priority is there to use what is cheap.
        let worth = spec.priority != Priority::BestEffort;
        let ordinary = !spec.spot || (worth && !spot_left && outlook.start > ORDINARY_AFTER_S);
        let mut best: Option<(f64, CapacityPool)> = None;
        for (type_index, machine_type) in self.cluster.machine_types().iter().enumerate() {
            if !usable[type_index] {
                continue;
            }
            let zones = machine_type.zones.iter();
            for zone in zones.filter(|z| spec.zone.as_ref().is_none_or(|s| s == *z)) {
                for spot in [true, false] {
                    let pool = CapacityPool {
                        type_index,
                        zone: zone.clone(),
                        spot,
                    };
                    let has_request = self.autoscaler.rentals.values().any(|r| r.pool == pool);
                    let allowed = if spot { spec.spot } else { ordinary };
                    if self.is_closed(&pool, now) || has_request || !allowed {
                        continue;
                    }
                    let cost = self.cost_per_task(spec, outlook, type_index, spot);
                    if best.as_ref().is_none_or(|(c, _)| cost < *c) {
                        best = Some((cost, pool));
                    }
                }
            }
        }
        best.map(|(_, pool)| pool)
    }

    /// What a task costs on a new machine of that type, counting boot and fetch, and more if it would miss
    /// its deadline there.
    fn cost_per_task(
        &self,
        spec: &JobSpec,
        outlook: &Outlook,
        type_index: usize,
        spot: bool,
    ) -> f64 {
        let machine_type = &self.cluster.machine_types()[type_index];
        let fits = scoring::task_resources(spec)
            .multiples_within(&capacity(machine_type))
            .max(1);
        let ready = self.ready_after(spec, type_index);
        let span = ready + outlook.run;
        let price = if spot {
            machine_type.spot_price.0
        } else {
            machine_type.on_demand_price.0
        };
        let machine_cost = price * span.max(LEAST_CHARGED_S);
        // What a service leaves of a machine others use; that it is there soon counts more.
        let cost = if spec.is_service() {
            machine_cost / fits as f64 * self.urgency_factor(ready)
        } else {
            machine_cost / fits.min(outlook.left) as f64
        };
        if outlook.due.is_some_and(|due| span <= due) {
            cost
        } else {
            cost * LATE_FACTOR
        }
    }

    /// How much dearer a machine may be that is there sooner.
    pub(crate) fn urgency_factor(&self, ready: f64) -> f64 {
        1.0 + ready / URGENCY_S
    }

    /// How long a machine rented now takes until a task of the job can start on it.
    fn ready_after(&self, spec: &JobSpec, kind: usize) -> f64 {
        let t = &self.cluster.machine_types()[kind];
        t.boot_s.0 + spec.image_gb.0 / t.fetch_gb_per_s.0.max(0.01)
    }
}
