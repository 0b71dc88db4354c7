//! Liveness: invariants that are violated when something doesn't happen in time.

use std::time::Duration;

use crate::simulated::clock::SimTime;
use crate::simulated::ids::{JobId, TaskId};

use super::cluster_view::{ClusterView, HostRecord, JobRecord};
use super::execution::{is_overdue_cancellation, max_tasks_per_zone};
use super::observation::Bounds;

/// How long requests about an accepted job may go unanswered after the last fault has ended.
const UNANSWERED_LIMIT: Duration = Duration::from_secs(75);
/// How long a task may wait while a host has capacity for it, after the last fault has ended.
const STARVATION_LIMIT: Duration = Duration::from_secs(90);

/// Describes tasks of cancelled jobs that still run after their deadline. Each is reported once.
pub(super) fn overdue_cancellations(
    view: &mut ClusterView,
    now: SimTime,
    bounds: &Bounds,
) -> Vec<String> {
    let is_overdue = |task: TaskId| {
        view.job(task.job)
            .is_some_and(|job| is_overdue_cancellation(job, now, bounds.cancellation_deadline))
    };
    let overdue: Vec<(TaskId, String)> = view
        .running_tasks()
        .filter(|(task, _)| is_overdue(*task))
        .map(|(task, hosts)| {
            (
                task,
                format!(
                    "{task} still runs on {hosts:?} after the deadline of its job's cancellation"
                ),
            )
        })
        .collect();
    let report = |(task, details)| {
        view.forget_hosts(task);
        details
    };
    overdue.into_iter().map(report).collect()
}

/// Describes accepted jobs about which users get no answers any more.
pub(super) fn unanswered_jobs(
    view: &mut ClusterView,
    now: SimTime,
    faults_end_at: SimTime,
) -> Vec<String> {
    let mut unanswered = Vec::new();
    for (id, job) in view.jobs_mut() {
        let without_answer = now.since(job.last_answer_at.max(faults_end_at));
        let is_awaiting_answer = job.is_accepted && job.last_request_unanswered;
        if is_awaiting_answer && without_answer > UNANSWERED_LIMIT {
            job.last_answer_at = now;
            unanswered.push(format!("{id} has had no answer for {without_answer:?}"));
        }
    }
    unanswered
}

/// Describes jobs with a task that has been waiting for too long although some host had capacity for it all
/// that time.
pub(super) fn starving_jobs(
    view: &mut ClusterView,
    now: SimTime,
    bounds: &Bounds,
    faults_end_at: SimTime,
) -> Vec<String> {
    let faults_are_over = now > faults_end_at;
    let startable: Vec<bool> = view
        .jobs()
        .map(|(id, job)| faults_are_over && is_startable(view, bounds, id, job))
        .collect();
    let mut starving = Vec::new();
    for ((id, job), is_startable) in view.jobs_mut().zip(startable) {
        if !is_startable {
            job.startable_since = None;
            continue;
        }
        let since = *job.startable_since.get_or_insert(now);
        if now.since(since) > STARVATION_LIMIT {
            job.startable_since = None;
            starving.push(format!(
                "{id} has a waiting task for which a host has capacity"
            ));
        }
    }
    starving
}

/// Whether a task of the job waits and could start on some host.
fn is_startable(view: &ClusterView, bounds: &Bounds, id: JobId, job: &JobRecord) -> bool {
    if !job.is_wanted() {
        return false;
    }
    let spec = &job.spec;
    let zones = view.zones_of_running_tasks(id);
    let is_waiting = job.completed_tasks.len() + zones.len() < spec.task_count as usize;
    let limit = bounds.team_cpu_limits.get(&spec.team);
    let is_within_limit =
        limit.is_none_or(|limit| view.team_cpus(&spec.team) + spec.cpus_per_task <= *limit);
    if !is_waiting || !is_within_limit {
        return false;
    }
    let can_run_on = |host: &HostRecord| {
        let in_same_zone = zones.iter().filter(|zone| **zone == host.zone).count();
        host.free_cpus() >= spec.cpus_per_task
            && (spec.allows_spot || !host.is_spot)
            && spec.zone.as_ref().is_none_or(|zone| *zone == host.zone)
            && !(spec.requires_single_zone && in_same_zone < zones.len())
            && !(spec.requires_zone_spread && in_same_zone >= max_tasks_per_zone(spec.task_count))
    };
    view.hosts().any(can_run_on)
}

/// The names of accepted jobs that are neither complete nor cancelled. Services are left out.
pub(super) fn unfinished_jobs(view: &ClusterView) -> Vec<String> {
    let is_unfinished =
        |job: &JobRecord| !job.spec.is_service && job.is_wanted() && !job.is_complete();
    let unfinished = view.jobs().filter(|(_, job)| is_unfinished(job));
    unfinished.map(|(id, _)| id.to_string()).collect()
}
