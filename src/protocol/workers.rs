//! Heartbeats of the workers, and commands for them.

use serde::{Deserialize, Serialize};

use super::{null_is_empty, Amount};
use crate::types::{Attempt, HostName, Incarnation, JobId, SequenceNumber, TaskId, Term};

/// Heartbeat of a worker, which reports the attempts on its host.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerHeartbeat {
    /// Name of the worker's host.
    pub host: HostName,
    /// Address to which commands are sent outside of heartbeat responses.
    pub address: String,
    /// Machine type of the host.
    #[serde(rename = "hosttype")]
    pub machine_type: String,
    /// Zone of the host.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether the host is a spot host.
    #[serde(rename = "loaners")]
    pub is_spot: bool,
    /// Incarnation of the worker; a new one begins when its lease expires.
    #[serde(rename = "tenure")]
    pub incarnation: Incarnation,
    /// Orders the heartbeats of one incarnation.
    #[serde(rename = "tick")]
    pub sequence_number: SequenceNumber,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub fencing_token: Term,
    /// Seconds until the cloud reclaims the host, if the cloud has given notice.
    #[serde(rename = "warningS", default)]
    pub reclaim_notice_s: Option<Amount>,
    /// All attempts on the host, including ended ones that have not been cleared.
    #[serde(rename = "pieces", default, deserialize_with = "null_is_empty")]
    pub attempts: Vec<AttemptStatus>,
}

/// Status of one attempt, as its worker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct AttemptStatus {
    /// The task.
    #[serde(rename = "piece")]
    pub task: TaskId,
    /// The attempt at the task.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// State of the attempt.
    #[serde(rename = "status")]
    pub state: AttemptState,
    /// Why the attempt ended.
    #[serde(rename = "cause", default)]
    pub end_reason: Option<EndReason>,
}

/// State of an attempt on its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum AttemptState {
    /// The host is fetching the image.
    #[serde(rename = "fetching")]
    Fetching,
    /// The task is running.
    #[serde(rename = "running")]
    Running,
    /// The task was told to stop and is saving its progress.
    #[serde(rename = "flushing")]
    Saving,
    /// The attempt has ended.
    #[serde(rename = "ended")]
    Ended,
    /// A state of a later protocol version. The attempt is known to be on the host, but not in which state.
    #[serde(other)]
    Other,
}

/// Why an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum EndReason {
    /// The task completed.
    #[serde(rename = "done")]
    Completed,
    /// A command stopped the task.
    #[serde(rename = "halted")]
    Stopped,
    /// The task failed.
    #[serde(rename = "error")]
    Failed,
    /// The worker refused the start: the host has too few free resources.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// The worker refused the start: another attempt at the task is on the host.
    #[serde(rename = "in_use")]
    OtherAttemptPresent,
    /// The worker refused the start: the job or task does not exist.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// A reason of a later protocol version. It does not count as success.
    #[serde(other)]
    Other,
}

/// A command to a worker. Commands are idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(tag = "verb")]
pub enum Command {
    /// Starts an attempt, unless the worker already knows it.
    #[serde(rename = "run")]
    Run {
        /// Task of the attempt.
        #[serde(rename = "piece")]
        task: TaskId,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// Stops an attempt.
    #[serde(rename = "stop")]
    Stop {
        /// Task of the attempt.
        #[serde(rename = "piece")]
        task: TaskId,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Seconds that the task is given to save its progress.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Makes the worker forget an ended attempt.
    #[serde(rename = "clear")]
    Clear {
        /// Task of the attempt.
        #[serde(rename = "piece")]
        task: TaskId,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// The response to a heartbeat.
#[derive(Debug, Serialize)]
pub struct HeartbeatResponse<'a> {
    /// The leader's term, which is its fencing token.
    #[serde(rename = "baton")]
    pub fencing_token: Term,
    /// Commands for the worker.
    #[serde(rename = "orders")]
    pub commands: &'a [Command],
}

/// Commands sent to a worker without waiting for its next heartbeat.
#[derive(Debug, Serialize)]
pub struct CommandRequest<'a> {
    /// The leader's term, which is its fencing token.
    #[serde(rename = "baton")]
    pub fencing_token: Term,
    /// Incarnation of the worker that the commands are meant for.
    #[serde(rename = "tenure")]
    pub incarnation: Incarnation,
    /// Commands for the worker.
    #[serde(rename = "orders")]
    pub commands: &'a [Command],
}

/// Redirects a worker to the leader.
#[derive(Debug, Serialize)]
pub struct LeaderRedirect<'a> {
    /// Name of the leading controller, if known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub leader: Option<&'a str>,
}

/// Commands that stop the attempts in a heartbeat which belong to cancelled jobs and have not ended.
pub fn stop_commands(
    heartbeat: &WorkerHeartbeat,
    is_cancelled: impl Fn(JobId) -> bool,
) -> Vec<Command> {
    let active_attempts = heartbeat
        .attempts
        .iter()
        .filter(|attempt| attempt.state != AttemptState::Ended);
    active_attempts
        .filter(|attempt| is_cancelled(attempt.task.job))
        .map(|attempt| Command::Stop {
            task: attempt.task,
            attempt: attempt.attempt,
            grace_s: 0.0,
        })
        .collect()
}
