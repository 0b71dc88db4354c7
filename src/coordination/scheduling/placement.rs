//! Placement: a pass over the waiting tasks, in the order of the queue, that puts each on the eligible host with the
//! highest weighted headroom. Hosts without another task of the job come first; ties go to the first name.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use super::candidates::{CandidateHost, ScoredHost};
use super::ranking::JobRank;
use super::scoring::capacity;
use crate::coordination::cluster::host::{Host, Reachability};
use crate::coordination::cluster::job::Job;
use crate::coordination::resources::Resources;
use crate::coordination::{Leader, View};
use crate::protocol::users::{JobSpec, Priority};
use crate::storage::records::RunRecordId;
use crate::types::{HostName, JobId, TaskId, Time};

/// Tasks allocated in one pass; the rest waits for the next, so that a pass never takes long.
const MAX_ALLOCATIONS: u64 = 400;
/// A failure on a host keeps the job's tasks away from it for this long.
const AVOID_FAILED_HOST_FOR: Duration = Duration::from_secs(20);
/// Steps of an image's fetch time in a second.
const FETCH_STEPS_PER_S: f64 = 2.0;
/// The slowest rate of image fetches that is reckoned with, in GB a second.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

/// What one pass over the waiting tasks keeps.
struct PlacementPass {
    candidates: Vec<CandidateHost>,
    /// Profiles of tasks that found no host.
    unplaceable: Vec<TaskProfile>,
    allocations_left: u64,
    /// How many more tasks the zones take that are limited.
    zone_allowances: BTreeMap<String, usize>,
    now: Time,
}

/// What decides whether some host has room for a task that may run anywhere.
#[derive(Clone, Copy, PartialEq)]
struct TaskProfile {
    resources: Resources,
    spot: bool,
    /// Whether it may use types that are scarce for others.
    overflows: bool,
}

/// The placement of one job's waiting tasks within a pass.
struct JobPlacement {
    id: JobId,
    spec: Box<JobSpec>,
    resources: Resources,
    profile: TaskProfile,
    /// Whether the job may run anywhere, so that its profile alone decides.
    is_unconstrained: bool,
    /// Whether the job has waited too long for a first start.
    is_starving: bool,
    /// The machine types that its tasks may use, by index.
    usable_types: Vec<bool>,
    /// More types that they may use if there is no room on those.
    overflow_types: Option<Vec<bool>>,
    /// How many of its tasks each zone holds.
    siblings_by_zone: BTreeMap<String, u64>,
    /// The hosts that may take a task, the best on top.
    eligible: BinaryHeap<ScoredHost>,
    /// How many more tasks its team's quota and the pass allow.
    tasks_left: u64,
    /// How many urgent records may wait to be written before no more is allocated.
    max_waiting_records: usize,
}

/// What to do next for a job.
enum NextStep {
    /// Allocate the task to the candidate of that index.
    Allocate(TaskId, usize),
    /// No host has room for its next task.
    MakeRoom,
    /// Nothing more in this pass.
    Finish,
}

