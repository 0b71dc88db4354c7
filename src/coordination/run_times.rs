//! How long tasks run, as far as it can be told from those that ended.

use std::collections::BTreeMap;

use crate::coordination::cluster::job::Job;
use crate::coordination::Leader;
use crate::protocol::users::JobSpec;
use crate::types::{TaskId, Time};

const LEARN_KEEP: f64 = 0.98;

/// Nobody knows when a replica ends: forecasts take it for long.
const SERVICE_RUN_S: f64 = 600.0;

/// Run times of one class of jobs, as sums in seconds in which older runs fade.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassRunTimes {
    /// How long its tasks ran.
    actual_s: f64,
    /// How long their owners had estimated.
    estimated_s: f64,
}

/// Run times by the class of the job.
pub(crate) type RunTimes = BTreeMap<String, ClassRunTimes>;

impl Leader {
    /// Owners' guesses are often wrong, and some days all in the same direction.
    pub(crate) fn learn(&mut self, task: TaskId, ran: Option<f64>) {
        let spec = self
            .cluster
            .jobs
            .get(&task.job)
            .and_then(|j| j.spec.as_ref());
        let (Some(spec), Some(ran)) = (spec, ran) else {
            return;
        };
        let class = self.run_times.entry(spec.class.clone()).or_default();
        // Older runs fade, so that a new day is noticed.
        class.actual_s = class.actual_s * LEARN_KEEP + ran;
        class.estimated_s = class.estimated_s * LEARN_KEEP + spec.estimate_s.0;
    }

    /// How long a task of the job is likely to run.
    pub(crate) fn expected_run(&self, job: &Job) -> f64 {
        if job.is_service() {
            return SERVICE_RUN_S;
        }
        let expected = match &job.spec {
            Some(spec) => self.expected_run_of(spec),
            None => job.estimated_run_s(),
        };
        // The job's own finished tasks tell more than any guess.
        let (own, count) = job.completed_runs;
        (expected + own) / (1.0 + count)
    }

    /// How long a task of such a job is likely to run, by its owner's guess and the class's runs.
    pub(crate) fn expected_run_of(&self, spec: &JobSpec) -> f64 {
        if spec.is_service() {
            return SERVICE_RUN_S;
        }
        let class = self.run_times.get(&spec.class).copied().unwrap_or_default();
        let estimate = spec.estimate_s.0.max(1.0);
        // A few guesses taken at their word keep the first runs from deciding alone.
        let prior = estimate * 4.0;
        estimate * ((class.actual_s + prior) / (class.estimated_s + prior)).clamp(0.4, 2.5)
    }

    /// How much longer a running task will take. One past its time shows that the guess was bad.
    pub(crate) fn expected_rest(&self, job: &Job, started: Option<Time>, now: Time) -> f64 {
        if job.is_service() {
            return f64::MAX;
        }
        let run = self.expected_run(job);
        let ran = started.map_or(0.0, |s| now.since(s).as_secs_f64());
        (run - ran).max(ran * 0.25).max(1.0)
    }
}
