//! A job as the leader knows it: which of its tasks wait, which are allocated where and which are done.

mod chunk;
mod failures;
mod run_records;
mod splitting;

pub use chunk::{Chunk, RecordChange, TaskState};
pub use failures::REPLICA_STABLE_AFTER;
pub use run_records::RecordedAllocation;
pub use splitting::RecordSplit;

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::resources::Resources;
use crate::protocol::users::{JobSpec, JobState, Priority};
use crate::storage::records::{JobRecord, OutcomeRecord, RunRecord};
use crate::types::{Attempt, HostName, JobId, Time, Version};

/// The owner's estimate of a task's run time where only run records of the job are left, in seconds.
const UNKNOWN_ESTIMATE_S: f64 = 30.0;

/// Where a job is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobPhase {
    /// Accepted; its tasks are placed as they can be.
    Active,
    /// All tasks are done; its outcome is to be written.
    Finishing,
    /// Cancelled, or otherwise over in the records. Its allocations remain until they are proven to have ended.
    Cancelled,
    /// Over with nothing allocated; its run records are being deleted.
    GarbageCollecting,
}

/// A replica of a service that does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaOutage {
    /// Since when it does not run.
    pub since: Time,
    /// Why, for the log.
    pub cause: &'static str,
}

/// A job as the leader knows it. Only [`super::ClusterState`] hands out jobs, and only to read.
#[derive(Debug)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// Its description; `None` once it is over and only run records are left.
    pub spec: Option<Box<JobSpec>>,
    /// Version of its record, which orders jobs by their arrival.
    pub record_version: Version,
    /// Time of day of its submission, in milliseconds.
    pub submitted_at_ms: u64,
    /// Team whose quota applies.
    pub team: String,
    /// What each of its tasks takes.
    pub task_resources: Resources,
    /// Where it is in its life.
    pub phase: JobPhase,
    /// When its cancellation became known to this leader.
    pub cancelled_at: Option<Time>,
    /// How many tasks it has.
    pub task_count: u32,
    /// How many of its tasks are done.
    pub done_count: u32,
    /// How many of its tasks are allocated.
    pub allocated_count: u32,

    /// How many tasks share a run record.
    pub tasks_per_record: u32,
    /// The tasks by run record; `None` while nothing of a record was ever allocated.
    pub chunks: Vec<Option<Box<Chunk>>>,
    /// Tasks from here on were never allocated.
    first_never_allocated: u32,
    /// The other tasks that wait: they were allocated before.
    retry_queue: BTreeSet<u32>,

    /// Its tasks wait until then, after failures.
    pub retry_not_before: Time,
    /// Failures since a task last ran well.
    pub consecutive_failures: u32,
    /// Hosts on which a task failed.
    pub failed_hosts: BTreeSet<HostName>,
    /// Replicas of a service that ran and do not any more.
    pub replica_outages: BTreeMap<u32, ReplicaOutage>,

    /// The split of its run records into smaller ones, while one is under way.
    pub record_split: Option<RecordSplit>,
    /// Run records of a split that never came into force, and their versions.
    pub abandoned_records: BTreeMap<u32, Version>,
    /// Its outcome, while that stands in the place of its description and is yet to be moved to the archive.
    pub unarchived_outcome: Option<OutcomeRecord>,
}

impl Job {
    /// A job of which nothing is allocated.
    pub fn new(record: JobRecord, record_version: Version) -> Job {
        let JobRecord {
            spec,
            submitted_at_ms,
            tasks_per_record,
        } = record;
        let tasks_per_record = tasks_per_record.max(1);
        let id = spec.id;
        let task_count = spec.tasks as u32;
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

    /// A job of which only run records are left: it was cancelled under an earlier leader.
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

    /// A job that an earlier leader finished, whose records are not deleted yet.
    pub(super) fn finished_earlier(
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
            consecutive_failures: 0,
            failed_hosts: BTreeSet::new(),
            replica_outages: BTreeMap::new(),
            record_split: None,
            abandoned_records: BTreeMap::new(),
            unarchived_outcome: None,
        }
    }

    /// The outcome that is recorded once all its tasks are done.
    pub(super) fn outcome(&self) -> OutcomeRecord {
        OutcomeRecord {
            state: JobState::Done,
            tasks: u64::from(self.task_count),
        }
    }

    /// Its outcome is written in the place of its description, at that version.
    pub(super) fn on_outcome_written(&mut self, record_version: Version) {
        self.record_version = record_version;
        self.unarchived_outcome = Some(self.outcome());
    }

    /// A run record of it is deleted.
    pub(super) fn on_run_record_deleted(&mut self, number: u32) {
        self.abandoned_records.remove(&number);
        if let Some(chunk) = self.chunks.get_mut(number as usize) {
            *chunk = None;
        }
    }

    /// Whether it is over and nothing is left of it in the records but its archived outcome.
    pub(super) fn is_deleted(&self) -> bool {
        let mut chunks = self.chunks.iter().flatten();
        self.phase == JobPhase::GarbageCollecting
            && self.unarchived_outcome.is_none()
            && self.abandoned_records.is_empty()
            && chunks.all(|chunk| !chunk.may_have_record())
    }

    /// The one place where the phase changes.
    pub(super) fn set_phase(&mut self, phase: JobPhase, now: Time) {
        tracing::debug!("{}: {:?} -> {phase:?}", self.id, self.phase);
        self.phase = phase;
        if phase == JobPhase::Cancelled {
            self.cancelled_at.get_or_insert(now);
        }
    }

