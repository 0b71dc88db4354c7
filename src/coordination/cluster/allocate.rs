//! Allocation a task on a machine: recorded first, run later.

use crate::coordination::cluster::host::{Allocation, AllocationPhase};
use crate::coordination::cluster::job::{Job, TaskState};
use crate::coordination::Leader;
use crate::types::{Attempt, HostName, SequenceNumber, TaskId, Time};

impl Leader {
    /// Books a task: recorded first, run later.
    pub(crate) fn book(&mut self, job: &mut Job, task: TaskId, name: &HostName, now: Time) {
        let Some(host) = self.cluster.hosts.get_mut(name) else {
            return;
        };
        let attempt = Attempt(job.last_attempt(task.index).0 + 1);
        let _attempt = tracing::debug_span!("attempt", %task, %attempt).entered();
        let incarnation = host.incarnation;
        let state = TaskState::Allocated {
            host: name.clone(),
            attempt,
            incarnation,
        };
        let Some(number) = job.set_task(task.index, state) else {
            return;
        };
        let change = job.chunk(number).map_or(0, |c| c.change_count);
        tracing::debug!("{task} attempt {attempt} -> {name}");
        host.allocate(
            task,
            Allocation {
                attempt,
                incarnation,
                resources: job.task_resources,
                phase: AllocationPhase::Persisting,
                record_change: change,
                run_sent: false,
                run_sent_directly: false,
                run_sent_in_response_to: SequenceNumber(0),
                stop_sent_in_response_to: SequenceNumber(0),
                stop_reason: None,
                saving: false,
                fetching: false,
                allocated_at: now,
                started_at: None,
            },
        );
        self.charge(&job.team, &job.task_resources);
        self.cluster.records.mark_dirty(job.id, number, true);
        let recording = self
            .cluster
            .uncommitted_allocations
            .entry((job.id, number))
            .or_default();
        recording.push((name.clone(), task));
    }
}
