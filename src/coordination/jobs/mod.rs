//! Jobs as the leader knows them: which tasks wait, which are booked where, which are done.

mod run_records;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::resources::Resources;
use crate::protocol::users::{JobSpec, JobState, Priority};
use crate::storage::records::{JobRecord, OverRecord, RunRecord};
use crate::types::{Attempt, HostName, Incarnation, JobId, Time, Version};

/// A replica that has run for so long is well.
pub const SETTLED: Duration = Duration::from_secs(20);
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
    /// Cancelled, or otherwise over in the records; bookings remain until they are proven ended.
    Cancelled,
    /// Over with nothing booked; its run records are swept up.
    GarbageCollected,
}

/// A split of a job's run records, see [`crate::storage::record_split`].
#[derive(Clone, Debug, Default)]
pub struct RecordSplit {
    /// So many numbers the old records had.
    pub old_count: u32,
    /// New records that are written already, and up to which change; and those of the last step.
    pub prepared: BTreeMap<u32, u64>,
    /// Records that the last step writes, and up to which change.
    pub last: BTreeMap<u32, u64>,
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
    Booked {
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
    booked: u32,
    /// The version of its record; 0 while there is none.
    pub version: Version,
    /// Counts changes, and says up to which one the record is known to be written.
    pub changes: u64,
    /// The last change that is known to be written.
    pub written: u64,
    /// A lost answer left the record's version unknown; it must be read first.
    pub version_unknown: bool,
}

impl Chunk {
    /// Tasks whose record has that version and holds that change.
    pub fn new(tasks: Vec<TaskState>, version: Version, changes: u64) -> Chunk {
        let is_booked = |t: &&TaskState| matches!(t, TaskState::Booked { .. });
        Chunk {
            booked: tasks.iter().filter(is_booked).count() as u32,
            tasks,
            version,
            changes,
            written: 0,
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
    pub live: Version,
    /// Time of day of its submission, in milliseconds.
    pub at_ms: u64,
    /// Team whose limit applies.
    pub team: String,
    /// What each task takes.
    pub need: Resources,
    /// Where it is in its life.
    pub phase: JobPhase,
    /// How many tasks share a run record.
    pub tasks_per_record: u32,
    /// Its run records; `None` while nothing of one was ever booked.
    pub chunks: Vec<Option<Box<Chunk>>>,
    /// Tasks from here on have never been touched.
    fresh: u32,
    retry: BTreeSet<u32>,
    /// How many tasks it has.
    pub total: u32,
    /// How many are done.
    pub done: u32,
    /// How many are booked.
    pub booked: u32,
    /// Its tasks wait until then, after failures.
    pub not_before: Time,
    /// How long its finished tasks ran, in all, and how many they are.
    pub ran: (f64, f64),
    /// Failures since a task last ran well.
    pub failures: u32,
    /// Machines on which a task failed.
    pub failed_on: BTreeSet<HostName>,
    /// When its cancellation became known here.
    pub cancelled_at: Option<Time>,
    /// Replicas of a service that don't run: since when, and why.
    pub gaps: BTreeMap<u32, (Time, &'static str)>,
    /// Its run records are being split into smaller ones.
    pub record_split: Option<RecordSplit>,
    /// Run records of a split that never came into force, and their versions.
    pub beyond: BTreeMap<u32, Version>,
    /// It got done, and its final record still stands in the place of its description.
    pub to_archive: Option<OverRecord>,
}

impl Job {
    /// A job of which nothing is booked.
    pub fn new(record: JobRecord, live: Version) -> Job {
        let JobRecord { spec, at_ms, chunk } = record;
        let tasks_per_record = chunk.max(1);
        let total = spec.tasks as u32;
        Job {
            id: spec.id,
            live,
            at_ms,
            team: spec.team.clone(),
            need: Resources {
                cpus: spec.cpus.0,
                gpus: spec.gpus.0,
                memory_gb: spec.memory_gb.0,
            },
            phase: JobPhase::Active,
            tasks_per_record,
            chunks: (0..total.div_ceil(tasks_per_record))
                .map(|_| None)
                .collect(),
            fresh: 0,
            retry: BTreeSet::new(),
            total,
            done: 0,
            booked: 0,
            not_before: Time::default(),
            ran: (0.0, 0.0),
            failures: 0,
            failed_on: BTreeSet::new(),
            cancelled_at: None,
            gaps: BTreeMap::new(),
            record_split: None,
            beyond: BTreeMap::new(),
            to_archive: None,
            spec: Some(Box::new(spec)),
        }
    }

    /// A job of which only run records are left: it was cancelled under an earlier leader.
    pub fn orphan(id: JobId, record: &RunRecord, now: Time) -> Job {
        Job {
            id,
            spec: None,
            live: Version(0),
            at_ms: 0,
            team: record.team.clone(),
            need: Resources {
                cpus: record.cpus,
                gpus: record.gpus,
                memory_gb: record.mem,
            },
            phase: JobPhase::Cancelled,
            tasks_per_record: record.size.max(1),
            chunks: Vec::new(),
            fresh: 0,
            retry: BTreeSet::new(),
            total: 0,
            done: 0,
            booked: 0,
            not_before: Time::default(),
            ran: (0.0, 0.0),
            failures: 0,
            failed_on: BTreeSet::new(),
            cancelled_at: Some(now),
            gaps: BTreeMap::new(),
            record_split: None,
            beyond: BTreeMap::new(),
            to_archive: None,
        }
    }

    /// A job that got done under an earlier leader, whose records are not swept up yet.
    pub fn done_before(id: JobId, over: OverRecord, live: Version, now: Time) -> Job {
        let mut job = Job::orphan(id, &RunRecord::default(), now);
        job.phase = JobPhase::GarbageCollected;
        job.cancelled_at = None;
        job.live = live;
        job.to_archive = Some(over);
        job
    }

    /// What its final record says.
    pub fn outcome(&self) -> OverRecord {
        OverRecord {
            state: JobState::Done,
            tasks: u64::from(self.total),
        }
    }

    /// Its final record is written, at that version.
    pub fn finished(&mut self, live: Version) {
        self.live = live;
        self.to_archive = Some(self.outcome());
    }

    /// Its priority; normal where only run records are left.
    pub fn priority(&self) -> Priority {
        self.spec.as_ref().map_or(Priority::Normal, |s| s.priority)
    }

    /// The one place where a job changes its phase.
    pub fn enter(&mut self, phase: JobPhase, now: Time) {
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
    pub fn replica_ended(&mut self, ran: Duration, now: Time) {
        if ran >= SETTLED {
            self.failures = 0;
            self.failed_on.clear();
            return;
        }
        self.failures += 1;
        let pause = REPLICA_PAUSE * 2u32.pow(self.failures.min(8) - 1);
        self.not_before = now.after(pause.min(LONGEST_PAUSE));
    }

    fn chunk_length(&self, number: u32) -> u32 {
        if self.spec.is_none() {
            return self.tasks_per_record;
        }
        let first = number * self.tasks_per_record;
        self.tasks_per_record.min(self.total.saturating_sub(first))
    }

    /// Number of the run record that holds the task.
    pub fn chunk_of(&self, index: u32) -> u32 {
        index / self.tasks_per_record
    }

    /// How many tasks wait.
    pub fn waiting(&self) -> u32 {
        if self.phase == JobPhase::Active {
            self.retry.len() as u32 + (self.total - self.fresh)
        } else {
            0
        }
    }

    /// How many tasks may be placed now. Of a job that fails wherever it is tried one at a time is: all
    /// of them would take machines, and fetch images, only to fail again. Where others of its tasks run
    /// on, it may have met sick machines only.
    pub fn placeable(&self) -> u32 {
        if self.suspect() && self.booked == 0 {
            self.waiting().min(1)
        } else {
            self.waiting()
        }
    }

    /// The waiting task that is placed next.
    pub fn first_waiting(&self) -> Option<u32> {
        let fresh = (self.fresh < self.total).then_some(self.fresh);
        self.retry.first().copied().or(fresh)
    }

    /// State of a task; `None` if nothing of its record was ever booked.
    pub fn task(&self, index: u32) -> Option<&TaskState> {
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
            TaskState::Waiting { .. } if index == self.fresh => self.fresh += 1,
            TaskState::Waiting { .. } => {
                self.retry.remove(&index);
            }
            TaskState::Booked { .. } => {
                self.booked -= 1;
                chunk.booked -= 1;
            }
            // Done is for ever.
            TaskState::Done => return None,
        }
        match &state {
            TaskState::Waiting { .. } => {
                self.retry.insert(index);
            }
            TaskState::Booked { .. } => {
                self.booked += 1;
                chunk.booked += 1;
            }
            TaskState::Done => self.done += 1,
        }
        *task = state;
        chunk.changes += 1;
        Some(number)
    }

    /// The machines that hold its tasks.
    pub fn booked_hosts(&self) -> impl Iterator<Item = &HostName> {
        let some = if self.booked > 0 {
            &self.chunks[..]
        } else {
            &[]
        };
        let holding = some.iter().flatten().filter(|c| c.booked > 0);
        let tasks = holding.flat_map(|c| &c.tasks);
        tasks.filter_map(|t| match t {
            TaskState::Booked { host, .. } => Some(host),
            TaskState::Waiting { .. } | TaskState::Done => None,
        })
    }

    /// The last attempt at a task.
    pub fn last_attempt(&self, index: u32) -> Attempt {
        match self.task(index) {
            Some(TaskState::Waiting { last }) => *last,
            Some(TaskState::Booked { attempt, .. }) => *attempt,
            Some(TaskState::Done) | None => Attempt(0),
        }
    }

    /// The owner's estimate of a task's run time, in seconds.
    pub fn estimate(&self) -> f64 {
        self.spec.as_ref().map_or(30.0, |s| s.estimate_s.0.max(1.0))
    }

    /// When it should be complete, by the time of day. A service has no end, so none is late.
    pub fn due_ms(&self) -> Option<f64> {
        let spec = self.spec.as_ref().filter(|spec| !spec.is_service())?;
        spec.deadline_s.map(|d| self.at_ms as f64 + d.0 * 1000.0)
    }

    /// Even with all of these CPUs to itself from now on it would miss its deadline.
    pub fn is_late(&self, run_s: f64, cpus: f64, day_ms: u64) -> bool {
        let work = f64::from(self.waiting()) * self.need.cpus * run_s;
        let last_start = if cpus > 0.0 { work / cpus } else { 0.0 };
        let end = day_ms as f64 + (last_start + run_s) * 1000.0;
        self.due_ms().is_some_and(|due| end > due)
    }

    /// A task failed: the job waits longer each time, but is never given up.
    pub fn failed(&mut self, host: &HostName, now: Time) {
        self.failures += 1;
        self.failed_on.insert(host.clone());
        if self.suspect() {
            let pause = Duration::from_secs(1) * 2u32.pow(self.failures.min(9).saturating_sub(4));
            self.not_before = now.after(pause.min(LONGEST_PAUSE));
        }
    }

    /// Fails wherever it is tried and never succeeded: most likely the job's own mistake.
    pub fn suspect(&self) -> bool {
        self.done == 0 && self.failed_on.len() >= 3
    }
}
