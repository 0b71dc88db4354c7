//! Which hosts a job's next task may be placed on in a placement pass, and in which order they are preferred.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use super::candidates::{CandidateHost, ScoredHost};
use super::ranking::JobRank;
use crate::coordination::cluster::job::Job;
use crate::coordination::resources::Resources;
use crate::coordination::View;
use crate::protocol::users::{JobSpec, Priority};
use crate::storage::records::RunRecordId;
use crate::types::{HostName, JobId, TaskId, Time};

/// After a failure of one of its tasks on a host, a job avoids that host for this long.
const AVOID_FAILED_HOST_FOR: Duration = Duration::from_secs(20);
/// Fetch times of images are compared in steps, of which this many make a second.
const FETCH_STEPS_PER_S: f64 = 2.0;
/// Lower bound for the rate of image fetches in estimates, also assumed for hosts of an unknown machine type.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

/// The state of one placement pass.
pub(super) struct PlacementPass {
    pub(super) candidates: Vec<CandidateHost>,
    /// Profiles of unconstrained tasks that no host has room for in this pass.
    pub(super) unplaceable_profiles: Vec<TaskProfile>,
    pub(super) remaining_allocations: u64,
    /// How many more tasks each zone takes; zones without a limit are left out.
    pub(super) zone_admissions: BTreeMap<String, usize>,
    pub(super) now: Time,
}

/// All that decides whether some host can take an unconstrained task.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct TaskProfile {
    pub(super) resources: Resources,
    pub(super) may_use_spot: bool,
    /// Whether it may also use types that are scarce for other jobs.
    pub(super) may_overflow: bool,
}

/// The placement of one job's waiting tasks within a pass.
pub(super) struct JobPlacement {
    pub(super) id: JobId,
    pub(super) spec: Box<JobSpec>,
    pub(super) resources: Resources,
    pub(super) profile: TaskProfile,
    /// Whether the job has no constraint on machine types or zones, so that the profile alone decides.
    pub(super) is_unconstrained: bool,
    /// Whether the job has waited too long for the start of its first task.
    pub(super) is_starving: bool,
    /// For each machine type, whether the job's tasks may use it.
    pub(super) usable_types: Vec<bool>,
    /// The same with scarce types included, for when the hosts of the usable types have no room.
    pub(super) overflow_types: Option<Vec<bool>>,
    /// How many of the job's tasks each zone holds.
    pub(super) siblings_by_zone: BTreeMap<String, u64>,
    /// The hosts that may take a task of the job, the best on top.
    pub(super) eligible_hosts: EligibleHosts,
    /// How many more of its tasks may be allocated in this pass.
    pub(super) remaining_tasks: u64,
    /// While this many urgent records wait to be written, no task is allocated that needs another record.
    pub(super) max_urgent_records: usize,
    /// Whether its tasks may be placed on hosts that still list an earlier attempt at them, as no other host has room.
    pub(super) may_return_to_hosts: bool,
}

impl JobPlacement {
    /// Lets the job's tasks be placed on hosts that still list an earlier attempt at them. Returns whether that may
    /// help: it was not permitted before, and some host has room.
    pub(super) fn permit_return_to_hosts(&mut self) -> bool {
        let may_help = !self.may_return_to_hosts && !self.eligible_hosts.heap.is_empty();
        self.may_return_to_hosts = true;
        may_help
    }
}

/// The hosts that may take a task of a job.
pub(super) struct EligibleHosts {
    /// The best on top.
    pub(super) heap: BinaryHeap<ScoredHost>,
    /// Whether the job avoids hosts that have room, as its tasks failed there.
    pub(super) avoids_host: bool,
}

impl EligibleHosts {
    /// Whether no host has room, so that jobs of the same profile find none either.
    pub(super) fn is_exhausted(&self) -> bool {
        self.heap.is_empty() && !self.avoids_host
    }
}

/// The next step in the placement of a job.
pub(super) enum NextStep {
    /// Allocate the task to the candidate with this index.
    Allocate(TaskId, usize),
    /// No host has room for the job's next task.
    MakeRoom,
    /// Nothing more in this pass.
    Finish,
}

