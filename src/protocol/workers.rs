//! Workers' reports and the commands for them.

use serde::{Deserialize, Serialize};

use super::{null_is_empty, Amount};
use crate::types::{Attempt, HostName, Incarnation, JobId, SequenceNumber, TaskId, Term};

/// A worker's report.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerHeartbeat {
    /// Name of its machine.
    pub host: HostName,
    /// Address for direct commands.
    pub address: String,
    /// Machine type.
    #[serde(rename = "hosttype")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub is_spot: bool,
    /// Incarnation of the worker; a new one begins when its lease expires.
    #[serde(rename = "tenure")]
    pub incarnation: Incarnation,
    /// Orders messages within a incarnation.
    #[serde(rename = "tick")]
    pub sequence_number: SequenceNumber,
    /// Highest token that the worker has seen.
    #[serde(rename = "baton")]
    pub fencing_token: Term,
    /// Seconds until the cloud takes the machine away, if it gave notice.
    #[serde(rename = "warningS", default)]
    pub reclaim_notice_s: Option<Amount>,
    /// All tasks on the machine, with ended ones that were not cleared.
    #[serde(rename = "pieces", default, deserialize_with = "null_is_empty")]
    pub attempts: Vec<AttemptStatus>,
}

/// A task as its worker sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct AttemptStatus {
    /// The task.
    #[serde(rename = "piece")]
    pub task: TaskId,
    /// Which attempt at it.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// Its state.
    #[serde(rename = "status")]
    pub state: AttemptState,
    /// Why it ended.
    #[serde(rename = "cause", default)]
    pub end_reason: Option<EndReason>,
}

/// State of a task on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum AttemptState {
    /// Waits for its image.
    #[serde(rename = "fetching")]
    Fetching,
    /// Runs.
    #[serde(rename = "running")]
    Running,
    /// Was told to stop and saves its progress.
    #[serde(rename = "flushing")]
    Saving,
    /// Is over.
    #[serde(rename = "ended")]
    Ended,
    /// A state of a later protocol: the task is there, that much is sure.
    #[serde(other)]
    Other,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum EndReason {
    /// It completed.
    #[serde(rename = "done")]
    Completed,
    /// It was stopped by command.
    #[serde(rename = "halted")]
    Stopped,
    /// It failed.
    #[serde(rename = "error")]
    Failed,
    /// Start refused: not enough free resources.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// Start refused: the task is here under another attempt.
    #[serde(rename = "in_use")]
    OtherAttemptPresent,
    /// Start refused: no such job or task.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// Whatever a later protocol calls it, it is no success.
    #[serde(other)]
    Other,
}

/// A command to a worker. Each may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(tag = "verb")]
pub enum Command {
    /// Starts a task, unless the worker knows the attempt.
    #[serde(rename = "run")]
    Run {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// Stops a task.
    #[serde(rename = "stop")]
    Stop {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Seconds that it may take to save.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Makes the worker forget an ended attempt.
    #[serde(rename = "clear")]
    Clear {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// The answer to a report.
#[derive(Debug, Serialize)]
pub struct HeartbeatResponse<'a> {
    /// The leader's term.
    #[serde(rename = "baton")]
    pub fencing_token: Term,
    /// What the worker is to do.
    #[serde(rename = "orders")]
    pub commands: &'a [Command],
}

/// Orders sent straight to a worker.
#[derive(Debug, Serialize)]
pub struct CommandRequest<'a> {
    /// The leader's term.
    #[serde(rename = "baton")]
    pub fencing_token: Term,
    /// Incarnation that the commands are meant for.
    #[serde(rename = "tenure")]
    pub incarnation: Incarnation,
    /// What the worker is to do.
    #[serde(rename = "orders")]
    pub commands: &'a [Command],
}

/// Sends a worker to another node.
#[derive(Debug, Serialize)]
pub struct LeaderRedirect<'a> {
    /// The controller that leads, if it is known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub leader: Option<&'a str>,
}

/// Stops for what a report shows of jobs that are `cancelled`.
pub fn stop_commands(report: &WorkerHeartbeat, cancelled: impl Fn(JobId) -> bool) -> Vec<Command> {
    let there = report
        .attempts
        .iter()
        .filter(|t| t.state != AttemptState::Ended);
    there
        .filter(|t| cancelled(t.task.job))
        .map(|t| Command::Stop {
            task: t.task,
            attempt: t.attempt,
            grace_s: 0.0,
        })
        .collect()
}
