//! Judges every event by the rules of the protocol, from what users were told and what workers really ran,
//! never from the service's own view. Each invariant is a function of one of the modules below.

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
use cluster_view::{ClusterView, MachineRecord};
pub use observation::{AnsweredRequest, Bounds, JobAnswer, JobSpec, Observation, RequestKind};
use zone_release::{HeldWork, ZoneReleases};

/// What must hold at all times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A task runs on one machine at a time.
    TaskRunsOnce,
    /// A team uses no more than its limit.
    TeamLimit,
    /// The accounts of the teams' limits add up.
    QuotaAccounts,
    /// A task runs where its job allows.
    Placement,
    /// Tasks of a cancelled job end by their deadline, and none starts after it.
    CancelledWorkEnds,
    /// A job that was accepted stays known, and requests about it are answered.
    AcceptedJobsStayKnown,
    /// Nothing is answered or run for jobs that nobody submitted.
    OnlySubmittedJobs,
    /// A job is reported as done when all its tasks are complete.
    DoneOnlyWhenComplete,
    /// A final answer stays, and is `cancelled` for cancelled jobs only.
    AnswersNeverRegress,
    /// Requests that lack a field or can't run anywhere are not accepted.
    InvalidJobsAreRejected,
    /// No task waits for long while a machine has room for it.
    NoStarvation,
    /// Machines of an isolated zone are given up within a budget, those with urgent work first.
    ZoneRelease,
    /// A scenario runs some work.
    SomeWorkRuns,
    /// All accepted jobs are complete or cancelled at the end.
    JobsFinish,
    /// The key-value store holds no records of work that is over.
    RecordsAreCollected,
}

/// An invariant that did not hold.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// When it was noticed.
    pub at: SimTime,
    /// What was seen.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Violation {
            invariant,
            at,
            details,
        } = self;
        write!(formatter, "{invariant:?} violated at {at}: {details}")
    }
}

/// A task that a worker holds.
#[derive(Clone, Copy, Debug)]
pub struct HeldTask {
    /// The task.
    pub task: TaskId,
    /// It has ended, and the worker waits for the leader to acknowledge that.
    pub has_ended: bool,
}

/// Collects observations and the violations that they show.
pub struct Checker {
    bounds: Bounds,
    view: ClusterView,
    zone_releases: ZoneReleases,
    /// When all faults of the scenario are over.
    faults_end_at: SimTime,
    violations: Vec<Violation>,
}

impl Checker {
    /// A checker of a scenario whose faults are over at `faults_end_at`.
    pub fn new(bounds: Bounds, faults_end_at: SimTime) -> Checker {
        Checker {
            bounds,
            view: ClusterView::default(),
            zone_releases: ZoneReleases::default(),
            faults_end_at,
            violations: Vec::new(),
        }
    }

