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
/// How long users wait for the response to a submission or a cancellation.
const SUBMIT_OR_CANCEL_TIMEOUT: Duration = Duration::from_secs(5);
/// Random delay of each submission that one command of the scenario causes.
const SUBMISSION_SPREAD_MS: Range<u64> = 0..100;
/// Delay from the completion of a job's last task to its cancellation, if the cancellation is to race with the
/// completion.
const CANCELLATION_AT_COMPLETION_DELAY_MS: Range<u64> = 0..300;
/// Delay from a cancellation that races with the completion to the poll that follows it.
const POLL_DELAY_AFTER_RACING_CANCELLATION: Duration = Duration::from_millis(3);
/// The run time of a task is its expected run time times a random factor, which is at least `MIN_RUN_TIME_SHARE` and
/// less than the sum of both constants.
const MIN_RUN_TIME_SHARE: f64 = 0.8;
const RUN_TIME_SHARE_SPREAD: f64 = 0.4;
/// Interval between the submissions of invalid jobs.
const INVALID_JOB_INTERVAL: Duration = Duration::from_millis(50);
/// Delays of the repeated submissions, and of the cancellations of finished jobs, that accompany invalid jobs.
const REPEATED_SUBMISSION_DELAY: Duration = Duration::from_millis(10);
const LATE_CANCELLATION_DELAY: Duration = Duration::from_millis(20);

/// A request whose user waits for the response.
struct PendingRequest {
    planned: PlannedRequest,
    /// The controller to which it was sent.
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
    /// Whether the user was told that the job is done or cancelled.
    is_final: bool,
    cancellation_requested: bool,
    /// Whether the user cancels the job some time after its acceptance.
    is_to_be_cancelled: bool,
}

/// All users with their jobs and pending requests.
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
    /// The profile that a worker needs to run a task. `None` if there is no such task, or its job is invalid.
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

    /// Lets users poll in bursts during the given window.
    pub fn poll_in_bursts(&mut self, window: FaultWindow) {
        self.bursts = window;
    }

    /// Lets users cancel some jobs when their last task completes.
    pub fn cancel_at_completion(&mut self, fault: RandomFault) {
        self.cancellation_at_completion = fault;
    }
}

/// Submissions and cancellations.
impl Users {
    /// Schedules submissions of jobs. Users cancel the given share of them later.
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

    /// Schedules submissions of invalid jobs, which must be rejected, repeated submissions of all accepted jobs, and
    /// cancellations of jobs that are done or cancelled.
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

    /// Creates a job, tells the checker about it, and schedules its submission.
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

    /// Jobs that are not known to be over and whose cancellation has not been requested, in random order: all of them
    /// with `includes_waiting`, otherwise only those with running tasks.
    pub fn choose_jobs_to_cancel(
        &self,
        context: &mut Context,
        includes_waiting: bool,
    ) -> Vec<JobId> {
        let is_open = |job: &UserJob| !job.cancellation_requested && !job.is_final;
        let open = self.jobs.iter().filter(|(_, job)| is_open(job));
        let mut chosen: Vec<JobId> = open
            .map(|(id, _)| *id)
            .filter(|id| includes_waiting || context.checker().running_task_count(*id) > 0)
            .collect();
        context.random().shuffle(&mut chosen);
        chosen
    }

    /// Notes that a task has run to completion. Some users cancel their job when its last task completes. A replica
    /// of a service never completes its job; that it ended is only marked.
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
            let at = context.now() + context.random_millis(CANCELLATION_AT_COMPLETION_DELAY_MS);
            PlannedRequest::schedule(context, at, id, RequestKind::Cancel);
            PlannedRequest::schedule_once(context, at, id, RequestKind::Submit, None);
            let poll_at = at + POLL_DELAY_AFTER_RACING_CANCELLATION;
            PlannedRequest::schedule_once(context, poll_at, id, RequestKind::Poll, None);
        }
    }
}

/// Chooses the run time of the tasks of a job. `None` if they run until they are stopped.
fn run_time(context: &mut Context, template: &JobTemplate) -> Option<Duration> {
    if template.is_service {
        return template.replica_run_time;
    }
    let share = MIN_RUN_TIME_SHARE + RUN_TIME_SHARE_SPREAD * context.random().f64();
    let milliseconds = template.run_time.as_millis() as f64 * share;
    Some(Duration::from_millis(milliseconds as u64))
}

/// Sending requests.
impl Users {
    /// Sends a user's request to its node, or else to the load balancer's choice. Without either it is not sent, and
    /// times out.
    pub fn send(
        &mut self,
        context: &mut Context,
        network: &Network,
        planned: PlannedRequest,
        balancer_choice: Option<NodeIndex>,
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
        let node = planned.node.or(balancer_choice);
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
        RequestKind::Submit | RequestKind::Cancel => SUBMIT_OR_CANCEL_TIMEOUT,
    }
}