impl View<'_> {
    /// Begins the placement of a job; `None` if none of its tasks can be placed in this pass.
    pub(super) fn begin_placement(
        &self,
        rank: &JobRank,
        scarce_types: &[bool],
        pass: &PlacementPass,
    ) -> Option<JobPlacement> {
        let job = self.cluster.job(rank.job)?;
        let spec = job.spec.clone()?;
        if pass.now < job.retry_not_before
            || self.cluster.record_writer().is_allocation_blocked(job.id)
        {
            return None;
        }
        let usable_types = self.usable_types(&spec, scarce_types);
        let time_to_deadline_s = job.time_to_deadline_s(self.clock.wall_clock_ms);
        let run_s = self.run_times.expected_s(job);
        let overflow_types = self.overflow_types(&spec, &usable_types, run_s, time_to_deadline_s);
        let profile = TaskProfile {
            resources: job.task_resources,
            may_use_spot: spec.allows_spot,
            may_overflow: overflow_types.is_some(),
        };
        let is_unconstrained = is_unconstrained(&spec);
        if is_unconstrained && pass.unplaceable_profiles.contains(&profile) {
            return None;
        }
        let schedulable_count = u64::from(job.schedulable_count());
        let max_allocations = self
            .tasks_within_team_quota(job)
            .min(pass.remaining_allocations);
        Some(JobPlacement {
            id: job.id,
            resources: job.task_resources,
            profile,
            is_unconstrained,
            is_starving: !rank.is_not_starving,
            overflow_types,
            siblings_by_zone: self.siblings_by_zone(job, &spec),
            eligible_hosts: self.eligible_hosts(job, &spec, &usable_types, pass),
            remaining_tasks: max_allocations.min(schedulable_count),
            max_urgent_records: self.max_urgent_records(rank, &spec),
            may_return_to_hosts: false,
            usable_types,
            spec,
        })
    }

    /// The next step for the job. If that is an allocation, the host is taken from the job's eligible hosts.
    pub(super) fn next_step(&self, placement: &mut JobPlacement, pass: &PlacementPass) -> NextStep {
        let Some(job) = self.cluster.job(placement.id) else {
            return NextStep::Finish;
        };
        let Some(index) = job.next_waiting_task() else {
            return NextStep::Finish;
        };
        // A task starts only once its record is written. An allocation that waits long for that keeps resources idle.
        let records = self.cluster.record_writer();
        let is_queued = records.is_queued_as_urgent(RunRecordId {
            job: job.id,
            number: job.record_number_of(index),
        });
        if !is_queued && records.urgent_record_count() >= placement.max_urgent_records {
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
            placement.eligible_hosts =
                self.eligible_hosts(job, &placement.spec, &overflow_types, pass);
            placement.usable_types = overflow_types;
        }
    }

    /// The limit of urgent records that wait to be written: the higher the job's priority, the higher the limit. A
    /// starving job counts as critical.
    fn max_urgent_records(&self, rank: &JobRank, spec: &JobSpec) -> usize {
        let priority = if rank.is_not_starving {
            spec.priority
        } else {
            Priority::Critical
        };
        self.policy.max_queued_records_per_priority
            * (1 + Priority::BestEffort as usize - priority as usize)
    }

    /// The candidates that may take a task of the job, apart from limits on zones; the best on top.
    fn eligible_hosts(
        &self,
        job: &Job,
        spec: &JobSpec,
        usable_types: &[bool],
        pass: &PlacementPass,
    ) -> EligibleHosts {
        let hosts_with_siblings: BTreeSet<&HostName> = job.allocated_hosts().collect();
        let needs_gpu = job.task_resources.gpus > 0.0;
        let mut eligible_hosts = Vec::new();
        let mut avoids_host = false;
        for (index, candidate) in pass.candidates.iter().enumerate() {
            let has_room = usable_types.get(candidate.type_index) == Some(&true)
                && !candidate.is_reserved
                && job.task_resources.fits(&candidate.free_for(job.id))
                && (spec.allows_spot || !candidate.is_spot);
            let is_avoided = candidate.has_failed_jobs
                && self.has_failed_recently(&candidate.name, job.id, pass.now);
            avoids_host |= has_room && is_avoided;
            if has_room && !is_avoided {
                let has_sibling = hosts_with_siblings.contains(&candidate.name);
                let fetch_steps = self.fetch_steps(spec, &candidate.name);
                eligible_hosts.push(candidate.scored(index, has_sibling, fetch_steps, needs_gpu));
            }
        }
        EligibleHosts {
            heap: eligible_hosts.into(),
            avoids_host,
        }
    }

    /// Estimated time that the host takes to fetch the image of a service, in steps of half a second; 0 if the image is
    /// cached, and for other jobs. It is compared before the score, as a service should start within seconds and
    /// fetching its image may take longer.
    pub(super) fn fetch_steps(&self, spec: &JobSpec, name: &HostName) -> u32 {
        let host = self.cluster.host(name).filter(|_| spec.is_service());
        let Some(host) = host.filter(|host| !host.has_cached_image(&spec.image)) else {
            return 0;
        };
        let machine_type = self.cluster.machine_type_of(host);
        let gb_per_s = machine_type.map_or(MIN_FETCH_GB_PER_S, |machine_type| {
            machine_type.image_fetch_gb_per_s.0.max(MIN_FETCH_GB_PER_S)
        });
        1 + (spec.image_gb.0 / gb_per_s * FETCH_STEPS_PER_S) as u32
    }

    /// Whether a task of the job has failed on the host so recently that the job still avoids it.
    fn has_failed_recently(&self, name: &HostName, job: JobId, now: Time) -> bool {
        let host = self.cluster.host(name);
        let failed_at = host.and_then(|host| host.failed_jobs.get(&job));
        failed_at.is_some_and(|at| now.since(*at) < AVOID_FAILED_HOST_FOR)
    }

    /// Takes the best candidate for the task from the hosts that are eligible for its job, and returns its index. Hosts
    /// that only this task cannot use remain eligible.
    fn take_best_host(
        &self,
        task: TaskId,
        placement: &mut JobPlacement,
        pass: &PlacementPass,
    ) -> Option<usize> {
        let mut skipped_hosts = Vec::new();
        let mut best = None;
        while let Some(next) = placement.eligible_hosts.heap.pop() {
            let candidate = &pass.candidates[next.index];
            let is_zone_full = pass.zone_admissions.get(&candidate.zone) == Some(&0);
            let siblings = &placement.siblings_by_zone;
            if is_zone_full || !is_zone_allowed(&placement.spec, &candidate.zone, siblings) {
                // The host does not become eligible again in this pass: siblings only increase, and a zone's remaining
                // admissions only decrease.
                continue;
            }
            if candidate.remembers_tasks
                && self.remembers_task(&candidate.name, task, placement.may_return_to_hosts)
            {
                skipped_hosts.push(next);
                continue;
            }
            best = Some(next.index);
            break;
        }
        placement.eligible_hosts.heap.extend(skipped_hosts);
        best
    }

    /// Whether an earlier attempt at the task rules the host out: any that it still lists or that may still arrive
    /// there, or, if the task `may_return` to hosts, only one because of which the worker would not take a new one.
    fn remembers_task(&self, name: &HostName, task: TaskId, may_return: bool) -> bool {
        let Some(host) = self.cluster.host(name) else {
            return false;
        };
        if may_return {
            !host.takes_new_attempt(task)
        } else {
            host.may_have_earlier_attempt(task)
        }
    }

    /// How long ago the job was submitted.
    pub(super) fn waiting_time(&self, id: JobId) -> Duration {
        let submitted_at_ms = self.cluster.job(id).map_or(0, |job| job.submitted_at_ms);
        Duration::from_millis(self.clock.wall_clock_ms.saturating_sub(submitted_at_ms))
    }

    /// How many of the job's tasks each zone holds, including those on unresponsive hosts; empty if the job has no
    /// constraint that depends on it.
    pub(crate) fn siblings_by_zone(&self, job: &Job, spec: &JobSpec) -> BTreeMap<String, u64> {
        let mut siblings_by_zone = BTreeMap::new();
        if job.allocated_count > 0 && (spec.same_zone || spec.spread) {
            for host in self.cluster.hosts().values() {
                let tasks = host.allocations.keys();
                let sibling_count = tasks.filter(|task| task.job == job.id).count() as u64;
                if sibling_count > 0 {
                    *siblings_by_zone.entry(host.zone.clone()).or_default() += sibling_count;
                }
            }
        }
        siblings_by_zone
    }
}