    /// All violations so far, in the order in which they were noticed.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Notes a violation that somebody else has noticed.
    pub fn report(&mut self, now: SimTime, invariant: Invariant, details: String) {
        self.violations.push(Violation {
            invariant,
            at: now,
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

    /// Takes in something that happened, and judges it.
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
                let machine = MachineRecord::new(zone, is_spot, cpus);
                self.view.add_machine(host, machine);
            }
            Observation::HostGone(host) => self.view.remove_machine(&host),
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
                let details = format!("{} is {:?}", request.job, request.answer);
                self.report(now, Invariant::OnlySubmittedJobs, details);
            }
            return;
        };
        let wrong: Vec<(Invariant, String)> = answers::ANSWER_CHECKS
            .iter()
            .filter_map(|(invariant, check)| Some((*invariant, check(job, request)?)))
            .collect();
        job.record_answer(now, request);
        for (invariant, details) in wrong {
            self.report(now, invariant, details);
        }
    }

    fn observe_start(&mut self, now: SimTime, host: &str, task: TaskId) {
        let earlier_hosts = self.view.start_task(host, task);
        let runs_twice = execution::runs_twice(task, host, &earlier_hosts);
        self.report_all(now, Invariant::TaskRunsOnce, runs_twice);
        let Some(job) = self.view.job_mut(task.job) else {
            let details = format!("{task} starts on {host}");
            return self.report(now, Invariant::OnlySubmittedJobs, details);
        };
        if job.spec.replicas_keep_ending {
            // The pauses between its attempts are bounded: it starts over and over.
            job.startable_since = None;
        }
        let team = job.spec.team.clone();
        let deadline = self.bounds.cancellation_deadline;
        if execution::is_overdue_cancellation(job, now, deadline) {
            let details = format!("{task} starts on {host}");
            self.report(now, Invariant::CancelledWorkEnds, details);
        }
        self.check_team_limit(now, &team);
        let is_misplaced = execution::is_misplaced(&self.view, task, host);
        self.report_all(now, Invariant::Placement, is_misplaced);
    }

    fn check_team_limit(&mut self, now: SimTime, team: &str) {
        let exceeds = execution::exceeds_team_limit(&self.view, &self.bounds, team);
        self.report_all(now, Invariant::TeamLimit, exceeds);
    }

    /// An embedding program's work takes so much of a team's limit from now on.
    pub fn observe_embedded_work(&mut self, now: SimTime, team: &str, cpus: f64) {
        self.view.set_embedded_cpus(team, cpus);
        self.check_team_limit(now, team);
    }

    /// A zone of so many machines is isolated from now on.
    pub fn observe_isolation(&mut self, machine_count: usize) {
        self.zone_releases.isolation_starts(machine_count);
    }

    /// The leader gives up machines of an isolated zone. `machines`: what each machine of the zone holds.
    pub fn observe_zone_release(
        &mut self,
        now: SimTime,
        released: &[String],
        machines: &BTreeMap<String, Vec<HeldTask>>,
    ) {
        let mut staying: BTreeMap<String, HeldWork> = machines
            .iter()
            .map(|(host, tasks)| (host.clone(), self.held_work(tasks)))
            .collect();
        let released_together: BTreeSet<String> = released.iter().cloned().collect();
        for host in released {
            let Some(held) = staying.remove(host) else {
                continue;
            };
            let verdict = self
                .zone_releases
                .judge(now, host, held, &staying, &released_together);
            if let Err(wrong) = verdict {
                self.report(now, Invariant::ZoneRelease, wrong.to_string());
            }
        }
    }

    fn held_work(&self, tasks: &[HeldTask]) -> HeldWork {
        let mut held = HeldWork::default();
        for HeldTask { task, has_ended } in tasks {
            if self.is_cancellation_requested(task.job) {
                held.cancelled += 1;
            } else if !self.is_urgent(task.job) {
                held.other += 1;
            } else if *has_ended {
                held.urgent_ended += 1;
            } else {
                held.urgent += 1;
            }
        }
        held
    }

    /// Whether some of the tasks are wanted and none is cancelled, as far as is known of tasks that have
    /// not ended or are not urgent.
    pub fn is_wanted_work(&self, tasks: &[HeldTask]) -> bool {
        let held = self.held_work(tasks);
        held.cancelled == 0 && held.urgent + held.other > 0
    }

    /// Judges by the invariants that time alone can violate.
    pub fn check_liveness(&mut self, now: SimTime) {
        let (view, bounds) = (&mut self.view, &self.bounds);
        let overdue = liveness::overdue_cancellations(view, now, bounds);
        let unanswered = liveness::unanswered_jobs(view, now, self.faults_end_at);
        let starving = liveness::starving_jobs(view, now, bounds, self.faults_end_at);
        self.report_all(now, Invariant::CancelledWorkEnds, overdue);
        self.report_all(now, Invariant::AcceptedJobsStayKnown, unanswered);
        self.report_all(now, Invariant::NoStarvation, starving);
    }

    /// Judges the end of a scenario.
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

    /// Whether every team that has a limit uses all of it, and there is such a team.
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

    /// How many tasks of the job run on some machine now.
    pub fn running_task_count(&self, job: JobId) -> usize {
        self.view.running_tasks_of(job).count()
    }
}
