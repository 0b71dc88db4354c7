//! The users: they submit jobs, poll them, cancel some, and repeat requests that got no answer.

mod answers;
mod request;

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use lichencrank::transport::ListenerKind;

use super::checker::{Observation, RequestKind};
use super::clock::SimTime;
use super::context::Context;
use super::event_queue::Event;
use super::faults::{FaultWindow, RandomFault};
use super::history::Mark;
use super::ids::{JobId, NodeIndex, RequestId, TaskId};
use super::job_template::{Defect, JobTemplate};
use super::network::{Network, RemoteEnd, Requester};
use super::worker::TaskProfile;
pub use answers::Membership;
pub use request::PlannedRequest;

const POLL_TIMEOUT: Duration = Duration::from_secs(2);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Submissions of one command spread over this time.
const SUBMISSION_SPREAD_MS: Range<u64> = 0..100;
/// When users cancel a job as its last task ends.
const COMPLETION_RACE_MS: Range<u64> = 0..300;
const POLL_AFTER_COMPLETION_RACE: Duration = Duration::from_millis(3);
/// A task that runs for its expected time takes this share of it at least, and so much more at random.
const LEAST_RUN_TIME_SHARE: f64 = 0.8;
const RUN_TIME_SHARE_SPREAD: f64 = 0.4;
/// The time from one invalid job to the next.
const INVALID_JOB_INTERVAL: Duration = Duration::from_millis(50);
/// When repeated requests go out beside invalid jobs.
const REPEATED_SUBMISSION_DELAY: Duration = Duration::from_millis(10);
const LATE_CANCELLATION_DELAY: Duration = Duration::from_millis(20);

/// A request whose user still waits.
struct PendingRequest {
    planned: PlannedRequest,
    /// The controller that got it.
    node: NodeIndex,
    sent_at: SimTime,
}

struct UserJob {
    request_body: Vec<u8>,
    task_count: u32,
    profile: TaskProfile,
    completed_task_count: u32,
    is_invalid: bool,
    is_accepted: bool,
    /// The user was told that it is done or cancelled.
    is_final: bool,
    cancellation_requested: bool,
    /// The user cancels it a while after it was accepted.
    is_to_be_cancelled: bool,
}

/// All users with their jobs.
#[derive(Default)]
pub struct Users {
    jobs: BTreeMap<JobId, UserJob>,
    last_job: u64,
    pending_requests: BTreeMap<RequestId, PendingRequest>,
    last_request: u64,
    bursts: FaultWindow,
    cancellation_at_completion: RandomFault,
    /// The node that was the last to confirm a cancellation.
    last_confirmer: Option<NodeIndex>,
}

impl Users {
    /// What workers learn of a task.
    pub fn task_profile(&self, task: &str) -> Option<TaskProfile> {
        let TaskId { job, index } = TaskId::parse(task)?;
        let job = self.jobs.get(&job)?;
        let exists = !job.is_invalid && index < job.task_count;
        exists.then_some(job.profile)
    }

    /// The node that was the last to confirm a cancellation.
    pub fn last_confirmer(&self) -> Option<NodeIndex> {
        self.last_confirmer
    }

    /// Users poll in bursts while this lasts.
    pub fn poll_in_bursts(&mut self, window: FaultWindow) {
        self.bursts = window;
    }

    /// Users cancel some jobs as their last task ends.
    pub fn cancel_at_completion(&mut self, fault: RandomFault) {
        self.cancellation_at_completion = fault;
    }
}

/// What users decide to do.
impl Users {
    /// Users submit jobs, of which they cancel a share later.
    pub fn submit_jobs(
        &mut self,
        context: &mut Context,
        template: &JobTemplate,
        count: u64,
        interval: Duration,
        cancelled_share: f64,
    ) {
        for number in 0..count {
            let spread = context.random_millis(SUBMISSION_SPREAD_MS);
            let submitted_at = context.now() + interval * number as u32 + spread;
            self.plan_job(context, template, None, cancelled_share, submitted_at);
        }
    }

    /// Users submit jobs that must be rejected, repeat all submissions that were accepted, and cancel jobs
    /// that are over.
    pub fn submit_invalid_jobs(&mut self, context: &mut Context, team: &str, count: u64) {
        let now = context.now();
        let template = JobTemplate::small(team);
        for number in 0..count {
            let defect = match number % 2 {
                0 => Defect::TooLarge,
                _ => Defect::MissingField,
            };
            let submitted_at = now + INVALID_JOB_INTERVAL * number as u32;
            self.plan_job(context, &template, Some(defect), 0.0, submitted_at);
        }
        for (id, job) in &self.jobs {
            if !job.is_invalid && job.is_accepted {
                let at = now + REPEATED_SUBMISSION_DELAY;
                PlannedRequest::schedule_once(context, at, *id, RequestKind::Submit, None);
            }
            if job.is_final {
                let at = now + LATE_CANCELLATION_DELAY;
                PlannedRequest::schedule_once(context, at, *id, RequestKind::Cancel, None);
            }
        }
    }

