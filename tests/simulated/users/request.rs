//! Requests of users: when they are sent, what they look like in HTTP, and what the responses mean.

use ciborium::Value;
use lichencrank::protocol::decode;
use lichencrank::transport::{Request, Response};
use lichencrank_testkit::values::text;

use crate::simulated::checker::{JobAnswer, RequestKind};
use crate::simulated::clock::SimTime;
use crate::simulated::context::Context;
use crate::simulated::event_queue::Event;
use crate::simulated::ids::{JobId, NodeIndex};

/// A request that a user is about to send.
#[derive(Clone, Copy, Debug)]
pub struct PlannedRequest {
    /// The job that it is about.
    pub job: JobId,
    /// What is requested.
    pub kind: RequestKind,
    /// The controller that gets the request; `None`: the load balancer's choice.
    pub node: Option<NodeIndex>,
    /// When the first attempt was planned. `None` if the request is sent once, whatever comes of it.
    pub first_attempt_at: Option<SimTime>,
}

impl PlannedRequest {
    /// Schedules a request that is repeated until it has an answer.
    pub fn schedule(context: &mut Context, at: SimTime, job: JobId, kind: RequestKind) {
        PlannedRequest::schedule_through(context, at, job, kind, None);
    }

    /// The same, with a controller that gets the first attempt.
    pub fn schedule_through(
        context: &mut Context,
        at: SimTime,
        job: JobId,
        kind: RequestKind,
        node: Option<NodeIndex>,
    ) {
        let request = PlannedRequest {
            job,
            kind,
            node,
            first_attempt_at: Some(at),
        };
        context.schedule(at, Event::UserRequest(request));
    }

    /// Schedules a request that is sent once.
    pub fn schedule_once(
        context: &mut Context,
        at: SimTime,
        job: JobId,
        kind: RequestKind,
        node: Option<NodeIndex>,
    ) {
        let request = PlannedRequest {
            job,
            kind,
            node,
            first_attempt_at: None,
        };
        context.schedule(at, Event::UserRequest(request));
    }

    /// The HTTP request; `job_body` is the body of the job's submission.
    pub fn to_http(self, job_body: &[u8]) -> Request {
        let job = self.job;
        let (method, target, body) = match self.kind {
            RequestKind::Submit => ("POST", "/api/jobs".to_owned(), job_body.to_vec()),
            RequestKind::Poll => ("GET", format!("/api/jobs/{job}"), Vec::new()),
            RequestKind::Cancel => ("POST", format!("/api/jobs/{job}/withdraw"), Vec::new()),
        };
        Request {
            method: method.into(),
            target,
            body,
            close: false,
        }
    }
}

/// A response as a user reads it.
pub struct ReadResponse {
    /// The HTTP status; 0 if there was no response in time.
    pub status: u16,
    /// The status of the job, in the protocol's word; empty if there is none.
    pub job_status: String,
    /// Seconds until the user may try again, if the response asks for that.
    pub retry_after_s: Option<u32>,
}

impl ReadResponse {
    /// Reads a response; `None` if there was none in time.
    pub fn new(response: Option<Response>) -> ReadResponse {
        let status = response.as_ref().map_or(0, |response| response.status);
        let retry_after_s = response.as_ref().and_then(|response| response.retry_after);
        let body: Option<Value> = response.and_then(|response| decode(&response.body).ok());
        ReadResponse {
            status,
            job_status: body.map_or(String::new(), |body| text(&body, "status")),
            retry_after_s,
        }
    }

    /// What the response means.
    pub fn answer(&self) -> JobAnswer {
        match (self.status, self.job_status.as_str()) {
            (200 | 201, "queued" | "running") => JobAnswer::Open,
            (200, "done") => JobAnswer::Done,
            (200, "cancelled") => JobAnswer::Cancelled,
            (404, _) => JobAnswer::Unknown,
            (400 | 422, _) => JobAnswer::Rejected,
            _ => JobAnswer::Unanswered,
        }
    }
}
