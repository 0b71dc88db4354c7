//! Invariants of the answers that users get. Each function checks one answer against one invariant, before
//! the answer is recorded, and returns a description of the violation.

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

/// A final status doesn't change, and a job is reported as cancelled only if a user requested that.
fn answer_regresses(job: &JobRecord, request: &AnsweredRequest) -> Option<String> {
    let (done_at, cancelled_at) = (job.reported_done_at, job.reported_cancelled_at);
    // A request that was sent before the final answer arrived may still be answered with an older status.
    let was_known = |final_at: Option<SimTime>| final_at.is_some_and(|at| at < request.sent_at);
    let id = request.job;
    match request.answer {
        JobAnswer::Open if was_known(done_at) || was_known(cancelled_at) => Some(format!(
            "{id} is reported open after it was reported done at {done_at:?}, cancelled at {cancelled_at:?}"
        )),
        JobAnswer::Done if cancelled_at.is_some() => {
            Some(format!("{id} is reported done after it was reported cancelled"))
        }
        JobAnswer::Cancelled if done_at.is_some() => {
            Some(format!("{id} is reported cancelled after it was reported done"))
        }
        JobAnswer::Cancelled if !job.cancellation_requested => {
            Some(format!("{id} is reported cancelled, which nobody requested"))
        }
        _ => None,
    }
}

/// A job is reported as done only after all its tasks have run to their end, and a service never is.
fn done_too_early(job: &JobRecord, request: &AnsweredRequest) -> Option<String> {
    let is_wrong = request.answer == JobAnswer::Done && (!job.is_complete() || job.spec.is_service);
    is_wrong.then(|| {
        let (complete, total) = (job.completed_tasks.len(), job.spec.task_count);
        format!(
            "{} is reported done with {complete} of {total} tasks complete",
            request.job
        )
    })
}

/// A job that was accepted is not answered with 404, nor is its repeated submission refused.
fn accepted_job_is_unknown(job: &JobRecord, request: &AnsweredRequest) -> Option<String> {
    let is_wrong = match request.answer {
        JobAnswer::Unknown => job.is_accepted,
        JobAnswer::Rejected => job.is_accepted && request.kind == RequestKind::Submit,
        _ => false,
    };
    is_wrong.then(|| {
        format!(
            "{} was accepted, but answered with {:?}",
            request.job, request.answer
        )
    })
}

/// A job that lacks a field or fits no host is not accepted.
fn invalid_job_is_accepted(job: &JobRecord, request: &AnsweredRequest) -> Option<String> {
    let is_wrong = job.spec.is_invalid && request.answer == JobAnswer::Open;
    is_wrong.then(|| {
        format!(
            "{} is accepted although it lacks a field or fits no host",
            request.job
        )
    })
}