impl View<'_> {
    /// The hosts that take new tasks and have room, in the order of their names.
    fn candidates(&self, now: Time) -> Vec<CandidateHost> {
        let hosts = self.cluster.hosts().values();
        let candidates = hosts.filter_map(|host| {
            let machine_type = self.cluster.machine_type_of(host)?;
            if !self.accepts_tasks(host, now) {
                return None;
            }
            CandidateHost::new(host, host.type_index?, capacity(machine_type))
        });
        candidates.collect()
    }

    /// Prepares the placement of a job; `None` if none of its tasks can be placed in this pass.
    fn begin_placement(
        &self,
        rank: &JobRank,
        scarce: &[bool],
        pass: &PlacementPass,
    ) -> Option<JobPlacement> {
        let job = self.cluster.job(rank.job)?;
        let spec = job.spec.clone()?;
        if pass.now < job.retry_not_before
            || self.cluster.record_writer().is_allocation_blocked(job.id)
        {
            return None;
        }
        let usable_types = self.usable_types(&spec, scarce);
        let due_in_s = job.time_to_deadline_s(self.clock.wall_clock_ms);
        let run_s = self.run_times.expected_s(job);
        let overflow_types = self.overflow_types(&spec, &usable_types, run_s, due_in_s);
        let profile = TaskProfile {
            resources: job.task_resources,
            spot: spec.spot,
            overflows: overflow_types.is_some(),
        };
        let is_unconstrained = is_unconstrained(&spec);
        if is_unconstrained && pass.unplaceable.contains(&profile) {
            return None;
        }
        let schedulable = u64::from(job.schedulable_count());
        let allowed = self.tasks_within_team_quota(job).min(pass.allocations_left);
        Some(JobPlacement {
            id: job.id,
            resources: job.task_resources,
            profile,
            is_unconstrained,
            is_starving: !rank.is_not_starving,
            overflow_types,
            siblings_by_zone: self.siblings_by_zone(job, &spec),
            eligible: self.eligible_hosts(job, &spec, &usable_types, pass),
            tasks_left: allowed.min(schedulable),
            max_waiting_records: self.max_waiting_records(rank, &spec),
            usable_types,
            spec,
        })
    }

    fn next_step(&self, placement: &mut JobPlacement, pass: &PlacementPass) -> NextStep {
        let Some(job) = self.cluster.job(placement.id) else {
            return NextStep::Finish;
        };
        let Some(index) = job.next_waiting_task() else {
            return NextStep::Finish;
        };
        // An allocation that waits long for its record would only hold the host idle.
        let records = self.cluster.record_writer();
        let is_queued = records.is_queued_as_urgent(RunRecordId {
            job: job.id,
            number: job.record_number_of(index),
        });
        if !is_queued && records.urgent_record_count() >= placement.max_waiting_records {
            return NextStep::Finish;
        }
        let task = TaskId { job: job.id, index };
        loop {
            if let Some(candidate) = self.take_best_host(task, placement, pass) {
                return NextStep::Allocate(task, candidate);
            }
            let Some(overflow_types) = placement.overflow_types.take() else {
                return NextStep::MakeRoom;
            };
            placement.eligible = self.eligible_hosts(job, &placement.spec, &overflow_types, pass);
            placement.usable_types = overflow_types;
        }
    }

    /// How many urgent records may wait to be written before nothing more of the job is allocated.
    fn max_waiting_records(&self, rank: &JobRank, spec: &JobSpec) -> usize {
        let priority = if rank.is_not_starving {
            spec.priority
        } else {
            Priority::Critical
        };
        self.policy.max_queued_records_per_priority
            * (1 + Priority::BestEffort as usize - priority as usize)
    }

    /// The candidates that may take a task of the job, the best on top.
    fn eligible_hosts(
        &self,
        job: &Job,
        spec: &JobSpec,
        usable_types: &[bool],
        pass: &PlacementPass,
    ) -> BinaryHeap<ScoredHost> {
        let hosts_of_job: BTreeSet<&HostName> = job.allocated_hosts().collect();
        let needs_gpu = job.task_resources.gpus > 0.0;
        let mut eligible = Vec::new();
        for (index, candidate) in pass.candidates.iter().enumerate() {
            let is_eligible = usable_types.get(candidate.type_index) == Some(&true)
                && !candidate.is_reserved
                && job.task_resources.fits(&candidate.free())
                && (spec.spot || !candidate.spot)
                && !(candidate.has_failed_jobs
                    && self.failed_lately(&candidate.name, job.id, pass.now));
            if is_eligible {
                let has_sibling = hosts_of_job.contains(&candidate.name);
                let fetch_steps = self.fetch_steps(spec, &candidate.name);
                eligible.push(candidate.scored(index, has_sibling, fetch_steps, needs_gpu));
            }
        }
        eligible.into()
    }

    /// How long the host takes to fetch the image of a service, in steps; 0 for other jobs. This is the exception to the
    /// order by score: a service is to run within moments, and an image may take longer than that.
    fn fetch_steps(&self, spec: &JobSpec, name: &HostName) -> u32 {
        let host = self.cluster.host(name).filter(|_| spec.is_service());
        let Some(host) = host.filter(|host| !host.has_cached_image(&spec.image)) else {
            return 0;
        };
        let machine_type = self.cluster.machine_type_of(host);
        let gb_per_s = machine_type.map_or(MIN_FETCH_GB_PER_S, |machine_type| {
            machine_type.fetch_gb_per_s.0.max(MIN_FETCH_GB_PER_S)
        });
        1 + (spec.image_gb.0 / gb_per_s * FETCH_STEPS_PER_S) as u32
    }

    fn failed_lately(&self, name: &HostName, job: JobId, now: Time) -> bool {
        let host = self.cluster.host(name);
        let failed_at = host.and_then(|host| host.failed_jobs.get(&job));
        failed_at.is_some_and(|at| now.since(*at) < AVOID_FAILED_HOST_FOR)
    }

    /// Takes the best candidate for the task from those that are eligible for its job.
    fn take_best_host(
        &self,
        task: TaskId,
        placement: &mut JobPlacement,
        pass: &PlacementPass,
    ) -> Option<usize> {
        let mut set_aside = Vec::new();
        let mut best = None;
        while let Some(next) = placement.eligible.pop() {
            let candidate = &pass.candidates[next.index];
            let is_zone_full = pass.zone_allowances.get(&candidate.zone) == Some(&0);
            let siblings = &placement.siblings_by_zone;
            if is_zone_full || !is_zone_allowed(&placement.spec, &candidate.zone, siblings) {
                // That does not change in this pass, as siblings only become more.
                continue;
            }
            if candidate.remembers_tasks && self.remembers_task(&candidate.name, task) {
                set_aside.push(next);
                continue;
            }
            best = Some(next.index);
            break;
        }
        placement.eligible.extend(set_aside);
        best
    }

    /// Whether an earlier attempt at the task is still listed by the host, or may still arrive there.
    fn remembers_task(&self, name: &HostName, task: TaskId) -> bool {
        let host = self.cluster.host(name);
        host.is_some_and(|host| host.may_have_earlier_attempt(task))
    }

    /// How many of the job's tasks each zone holds, with those on unresponsive hosts; empty where that does not matter.
    fn siblings_by_zone(&self, job: &Job, spec: &JobSpec) -> BTreeMap<String, u64> {
        let mut by_zone = BTreeMap::new();
        if job.allocated_count > 0 && (spec.same_zone || spec.spread) {
            for host in self.cluster.hosts().values() {
                let tasks = host.allocations.keys();
                let count = tasks.filter(|task| task.job == job.id).count() as u64;
                if count > 0 {
                    *by_zone.entry(host.zone.clone()).or_default() += count;
                }
            }
        }
        by_zone
    }

    /// Whether new tasks may be placed on the host.
    pub(crate) fn accepts_tasks(&self, host: &Host, now: Time) -> bool {
        let is_fresh = now.since(host.last_heartbeat_at) <= self.policy.heartbeat_interval * 2;
        host.is_up()
            && host.cordon_reason.is_none()
            && is_fresh
            && host.reachability == Reachability::Confirmed
    }
}

