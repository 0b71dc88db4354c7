//! What the start and the end of an attempt mean for its job and its host: run times, failures and faulty hosts.

use std::time::Duration;

use super::host::{CordonReason, EndedAttempt, Host};
use super::job::{Job, REPLICA_STABLE_AFTER};
use super::Reconciliation;
use crate::protocol::workers::{AttemptStatus, EndReason};
use crate::types::{TaskId, Time};

/// How long no task of a job is placed after a worker refused to start one.
const START_REFUSED_BACKOFF: Duration = Duration::from_secs(1);
/// A host on which tasks of this many jobs failed is faulty.
const FAULTY_AFTER_FAILED_JOBS: usize = 2;
/// A host with this many consecutive failures is faulty if the job succeeds elsewhere.
const FAULTY_AFTER_CONSECUTIVE_FAILURES: u32 = 2;
/// If a job has failed on one host only, this many consecutive failures there are blamed on the host and not on the
/// job.
const BLAME_HOST_AFTER_CONSECUTIVE_FAILURES: u32 = 3;

impl Reconciliation<'_> {
    /// Handles an attempt that the worker reports as ended, and frees its allocation.
    pub(super) fn on_attempt_ended(&mut self, host: &mut Host, status: &AttemptStatus) {
        let AttemptStatus {
            task, end_reason, ..
        } = *status;
        let is_service = self.cluster.job(task.job).is_some_and(Job::is_service);
        let started_at = host.allocations.get(&task).and_then(|a| a.started_at);
        let ran_for = started_at.map_or(Duration::ZERO, |started_at| self.now.since(started_at));
        if is_service {
            self.on_replica_ended(host, status, ran_for);
        }
        match end_reason {
            Some(EndReason::Completed) if is_service => {}
            Some(EndReason::Completed) => self.on_task_succeeded(host, task, started_at),
            Some(EndReason::Stopped) => {}
            // A replica that ran for long before it failed says nothing about its host.
            Some(EndReason::Failed) if is_service && ran_for >= REPLICA_STABLE_AFTER => {}
            Some(EndReason::Failed) => self.on_task_failed(host, task),
            _ => self.on_start_refused(host, status),
        }
        // A service has no end: a replica that ended is started again.
        let is_done = end_reason == Some(EndReason::Completed) && !is_service;
        self.retain_ended_attempt(host, status, is_done);
        self.cluster.request_scheduling();
    }

    fn on_replica_ended(&mut self, host: &Host, status: &AttemptStatus, ran_for: Duration) {
        if !matches!(
            status.end_reason,
            Some(EndReason::Completed | EndReason::Failed)
        ) {
            return;
        }
        if let Some(job) = self.cluster.jobs.get_mut(&status.task.job) {
            job.on_replica_ended(ran_for, self.now);
        }
        tracing::info!(
            "{}: replica {} ended by itself after {ran_for:?}: {:?}",
            host.name,
            status.task,
            status.end_reason
        );
    }

    fn on_task_succeeded(&mut self, host: &mut Host, task: TaskId, started_at: Option<Time>) {
        let spec = self.cluster.job(task.job).and_then(|job| job.spec.as_ref());
        if let (Some(spec), Some(started_at)) = (spec, started_at) {
            self.run_times.observe(spec, self.now.since(started_at));
        }
        host.consecutive_failures = 0;
        host.failed_jobs.clear();
    }

    /// Handles an attempt that the worker refused to start, or that ended for an unknown reason.
    fn on_start_refused(&mut self, host: &Host, status: &AttemptStatus) {
        tracing::info!(
            "{}: worker refused to start {} attempt {}: {:?}",
            host.name,
            status.task,
            status.attempt,
            status.end_reason
        );
        if let Some(job) = self.cluster.jobs.get_mut(&status.task.job) {
            job.retry_not_before = self.now.after(START_REFUSED_BACKOFF);
        }
    }

    /// Handles a failed task. Its job is to blame if it fails on every host, and otherwise its host may be.
    fn on_task_failed(&mut self, host: &mut Host, task: TaskId) {
        let Some(job) = self.cluster.jobs.get_mut(&task.job) else {
            return;
        };
        let failed_everywhere_before = job.fails_everywhere();
        job.on_task_failed(&host.name, self.now);
        host.failed_jobs.insert(task.job, self.now);
        if job.fails_everywhere() {
            if !failed_everywhere_before {
                tracing::info!(
                    "{}: job fails on every host where it is tried ({} failures, {} hosts)",
                    task.job,
                    job.failure_count,
                    job.failed_hosts.len()
                );
            }
            // Such a failure says nothing about this host.
            return;
        }
        host.consecutive_failures += 1;
        let failures = host.consecutive_failures;
        let succeeds_elsewhere = job.done_count > 0
            || job.failed_hosts.len() == 1 && failures >= BLAME_HOST_AFTER_CONSECUTIVE_FAILURES;
        tracing::info!(
            "{}: {task} failed, {failures} consecutive failures on this host",
            host.name
        );
        let is_faulty = host.failed_jobs.len() >= FAULTY_AFTER_FAILED_JOBS
            || succeeds_elsewhere && failures >= FAULTY_AFTER_CONSECUTIVE_FAILURES;
        if is_faulty {
            tracing::info!("{}: host is faulty: tasks fail on it repeatedly", host.name);
            host.cordon(CordonReason::Faulty);
        }
    }

    /// Frees the allocation of an attempt that ended. The worker remembers the attempt until it is told to forget it.
    fn retain_ended_attempt(&mut self, host: &mut Host, status: &AttemptStatus, is_done: bool) {
        let (task, attempt) = (status.task, status.attempt);
        let record_change_count = self.cluster.end_allocation(host, task, is_done, self.now);
        let ended = EndedAttempt {
            record_change_count,
            first_listed_at: self.now,
            end_reason: status.end_reason,
        };
        host.ended_attempts.insert((task, attempt), ended);
    }

    /// Handles the start of a task: its image is on the host, and it runs.
    pub(super) fn on_task_started(&mut self, host: &mut Host, task: TaskId) {
        let Some(job) = self.cluster.jobs.get_mut(&task.job) else {
            return;
        };
        if let Some(outage) = job.replica_outages.remove(&task.index) {
            let outage_duration = self.now.since(outage.since);
            tracing::info!(
                "replica {task} runs again after an outage of {outage_duration:?}: {}",
                outage.cause
            );
        }
        // Cached images are considered in the placement of services only.
        let spec = job.spec.as_ref().filter(|spec| spec.is_service());
        let machine_type = host
            .type_index
            .and_then(|index| self.cluster.machine_types.get(index));
        if let (Some(spec), Some(machine_type)) = (spec, machine_type) {
            host.cache_image(&spec.image, spec.image_gb.0, machine_type.image_cache_gb.0);
        }
    }
}
