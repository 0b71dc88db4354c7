//! Jobs as the leader knows them: which tasks wait, which are booked where, which are done.

mod run_records;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::coordination::resources::Resources;
use crate::protocol::users::{JobSpec, JobState, Priority};
use crate::storage::records::{JobRecord, OutcomeRecord, RunRecord};
use crate::types::{Attempt, HostName, Incarnation, JobId, Time, Version};

/// A replica that has run for so long is well.
pub const REPLICA_STABLE_AFTER: Duration = Duration::from_secs(20);
/// A replica that ended before is started again after this, and after twice as long each time.
const REPLICA_PAUSE: Duration = Duration::from_millis(250);
/// No job waits longer than this after a failure.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// Where a job is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobPhase {
    /// Accepted; its tasks are placed as they can be.
    Active,
    /// All tasks are done; the final record is on its way.
    Finishing,
    /// Cancelled, or otherwise over in the records; allocations remain until they are proven ended.
    Cancelled,
    /// Over with nothing booked; its run records are swept up.
    GarbageCollecting,
}

/// A split of a job's run records, see [`crate::coordination::cluster::record_split`].
#[derive(Clone, Debug, Default)]
pub struct RecordSplit {
    /// So many numbers the old records had.
    pub old_record_count: u32,
    /// New records that are written already, and up to which change; and those of the last step.
    pub prepared_records: BTreeMap<u32, u64>,
    /// Records that the last step writes, and up to which change.
    pub final_records: BTreeMap<u32, u64>,
}

impl Default for TaskState {
    fn default() -> TaskState {
        TaskState::Waiting { last: Attempt(0) }
    }
}

/// State of one task.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskState {
    /// Not placed; attempts up to `last` were used.
    Waiting {
        /// The last attempt that was used; 0 if none was.
        last: Attempt,
    },
    /// It has a place on a machine.
    Allocated {
        /// The machine.
        host: HostName,
        /// Which attempt it is.
        attempt: Attempt,
        /// Incarnation of the worker.
        incarnation: Incarnation,
    },
    /// It completed. Final.
    Done,
}

/// The tasks that share a run record.
#[derive(Debug)]
pub struct Chunk {
    /// States of the tasks.
    pub tasks: Vec<TaskState>,
    /// How many of them are booked.
    allocated: u32,
    /// The version of its record; 0 while there is none.
    pub record_version: Version,
    /// Counts changes, and says up to which one the record is known to be written.
    pub change_count: u64,
    /// The last change that is known to be written.
    pub written_change: u64,
    /// A lost answer left the record's version unknown; it must be read first.
    pub version_unknown: bool,
}

impl Chunk {
    /// Tasks whose record has that version and holds that change.
    pub fn new(tasks: Vec<TaskState>, version: Version, changes: u64) -> Chunk {
        let is_booked = |t: &&TaskState| matches!(t, TaskState::Allocated { .. });
        Chunk {
            allocated: tasks.iter().filter(is_booked).count() as u32,
            tasks,
            record_version: version,
            change_count: changes,
            written_change: 0,
            version_unknown: false,
        }
    }

    /// Nothing of it was ever booked.
    pub fn is_untouched(&self) -> bool {
        self.tasks.iter().all(|t| *t == TaskState::default())
    }
}

