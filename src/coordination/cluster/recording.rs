//! Records of what is booked: taking them in at the start, writing them, and what follows once they are
//! written.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lichencrank_store::Txn;

use crate::coordination::cluster::host::{
    Allocation, AllocationPhase, Host, HostLifecycle, StopReason,
};
use crate::coordination::cluster::job::{Job, JobPhase};
use crate::coordination::cluster::record_writer::{CommitResult, CommittedRecords};
use crate::coordination::{Leader, LeaderPhase, LeadershipLost};
use crate::storage::records::RunRecord;
use crate::types::{HostName, JobId, SequenceNumber, TaskId, Time, Version};

impl Leader {
    /// Takes in a run record while the records are read.
    pub fn on_run_record(
        &mut self,
        id: JobId,
        number: u32,
        record: &RunRecord,
        version: Version,
        now: Time,
    ) {
        let job = self
            .cluster
            .jobs
            .entry(id)
            .or_insert_with(|| Job::from_run_record(id, record, now));
        let (need, team) = (job.task_resources, job.team.clone());
        let stop = (job.phase == JobPhase::Cancelled).then_some(StopReason::Cancelled);
        for (index, attempt, name, incarnation) in job.load_run_record(number, record, version) {
            let task = TaskId { job: id, index };
            let host = self
                .cluster
                .hosts
                .entry(name.clone())
                .or_insert_with(|| Host::new(name, now));
            host.incarnation = host.incarnation.max(incarnation);
            host.allocate(
                task,
                Allocation {
                    attempt,
                    incarnation,
                    resources: need,
                    phase: AllocationPhase::Committed,
                    record_change: 0,
                    run_sent: true,
                    run_sent_directly: false,
                    run_sent_in_response_to: SequenceNumber(0),
                    stop_sent_in_response_to: SequenceNumber(0),
                    stop_reason: stop,
                    saving: false,
                    fetching: false,
                    allocated_at: now,
                    started_at: None,
                },
            );
            self.charge(&team, &need);
        }
    }

    /// All records are in: from now on reports complete the picture.
    pub fn on_loaded(&mut self, now: Time) {
        let round = self.policy.report.mul_f64(1.25) + Duration::from_millis(500);
        self.started_at = now;
        self.enter(LeaderPhase::AwaitingHeartbeats {
            until: now.after(round),
        });
        let ids: Vec<JobId> = self.cluster.jobs.keys().copied().collect();
        for id in ids {
            if let Some(job) = self.cluster.jobs.get_mut(&id) {
                job.finish_loading();
            }
            self.check_completion(id, now);
        }
        for host in self.cluster.hosts.values_mut() {
            // Only records speak for them; whether they are cut off or gone will show.
            host.last_heartbeat_at = now;
            host.set_lifecycle(HostLifecycle::Unresponsive);
        }
    }

    /// A record of the job has become too large: they are split. What waits for one of them waits for
    /// the new one that holds it.
    fn split(&mut self, id: JobId) {
        let Some(job) = self.cluster.jobs.get_mut(&id) else {
            return;
        };
        // The last step writes the description too, which production may have left too large.
        job.shorten_description(self.cluster.records.max_value_bytes, &self.cluster.types);
        if !self.cluster.records.split(job) {
            return;
        }
        let (of_job, others) = std::mem::take(&mut self.cluster.uncommitted_allocations)
            .into_iter()
            .partition(|((job, _), _)| *job == id);
        self.cluster.uncommitted_allocations = others;
        let of_job: BTreeMap<(JobId, u32), Vec<(HostName, TaskId)>> = of_job;
        for (host, task) in of_job.into_values().flatten() {
            let number = job.chunk_of(task.index);
            let waiting = self
                .cluster
                .uncommitted_allocations
                .entry((id, number))
                .or_default();
            waiting.push((host, task));
        }
    }

    /// Puts together the next transaction of at most so many changes.
    pub fn next_batch(&mut self, max_changes: usize, spare: bool) -> Option<Txn> {
        if self.phase() == LeaderPhase::LoadingRecords {
            return None;
        }
        for id in self.cluster.records.take_too_large() {
            self.split(id);
        }
        self.cluster
            .records
            .next_batch(&mut self.cluster.jobs, max_changes, spare)
    }

    /// Takes in what became of a batch.
    pub fn on_commit_result(
        &mut self,
        verdict: CommitResult,
        now: Time,
    ) -> Result<(), LeadershipLost> {
        match verdict {
            CommitResult::Committed(written) => self.on_written(&written, now),
            CommitResult::Conflict {
                cancelled,
                outdated_allowance,
            } => {
                self.quota.outdated |= outdated_allowance;
                for id in cancelled {
                    self.on_job_deleted(id, now);
                }
            }
            CommitResult::LeadershipLost => return Err(LeadershipLost(self.term())),
            CommitResult::Retry => {}
        }
        Ok(())
    }

    /// Bookings that are now in the records may run.
    pub(crate) fn on_written(&mut self, written: &CommittedRecords, now: Time) {
        if written.chunks.is_empty() {
            return;
        }
        // Bookings may have waited for room among the records.
        self.cluster.scheduling_requested = true;
        for (id, _) in &written.chunks {
            self.check_completion(*id, now);
        }
        let mut ready: BTreeSet<HostName> = BTreeSet::new();
        for key in &written.chunks {
            let Some(waiting) = self.cluster.uncommitted_allocations.remove(key) else {
                continue;
            };
            let done = self.cluster.jobs.get(&key.0).and_then(|j| j.chunk(key.1));
            let done = done.map_or(0, |c| c.written_change);
            let mut later = Vec::new();
            for (name, task) in waiting {
                let allocation = self.cluster.hosts.get_mut(&name);
                let allocation = allocation.and_then(|h| h.allocations.get_mut(&task));
                let Some(allocation) =
                    allocation.filter(|b| b.phase == AllocationPhase::Persisting)
                else {
                    continue;
                };
                if done >= allocation.record_change {
                    allocation.phase = AllocationPhase::Committed;
                    ready.insert(name);
                } else {
                    later.push((name, task));
                }
            }
            if !later.is_empty() {
                self.cluster.uncommitted_allocations.insert(*key, later);
            }
        }
        for name in ready {
            if let Some(mut host) = self.cluster.hosts.remove(&name) {
                self.command(&mut host, now);
                self.cluster.hosts.insert(name, host);
            }
        }
    }
}
