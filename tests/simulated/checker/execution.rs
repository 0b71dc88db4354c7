//! Invariants of the tasks that run. Each function checks one invariant when a task starts.

use std::time::Duration;

use crate::simulated::clock::SimTime;
use crate::simulated::ids::TaskId;

use super::cluster_view::{ClusterView, JobRecord};
use super::observation::Bounds;

/// Tolerance for the rounding error in sums of fractional CPUs.
const ROUNDING_TOLERANCE_CPUS: f64 = 1e-6;

/// A task runs on at most one host at a time. Returns a description of the violation.
pub(super) fn duplicate_run(task: TaskId, host: &str, earlier_hosts: &[String]) -> Option<String> {
    let is_wrong = !earlier_hosts.is_empty();
    is_wrong.then(|| format!("{task} starts on {host} while it runs on {earlier_hosts:?}"))
}

/// Whether `deadline` has passed since a user was first told that the job is cancelled, so that none of its
/// tasks may run any more.
pub(super) fn is_overdue_cancellation(job: &JobRecord, now: SimTime, deadline: Duration) -> bool {
    let reported_at = job.reported_cancelled_at;
    reported_at.is_some_and(|reported_at| now > reported_at + deadline)
}

/// A team uses no more CPUs than its limit. Returns a description of the violation.
pub(super) fn team_limit_violation(
    view: &ClusterView,
    bounds: &Bounds,
    team: &str,
) -> Option<String> {
    let cpus = view.team_cpus(team);
    let limit = bounds.team_cpu_limits.get(team)?;
    let is_wrong = cpus > limit + ROUNDING_TOLERANCE_CPUS;
    is_wrong.then(|| format!("team {team} uses {cpus} CPUs, more than its limit of {limit}"))
}

/// A task runs only on hosts and in zones that its job allows. `view` has to include the task as a running
/// one. Returns a description of the violation.
pub(super) fn placement_violation(view: &ClusterView, task: TaskId, host: &str) -> Option<String> {
    let spec = &view.job(task.job)?.spec;
    let record = view.host(host)?;
    let zones = view.zones_of_running_tasks(task.job);
    let in_same_zone = zones.iter().filter(|zone| **zone == record.zone).count();
    let is_wrong_zone = spec.zone.as_ref().is_some_and(|zone| *zone != record.zone);
    let is_unwanted_spot = record.is_spot && !spec.allows_spot;
    let is_in_other_zones = spec.requires_single_zone && in_same_zone < zones.len();
    let is_crowded =
        spec.requires_zone_spread && in_same_zone > max_tasks_per_zone(spec.task_count);
    let is_wrong = is_wrong_zone || is_unwanted_spot || is_in_other_zones || is_crowded;
    is_wrong.then(|| {
        format!(
            "{task} starts on {host} in zone {}, which its job doesn't allow",
            record.zone
        )
    })
}

/// How many tasks of a job that has to be spread over zones may run in one zone.
pub(super) fn max_tasks_per_zone(task_count: u32) -> usize {
    (task_count as usize).div_ceil(2)
}
