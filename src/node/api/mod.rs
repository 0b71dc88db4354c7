//! Users' requests. Every node answers them from the state service: submissions and cancellations
//! are conditional writes, answers are consistent reads, so no node gives an older answer.

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
use status_queries::{Known, Listing};

/// How long users wait for an answer, less the way back.
const SUBMIT_LIMIT: Duration = Duration::from_millis(4200);
const POLL_LIMIT: Duration = Duration::from_millis(1700);
/// More at once than this are told to come back.
const MAX_OPEN: usize = 400;
/// A request is asked again, as the budget did not suffice, only with so much time left for it.
const WORTH_ASKING: Duration = Duration::from_millis(100);
/// Run records read at once, to see whether anything of a cancelled job is booked.
const BOOKINGS_PAGE: u32 = 400;
/// Final states kept in memory.
const MAX_CACHED: usize = 20_000;
/// The most bytes of submissions in one transaction.
const MAX_BATCH: usize = 40 * 1024;

/// Identifies a request of a user.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ApiRequestId(u64);

/// Who asked: a user, or another node on a user's behalf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Client {
    /// Connection that waits for the answer.
    pub conn: ConnectionId,
    /// Another controller asks on a user's behalf.
    pub is_relayed: bool,
}

/// What the user wants of a job.
#[derive(Clone, Debug)]
enum Intent {
    Submit(Box<JobRecord>),
    /// A submission that can't be accepted, unless the job is known already.
    Repeat {
        otherwise: Response,
    },
    Poll,
    Cancel,
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    /// Waits for the next shared transaction, or is in one.
    Queued,
    /// Waits for the next shared comparison, or is in one.
    Comparing,
    ReadingLive,
    ReadingCounts,
    ReadingOver,
    Cancelling,
    /// It is cancelled in the records; the leader has to know before the user does.
    AwaitingLeader,
    /// The leader can't be asked, or does not have it in hand: perhaps nothing is booked any more.
    ReadingBookings,
    /// Another node, which the state service answers, has been asked.
    Relaying,
}

struct Open {
    client: Client,
    job: JobId,
    intent: Intent,
    stage: Stage,
    until: Time,
    /// An answer of the state service was lost on the way, and it was asked again.
    repeated: bool,
}

/// Which request to the state service an outcome answers.
#[derive(Clone, Debug)]
pub enum StoreRequestPurpose {
    /// The outcome is for one request.
    Single(ApiRequestId),
    /// Submissions that share a transaction.
    SubmissionBatch(Vec<ApiRequestId>),
    /// Status queries that share a comparison.
    VersionCheck(Vec<ApiRequestId>),
    /// A page of all jobs that are not over.
    JobListing,
}

/// What the front needs done.
pub enum ApiAction {
    /// Send a request to the state service.
    SendStoreRequest(RequestClass, StoreRequest, StoreRequestPurpose),
    /// HeartbeatResponse a request.
    Respond(ConnectionId, Response),
    /// Pass a request on to another controller.
    Relay(ApiRequestId, RelayedRequest),
    /// A user is about to be told that the job is cancelled: see to it that the leader knows.
    InformLeader(JobId),
}

/// What the node knows beside the answers to the front's own requests.
pub struct NodeView<'a> {
    /// What the leader knows of a job's tasks, if this is it: finished and booked.
    pub leader_task_counts: &'a dyn Fn(JobId) -> Option<(u64, u64)>,
    /// The budget allows to look closer than has to be.
    pub has_spare_store_budget: bool,
    /// The state service has answered this node lately.
    pub is_store_reachable: bool,
}

/// Serves the users' requests of one controller.
pub struct ApiServer {
    next: u64,
    open: BTreeMap<ApiRequestId, Open>,
    queue: VecDeque<ApiRequestId>,
    in_flight: bool,
    /// Polls that wait for the next comparison, and whether one is under way.
    comparisons: VecDeque<ApiRequestId>,
    comparing: bool,
    listing: Option<Listing>,
    known: HashMap<JobId, Known>,
    finals: HashMap<JobId, OutcomeRecord>,
    finals_order: VecDeque<JobId>,
    tasks_per_record: u32,
    max_value: usize,
    max_jobs: usize,
    max_compared: usize,
    teams: Vec<Team>,
    acts: Vec<ApiAction>,
    /// Jobs that users were told are cancelled, for the other nodes to know.
    cancelled: Vec<JobId>,
}

