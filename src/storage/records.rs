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
use serde::{Deserialize, Serialize};

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

/// Key of a job's run record of that number.
pub fn run_key(job: JobId, chunk: u32) -> String {
    format!("{RUN_PREFIX}{job}/{chunk:05}")
}

/// The job of a key below [`LIVE_PREFIX`].
pub fn parse_live_key(key: &str) -> Option<JobId> {
    JobId::parse(key.strip_prefix(LIVE_PREFIX)?)
}

/// The job and the number of a key below [`RUN_PREFIX`].
pub fn parse_run_key(key: &str) -> Option<(JobId, u32)> {
    let (job, chunk) = key.strip_prefix(RUN_PREFIX)?.split_once('/')?;
    Some((JobId::parse(job)?, chunk.parse().ok()?))
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
    pub fn shorten(&mut self, max_value: usize, offered: &[MachineType]) {
        if size(self) <= max_value {
            return;
        }
        if let Some(allowed) = &mut self.spec.machine_types {
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
pub struct ArchivableOutcome {
    /// The final state.
    #[serde(rename = "over")]
    pub outcome: OutcomeRecord,
}

/// The final state, if this is the record of a job that is over.
pub fn outcome_in_place(value: &Value) -> Option<OutcomeRecord> {
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

/// One run of a job's tasks. Short names, as the size of a value is limited.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Index of the first task, and how many tasks the job's chunks hold.
    #[serde(rename = "first")]
    pub first_task: u32,
    /// How many tasks a record of this job holds.
    #[serde(rename = "size")]
    pub tasks_per_record: u32,
    /// What each task takes and from whose limit, as a cancelled job's description is gone.
    pub team: String,
    /// CPUs of a task.
    pub cpus: f64,
    /// GPUs of a task.
    pub gpus: f64,
    /// Memory of a task in GB.
    #[serde(rename = "mem")]
    pub memory_gb: f64,
    /// Finished tasks as (offset, how many).
    #[serde(rename = "done", default)]
    pub finished: Vec<(u32, u32)>,
    /// Tasks that are booked on a machine.
    #[serde(rename = "booked", default)]
    pub allocations: Vec<BookedRecord>,
    /// Waiting tasks that were tried: (offset, last attempt).
    #[serde(default)]
    pub tried: Vec<(u32, Attempt)>,
    /// In the first chunk of a job with several: finished and booked tasks of the others.
    #[serde(rename = "rest", default)]
    pub other_records: (u64, u64),
}

/// (offset, attempt, host, incarnation)
pub type BookedRecord = (u32, Attempt, HostName, Incarnation);

impl RunRecord {
    /// How many tasks are done.
    pub fn done_count(&self) -> u64 {
        self.finished.iter().map(|(_, n)| u64::from(*n)).sum()
    }

    /// About its size, with machine names, attempts and incarnations of usual length.
    pub fn usual_size(&self) -> usize {
        200 + self.allocations.len() * 48 + self.tried.len() * 14 + self.finished.len() * 12
    }

    /// Whether the record surely is no larger than that; where this does not say so, it is measured.
    pub fn surely_fits(&self, most: usize) -> bool {
        // Numbers of up to 20 digits where there may be such, commas and brackets.
        let booked: usize = self
            .allocations
            .iter()
            .map(|b| b.2.as_str().len() + 60)
            .sum();
        let at_most = 400 + self.team.len() * 2 + self.finished.len() * 24 + self.tried.len() * 36;
        at_most + booked <= most
    }
}

pub use lichencrank_store::json_size as size;

/// How many tasks a chunk holds so that its record stays below the limit with machine names, attempts
/// and incarnations of usual length. One that does not is split further.
pub fn tasks_per_record(value_kb: f64) -> u32 {
    ((value_kb * 1024.0 - 350.0) / 27.0).clamp(1.0, 256.0) as u32
}
