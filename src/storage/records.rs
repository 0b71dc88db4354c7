//! The records and their keys.
//!
//! | key | holds |
//! | --- | --- |
//! | `live/<job>` | an accepted job that is neither done nor cancelled, or got done a while ago |
//! | `run/<job>/<chunk>` | allocations, attempts and finished tasks of one run of tasks |
//! | `over/<job>` | the final state, for ever |
//! | `lead/holder`, `lead/term` | who leads, and the highest term |
//! | `types` | the machine types as last seen |

use ciborium::Value;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobSpec, JobState};
use crate::types::{Attempt, HostName, Incarnation, JobId, LeaseId, Term};

/// Prefix of jobs that are not over, and of final states that are not archived yet.
pub const LIVE_PREFIX: &str = "live/";
/// Prefix of run records.
pub const RUN_PREFIX: &str = "run/";
/// Prefix of the keys about leadership.
pub const LEADERSHIP_PREFIX: &str = "lead/";
/// Key of the leader; it hangs on the leader's lease.
pub const LEADER_KEY: &str = "lead/holder";
/// Key of the highest term.
pub const TERM_KEY: &str = "lead/term";
/// Key of the machine types.
pub const MACHINE_TYPES_KEY: &str = "types";

/// Key of a job that is not over.
pub fn live_key(job: JobId) -> String {
    format!("{LIVE_PREFIX}{job}")
}

/// Key of a job's archived final state.
pub fn outcome_key(job: JobId) -> String {
    format!("over/{job}")
}

/// Prefix of a job's run records.
pub fn run_prefix(job: JobId) -> String {
    format!("{RUN_PREFIX}{job}/")
}

/// Names a run record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunRecordId {
    /// The job.
    pub job: JobId,
    /// Number of the record within its job.
    pub number: u32,
}

/// Key of a run record.
pub fn run_key(id: RunRecordId) -> String {
    format!("{RUN_PREFIX}{}/{:05}", id.job, id.number)
}

/// The job of a key below [`LIVE_PREFIX`].
pub fn parse_live_key(key: &str) -> Option<JobId> {
    JobId::parse(key.strip_prefix(LIVE_PREFIX)?)
}

/// The run record of a key below [`RUN_PREFIX`].
pub fn parse_run_key(key: &str) -> Option<RunRecordId> {
    let (job, number) = key.strip_prefix(RUN_PREFIX)?.split_once('/')?;
    Some(RunRecordId {
        job: JobId::parse(job)?,
        number: number.parse().ok()?,
    })
}

/// An accepted job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobRecord {
    /// As its user described it.
    pub spec: JobSpec,
    /// Time of day of the submission, in milliseconds.
    #[serde(rename = "at_ms")]
    pub submitted_at_ms: u64,
    /// How many tasks share a chunk record.
    #[serde(rename = "chunk")]
    pub tasks_per_record: u32,
}

impl JobRecord {
    /// Leaves out the allowed machine types that the cloud does not offer, if the record is larger than
    /// that with them: nothing can run on those.
    pub fn remove_unavailable_machine_types(&mut self, max_value: usize, offered: &[MachineType]) {
        if json_size(self) <= max_value {
            return;
        }
        if let Some(allowed) = &mut self.spec.allowed_machine_types {
            allowed.retain(|name| offered.iter().any(|offer| offer.name == *name));
        }
    }
}

/// The final state of a job.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// Done or cancelled.
    pub state: JobState,
    /// How many tasks it had, if it is done.
    pub tasks: u64,
}

/// A job that got done, until its record is moved from `live/` to `over/`: that takes more changes,
/// and can wait until the budget has some to spare.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct UnarchivedOutcome {
    /// The final state.
    #[serde(rename = "over")]
    pub outcome: OutcomeRecord,
}

/// The final state, if this is the record of a job that is over.
pub fn unarchived_outcome(value: &Value) -> Option<OutcomeRecord> {
    let fields = value.as_map()?;
    let is_over = |(key, _): &&(Value, Value)| key.as_text() == Some("over");
    let (_, over) = fields.iter().find(is_over)?;
    over.deserialized().ok()
}

/// Who leads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the controller.
    pub node: String,
    /// Random for every start of a process: the same node after a restart is another holder.
    pub incarnation: u64,
    /// The lease that the key hangs on.
    pub lease: LeaseId,
    /// The leader's term.
    pub term: Term,
}

/// The highest term that was ever won.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct TermRecord {
    /// The term.
    pub term: Term,
}

