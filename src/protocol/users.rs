//! Users' messages and the checking of what they submit.

use serde::{Deserialize, Serialize};

use super::{decode, Amount};
use crate::types::JobId;

pub const MAX_TASKS: u64 = 100_000;
/// Names are kept with the job's record, whose size is limited.
const MAX_NAME: usize = 200;
const MAX_TYPES: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "critical")]
    Critical,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "best_effort")]
    Low,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    #[serde(rename = "sweep")]
    Array,
    /// Its tasks are replicas that run until the job is cancelled.
    #[serde(rename = "service")]
    Service,
}

/// A job as its user describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "ref")]
    pub id: JobId,
    #[serde(rename = "jobclass")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    pub shape: Shape,
    #[serde(rename = "urgency")]
    pub priority: Priority,
    #[serde(rename = "pieces")]
    pub tasks: u64,
    pub cpus: Amount,
    #[serde(rename = "cards")]
    pub gpus: Amount,
    #[serde(rename = "ramGb")]
    pub memory_gb: Amount,
    #[serde(rename = "bundle")]
    pub image: String,
    #[serde(rename = "imageGb")]
    pub image_gb: Amount,
    #[serde(rename = "hosttypes", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "hall", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(rename = "samePlace")]
    pub one_zone: bool,
    #[serde(rename = "apart")]
    pub spread: bool,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "guessS")]
    pub estimate_s: Amount,
    #[serde(rename = "snapshotS")]
    pub checkpoint_s: Amount,
    #[serde(rename = "stashS")]
    pub save_s: Amount,
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<Amount>,
}

impl JobSpec {
    pub fn is_service(&self) -> bool {
        self.shape == Shape::Service
    }
}

/// Just the id, to recognise a repeat whatever else its body says.
#[derive(Deserialize)]
struct IdOnly {
    #[serde(rename = "ref")]
    id: JobId,
}

/// What a submitted body turned out to be.
#[derive(Debug, PartialEq)]
pub enum Submission {
    Good(Box<JobSpec>),
    /// Malformed, but it names a job, which may be known already.
    Bad(JobId, String),
    Hopeless(String),
}

pub fn read_submission(body: &[u8]) -> Submission {
    let wrong = match decode::<JobSpec>(body) {
        Ok(spec) => match check(&spec) {
            Ok(()) => return Submission::Good(Box::new(spec)),
            Err(wrong) => wrong,
        },
        Err(wrong) => field_error(body).unwrap_or(wrong),
    };
    match decode::<IdOnly>(body) {
        Ok(IdOnly { id }) => Submission::Bad(id, wrong),
        Err(_) => Submission::Hopeless(wrong),
    }
}

/// Why a body that could not be decoded is no job, with the name of the field. CBOR decoding alone does
/// not tell it where a value is of the wrong type.
fn field_error(body: &[u8]) -> Option<String> {
    let value: ciborium::Value = decode(body).ok()?;
    let value = serde_json::to_value(value).ok()?;
    let spec: Result<JobSpec, _> = serde_path_to_error::deserialize(value);
    spec.err().map(|error| error.to_string())
}

fn check(spec: &JobSpec) -> Result<(), String> {
    let amounts = [
        ("cpus", spec.cpus),
        ("cards", spec.gpus),
        ("ramGb", spec.memory_gb),
        ("imageGb", spec.image_gb),
        ("guessS", spec.estimate_s),
        ("snapshotS", spec.checkpoint_s),
        ("stashS", spec.save_s),
        ("dueS", spec.deadline_s.unwrap_or_default()),
    ];
    for (field, amount) in amounts {
        if !(amount.0.is_finite() && amount.0 >= 0.0) {
            return Err(format!("{field} is {}", amount.0));
        }
    }
    if spec.tasks == 0 || spec.tasks > MAX_TASKS {
        return Err(format!("pieces is {}", spec.tasks));
    }
    let types = spec.types.as_deref().unwrap_or_default();
    if types.len() > MAX_TYPES {
        return Err(format!("hosttypes names {} types", types.len()));
    }
    let names = [
        ("jobclass", &spec.class),
        ("crew", &spec.team),
        ("bundle", &spec.image),
    ];
    let types = types.iter().map(|name| ("hosttypes", name));
    let zone = spec.zone.iter().map(|name| ("hall", name));
    for (field, name) in names.into_iter().chain(types).chain(zone) {
        if name.len() > MAX_NAME {
            return Err(format!("{field} has a name of {} bytes", name.len()));
        }
    }
    Ok(())
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    #[serde(rename = "queued")]
    Queued,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "cancelled")]
    Cancelled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct JobStatus {
    #[serde(rename = "ref")]
    pub id: JobId,
    #[serde(rename = "status")]
    pub state: JobState,
    pub done: u64,
    pub running: u64,
}

#[derive(Debug, Serialize)]
pub struct Problem<'a> {
    pub error: &'a str,
}
