//! Users' messages and the checking of what they submit.

use serde::{Deserialize, Serialize};

use super::{decode, Amount};
use crate::types::JobId;

/// Tasks that one job may have.
pub const MAX_TASKS_PER_JOB: u64 = 100_000;
/// Names are kept with the job's record, whose size is limited.
const MAX_NAME_BYTES: usize = 200;
const MAX_MACHINE_TYPES: usize = 64;

/// Priority of a job, the highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// May preempt everything below.
    #[serde(rename = "critical")]
    Critical,
    /// Above normal work.
    #[serde(rename = "high")]
    High,
    /// Ordinary work.
    #[serde(rename = "normal")]
    Normal,
    /// Uses what is idle.
    #[serde(rename = "best_effort")]
    BestEffort,
}

/// What kind of tasks a job has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks that each run to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Its tasks are replicas that run until the job is cancelled.
    #[serde(rename = "service")]
    Service,
}

/// A job as its user describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id that its user chose.
    #[serde(rename = "ref")]
    pub id: JobId,
    /// Class of jobs that it belongs to.
    #[serde(rename = "jobclass")]
    pub class: String,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// What kind of tasks it has.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Its priority.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// How many tasks.
    #[serde(rename = "pieces")]
    pub task_count: u64,
    /// CPUs of each task.
    pub cpus: Amount,
    /// GPUs of each task.
    #[serde(rename = "cards")]
    pub gpus: Amount,
    /// Memory of each task in GB.
    #[serde(rename = "ramGb")]
    pub memory_gb: Amount,
    /// Image that a machine needs to start a task.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image in GB.
    #[serde(rename = "imageGb")]
    pub image_gb: Amount,
    /// Allowed machine types; `None`: any.
    #[serde(rename = "hosttypes", default, skip_serializing_if = "Option::is_none")]
    pub allowed_machine_types: Option<Vec<String>>,
    /// The only allowed zone, if there is one.
    #[serde(rename = "hall", default, skip_serializing_if = "Option::is_none")]
    pub required_zone: Option<String>,
    /// All tasks have to be in the same zone.
    #[serde(rename = "samePlace")]
    pub same_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// It may use spot machines.
    #[serde(rename = "loaners")]
    pub allows_spot: bool,
    /// The owner's estimate of a task's run time, in seconds.
    #[serde(rename = "guessS")]
    pub estimated_run_time_s: Amount,
    /// Progress in seconds after which a task saves a checkpoint; 0: it never saves.
    #[serde(rename = "snapshotS")]
    pub checkpoint_interval_s: Amount,
    /// Seconds that a task needs to save when it is stopped.
    #[serde(rename = "stashS")]
    pub save_time_s: Amount,
    /// Seconds from submission until it should be complete.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<Amount>,
}

impl JobSpec {
    /// Whether its tasks are replicas without an end.
    pub fn is_service(&self) -> bool {
        self.kind == JobKind::Service
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
    /// A well-formed job.
    Valid(Box<JobSpec>),
    /// Malformed, but it names a job, which may be known already.
    Invalid(JobId, String),
    /// Malformed, and it names no job.
    Unidentified(String),
}

/// Reads and checks a submitted body.
pub fn parse_submission(body: &[u8]) -> Submission {
    let wrong = match decode::<JobSpec>(body) {
        Ok(spec) => match validate(&spec) {
            Ok(()) => return Submission::Valid(Box::new(spec)),
            Err(wrong) => wrong,
        },
        Err(error) => field_error(body).unwrap_or_else(|| error.to_string()),
    };
    match decode::<IdOnly>(body) {
        Ok(IdOnly { id }) => Submission::Invalid(id, wrong),
        Err(_) => Submission::Unidentified(wrong),
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

fn validate(spec: &JobSpec) -> Result<(), String> {
    let amounts = [
        ("cpus", spec.cpus),
        ("cards", spec.gpus),
        ("ramGb", spec.memory_gb),
        ("imageGb", spec.image_gb),
        ("guessS", spec.estimated_run_time_s),
        ("snapshotS", spec.checkpoint_interval_s),
        ("stashS", spec.save_time_s),
        ("dueS", spec.deadline_s.unwrap_or_default()),
    ];
    for (field, amount) in amounts {
        if !(amount.0.is_finite() && amount.0 >= 0.0) {
            return Err(format!("{field} is {}", amount.0));
        }
    }
    if spec.task_count == 0 || spec.task_count > MAX_TASKS_PER_JOB {
        return Err(format!("pieces is {}", spec.task_count));
    }
    let types = spec.allowed_machine_types.as_deref().unwrap_or_default();
    if types.len() > MAX_MACHINE_TYPES {
        return Err(format!("hosttypes names {} types", types.len()));
    }
    let names = [
        ("jobclass", &spec.class),
        ("crew", &spec.team),
        ("bundle", &spec.image),
    ];
    let types = types.iter().map(|name| ("hosttypes", name));
    let zone = spec.required_zone.iter().map(|name| ("hall", name));
    for (field, name) in names.into_iter().chain(types).chain(zone) {
        if name.len() > MAX_NAME_BYTES {
            return Err(format!("{field} has a name of {} bytes", name.len()));
        }
    }
    Ok(())
}

/// State of a job as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task runs.
    #[serde(rename = "queued")]
    Queued,
    /// Some task runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done. Final.
    #[serde(rename = "done")]
    Done,
    /// Its user cancelled it. Final.
    #[serde(rename = "cancelled")]
    Cancelled,
}

/// Answer to a status query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct JobStatus {
    /// Id of the job.
    #[serde(rename = "ref")]
    pub id: JobId,
    /// Its state.
    #[serde(rename = "status")]
    pub state: JobState,
    /// Tasks that are done, for display.
    #[serde(rename = "done")]
    pub done_tasks: u64,
    /// Tasks that run, for display.
    #[serde(rename = "running")]
    pub running_tasks: u64,
}

/// Body of an answer that refuses a request.
#[derive(Debug, Serialize)]
pub struct ErrorBody<'a> {
    /// Why, for people.
    pub error: &'a str,
}
