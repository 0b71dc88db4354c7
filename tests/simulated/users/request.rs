//! Requests of users: their scheduling, their HTTP form, and the meaning of the responses.

use ciborium::Value;
use lichencrank::protocol::decode;
use lichencrank::transport::{Request, Response};
use lichencrank_testkit::values::text;

use crate::simulated::checker::{JobAnswer, RequestKind};
use crate::simulated::clock::SimTime;
use crate::simulated::context::Context;
use crate::simulated::event_queue::Event;
use crate::simulated::ids::{JobId, NodeIndex};

/// A request that a user will send.
#[derive(Clone, Copy, Debug)]
pub struct PlannedRequest {
    /// The job of the request.
    pub job: JobId,
    /// What is requested.
    pub kind: RequestKind,
    /// The controller that gets the request. `None` leaves the choice to the load balancer.
    pub node: Option<NodeIndex>,
    /// When the first attempt is sent. `None` if the request is sent only once, whatever its response.
    pub first_attempt_at: Option<SimTime>,
}

impl PlannedRequest {
    /// Schedules a request that is repeated until it is answered; polls are repeated without end.
    pub fn schedule(context: &mut Context, at: SimTime, job: JobId, kind: RequestKind) {
        PlannedRequest::schedule_through(context, at, job, kind, None);
    }

    /// Like [`PlannedRequest::schedule`], with a controller that gets the first attempt.
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

    /// Schedules a request that is sent only once.
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

/// The parts of a response that matter to a user.
pub struct ParsedResponse {
    /// The HTTP status. 0 if there was no response in time.
    pub status: u16,
    /// The status of the job, as in the protocol. Empty if the response has none.
    pub job_status: String,
    /// Seconds after which the user may retry, if the response says so.
    pub retry_after_s: Option<u32>,
}

impl ParsedResponse {
    /// Parses a response, which is `None` if there was none in time.
    pub fn new(response: Option<Response>) -> ParsedResponse {
        let status = response.as_ref().map_or(0, |response| response.status);
        let retry_after_s = response.as_ref().and_then(|response| response.retry_after);
        let body: Option<Value> = response.and_then(|response| decode(&response.body).ok());
        ParsedResponse {
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
