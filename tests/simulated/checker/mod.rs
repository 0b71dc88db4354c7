//! Checks every event of a simulation against the invariants of the protocol. The checker relies on what users
//! were told and on what workers really ran, never on the service's own view. Each invariant is a function of
//! one of the modules below.

mod answers;
mod cluster_view;
mod execution;
mod liveness;
mod observation;
mod zone_release;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use super::clock::SimTime;
use super::ids::{JobId, TaskId};
use cluster_view::{ClusterView, HostRecord};
pub use observation::{AnsweredRequest, Bounds, JobAnswer, JobSpec, Observation, RequestKind};
use zone_release::{HeldTaskCounts, ZoneReleases};

/// A property that must hold in every run. Violations are printed with the variant's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A task runs on at most one host at a time.
    TaskRunsOnce,
    /// An attempt that its worker was told to forget is not started again.
    AttemptRunsOnce,
    /// A team uses no more than its limit.
    TeamLimit,
    /// The quota records of the teams agree with each other and with the allocations.
    QuotaAccounts,
    /// A task runs only on hosts and in zones that its job allows.
    Placement,
    /// Tasks of a cancelled job end by their deadline, and none starts after it.
    CancelledWorkEnds,
    /// A job that was accepted is never answered with 404, and requests about it are answered in time.
    AcceptedJobsStayKnown,
    /// No job is reported as accepted, and no task runs, unless a user submitted the job.
    OnlySubmittedJobs,
    /// A job is reported as done only after all its tasks are complete.
    DoneOnlyWhenComplete,
    /// A final status doesn't change, and a job is reported as cancelled only if a user requested that.
    AnswersNeverRegress,
    /// Jobs that lack a field or fit no host are not accepted.
    InvalidJobsAreRejected,
    /// No task waits for long while a host has capacity for it.
    NoStarvation,
    /// The name of a provisioning request is never used for another request.
    RequestNamesAreUnique,
    /// Hosts of an isolated zone are released within a budget, those with urgent tasks first.
    ZoneRelease,
    /// At least one task starts in a scenario.
    SomeWorkRuns,
    /// All accepted jobs are complete or cancelled at the end of the scenario.
    JobsFinish,
    /// The records of an open job are deleted from the key-value store once the job is over: none are left at the
    /// end of the scenario.
    RecordsAreCollected,
}

/// A case in which an invariant did not hold.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// When the checker detected the violation.
    pub detected_at: SimTime,
    /// What violated it, for people to read.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Violation {
            invariant,
            detected_at,
            details,
        } = self;
        write!(
            formatter,
            "{invariant:?} violated at {detected_at}: {details}"
        )
    }
}

/// A task that a worker holds.
#[derive(Clone, Copy, Debug)]
pub struct HeldTask {
    /// The task.
    pub task: TaskId,
    /// Whether the task has ended. The worker holds it until the leader acknowledges the end.
    pub has_ended: bool,
}

/// Records observations, and the violations that they reveal.
pub struct Checker {
    bounds: Bounds,
    view: ClusterView,
    zone_releases: ZoneReleases,
    /// When the last fault of the scenario ends.
    faults_end_at: SimTime,
    violations: Vec<Violation>,
}

impl Checker {
    /// A checker for a scenario whose last fault ends at `faults_end_at`.
    pub fn new(bounds: Bounds, faults_end_at: SimTime) -> Checker {
        Checker {
            bounds,
            view: ClusterView::default(),
            zone_releases: ZoneReleases::default(),
            faults_end_at,
            violations: Vec::new(),
        }
    }

    /// All violations so far, in the order in which they were detected.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Records a violation. Also called by parts that check an invariant themselves.
    pub fn report(&mut self, now: SimTime, invariant: Invariant, details: String) {
        self.violations.push(Violation {
            invariant,
            detected_at: now,
            details,
        });
    }

