//! How users process responses: they update what they know of their jobs, and schedule their next requests.

use std::ops::Range;
use std::time::Duration;

use lichencrank::transport::Response;

use super::request::{ParsedResponse, PlannedRequest};
use super::{PendingRequest, Users};
use crate::simulated::checker::{AnsweredRequest, JobAnswer, Observation, RequestKind};
use crate::simulated::context::Context;
use crate::simulated::event_queue::Event;
use crate::simulated::history::Mark;
use crate::simulated::ids::{JobId, NodeIndex, RequestId};

/// How long users repeat a submission that got no answer. A cancellation is repeated without limit, as the job may
/// run until its cancellation is confirmed.
const SUBMISSION_RETRY_PERIOD: Duration = Duration::from_secs(60);
/// Shortest and longest delay between two attempts, in seconds. They bound the delay that a response asks for.
const MIN_RETRY_DELAY_S: u32 = 1;
const MAX_RETRY_DELAY_S: u32 = 30;
const FIRST_POLL_DELAY_MS: Range<u64> = 1000..5000;
const POLL_INTERVAL: Duration = Duration::from_secs(5);
const FINAL_JOB_POLL_INTERVAL: Duration = Duration::from_secs(20);
const POLL_INTERVAL_SPREAD_MS: Range<u64> = 0..1000;
/// Delay from the acceptance of a job to its cancellation, if its user cancels it.
const CANCELLATION_DELAY_MS: Range<u64> = 0..8000;
/// Polls that users send to each node in a burst, and the probability that they cancel the job in it.
const POLLS_PER_NODE_IN_BURST: usize = 3;
const BURST_SPREAD_MS: Range<u64> = 1..26;
const CANCELLATION_IN_BURST_PROBABILITY: f64 = 0.2;
const CANCELLATION_IN_BURST_DELAY_MS: Range<u64> = 0..20;

/// What the processing of responses needs to know about the controllers.
#[derive(Clone, Copy, Debug)]
pub struct Membership {
    /// Number of controllers.
    pub controller_count: usize,
    /// The node that leads, or was the last to lead.
    pub leader: Option<NodeIndex>,
}

impl Users {
    /// Processes a response, or the end of the time that the user waits for one.
    pub fn handle_response(
        &mut self,
        context: &mut Context,
        id: RequestId,
        response: Option<Response>,
        membership: Membership,
    ) {
        let Some(pending) = self.pending_requests.remove(&id) else {
            return;
        };
        let PlannedRequest { job, kind, .. } = pending.planned;
        let response = ParsedResponse::new(response);
        let answer = response.answer();
        note_response(context, &pending, &response);
        let is_running = context.checker().running_task_count(job) > 0;
        context.observe(Observation::RequestAnswered(AnsweredRequest {
            job,
            kind,
            sent_at: pending.sent_at,
            answer,
        }));
        mark_answer(context, kind, answer);
        self.update_job(context, &pending, answer, is_running, membership);
        let retry_after_s = response.retry_after_s;
        self.plan_next_request(context, pending.planned, answer, retry_after_s);
    }

    /// Updates what the user knows of the job, and schedules the requests that follow from it.
    fn update_job(
        &mut self,
        context: &mut Context,
        pending: &PendingRequest,
        answer: JobAnswer,
        is_running: bool,
        membership: Membership,
    ) {
        let id = pending.planned.job;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let is_newly_accepted = answer.is_acceptance() && !job.is_accepted;
        let is_newly_final = answer.is_final() && !job.is_final;
        job.is_accepted |= answer.is_acceptance();
        job.is_final |= answer.is_final();
        let is_to_be_cancelled = job.is_to_be_cancelled && !job.cancellation_requested;
        let now = context.now();
        if is_newly_accepted {
            let poll_at = now + context.random_millis(FIRST_POLL_DELAY_MS);
            PlannedRequest::schedule(context, poll_at, id, RequestKind::Poll);
            if is_to_be_cancelled {
                let cancel_at = now + context.random_millis(CANCELLATION_DELAY_MS);
                PlannedRequest::schedule(context, cancel_at, id, RequestKind::Cancel);
            }
        }
        if is_newly_final && answer == JobAnswer::Cancelled {
            self.last_confirmer = Some(pending.node);
            let is_by_follower = Some(pending.node) != membership.leader;
            mark_confirmation(context, is_running, is_by_follower);
        } else if is_newly_final {
            context.mark(Mark::JobDone);
        }
        if is_newly_accepted || is_newly_final {
            self.send_burst(context, id, membership.controller_count);
        }
    }

