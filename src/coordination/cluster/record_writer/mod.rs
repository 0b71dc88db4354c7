//! Group commit of the leader's records: changed records are collected and written in batches. Each batch is one
//! transaction that is conditional on the leader's key and on the versions of the records that it replaces, and one
//! batch is in flight at a time.

mod batch;
mod outcomes;
mod queue;
mod split;

use std::collections::{BTreeMap, BTreeSet};

use lichencrank_store::Txn;

use super::job::Job;
use crate::storage::records::RunRecordId;
use crate::types::{JobId, Version};
use batch::Batch;
use queue::{QueuedRecord, WriteQueue};

/// The jobs of a leader.
pub(crate) type Jobs = BTreeMap<JobId, Job>;

/// The batch in flight.
#[derive(Debug)]
enum InFlight {
    /// No batch is in flight.
    Idle,
    /// The batch was sent and its response is awaited.
    Sent(Batch),
    /// The response was lost: the same transaction is sent again, as its conditions let it be committed only once.
    Resend(Batch),
}

/// What the outcome of a batch means for the leader's state.
#[derive(Debug, PartialEq)]
pub(crate) enum CommitResult {
    /// The batch was committed, and with it these run records.
    Committed(Vec<RunRecordId>),
    /// Conditions of the transaction failed: this request wrote nothing.
    Conflict {
        /// Jobs whose records were deleted, as they were cancelled.
        cancelled: Vec<JobId>,
        /// Whether the allowance of a team has changed since the leader read it.
        is_allowance_outdated: bool,
    },
    /// The leader's key has changed: another controller leads.
    LeadershipLost,
    /// The batch was not committed, or its outcome is unknown: a later batch writes the records.
    Retry,
}

/// Collects the records that have changed and writes them, one transaction after the other.
pub(crate) struct RecordWriter {
    leader_key_version: Version,
    /// By team, the key and version of the record that guards its allowance. Run records of the team's active jobs are
    /// written on condition that the version is unchanged.
    allowance_fences: BTreeMap<String, (String, Version)>,
    max_value_bytes: usize,
    max_txn_changes: usize,
    in_flight: InFlight,
    /// Run records that wait to be written.
    queue: WriteQueue,
    /// Jobs whose outcome waits to be written.
    pending_outcomes: BTreeSet<JobId>,
    /// Jobs whose outcome waits to be archived and whose run records wait to be deleted.
    pending_deletions: BTreeSet<JobId>,
    /// Run records whose version has to be read before they can be written again.
    records_of_unknown_version: BTreeSet<RunRecordId>,
    /// Jobs that have a run record above the size limit of a value, found since the last call of
    /// [`Self::take_jobs_to_split`].
    jobs_to_split: BTreeSet<JobId>,
    /// Jobs whose run records are being split.
    splitting_jobs: BTreeSet<JobId>,
    /// Jobs that have a run record above the size limit and can't be split now. The record waits until it is small
    /// enough.
    unsplittable_jobs: BTreeSet<JobId>,
}

impl RecordWriter {
    /// A writer without records to write. `leader_key_version` is the version of the leader's key, on which every
    /// write is conditional; the limits are those of the state service.
    pub(crate) fn new(
        leader_key_version: Version,
        max_value_bytes: usize,
        max_txn_changes: usize,
    ) -> RecordWriter {
        RecordWriter {
            leader_key_version,
            allowance_fences: BTreeMap::new(),
            max_value_bytes,
            max_txn_changes,
            in_flight: InFlight::Idle,
            queue: WriteQueue::default(),
            pending_outcomes: BTreeSet::new(),
            pending_deletions: BTreeSet::new(),
            records_of_unknown_version: BTreeSet::new(),
            jobs_to_split: BTreeSet::new(),
            splitting_jobs: BTreeSet::new(),
            unsplittable_jobs: BTreeSet::new(),
        }
    }

    /// The version of the leader's key, on which every write is conditional.
    pub(crate) fn leader_key_version(&self) -> Version {
        self.leader_key_version
    }

    /// Sets the version of the leader's key after a change of the key by this leader. No batch may be in flight.
    pub(crate) fn set_leader_key_version(&mut self, version: Version) {
        self.leader_key_version = version;
    }

    /// The size limit of a value in JSON, in bytes.
    pub(crate) fn max_value_bytes(&self) -> usize {
        self.max_value_bytes
    }

    /// The most changes that a transaction may have.
    pub(crate) fn max_txn_changes(&self) -> usize {
        self.max_txn_changes
    }

    /// Sets, by team, the key and version of the record that guards its allowance.
    pub(crate) fn set_allowance_fences(&mut self, fences: BTreeMap<String, (String, Version)>) {
        self.allowance_fences = fences;
    }

