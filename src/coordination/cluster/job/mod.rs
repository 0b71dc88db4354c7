//! A job as the leader sees it: which of its tasks are waiting, allocated to which host, or done.

mod chunk;
mod failures;
mod run_records;
mod splitting;

pub use chunk::{RecordChange, TaskChunk, TaskState};
pub use failures::REPLICA_STABLE_AFTER;
pub use run_records::RecordedAllocation;
pub use splitting::RecordSplit;

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::resources::Resources;
use crate::protocol::users::{JobSpec, JobState, Priority};
use crate::storage::records::{JobRecord, OutcomeRecord, RunRecord};
use crate::types::{Attempt, HostName, JobId, Time, Version};

/// Estimate of a task's run time, in seconds, where only run records of its job are left.
const UNKNOWN_ESTIMATE_S: f64 = 30.0;

/// Phase of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobPhase {
    /// Accepted; its tasks are placed when there is capacity.
    Active,
    /// All its tasks are done; its outcome is to be written.
    Finishing,
    /// Cancelled, or only run records of it are left. Its allocations remain until they are proven to have ended.
    Cancelled,
    /// Done or cancelled, and none of its tasks is allocated; its run records are being deleted.
    GarbageCollecting,
}

/// An outage of a replica of a service that had been running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaOutage {
    /// When it stopped running.
    pub since: Time,
    /// Why it stopped running, for the log.
    pub cause: &'static str,
}

/// A job as the leader sees it. Only [`super::ClusterState`] hands out jobs, and only as shared references.
#[derive(Debug)]
pub struct Job {
    /// Id of the job.
    pub id: JobId,
    /// Its description; `None` if it is done or cancelled, and only run records or its outcome are left.
    pub spec: Option<Box<JobSpec>>,
    /// Version of its job record. Versions order jobs by their arrival.
    pub record_version: Version,
    /// Unix time of its submission, in milliseconds.
    pub submitted_at_ms: u64,
    /// Team whose quota it uses.
    pub team: String,
    /// Resources that each of its tasks uses.
    pub task_resources: Resources,
    /// Its phase.
    pub phase: JobPhase,
    /// When its cancellation became known to this leader.
    pub cancelled_at: Option<Time>,
    /// Number of its tasks.
    pub task_count: u32,
    /// Number of its tasks that are done.
    pub done_count: u32,
    /// Number of its tasks that are allocated.
    pub allocated_count: u32,

    /// Number of tasks in each of its run records.
    pub tasks_per_record: u32,
    /// Its tasks by the number of their run record; `None` while no task of that record was ever allocated.
    pub chunks: Vec<Option<Box<TaskChunk>>>,
    /// No task from this index on was ever allocated.
    first_never_allocated: u32,
    /// Indexes of the waiting tasks below `first_never_allocated`. Most of them have been allocated before.
    retry_queue: BTreeSet<u32>,

    /// None of its tasks is placed before this time, as an earlier one failed or was refused.
    pub retry_not_before: Time,
    /// Count of the failures of its tasks. For a service it restarts at 0 when a replica ends that ran for at least
    /// [`REPLICA_STABLE_AFTER`]; a replica that failed sooner counts twice, one that completed sooner once.
    pub failure_count: u32,
    /// Hosts on which a task of it failed.
    pub failed_hosts: BTreeSet<HostName>,
    /// Outages of the replicas of a service, by the index of their task.
    pub replica_outages: BTreeMap<u32, ReplicaOutage>,

    /// The split of its run records into smaller ones, while one is in progress.
    pub record_split: Option<RecordSplit>,
    /// Numbers and versions of run records that were written for a split that was not completed.
    pub abandoned_records: BTreeMap<u32, Version>,
    /// Its outcome, while that is stored in place of its description and is not yet moved to the archive.
    pub unarchived_outcome: Option<OutcomeRecord>,
}

impl Job {
    /// A job with this job record, none of whose tasks was ever allocated.
    pub fn new(record: JobRecord, record_version: Version) -> Job {
        let JobRecord {
            spec,
            submitted_at_ms,
            tasks_per_record,
        } = record;
        let tasks_per_record = tasks_per_record.max(1);
        let id = spec.id;
        let task_count = spec.task_count as u32;
        let chunk_count = task_count.div_ceil(tasks_per_record);
        let resources = Resources {
            cpus: spec.cpus.0,
            gpus: spec.gpus.0,
            memory_gb: spec.memory_gb.0,
        };
        let team = spec.team.clone();
        Job {
            spec: Some(Box::new(spec)),
            phase: JobPhase::Active,
            record_version,
            submitted_at_ms,
            task_count,
            chunks: (0..chunk_count).map(|_| None).collect(),
            ..Job::without_tasks(id, team, resources, tasks_per_record)
        }
    }

