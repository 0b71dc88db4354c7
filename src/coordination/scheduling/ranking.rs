//! The queue order of jobs with waiting tasks.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::coordination::cluster::host::HostLifecycle;
use crate::coordination::cluster::job::{Job, JobPhase};
use crate::coordination::View;
use crate::protocol::users::{JobSpec, Priority};
use crate::types::{duration_from_seconds, JobId, Version};

/// At most this many jobs count as starving in one pass, and so go before all others.
const MAX_STARVING_JOBS: usize = 8;

/// A job's place in the queue; the smallest is served first. Compared in the order of the fields: starving jobs go
/// first whatever their priority, so that no job waits forever; jobs within their team's guarantee go before those that
/// borrow capacity; then the higher priority; then jobs that do not yield as late; then the earlier deadline, the
/// smaller remaining work and the earlier arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobRank {
    /// False for a starving job: it has waited for `starve_after_s` of the tuning, and none of its tasks is allocated
    /// or done.
    pub is_not_starving: bool,
    /// Whether the unfinished tasks of the team's jobs, up to and including this job in order of arrival, exceed the
    /// team's guarantee.
    pub is_over_guarantee: bool,
    /// Priority of the job.
    pub priority: Priority,
    /// Whether the job can no longer meet its deadline and yields to jobs that still can meet theirs. It yields only
    /// until it has waited for twice `starve_after_s`.
    pub yields_as_late: bool,
    /// Deadline of the job as Unix time in milliseconds; `u64::MAX` without a deadline.
    pub deadline_ms: u64,
    /// For a best-effort job without a deadline, the binary logarithm of its estimated remaining CPU-seconds, so that
    /// small jobs do not wait for very large ones; 0 for other jobs.
    pub remaining_cpu_s_log2: u32,
    /// Version of the job's record, which orders jobs by their arrival.
    pub arrival_version: Version,
    /// Id of the job.
    pub job: JobId,
}

impl JobRank {
    /// The rank of the job if it is starving. Starving jobs are ordered by arrival alone.
    fn as_starving(self) -> JobRank {
        JobRank {
            is_not_starving: false,
            is_over_guarantee: false,
            priority: Priority::Critical,
            yields_as_late: false,
            deadline_ms: 0,
            remaining_cpu_s_log2: 0,
            ..self
        }
    }
}

/// Resources that the unfinished tasks of a team's jobs take, summed up in order of arrival.
#[derive(Clone, Copy, Debug, Default)]
struct TeamDemand {
    cpus: f64,
    gpus: f64,
}

impl TeamDemand {
    fn add(&mut self, job: &Job) {
        let unfinished_count = f64::from(job.task_count - job.done_count);
        self.cpus += unfinished_count * job.task_resources.cpus;
        self.gpus += unfinished_count * job.task_resources.gpus;
    }
}

impl View<'_> {
    /// The ranks of all jobs with waiting tasks, in queue order.
    pub(crate) fn ranked_jobs(&self) -> Vec<JobRank> {
        let provisioned_cpus = self.provisioned_cpus();
        let starve_after = duration_from_seconds(self.policy.tuning.starvation_threshold_s);
        let mut by_arrival: Vec<&Job> = self
            .cluster
            .jobs()
            .values()
            .filter(|job| job.phase == JobPhase::Active)
            .collect();
        by_arrival.sort_by_key(|job| job.record_version);
        let mut demand_by_team: BTreeMap<&str, TeamDemand> = BTreeMap::new();
        let mut ranks = Vec::new();
        let mut starving_count = 0;
        for job in by_arrival {
            let Some(spec) = &job.spec else { continue };
            let team_demand = demand_by_team.entry(&job.team).or_default();
            team_demand.add(job);
            if job.waiting_count() == 0 {
                continue;
            }
            let waiting_for = self.time_since_submission(job);
            let rank = JobRank {
                is_not_starving: true,
                is_over_guarantee: !self.is_within_guarantee(job, team_demand),
                priority: spec.priority,
                yields_as_late: waiting_for < starve_after * 2
                    && job.will_miss_deadline(
                        self.run_times.expected_s(job),
                        provisioned_cpus,
                        self.clock.wall_clock_ms,
                    ),
                deadline_ms: job
                    .deadline_ms()
                    .map_or(u64::MAX, |deadline_ms| deadline_ms as u64),
                remaining_cpu_s_log2: self.remaining_cpu_s_log2(job, spec),
                arrival_version: job.record_version,
                job: job.id,
            };
            // Only the oldest jobs count as starving: a large number of starving jobs would delay all urgent ones.
            let has_begun = job.allocated_count > 0 || job.done_count > 0;
            let is_starving =
                waiting_for >= starve_after && !has_begun && starving_count < MAX_STARVING_JOBS;
            starving_count += usize::from(is_starving);
            ranks.push(if is_starving {
                rank.as_starving()
            } else {
                rank
            });
        }
        ranks.sort();
        ranks
    }

    /// How long ago the job was submitted.
    fn time_since_submission(&self, job: &Job) -> Duration {
        let age_ms = self.clock.wall_clock_ms.saturating_sub(job.submitted_at_ms);
        duration_from_seconds(age_ms as f64 / 1000.0)
    }

    /// Whether the team's guarantee covers `team_demand`, which includes the job and the team's earlier jobs. GPUs
    /// count only if the job uses some.
    fn is_within_guarantee(&self, job: &Job, team_demand: &TeamDemand) -> bool {
        let guarantee = self.policy.team(&job.team).map(|team| team.guaranteed());
        let (cpus, gpus) = guarantee.unwrap_or_default();
        team_demand.cpus <= cpus && (team_demand.gpus <= gpus || job.task_resources.gpus == 0.0)
    }

    /// See [`JobRank::remaining_cpu_s_log2`].
    fn remaining_cpu_s_log2(&self, job: &Job, spec: &JobSpec) -> u32 {
        if spec.priority != Priority::BestEffort || spec.deadline_s.is_some() {
            return 0;
        }
        let unfinished_count = f64::from(job.task_count - job.done_count);
        let remaining_cpu_s =
            unfinished_count * job.task_resources.cpus.max(0.1) * self.run_times.expected_s(job);
        remaining_cpu_s.max(1.0).log2() as u32
    }

    /// CPUs of all hosts that are up or expected to come up.
    fn provisioned_cpus(&self) -> f64 {
        let hosts = self
            .cluster
            .hosts()
            .values()
            .filter(|h| matches!(h.lifecycle, HostLifecycle::Up | HostLifecycle::Expected));
        let machine_types = hosts.filter_map(|host| {
            host.type_index
                .and_then(|index| self.cluster.machine_types().get(index))
        });
        machine_types.map(|machine_type| machine_type.cpus.0).sum()
    }
}