fn problem(status: u16, error: &str) -> Response {
    Response::new(status, encode(&ErrorBody { error }))
}

/// The service can't say now; the user is told at once when to come back.
fn unavailable() -> Response {
    Response::retry_later(503, 1)
}

impl ApiServer {
    /// A server within these limits of the state service.
    pub fn new(teams: Vec<Team>, value_kb: f64, txn_ops: usize) -> ApiServer {
        ApiServer {
            next: 0,
            open: BTreeMap::new(),
            queue: VecDeque::new(),
            in_flight: false,
            comparisons: VecDeque::new(),
            comparing: false,
            listing: None,
            known: HashMap::new(),
            finals: HashMap::new(),
            finals_order: VecDeque::new(),
            tasks_per_record: records::tasks_per_record(value_kb),
            max_value: (value_kb * 1024.0) as usize,
            max_jobs: txn_ops.min(8),
            // Conditions may be four times as many as changes.
            max_compared: (txn_ops * 4).min(256),
            teams,
            acts: Vec::new(),
            cancelled: Vec::new(),
        }
    }

    /// Takes the jobs that were cancelled through this controller.
    pub fn take_cancelled_jobs(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.cancelled)
    }

    /// Takes what is to be done outside.
    pub fn take_actions(&mut self) -> Vec<ApiAction> {
        std::mem::take(&mut self.acts)
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
        self.acts.push(ApiAction::Respond(client.conn, response));
    }

    fn status(state: JobState, id: JobId, done: u64, running: u64) -> Vec<u8> {
        encode(&JobStatus {
            id,
            state,
            done_tasks: done,
            running_tasks: running,
        })
    }

    fn final_answer(id: JobId, over: OutcomeRecord) -> Response {
        let done = if over.state == JobState::Done {
            over.tasks
        } else {
            0
        };
        Response::new(200, Self::status(over.state, id, done, 0))
    }

    fn remember(&mut self, id: JobId, over: OutcomeRecord) {
        self.known.remove(&id);
        if self.finals.insert(id, over).is_none() {
            self.finals_order.push_back(id);
        }
        if self.finals_order.len() > MAX_CACHED {
            if let Some(oldest) = self.finals_order.pop_front() {
                self.finals.remove(&oldest);
            }
        }
    }

    /// The one place where a request changes its stage; each reading stage sends its read.
    fn enter(&mut self, id: ApiRequestId, stage: Stage) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let job = open.job;
        open.stage = stage;
        let class = if matches!(open.intent, Intent::Poll) {
            RequestClass::Read
        } else {
            RequestClass::User
        };
        let ask = match &open.stage {
            Stage::ReadingLive => StoreRequest::Get(records::live_key(job)),
            Stage::ReadingCounts => {
                StoreRequest::Get(records::run_key(RunRecordId { job, number: 0 }))
            }
            Stage::ReadingOver => StoreRequest::Get(records::outcome_key(job)),
            Stage::ReadingBookings => StoreRequest::List {
                prefix: records::run_prefix(job),
                after: String::new(),
                limit: BOOKINGS_PAGE,
            },
            Stage::AwaitingLeader => {
                self.acts.push(ApiAction::InformLeader(job));
                return;
            }
            Stage::Queued => {
                self.queue.push_back(id);
                return;
            }
            Stage::Comparing => {
                self.comparisons.push_back(id);
                return;
            }
            Stage::Cancelling | Stage::Relaying => return,
        };
        self.acts.push(ApiAction::SendStoreRequest(
            class,
            ask,
            StoreRequestPurpose::Single(id),
        ));
    }

    /// The state service did not do what it was asked. Where the budget did not suffice, and once
    /// where an answer was lost that others got, the same is asked again; else perhaps another node
    /// has more luck.
    fn unanswered(&mut self, id: ApiRequestId, outcome: &Outcome, view: &NodeView, now: Time) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let lost = matches!(outcome, Outcome::Unknown) && view.is_store_reachable && !open.repeated;
        open.repeated |= lost;
        if lost || matches!(outcome, Outcome::RateLimited { .. }) {
            self.again(id, now);
        } else {
            self.relay(id);
        }
    }

    /// The same again, while there is time.
    fn again(&mut self, id: ApiRequestId, now: Time) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        if open.until.since(now) < WORTH_ASKING {
            return self.finish(id, unavailable());
        }
        let stage = match open.stage {
            // What was cancelled needs the version of its record.
            Stage::Cancelling => Stage::ReadingLive,
            ref other => other.clone(),
        };
        self.enter(id, stage);
    }

    /// The state service does not answer this node; perhaps it answers another.
    fn relay(&mut self, id: ApiRequestId) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        if open.client.is_relayed || open.stage == Stage::Relaying {
            return self.finish(id, unavailable());
        }
        let relay = match &open.intent {
            Intent::Submit(record) => RelayedRequest::Submit(encode(&record.spec)),
            Intent::Repeat { .. } | Intent::Poll => RelayedRequest::Status(open.job.to_string()),
            Intent::Cancel => RelayedRequest::Cancel(open.job.to_string()),
        };
        self.enter(id, Stage::Relaying);
        self.acts.push(ApiAction::Relay(id, relay));
    }

    /// What the other node said; `None` if it could not be asked, or did not answer.
    pub fn on_relay_response(
        &mut self,
        id: ApiRequestId,
        relayed: Option<RelayedResponse>,
        now: Time,
    ) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let relayed = relayed.filter(|_| now < open.until);
        let response = match (relayed, &open.intent) {
            (None, _) => unavailable(),
            (Some(RelayedResponse { status: 404, .. }), Intent::Repeat { otherwise }) => {
                otherwise.clone()
            }
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
        if let Some(open) = self.open.remove(&id) {
            self.respond(open.client, response);
        }
    }

    /// How a job stands that was read as not over. What was read may be older than what this node has
    /// told another user meanwhile; nobody gets an older answer after that.
    fn standing(&self, job: JobId, done: u64, running: u64) -> Response {
        match self.finals.get(&job) {
            Some(over) => Self::final_answer(job, *over),
            None => Self::progress(job, done, running),
        }
    }

    fn answer_progress(&mut self, id: ApiRequestId, job: JobId, done: u64, running: u64) {
        let response = self.standing(job, done, running);
        self.finish(id, response);
    }

    // ---- the shared transactions

    /// Sends what waits, once the transaction before is answered.
    pub fn send_shared_transactions(&mut self) {
        self.submit_all();
        self.compare_all();
    }

    fn submit_all(&mut self) {
        if self.in_flight || self.queue.is_empty() {
            return;
        }
        let mut txn = Txn::default();
        let mut ids = Vec::new();
        let mut bytes = 0;
        let mut later = VecDeque::new();
        while let Some(id) = self.queue.pop_front() {
            let Some(open) = self.open.get(&id) else {
                continue;
            };
            let Intent::Submit(record) = &open.intent else {
                continue;
            };
            let size = serde_json::to_vec(record).map_or(usize::MAX, |v| v.len());
            if size > self.max_value {
                self.finish(id, problem(400, "the description is too long"));
                continue;
            }
            let key = records::live_key(open.job);
            let twice = txn.conditions.iter().any(|c| c.key == key);
            if twice || ids.len() >= self.max_jobs || (bytes + size > MAX_BATCH && !ids.is_empty())
            {
                later.push_back(id);
                continue;
            }
            bytes += size;
            txn.require(key.clone(), Version(0));
            txn.require(records::outcome_key(open.job), Version(0));
            txn.changes.push(Change::put(key, value(record)));
            ids.push(id);
        }
        self.queue = later;
        if !ids.is_empty() {
            self.in_flight = true;
            let ask = StoreRequest::Txn(txn);
            self.acts.push(ApiAction::SendStoreRequest(
                RequestClass::User,
                ask,
                StoreRequestPurpose::SubmissionBatch(ids),
            ));
        }
    }

    fn progress(job: JobId, done: u64, running: u64) -> Response {
        let state = if running > 0 {
            JobState::Running
        } else {
            JobState::Queued
        };
        Response::new(200, Self::status(state, job, done, running))
    }

    /// Requests whose time is up get their answer while their users still wait for it.
    pub fn expire_requests(&mut self, now: Time) {
        let late: Vec<ApiRequestId> = self
            .open
            .iter()
            .filter(|(_, open)| now >= open.until)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.finish(id, unavailable());
        }
    }
}
