//! Building the state from the records that earlier leaders left.

use super::host::{Allocation, Host, HostLifecycle, StopReason};
use super::job::{Job, JobPhase};
use super::ClusterState;
use crate::storage::records::{RunRecord, RunRecordId};
use crate::types::{JobId, TaskId, Time, Version};

impl ClusterState {
    /// Takes in a run record, with the allocations that it holds.
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
        for recorded in job.load_run_record(id.number, record, version) {
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
            host.allocate(task, allocation);
            self.charge(&team, &resources);
        }
    }

    /// All records are read. Hosts count as unresponsive until their heartbeats come, as only the records speak for
    /// them.
    pub(crate) fn finish_loading(&mut self, now: Time) {
        self.is_loaded = true;
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in ids {
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
