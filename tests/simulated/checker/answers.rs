//! Invariants of what users are told. Each function judges one answer by one invariant, before the answer
//! is taken in, and returns what is wrong.

use crate::simulated::clock::SimTime;

use super::cluster_view::JobRecord;
use super::observation::{AnsweredRequest, JobAnswer, RequestKind};
use super::Invariant;

type AnswerCheck = fn(&JobRecord, &AnsweredRequest) -> Option<String>;

/// The invariants that hold for every answer about a job that was submitted.
pub(super) const ANSWER_CHECKS: [(Invariant, AnswerCheck); 4] = [
    (Invariant::AnswersNeverRegress, answer_regresses),
    (Invariant::DoneOnlyWhenComplete, done_too_early),
    (Invariant::AcceptedJobsStayKnown, accepted_job_is_unknown),
    (Invariant::InvalidJobsAreRejected, invalid_job_is_accepted),
];

/// A final answer stays, and nobody's job is cancelled unasked.
fn answer_regresses(job: &JobRecord, request: &AnsweredRequest) -> Option<String> {
    let (done_at, cancelled_at) = (job.reported_done_at, job.reported_cancelled_at);
    // Only a request that was sent after the final answer came must not get an older one.
    let was_known = |final_at: Option<SimTime>| final_at.is_some_and(|at| at < request.sent_at);
    let id = request.job;
    match request.answer {
        JobAnswer::Open if was_known(done_at) || was_known(cancelled_at) => Some(format!(
            "{id} is open after done at {done_at:?}, cancelled at {cancelled_at:?}"
        )),
        JobAnswer::Done if cancelled_at.is_some() => {
            Some(format!("{id} is done after it was cancelled"))
        }
        JobAnswer::Cancelled if done_at.is_some() => {
            Some(format!("{id} is cancelled after it was done"))
        }
        JobAnswer::Cancelled if !job.cancellation_requested => {
            Some(format!("{id} is cancelled, which nobody requested"))
        }
        _ => None,
    }
}

/// A job is done when all its tasks have run to their end; a service never is.
fn done_too_early(job: &JobRecord, request: &AnsweredRequest) -> Option<String> {
    let is_wrong = request.answer == JobAnswer::Done && (!job.is_complete() || job.spec.is_service);
    is_wrong.then(|| {
        let (complete, all) = (job.completed_tasks.len(), job.spec.task_count);
        format!("{} is done with {complete} of {all} tasks", request.job)
    })
}

/// A job that was accepted is not answered with 404, nor is its repeated submission refused.
fn accepted_job_is_unknown(job: &JobRecord, request: &AnsweredRequest) -> Option<String> {
    let is_wrong = match request.answer {
        JobAnswer::Unknown => job.is_accepted,
        JobAnswer::Rejected => job.is_accepted && request.kind == RequestKind::Submit,
        _ => false,
    };
    is_wrong.then(|| format!("{} was accepted and is {:?}", request.job, request.answer))
}

/// A request that lacks a field or can't run anywhere is not accepted.
fn invalid_job_is_accepted(job: &JobRecord, request: &AnsweredRequest) -> Option<String> {
    let is_wrong = job.spec.is_invalid && request.answer == JobAnswer::Open;
    is_wrong.then(|| format!("{} lacks a field or can't run anywhere", request.job))
}
