//! Group commit of the leader's records: what changed is gathered and written in one
//! transaction, one at a time, each conditional on the leader's key and on the versions of the
//! records it replaces.

mod outcomes;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::coordination::cluster::job::{Chunk, Job, JobPhase};
use crate::coordination::cluster::record_split::SplitStep;
use crate::storage::records::{self, ArchivableOutcome};
use crate::types::{JobId, Time, Version};
use lichencrank_store::{value, Change, Txn};

/// The jobs of a leader.
pub(crate) type Jobs = BTreeMap<JobId, Job>;

/// A transaction on its way, and what it will mean once it is written.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) txn: Txn,
    pub(crate) split_step: Option<SplitStep>,
    chunks: Vec<(JobId, u32, u64)>,
    finished: Vec<JobId>,
    archived: Vec<JobId>,
    garbage: Vec<(JobId, u32)>,
}

/// A run record that waits to be written.
struct QueuedRecord {
    id: JobId,
    number: u32,
    /// Something waits for it.
    urgent: bool,
}

/// A record exceeds what a value may hold.
struct TooLarge;

#[derive(Debug)]
enum InFlight {
    /// Nothing is on its way.
    Idle,
    /// An answer is awaited.
    Sent(Batch),
    /// No answer came: the same transaction goes out again, as it can be carried out only once.
    Repeat(Batch),
}

/// What the answer to a batch means.
#[derive(Debug, PartialEq)]
pub(crate) enum CommitResult {
    /// It was committed, and with it these run records.
    Committed(Vec<(JobId, u32)>),
    /// These jobs' records are gone: they were cancelled.
    Conflict {
        /// Jobs that were cancelled.
        cancelled: Vec<JobId>,
        /// The allowance of a team has changed.
        outdated_allowance: bool,
    },
    /// This controller leads no more.
    LeadershipLost,
    /// Nothing was decided; the batch is put together anew.
    Retry,
}

/// What a transaction may hold at the most, with room to spare for its own framing.
/// No transaction is made smaller than this, and no value, whatever is refused.
const LEAST_OPS: usize = 4;
const LEAST_VALUE: usize = 400;
pub(crate) const MAX_BYTES: usize = 44 * 1024;

