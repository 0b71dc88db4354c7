//! What the checker is told: the requests of users with their answers, and what happens on hosts.

use std::time::Duration;

use crate::simulated::clock::SimTime;
use crate::simulated::ids::{JobId, TaskId};

/// What the checker knows of a job from its submission.
#[derive(Clone, Debug)]
pub struct JobSpec {
    /// The team that the job belongs to.
    pub team: String,
    /// How many tasks the job has.
    pub task_count: u32,
    /// CPUs that each task uses.
    pub cpus_per_task: f64,
    /// The only zone in which the tasks may run; `None` if all zones are allowed.
    pub zone: Option<String>,
    /// All tasks have to run in one zone, whichever that is.
    pub requires_single_zone: bool,
    /// At most half of the tasks, rounded up, may run in one zone.
    pub requires_zone_spread: bool,
    /// The tasks may run on spot hosts.
    pub allows_spot: bool,
    /// The tasks are replicas, which run until the job is cancelled: the job is never done.
    pub is_service: bool,
    /// The replicas end by themselves wherever they run, so that some replica waits for its next attempt at
    /// all times.
    pub replicas_keep_ending: bool,
    /// The submission lacks a field, or no host is large enough: the job must not be accepted.
    pub is_invalid: bool,
    /// The job is of high or critical priority.
    pub is_urgent: bool,
}

/// What a user was told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobAnswer {
    /// Queued or running.
    Open,
    /// All tasks are complete.
    Done,
    /// The job is cancelled.
    Cancelled,
    /// Status 404: the controllers know no such job.
    Unknown,
    /// Status 400 or 422: the request is rejected, and retries would be too.
    Rejected,
    /// Any other status, or no response in time.
    Unanswered,
}

impl JobAnswer {
    /// Whether the answer implies that the job was accepted.
    pub fn is_acceptance(self) -> bool {
        matches!(
            self,
            JobAnswer::Open | JobAnswer::Done | JobAnswer::Cancelled
        )
    }

    /// Whether the answer says that the job is over.
    pub fn is_final(self) -> bool {
        matches!(self, JobAnswer::Done | JobAnswer::Cancelled)
    }
}

/// What a user requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// To run a job.
    Submit,
    /// To get the status of a job.
    Poll,
    /// To cancel a job.
    Cancel,
}

/// A user's request and its answer.
#[derive(Clone, Copy, Debug)]
pub struct AnsweredRequest {
    /// The job that the request was about.
    pub job: JobId,
    /// What was requested.
    pub kind: RequestKind,
    /// When the user sent the request.
    pub sent_at: SimTime,
    /// What the user was told.
    pub answer: JobAnswer,
}

/// An event that the checker checks, or needs to know in order to check others.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A user is about to submit a job.
    JobPlanned {
        /// The job.
        job: JobId,
        /// The properties of the job.
        spec: JobSpec,
    },
    /// A user sends the first request to cancel the job.
    CancellationRequested(JobId),
    /// A user's request was answered, or has timed out.
    RequestAnswered(AnsweredRequest),
    /// A host is up, and its worker is about to send its first heartbeat.
    HostUp {
        /// Name of the host.
        host: String,
        /// The zone of the host.
        zone: String,
        /// Whether this is a spot host, which the cloud may reclaim.
        is_spot: bool,
        /// CPUs for tasks.
        cpus: f64,
    },
    /// The host with this name is gone.
    HostGone(String),
    /// A worker has accepted a task. The task uses CPUs from now on, and starts once its image is loaded.
    TaskAccepted {
        /// Name of the host.
        host: String,
        /// The task.
        task: TaskId,
    },
    /// A task starts to run.
    TaskStarted {
        /// Name of the host.
        host: String,
        /// The task.
        task: TaskId,
    },
    /// A task ended, or the host that had accepted it gave it up.
    TaskEnded {
        /// Name of the host.
        host: String,
        /// The task.
        task: TaskId,
        /// Whether the task ran to its end.
        is_complete: bool,
    },
}

/// Bounds that depend on the settings of the deployment.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// The time after the first report that a job is cancelled by which all its tasks have to end.
    pub cancellation_deadline: Duration,
    /// The CPU limit of each team that has one, by the team's name.
    pub team_cpu_limits: std::collections::BTreeMap<String, f64>,
}
