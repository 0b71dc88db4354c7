//! The records that the scheduler stores in the state service, and their keys.
//!
//! | key | value |
//! | --- | --- |
//! | `live/<job>` | an accepted job that is neither done nor cancelled, or a done job's outcome until it is archived |
//! | `run/<job>/<number>` | allocations, attempts and finished tasks of a range of the job's tasks |
//! | `over/<job>` | the archived outcome of a job, which is never deleted |
//! | `lead/holder`, `lead/term` | the current leader, and the highest term so far |
//! | `types` | the machine types that the cloud last listed |

use ciborium::Value;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobSpec, JobState};
use crate::types::{Attempt, HostName, Incarnation, JobId, LeaseId, Term};

/// Key prefix of active jobs, and of outcomes that are not archived yet.
pub const LIVE_PREFIX: &str = "live/";
/// Key prefix of run records.
pub const RUN_PREFIX: &str = "run/";
/// Key prefix of the leadership records.
pub const LEADERSHIP_PREFIX: &str = "lead/";
/// Key of the current leader's record. It is attached to the leader's lease, so it is deleted when the lease expires.
pub const LEADER_KEY: &str = "lead/holder";
/// Key of the highest term so far.
pub const TERM_KEY: &str = "lead/term";
/// Key of the machine types.
pub const MACHINE_TYPES_KEY: &str = "types";

/// Key of an active job, or of its outcome until that is archived.
pub fn live_key(job: JobId) -> String {
    format!("{LIVE_PREFIX}{job}")
}

/// Key of a job's archived outcome.
pub fn outcome_key(job: JobId) -> String {
    format!("over/{job}")
}

/// Key prefix of a job's run records.
pub fn run_prefix(job: JobId) -> String {
    format!("{RUN_PREFIX}{job}/")
}

/// Identifies a run record.
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

/// The job of a key that begins with [`LIVE_PREFIX`]; `None` for any other key.
pub fn parse_live_key(key: &str) -> Option<JobId> {
    JobId::parse(key.strip_prefix(LIVE_PREFIX)?)
}

/// The run record of a key that begins with [`RUN_PREFIX`]; `None` for any other key.
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
    /// The job's description as its user submitted it.
    pub spec: JobSpec,
    /// Unix time of the submission, in milliseconds.
    #[serde(rename = "at_ms")]
    pub submitted_at_ms: u64,
    /// How many tasks each run record of the job holds, except for the last one.
    #[serde(rename = "chunk")]
    pub tasks_per_record: u32,
}

impl JobRecord {
    /// If the record exceeds the size limit of a value, removes the allowed machine types that the cloud does not
    /// offer, as no task can run on them.
    pub fn remove_unavailable_machine_types(
        &mut self,
        max_value_bytes: usize,
        offered_types: &[MachineType],
    ) {
        if json_size(self) <= max_value_bytes {
            return;
        }
        if let Some(allowed) = &mut self.spec.allowed_machine_types {
            allowed.retain(|name| offered_types.iter().any(|offered| offered.name == *name));
        }
    }
}

/// The outcome of a job.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// The final state: done or cancelled.
    pub state: JobState,
    /// How many tasks the job had, if it is done; 0 if it was cancelled.
    pub tasks: u64,
}

/// The outcome of a done job, stored under its `live/` key. It is moved to the `over/` key later: that takes more
/// changes, and can wait until the write rate limit has capacity to spare.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct UnarchivedOutcome {
    /// The outcome.
    #[serde(rename = "over")]
    pub outcome: OutcomeRecord,
}

/// The outcome in a value that is stored under a `live/` key; `None` if the value is the record of an active job.
pub fn unarchived_outcome(value: &Value) -> Option<OutcomeRecord> {
    let fields = value.as_map()?;
    let is_outcome = |(key, _): &&(Value, Value)| key.as_text() == Some("over");
    let (_, outcome) = fields.iter().find(is_outcome)?;
    outcome.deserialized().ok()
}

/// The current leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leading controller.
    #[serde(rename = "node")]
    pub controller: String,
    /// Random number that each process draws at its start: a controller that has restarted is not the same leader.
    pub incarnation: u64,
    /// The lease that the key is attached to.
    pub lease: LeaseId,
    /// The leader's term.
    pub term: Term,
}

/// The highest term that was ever won.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct TermRecord {
    /// The highest term.
    pub term: Term,
}