/// Gathers what changed and writes it in one transaction after the other.
pub(crate) struct RecordWriter {
    leader_key_version: Version,
    urgent: VecDeque<(JobId, u32)>,
    normal: VecDeque<(JobId, u32)>,
    queued: BTreeMap<(JobId, u32), bool>,
    finishing: BTreeSet<JobId>,
    garbage: BTreeSet<JobId>,
    /// Records whose version must be read before they can be written again.
    version_unknown: BTreeSet<(JobId, u32)>,
    in_flight: InFlight,
    /// Keys and versions that allocations of a team depend on, beside their own.
    allowance_fences: BTreeMap<String, (String, Version)>,
    /// The most bytes that a value may have.
    pub(super) max_value_bytes: usize,
    /// The most changes that a transaction may have.
    pub(super) max_txn_changes: usize,
    /// Jobs of which a record has become too large, those whose records are being split, and those
    /// that wait until their record is small enough.
    too_large: BTreeSet<JobId>,
    pub(super) splitting: BTreeSet<JobId>,
    pub(super) oversized: BTreeSet<JobId>,
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
            urgent: VecDeque::new(),
            normal: VecDeque::new(),
            queued: BTreeMap::new(),
            finishing: BTreeSet::new(),
            garbage: BTreeSet::new(),
            version_unknown: BTreeSet::new(),
            in_flight: InFlight::Idle,
            allowance_fences: BTreeMap::new(),
            max_value_bytes,
            max_txn_changes,
            too_large: BTreeSet::new(),
            splitting: BTreeSet::new(),
            oversized: BTreeSet::new(),
        }
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

    /// Takes the jobs of which a record has become too large.
    pub(crate) fn take_too_large(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.too_large).into_iter().collect()
    }

    /// Nothing more is booked of a job while its records can't be written.
    pub(crate) fn is_held(&self, job: JobId) -> bool {
        self.oversized.contains(&job) || self.splitting.contains(&job)
    }

    /// The version of the leader's key.
    pub(crate) fn leader_key_version(&self) -> Version {
        self.leader_key_version
    }

    /// A chunk changed. Urgent are those that something waits for, such as a start.
    pub(crate) fn mark_dirty(&mut self, job: JobId, chunk: u32, urgent: bool) {
        let before = self.queued.get(&(job, chunk)).copied();
        if urgent && before != Some(true) {
            self.urgent.push_back((job, chunk));
            self.queued.insert((job, chunk), true);
        } else if before.is_none() {
            self.normal.push_back((job, chunk));
            self.queued.insert((job, chunk), false);
        }
    }

    /// A job is done: its final state has to be written.
    pub(crate) fn queue_outcome(&mut self, job: JobId) {
        self.finishing.insert(job);
    }

    /// A job is over: its run records have to be deleted.
    pub(crate) fn queue_deletion(&mut self, job: JobId) {
        self.garbage.insert(job);
    }

    /// Takes the records whose versions have to be read.
    pub(crate) fn take_version_unknown(&mut self) -> Vec<(JobId, u32)> {
        std::mem::take(&mut self.version_unknown)
            .into_iter()
            .collect()
    }

    /// A record's version is known again.
    pub(crate) fn on_version_read(
        &mut self,
        jobs: &mut Jobs,
        job: JobId,
        chunk: u32,
        version: Version,
    ) {
        if let Some(c) = jobs.get_mut(&job).and_then(|j| j.chunk_mut(chunk)) {
            c.record_version = version;
            c.version_unknown = false;
            self.mark_dirty(job, chunk, true);
        }
    }

    /// The version could not be read; it has to be tried again.
    pub(crate) fn version_still_unknown(&mut self, job: JobId, chunk: u32) {
        self.version_unknown.insert((job, chunk));
    }

    /// Whether something waits for a record to be written.
    pub(crate) fn has_urgent(&self) -> bool {
        !self.urgent.is_empty()
            || !self.finishing.is_empty()
            || !self.splitting.is_empty()
            || matches!(self.in_flight, InFlight::Repeat(_))
    }

    /// Records that something waits for.
    pub(crate) fn urgent_count(&self) -> usize {
        self.urgent.len() + self.finishing.len()
    }

    /// Whether the record is among those that something waits for.
    pub(crate) fn is_urgent(&self, job: JobId, chunk: u32) -> bool {
        self.queued.get(&(job, chunk)) == Some(&true)
    }

    /// Records that wait to be written: those that something waits for, and the others.
    pub(crate) fn backlog(&self) -> (usize, usize) {
        (self.urgent_count(), self.normal.len())
    }

    /// Whether no answer is awaited.
    pub(crate) fn is_idle(&self) -> bool {
        !matches!(self.in_flight, InFlight::Sent(_))
    }

    /// Puts together the next transaction of at most `max_changes`, if there is one to send. What
    /// nothing waits for goes along if the budget has some to spare.
    pub(crate) fn next_batch(
        &mut self,
        jobs: &mut Jobs,
        max_changes: usize,
        spare: bool,
    ) -> Option<Txn> {
        match std::mem::replace(&mut self.in_flight, InFlight::Idle) {
            InFlight::Sent(batch) => {
                self.in_flight = InFlight::Sent(batch);
                return None;
            }
            InFlight::Repeat(batch) => {
                let txn = batch.txn.clone();
                self.in_flight = InFlight::Sent(batch);
                return Some(txn);
            }
            InFlight::Idle => {}
        }
        self.forget_garbage_collected(jobs);
        let max_changes = max_changes.min(self.max_txn_changes);
        let mut batch = Batch {
            txn: Txn::default(),
            split_step: None,
            chunks: Vec::new(),
            finished: Vec::new(),
            archived: Vec::new(),
            garbage: Vec::new(),
        };
        batch
            .txn
            .require(records::LEADER_KEY.to_owned(), self.leader_key_version);
        let mut bytes = 0;
        self.add_split_step(jobs, max_changes, &mut batch);
        if batch.split_step.is_none() {
            self.add_finished(jobs, max_changes, &mut batch, &mut bytes);
            self.sort_urgent(jobs);
            self.add_run_records(jobs, max_changes, spare, &mut batch, &mut bytes);
            if spare {
                self.add_garbage(jobs, max_changes, &mut batch);
            }
        }
        if batch.txn.changes.is_empty() {
            return None;
        }
        let txn = batch.txn.clone();
        self.in_flight = InFlight::Sent(batch);
        Some(txn)
    }

    fn add_finished(&mut self, jobs: &Jobs, max: usize, batch: &mut Batch, bytes: &mut usize) {
        for id in self.finishing.clone() {
            let Some(job) = jobs.get(&id).filter(|j| j.phase == JobPhase::Finishing) else {
                self.finishing.remove(&id);
                continue;
            };
            if batch.txn.changes.len() + 1 > max || *bytes > MAX_BYTES {
                return;
            }
            self.finishing.remove(&id);
            let over = job.outcome();
            batch.txn.require(records::live_key(id), job.record_version);
            let record = value(&ArchivableOutcome { outcome: over });
            let change = Change::put(records::live_key(id), record);
            batch.txn.changes.push(change);
            *bytes += 200;
            batch.finished.push(id);
        }
    }

    /// What waits longest goes first, so that nothing waits without end; then work of the highest
    /// priority, as starts wait for these records.
    fn sort_urgent(&mut self, jobs: &Jobs) {
        let waiting = self.urgent.make_contiguous();
        if let Some((_, others)) = waiting.split_first_mut() {
            others.sort_by_key(|(id, _)| jobs.get(id).map(Job::priority));
        }
    }

    /// Adds run records that changed, the urgent ones first.
    fn add_run_records(
        &mut self,
        jobs: &Jobs,
        max: usize,
        spare: bool,
        batch: &mut Batch,
        bytes: &mut usize,
    ) {
        let mut later = Vec::new();
        while batch.txn.changes.len() < max && *bytes < MAX_BYTES {
            let Some(queued) = self.next_queued(spare) else {
                break;
            };
            let QueuedRecord { id, number, .. } = queued;
            let Some(job) = jobs.get(&id) else { continue };
            // The record of a job that is over goes as a whole.
            if matches!(job.phase, JobPhase::Finishing | JobPhase::GarbageCollecting) {
                continue;
            }
            if job.record_split.is_some() {
                // All of it is written by the split, or after it.
                later.push(queued);
                continue;
            }
            if job.chunk(number).is_some_and(|c| c.version_unknown) {
                // It comes back once its version is known.
                continue;
            }
            // The first record also counts what the others hold.
            let with_first = number != 0 && job.chunk(0).is_some_and(|c| !c.version_unknown);
            let numbers: &[u32] = if with_first { &[number, 0] } else { &[number] };
            if batch.txn.changes.len() + numbers.len() > max {
                later.push(queued);
                break;
            }
            for number in numbers.iter().copied() {
                if let Err(TooLarge) = self.add_run_record(job, number, batch, bytes) {
                    later.push(QueuedRecord {
                        id,
                        number,
                        urgent: false,
                    });
                }
            }
        }
        for queued in later {
            self.mark_dirty(queued.id, queued.number, queued.urgent);
        }
    }

    /// Takes the next record out of the queues.
    fn next_queued(&mut self, spare: bool) -> Option<QueuedRecord> {
        loop {
            let urgent = self.urgent.pop_front();
            let next = match urgent {
                None if spare => self.normal.pop_front(),
                other => other,
            };
            let (id, number) = next?;
            // One that became urgent stands in both queues.
            if let Some(urgent) = self.queued.remove(&(id, number)) {
                return Some(QueuedRecord { id, number, urgent });
            }
        }
    }

    /// Adds one record, unless it is in the batch already or nothing has to be written of it.
    fn add_run_record(
        &mut self,
        job: &Job,
        number: u32,
        batch: &mut Batch,
        bytes: &mut usize,
    ) -> Result<(), TooLarge> {
        let id = job.id;
        let mut added = batch.chunks.iter();
        if added.any(|(job, at, _)| (*job, *at) == (id, number)) {
            return Ok(());
        }
        let (Some(chunk), Some(record)) = (job.chunk(number), job.run_record(number)) else {
            return Ok(());
        };
        // What a cancelled job never had written it needs no record of.
        if job.phase == JobPhase::Cancelled && chunk.record_version == Version(0) {
            return Ok(());
        }
        let size = if record.surely_fits(self.max_value_bytes) {
            record.usual_size()
        } else {
            records::size(&record)
        };
        if size > self.max_value_bytes {
            self.too_large.insert(id);
            return Err(TooLarge);
        }
        self.oversized.remove(&id);
        *bytes += size;
        if job.phase == JobPhase::Active {
            // Nothing is booked after a cancellation.
            batch.txn.require(records::live_key(id), job.record_version);
            if let Some((key, version)) = self.allowance_fences.get(&job.team) {
                batch.txn.require(key.clone(), *version);
            }
        }
        let key = records::run_key(id, number);
        batch.txn.require(key.clone(), chunk.record_version);
        batch.txn.changes.push(Change::put(key, value(&record)));
        batch.chunks.push((id, number, chunk.change_count));
        Ok(())
    }

    fn add_garbage(&mut self, jobs: &Jobs, max: usize, batch: &mut Batch) {
        for id in self.garbage.clone() {
            let Some(job) = jobs
                .get(&id)
                .filter(|j| j.phase == JobPhase::GarbageCollecting)
            else {
                self.garbage.remove(&id);
                continue;
            };
            if job.unarchived_outcome.is_some() && !batch.archived.contains(&id) {
                if batch.txn.changes.len() + 2 > max {
                    return;
                }
                let over = job.unarchived_outcome;
                batch.txn.require(records::live_key(id), job.record_version);
                let gone = Change::delete(records::live_key(id));
                let kept = Change::put(records::outcome_key(id), value(&over));
                batch.txn.changes.extend([gone, kept]);
                batch.archived.push(id);
            }
            let beyond = job.abandoned_records.keys();
            for number in beyond.filter(|n| job.chunk(**n).is_none()) {
                if batch.txn.changes.len() >= max {
                    return;
                }
                let gone = Change::delete(records::run_key(id, *number));
                batch.txn.changes.push(gone);
                batch.garbage.push((id, *number));
            }
            for (number, chunk) in job.chunks.iter().enumerate() {
                let number = number as u32;
                let known = chunk
                    .as_ref()
                    .is_some_and(|c| c.record_version != Version(0) || c.version_unknown);
                if known {
                    if batch.txn.changes.len() >= max {
                        return;
                    }
                    batch
                        .txn
                        .changes
                        .push(Change::delete(records::run_key(id, number)));
                    batch.garbage.push((id, number));
                }
            }
        }
    }
}
