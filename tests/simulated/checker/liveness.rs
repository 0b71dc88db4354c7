//! Invariants that time alone can violate: what has to happen, and by when.

use std::time::Duration;

use crate::simulated::clock::SimTime;
use crate::simulated::ids::{JobId, TaskId};

use super::cluster_view::{ClusterView, JobRecord, MachineRecord};
use super::execution::{is_overdue_cancellation, most_in_one_zone};
use super::observation::Bounds;

/// How long an accepted job may go without an answer once all faults are over.
const UNANSWERED_LIMIT: Duration = Duration::from_secs(75);
/// How long a task may wait beside a machine with room for it once all faults are over.
const STARVATION_LIMIT: Duration = Duration::from_secs(90);

/// Tasks of cancelled jobs that still run after their deadline. Each is reported once.
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
        .map(|(task, hosts)| (task, format!("{task} still runs on {hosts:?}")))
        .collect();
    let report = |(task, details)| {
        view.forget_hosts(task);
        details
    };
    overdue.into_iter().map(report).collect()
}

/// Accepted jobs about which nobody gets an answer any more.
pub(super) fn unanswered_jobs(
    view: &mut ClusterView,
    now: SimTime,
    faults_end_at: SimTime,
) -> Vec<String> {
    let mut unanswered = Vec::new();
    for (id, job) in view.jobs_mut() {
        let without_answer = now.since(job.last_answer_at.max(faults_end_at));
        let is_asked_for = job.is_accepted && job.last_request_unanswered;
        if is_asked_for && without_answer > UNANSWERED_LIMIT {
            job.last_answer_at = now;
            unanswered.push(format!("{id} has had no answer for {without_answer:?}"));
        }
    }
    unanswered
}

/// Jobs with a task that waits although there has been a machine with room for it all the while.
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
            starving.push(format!("{id} waits beside a machine with room for it"));
        }
    }
    starving
}

/// Whether a task of the job waits and could start on some machine.
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
    let allows_machine = |machine: &MachineRecord| {
        let in_same_zone = zones.iter().filter(|zone| **zone == machine.zone).count();
        machine.free_cpus() >= spec.cpus_per_task
            && (spec.allows_spot || !machine.is_spot)
            && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
            && !(spec.single_zone && in_same_zone < zones.len())
            && !(spec.spread_over_zones && in_same_zone >= most_in_one_zone(spec.task_count))
    };
    view.machines().any(allows_machine)
}

/// Accepted jobs that are neither complete nor cancelled at the end.
pub(super) fn unfinished_jobs(view: &ClusterView) -> Vec<String> {
    let is_unfinished =
        |job: &JobRecord| !job.spec.is_service && job.is_wanted() && !job.is_complete();
    let unfinished = view.jobs().filter(|(_, job)| is_unfinished(job));
    unfinished.map(|(id, _)| id.to_string()).collect()
}
