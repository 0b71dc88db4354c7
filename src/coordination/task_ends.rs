//! What follows when a booking is proven ended, or a task has failed.

use super::hosts::{Cordon, Host, StopWhy};
use super::jobs::TaskState;
use super::Controller;
use crate::types::{TaskId, Time};

impl Controller {
    /// Ends a booking that is proven to have ended, and returns the change that holds the outcome.
    pub(super) fn end_booking(
        &mut self,
        host: &mut Host,
        task: TaskId,
        done: bool,
        now: Time,
    ) -> u64 {
        let Some(booking) = host.unbook(task, now) else {
            return 0;
        };
        self.place_wanted = true;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return 0;
        };
        if job.is_service() && booking.started.is_some() {
            let why = match (booking.stop, host.cordon) {
                (Some(StopWhy::Preempted), _) => "preempted",
                (_, Some(Cordon::Notice)) => "its machine was taken",
                (Some(_), _) => "moved",
                (None, Some(Cordon::Lost | Cordon::Sick)) => "its machine was given up",
                (None, _) => "ended or lost",
            };
            job.gaps.entry(task.index).or_insert((now, why));
        }
        let state = if done {
            TaskState::Done
        } else {
            TaskState::Waiting {
                last: booking.attempt,
            }
        };
        let mut change = 0;
        if let Some(number) = job.set_task(task.index, state) {
            change = job.chunk(number).map_or(0, |c| c.changes);
            self.batcher.changed(task.job, number, false);
        }
        let team = job.team.clone();
        self.discharge(&team, &booking.need);
        self.settle(task.job, now);
        change
    }

    pub(super) fn task_failed(&mut self, host: &mut Host, task: TaskId, now: Time) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let before = job.suspect();
        job.failed(&host.name, now);
        host.failed_jobs.insert(task.job, now);
        if job.suspect() {
            if !before {
                let (times, machines) = (job.failures, job.failed_on.len());
                tracing::info!(
                    "{}: fails wherever it is tried ({times} times, {machines} machines)",
                    task.job
                );
            }
            // It fails everywhere: that says nothing about this machine.
            return;
        }
        host.failures += 1;
        let proven = job.done > 0 || job.failed_on.len() == 1 && host.failures >= 3;
        tracing::info!("{}: {task} failed, {} in a row", host.name, host.failures);
        if host.failed_jobs.len() >= 2 || (proven && host.failures >= 2) {
            tracing::info!("{}: fails what it is given", host.name);
            host.cordon(Cordon::Sick);
        }
    }
}