    /// Its priority; normal where only run records are left.
    pub fn priority(&self) -> Priority {
        self.spec
            .as_ref()
            .map_or(Priority::Normal, |spec| spec.priority)
    }

    /// Whether its tasks are replicas that run until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.as_ref().is_some_and(|spec| spec.is_service())
    }

    /// How many tasks wait to be allocated.
    pub fn waiting_count(&self) -> u32 {
        if self.phase == JobPhase::Active {
            self.retry_queue.len() as u32 + (self.task_count - self.first_never_allocated)
        } else {
            0
        }
    }

    /// How many tasks may be allocated now. A job that fails everywhere is tried one task at a time: all of them would
    /// take hosts, and fetch images, only to fail again. Where others of its tasks run on, it may have met faulty hosts
    /// only.
    pub fn schedulable_count(&self) -> u32 {
        if self.fails_everywhere() && self.allocated_count == 0 {
            self.waiting_count().min(1)
        } else {
            self.waiting_count()
        }
    }

    /// The waiting task that is allocated next.
    pub fn next_waiting_task(&self) -> Option<u32> {
        let untouched =
            (self.first_never_allocated < self.task_count).then_some(self.first_never_allocated);
        self.retry_queue.first().copied().or(untouched)
    }

    /// Number of the run record that holds the task.
    pub fn record_number_of(&self, index: u32) -> u32 {
        index / self.tasks_per_record
    }

    /// The tasks of a run record; `None` if none of them was ever allocated.
    pub fn chunk(&self, number: u32) -> Option<&Chunk> {
        self.chunks.get(number as usize)?.as_deref()
    }

    pub(in crate::coordination::cluster) fn chunk_mut(
        &mut self,
        number: u32,
    ) -> Option<&mut Chunk> {
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

    /// State of a task; `None` if nothing of its run record was ever allocated.
    pub fn task_state(&self, index: u32) -> Option<&TaskState> {
        let chunk = self.chunk(self.record_number_of(index))?;
        chunk.tasks().get(self.offset_in_chunk(index))
    }

    fn offset_in_chunk(&self, index: u32) -> usize {
        (index % self.tasks_per_record) as usize
    }

    /// The one place where a task changes its state. Returns the change of its run record, which has to be written;
    /// `None`, with nothing changed, if there is no such task or it is done.
    pub(super) fn set_task(&mut self, index: u32, state: TaskState) -> Option<RecordChange> {
        let record = self.record_number_of(index);
        let (length, offset) = (self.chunk_length(record), self.offset_in_chunk(index));
        let slot = self.chunks.get_mut(record as usize)?;
        let chunk = slot.get_or_insert_with(|| Box::new(Chunk::never_allocated(length)));
        let before = chunk.replace_task(offset, state.clone())?;
        let count = chunk.change_count;
        match before {
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
            record_number: record,
            change_count: count,
        })
    }

    /// The hosts that its tasks are allocated to, one for each task.
    pub fn allocated_hosts(&self) -> impl Iterator<Item = &HostName> {
        let some = if self.allocated_count > 0 {
            &self.chunks[..]
        } else {
            &[]
        };
        let holding = some.iter().flatten().filter(|c| c.has_allocations());
        let tasks = holding.flat_map(|c| c.tasks());
        tasks.filter_map(|t| match t {
            TaskState::Allocated { host, .. } => Some(host),
            TaskState::Waiting { .. } | TaskState::Done => None,
        })
    }

    /// The last attempt at a task; 0 if there was none.
    pub fn last_attempt(&self, index: u32) -> Attempt {
        match self.task_state(index) {
            Some(TaskState::Waiting { last_attempt: last }) => *last,
            Some(TaskState::Allocated { attempt, .. }) => *attempt,
            Some(TaskState::Done) | None => Attempt(0),
        }
    }

    /// The owner's estimate of a task's run time, in seconds.
    pub fn estimated_run_s(&self) -> f64 {
        self.spec
            .as_ref()
            .map_or(UNKNOWN_ESTIMATE_S, |spec| spec.estimate_s.0.max(1.0))
    }

    /// When it should be complete, in milliseconds of the time of day. A service has no deadline.
    pub fn deadline_ms(&self) -> Option<f64> {
        let spec = self.spec.as_ref().filter(|spec| !spec.is_service())?;
        spec.deadline_s
            .map(|d| self.submitted_at_ms as f64 + d.0 * 1000.0)
    }

    /// Seconds from that time of day until it is due; negative once it is overdue.
    pub fn time_to_deadline_s(&self, day_ms: u64) -> Option<f64> {
        self.deadline_ms().map(|due| (due - day_ms as f64) / 1000.0)
    }

    /// Whether it would miss its deadline even with all of these CPUs to itself from now on, if its tasks run for
    /// `run_s` seconds each.
    pub fn will_miss_deadline(&self, run_s: f64, cpus: f64, day_ms: u64) -> bool {
        let work = f64::from(self.waiting_count()) * self.task_resources.cpus * run_s;
        let last_start = if cpus > 0.0 { work / cpus } else { 0.0 };
        let end = day_ms as f64 + (last_start + run_s) * 1000.0;
        self.deadline_ms().is_some_and(|due| end > due)
    }
}
