//! How long tasks run, learnt from those that completed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::coordination::cluster::job::Job;
use crate::protocol::users::JobSpec;
use crate::types::Time;

/// What earlier runs still count for when the next one completes, so that a new day is noticed.
const DECAY: f64 = 0.98;
/// Nobody knows when a replica ends: forecasts assume so many seconds.
const SERVICE_RUN_S: f64 = 600.0;
/// The owner's estimate counts as so many runs, so that the first completed ones do not decide alone.
const PRIOR_RUNS: f64 = 4.0;
/// The bounds of the factor between the owner's estimate and the expected run time.
const MIN_FACTOR: f64 = 0.4;
const MAX_FACTOR: f64 = 2.5;
/// A task that has run longer than expected is expected to run on for this share of the time it has run.
const OVERRUN_SHARE: f64 = 0.25;
/// A running task is expected to run on for so many seconds at the least.
const MIN_REMAINING_S: f64 = 1.0;

/// Run times by the class of the job. Owners' estimates are often wrong, and on some days all in one direction.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    by_class: BTreeMap<String, ClassRunTimes>,
}

/// Run times of one class of jobs: sums in seconds in which older runs decay.
#[derive(Clone, Copy, Debug, Default)]
struct ClassRunTimes {
    actual_s: f64,
    estimated_s: f64,
}

impl RunTimes {
    /// A task of the job completed after it had run for so long.
    pub(crate) fn observe(&mut self, spec: &JobSpec, ran_for: Duration) {
        let class = self.by_class.entry(spec.class.clone()).or_default();
        class.actual_s = class.actual_s * DECAY + ran_for.as_secs_f64();
        class.estimated_s = class.estimated_s * DECAY + spec.estimate_s.0;
    }

    /// How long a task of the job is likely to run, in seconds.
    pub(crate) fn expected_s(&self, job: &Job) -> f64 {
        match &job.spec {
            Some(spec) => self.expected_of_spec_s(spec),
            None => job.estimated_run_s(),
        }
    }

    /// How long a task of such a job is likely to run, in seconds.
    pub(crate) fn expected_of_spec_s(&self, spec: &JobSpec) -> f64 {
        if spec.is_service() {
            return SERVICE_RUN_S;
        }
        let class = self.by_class.get(&spec.class).copied().unwrap_or_default();
        let estimate_s = spec.estimate_s.0.max(1.0);
        let prior_s = estimate_s * PRIOR_RUNS;
        let factor = (class.actual_s + prior_s) / (class.estimated_s + prior_s);
        estimate_s * factor.clamp(MIN_FACTOR, MAX_FACTOR)
    }

    /// How much longer a task is likely to run that started then, in seconds. One that overruns shows that the estimate
    /// was wrong.
    pub(crate) fn expected_remaining_s(
        &self,
        job: &Job,
        started_at: Option<Time>,
        now: Time,
    ) -> f64 {
        if job.is_service() {
            return f64::MAX;
        }
        let ran_s = started_at.map_or(0.0, |at| now.since(at).as_secs_f64());
        let remaining_s = self.expected_s(job) - ran_s;
        remaining_s.max(ran_s * OVERRUN_SHARE).max(MIN_REMAINING_S)
    }
}
