//! The users: they submit jobs, poll them, cancel some, and repeat requests that got no answer.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use ciborium::Value;
use lichencrank::protocol::decode;
use lichencrank::transport::{ListenerKind, Request, Response};
use lichencrank_testkit::values::text;

use super::checker::{AnsweredRequest, JobAnswer, Observation, RequestKind};
use super::clock::SimTime;
use super::context::Context;
use super::event_queue::Event;
use super::faults::{FaultWindow, RandomFault};
use super::history::Mark;
use super::ids::{JobId, NodeIndex, RequestId, TaskId};
use super::job_template::{Defect, JobTemplate};
use super::network::{Network, RemoteEnd, Requester};
use super::worker::TaskProfile;

/// How long users wait for a response.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long users repeat a submission that got no answer. A cancellation is repeated without end, as the
/// job may run until it is confirmed.
const SUBMISSION_RETRIES: Duration = Duration::from_secs(60);
/// The time between two attempts, in seconds, whatever the response asks for.
const RETRY_AFTER_LIMITS_S: (u32, u32) = (1, 30);
const FIRST_POLL_DELAY_MS: Range<u64> = 1000..5000;
const POLL_INTERVAL: Duration = Duration::from_secs(5);
const POLL_INTERVAL_OF_FINAL_JOBS: Duration = Duration::from_secs(20);
const POLL_INTERVAL_SPREAD_MS: Range<u64> = 0..1000;
/// When users of whom a share cancels do so, after the job was accepted.
const CANCELLATION_DELAY_MS: Range<u64> = 0..8000;
/// Submissions of one command spread over this time.
const SUBMISSION_SPREAD_MS: Range<u64> = 0..100;
/// When users cancel a job as its last task ends.
const COMPLETION_RACE_MS: Range<u64> = 0..300;
const POLL_AFTER_COMPLETION_RACE: Duration = Duration::from_millis(3);
/// In a burst users send so many polls to each node, and with this probability cancel the job.
const POLLS_IN_A_BURST: usize = 3;
const BURST_SPREAD_MS: Range<u64> = 1..26;
const CANCELLATION_IN_BURST_PROBABILITY: f64 = 0.2;
const CANCELLATION_IN_BURST_MS: Range<u64> = 0..20;
/// A task that runs for its expected time takes this share of it at least, and so much more at random.
const LEAST_RUN_TIME_SHARE: f64 = 0.8;
const RUN_TIME_SHARE_SPREAD: f64 = 0.4;
/// The time from one invalid job to the next.
const INVALID_JOB_INTERVAL: Duration = Duration::from_millis(50);
/// When repeated requests go out beside invalid jobs.
const REPEATED_SUBMISSION_DELAY: Duration = Duration::from_millis(10);
const LATE_CANCELLATION_DELAY: Duration = Duration::from_millis(20);

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