/// A job as the leader knows it.
#[derive(Debug)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// Gone once a job is over: then only `need` and `team` are left, from the run records.
    pub spec: Option<Box<JobSpec>>,
    /// Version of the job's record, which commands the arrivals.
    pub record_version: Version,
    /// Time of day of its submission, in milliseconds.
    pub submitted_at_ms: u64,
    /// Team whose limit applies.
    pub team: String,
    /// What each task takes.
    pub task_resources: Resources,
    /// Where it is in its life.
    pub phase: JobPhase,
    /// How many tasks share a run record.
    pub tasks_per_record: u32,
    /// Its run records; `None` while nothing of one was ever booked.
    pub chunks: Vec<Option<Box<Chunk>>>,
    /// Tasks from here on have never been touched.
    first_untouched: u32,
    retry_queue: BTreeSet<u32>,
    /// How many tasks it has.
    pub task_count: u32,
    /// How many are done.
    pub done_count: u32,
    /// How many are booked.
    pub allocated_count: u32,
    /// Its tasks wait until then, after failures.
    pub retry_not_before: Time,
    /// How long its finished tasks ran, in all, and how many they are.
    pub completed_runs: (f64, f64),
    /// Failures since a task last ran well.
    pub failures_in_a_row: u32,
    /// Machines on which a task failed.
    pub failed_hosts: BTreeSet<HostName>,
    /// When its cancellation became known here.
    pub cancelled_at: Option<Time>,
    /// Replicas of a service that don't run: since when, and why.
    pub replica_outages: BTreeMap<u32, (Time, &'static str)>,
    /// Its run records are being split into smaller ones.
    pub record_split: Option<RecordSplit>,
    /// Run records of a split that never came into force, and their versions.
    pub abandoned_records: BTreeMap<u32, Version>,
    /// It got done, and its final record still stands in the place of its description.
    pub unarchived_outcome: Option<OutcomeRecord>,
}

impl Job {
    /// A job of which nothing is booked.
    pub fn new(record: JobRecord, live: Version) -> Job {
        let JobRecord {
            spec,
            submitted_at_ms: at_ms,
            tasks_per_record: chunk,
        } = record;
        let tasks_per_record = chunk.max(1);
        let total = spec.tasks as u32;
        Job {
            id: spec.id,
            record_version: live,
            submitted_at_ms: at_ms,
            team: spec.team.clone(),
            task_resources: Resources {
                cpus: spec.cpus.0,
                gpus: spec.gpus.0,
                memory_gb: spec.memory_gb.0,
            },
            phase: JobPhase::Active,
            tasks_per_record,
            chunks: (0..total.div_ceil(tasks_per_record))
                .map(|_| None)
                .collect(),
            first_untouched: 0,
            retry_queue: BTreeSet::new(),
            task_count: total,
            done_count: 0,
            allocated_count: 0,
            retry_not_before: Time::default(),
            completed_runs: (0.0, 0.0),
            failures_in_a_row: 0,
            failed_hosts: BTreeSet::new(),
            cancelled_at: None,
            replica_outages: BTreeMap::new(),
            record_split: None,
            abandoned_records: BTreeMap::new(),
            unarchived_outcome: None,
            spec: Some(Box::new(spec)),
        }
    }

    /// A job of which only run records are left: it was cancelled under an earlier leader.
    pub fn from_run_record(id: JobId, record: &RunRecord, now: Time) -> Job {
        Job {
            id,
            spec: None,
            record_version: Version(0),
            submitted_at_ms: 0,
            team: record.team.clone(),
            task_resources: Resources {
                cpus: record.cpus,
                gpus: record.gpus,
                memory_gb: record.memory_gb,
            },
            phase: JobPhase::Cancelled,
            tasks_per_record: record.tasks_per_record.max(1),
            chunks: Vec::new(),
            first_untouched: 0,
            retry_queue: BTreeSet::new(),
            task_count: 0,
            done_count: 0,
            allocated_count: 0,
            retry_not_before: Time::default(),
            completed_runs: (0.0, 0.0),
            failures_in_a_row: 0,
            failed_hosts: BTreeSet::new(),
            cancelled_at: Some(now),
            replica_outages: BTreeMap::new(),
            record_split: None,
            abandoned_records: BTreeMap::new(),
            unarchived_outcome: None,
        }
    }

    /// A job that got done under an earlier leader, whose records are not swept up yet.
    pub fn finished_earlier(id: JobId, over: OutcomeRecord, live: Version, now: Time) -> Job {
        let mut job = Job::from_run_record(id, &RunRecord::default(), now);
        job.phase = JobPhase::GarbageCollecting;
        job.cancelled_at = None;
        job.record_version = live;
        job.unarchived_outcome = Some(over);
        job
    }