    /// While bursts are active: polls all nodes and repeats the submission within milliseconds, and cancels some jobs.
    fn send_burst(&self, context: &mut Context, job: JobId, controller_count: usize) {
        let now = context.now();
        if !self.bursts.is_active(now) {
            return;
        }
        context.mark(Mark::PollBurst);
        for node in (0..controller_count).map(NodeIndex) {
            for _ in 0..POLLS_PER_NODE_IN_BURST {
                let at = now + context.random_millis(BURST_SPREAD_MS);
                PlannedRequest::schedule_once(context, at, job, RequestKind::Poll, Some(node));
            }
            let at = now + context.random_millis(BURST_SPREAD_MS);
            PlannedRequest::schedule_once(context, at, job, RequestKind::Submit, Some(node));
        }
        if context.random().f64() < CANCELLATION_IN_BURST_PROBABILITY {
            let at = now + context.random_millis(CANCELLATION_IN_BURST_DELAY_MS);
            PlannedRequest::schedule(context, at, job, RequestKind::Cancel);
        }
    }

    /// Schedules the next poll, or the next attempt of a request that has no answer yet.
    fn plan_next_request(
        &self,
        context: &mut Context,
        planned: PlannedRequest,
        answer: JobAnswer,
        retry_after_s: Option<u32>,
    ) {
        let Some(first_attempt_at) = planned.first_attempt_at else {
            return;
        };
        let now = context.now();
        let id = planned.job;
        if planned.kind == RequestKind::Poll {
            let is_final = self.jobs.get(&id).is_some_and(|job| job.is_final);
            let interval = if is_final {
                FINAL_JOB_POLL_INTERVAL
            } else {
                POLL_INTERVAL
            };
            let at = now + interval + context.random_millis(POLL_INTERVAL_SPREAD_MS);
            PlannedRequest::schedule(context, at, id, RequestKind::Poll);
            return;
        }
        let is_answered = !matches!(answer, JobAnswer::Unanswered | JobAnswer::Unknown);
        let is_given_up =
            planned.kind == RequestKind::Submit && now > first_attempt_at + SUBMISSION_RETRY_PERIOD;
        if is_answered || is_given_up {
            return;
        }
        let retry_delay_s = retry_after_s.unwrap_or(MIN_RETRY_DELAY_S);
        let retry_delay_s = retry_delay_s.clamp(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S);
        let repeated = PlannedRequest {
            node: None,
            ..planned
        };
        let retry_delay = Duration::from_secs(u64::from(retry_delay_s));
        context.schedule_after(retry_delay, Event::UserRequest(repeated));
    }
}

/// Adds a response to the history, except for unanswered polls.
fn note_response(context: &mut Context, pending: &PendingRequest, response: &ParsedResponse) {
    let PlannedRequest { job, kind, .. } = pending.planned;
    if response.answer() == JobAnswer::Unanswered && kind == RequestKind::Poll {
        return;
    }
    let node = pending.node;
    let ParsedResponse {
        status, job_status, ..
    } = response;
    context.note(format!(
        "{job}: node {node} to {kind:?}: {status} {job_status}"
    ));
}

fn mark_answer(context: &mut Context, kind: RequestKind, answer: JobAnswer) {
    match answer {
        JobAnswer::Rejected => context.mark(Mark::RequestRejected),
        JobAnswer::Unanswered => {
            context.mark(Mark::RequestUnanswered);
            if kind == RequestKind::Cancel {
                context.mark(Mark::CancellationUnanswered);
            }
        }
        _ => {}
    }
}

fn mark_confirmation(context: &mut Context, is_running: bool, is_by_follower: bool) {
    context.mark(Mark::CancellationConfirmed);
    if is_running {
        context.mark(Mark::ConfirmedWhileRunning);
    }
    if is_by_follower {
        context.mark(Mark::ConfirmedByFollower);
    }
}
