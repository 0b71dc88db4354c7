//! The leader's records: reading them at the start, the next batch of writes, and what became of the last one.

use std::collections::BTreeSet;
use std::time::Duration;

use lichencrank_store::{Outcome, Txn};

use crate::coordination::cluster::BatchResult;
use crate::coordination::{Leader, LeaderPhase, LeadershipLost};
use crate::storage::records::{RunRecord, RunRecordId};
use crate::types::{Time, Version};

/// A new leader awaits the heartbeats of all hosts for so many intervals, and a margin.
const HEARTBEAT_ROUND_INTERVALS: f64 = 1.25;
const HEARTBEAT_ROUND_MARGIN: Duration = Duration::from_millis(500);

/// Records that wait to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteBacklog {
    /// Records that something waits for, such as the start of a task.
    pub urgent: usize,
    /// All other records.
    pub other: usize,
}

impl Leader {
    /// Takes in a run record while the records are read.
    pub fn on_run_record(
        &mut self,
        id: RunRecordId,
        record: &RunRecord,
        version: Version,
        now: Time,
    ) {
        self.cluster.load_run_record(id, record, version, now);
    }

    /// All records are read: from now on heartbeats complete the view of the cluster.
    pub fn on_loaded(&mut self, now: Time) {
        let round = self
            .policy
            .heartbeat_interval
            .mul_f64(HEARTBEAT_ROUND_INTERVALS)
            + HEARTBEAT_ROUND_MARGIN;
        self.started_at = now;
        self.set_phase(LeaderPhase::AwaitingHeartbeats {
            until: now.after(round),
        });
        self.cluster.finish_loading(now);
    }

    /// Puts together the next transaction of at most `max_changes`, if there is one to send. With `has_spare_budget` it
    /// takes in records that nothing waits for.
    pub fn next_batch(&mut self, max_changes: usize, has_spare_budget: bool) -> Option<Txn> {
        self.cluster.next_batch(max_changes, has_spare_budget)
    }

    /// Takes in the outcome of the batch that was put together last.
    ///
    /// # Errors
    ///
    /// The leader's key has changed.
    pub fn on_batch_outcome(&mut self, outcome: Outcome, now: Time) -> Result<(), LeadershipLost> {
        match self.cluster.on_batch_outcome(outcome, now) {
            BatchResult::Committed { hosts_to_command } => {
                self.send_commands_to(&hosts_to_command, now);
            }
            BatchResult::Conflict {
                cancelled,
                is_allowance_outdated: outdated_allowance,
            } => {
                if outdated_allowance {
                    self.request_quota_reload();
                }
                for id in cancelled {
                    self.on_job_deleted(id, now);
                }
            }
            BatchResult::LeadershipLost => return Err(LeadershipLost(self.term)),
            BatchResult::Retry => {}
        }
        Ok(())
    }

    /// Takes the run records whose versions have to be read before they can be written again.
    pub fn take_records_of_unknown_version(&mut self) -> BTreeSet<RunRecordId> {
        self.cluster.take_records_of_unknown_version()
    }

    /// The version of a run record was read; `None` if it could not be, and has to be read again.
    pub fn on_run_record_version(&mut self, id: RunRecordId, version: Option<Version>) {
        self.cluster.on_run_record_version(id, version);
    }

    /// How many records wait to be written.
    pub fn write_backlog(&self) -> WriteBacklog {
        let records = self.cluster.record_writer();
        WriteBacklog {
            urgent: records.urgent_record_count(),
            other: records.normal_record_count(),
        }
    }

    /// Whether something waits for a record to be written.
    pub fn has_urgent_writes(&self) -> bool {
        self.cluster.record_writer().has_urgent_writes()
    }

    /// Whether no batch is under way.
    pub fn is_write_idle(&self) -> bool {
        self.cluster.record_writer().is_idle()
    }

    /// The most bytes that a stored value may have.
    pub fn max_value_bytes(&self) -> usize {
        self.cluster.record_writer().max_value_bytes()
    }

    /// The version of the leader's key, on which every write is conditional.
    pub fn leader_key_version(&self) -> Version {
        self.cluster.record_writer().leader_key_version()
    }
}
