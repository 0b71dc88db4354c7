//! Writing the records of the state, and what follows once they are written.

use std::collections::{BTreeMap, BTreeSet};

use lichencrank_store::{Outcome, Txn};

use super::host::AllocationPhase;
use super::record_writer::CommitResult;
use super::{AllocatedTask, ClusterState};
use crate::storage::records::RunRecordId;
use crate::types::{HostName, JobId, Time, Version};

/// What the outcome of a batch means for the leader.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum BatchResult {
    /// These hosts have tasks that may be started now.
    Committed {
        /// Their names.
        hosts_to_command: BTreeSet<HostName>,
    },
    /// Nothing was written, as conditions failed.
    Conflict {
        /// Jobs whose records are gone: they were cancelled.
        cancelled: Vec<JobId>,
        /// The allowance of a team has changed, so the accounts have to be read again.
        is_allowance_outdated: bool,
    },
    /// This controller leads no more.
    LeadershipLost,
    /// Nothing is decided; the records are written by a later batch.
    Retry,
}

impl ClusterState {
    /// Puts together the next transaction of at most `max_changes`, if there is one to send. With
    /// `has_spare_budget` it takes in records that nothing waits for.
    pub(crate) fn next_batch(&mut self, max_changes: usize, has_spare_budget: bool) -> Option<Txn> {
        if !self.is_loaded {
            return None;
        }
        for id in self.record_writer.take_jobs_to_split() {
            self.split_records(id);
        }
        self.record_writer
            .next_batch(&mut self.jobs, max_changes, has_spare_budget)
    }

    /// Takes in the outcome of the batch that was put together last.
    pub(crate) fn on_batch_outcome(&mut self, outcome: Outcome, now: Time) -> BatchResult {
        let result = match outcome {
            Outcome::Committed(revision) => {
                self.record_writer
                    .on_committed(&mut self.jobs, revision, now)
            }
            Outcome::Conflict(keys) => self.record_writer.on_conflict(&mut self.jobs, &keys),
            Outcome::Unknown => {
                self.record_writer.on_response_lost();
                CommitResult::Retry
            }
            Outcome::Invalid => {
                self.record_writer.on_invalid();
                CommitResult::Retry
            }
            _ => {
                self.record_writer.on_not_committed();
                CommitResult::Retry
            }
        };
        match result {
            CommitResult::Committed(written) => BatchResult::Committed {
                hosts_to_command: self.on_records_written(&written, now),
            },
            CommitResult::Conflict {
                cancelled,
                is_allowance_outdated,
            } => BatchResult::Conflict {
                cancelled,
                is_allowance_outdated,
            },
            CommitResult::LeadershipLost => BatchResult::LeadershipLost,
            CommitResult::Retry => BatchResult::Retry,
        }
    }

    /// Takes the run records whose versions have to be read before they can be written again.
    pub(crate) fn take_records_of_unknown_version(&mut self) -> BTreeSet<RunRecordId> {
        self.record_writer.take_records_of_unknown_version()
    }

    /// The version of a run record was read; `None` if it could not be, and has to be read again.
    pub(crate) fn on_run_record_version(&mut self, id: RunRecordId, version: Option<Version>) {
        self.record_writer
            .on_version_read(&mut self.jobs, id, version);
    }

    /// Sets the keys and versions that allocations of each team depend on, beside their own.
    pub(crate) fn set_allowance_fences(&mut self, fences: BTreeMap<String, (String, Version)>) {
        self.record_writer.set_allowance_fences(fences);
        self.request_scheduling();
    }

    /// Allocations in these records may be started now. Returns the hosts that have such.
    pub(super) fn on_records_written(
        &mut self,
        written: &[RunRecordId],
        now: Time,
    ) -> BTreeSet<HostName> {
        let mut hosts_to_command = BTreeSet::new();
        if written.is_empty() {
            return hosts_to_command;
        }
        // Allocations may have waited for room among the records.
        self.request_scheduling();
        for id in written {
            self.check_completion(id.job, now);
        }
        for id in written {
            let Some(waiting) = self.uncommitted_allocations.remove(id) else {
                continue;
            };
            let job = self.jobs.get(&id.job);
            let chunk = job.and_then(|job| job.chunk(id.number));
            let written_change = chunk.map_or(0, |chunk| chunk.written_change_count);
            let still_waiting =
                self.commit_allocations(waiting, written_change, &mut hosts_to_command);
            if !still_waiting.is_empty() {
                self.uncommitted_allocations.insert(*id, still_waiting);
            }
        }
        hosts_to_command
    }

    /// Commits the allocations whose change is written. Returns the others.
    fn commit_allocations(
        &mut self,
        waiting: Vec<AllocatedTask>,
        written_change: u64,
        hosts_to_command: &mut BTreeSet<HostName>,
    ) -> Vec<AllocatedTask> {
        let mut still_waiting = Vec::new();
        for (name, task) in waiting {
            let host = self.hosts.get_mut(&name);
            let allocation = host.and_then(|host| host.allocations.get_mut(&task));
            let Some(allocation) = allocation.filter(|a| a.phase == AllocationPhase::Persisting)
            else {
                continue;
            };
            if written_change >= allocation.record_change_count {
                allocation.phase = AllocationPhase::Committed;
                hosts_to_command.insert(name);
            } else {
                still_waiting.push((name, task));
            }
        }
        still_waiting
    }

    /// Splits the records of a job of which one has become too large. What waits for an old record waits for the
    /// new one that holds it.
    fn split_records(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        // The last step writes the description too, which an earlier version may have left too large.
        job.shorten_description(self.record_writer.max_value_bytes(), &self.machine_types);
        if !self.record_writer.begin_split(job) {
            return;
        }
        let (of_job, others): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut self.uncommitted_allocations)
                .into_iter()
                .partition(|(record, _)| record.job == id);
        self.uncommitted_allocations = others;
        for (host, task) in of_job.into_values().flatten() {
            let record = RunRecordId {
                job: id,
                number: job.record_number_of(task.index),
            };
            let waiting = self.uncommitted_allocations.entry(record).or_default();
            waiting.push((host, task));
        }
    }
}