    fn plan_job(
        &mut self,
        context: &mut Context,
        template: &JobTemplate,
        defect: Option<Defect>,
        cancelled_share: f64,
        submitted_at: SimTime,
    ) {
        self.last_job += 1;
        let id = JobId(self.last_job);
        let is_to_be_cancelled = context.random().f64() < cancelled_share;
        let job = UserJob {
            request_body: template.request_body(id, defect),
            task_count: template.task_count,
            profile: TaskProfile {
                cpus: template.cpus_per_task,
                run_time: run_time(context, template),
            },
            completed_task_count: 0,
            is_invalid: defect.is_some(),
            is_accepted: false,
            is_final: false,
            cancellation_requested: false,
            is_to_be_cancelled,
        };
        self.jobs.insert(id, job);
        context.observe(Observation::JobPlanned {
            job: id,
            spec: template.spec(defect),
        });
        PlannedRequest::schedule(context, submitted_at, id, RequestKind::Submit);
    }

    /// Jobs that are neither over nor cancelled, in random order: those with running tasks, or all.
    pub fn choose_jobs_to_cancel(
        &self,
        context: &mut Context,
        include_waiting: bool,
    ) -> Vec<JobId> {
        let is_open = |job: &UserJob| !job.cancellation_requested && !job.is_final;
        let open = self.jobs.iter().filter(|(_, job)| is_open(job));
        let mut chosen: Vec<JobId> = open
            .map(|(id, _)| *id)
            .filter(|id| include_waiting || context.checker().running_task_count(*id) > 0)
            .collect();
        context.random().shuffle(&mut chosen);
        chosen
    }

    /// A replica of a service has ended, or a task of another job is complete.
    pub fn handle_completed_task(&mut self, context: &mut Context, id: JobId) {
        if context.checker().is_service(id) {
            context.mark(Mark::ReplicaEnded);
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.completed_task_count += 1;
        if job.completed_task_count < job.task_count {
            return;
        }
        context.mark(Mark::LastTaskDone);
        if context.occurs(self.cancellation_at_completion) {
            context.mark(Mark::CancelledAtCompletion);
            let at = context.now() + context.random_millis(COMPLETION_RACE_MS);
            PlannedRequest::schedule(context, at, id, RequestKind::Cancel);
            PlannedRequest::schedule_once(context, at, id, RequestKind::Submit, None);
            let poll_at = at + POLL_AFTER_COMPLETION_RACE;
            PlannedRequest::schedule_once(context, poll_at, id, RequestKind::Poll, None);
        }
    }
}

/// How long a task of such a job runs.
fn run_time(context: &mut Context, template: &JobTemplate) -> Option<Duration> {
    if template.is_service {
        return template.replica_run_time;
    }
    let share = LEAST_RUN_TIME_SHARE + RUN_TIME_SHARE_SPREAD * context.random().f64();
    let milliseconds = template.run_time.as_millis() as f64 * share;
    Some(Duration::from_millis(milliseconds as u64))
}

/// Sending requests.
impl Users {
    /// A user sends a request. `balanced`: the load balancer's choice; without one, and without a node in
    /// the request, nobody gets it.
    pub fn send(
        &mut self,
        context: &mut Context,
        network: &Network,
        planned: PlannedRequest,
        balanced: Option<NodeIndex>,
    ) {
        let now = context.now();
        let Some(job) = self.jobs.get_mut(&planned.job) else {
            return;
        };
        if planned.kind == RequestKind::Cancel && !job.cancellation_requested {
            job.cancellation_requested = true;
            observe_cancellation(context, planned.job);
        }
        let request = planned.to_http(&job.request_body);
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let node = planned.node.or(balanced);
        let pending = PendingRequest {
            planned,
            node: node.unwrap_or(NodeIndex(0)),
            sent_at: now,
        };
        self.pending_requests.insert(id, pending);
        context.schedule_after(response_timeout(planned.kind), Event::UserTimeout(id));
        let Some(node) = node else { return };
        let latency = context.network_latency();
        let arrival = Event::ControllerRequest {
            node,
            listener: ListenerKind::Public,
            requester: Requester::User(id),
            request,
        };
        network.send(context, node, RemoteEnd::User, latency, arrival);
    }
}

fn observe_cancellation(context: &mut Context, job: JobId) {
    context.observe(Observation::CancellationRequested(job));
    if context.checker().running_task_count(job) > 0 {
        context.mark(Mark::RunningJobCancelled);
    }
}

/// How long a user waits for a response.
fn response_timeout(kind: RequestKind) -> Duration {
    match kind {
        RequestKind::Poll => POLL_TIMEOUT,
        RequestKind::Submit | RequestKind::Cancel => CHANGE_TIMEOUT,
    }
}
