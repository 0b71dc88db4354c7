//! Invariants of what machines run. Each function judges one invariant at the start of a task and returns
//! what is wrong.

use std::time::Duration;

use crate::simulated::clock::SimTime;
use crate::simulated::ids::TaskId;

use super::cluster_view::{ClusterView, JobRecord};
use super::observation::Bounds;

/// CPUs are sums of fractions.
const ROUNDING_ERROR_CPUS: f64 = 1e-6;

/// A task runs on one machine at a time.
pub(super) fn runs_twice(task: TaskId, host: &str, earlier_hosts: &[String]) -> Option<String> {
    let is_wrong = !earlier_hosts.is_empty();
    is_wrong.then(|| format!("{task} starts on {host} and runs on {earlier_hosts:?}"))
}

/// No task of a job that has been reported as cancelled for so long runs.
pub(super) fn is_overdue_cancellation(job: &JobRecord, now: SimTime, deadline: Duration) -> bool {
    let reported_at = job.reported_cancelled_at;
    reported_at.is_some_and(|reported_at| now > reported_at + deadline)
}

/// A team stays within its limit.
pub(super) fn exceeds_team_limit(
    view: &ClusterView,
    bounds: &Bounds,
    team: &str,
) -> Option<String> {
    let cpus = view.team_cpus(team);
    let limit = bounds.team_cpu_limits.get(team)?;
    let is_wrong = cpus > limit + ROUNDING_ERROR_CPUS;
    is_wrong.then(|| format!("{team} uses {cpus} CPUs of {limit}"))
}

/// A task runs where its job allows. The task is among those that `view` says are running.
pub(super) fn is_misplaced(view: &ClusterView, task: TaskId, host: &str) -> Option<String> {
    let spec = &view.job(task.job)?.spec;
    let machine = view.machine(host)?;
    let zones = view.zones_of_running_tasks(task.job);
    let in_same_zone = zones.iter().filter(|zone| **zone == machine.zone).count();
    let is_wrong_zone = spec.zone.as_ref().is_some_and(|zone| *zone != machine.zone);
    let is_spot = machine.is_spot && !spec.allows_spot;
    let is_elsewhere_too = spec.single_zone && in_same_zone < zones.len();
    let is_crowded = spec.spread_over_zones && in_same_zone > most_in_one_zone(spec.task_count);
    let is_wrong = is_wrong_zone || is_spot || is_elsewhere_too || is_crowded;
    is_wrong.then(|| format!("{task} starts on {host} in {}", machine.zone))
}

/// How many tasks of a job that is to be spread may run in one zone.
pub(super) fn most_in_one_zone(task_count: u32) -> usize {
    (task_count as usize).div_ceil(2)
}