impl Leader {
    /// One pass over the waiting tasks.
    pub(crate) fn place_waiting_tasks(&mut self, now: Time) {
        self.update_unrecorded_usage();
        let ranks = self.view().ranked_jobs();
        if ranks.is_empty() {
            return;
        }
        let scarce = self.view().scarce_types();
        let mut pass = PlacementPass {
            candidates: self.view().candidates(now),
            unplaceable: Vec::new(),
            allocations_left: MAX_ALLOCATIONS,
            zone_allowances: self.zone_admission_limits(now),
            now,
        };
        for rank in ranks {
            if pass.allocations_left == 0 {
                // The rest follows once heartbeats and users have had their turn.
                self.cluster.request_scheduling();
                return;
            }
            self.place_job(&rank, &scarce, &mut pass);
        }
    }

    /// Places the waiting tasks of one job.
    fn place_job(&mut self, rank: &JobRank, scarce: &[bool], pass: &mut PlacementPass) {
        let _job = tracing::debug_span!("job", id = %rank.job).entered();
        let Some(mut placement) = self.view().begin_placement(rank, scarce, pass) else {
            return;
        };
        while placement.tasks_left > 0 {
            match self.view().next_step(&mut placement, pass) {
                NextStep::Allocate(task, index) => {
                    self.allocate_to(task, index, &mut placement, pass);
                }
                NextStep::MakeRoom => return self.make_room(&placement, pass),
                NextStep::Finish => return,
            }
        }
    }

