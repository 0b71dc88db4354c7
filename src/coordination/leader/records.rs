//! The leader's records: loading them at the start of the term, composing the next batch of writes, and handling the
//! outcome of the last one.

use std::collections::BTreeSet;
use std::time::Duration;

use lichencrank_store::{Outcome, Txn};

use crate::coordination::cluster::BatchResult;
use crate::coordination::{Leader, LeaderPhase, LeadershipLost};
use crate::storage::records::{RunRecord, RunRecordId};
use crate::types::{Time, Version};

/// A new leader waits for the first heartbeat of each host for this many heartbeat intervals plus the margin.
const HEARTBEAT_ROUND_INTERVALS: f64 = 1.25;
const HEARTBEAT_ROUND_MARGIN: Duration = Duration::from_millis(500);

/// The number of records that wait to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteBacklog {
    /// Records on whose write something depends, such as the start of a task.
    pub urgent: usize,
    /// All other records.
    pub other: usize,
}

impl Leader {
    /// Handles a run record while the records are being read.
    pub fn on_run_record(
        &mut self,
        id: RunRecordId,
        record: &RunRecord,
        version: Version,
        now: Time,
    ) {
        self.cluster.load_run_record(id, record, version, now);
    }

    /// All records have been read: from now on heartbeats complete the view of the cluster.
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

    /// Composes the next transaction of at most `max_changes` changes; `None` if there is nothing to write or a batch
    /// is in flight. With `has_spare_budget` it includes records on which nothing depends.
    pub fn next_batch(&mut self, max_changes: usize, has_spare_budget: bool) -> Option<Txn> {
        self.cluster.next_batch(max_changes, has_spare_budget)
    }

    /// Handles the outcome of the last batch.
    ///
    /// # Errors
    ///
    /// The leader's key has changed: another controller leads.
    pub fn on_batch_outcome(&mut self, outcome: Outcome, now: Time) -> Result<(), LeadershipLost> {
        match self.cluster.on_batch_outcome(outcome, now) {
            BatchResult::Committed { hosts_to_command } => {
                self.send_commands_to(&hosts_to_command, now);
            }
            BatchResult::Conflict {
                cancelled,
                is_allowance_outdated,
            } => {
                if is_allowance_outdated {
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

    /// Handles the version of a run record that was read; `None` if the read failed and has to be repeated.
    pub fn on_run_record_version(&mut self, id: RunRecordId, version: Option<Version>) {
        self.cluster.on_run_record_version(id, version);
    }

    /// The number of records that wait to be written.
    pub fn write_backlog(&self) -> WriteBacklog {
        let records = self.cluster.record_writer();
        WriteBacklog {
            urgent: records.urgent_record_count(),
            other: records.normal_record_count(),
        }
    }

    /// Whether something depends on a record that is still to be written.
    pub fn has_urgent_writes(&self) -> bool {
        self.cluster.record_writer().has_urgent_writes()
    }

    /// Whether no batch is in flight.
    pub fn is_write_idle(&self) -> bool {
        self.cluster.record_writer().is_idle()
    }

    /// Whether the outcome of every batch that was sent is known.
    pub fn is_write_settled(&self) -> bool {
        self.cluster.record_writer().is_settled()
    }

    /// The largest size of a stored value in bytes.
    pub fn max_value_bytes(&self) -> usize {
        self.cluster.record_writer().max_value_bytes()
    }

    /// The version of the leader's key, on which every transaction is conditional.
    pub fn leader_key_version(&self) -> Version {
        self.cluster.record_writer().leader_key_version()
    }
}
