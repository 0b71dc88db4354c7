//! The API for users. Every controller serves it from the state service: submissions and cancellations are conditional
//! writes and responses are based on consistent reads, so that no controller responds with an outdated state.

mod outcomes;
mod requests;
mod status_queries;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use super::peer_messages;
use crate::coordination::scheduling::scoring;
use crate::protocol::cloud::MachineType;
use crate::protocol::encode;
use crate::protocol::peers::{RelayedRequest, RelayedResponse};
use crate::protocol::users::{self, ErrorBody, JobSpec, JobState, JobStatus, Submission};
use crate::settings::Team;
use crate::storage::records::{self, JobRecord, OutcomeRecord, RunRecord, RunRecordId};
use crate::storage::store::{Outcome, RequestClass, StoreRequest};
use crate::transport::{ConnectionId, Response};
use crate::types::{JobId, Time, Version};
use lichencrank_store::{value, Change, Item, Page, Txn};
use status_queries::{JobListing, KnownJob};

/// Within this time a submission or a cancellation is answered: how long users wait, less the time that the response
/// takes to reach them.
const SUBMISSION_TIMEOUT: Duration = Duration::from_millis(4200);
/// The same for a status query.
const STATUS_QUERY_TIMEOUT: Duration = Duration::from_millis(1700);
/// Requests beyond this number of open ones are answered 503 with a Retry-After header.
const MAX_OPEN_REQUESTS: usize = 400;
/// A request to the state service is repeated only if at least this much time is left until the user's deadline.
const MIN_RETRY_TIME: Duration = Duration::from_millis(100);
/// Most run records that are read to find out whether any task of a cancelled job is allocated.
const RUN_RECORD_PAGE_SIZE: u32 = 400;
/// Outcomes of jobs that are kept in memory.
const MAX_CACHED_OUTCOMES: usize = 20_000;
/// Most bytes of job records in one transaction, unless it holds a single one.
const MAX_BATCH_BYTES: usize = 40 * 1024;

/// Identifies a request of a user.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ApiRequestId(u64);

/// The sender of a request: a user, or another controller that relays a user's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Client {
    /// Connection that waits for the response.
    pub conn: ConnectionId,
    /// Whether another controller relays a user's request.
    pub is_relayed: bool,
}

/// What a request is to do with its job.
#[derive(Clone, Debug)]
enum Operation {
    Submit(Box<JobRecord>),
    /// A submission that cannot be accepted. If its job was accepted earlier, it is a repetition and answered with the
    /// status of the job; otherwise it gets the rejection.
    RejectUnlessKnown {
        rejection: Response,
    },
    QueryStatus,
    Cancel,
}

/// What an open request waits for.
#[derive(Clone, Debug, PartialEq)]
enum Stage {
    /// The next batch of submissions, or the outcome of the one in flight.
    Batching,
    /// The next shared version check, or the outcome of the one in flight.
    CheckingVersion,
    /// The job's record under `live/`.
    ReadingJobRecord,
    /// The job's first run record, which holds the task counts.
    ReadingTaskCounts,
    /// The job's outcome under `over/`.
    ReadingOutcome,
    /// The outcome of the transaction that cancels the job.
    Cancelling,
    /// The job is cancelled in the records. The leader has to acknowledge that before the user is told.
    AwaitingLeader,
    /// The leader could not be asked or did not acknowledge the cancellation. It is confirmed if the run records show
    /// that no task of the job is allocated any more.
    ReadingAllocations,
    /// The response of another controller, which can reach the state service.
    Relaying,
}

/// A request that has not been answered yet.
struct OpenRequest {
    client: Client,
    job: JobId,
    operation: Operation,
    stage: Stage,
    /// When the user gets a response at the latest.
    deadline: Time,
    /// Whether a request to the state service was repeated because its response was lost.
    has_repeated_lost: bool,
}

/// What a request to the state service was sent for.
#[derive(Clone, Debug)]
pub enum StoreRequestPurpose {
    /// One request of a user.
    Single(ApiRequestId),
    /// Submissions that share one transaction.
    SubmissionBatch(Vec<ApiRequestId>),
    /// Status queries that share one check of the versions of job records.
    VersionCheck(Vec<ApiRequestId>),
    /// A page of the records of all unfinished jobs.
    JobListing,
}

