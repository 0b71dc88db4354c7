//! Builds the state from the records that earlier leaders wrote.

use super::host::{Allocation, Host, HostLifecycle, StopReason};
use super::job::{Job, JobPhase};
use super::ClusterState;
use crate::storage::records::{RunRecord, RunRecordId};
use crate::types::{JobId, TaskId, Time, Version};

impl ClusterState {
    /// Applies a run record and the allocations in it. Those of a finished job are left out: its run records were not
    /// written any more once its outcome was, so they name tasks that are complete and that workers may have forgotten.
    pub(crate) fn load_run_record(
        &mut self,
        id: RunRecordId,
        record: &RunRecord,
        version: Version,
        now: Time,
    ) {
        let job = self
            .jobs
            .entry(id.job)
            .or_insert_with(|| Job::from_run_record(id.job, record, now));
        let (resources, team) = (job.task_resources, job.team.clone());
        let stop_reason = (job.phase == JobPhase::Cancelled).then_some(StopReason::Cancelled);
        let is_finished = job.phase == JobPhase::GarbageCollecting;
        let allocations = job.load_run_record(id.number, record, version);
        for recorded in allocations.into_iter().filter(|_| !is_finished) {
            let host = self
                .hosts
                .entry(recorded.host.clone())
                .or_insert_with(|| Host::new(recorded.host, now));
            host.incarnation = host.incarnation.max(recorded.incarnation);
            let allocation = Allocation::from_record(
                recorded.attempt,
                recorded.incarnation,
                resources,
                stop_reason,
            );
            let task = TaskId {
                job: id.job,
                index: recorded.task_index,
            };
            host.add_allocation(task, allocation);
            self.add_team_usage(&team, &resources);
        }
    }

    /// Completes the loading once all records are read. Hosts count as unresponsive until their heartbeats arrive, as
    /// they are known from the records alone.
    pub(crate) fn finish_loading(&mut self, now: Time) {
        self.is_loaded = true;
        let job_ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in job_ids {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.finish_loading();
            }
            self.check_completion(id, now);
        }
        for host in self.hosts.values_mut() {
            host.last_heartbeat_at = now;
            host.set_lifecycle(HostLifecycle::Unresponsive);
        }
    }
}
