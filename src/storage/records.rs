//! The records and their keys.
//!
//! | key | holds |
//! | --- | --- |
//! | `live/<job>` | an accepted job that is neither done nor cancelled, or got done a while ago |
//! | `run/<job>/<chunk>` | bookings, attempts and finished tasks of one run of tasks |
//! | `over/<job>` | the final state, for ever |
//! | `lead/holder`, `lead/term` | who leads, and the highest term |
//! | `types` | the machine types as last seen |

use ciborium::Value;
use serde::{Deserialize, Serialize};

use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobSpec, JobState};
use crate::types::{Attempt, HostName, JobId, LeaseId, Session, Term};

pub const LIVE: &str = "live/";
pub const RUN: &str = "run/";
pub const LEAD: &str = "lead/";
pub const HOLDER: &str = "lead/holder";
pub const TERM: &str = "lead/term";
pub const TYPES: &str = "types";

pub fn live_key(job: JobId) -> String {
    format!("{LIVE}{job}")
}

pub fn over_key(job: JobId) -> String {
    format!("over/{job}")
}

pub fn run_prefix(job: JobId) -> String {
    format!("{RUN}{job}/")
}

pub fn run_key(job: JobId, chunk: u32) -> String {
    format!("{RUN}{job}/{chunk:05}")
}

pub fn parse_live(key: &str) -> Option<JobId> {
    JobId::parse(key.strip_prefix(LIVE)?)
}

pub fn parse_run(key: &str) -> Option<(JobId, u32)> {
    let (job, chunk) = key.strip_prefix(RUN)?.split_once('/')?;
    Some((JobId::parse(job)?, chunk.parse().ok()?))
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobRecord {
    pub spec: JobSpec,
    /// Time of day of the submission, in milliseconds.
    pub at_ms: u64,
    /// How many tasks share a chunk record.
    pub chunk: u32,
}

impl JobRecord {
    /// Leaves out the allowed machine types that the cloud does not offer, if the record is larger than
    /// that with them: nothing can run on those.
    pub fn shorten(&mut self, max_value: usize, offered: &[MachineType]) {
        if size(self) <= max_value {
            return;
        }
        if let Some(allowed) = &mut self.spec.types {
            allowed.retain(|name| offered.iter().any(|offer| offer.name == *name));
        }
    }
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct OverRecord {
    pub state: JobState,
    pub tasks: u64,
}

/// A job that got done, until its record is moved from `live/` to `over/`: that takes more changes,
/// and can wait until the budget has some to spare.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct FinalRecord {
    pub over: OverRecord,
}

/// The final state, if this is the record of a job that is over.
pub fn over_in_place(value: &Value) -> Option<OverRecord> {
    let fields = value.as_map()?;
    let is_over = |(key, _): &&(Value, Value)| key.as_text() == Some("over");
    let (_, over) = fields.iter().find(is_over)?;
    over.deserialized().ok()
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HolderRecord {
    pub node: String,
    /// Random for every start of a process: the same node after a restart is another holder.
    pub incarnation: u64,
    pub lease: LeaseId,
    pub term: Term,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct TermRecord {
    pub term: Term,
}

/// One run of a job's tasks. Short names, as the size of a value is limited.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Index of the first task, and how many tasks the job's chunks hold.
    pub first: u32,
    pub size: u32,
    /// What each task takes and from whose limit, as a cancelled job's description is gone.
    pub team: String,
    pub cpus: f64,
    pub gpus: f64,
    pub mem: f64,
    /// Finished tasks as (offset, how many).
    #[serde(default)]
    pub done: Vec<(u32, u32)>,
    #[serde(default)]
    pub booked: Vec<BookedRecord>,
    /// Waiting tasks that were tried: (offset, last attempt).
    #[serde(default)]
    pub tried: Vec<(u32, Attempt)>,
    /// In the first chunk of a job with several: finished and booked tasks of the others.
    #[serde(default)]
    pub rest: (u64, u64),
}

/// (offset, attempt, host, session)
pub type BookedRecord = (u32, Attempt, HostName, Session);

impl RunRecord {
    pub fn done_count(&self) -> u64 {
        self.done.iter().map(|(_, n)| u64::from(*n)).sum()
    }

    /// Whether the record surely is no larger than that; where this does not say so, it is measured.
    pub fn surely_fits(&self, most: usize) -> bool {
        // Numbers of up to 20 digits where there may be such, commas and brackets.
        let booked: usize = self.booked.iter().map(|b| b.2.as_str().len() + 60).sum();
        let at_most = 400 + self.team.len() * 2 + self.done.len() * 24 + self.tried.len() * 36;
        at_most + booked <= most
    }
}

/// The size of a record in the form whose size is limited.
pub fn size(record: &impl Serialize) -> usize {
    serde_json::to_vec(record).map_or(usize::MAX, |v| v.len())
}

/// How many tasks a chunk holds so that its record stays below the limit with machine names, attempts
/// and sessions of usual length. One that does not is split further.
pub fn tasks_per_record(value_kb: f64) -> u32 {
    ((value_kb * 1024.0 - 350.0) / 27.0).clamp(1.0, 256.0) as u32
}