/// Whether the job has no constraint on machine types or zones.
fn is_unconstrained(spec: &JobSpec) -> bool {
    spec.allowed_machine_types.is_none()
        && spec.required_zone.is_none()
        && !spec.same_zone
        && !spec.spread
}

/// Whether the job's constraints on zones allow another of its tasks in the zone, given how many of its tasks each zone
/// holds. A job with `spread` has at most half of its tasks, rounded up, in one zone.
pub(crate) fn is_zone_allowed(
    spec: &JobSpec,
    zone: &str,
    siblings_by_zone: &BTreeMap<String, u64>,
) -> bool {
    if spec
        .required_zone
        .as_ref()
        .is_some_and(|required| required != zone)
    {
        return false;
    }
    // A host whose zone is not known yet could be in any zone, so tasks on it count for every zone.
    let in_unknown_zone = siblings_by_zone.get("").copied();
    let is_elsewhere = |other: &String| other != zone;
    if spec.same_zone && (in_unknown_zone.is_some() || siblings_by_zone.keys().any(is_elsewhere)) {
        return false;
    }
    if spec.spread {
        let in_zone = siblings_by_zone.get(zone).copied().unwrap_or(0);
        let new_count = in_zone + in_unknown_zone.unwrap_or(0) + 1;
        if new_count > spec.task_count.div_ceil(2) {
            return false;
        }
    }
    true
}