/// What users are told of the cluster's members.
#[derive(Clone, Copy, Debug)]
pub struct Membership {
    /// How many controllers there are.
    pub controller_count: usize,
    /// Which of them leads.
    pub leader: Option<NodeIndex>,
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
                plan_single_request(context, at, *id, RequestKind::Submit, None);
            }
            if job.is_final {
                let at = now + LATE_CANCELLATION_DELAY;
                plan_single_request(context, at, *id, RequestKind::Cancel, None);
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
        plan_request(context, submitted_at, id, RequestKind::Submit, None);
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
            plan_request(context, at, id, RequestKind::Cancel, None);
            plan_single_request(context, at, id, RequestKind::Submit, None);
            let poll_at = at + POLL_AFTER_COMPLETION_RACE;
            plan_single_request(context, poll_at, id, RequestKind::Poll, None);
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

/// Plans a request that is repeated until it has an answer.
pub fn plan_request(
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

/// Plans a request that is sent once.
fn plan_single_request(
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

/// Requests and responses.
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
            context.observe(Observation::CancellationRequested(planned.job));
            if context.checker().running_task_count(planned.job) > 0 {
                context.mark(Mark::RunningJobCancelled);
            }
        }
        let request = http_request(&planned, &job.request_body);
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let node = planned.node.or(balanced);
        let pending = PendingRequest {
            planned,
            node: node.unwrap_or(NodeIndex(0)),
            sent_at: now,
        };
        self.pending_requests.insert(id, pending);
        let timeout = match planned.kind {
            RequestKind::Poll => POLL_TIMEOUT,
            RequestKind::Submit | RequestKind::Cancel => CHANGE_TIMEOUT,
        };
        context.schedule_after(timeout, Event::UserTimeout(id));
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
        let retry_after_s = response.as_ref().and_then(|response| response.retry_after);
        let answer = note_answer(context, &pending, response);
        let PlannedRequest { job, kind, .. } = pending.planned;
        let is_running = context.checker().running_task_count(job) > 0;
        context.observe(Observation::RequestAnswered(AnsweredRequest {
            job,
            kind,
            sent_at: pending.sent_at,
            answer,
        }));
        mark_answer(context, kind, answer);
        self.learn(context, &pending, answer, is_running, membership);
        self.plan_next_request(context, &pending.planned, answer, retry_after_s);
    }

    /// What a user makes of an answer about a job.
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
        if is_newly_accepted {
            let poll_at = context.now() + context.random_millis(FIRST_POLL_DELAY_MS);
            plan_request(context, poll_at, id, RequestKind::Poll, None);
            if is_to_be_cancelled {
                let cancel_at = context.now() + context.random_millis(CANCELLATION_DELAY_MS);
                plan_request(context, cancel_at, id, RequestKind::Cancel, None);
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
                plan_single_request(context, at, job, RequestKind::Poll, Some(node));
            }
            let at = now + context.random_millis(BURST_SPREAD_MS);
            plan_single_request(context, at, job, RequestKind::Submit, Some(node));
        }
        if context.random().f64() < CANCELLATION_IN_BURST_PROBABILITY {
            let at = now + context.random_millis(CANCELLATION_IN_BURST_MS);
            plan_request(context, at, job, RequestKind::Cancel, None);
        }
    }

    /// Polls go on without end; other requests are repeated until they have an answer.
    fn plan_next_request(
        &self,
        context: &mut Context,
        planned: &PlannedRequest,
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
            let interval = match is_final {
                true => POLL_INTERVAL_OF_FINAL_JOBS,
                false => POLL_INTERVAL,
            };
            let at = now + interval + context.random_millis(POLL_INTERVAL_SPREAD_MS);
            plan_request(context, at, id, RequestKind::Poll, None);
            return;
        }
        let is_answered = !matches!(answer, JobAnswer::Unanswered | JobAnswer::Unknown);
        let is_given_up =
            planned.kind == RequestKind::Submit && now > first_attempt_at + SUBMISSION_RETRIES;
        if is_answered || is_given_up {
            return;
        }
        let (least, most) = RETRY_AFTER_LIMITS_S;
        let pause_s = retry_after_s.unwrap_or(least).clamp(least, most);
        let repeated = PlannedRequest {
            node: None,
            ..*planned
        };
        let pause = Duration::from_secs(u64::from(pause_s));
        context.schedule_after(pause, Event::UserRequest(repeated));
    }
}

fn http_request(planned: &PlannedRequest, job_body: &[u8]) -> Request {
    let job = planned.job;
    let (method, target, body) = match planned.kind {
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

/// Adds an answer to the history, and returns what it means.
fn note_answer(
    context: &mut Context,
    pending: &PendingRequest,
    response: Option<Response>,
) -> JobAnswer {
    let status = response.as_ref().map_or(0, |response| response.status);
    let body: Option<Value> = response.and_then(|response| decode(&response.body).ok());
    let state = body.map_or(String::new(), |body| text(&body, "status"));
    let answer = match (status, state.as_str()) {
        (200 | 201, "queued" | "running") => JobAnswer::Open,
        (200, "done") => JobAnswer::Done,
        (200, "cancelled") => JobAnswer::Cancelled,
        (404, _) => JobAnswer::Unknown,
        (400 | 422, _) => JobAnswer::Rejected,
        _ => JobAnswer::Unanswered,
    };
    let PlannedRequest { job, kind, .. } = pending.planned;
    if answer != JobAnswer::Unanswered || kind != RequestKind::Poll {
        let node = pending.node;
        context.note(format!("{job}: node {node} to {kind:?}: {status} {state}"));
    }
    answer
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
