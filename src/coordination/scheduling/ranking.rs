//! The order in which waiting jobs are served, and how much of a team's limit is left.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::coordination::cluster::host::HostLifecycle;
use crate::coordination::cluster::job::{Job, JobPhase};
use crate::coordination::View;
use crate::protocol::users::{JobSpec, Priority};
use crate::types::{duration_from_seconds, JobId, Version};

/// Jobs that waited too long and go before all others at one time.
const MAX_LIFTED: usize = 8;

/// Jobs in the order in which they are served: those that have waited too long for a first start
/// go first, whatever they are, so that nothing starves; then those within their team's guarantee don't wait for
/// work that others run on borrowed machines; then priority; then those that can still be in time,
/// or have been late for long; then the earlier deadline; then arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobRank {
    /// Nothing of it has begun for longer than any job should wait; `true` sorts last.
    pub is_not_starving: bool,
    /// Its team has used up its guarantee.
    pub is_over_guarantee: bool,
    /// Its priority.
    pub priority: Priority,
    /// It can't meet its deadline any more, so it lets those go first that can, for a while.
    pub will_miss_deadline: bool,
    /// When it is due, in milliseconds of the day; those without a deadline come last.
    pub due_ms: u64,
    /// For work of the lowest priority that is due at no time: about how much is left to do, in
    /// powers of two, so that what is done soon does not wait for what takes for ever.
    pub remaining_cpu_s_log2: u32,
    /// Orders jobs by their arrival.
    pub arrival_version: Version,
    /// The job.
    pub job: JobId,
}

impl JobRank {
    /// Among those that have waited too long only their arrival counts.
    fn starving(self) -> JobRank {
        JobRank {
            is_not_starving: false,
            is_over_guarantee: false,
            priority: Priority::Critical,
            will_miss_deadline: false,
            due_ms: 0,
            remaining_cpu_s_log2: 0,
            ..self
        }
    }
}

/// What the unfinished tasks of a team's jobs take, up to the one that is looked at.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    cpus: f64,
    gpus: f64,
}

impl Demand {
    fn add(&mut self, job: &Job) {
        let unfinished = f64::from(job.task_count - job.done_count);
        self.cpus += unfinished * job.task_resources.cpus;
        self.gpus += unfinished * job.task_resources.gpus;
    }
}

impl View<'_> {
    /// All jobs with waiting tasks, in the order in which they are served.
    pub(crate) fn ranked_jobs(&self) -> Vec<JobRank> {
        let cpus = self.provisioned_cpus();
        let starve_after = duration_from_seconds(self.policy.tuning.starve_after_s);
        let mut by_arrival: Vec<&Job> = self
            .cluster
            .jobs()
            .values()
            .filter(|j| j.phase == JobPhase::Active)
            .collect();
        by_arrival.sort_by_key(|j| j.record_version);
        let mut demand_of_teams: BTreeMap<&str, Demand> = BTreeMap::new();
        let mut ranks = Vec::new();
        let mut starving_count = 0;
        for job in by_arrival {
            let Some(spec) = &job.spec else { continue };
            let demand = demand_of_teams.entry(&job.team).or_default();
            demand.add(job);
            if job.waiting_count() == 0 {
                continue;
            }
            let waited = self.time_since_submission(job);
            let rank = JobRank {
                is_not_starving: true,
                is_over_guarantee: !self.is_within_guarantee(job, demand),
                priority: spec.priority,
                will_miss_deadline: waited < starve_after * 2
                    && job.will_miss_deadline(
                        self.run_times.expected_s(job),
                        cpus,
                        self.clock.wall_clock_ms,
                    ),
                due_ms: job.deadline_ms().map_or(u64::MAX, |due| due as u64),
                remaining_cpu_s_log2: self.work_class(job, spec),
                arrival_version: job.record_version,
                job: job.id,
            };
            // A few at a time, the oldest first: in bulk they would pass all urgent work.
            let has_begun = job.allocated_count > 0 || job.done_count > 0;
            let is_starving = waited >= starve_after && !has_begun && starving_count < MAX_LIFTED;
            starving_count += usize::from(is_starving);
            ranks.push(if is_starving { rank.starving() } else { rank });
        }
        ranks.sort();
        ranks
    }

    /// How long ago the job was submitted.
    fn time_since_submission(&self, job: &Job) -> Duration {
        let waited_ms = self.clock.wall_clock_ms.saturating_sub(job.submitted_at_ms);
        duration_from_seconds(waited_ms as f64 / 1000.0)
    }

    /// Whether the job fits into its team's guarantee together with the team's earlier jobs.
    fn is_within_guarantee(&self, job: &Job, demand: &Demand) -> bool {
        let guaranteed = self.policy.team(&job.team).map(|team| team.guaranteed());
        let (cpus, gpus) = guaranteed.unwrap_or_default();
        demand.cpus <= cpus && (demand.gpus <= gpus || job.task_resources.gpus == 0.0)
    }

    fn work_class(&self, job: &Job, spec: &JobSpec) -> u32 {
        if spec.priority != Priority::BestEffort || spec.deadline_s.is_some() {
            return 0;
        }
        let open = f64::from(job.task_count - job.done_count);
        let work = open * job.task_resources.cpus.max(0.1) * self.run_times.expected_s(job);
        work.max(1.0).log2() as u32
    }

    /// CPUs of all machines that are here or coming.
    fn provisioned_cpus(&self) -> f64 {
        let here = self
            .cluster
            .hosts()
            .values()
            .filter(|h| matches!(h.lifecycle, HostLifecycle::Up | HostLifecycle::Expected));
        let kinds = here.filter_map(|h| {
            h.type_index
                .and_then(|k| self.cluster.machine_types().get(k))
        });
        kinds.map(|t| t.cpus.0).sum()
    }
}
