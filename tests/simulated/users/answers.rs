//! What users make of responses: they learn of their jobs, and plan what to send next.

use std::ops::Range;
use std::time::Duration;

use lichencrank::transport::Response;

use super::request::{PlannedRequest, ReadResponse};
use super::{PendingRequest, Users};
use crate::simulated::checker::{AnsweredRequest, JobAnswer, Observation, RequestKind};
use crate::simulated::context::Context;
use crate::simulated::event_queue::Event;
use crate::simulated::history::Mark;
use crate::simulated::ids::{JobId, NodeIndex, RequestId};

/// How long users repeat a submission that got no answer. A cancellation is repeated without end, as the
/// job may run until it is confirmed.
const SUBMISSION_RETRIES: Duration = Duration::from_secs(60);
/// The least and the most time between two attempts, in seconds, whatever the response asks for.
const LEAST_RETRY_PAUSE_S: u32 = 1;
const MOST_RETRY_PAUSE_S: u32 = 30;
const FIRST_POLL_DELAY_MS: Range<u64> = 1000..5000;
const POLL_INTERVAL: Duration = Duration::from_secs(5);
const POLL_INTERVAL_OF_FINAL_JOBS: Duration = Duration::from_secs(20);
const POLL_INTERVAL_SPREAD_MS: Range<u64> = 0..1000;
/// When users of whom a share cancels do so, after the job was accepted.
const CANCELLATION_DELAY_MS: Range<u64> = 0..8000;
/// In a burst users send so many polls to each node, and with this probability cancel the job.
const POLLS_IN_A_BURST: usize = 3;
const BURST_SPREAD_MS: Range<u64> = 1..26;
const CANCELLATION_IN_BURST_PROBABILITY: f64 = 0.2;
const CANCELLATION_IN_BURST_MS: Range<u64> = 0..20;

/// What users are told of the cluster's members.
#[derive(Clone, Copy, Debug)]
pub struct Membership {
    /// How many controllers there are.
    pub controller_count: usize,
    /// Which of them leads.
    pub leader: Option<NodeIndex>,
}

impl Users {
    /// A response arrives, or the user no longer waits for one.
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
        let response = ReadResponse::new(response);
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
        self.learn(context, &pending, answer, is_running, membership);
        let retry_after_s = response.retry_after_s;
        self.plan_next_request(context, pending.planned, answer, retry_after_s);
    }

    /// What a user learns of a job from an answer.
    fn learn(
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

    /// Users poll all nodes within milliseconds, repeat the submission, and some cancel.
    fn send_burst(&self, context: &mut Context, job: JobId, controller_count: usize) {
        let now = context.now();
        if !self.bursts.is_active(now) {
            return;
        }
        context.mark(Mark::PollBurst);
        for node in (0..controller_count).map(NodeIndex) {
            for _ in 0..POLLS_IN_A_BURST {
                let at = now + context.random_millis(BURST_SPREAD_MS);
                PlannedRequest::schedule_once(context, at, job, RequestKind::Poll, Some(node));
            }
            let at = now + context.random_millis(BURST_SPREAD_MS);
            PlannedRequest::schedule_once(context, at, job, RequestKind::Submit, Some(node));
        }
        if context.random().f64() < CANCELLATION_IN_BURST_PROBABILITY {
            let at = now + context.random_millis(CANCELLATION_IN_BURST_MS);
            PlannedRequest::schedule(context, at, job, RequestKind::Cancel);
        }
    }

    /// Polls go on without end; other requests are repeated until they have an answer.
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
                POLL_INTERVAL_OF_FINAL_JOBS
            } else {
                POLL_INTERVAL
            };
            let at = now + interval + context.random_millis(POLL_INTERVAL_SPREAD_MS);
            PlannedRequest::schedule(context, at, id, RequestKind::Poll);
            return;
        }
        let is_answered = !matches!(answer, JobAnswer::Unanswered | JobAnswer::Unknown);
        let is_given_up =
            planned.kind == RequestKind::Submit && now > first_attempt_at + SUBMISSION_RETRIES;
        if is_answered || is_given_up {
            return;
        }
        let pause_s = retry_after_s.unwrap_or(LEAST_RETRY_PAUSE_S);
        let pause_s = pause_s.clamp(LEAST_RETRY_PAUSE_S, MOST_RETRY_PAUSE_S);
        let repeated = PlannedRequest {
            node: None,
            ..planned
        };
        let pause = Duration::from_secs(u64::from(pause_s));
        context.schedule_after(pause, Event::UserRequest(repeated));
    }
}

/// Adds a response to the history, other than a poll without an answer.
fn note_response(context: &mut Context, pending: &PendingRequest, response: &ReadResponse) {
    let PlannedRequest { job, kind, .. } = pending.planned;
    if response.answer() == JobAnswer::Unanswered && kind == RequestKind::Poll {
        return;
    }
    let node = pending.node;
    let ReadResponse {
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
