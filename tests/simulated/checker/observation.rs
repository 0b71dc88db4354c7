//! What the checker is told: what users asked and were answered, and what machines did.

use std::time::Duration;

use crate::simulated::clock::SimTime;
use crate::simulated::ids::{JobId, TaskId};

/// What the checker knows of a job from its submission.
#[derive(Clone, Debug)]
pub struct JobSpec {
    /// The team that the job belongs to.
    pub team: String,
    /// How many tasks it has.
    pub task_count: u32,
    /// CPUs that each task takes.
    pub cpus_per_task: f64,
    /// The only zone in which its tasks may run.
    pub zone: Option<String>,
    /// All its tasks have to run in one zone, whichever that is.
    pub single_zone: bool,
    /// At most half of its tasks, rounded up, may run in one zone.
    pub spread_over_zones: bool,
    /// Its tasks may run on spot machines.
    pub allows_spot: bool,
    /// Its tasks are replicas, which run until the job is cancelled: it is never done.
    pub is_service: bool,
    /// Its replicas end by themselves wherever they run, so that some of them wait for their next
    /// attempt at all times.
    pub replicas_keep_ending: bool,
    /// The request lacks a field, or no machine is large enough: the job must not be accepted.
    pub is_invalid: bool,
    /// Of high or critical priority.
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
    /// 404: there is no such job.
    Unknown,
    /// 400 or 422: the request is refused for good.
    Rejected,
    /// Any other status, or none in time.
    Unanswered,
}

impl JobAnswer {
    /// Whether the answer tells that the job was accepted.
    pub fn is_acceptance(self) -> bool {
        matches!(
            self,
            JobAnswer::Open | JobAnswer::Done | JobAnswer::Cancelled
        )
    }

    /// Whether the job is over.
    pub fn is_final(self) -> bool {
        matches!(self, JobAnswer::Done | JobAnswer::Cancelled)
    }
}

/// What a user requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// To run a job.
    Submit,
    /// To learn the status of a job.
    Poll,
    /// To cancel a job.
    Cancel,
}

/// A user's request and what came of it.
#[derive(Clone, Copy, Debug)]
pub struct AnsweredRequest {
    /// The job that it was about.
    pub job: JobId,
    /// What was requested.
    pub kind: RequestKind,
    /// When the user sent the request.
    pub sent_at: SimTime,
    /// What the user was told.
    pub answer: JobAnswer,
}

/// Something that the checker judges or has to know.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A user wants a job to run, and is about to submit it.
    JobPlanned {
        /// The job.
        job: JobId,
        /// What it needs.
        spec: JobSpec,
    },
    /// A user sends the first request to cancel the job.
    CancellationRequested(JobId),
    /// A user's request was answered, or was not in time.
    RequestAnswered(AnsweredRequest),
    /// A machine is up, and its worker is about to send its first heartbeat.
    HostUp {
        /// Name of the machine.
        host: String,
        /// The zone it is in.
        zone: String,
        /// Whether the cloud may take it away.
        is_spot: bool,
        /// CPUs for tasks.
        cpus: f64,
    },
    /// The machine with that name is gone.
    HostGone(String),
    /// A worker has accepted a task: it takes room from now on, and starts once its image is there.
    TaskAccepted {
        /// Name of the machine.
        host: String,
        /// The task.
        task: TaskId,
    },
    /// A task starts to run.
    TaskStarted {
        /// Name of the machine.
        host: String,
        /// The task.
        task: TaskId,
    },
    /// A task ended, or the machine that had accepted it gave it up.
    TaskEnded {
        /// Name of the machine.
        host: String,
        /// The task.
        task: TaskId,
        /// Whether it ran to its end.
        is_complete: bool,
    },
}

/// What the rules of the deployment allow.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// By when the tasks of a job that is reported as cancelled have ended.
    pub cancellation_deadline: Duration,
    /// The most CPUs of each team that has a limit.
    pub team_cpu_limits: std::collections::BTreeMap<String, f64>,
}