    /// What its final record says.
    pub fn outcome(&self) -> OutcomeRecord {
        OutcomeRecord {
            state: JobState::Done,
            tasks: u64::from(self.task_count),
        }
    }

    /// Its final record is written, at that version.
    pub fn on_outcome_written(&mut self, live: Version) {
        self.record_version = live;
        self.unarchived_outcome = Some(self.outcome());
    }

    /// Its priority; normal where only run records are left.
    pub fn priority(&self) -> Priority {
        self.spec.as_ref().map_or(Priority::Normal, |s| s.priority)
    }

    /// The one place where a job changes its phase.
    pub fn set_phase(&mut self, phase: JobPhase, now: Time) {
        tracing::debug!("{}: {:?} -> {phase:?}", self.id, self.phase);
        self.phase = phase;
        if phase == JobPhase::Cancelled {
            self.cancelled_at.get_or_insert(now);
        }
    }

    /// Its tasks are replicas without an end.
    pub fn is_service(&self) -> bool {
        self.spec.as_ref().is_some_and(|s| s.is_service())
    }

    /// A replica of a service ended by itself or failed, after it had run for so long. One that kept
    /// running shows that the earlier failures were not the job's own mistake; one that ends at once
    /// is started again after a growing pause.
    pub fn on_replica_ended(&mut self, ran: Duration, now: Time) {
        if ran >= REPLICA_STABLE_AFTER {
            self.failures_in_a_row = 0;
            self.failed_hosts.clear();
            return;
        }
        self.failures_in_a_row += 1;
        let pause = REPLICA_PAUSE * 2u32.pow(self.failures_in_a_row.min(8) - 1);
        self.retry_not_before = now.after(pause.min(LONGEST_PAUSE));
    }

    fn chunk_length(&self, number: u32) -> u32 {
        if self.spec.is_none() {
            return self.tasks_per_record;
        }
        let first = number * self.tasks_per_record;
        self.tasks_per_record
            .min(self.task_count.saturating_sub(first))
    }

    /// Number of the run record that holds the task.
    pub fn chunk_of(&self, index: u32) -> u32 {
        index / self.tasks_per_record
    }

    /// How many tasks wait.
    pub fn waiting_count(&self) -> u32 {
        if self.phase == JobPhase::Active {
            self.retry_queue.len() as u32 + (self.task_count - self.first_untouched)
        } else {
            0
        }
    }

    /// How many tasks may be placed now. Of a job that fails wherever it is tried one at a time is: all
    /// of them would take machines, and fetch images, only to fail again. Where others of its tasks run
    /// on, it may have met sick machines only.
    pub fn schedulable_count(&self) -> u32 {
        if self.fails_everywhere() && self.allocated_count == 0 {
            self.waiting_count().min(1)
        } else {
            self.waiting_count()
        }
    }

    /// The waiting task that is placed next.
    pub fn next_waiting_task(&self) -> Option<u32> {
        let fresh = (self.first_untouched < self.task_count).then_some(self.first_untouched);
        self.retry_queue.first().copied().or(fresh)
    }

    /// State of a task; `None` if nothing of its record was ever booked.
    pub fn task_state(&self, index: u32) -> Option<&TaskState> {
        let chunk = self.chunks.get(self.chunk_of(index) as usize)?.as_ref()?;
        chunk.tasks.get((index % self.tasks_per_record) as usize)
    }

    /// The tasks of a run record.
    pub fn chunk(&self, number: u32) -> Option<&Chunk> {
        self.chunks.get(number as usize)?.as_deref()
    }

    /// The tasks of a run record.
    pub fn chunk_mut(&mut self, number: u32) -> Option<&mut Chunk> {
        self.chunks.get_mut(number as usize)?.as_deref_mut()
    }