    fn report_all(
        &mut self,
        now: SimTime,
        invariant: Invariant,
        details: impl IntoIterator<Item = String>,
    ) {
        for details in details {
            self.report(now, invariant, details);
        }
    }

    /// Records an event, and checks the invariants that it can violate.
    pub fn observe(&mut self, now: SimTime, observation: Observation) {
        match observation {
            Observation::JobPlanned { job, spec } => self.view.add_job(job, spec, now),
            Observation::CancellationRequested(job) => {
                if let Some(record) = self.view.job_mut(job) {
                    record.cancellation_requested = true;
                }
            }
            Observation::RequestAnswered(request) => self.observe_answer(now, &request),
            Observation::HostUp {
                host,
                zone,
                is_spot,
                cpus,
            } => {
                let record = HostRecord::new(zone, is_spot, cpus);
                self.view.add_host(host, record);
            }
            Observation::HostGone(host) => self.view.remove_host(&host),
            Observation::TaskAccepted { host, task } => self.view.accept_task(&host, task),
            Observation::TaskStarted { host, task } => self.observe_start(now, &host, task),
            Observation::TaskEnded {
                host,
                task,
                is_complete,
            } => self.view.end_task(&host, task, is_complete),
        }
    }

    fn observe_answer(&mut self, now: SimTime, request: &AnsweredRequest) {
        let Some(job) = self.view.job_mut(request.job) else {
            if request.answer.is_acceptance() {
                let details = format!(
                    "{} is reported as {:?}, but no user submitted it",
                    request.job, request.answer
                );
                self.report(now, Invariant::OnlySubmittedJobs, details);
            }
            return;
        };
        let violations: Vec<(Invariant, String)> = answers::ANSWER_CHECKS
            .iter()
            .filter_map(|(invariant, check)| Some((*invariant, check(job, request)?)))
            .collect();
        job.record_answer(now, request);
        for (invariant, details) in violations {
            self.report(now, invariant, details);
        }
    }

    fn observe_start(&mut self, now: SimTime, host: &str, task: TaskId) {
        let earlier_hosts = self.view.start_task(host, task);
        let duplicate = execution::duplicate_run(task, host, &earlier_hosts);
        self.report_all(now, Invariant::TaskRunsOnce, duplicate);
        let Some(job) = self.view.job_mut(task.job) else {
            let details = format!("{task} starts on {host}, but no user submitted its job");
            return self.report(now, Invariant::OnlySubmittedJobs, details);
        };
        if job.spec.replicas_keep_ending {
            // Some replica of such a job always waits for its next attempt. The pauses between attempts are
            // bounded, so each start shows that the job doesn't starve.
            job.startable_since = None;
        }
        let team = job.spec.team.clone();
        let deadline = self.bounds.cancellation_deadline;
        if execution::is_overdue_cancellation(job, now, deadline) {
            let details =
                format!("{task} starts on {host} after the deadline of its job's cancellation");
            self.report(now, Invariant::CancelledWorkEnds, details);
        }
        self.check_team_limit(now, &team);
        let violation = execution::placement_violation(&self.view, task, host);
        self.report_all(now, Invariant::Placement, violation);
    }

    fn check_team_limit(&mut self, now: SimTime, team: &str) {
        let violation = execution::team_limit_violation(&self.view, &self.bounds, team);
        self.report_all(now, Invariant::TeamLimit, violation);
    }

    /// Records how many CPUs of a team's limit the program that embeds the quota library uses now, and checks
    /// the limit.
    pub fn observe_embedded_work(&mut self, now: SimTime, team: &str, cpus: f64) {
        self.view.set_embedded_cpus(team, cpus);
        self.check_team_limit(now, team);
    }

    /// Records that a zone with `host_count` hosts is isolated from now on.
    pub fn observe_isolation(&mut self, host_count: usize) {
        self.zone_releases.start_isolation(host_count);
    }

