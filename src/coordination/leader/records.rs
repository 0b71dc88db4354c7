//! The leader's records: the next batch of writes and what became of the one before.

use lichencrank_store::Outcome;

use crate::coordination::{Leader, LeadershipLost};
use crate::types::{JobId, Time, Version};

/// Records that wait to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteBacklog {
    /// Records that something waits for, such as the start of a task.
    pub urgent: usize,
    /// All other records.
    pub other: usize,
}

impl Leader {
    /// Takes in the outcome of the batch that was put together last.
    pub fn on_batch_outcome(&mut self, outcome: Outcome, now: Time) -> Result<(), LeadershipLost> {
        let cluster = &mut self.cluster;
        let result = match outcome {
            Outcome::Committed(revision) => {
                cluster
                    .records
                    .on_committed(&mut cluster.jobs, revision, now)
            }
            Outcome::Conflict(keys) => cluster.records.on_conflict(&mut cluster.jobs, &keys),
            Outcome::Unknown => {
                cluster.records.on_response_lost();
                return Ok(());
            }
            Outcome::Invalid => {
                cluster.records.on_invalid();
                return Ok(());
            }
            _ => {
                cluster.records.on_refused();
                return Ok(());
            }
        };
        self.on_commit_result(result, now)
    }

    /// Takes the run records whose versions have to be read before they can be written again.
    pub fn take_records_of_unknown_version(&mut self) -> Vec<(JobId, u32)> {
        self.cluster.records.take_version_unknown()
    }

    /// The version of a run record was read; `None` if it could not be, and has to be read again.
    pub fn on_run_record_version(&mut self, job: JobId, number: u32, version: Option<Version>) {
        let cluster = &mut self.cluster;
        match version {
            Some(version) => {
                cluster
                    .records
                    .on_version_read(&mut cluster.jobs, job, number, version);
            }
            None => cluster.records.version_still_unknown(job, number),
        }
    }

    /// How many records wait to be written.
    pub fn write_backlog(&self) -> WriteBacklog {
        let (urgent, other) = self.cluster.records.backlog();
        WriteBacklog { urgent, other }
    }

    /// Whether something waits for a record to be written.
    pub fn has_urgent_writes(&self) -> bool {
        self.cluster.records.has_urgent()
    }

    /// Whether no batch is under way.
    pub fn is_write_idle(&self) -> bool {
        self.cluster.records.is_idle()
    }

    /// The most bytes that a stored value may have.
    pub fn max_value_bytes(&self) -> usize {
        self.cluster.records.max_value_bytes
    }

    /// The version of the leader's key, on which every write is conditional.
    pub fn leader_key_version(&self) -> Version {
        self.cluster.records.leader_key_version()
    }
}
