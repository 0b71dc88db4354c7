//! Expected run times of tasks, estimated from completed tasks of the same job class.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::coordination::cluster::job::Job;
use crate::protocol::users::JobSpec;
use crate::types::Time;

/// Factor by which the weight of earlier runs decreases with each completed run, so that the estimate follows changes
/// from one day to the next.
const DECAY_PER_RUN: f64 = 0.98;
/// The run time that forecasts assume for replicas, whose end nobody knows.
const SERVICE_RUN_S: f64 = 600.0;
/// The number of runs that the user's estimate counts as, so that the first completed runs do not decide alone.
const PRIOR_RUNS: f64 = 4.0;
/// Bounds of the ratio of the expected run time to the user's estimate.
const MIN_ESTIMATE_RATIO: f64 = 0.4;
const MAX_ESTIMATE_RATIO: f64 = 2.5;
/// A task that overruns its expected run time is expected to run on for this share of the time that it has run so far.
const OVERRUN_SHARE: f64 = 0.25;
/// The least remaining run time that is expected of a running task.
const MIN_REMAINING_S: f64 = 1.0;

/// Run times by job class. Users' estimates are often wrong, and on some days all in the same direction.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    by_class: BTreeMap<String, ClassRunTimes>,
}

/// Run times of one job class: decaying sums over its completed runs.
#[derive(Clone, Copy, Debug, Default)]
struct ClassRunTimes {
    actual_s: f64,
    /// The users' estimates for the same runs.
    estimated_s: f64,
}

impl RunTimes {
    /// Takes in the run time of a completed task of the job.
    pub(crate) fn observe(&mut self, spec: &JobSpec, ran_for: Duration) {
        let class = self.by_class.entry(spec.class.clone()).or_default();
        class.actual_s = class.actual_s * DECAY_PER_RUN + ran_for.as_secs_f64();
        class.estimated_s = class.estimated_s * DECAY_PER_RUN + spec.estimated_run_time_s.0;
    }

    /// How long a task of the job is likely to run, in seconds.
    pub(crate) fn expected_s(&self, job: &Job) -> f64 {
        match &job.spec {
            Some(spec) => self.expected_of_spec_s(spec),
            None => job.estimated_run_s(),
        }
    }

    /// How long a task of a job with this description is likely to run, in seconds.
    pub(crate) fn expected_of_spec_s(&self, spec: &JobSpec) -> f64 {
        if spec.is_service() {
            return SERVICE_RUN_S;
        }
        let class = self.by_class.get(&spec.class).copied().unwrap_or_default();
        let estimate_s = spec.estimated_run_time_s.0.max(1.0);
        let prior_s = estimate_s * PRIOR_RUNS;
        let ratio = (class.actual_s + prior_s) / (class.estimated_s + prior_s);
        estimate_s * ratio.clamp(MIN_ESTIMATE_RATIO, MAX_ESTIMATE_RATIO)
    }

    /// How much longer a task that started at `started_at` is likely to run, in seconds. A task that overruns its
    /// expected run time shows that the estimate was wrong.
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