/// Allocations, attempts and finished tasks of a range of a job's tasks. The stored names are short, as the size of a value
/// is limited.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Number of the first task of the range.
    #[serde(rename = "first")]
    pub first_task: u32,
    /// How many tasks each run record of this job holds, but for the last.
    #[serde(rename = "size")]
    pub tasks_per_record: u32,
    /// Team of the job, as the description of a cancelled job is gone.
    pub team: String,
    /// CPUs of a task.
    pub cpus: f64,
    /// GPUs of a task.
    pub gpus: f64,
    /// Memory of a task in GB.
    #[serde(rename = "mem")]
    pub memory_gb: f64,
    /// Finished tasks.
    #[serde(rename = "done", default)]
    pub finished: Vec<FinishedRange>,
    /// Tasks that are allocated to a host.
    #[serde(rename = "booked", default)]
    pub allocations: Vec<AllocationEntry>,
    /// Waiting tasks of which there were attempts.
    #[serde(rename = "tried", default)]
    pub attempted: Vec<AttemptedEntry>,
    /// In the first record of a job with several: what the others hold.
    #[serde(rename = "rest", default)]
    pub other_records: TaskCounts,
}

/// Finished tasks next to each other. Stored as a list: offset of the first in the record's range, count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FinishedRange {
    /// Offset of the first in the record's range.
    pub first: u32,
    /// How many there are.
    pub count: u32,
}

/// A task that is allocated to a host. Stored as a list: offset, attempt, host, incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllocationEntry {
    /// Offset of the task in the record's range.
    pub offset: u32,
    /// Which attempt it is.
    pub attempt: Attempt,
    /// The host.
    pub host: HostName,
    /// Incarnation of the worker that the attempt is meant for.
    pub incarnation: Incarnation,
}

/// A waiting task of which there were attempts. Stored as a list: offset, last attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptedEntry {
    /// Offset of the task in the record's range.
    pub offset: u32,
    /// The last attempt.
    pub last_attempt: Attempt,
}

/// How many tasks are done and allocated. Stored as a list: done, allocated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Tasks that are done.
    pub done: u64,
    /// Tasks that are allocated to a host.
    pub allocated: u64,
}

/// Stores a struct as a list of its fields, in this order.
macro_rules! stored_as_list {
    ($name:ident: $($field:ident),+) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                ($(&self.$field,)+).serialize(serializer)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let ($($field,)+) = Deserialize::deserialize(deserializer)?;
                Ok($name { $($field),+ })
            }
        }
    };
}

stored_as_list!(FinishedRange: first, count);
stored_as_list!(AllocationEntry: offset, attempt, host, incarnation);
stored_as_list!(AttemptedEntry: offset, last_attempt);
stored_as_list!(TaskCounts: done, allocated);

/// Usual bytes of a run record without entries, and of each kind of entry.
const USUAL_BYTES: EntryBytes = EntryBytes {
    record: 200,
    allocation: 48,
    attempted: 14,
    finished: 12,
};
/// The most bytes of a run record without entries, and of each kind of entry: numbers of up to 20 digits where there may be
/// such, with commas and brackets. Names come on top.
const MAX_BYTES: EntryBytes = EntryBytes {
    record: 400,
    allocation: 60,
    attempted: 36,
    finished: 24,
};

struct EntryBytes {
    record: usize,
    allocation: usize,
    attempted: usize,
    finished: usize,
}

impl RunRecord {
    /// How many tasks of the range are done.
    pub fn done_count(&self) -> u64 {
        let ranges = self.finished.iter();
        ranges.map(|range| u64::from(range.count)).sum()
    }

    /// About its size in bytes, with names of hosts, attempts and incarnations of usual length.
    pub fn estimated_size_bytes(&self) -> usize {
        self.size_of_entries(&USUAL_BYTES)
    }

    /// Whether the record surely has no more bytes than that. Where this returns false, it has to be measured.
    pub fn fits_by_upper_bound(&self, max_bytes: usize) -> bool {
        let hosts = self.allocations.iter();
        let host_names: usize = hosts.map(|entry| entry.host.as_str().len()).sum();
        // Each character of a team's name may need two.
        let names = self.team.len() * 2 + host_names;
        self.size_of_entries(&MAX_BYTES) + names <= max_bytes
    }

    fn size_of_entries(&self, bytes: &EntryBytes) -> usize {
        bytes.record
            + self.allocations.len() * bytes.allocation
            + self.attempted.len() * bytes.attempted
            + self.finished.len() * bytes.finished
    }
}

pub use lichencrank_store::json_size;

/// Bytes of a run record without entries, and of each task in it, with names of usual length, where some tasks are allocated
/// and others done or attempted.
const RECORD_BYTES: f64 = 350.0;
const TASK_BYTES: f64 = 27.0;
/// The most tasks of a run record.
const MAX_TASKS_PER_RECORD: f64 = 256.0;

/// How many tasks a run record holds so that it stays below that many KiB with names of usual length. One that does not is
/// split.
pub fn tasks_per_record(value_kb: f64) -> u32 {
    ((value_kb * 1024.0 - RECORD_BYTES) / TASK_BYTES).clamp(1.0, MAX_TASKS_PER_RECORD) as u32
}