    /// Checks a request of the leader to release hosts of an isolated zone. `zone_hosts`: the tasks that each
    /// host of the zone holds, by the host's name.
    pub fn observe_zone_release(
        &mut self,
        now: SimTime,
        released: &[String],
        zone_hosts: &BTreeMap<String, Vec<HeldTask>>,
    ) {
        let mut remaining: BTreeMap<String, HeldTaskCounts> = zone_hosts
            .iter()
            .map(|(host, tasks)| (host.clone(), self.held_task_counts(tasks)))
            .collect();
        let released_together: BTreeSet<String> = released.iter().cloned().collect();
        for host in released {
            let Some(held) = remaining.remove(host) else {
                continue;
            };
            let verdict = self.zone_releases.record_and_check(
                now,
                host,
                held,
                &remaining,
                &released_together,
            );
            if let Err(violation) = verdict {
                self.report(now, Invariant::ZoneRelease, violation.to_string());
            }
        }
    }

    fn held_task_counts(&self, tasks: &[HeldTask]) -> HeldTaskCounts {
        let mut held = HeldTaskCounts::default();
        for HeldTask { task, has_ended } in tasks {
            if self.is_cancellation_requested(task.job) {
                held.cancelled += 1;
            } else if !self.is_urgent(task.job) {
                held.other += 1;
            } else if *has_ended {
                held.ended_urgent += 1;
            } else {
                held.running_urgent += 1;
            }
        }
        held
    }

    /// Whether a host that holds these tasks should be kept for them: none belongs to a job that a user has
    /// requested to cancel, and at least one is not an urgent task that has ended.
    pub fn is_wanted_work(&self, tasks: &[HeldTask]) -> bool {
        let held = self.held_task_counts(tasks);
        held.cancelled == 0 && held.running_urgent + held.other > 0
    }

    /// Checks the invariants that are violated when something doesn't happen in time.
    pub fn check_liveness(&mut self, now: SimTime) {
        let (view, bounds) = (&mut self.view, &self.bounds);
        let overdue = liveness::overdue_cancellations(view, now, bounds);
        let unanswered = liveness::unanswered_jobs(view, now, self.faults_end_at);
        let starving = liveness::starving_jobs(view, now, bounds, self.faults_end_at);
        self.report_all(now, Invariant::CancelledWorkEnds, overdue);
        self.report_all(now, Invariant::AcceptedJobsStayKnown, unanswered);
        self.report_all(now, Invariant::NoStarvation, starving);
    }

    /// Checks the invariants that must hold at the end of a scenario.
    pub fn check_end(&mut self, now: SimTime) {
        if self.view.started_task_count() == 0 {
            let details = "no task was started".to_owned();
            self.report(now, Invariant::SomeWorkRuns, details);
        }
        let unfinished = liveness::unfinished_jobs(&self.view);
        if !unfinished.is_empty() {
            self.report(now, Invariant::JobsFinish, unfinished.join(", "));
        }
    }

    /// Whether there are teams with a limit and each of them uses all of it.
    pub fn are_limits_exhausted(&self) -> bool {
        let limits = &self.bounds.team_cpu_limits;
        let is_exhausted = |(team, limit): (&String, &f64)| self.view.team_cpus(team) >= *limit;
        !limits.is_empty() && limits.iter().all(is_exhausted)
    }

    /// Whether a user has requested to cancel the job.
    pub fn is_cancellation_requested(&self, job: JobId) -> bool {
        let job = self.view.job(job);
        job.is_some_and(|job| job.cancellation_requested)
    }

    /// Whether the job is of high or critical priority.
    pub fn is_urgent(&self, job: JobId) -> bool {
        self.view.job(job).is_some_and(|job| job.spec.is_urgent)
    }

    /// Whether the job's tasks run until it is cancelled.
    pub fn is_service(&self, job: JobId) -> bool {
        self.view.job(job).is_some_and(|job| job.spec.is_service)
    }

    /// How many tasks of the job run now.
    pub fn running_task_count(&self, job: JobId) -> usize {
        self.view.running_tasks_of(job).count()
    }
}