    /// A job that was cancelled under an earlier leader, so that only run records of it are left.
    pub(super) fn from_run_record(id: JobId, record: &RunRecord, now: Time) -> Job {
        let resources = Resources {
            cpus: record.cpus,
            gpus: record.gpus,
            memory_gb: record.memory_gb,
        };
        let tasks_per_record = record.tasks_per_record.max(1);
        Job {
            cancelled_at: Some(now),
            ..Job::without_tasks(id, record.team.clone(), resources, tasks_per_record)
        }
    }

    /// A job that an earlier leader finished and whose records are not all deleted yet.
    pub(super) fn finished_by_earlier_leader(
        id: JobId,
        outcome: OutcomeRecord,
        record_version: Version,
    ) -> Job {
        Job {
            phase: JobPhase::GarbageCollecting,
            record_version,
            unarchived_outcome: Some(outcome),
            ..Job::without_tasks(id, String::new(), Resources::default(), 1)
        }
    }

    fn without_tasks(
        id: JobId,
        team: String,
        task_resources: Resources,
        tasks_per_record: u32,
    ) -> Job {
        Job {
            id,
            spec: None,
            record_version: Version::ABSENT,
            submitted_at_ms: 0,
            team,
            task_resources,
            phase: JobPhase::Cancelled,
            cancelled_at: None,
            task_count: 0,
            done_count: 0,
            allocated_count: 0,
            tasks_per_record,
            chunks: Vec::new(),
            first_never_allocated: 0,
            retry_queue: BTreeSet::new(),
            retry_not_before: Time::default(),
            failure_count: 0,
            failed_hosts: BTreeSet::new(),
            replica_outages: BTreeMap::new(),
            record_split: None,
            abandoned_records: BTreeMap::new(),
            unarchived_outcome: None,
        }
    }

    /// The outcome to be written once all its tasks are done.
    pub(super) fn outcome(&self) -> OutcomeRecord {
        OutcomeRecord {
            state: JobState::Done,
            tasks: u64::from(self.task_count),
        }
    }

    /// Notes that its outcome was written in place of its description, at this version.
    pub(super) fn on_outcome_written(&mut self, record_version: Version) {
        self.record_version = record_version;
        self.unarchived_outcome = Some(self.outcome());
    }

    /// Notes that one of its run records was deleted.
    pub(super) fn on_run_record_deleted(&mut self, number: u32) {
        self.abandoned_records.remove(&number);
        if let Some(chunk) = self.chunks.get_mut(number as usize) {
            *chunk = None;
        }
    }

    /// Whether it is done or cancelled, and nothing but its archived outcome is left in the state service.
    pub(super) fn is_deleted(&self) -> bool {
        let mut chunks = self.chunks.iter().flatten();
        self.phase == JobPhase::GarbageCollecting
            && self.unarchived_outcome.is_none()
            && self.abandoned_records.is_empty()
            && chunks.all(|chunk| !chunk.may_have_record())
    }

    /// Changes the phase. Nothing else does once the job is created.
    pub(super) fn set_phase(&mut self, phase: JobPhase, now: Time) {
        tracing::debug!("{}: phase {:?} -> {phase:?}", self.id, self.phase);
        self.phase = phase;
        if phase == JobPhase::Cancelled {
            self.cancelled_at.get_or_insert(now);
        }
    }

    /// Its priority; normal if its description is unknown.
    pub fn priority(&self) -> Priority {
        self.spec
            .as_ref()
            .map_or(Priority::Normal, |spec| spec.priority)
    }