    /// Allocates the task to the candidate, which stays eligible for another one if it has room for it.
    fn allocate_to(
        &mut self,
        task: TaskId,
        index: usize,
        placement: &mut JobPlacement,
        pass: &mut PlacementPass,
    ) {
        let candidate = &mut pass.candidates[index];
        let zone = candidate.zone.clone();
        *placement.siblings_by_zone.entry(zone).or_default() += 1;
        candidate.allocated.add(&placement.resources);
        if placement.resources.fits(&candidate.free()) {
            let fetch_steps = self.view().fetch_steps(&placement.spec, &candidate.name);
            let needs_gpu = placement.resources.gpus > 0.0;
            let scored = candidate.scored(index, true, fetch_steps, needs_gpu);
            placement.eligible.push(scored);
        }
        self.cluster.allocate(task, &candidate.name);
        placement.tasks_left -= 1;
        pass.allocations_left -= 1;
        if let Some(left) = pass.zone_allowances.get_mut(&candidate.zone) {
            *left = left.saturating_sub(1);
            self.on_task_placed_in_zone(&candidate.zone);
        }
    }

    /// No host has room for the next task of the job: makes room if the job may have that.
    fn make_room(&mut self, placement: &JobPlacement, pass: &mut PlacementPass) {
        let JobPlacement {
            id,
            spec,
            usable_types,
            ..
        } = placement;
        if spec.is_service() && self.uncordon_host_for_replica(*id, spec, usable_types, pass.now) {
            self.cluster.request_scheduling();
            return;
        }
        if placement.is_starving {
            reserve_host(placement, pass);
        } else if placement.is_unconstrained {
            pass.unplaceable.push(placement.profile);
        }
        self.preempt(*id, spec, usable_types, pass.now);
    }
}

fn is_unconstrained(spec: &JobSpec) -> bool {
    spec.machine_types.is_none() && spec.zone.is_none() && !spec.same_zone && !spec.spread
}

/// Reserves the host where most is free for a job that has waited too long and finds no room, as smaller tasks take
/// whatever gets free. It takes nothing else until the job fits there.
fn reserve_host(placement: &JobPlacement, pass: &mut PlacementPass) {
    let spec = &placement.spec;
    let suits = |candidate: &CandidateHost| {
        placement.usable_types.get(candidate.type_index) == Some(&true)
            && !candidate.is_reserved
            && (spec.spot || !candidate.spot)
            && spec
                .zone
                .as_ref()
                .is_none_or(|zone| *zone == candidate.zone)
            && placement.resources.fits(&candidate.capacity)
            && !placement.resources.fits(&candidate.free())
    };
    let free_cpus = |candidate: &CandidateHost| candidate.free().cpus;
    let suited = pass.candidates.iter_mut().filter(|c| suits(c));
    if let Some(best) = suited.max_by(|a, b| free_cpus(a).total_cmp(&free_cpus(b))) {
        best.is_reserved = true;
    }
}

/// Whether a task of the job may be placed in the zone, given how many of its tasks each zone holds.
pub(crate) fn is_zone_allowed(
    spec: &JobSpec,
    zone: &str,
    siblings_by_zone: &BTreeMap<String, u64>,
) -> bool {
    if spec.zone.as_ref().is_some_and(|only| only != zone) {
        return false;
    }
    // A host whose zone is not known yet could be in any zone.
    let in_unknown_zone = siblings_by_zone.get("").copied();
    let is_elsewhere = |other: &String| other != zone;
    if spec.same_zone && (in_unknown_zone.is_some() || siblings_by_zone.keys().any(is_elsewhere)) {
        return false;
    }
    if spec.spread {
        let in_zone = siblings_by_zone.get(zone).copied().unwrap_or(0);
        let with_this = in_zone + in_unknown_zone.unwrap_or(0) + 1;
        if with_this > spec.tasks.div_ceil(2) {
            return false;
        }
    }
    true
}