    /// A run record has changed and has to be written. It is urgent if something waits for the write, such as the
    /// start of a task.
    pub(crate) fn mark_dirty(&mut self, id: RunRecordId, is_urgent: bool) {
        self.queue.push(QueuedRecord { id, is_urgent });
    }

    /// All tasks of the job are done: its outcome has to be written.
    pub(crate) fn queue_outcome(&mut self, job: JobId) {
        self.pending_outcomes.insert(job);
    }

    /// The job is done or cancelled: its outcome has to be archived, if it is not yet, and its run records deleted.
    pub(crate) fn queue_deletion(&mut self, job: JobId) {
        self.pending_deletions.insert(job);
    }

    /// Takes the jobs that have a run record above the size limit of a value.
    pub(crate) fn take_jobs_to_split(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.jobs_to_split)
    }

    /// Whether no more tasks of the job may be allocated, as its run records can't be written now.
    pub(crate) fn is_allocation_blocked(&self, job: JobId) -> bool {
        self.unsplittable_jobs.contains(&job) || self.splitting_jobs.contains(&job)
    }

    /// Takes the run records whose versions have to be read before they can be written again.
    pub(crate) fn take_records_of_unknown_version(&mut self) -> BTreeSet<RunRecordId> {
        std::mem::take(&mut self.records_of_unknown_version)
    }

    /// The version of a run record was read; `None` if it could not be, and has to be read again.
    pub(crate) fn on_version_read(
        &mut self,
        jobs: &mut Jobs,
        id: RunRecordId,
        version: Option<Version>,
    ) {
        let Some(version) = version else {
            self.records_of_unknown_version.insert(id);
            return;
        };
        let job = jobs.get_mut(&id.job);
        if let Some(chunk) = job.and_then(|job| job.chunk_mut(id.number)) {
            chunk.record_version = version;
            chunk.is_version_unknown = false;
            self.mark_dirty(id, true);
        }
    }

    /// Whether a write is urgent: something waits for a record, a split is under way or a batch has to be sent again.
    pub(crate) fn has_urgent_writes(&self) -> bool {
        self.urgent_record_count() > 0
            || !self.splitting_jobs.is_empty()
            || matches!(self.in_flight, InFlight::Resend(_))
    }

    /// How many urgent records wait to be written, including outcomes.
    pub(crate) fn urgent_record_count(&self) -> usize {
        self.queue.urgent_len() + self.pending_outcomes.len()
    }

    /// How many run records that are not urgent wait to be written.
    pub(crate) fn normal_record_count(&self) -> usize {
        self.queue.normal_len()
    }

    /// Whether the run record waits to be written and is urgent.
    pub(crate) fn is_queued_as_urgent(&self, id: RunRecordId) -> bool {
        self.queue.is_urgent(id)
    }

    /// Whether no response is awaited, so that a batch can be sent.
    pub(crate) fn is_idle(&self) -> bool {
        !matches!(self.in_flight, InFlight::Sent(_))
    }

    /// Whether the outcome of every batch that was sent is known.
    pub(crate) fn is_settled(&self) -> bool {
        matches!(self.in_flight, InFlight::Idle)
    }

    /// The next transaction to send, with at most `max_changes` changes; `None` if there is nothing to write or a
    /// response is awaited. Records that are not urgent are included only with `has_spare_budget`.
    pub(crate) fn next_batch(
        &mut self,
        jobs: &mut Jobs,
        max_changes: usize,
        has_spare_budget: bool,
    ) -> Option<Txn> {
        let batch = match std::mem::replace(&mut self.in_flight, InFlight::Idle) {
            InFlight::Sent(batch) => {
                self.in_flight = InFlight::Sent(batch);
                return None;
            }
            InFlight::Resend(batch) => batch,
            InFlight::Idle => self.assemble_batch(jobs, max_changes, has_spare_budget)?,
        };
        let txn = batch.txn.clone();
        self.in_flight = InFlight::Sent(batch);
        Some(txn)
    }

    /// Assembles a batch; `None` if there is nothing to write.
    fn assemble_batch(
        &mut self,
        jobs: &mut Jobs,
        max_changes: usize,
        has_spare_budget: bool,
    ) -> Option<Batch> {
        self.remove_deleted_jobs(jobs);
        let max_changes = max_changes.min(self.max_txn_changes);
        let mut batch = Batch::new(self.leader_key_version, max_changes);
        self.add_split_step(jobs, &mut batch);
        if batch.split_step.is_none() {
            self.add_outcomes(jobs, &mut batch);
            self.queue.sort_urgent(jobs);
            self.add_run_records(jobs, has_spare_budget, &mut batch);
            if has_spare_budget {
                self.add_deletions(jobs, &mut batch);
            }
        }
        (!batch.txn.changes.is_empty()).then_some(batch)
    }
}
