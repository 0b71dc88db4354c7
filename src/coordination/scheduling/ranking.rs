//! The order in which waiting jobs are served, and how much of a team's limit is left.

use std::collections::BTreeMap;

use crate::coordination::cluster::host::HostLifecycle;
use crate::coordination::cluster::job::{Job, JobPhase};
use crate::coordination::Leader;
use crate::protocol::users::{JobSpec, Priority};
use crate::types::{seconds, JobId, Version};

/// Jobs that waited too long and go before all others at one time.
const MAX_LIFTED: usize = 8;

/// Jobs in the order in which they are served: those that have waited too long for a first start
/// go first, whatever they are, so that nothing starves; then those within their team's guarantee don't wait for
/// work that others run on borrowed machines; then priority; then those that can still be in time,
/// or have been late for long; then the earlier deadline; then arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Nothing of it has begun for longer than any job should wait; `true` sorts last.
    pub patient: bool,
    /// Its team has used up its guarantee.
    pub borrowing: bool,
    /// Its priority.
    pub priority: Priority,
    /// It can't meet its deadline any more, so it lets those go first that can, for a while.
    pub late: bool,
    /// When it is due, in milliseconds of the day; those without a deadline come last.
    pub due: u64,
    /// For work of the lowest priority that is due at no time: about how much is left to do, in
    /// powers of two, so that what is done soon does not wait for what takes for ever.
    pub work: u32,
    /// Orders jobs by their arrival.
    pub arrival: Version,
    /// The job.
    pub id: JobId,
}

impl Rank {
    /// Among those that have waited too long only their arrival counts.
    fn starving(self) -> Rank {
        Rank {
            patient: false,
            borrowing: false,
            priority: Priority::Critical,
            late: false,
            due: 0,
            work: 0,
            ..self
        }
    }
}

impl Leader {
    /// All jobs with waiting tasks, in the order in which they are served.
    pub(crate) fn ranked(&self) -> Vec<Rank> {
        let cpus = self.cpus_to_be();
        let starve_after = seconds(self.policy.tuning.starve_after_s);
        let mut by_arrival: Vec<&Job> = self
            .cluster
            .jobs
            .values()
            .filter(|j| j.phase == JobPhase::Active)
            .collect();
        by_arrival.sort_by_key(|j| j.record_version);
        let mut claimed: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        let mut ranks = Vec::new();
        let mut lifted = 0;
        for job in by_arrival {
            let Some(spec) = &job.spec else { continue };
            let guaranteed = self
                .policy
                .team(&job.team)
                .map_or((0.0, 0.0), |t| t.guaranteed());
            let claimed = claimed.entry(&job.team).or_default();
            let open = f64::from(job.task_count - job.done_count);
            claimed.0 += open * job.task_resources.cpus;
            claimed.1 += open * job.task_resources.gpus;
            let within = claimed.0 <= guaranteed.0
                && (claimed.1 <= guaranteed.1 || job.task_resources.gpus == 0.0);
            if job.waiting_count() > 0 {
                let waited = seconds(
                    (self.clock.day_ms.saturating_sub(job.submitted_at_ms)) as f64 / 1000.0,
                );
                let aged = waited >= starve_after;
                let begun = job.allocated_count > 0 || job.done_count > 0;
                let rank = Rank {
                    patient: true,
                    borrowing: !within,
                    priority: spec.priority,
                    late: waited < starve_after * 2
                        && job.will_miss_deadline(self.expected_run(job), cpus, self.clock.day_ms),
                    due: job.due_ms().map_or(u64::MAX, |due| due as u64),
                    work: self.work_class(job, spec),
                    arrival: job.record_version,
                    id: job.id,
                };
                // A few at a time, the oldest first: in bulk they would pass all urgent work.
                let starving = aged && !begun && lifted < MAX_LIFTED;
                lifted += usize::from(starving);
                ranks.push(if starving { rank.starving() } else { rank });
            }
        }
        ranks.sort();
        ranks
    }

    fn work_class(&self, job: &Job, spec: &JobSpec) -> u32 {
        if spec.priority != Priority::BestEffort || spec.deadline_s.is_some() {
            return 0;
        }
        let open = f64::from(job.task_count - job.done_count);
        let work = open * job.task_resources.cpus.max(0.1) * self.expected_run(job);
        work.max(1.0).log2() as u32
    }

    /// CPUs of all machines that are here or coming.
    fn cpus_to_be(&self) -> f64 {
        let here = self
            .cluster
            .hosts
            .values()
            .filter(|h| matches!(h.lifecycle, HostLifecycle::Up | HostLifecycle::Expected));
        let kinds = here.filter_map(|h| h.type_index.and_then(|k| self.cluster.types.get(k)));
        kinds.map(|t| t.cpus.0).sum()
    }
}