/// What the API server asks the node to do.
pub enum ApiAction {
    /// Send a request to the state service.
    SendStoreRequest(RequestClass, StoreRequest, StoreRequestPurpose),
    /// Send the response to a request.
    Respond(ConnectionId, Response),
    /// Relay a request to another controller.
    Relay(ApiRequestId, RelayedRequest),
    /// Ask the leader to acknowledge that the job is cancelled, before its user is told so.
    InformLeader(JobId),
}

/// What the node knows apart from the outcomes of the API server's own requests.
pub struct NodeView<'a> {
    /// The number of finished and the number of allocated tasks of a job, if this controller is the leader and knows
    /// it.
    pub leader_task_counts: &'a dyn Fn(JobId) -> Option<(u64, u64)>,
    /// Whether the rate limit of the state service leaves room for requests that are not strictly needed.
    pub has_spare_store_budget: bool,
    /// Whether the state service has responded to this controller recently.
    pub is_store_reachable: bool,
}

/// Serves the requests that users send to one controller.
pub struct ApiServer {
    last_request_number: u64,
    open_requests: BTreeMap<ApiRequestId, OpenRequest>,
    /// Submissions that wait for the next batch.
    submission_queue: VecDeque<ApiRequestId>,
    is_batch_in_flight: bool,
    /// Status queries that wait for the next version check.
    version_check_queue: VecDeque<ApiRequestId>,
    is_version_check_in_flight: bool,
    /// The listing of all unfinished jobs that is in flight, if one is.
    job_listing: Option<JobListing>,
    /// Jobs that were unfinished when this controller last read their records.
    known_jobs: HashMap<JobId, KnownJob>,
    cached_outcomes: HashMap<JobId, OutcomeRecord>,
    /// The jobs of the cached outcomes, the oldest entry first.
    cached_outcome_order: VecDeque<JobId>,
    tasks_per_record: u32,
    max_value_bytes: usize,
    max_batch_jobs: usize,
    max_version_checks: usize,
    teams: Vec<Team>,
    actions: Vec<ApiAction>,
    /// Jobs that were cancelled through this controller, which the other controllers have to learn of.
    cancelled_jobs: Vec<JobId>,
}

fn error_response(status: u16, error: &str) -> Response {
    Response::new(status, encode(&ErrorBody { error }))
}

/// The response if the request cannot be served now; it tells the user when to retry.
fn unavailable_response() -> Response {
    Response::retry_later(503, 1)
}

impl ApiServer {
    /// A server without open requests. `value_kb` and `txn_ops` are the state service's limits for the size of a value
    /// and for the number of changes in a transaction.
    pub fn new(teams: Vec<Team>, value_kb: f64, txn_ops: usize) -> ApiServer {
        ApiServer {
            last_request_number: 0,
            open_requests: BTreeMap::new(),
            submission_queue: VecDeque::new(),
            is_batch_in_flight: false,
            version_check_queue: VecDeque::new(),
            is_version_check_in_flight: false,
            job_listing: None,
            known_jobs: HashMap::new(),
            cached_outcomes: HashMap::new(),
            cached_outcome_order: VecDeque::new(),
            tasks_per_record: records::tasks_per_record(value_kb),
            max_value_bytes: (value_kb * 1024.0) as usize,
            max_batch_jobs: txn_ops.min(8),
            // A transaction may have four times as many conditions as changes.
            max_version_checks: (txn_ops * 4).min(256),
            teams,
            actions: Vec::new(),
            cancelled_jobs: Vec::new(),
        }
    }

