//! When hosts that are up, expected or requested have room for further tasks, as the forecast assumes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use crate::coordination::autoscaling::provisioning::CapacityPool;
use crate::coordination::cluster::host::{CordonReason, Host, HostLifecycle};
use crate::coordination::resources::Resources;
use crate::coordination::scheduling::is_zone_allowed;
use crate::coordination::scheduling::scoring::{self, capacity};
use crate::coordination::View;
use crate::protocol::users::{JobSpec, Priority};
use crate::types::Time;

/// A host that is not up after this multiple of its boot time may never come up, so the forecast ignores it.
const MAX_BOOT_TIME_FACTOR: f64 = 1.7;

/// Expected remaining run time of a task whose job is not known.
const UNKNOWN_JOB_REMAINING_S: f64 = 30.0;

/// A host that is up, expected or requested, and when its capacity becomes free. Times are seconds from now.
pub(crate) struct HostTimeline {
    /// Index of its machine type.
    pub(crate) type_index: usize,
    pub(crate) zone: String,
    pub(crate) is_spot: bool,
    /// When it is up; 0 if it is up already.
    pub(crate) up_at_s: f64,
    /// Capacity that services can have at once.
    pub(crate) room_for_services: RoomForServices,
    /// Capacity that no task takes.
    pub(crate) free: Resources,
    /// When tasks on it are expected to end and which resources that frees, in the order of time.
    pub(crate) expected_ends: Vec<(f64, Resources)>,
}

/// The capacity of a host that services can have at once: what is free or soon will be, and what tasks of a lower priority
/// take that may be stopped for them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoomForServices {
    free: Resources,
    preemptible: Vec<(Priority, Resources)>,
    /// What the forecast has reserved for services.
    reserved: Resources,
}

impl RoomForServices {
    /// The room on a host with this much free and no task to be preempted.
    fn with_free(free: Resources) -> RoomForServices {
        RoomForServices {
            free,
            ..RoomForServices::default()
        }
    }

    /// Whether a replica of the service has room. Nothing is preempted for a service whose replicas depend on each
    /// other's zones.
    pub(crate) fn fits(&self, spec: &JobSpec) -> bool {
        let may_preempt = !spec.same_zone && !spec.spread;
        let mut room = self.free;
        for (priority, resources) in &self.preemptible {
            if may_preempt && *priority > spec.priority {
                room.add(resources);
            }
        }
        scoring::task_resources(spec).fits(&room.saturating_sub(&self.reserved))
    }

    /// Reserves room for a replica.
    pub(crate) fn reserve(&mut self, task_resources: &Resources) {
        self.reserved.add(task_resources);
    }
}

impl HostTimeline {
    /// When a task could start on it; `None` if it never has room.
    pub(crate) fn earliest_start_s(&self, task_resources: &Resources) -> Option<f64> {
        let mut free = self.free;
        if task_resources.fits(&free) {
            return Some(self.up_at_s);
        }
        for (end_s, freed) in &self.expected_ends {
            free.add(freed);
            if task_resources.fits(&free) {
                return Some(end_s.max(self.up_at_s));
            }
        }
        None
    }

    /// Reserves room for a task that starts at `start_s` and runs for `run_s`.
    pub(crate) fn reserve(&mut self, start_s: f64, run_s: f64, task_resources: &Resources) {
        while let Some((_, freed)) = self
            .expected_ends
            .first()
            .filter(|(end_s, _)| *end_s <= start_s)
        {
            self.free.add(freed);
            self.expected_ends.remove(0);
        }
        self.free.subtract(task_resources);
        let end_s = start_s + run_s;
        let position = self
            .expected_ends
            .partition_point(|(other_end_s, _)| *other_end_s <= end_s);
        self.expected_ends
            .insert(position, (end_s, *task_resources));
    }
}

/// The hosts that suit a job, by when each could start its next task, the earliest first. An entry holds the bits of
/// the time in seconds, which sort like the times since these are never negative, and the index of the host's timeline.
#[derive(Default)]
pub(crate) struct StartQueue(BinaryHeap<Reverse<(u64, usize)>>);

impl StartQueue {
    /// The queue for a job, of the hosts whose machine types are usable, that are in a zone that its constraints allow
    /// beside its tasks there, and that have room at some time.
    pub(crate) fn for_job(
        timelines: &[HostTimeline],
        spec: &JobSpec,
        siblings_by_zone: &BTreeMap<String, u64>,
        usable_types: &[bool],
    ) -> StartQueue {
        let task_resources = scoring::task_resources(spec);
        let suits = |timeline: &HostTimeline| {
            usable_types[timeline.type_index]
                && (spec.allows_spot || !timeline.is_spot)
                && is_zone_allowed(spec, &timeline.zone, siblings_by_zone)
        };
        let suited = timelines
            .iter()
            .enumerate()
            .filter(|(_, timeline)| suits(timeline));
        let starts = suited
            .filter_map(|(index, timeline)| {
                Some(Reverse((
                    timeline.earliest_start_s(&task_resources)?.to_bits(),
                    index,
                )))
            })
            .collect();
        StartQueue(starts)
    }

