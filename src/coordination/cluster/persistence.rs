//! Writes the records of the state in batches, and commits allocations once their records are written.

use std::collections::{BTreeMap, BTreeSet};

use lichencrank_store::{Outcome, Txn};

use super::host::AllocationPhase;
use super::record_writer::CommitResult;
use super::{AllocatedTask, ClusterState};
use crate::storage::records::RunRecordId;
use crate::types::{HostName, JobId, Time, Version};

/// Result of a batch, with what the leader has to do about it.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum BatchResult {
    /// The records are written.
    Committed {
        /// Hosts with tasks that may be started now.
        hosts_to_command: BTreeSet<HostName>,
    },
    /// Nothing was written, as conditions of the transaction failed.
    Conflict {
        /// Jobs that were cancelled, as their records are gone.
        cancelled: Vec<JobId>,
        /// Whether the allowance of a team has changed, so that the quota records have to be read again.
        is_allowance_outdated: bool,
    },
    /// This controller is no longer the leader.
    LeadershipLost,
    /// Nothing is known to be written; a later batch writes the records.
    Retry,
}

impl ClusterState {
    /// Returns the next transaction of at most `max_changes` changes, if there is one to send. It includes records that
    /// nothing waits for only with `has_spare_budget`.
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

    /// Applies the outcome of the last batch.
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

    /// Takes the run records whose versions have to be read before the records can be written again.
    pub(crate) fn take_records_of_unknown_version(&mut self) -> BTreeSet<RunRecordId> {
        self.record_writer.take_records_of_unknown_version()
    }

    /// Applies the version that was read of a run record; with `None` the read failed, and has to be repeated.
    pub(crate) fn on_run_record_version(&mut self, id: RunRecordId, version: Option<Version>) {
        self.record_writer
            .on_version_read(&mut self.jobs, id, version);
    }

    /// Sets the allowance fence of each team: the key and version on which the writes of its allocations are
    /// conditional, in addition to their own records.
    pub(crate) fn set_allowance_fences(&mut self, fences: BTreeMap<String, (String, Version)>) {
        self.record_writer.set_allowance_fences(fences);
        self.request_scheduling();
    }

    /// Commits the allocations in run records that were written. Returns the hosts with tasks that may be started now.
    pub(super) fn on_records_written(
        &mut self,
        written: &[RunRecordId],
        now: Time,
    ) -> BTreeSet<HostName> {
        let mut hosts_to_command = BTreeSet::new();
        if written.is_empty() {
            return hosts_to_command;
        }
        // Tasks may have been left waiting because too many records were queued for writing.
        self.request_scheduling();
        for id in written {
            self.check_completion(id.job, now);
        }
        for id in written {
            let Some(uncommitted) = self.uncommitted_allocations.remove(id) else {
                continue;
            };
            let job = self.jobs.get(&id.job);
            let chunk = job.and_then(|job| job.chunk(id.number));
            let written_change_count = chunk.map_or(0, |chunk| chunk.written_change_count);
            let still_uncommitted =
                self.commit_allocations(uncommitted, written_change_count, &mut hosts_to_command);
            if !still_uncommitted.is_empty() {
                self.uncommitted_allocations.insert(*id, still_uncommitted);
            }
        }
        hosts_to_command
    }

    /// Commits the allocations that are part of the first `written_change_count` changes of their record. Returns the
    /// others.
    fn commit_allocations(
        &mut self,
        uncommitted: Vec<AllocatedTask>,
        written_change_count: u64,
        hosts_to_command: &mut BTreeSet<HostName>,
    ) -> Vec<AllocatedTask> {
        let mut still_uncommitted = Vec::new();
        for (name, task) in uncommitted {
            let host = self.hosts.get_mut(&name);
            let allocation = host.and_then(|host| host.allocations.get_mut(&task));
            let Some(allocation) =
                allocation.filter(|allocation| allocation.phase == AllocationPhase::Uncommitted)
            else {
                continue;
            };
            if written_change_count >= allocation.record_change_count {
                allocation.phase = AllocationPhase::Committed;
                hosts_to_command.insert(name);
            } else {
                still_uncommitted.push((name, task));
            }
        }
        still_uncommitted
    }

    /// Splits the run records of a job of which one has become too large. Uncommitted allocations are moved to the new
    /// records that hold them.
    fn split_records(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        // The last step of the split also writes the description, which an earlier version may have left too large.
        job.shorten_description(self.record_writer.max_value_bytes(), &self.machine_types);
        if !self.record_writer.begin_split(job) {
            return;
        }
        let (of_job, of_other_jobs): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut self.uncommitted_allocations)
                .into_iter()
                .partition(|(record, _)| record.job == id);
        self.uncommitted_allocations = of_other_jobs;
        for (host, task) in of_job.into_values().flatten() {
            let record = RunRecordId {
                job: id,
                number: job.record_number_of(task.index),
            };
            let uncommitted = self.uncommitted_allocations.entry(record).or_default();
            uncommitted.push((host, task));
        }
    }
}