/// Allocations, attempts and finished tasks of a range of a job's tasks. The names in the stored form are short, as the
/// size of a value is limited.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Number of the first task of the range.
    #[serde(rename = "first")]
    pub first_task: u32,
    /// How many tasks each run record of this job holds, except for the last one.
    #[serde(rename = "size")]
    pub tasks_per_record: u32,
    /// Team of the job. It is repeated here since the description of a cancelled job is deleted before its run records.
    pub team: String,
    /// CPUs that each task takes.
    pub cpus: f64,
    /// GPUs that each task takes.
    pub gpus: f64,
    /// Memory that each task takes, in GB.
    #[serde(rename = "mem")]
    pub memory_gb: f64,
    /// Ranges of finished tasks.
    #[serde(rename = "done", default)]
    pub finished: Vec<FinishedRange>,
    /// Tasks that are allocated to a host.
    #[serde(rename = "booked", default)]
    pub allocations: Vec<AllocationEntry>,
    /// Waiting tasks that have been attempted before.
    #[serde(rename = "tried", default)]
    pub attempted: Vec<AttemptedEntry>,
    /// In the first record of a job with several: how many tasks are done and allocated in the other records.
    #[serde(rename = "rest", default)]
    pub other_records: TaskCounts,
}

/// A range of consecutive finished tasks. Stored as a list: offset of the first task in the record's range, count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FinishedRange {
    /// Offset of the first task in the record's range.
    pub first: u32,
    /// Number of tasks.
    pub count: u32,
}

/// A task that is allocated to a host. Stored as a list: offset, attempt, host, incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllocationEntry {
    /// Offset of the task in the record's range.
    pub offset: u32,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// The host.
    pub host: HostName,
    /// Incarnation of the worker that the attempt is meant for.
    pub incarnation: Incarnation,
}

/// A waiting task that has been attempted before. Stored as a list: offset, last attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptedEntry {
    /// Offset of the task in the record's range.
    pub offset: u32,
    /// Number of the last attempt.
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

/// Serializes a struct as a list of its fields in the given order, which takes fewer bytes than a map.
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

/// Sizes for names of hosts, attempts and incarnations of typical length.
const TYPICAL_SIZES: EntrySizes = EntrySizes {
    empty_record_bytes: 200,
    allocation_bytes: 48,
    attempted_bytes: 14,
    finished_range_bytes: 12,
};
/// Upper bounds: numbers have up to 20 digits where their type allows it. Commas and brackets are included, names of
/// hosts and teams are not.
const MAX_SIZES: EntrySizes = EntrySizes {
    empty_record_bytes: 400,
    allocation_bytes: 60,
    attempted_bytes: 36,
    finished_range_bytes: 24,
};

/// Sizes in JSON of a run record without entries, and of each kind of entry.
struct EntrySizes {
    empty_record_bytes: usize,
    allocation_bytes: usize,
    attempted_bytes: usize,
    finished_range_bytes: usize,
}

impl RunRecord {
    /// How many tasks of the record's range are done.
    pub fn done_count(&self) -> u64 {
        let ranges = self.finished.iter();
        ranges.map(|range| u64::from(range.count)).sum()
    }

    /// Approximate size in JSON, in bytes, with names of hosts, attempts and incarnations of typical length.
    pub fn estimated_size_bytes(&self) -> usize {
        self.size_from(&TYPICAL_SIZES)
    }

    /// Whether an upper bound of the record's size in JSON is within the limit. If not, the record may still fit, but
    /// it has to be serialized to find out.
    pub fn fits_by_upper_bound(&self, max_bytes: usize) -> bool {
        let allocations = self.allocations.iter();
        let host_name_bytes: usize = allocations.map(|entry| entry.host.as_str().len()).sum();
        // Each character of a team's name may be escaped, which takes two bytes.
        let name_bytes = self.team.len() * 2 + host_name_bytes;
        self.size_from(&MAX_SIZES) + name_bytes <= max_bytes
    }

    fn size_from(&self, sizes: &EntrySizes) -> usize {
        sizes.empty_record_bytes
            + self.allocations.len() * sizes.allocation_bytes
            + self.attempted.len() * sizes.attempted_bytes
            + self.finished.len() * sizes.finished_range_bytes
    }
}

pub use lichencrank_store::json_size;

/// Planned size in JSON of a run record without entries.
const RECORD_OVERHEAD_BYTES: f64 = 350.0;
/// Planned average size in JSON of a task in a run record where some tasks are allocated and others done or attempted,
/// with names of typical length.
const AVERAGE_TASK_BYTES: f64 = 27.0;
/// Upper bound for the number of tasks in a run record.
const MAX_TASKS_PER_RECORD: f64 = 256.0;

/// How many tasks a run record holds so that it stays below the size limit of a value, in KiB, with names of typical
/// length. A record that exceeds the limit nevertheless is split.
pub fn tasks_per_record(max_value_kib: f64) -> u32 {
    ((max_value_kib * 1024.0 - RECORD_OVERHEAD_BYTES) / AVERAGE_TASK_BYTES)
        .clamp(1.0, MAX_TASKS_PER_RECORD) as u32
}
