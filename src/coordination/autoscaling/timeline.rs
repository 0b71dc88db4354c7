//! When machines that are up or to come have room, as the forecast sees it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::coordination::autoscaling::provisioning::CapacityPool;
use crate::coordination::cluster::host::{CordonReason, Host, HostLifecycle};
use crate::coordination::resources::Resources;
use crate::coordination::scheduling::scoring::{self, capacity};
use crate::coordination::View;
use crate::protocol::users::JobSpec;
use crate::types::Time;

/// A machine that is not up after this many times its boot time may never come.
const HOPELESS_BOOT: f64 = 1.7;

/// How long a task runs on of whose job nothing is known.
const UNKNOWN_REST_S: f64 = 30.0;

/// A machine that is up or to come, as the forecast sees it; times are seconds from now.
pub(crate) struct Timeline {
    pub(crate) kind: usize,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    /// When it is up.
    pub(crate) at: f64,
    /// What services leave of it: they preempt all else.
    pub(crate) for_services: Resources,
    pub(crate) free: Resources,
    /// What gets free later, in the order of time.
    pub(crate) ends: Vec<(f64, Resources)>,
}

impl Timeline {
    /// When there will be room for a task.
    pub(crate) fn start_of(&self, need: &Resources) -> Option<f64> {
        let mut free = self.free;
        if need.fits(&free) {
            return Some(self.at);
        }
        for (end, freed) in &self.ends {
            free.add(freed);
            if need.fits(&free) {
                return Some(end.max(self.at));
            }
        }
        None
    }

    /// Gives the room to a task from `start` on.
    pub(crate) fn take(&mut self, start: f64, run: f64, need: &Resources) {
        while let Some((_, freed)) = self.ends.first().filter(|(end, _)| *end <= start) {
            self.free.add(freed);
            self.ends.remove(0);
        }
        self.free.subtract(need);
        let end = start + run;
        let at = self.ends.partition_point(|(e, _)| *e <= end);
        self.ends.insert(at, (end, *need));
    }
}

/// When each of the machines that suit a job would take a task of it, the soonest on top. Times are
/// never negative, so their bits are in the order of their values.
#[derive(Default)]
pub(crate) struct Starts(BinaryHeap<Reverse<(u64, usize)>>);

impl Starts {
    pub(crate) fn of(timelines: &[Timeline], spec: &JobSpec, usable: &[bool]) -> Starts {
        let need = scoring::task_resources(spec);
        let suits = |timeline: &Timeline| {
            usable[timeline.kind]
                && (spec.spot || !timeline.spot)
                && spec.zone.as_ref().is_none_or(|z| *z == timeline.zone)
        };
        let suited = timelines
            .iter()
            .enumerate()
            .filter(|(_, timeline)| suits(timeline));
        let starts = suited
            .filter_map(|(at, timeline)| Some(Reverse((timeline.start_of(&need)?.to_bits(), at))))
            .collect();
        Starts(starts)
    }

    /// Infinite if none ever would.
    pub(crate) fn soonest(&self) -> f64 {
        let first = self.0.peek();
        first.map_or(f64::INFINITY, |Reverse((start, _))| f64::from_bits(*start))
    }

    /// Gives the next task to the machine that would take it the soonest; false if there is none.
    pub(crate) fn take(
        &mut self,
        timelines: &mut [Timeline],
        from: f64,
        run: f64,
        need: &Resources,
    ) -> bool {
        let Some(Reverse((start, at))) = self.0.pop() else {
            return false;
        };
        timelines[at].take(f64::from_bits(start).max(from), run, need);
        self.add(timelines, at, need);
        true
    }

    pub(crate) fn add(&mut self, timelines: &[Timeline], at: usize, need: &Resources) {
        if let Some(next) = timelines[at].start_of(need) {
            self.0.push(Reverse((next.to_bits(), at)));
        }
    }
}

impl View<'_> {
    /// Machines that are here or coming, and when their room gets free.
    pub(crate) fn timelines(&self, now: Time) -> Vec<Timeline> {
        let hosts = self.cluster.hosts().values();
        let mut timelines: Vec<Timeline> = hosts.filter_map(|h| self.timeline(h, now)).collect();
        for open in self.autoscaler.rentals.values() {
            for _ in 0..open.rental.count {
                timelines.push(self.new_timeline(open.pool.clone()));
            }
        }
        timelines
    }

    /// The timeline of a machine, unless nothing can be expected of it.
    pub(crate) fn timeline(&self, host: &Host, now: Time) -> Option<Timeline> {
        let kind = host.type_index?;
        let machine_type = self.cluster.machine_types().get(kind)?;
        let at = match host.lifecycle {
            HostLifecycle::Up
                if matches!(host.cordon_reason, None | Some(CordonReason::Surplus)) =>
            {
                0.0
            }
            HostLifecycle::Expected => {
                let boot = machine_type.boot_s.0;
                let age = now.since(host.provisioned_at).as_secs_f64();
                // One that takes much longer than usual may never come.
                if age > boot * HOPELESS_BOOT {
                    return None;
                }
                (boot - age).max(1.0)
            }
            HostLifecycle::Up | HostLifecycle::Unresponsive | HostLifecycle::Releasing => {
                return None
            }
        };
        let mut ends = Vec::new();
        let mut for_services = capacity(machine_type);
        for (task, allocation) in &host.allocations {
            let job = self.cluster.jobs().get(&task.job);
            let rest = job.map_or(UNKNOWN_REST_S, |j| {
                self.run_times
                    .expected_remaining_s(j, allocation.started_at, now)
            });
            ends.push((rest, allocation.resources));
            if self.is_replica(*task) {
                for_services.subtract(&allocation.resources);
            }
        }
        ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        Some(Timeline {
            kind,
            zone: host.zone.clone(),
            spot: host.is_spot,
            at,
            for_services,
            free: capacity(machine_type).saturating_sub(&host.allocated_resources),
            ends,
        })
    }

    pub(crate) fn new_timeline(&self, pool: CapacityPool) -> Timeline {
        let machine_type = &self.cluster.machine_types()[pool.type_index];
        Timeline {
            kind: pool.type_index,
            zone: pool.zone,
            spot: pool.spot,
            at: machine_type.boot_s.0,
            for_services: capacity(machine_type),
            free: capacity(machine_type),
            ends: Vec::new(),
        }
    }
}