    /// The one place where a task changes its state. Returns the chunk that has to be written.
    pub fn set_task(&mut self, index: u32, state: TaskState) -> Option<u32> {
        let number = self.chunk_of(index);
        let length = self.chunk_length(number);
        let slot = self.chunks.get_mut(number as usize)?;
        let chunk = slot.get_or_insert_with(|| {
            let tasks = vec![TaskState::default(); length as usize];
            Box::new(Chunk::new(tasks, Version(0), 0))
        });
        let task = chunk
            .tasks
            .get_mut((index % self.tasks_per_record) as usize)?;
        match task {
            TaskState::Waiting { .. } if index == self.first_untouched => self.first_untouched += 1,
            TaskState::Waiting { .. } => {
                self.retry_queue.remove(&index);
            }
            TaskState::Allocated { .. } => {
                self.allocated_count -= 1;
                chunk.allocated -= 1;
            }
            // Done is for ever.
            TaskState::Done => return None,
        }
        match &state {
            TaskState::Waiting { .. } => {
                self.retry_queue.insert(index);
            }
            TaskState::Allocated { .. } => {
                self.allocated_count += 1;
                chunk.allocated += 1;
            }
            TaskState::Done => self.done_count += 1,
        }
        *task = state;
        chunk.change_count += 1;
        Some(number)
    }

    /// The machines that hold its tasks.
    pub fn allocated_hosts(&self) -> impl Iterator<Item = &HostName> {
        let some = if self.allocated_count > 0 {
            &self.chunks[..]
        } else {
            &[]
        };
        let holding = some.iter().flatten().filter(|c| c.allocated > 0);
        let tasks = holding.flat_map(|c| &c.tasks);
        tasks.filter_map(|t| match t {
            TaskState::Allocated { host, .. } => Some(host),
            TaskState::Waiting { .. } | TaskState::Done => None,
        })
    }

    /// The last attempt at a task.
    pub fn last_attempt(&self, index: u32) -> Attempt {
        match self.task_state(index) {
            Some(TaskState::Waiting { last }) => *last,
            Some(TaskState::Allocated { attempt, .. }) => *attempt,
            Some(TaskState::Done) | None => Attempt(0),
        }
    }

    /// The owner's estimate of a task's run time, in seconds.
    pub fn estimated_run_s(&self) -> f64 {
        self.spec.as_ref().map_or(30.0, |s| s.estimate_s.0.max(1.0))
    }

    /// When it should be complete, by the time of day. A service has no end, so none is late.
    pub fn due_ms(&self) -> Option<f64> {
        let spec = self.spec.as_ref().filter(|spec| !spec.is_service())?;
        spec.deadline_s
            .map(|d| self.submitted_at_ms as f64 + d.0 * 1000.0)
    }

    /// Seconds from that time of day until it is due; negative once it is overdue.
    pub fn due_in_s(&self, day_ms: u64) -> Option<f64> {
        self.due_ms().map(|due| (due - day_ms as f64) / 1000.0)
    }

    /// Even with all of these CPUs to itself from now on it would miss its deadline.
    pub fn will_miss_deadline(&self, run_s: f64, cpus: f64, day_ms: u64) -> bool {
        let work = f64::from(self.waiting_count()) * self.task_resources.cpus * run_s;
        let last_start = if cpus > 0.0 { work / cpus } else { 0.0 };
        let end = day_ms as f64 + (last_start + run_s) * 1000.0;
        self.due_ms().is_some_and(|due| end > due)
    }

    /// A task failed: the job waits longer each time, but is never given up.
    pub fn on_task_failed(&mut self, host: &HostName, now: Time) {
        self.failures_in_a_row += 1;
        self.failed_hosts.insert(host.clone());
        if self.fails_everywhere() {
            let pause =
                Duration::from_secs(1) * 2u32.pow(self.failures_in_a_row.min(9).saturating_sub(4));
            self.retry_not_before = now.after(pause.min(LONGEST_PAUSE));
        }
    }

    /// Fails wherever it is tried and never succeeded: most likely the job's own mistake.
    pub fn fails_everywhere(&self) -> bool {
        self.done_count == 0 && self.failed_hosts.len() >= 3
    }
}
