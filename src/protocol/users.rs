//! Messages of the users' API, and the validation of submitted jobs.

use serde::{Deserialize, Serialize};

use super::{decode, Amount};
use crate::types::JobId;

/// Upper limit of the number of tasks of a job.
pub const MAX_TASKS_PER_JOB: u64 = 100_000;
/// Upper limit of the length of a name. Names are stored in the job's record, whose size is limited.
const MAX_NAME_BYTES: usize = 200;
/// Upper limit of the number of machine types that a job may name.
const MAX_MACHINE_TYPES: usize = 64;

/// Priority of a job, from the highest to the lowest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// May preempt jobs of every lower priority.
    #[serde(rename = "critical")]
    Critical,
    /// Above normal.
    #[serde(rename = "high")]
    High,
    /// The usual priority.
    #[serde(rename = "normal")]
    Normal,
    /// Uses idle capacity.
    #[serde(rename = "best_effort")]
    BestEffort,
}

/// How the tasks of a job run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks that each run to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "service")]
    Service,
}

/// The description of a job, as its user submits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id of the job, chosen by its user.
    #[serde(rename = "ref")]
    pub id: JobId,
    /// Job class, such as `train`. Jobs of a class share run time statistics and wait objectives.
    #[serde(rename = "jobclass")]
    pub class: String,
    /// Team whose guarantee and limit apply to the job.
    #[serde(rename = "crew")]
    pub team: String,
    /// Whether the tasks are an array or the replicas of a service.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority of the job.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks.
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
    /// Image that a host has to fetch before it can start a task.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image in GB.
    #[serde(rename = "imageGb")]
    pub image_gb: Amount,
    /// Machine types that the tasks may run on; `None` allows all of them.
    #[serde(rename = "hosttypes", default, skip_serializing_if = "Option::is_none")]
    pub allowed_machine_types: Option<Vec<String>>,
    /// The only zone in which the tasks may run; `None` allows every zone.
    #[serde(rename = "hall", default, skip_serializing_if = "Option::is_none")]
    pub required_zone: Option<String>,
    /// Whether all tasks have to run in the same zone.
    #[serde(rename = "samePlace")]
    pub same_zone: bool,
    /// Whether the tasks are spread across zones: at most half of them, rounded up, may run in one zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Whether the tasks may run on spot hosts.
    #[serde(rename = "loaners")]
    pub allows_spot: bool,
    /// The user's estimate of the run time of a task, in seconds.
    #[serde(rename = "guessS")]
    pub estimated_run_time_s: Amount,
    /// Seconds of progress after which a task saves a checkpoint; 0 if it never saves one.
    #[serde(rename = "snapshotS")]
    pub checkpoint_interval_s: Amount,
    /// Seconds that a task needs to save its progress when it is stopped.
    #[serde(rename = "stashS")]
    pub save_time_s: Amount,
    /// Deadline of the job, in seconds after its submission; `None` if it has none.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<Amount>,
}

impl JobSpec {
    /// Whether the tasks are replicas of a service, which run until the job is cancelled.
    pub fn is_service(&self) -> bool {
        self.kind == JobKind::Service
    }
}

/// The id alone. With it, the repeat of an earlier submission is recognised even if the rest of the body is invalid.
#[derive(Deserialize)]
struct SubmittedId {
    #[serde(rename = "ref")]
    id: JobId,
}

/// The result of parsing a submitted body.
#[derive(Debug, PartialEq)]
pub enum Submission {
    /// A well-formed job.
    Valid(Box<JobSpec>),
    /// An invalid body that names a job, which may have been submitted before, and the error.
    Invalid(JobId, String),
    /// An invalid body that names no job, and the error.
    Unidentified(String),
}

/// Decodes and validates a submitted body.
pub fn parse_submission(body: &[u8]) -> Submission {
    let problem = match decode::<JobSpec>(body) {
        Ok(spec) => match validate(&spec) {
            Ok(()) => return Submission::Valid(Box::new(spec)),
            Err(problem) => problem,
        },
        Err(error) => field_error(body).unwrap_or_else(|| error.to_string()),
    };
    match decode::<SubmittedId>(body) {
        Ok(SubmittedId { id }) => Submission::Invalid(id, problem),
        Err(_) => Submission::Unidentified(problem),
    }
}

/// Explains, with the name of the field, why a body could not be decoded as a job. The error of the CBOR decoder does
/// not name the field if a value has the wrong type.
fn field_error(body: &[u8]) -> Option<String> {
    let value: ciborium::Value = decode(body).ok()?;
    let value = serde_json::to_value(value).ok()?;
    let spec: Result<JobSpec, _> = serde_path_to_error::deserialize(value);
    spec.err().map(|error| error.to_string())
}

/// Returns an error that names the first field whose value is out of range.
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

/// State of a job, as shown to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task is running.
    #[serde(rename = "queued")]
    Queued,
    /// At least one task is running.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done. This state is final.
    #[serde(rename = "done")]
    Done,
    /// The user cancelled the job. This state is final.
    #[serde(rename = "cancelled")]
    Cancelled,
}

/// Response to a status query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct JobStatus {
    /// Id of the job.
    #[serde(rename = "ref")]
    pub id: JobId,
    /// State of the job.
    #[serde(rename = "status")]
    pub state: JobState,
    /// Number of tasks that are done, for display only.
    #[serde(rename = "done")]
    pub done_tasks: u64,
    /// Number of running tasks, for display only.
    #[serde(rename = "running")]
    pub running_tasks: u64,
}

/// Body of a response that rejects a request.
#[derive(Debug, Serialize)]
pub struct ErrorBody<'a> {
    /// Human-readable reason.
    pub error: &'a str,
}