    /// Whether its tasks are replicas that run until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.as_ref().is_some_and(|spec| spec.is_service())
    }

    /// Number of tasks that wait to be allocated.
    pub fn waiting_count(&self) -> u32 {
        if self.phase == JobPhase::Active {
            self.retry_queue.len() as u32 + (self.task_count - self.first_never_allocated)
        } else {
            0
        }
    }

    /// Number of tasks that may be allocated now. A job that fails everywhere is tried with one task at a time, as all
    /// its tasks would occupy hosts and fetch images only to fail again. If others of its tasks are still running, the
    /// failures may be due to faulty hosts, and all may be allocated.
    pub fn schedulable_count(&self) -> u32 {
        if self.fails_everywhere() && self.allocated_count == 0 {
            self.waiting_count().min(1)
        } else {
            self.waiting_count()
        }
    }

    /// Index of the waiting task that is allocated next.
    pub fn next_waiting_task(&self) -> Option<u32> {
        let never_allocated =
            (self.first_never_allocated < self.task_count).then_some(self.first_never_allocated);
        self.retry_queue.first().copied().or(never_allocated)
    }

    /// Number of the run record that holds the task with this index.
    pub fn record_number_of(&self, index: u32) -> u32 {
        index / self.tasks_per_record
    }

    /// The tasks of the run record with this number; `None` if none of them was ever allocated.
    pub fn chunk(&self, number: u32) -> Option<&TaskChunk> {
        self.chunks.get(number as usize)?.as_deref()
    }

    pub(in crate::coordination::cluster) fn chunk_mut(
        &mut self,
        number: u32,
    ) -> Option<&mut TaskChunk> {
        self.chunks.get_mut(number as usize)?.as_deref_mut()
    }

    fn chunk_length(&self, number: u32) -> u32 {
        if self.spec.is_none() {
            return self.tasks_per_record;
        }
        let first = number * self.tasks_per_record;
        self.tasks_per_record
            .min(self.task_count.saturating_sub(first))
    }

    /// State of a task; `None` if no task of its run record was ever allocated.
    pub fn task_state(&self, index: u32) -> Option<&TaskState> {
        let chunk = self.chunk(self.record_number_of(index))?;
        chunk.tasks().get(self.offset_in_chunk(index))
    }

    fn offset_in_chunk(&self, index: u32) -> usize {
        (index % self.tasks_per_record) as usize
    }

    /// Changes the state of a task. Nothing else does once the records are read. Returns the change of its run record,
    /// which has to be written; `None`, with nothing changed, if there is no such task or it is done already.
    pub(super) fn set_task(&mut self, index: u32, state: TaskState) -> Option<RecordChange> {
        let record_number = self.record_number_of(index);
        let (length, offset) = (
            self.chunk_length(record_number),
            self.offset_in_chunk(index),
        );
        let slot = self.chunks.get_mut(record_number as usize)?;
        let chunk = slot.get_or_insert_with(|| Box::new(TaskChunk::never_allocated(length)));
        let old_state = chunk.replace_task(offset, state.clone())?;
        let change_count = chunk.change_count;
        match old_state {
            TaskState::Waiting { .. } if index == self.first_never_allocated => {
                self.first_never_allocated += 1
            }
            TaskState::Waiting { .. } => {
                self.retry_queue.remove(&index);
            }
            TaskState::Allocated { .. } => self.allocated_count -= 1,
            TaskState::Done => {}
        }
        match state {
            TaskState::Waiting { .. } => {
                self.retry_queue.insert(index);
            }
            TaskState::Allocated { .. } => self.allocated_count += 1,
            TaskState::Done => self.done_count += 1,
        }
        Some(RecordChange {
            record_number,
            change_count,
        })
    }

    /// The host of each of its allocated tasks. A host with several of them is repeated.
    pub fn allocated_hosts(&self) -> impl Iterator<Item = &HostName> {
        let chunks = if self.allocated_count > 0 {
            &self.chunks[..]
        } else {
            &[]
        };
        let with_allocations = chunks
            .iter()
            .flatten()
            .filter(|chunk| chunk.has_allocations());
        let tasks = with_allocations.flat_map(|chunk| chunk.tasks());
        tasks.filter_map(|task| match task {
            TaskState::Allocated { host, .. } => Some(host),
            TaskState::Waiting { .. } | TaskState::Done => None,
        })
    }

    /// Number of the last attempt at a task; 0 if there was none, or the task is done.
    pub fn last_attempt(&self, index: u32) -> Attempt {
        match self.task_state(index) {
            Some(TaskState::Waiting { last_attempt: last }) => *last,
            Some(TaskState::Allocated { attempt, .. }) => *attempt,
            Some(TaskState::Done) | None => Attempt(0),
        }
    }

    /// The user's estimate of a task's run time, in seconds.
    pub fn estimated_run_s(&self) -> f64 {
        self.spec.as_ref().map_or(UNKNOWN_ESTIMATE_S, |spec| {
            spec.estimated_run_time_s.0.max(1.0)
        })
    }

    /// Its deadline as Unix time in milliseconds. A service has none.
    pub fn deadline_ms(&self) -> Option<f64> {
        let spec = self.spec.as_ref().filter(|spec| !spec.is_service())?;
        spec.deadline_s
            .map(|deadline_s| self.submitted_at_ms as f64 + deadline_s.0 * 1000.0)
    }

    /// Seconds from the given Unix time until its deadline; negative once the deadline has passed.
    pub fn time_to_deadline_s(&self, unix_time_ms: u64) -> Option<f64> {
        self.deadline_ms()
            .map(|deadline_ms| (deadline_ms - unix_time_ms as f64) / 1000.0)
    }

    /// Whether it would miss its deadline even with `cpus` CPUs to itself from the given Unix time on, if each of its
    /// tasks runs for `run_time_s`.
    pub fn will_miss_deadline(&self, run_time_s: f64, cpus: f64, unix_time_ms: u64) -> bool {
        let cpu_seconds = f64::from(self.waiting_count()) * self.task_resources.cpus * run_time_s;
        let last_start_s = if cpus > 0.0 { cpu_seconds / cpus } else { 0.0 };
        let end_ms = unix_time_ms as f64 + (last_start_s + run_time_s) * 1000.0;
        self.deadline_ms()
            .is_some_and(|deadline_ms| end_ms > deadline_ms)
    }
}
