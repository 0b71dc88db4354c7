//! What follows when a allocation is proven ended, or a task has failed.

use crate::coordination::cluster::host::{CordonReason, Host, StopReason};
use crate::coordination::cluster::job::TaskState;
use crate::coordination::Leader;
use crate::types::{TaskId, Time};

impl Leader {
    /// Ends a allocation that is proven to have ended, and returns the change that holds the outcome.
    pub(crate) fn end_booking(
        &mut self,
        host: &mut Host,
        task: TaskId,
        done: bool,
        now: Time,
    ) -> u64 {
        let Some(allocation) = host.free(task, now) else {
            return 0;
        };
        self.cluster.scheduling_requested = true;
        let Some(job) = self.cluster.jobs.get_mut(&task.job) else {
            return 0;
        };
        if job.is_service() && allocation.started_at.is_some() {
            let why = match (allocation.stop_reason, host.cordon) {
                (Some(StopReason::Preempted), _) => "preempted",
                (_, Some(CordonReason::Reclaimed)) => "its machine was taken",
                (Some(_), _) => "moved",
                (None, Some(CordonReason::Lost | CordonReason::Faulty)) => {
                    "its machine was given up"
                }
                (None, _) => "ended or lost",
            };
            job.replica_outages.entry(task.index).or_insert((now, why));
        }
        let state = if done {
            TaskState::Done
        } else {
            TaskState::Waiting {
                last: allocation.attempt,
            }
        };
        let mut change = 0;
        if let Some(number) = job.set_task(task.index, state) {
            change = job.chunk(number).map_or(0, |c| c.change_count);
            self.cluster.records.mark_dirty(task.job, number, false);
        }
        let team = job.team.clone();
        self.discharge(&team, &allocation.resources);
        self.check_completion(task.job, now);
        change
    }

    pub(crate) fn task_failed(&mut self, host: &mut Host, task: TaskId, now: Time) {
        let Some(job) = self.cluster.jobs.get_mut(&task.job) else {
            return;
        };
        let before = job.fails_everywhere();
        job.on_task_failed(&host.name, now);
        host.failed_jobs.insert(task.job, now);
        if job.fails_everywhere() {
            if !before {
                let (times, machines) = (job.failures_in_a_row, job.failed_hosts.len());
                tracing::info!(
                    "{}: fails wherever it is tried ({times} times, {machines} machines)",
                    task.job
                );
            }
            // It fails everywhere: that says nothing about this machine.
            return;
        }
        host.consecutive_failures += 1;
        let proven =
            job.done_count > 0 || job.failed_hosts.len() == 1 && host.consecutive_failures >= 3;
        tracing::info!(
            "{}: {task} failed, {} in a row",
            host.name,
            host.consecutive_failures
        );
        if host.failed_jobs.len() >= 2 || (proven && host.consecutive_failures >= 2) {
            tracing::info!("{}: fails what it is given", host.name);
            host.cordon(CordonReason::Faulty);
        }
    }
}
