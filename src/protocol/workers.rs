//! Workers' reports and the orders for them.

use serde::{Deserialize, Serialize};

use super::{null_is_empty, Amount};
use crate::types::{Attempt, HostName, JobId, Session, TaskId, Term, Tick};

#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    pub host: HostName,
    pub address: String,
    #[serde(rename = "hosttype")]
    pub kind: String,
    #[serde(rename = "hall")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "tenure")]
    pub session: Session,
    pub tick: Tick,
    #[serde(rename = "baton")]
    pub token: Term,
    #[serde(rename = "warningS", default)]
    pub notice_s: Option<Amount>,
    #[serde(rename = "pieces", default, deserialize_with = "null_is_empty")]
    pub tasks: Vec<TaskReport>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct TaskReport {
    #[serde(rename = "piece")]
    pub task: TaskId,
    #[serde(rename = "try")]
    pub attempt: Attempt,
    #[serde(rename = "status")]
    pub state: TaskState,
    #[serde(default)]
    pub cause: Option<Cause>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum TaskState {
    #[serde(rename = "fetching")]
    Fetching,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "flushing")]
    Saving,
    #[serde(rename = "ended")]
    Ended,
    /// A state of a later protocol: the task is there, that much is sure.
    #[serde(other)]
    Other,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum Cause {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "halted")]
    Stopped,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "no_room")]
    NoRoom,
    #[serde(rename = "in_use")]
    InUse,
    #[serde(rename = "no_such")]
    NoSuch,
    /// Whatever a later protocol calls it, it is no success.
    #[serde(other)]
    Other,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(tag = "verb")]
pub enum Order {
    #[serde(rename = "run")]
    Run {
        #[serde(rename = "piece")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    #[serde(rename = "stop")]
    Stop {
        #[serde(rename = "piece")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt: Attempt,
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    #[serde(rename = "clear")]
    Clear {
        #[serde(rename = "piece")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// The answer to a report.
#[derive(Debug, Serialize)]
pub struct Answer<'a> {
    #[serde(rename = "baton")]
    pub token: Term,
    pub orders: &'a [Order],
}

/// Orders sent straight to a worker.
#[derive(Debug, Serialize)]
pub struct Command<'a> {
    #[serde(rename = "baton")]
    pub token: Term,
    #[serde(rename = "tenure")]
    pub session: Session,
    pub orders: &'a [Order],
}

/// Sends a worker to another node.
#[derive(Debug, Serialize)]
pub struct Elsewhere<'a> {
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub leader: Option<&'a str>,
}

/// Stops for what a report shows of jobs that are `cancelled`.
pub fn stops(report: &Report, cancelled: impl Fn(JobId) -> bool) -> Vec<Order> {
    let there = report.tasks.iter().filter(|t| t.state != TaskState::Ended);
    there
        .filter(|t| cancelled(t.task.job))
        .map(|t| Order::Stop {
            task: t.task,
            attempt: t.attempt,
            grace_s: 0.0,
        })
        .collect()
}
