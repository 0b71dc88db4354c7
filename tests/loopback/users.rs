//! Requests of users.

use std::net::SocketAddr;

use ciborium::Value;
use lichencrank::protocol::encode;
use lichencrank_testkit::http::call;
use lichencrank_testkit::values::{map, text};

use super::wait_for;

/// The response to a status query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobStatus {
    /// HTTP status.
    pub http_status: u16,
    /// State of the job; empty if there is none.
    pub state: String,
}

impl JobStatus {
    /// Whether the controller could serve the query.
    pub fn is_served(&self) -> bool {
        self.http_status != 503
    }
}

/// The body of a submission for team `vision`: an array job of `tasks` tasks with one CPU each, which is due
/// `deadline_s` seconds after its submission, or has no deadline.
pub fn job_body(id: &str, tasks: u64, deadline_s: Option<f64>) -> Vec<u8> {
    encode(&map(vec![
        ("ref", id.into()),
        ("jobclass", "train".into()),
        ("crew", "vision".into()),
        ("shape", "sweep".into()),
        ("urgency", "normal".into()),
        ("pieces", tasks.into()),
        ("cpus", 1.0.into()),
        ("cards", 0.0.into()),
        ("ramGb", 1.0.into()),
        ("bundle", "img".into()),
        ("imageGb", 0.1.into()),
        ("hosttypes", Value::Null),
        ("samePlace", false.into()),
        ("apart", false.into()),
        ("loaners", true.into()),
        ("guessS", 1.0.into()),
        ("snapshotS", 0.0.into()),
        ("stashS", 0.0.into()),
        ("dueS", deadline_s.map_or(Value::Null, Value::from)),
    ]))
}

/// Submits a job as users do: the request is repeated until it is served. Returns the HTTP status.
pub fn submit(controller: SocketAddr, body: &[u8]) -> u16 {
    wait_for("a response to a submission", || {
        let status = call(controller, "POST", "/api/jobs", body)?.status;
        (status != 503).then_some(status)
    })
}

/// Queries the status of a job once.
pub fn query_status(controller: SocketAddr, id: &str) -> Option<JobStatus> {
    let response = call(controller, "GET", &format!("/api/jobs/{id}"), &[])?;
    Some(JobStatus {
        http_status: response.status,
        state: text(&response.body, "status"),
    })
}