    /// Seconds until the earliest start; infinite if no host can take a task.
    pub(crate) fn earliest_start_s(&self) -> f64 {
        let first = self.0.peek();
        first.map_or(f64::INFINITY, |Reverse((bits, _))| f64::from_bits(*bits))
    }

    /// Removes the hosts whose timelines do not meet the condition.
    pub(crate) fn retain(
        &mut self,
        timelines: &[HostTimeline],
        condition: impl Fn(&HostTimeline) -> bool,
    ) {
        self.0
            .retain(|Reverse((_, index))| condition(&timelines[*index]));
    }

    /// Reserves room for the next task on the host that could start it first, but not before `not_before_s`. Returns
    /// the index of the host's timeline; `None` if no host can take the task.
    pub(crate) fn reserve_earliest(
        &mut self,
        timelines: &mut [HostTimeline],
        not_before_s: f64,
        run_s: f64,
        task_resources: &Resources,
    ) -> Option<usize> {
        let Reverse((bits, index)) = self.0.pop()?;
        timelines[index].reserve(
            f64::from_bits(bits).max(not_before_s),
            run_s,
            task_resources,
        );
        self.push(timelines, index, task_resources);
        Some(index)
    }

    /// Adds a host by the index of its timeline, if it has room for a task at some time.
    pub(crate) fn push(
        &mut self,
        timelines: &[HostTimeline],
        index: usize,
        task_resources: &Resources,
    ) {
        if let Some(start_s) = timelines[index].earliest_start_s(task_resources) {
            self.0.push(Reverse((start_s.to_bits(), index)));
        }
    }
}

impl View<'_> {
    /// The timelines of all hosts that are up, expected or requested.
    pub(crate) fn host_timelines(&self, now: Time) -> Vec<HostTimeline> {
        let hosts = self.cluster.hosts().values();
        let mut timelines: Vec<HostTimeline> = hosts
            .filter_map(|host| self.host_timeline(host, now))
            .collect();
        for pending in self.autoscaler.pending_requests.values() {
            for _ in 0..pending.request.count {
                timelines.push(self.new_host_timeline(pending.pool.clone()));
            }
        }
        timelines
    }

    /// The timeline of a host; `None` if no task can be expected to start on it.
    pub(crate) fn host_timeline(&self, host: &Host, now: Time) -> Option<HostTimeline> {
        let type_index = host.type_index?;
        let machine_type = self.cluster.machine_types().get(type_index)?;
        let up_at_s = match host.lifecycle {
            HostLifecycle::Up
                if matches!(host.cordon_reason, None | Some(CordonReason::Surplus)) =>
            {
                0.0
            }
            HostLifecycle::Expected => {
                let boot_s = machine_type.boot_time_s.0;
                let age_s = now.since(host.provisioned_at).as_secs_f64();
                if age_s > boot_s * MAX_BOOT_TIME_FACTOR {
                    return None;
                }
                (boot_s - age_s).max(1.0)
            }
            HostLifecycle::Up | HostLifecycle::Unresponsive | HostLifecycle::Releasing => {
                return None
            }
        };
        let free = capacity(machine_type).saturating_sub(&host.allocated_resources);
        let mut expected_ends = Vec::new();
        let mut room_for_services = RoomForServices::with_free(free);
        for (task, allocation) in &host.allocations {
            let job = self.cluster.jobs().get(&task.job);
            let remaining_s = job.map_or(UNKNOWN_JOB_REMAINING_S, |j| {
                self.run_times
                    .expected_remaining_s(j, allocation.started_at, now)
            });
            expected_ends.push((remaining_s, allocation.resources));
            if let Some(job) = job.filter(|job| !job.is_service()) {
                if allocation.stop_reason.is_some() || self.ends_soon(job, allocation, now) {
                    room_for_services.free.add(&allocation.resources);
                } else if self.is_loss_small_for_service(job, allocation, now) {
                    let preemptible = (job.priority(), allocation.resources);
                    room_for_services.preemptible.push(preemptible);
                }
            }
        }
        expected_ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        Some(HostTimeline {
            type_index,
            zone: host.zone.clone(),
            is_spot: host.is_spot,
            up_at_s,
            room_for_services,
            free,
            expected_ends,
        })
    }

    /// The timeline of an empty host that is requested from the pool now.
    pub(crate) fn new_host_timeline(&self, pool: CapacityPool) -> HostTimeline {
        let machine_type = &self.cluster.machine_types()[pool.type_index];
        HostTimeline {
            type_index: pool.type_index,
            zone: pool.zone,
            is_spot: pool.is_spot,
            up_at_s: machine_type.boot_time_s.0,
            room_for_services: RoomForServices::with_free(capacity(machine_type)),
            free: capacity(machine_type),
            expected_ends: Vec::new(),
        }
    }
}
