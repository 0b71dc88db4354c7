//! Group commit of the leader's records: what changed is gathered and written in one transaction, one at a time, each
//! conditional on the leader's key and on the versions of the records that it replaces.

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

#[derive(Debug)]
enum InFlight {
    /// Nothing is under way.
    Idle,
    /// A response is awaited.
    Sent(Batch),
    /// No response came: the same transaction is sent again, as its conditions let it be committed only once.
    Repeat(Batch),
}

/// What the outcome of a batch means.
#[derive(Debug, PartialEq)]
pub(crate) enum CommitResult {
    /// It was committed, and with it these run records.
    Committed(Vec<RunRecordId>),
    /// Conditions failed.
    Conflict {
        /// Jobs whose records are gone: they were cancelled.
        cancelled: Vec<JobId>,
        /// The allowance of a team has changed.
        is_allowance_outdated: bool,
    },
    /// The leader's key has changed.
    LeadershipLost,
    /// Nothing is decided; the records are written by a later batch.
    Retry,
}

/// Gathers the records that have changed and writes them, one transaction after the other.
pub(crate) struct RecordWriter {
    leader_key_version: Version,
    /// Keys and versions that allocations of each team depend on, beside their own.
    allowance_fences: BTreeMap<String, (String, Version)>,
    max_value_bytes: usize,
    max_txn_changes: usize,
    in_flight: InFlight,
    /// Run records that wait to be written.
    queue: WriteQueue,
    /// Jobs whose outcome is to be written.
    finishing: BTreeSet<JobId>,
    /// Jobs whose outcome is to be archived and whose run records are to be deleted.
    to_delete: BTreeSet<JobId>,
    /// Run records whose version has to be read before they can be written again.
    version_unknown: BTreeSet<RunRecordId>,
    /// Jobs of which a record was found to be too large.
    too_large: BTreeSet<JobId>,
    /// Jobs whose records are being split.
    splitting: BTreeSet<JobId>,
    /// Jobs whose records can't be split now, and that wait until the large record is small enough.
    oversized: BTreeSet<JobId>,
}

impl RecordWriter {
    /// A writer with nothing to write. `leader_key_version` is the version of the leader's key, on which every write is
    /// conditional; the limits are those of the store.
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
            finishing: BTreeSet::new(),
            to_delete: BTreeSet::new(),
            version_unknown: BTreeSet::new(),
            too_large: BTreeSet::new(),
            splitting: BTreeSet::new(),
            oversized: BTreeSet::new(),
        }
    }

    /// The version of the leader's key.
    pub(crate) fn leader_key_version(&self) -> Version {
        self.leader_key_version
    }

    /// The most bytes that a value may have.
    pub(crate) fn max_value_bytes(&self) -> usize {
        self.max_value_bytes
    }

    /// The most changes that a transaction may have.
    pub(crate) fn max_txn_changes(&self) -> usize {
        self.max_txn_changes
    }

    /// Sets the keys and versions that allocations of each team depend on, beside their own.
    pub(crate) fn set_allowance_fences(&mut self, fences: BTreeMap<String, (String, Version)>) {
        self.allowance_fences = fences;
    }

    /// A run record has to be written. It is urgent if something waits for it, such as the start of a task.
    pub(crate) fn mark_dirty(&mut self, id: RunRecordId, is_urgent: bool) {
        self.queue.push(QueuedRecord { id, is_urgent });
    }

    /// The job's outcome has to be written.
    pub(crate) fn queue_outcome(&mut self, job: JobId) {
        self.finishing.insert(job);
    }

    /// The job is over: its outcome has to be archived, if there is one, and its run records deleted.
    pub(crate) fn queue_deletion(&mut self, job: JobId) {
        self.to_delete.insert(job);
    }

    /// Takes the jobs of which a record has become too large.
    pub(crate) fn take_jobs_to_split(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.too_large)
    }

    /// Whether nothing more may be allocated of the job, as its records can't be written now.
    pub(crate) fn is_allocation_blocked(&self, job: JobId) -> bool {
        self.oversized.contains(&job) || self.splitting.contains(&job)
    }

    /// Takes the run records whose versions have to be read.
    pub(crate) fn take_records_of_unknown_version(&mut self) -> BTreeSet<RunRecordId> {
        std::mem::take(&mut self.version_unknown)
    }

    /// The version of a run record was read; `None` if it could not be, and has to be read again.
    pub(crate) fn on_version_read(
        &mut self,
        jobs: &mut Jobs,
        id: RunRecordId,
        version: Option<Version>,
    ) {
        let Some(version) = version else {
            self.version_unknown.insert(id);
            return;
        };
        let job = jobs.get_mut(&id.job);
        if let Some(chunk) = job.and_then(|job| job.chunk_mut(id.number)) {
            chunk.record_version = version;
            chunk.is_version_unknown = false;
            self.mark_dirty(id, true);
        }
    }

    /// Whether something waits for a record to be written.
    pub(crate) fn has_urgent_writes(&self) -> bool {
        self.urgent_record_count() > 0
            || !self.splitting.is_empty()
            || matches!(self.in_flight, InFlight::Repeat(_))
    }

    /// How many records wait that something waits for.
    pub(crate) fn urgent_record_count(&self) -> usize {
        self.queue.urgent_len() + self.finishing.len()
    }

    /// How many other records wait to be written.
    pub(crate) fn normal_record_count(&self) -> usize {
        self.queue.normal_len()
    }

    /// Whether the run record waits to be written and something waits for that.
    pub(crate) fn is_queued_as_urgent(&self, id: RunRecordId) -> bool {
        self.queue.is_urgent(id)
    }

    /// Whether no response is awaited.
    pub(crate) fn is_idle(&self) -> bool {
        !matches!(self.in_flight, InFlight::Sent(_))
    }

    /// Puts together the next transaction of at most `max_changes`, if there is one to send. With `has_spare_budget` it
    /// takes in records that nothing waits for.
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
            InFlight::Repeat(batch) => batch,
            InFlight::Idle => self.gather(jobs, max_changes, has_spare_budget)?,
        };
        let txn = batch.txn.clone();
        self.in_flight = InFlight::Sent(batch);
        Some(txn)
    }

    /// Gathers a batch; `None` if there is nothing to write.
    fn gather(
        &mut self,
        jobs: &mut Jobs,
        max_changes: usize,
        has_spare_budget: bool,
    ) -> Option<Batch> {
        self.forget_deleted_jobs(jobs);
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