    /// Takes the jobs that were cancelled through this controller since the last call.
    pub fn take_cancelled_jobs(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.cancelled_jobs)
    }

    /// Takes the actions that the node is to carry out.
    pub fn take_actions(&mut self) -> Vec<ApiAction> {
        std::mem::take(&mut self.actions)
    }

    fn respond(&mut self, client: Client, mut response: Response) {
        if client.is_relayed {
            let relayed = RelayedResponse {
                status: response.status,
                retry_after_s: response.retry_after,
                body: response.body,
            };
            response = peer_messages::response(&relayed);
        }
        self.actions.push(ApiAction::Respond(client.conn, response));
    }

    fn status_body(state: JobState, job: JobId, done: u64, running: u64) -> Vec<u8> {
        encode(&JobStatus {
            id: job,
            state,
            done_tasks: done,
            running_tasks: running,
        })
    }

    fn outcome_response(job: JobId, outcome: OutcomeRecord) -> Response {
        let done = if outcome.state == JobState::Done {
            outcome.tasks
        } else {
            0
        };
        Response::new(200, Self::status_body(outcome.state, job, done, 0))
    }

    fn cache_outcome(&mut self, job: JobId, outcome: OutcomeRecord) {
        self.known_jobs.remove(&job);
        if self.cached_outcomes.insert(job, outcome).is_none() {
            self.cached_outcome_order.push_back(job);
        }
        if self.cached_outcome_order.len() > MAX_CACHED_OUTCOMES {
            if let Some(oldest) = self.cached_outcome_order.pop_front() {
                self.cached_outcomes.remove(&oldest);
            }
        }
    }

    /// Changes the stage of a request. Nothing else does. Stages that read send their request to the state service
    /// here.
    fn enter_stage(&mut self, id: ApiRequestId, stage: Stage) {
        let Some(request) = self.open_requests.get_mut(&id) else {
            return;
        };
        let job = request.job;
        request.stage = stage;
        let class = if matches!(request.operation, Operation::QueryStatus) {
            RequestClass::Read
        } else {
            RequestClass::User
        };
        let store_request = match &request.stage {
            Stage::ReadingJobRecord => StoreRequest::Get(records::live_key(job)),
            Stage::ReadingTaskCounts => {
                StoreRequest::Get(records::run_key(RunRecordId { job, number: 0 }))
            }
            Stage::ReadingOutcome => StoreRequest::Get(records::outcome_key(job)),
            Stage::ReadingAllocations => StoreRequest::List {
                prefix: records::run_prefix(job),
                after: String::new(),
                limit: RUN_RECORD_PAGE_SIZE,
            },
            Stage::AwaitingLeader => {
                self.actions.push(ApiAction::InformLeader(job));
                return;
            }
            Stage::Batching => {
                self.submission_queue.push_back(id);
                return;
            }
            Stage::CheckingVersion => {
                self.version_check_queue.push_back(id);
                return;
            }
            Stage::Cancelling | Stage::Relaying => return,
        };
        self.actions.push(ApiAction::SendStoreRequest(
            class,
            store_request,
            StoreRequestPurpose::Single(id),
        ));
    }

    /// A request to the state service was not processed, or its response was lost. It is repeated if the rate limit
    /// refused it, and once if only its response was lost while others arrive. Otherwise the user's request is relayed
    /// to another controller, which may be able to reach the state service.
    fn on_failed_store_request(
        &mut self,
        id: ApiRequestId,
        outcome: &Outcome,
        view: &NodeView,
        now: Time,
    ) {
        let Some(request) = self.open_requests.get_mut(&id) else {
            return;
        };
        let repeats_lost = matches!(outcome, Outcome::Unknown)
            && view.is_store_reachable
            && !request.has_repeated_lost;
        request.has_repeated_lost |= repeats_lost;
        if repeats_lost || matches!(outcome, Outcome::RateLimited { .. }) {
            self.retry(id, now);
        } else {
            self.relay(id);
        }
    }

    /// Repeats the current stage if enough time is left until the deadline.
    fn retry(&mut self, id: ApiRequestId, now: Time) {
        let Some(request) = self.open_requests.get(&id) else {
            return;
        };
        if request.deadline.since(now) < MIN_RETRY_TIME {
            return self.finish(id, unavailable_response());
        }
        let stage = match request.stage {
            // The cancellation needs the current version of the job's record.
            Stage::Cancelling => Stage::ReadingJobRecord,
            ref stage => stage.clone(),
        };
        self.enter_stage(id, stage);
    }

    /// Relays the request to another controller, which may be able to reach the state service. A request that was
    /// relayed to this controller is answered 503 instead.
    fn relay(&mut self, id: ApiRequestId) {
        let Some(request) = self.open_requests.get(&id) else {
            return;
        };
        if request.client.is_relayed || request.stage == Stage::Relaying {
            return self.finish(id, unavailable_response());
        }
        let relayed_request = match &request.operation {
            Operation::Submit(record) => RelayedRequest::Submit(encode(&record.spec)),
            Operation::RejectUnlessKnown { .. } | Operation::QueryStatus => {
                RelayedRequest::Status(request.job.to_string())
            }
            Operation::Cancel => RelayedRequest::Cancel(request.job.to_string()),
        };
        self.enter_stage(id, Stage::Relaying);
        self.actions.push(ApiAction::Relay(id, relayed_request));
    }

    /// Handles the response of another controller to a relayed request; `None` if the request could not be sent or got
    /// no response.
    pub fn on_relay_response(
        &mut self,
        id: ApiRequestId,
        relayed_response: Option<RelayedResponse>,
        now: Time,
    ) {
        let Some(request) = self.open_requests.get(&id) else {
            return;
        };
        let timely_response = relayed_response.filter(|_| now < request.deadline);
        let response = match (timely_response, &request.operation) {
            (None, _) => unavailable_response(),
            (
                Some(RelayedResponse { status: 404, .. }),
                Operation::RejectUnlessKnown { rejection },
            ) => rejection.clone(),
            (Some(relayed), _) => Response {
                status: relayed.status,
                retry_after: relayed.retry_after_s,
                body: relayed.body,
                close: false,
            },
        };
        self.finish(id, response);
    }

    fn finish(&mut self, id: ApiRequestId, response: Response) {
        if let Some(request) = self.open_requests.remove(&id) {
            self.respond(request.client, response);
        }
    }

    /// The status of a job that was read as unfinished. If this controller has told another user of the job's outcome
    /// since the read, the response is that outcome, so that no user gets an older state afterwards.
    fn status_response(&self, job: JobId, done: u64, running: u64) -> Response {
        match self.cached_outcomes.get(&job) {
            Some(outcome) => Self::outcome_response(job, *outcome),
            None => Self::progress_response(job, done, running),
        }
    }

    fn finish_with_status(&mut self, id: ApiRequestId, job: JobId, done: u64, running: u64) {
        let response = self.status_response(job, done, running);
        self.finish(id, response);
    }

    // ---- transactions that several requests share

    /// Sends the queued submissions and status queries, unless their previous transaction is still in flight.
    pub fn send_shared_transactions(&mut self) {
        self.send_submission_batch();
        self.send_version_check();
    }

    fn send_submission_batch(&mut self) {
        if self.is_batch_in_flight || self.submission_queue.is_empty() {
            return;
        }
        let mut txn = Txn::default();
        let mut request_ids = Vec::new();
        let mut batch_bytes = 0;
        let mut remaining_queue = VecDeque::new();
        while let Some(id) = self.submission_queue.pop_front() {
            let Some(request) = self.open_requests.get(&id) else {
                continue;
            };
            let Operation::Submit(record) = &request.operation else {
                continue;
            };
            let record_bytes = serde_json::to_vec(record).map_or(usize::MAX, |json| json.len());
            if record_bytes > self.max_value_bytes {
                self.finish(id, error_response(400, "the description is too long"));
                continue;
            }
            let key = records::live_key(request.job);
            let is_job_in_batch = txn.conditions.iter().any(|c| c.key == key);
            if is_job_in_batch
                || request_ids.len() >= self.max_batch_jobs
                || (batch_bytes + record_bytes > MAX_BATCH_BYTES && !request_ids.is_empty())
            {
                remaining_queue.push_back(id);
                continue;
            }
            batch_bytes += record_bytes;
            txn.require(key.clone(), Version(0));
            txn.require(records::outcome_key(request.job), Version(0));
            txn.changes.push(Change::put(key, value(record)));
            request_ids.push(id);
        }
        self.submission_queue = remaining_queue;
        if !request_ids.is_empty() {
            self.is_batch_in_flight = true;
            let store_request = StoreRequest::Txn(txn);
            self.actions.push(ApiAction::SendStoreRequest(
                RequestClass::User,
                store_request,
                StoreRequestPurpose::SubmissionBatch(request_ids),
            ));
        }
    }

    fn progress_response(job: JobId, done: u64, running: u64) -> Response {
        let state = if running > 0 {
            JobState::Running
        } else {
            JobState::Queued
        };
        Response::new(200, Self::status_body(state, job, done, running))
    }

    /// Answers the requests whose deadline has passed, while their users still wait for a response.
    pub fn expire_requests(&mut self, now: Time) {
        let expired: Vec<ApiRequestId> = self
            .open_requests
            .iter()
            .filter(|(_, request)| now >= request.deadline)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.finish(id, unavailable_response());
        }
    }
}
