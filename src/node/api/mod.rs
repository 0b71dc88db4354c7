//! Users' requests. Every node answers them from the state service: submissions and cancellations
//! are conditional writes, answers are consistent reads, so no node gives an older answer.

mod status_queries;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use super::peer_messages;
use crate::coordination::placement;
use crate::protocol::cloud::MachineType;
use crate::protocol::encode;
use crate::protocol::peers::{RelayedRequest, RelayedResponse};
use crate::protocol::state::{value, Change, Item, Page, Txn};
use crate::protocol::users::{self, JobSpec, JobState, JobStatus, Problem, Submission};
use crate::settings::Team;
use crate::storage::records::{self, JobRecord, OverRecord, RunRecord};
use crate::storage::store::{Ask, Class, Outcome};
use crate::transport::{ConnId, Response};
use crate::types::{JobId, Stamp, Time};
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
    pub conn: ConnId,
    /// Another controller asks on a user's behalf.
    pub relayed: bool,
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
pub enum ApiStateRequest {
    /// The outcome is for one request.
    One(ApiRequestId),
    /// Submissions that share a transaction.
    Batch(Vec<ApiRequestId>),
    /// Status queries that share a comparison.
    Comparison(Vec<ApiRequestId>),
    /// A page of all jobs that are not over.
    Listing,
}

/// What the front needs done.
pub enum ApiAction {
    /// Ask the state service.
    Ask(Class, Ask, ApiStateRequest),
    /// Answer a request.
    Respond(ConnId, Response),
    /// Pass a request on to another controller.
    Relay(ApiRequestId, RelayedRequest),
    /// A user is about to be told that the job is cancelled: see to it that the leader knows.
    InformLeader(JobId),
}

/// What the node knows beside the answers to the front's own requests.
pub struct View<'a> {
    /// What the leader knows of a job's tasks, if this is it: finished and booked.
    pub counts: &'a dyn Fn(JobId) -> Option<(u64, u64)>,
    /// The budget allows to look closer than has to be.
    pub spare: bool,
    /// The state service has answered this node lately.
    pub answers: bool,
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
    finals: HashMap<JobId, OverRecord>,
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
    Response::new(status, encode(&Problem { error }))
}

/// The service can't say now; the user is told at once when to come back.
fn unavailable() -> Response {
    Response::later(503, 1)
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
    pub fn take_cancelled(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.cancelled)
    }

    /// Takes what is to be done outside.
    pub fn take_acts(&mut self) -> Vec<ApiAction> {
        std::mem::take(&mut self.acts)
    }

    fn respond(&mut self, client: Client, mut response: Response) {
        if client.relayed {
            let relayed = RelayedResponse {
                status: response.status,
                retry_after: response.retry_after,
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
            done,
            running,
        })
    }

    fn final_answer(id: JobId, over: OverRecord) -> Response {
        let done = if over.state == JobState::Done {
            over.tasks
        } else {
            0
        };
        Response::new(200, Self::status(over.state, id, done, 0))
    }

    fn remember(&mut self, id: JobId, over: OverRecord) {
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

    // ---- requests

    /// Takes in a submission; `at_ms` is the time of day.
    pub fn submit(
        &mut self,
        client: Client,
        body: &[u8],
        types: &[MachineType],
        at_ms: u64,
        now: Time,
    ) {
        match users::read_submission(body) {
            Submission::Hopeless(wrong) => self.respond(client, problem(400, &wrong)),
            Submission::Bad(id, wrong) => {
                let otherwise = problem(400, &wrong);
                self.begin(client, id, Intent::Repeat { otherwise }, now);
            }
            Submission::Good(spec) => {
                let id = spec.id;
                let intent = match self.can_ever_run(&spec, types) {
                    Some(Ok(())) => {
                        let mut record = JobRecord {
                            spec: *spec,
                            at_ms,
                            chunk: self.tasks_per_record,
                        };
                        record.shorten(self.max_value, types);
                        Intent::Submit(Box::new(record))
                    }
                    Some(Err(why)) => Intent::Repeat {
                        otherwise: problem(422, why),
                    },
                    None => Intent::Repeat {
                        otherwise: unavailable(),
                    },
                };
                self.begin(client, id, intent, now);
            }
        }
    }

    /// `None` while that can't be told, as the machine types are not known.
    fn can_ever_run(
        &self,
        spec: &JobSpec,
        types: &[MachineType],
    ) -> Option<Result<(), &'static str>> {
        let Some(team) = self.teams.iter().find(|t| t.name == spec.team) else {
            return Some(Err("unknown team"));
        };
        let (cpus, gpus) = team.limits();
        // The replicas of a service all run at once.
        let at_once = if spec.is_service() {
            spec.tasks as f64
        } else {
            1.0
        };
        if spec.cpus.0 * at_once > cpus || spec.gpus.0 * at_once > gpus {
            return Some(Err("it needs more than the team's limit"));
        }
        if types.is_empty() {
            return None;
        }
        if types.iter().any(|t| placement::type_suits(spec, t)) {
            Some(Ok(()))
        } else {
            Some(Err("a task fits no allowed machine type"))
        }
    }

    /// Takes in a status query.
    pub fn poll(&mut self, client: Client, id: &str, now: Time) {
        match JobId::parse(id) {
            Some(id) => self.begin(client, id, Intent::Poll, now),
            None => self.respond(client, problem(404, "no such job")),
        }
    }

    /// Takes in a cancellation.
    pub fn cancel(&mut self, client: Client, id: &str, now: Time) {
        match JobId::parse(id) {
            Some(id) => self.begin(client, id, Intent::Cancel, now),
            None => self.respond(client, problem(404, "no such job")),
        }
    }

    fn begin(&mut self, client: Client, job: JobId, intent: Intent, now: Time) {
        if let Some(over) = self.finals.get(&job).copied() {
            self.respond(client, Self::final_answer(job, over));
            return;
        }
        if self.open.len() >= MAX_OPEN {
            self.respond(client, Response::later(503, 2));
            return;
        }
        self.next += 1;
        let id = ApiRequestId(self.next);
        let submits = matches!(intent, Intent::Submit(_));
        let limit = if matches!(intent, Intent::Poll) {
            POLL_LIMIT
        } else {
            SUBMIT_LIMIT
        };
        let until = now.after(limit);
        self.open.insert(
            id,
            Open {
                client,
                job,
                intent,
                stage: Stage::Queued,
                until,
                repeated: false,
            },
        );
        let stage = if submits {
            Stage::Queued
        } else if limit == POLL_LIMIT {
            Stage::Comparing
        } else {
            Stage::ReadingLive
        };
        self.enter(id, stage);
    }

    /// The one place where a request changes its stage; each reading stage sends its read.
    fn enter(&mut self, id: ApiRequestId, stage: Stage) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let job = open.job;
        open.stage = stage;
        let class = if matches!(open.intent, Intent::Poll) {
            Class::Read
        } else {
            Class::User
        };
        let ask = match &open.stage {
            Stage::ReadingLive => Ask::Get(records::live_key(job)),
            Stage::ReadingCounts => Ask::Get(records::run_key(job, 0)),
            Stage::ReadingOver => Ask::Get(records::over_key(job)),
            Stage::ReadingBookings => Ask::List {
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
        self.acts
            .push(ApiAction::Ask(class, ask, ApiStateRequest::One(id)));
    }

    /// The state service did not do what it was asked. Where the budget did not suffice, and once
    /// where an answer was lost that others got, the same is asked again; else perhaps another node
    /// has more luck.
    fn unanswered(&mut self, id: ApiRequestId, outcome: &Outcome, view: &View, now: Time) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let lost = matches!(outcome, Outcome::Unknown) && view.answers && !open.repeated;
        open.repeated |= lost;
        if lost || matches!(outcome, Outcome::Busy) {
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
        if open.client.relayed || open.stage == Stage::Relaying {
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
    pub fn on_relayed(&mut self, id: ApiRequestId, relayed: Option<RelayedResponse>, now: Time) {
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
                retry_after: relayed.retry_after,
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
    pub fn pump(&mut self) {
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
            txn.require(key.clone(), Stamp(0));
            txn.require(records::over_key(open.job), Stamp(0));
            txn.changes.push(Change::put(key, value(record)));
            ids.push(id);
        }
        self.queue = later;
        if !ids.is_empty() {
            self.in_flight = true;
            let ask = Ask::Txn(txn);
            self.acts.push(ApiAction::Ask(
                Class::User,
                ask,
                ApiStateRequest::Batch(ids),
            ));
        }
    }

    // ---- outcomes

    /// Takes in the outcome of a request to the state service.
    pub fn on_outcome(&mut self, ask: ApiStateRequest, outcome: Outcome, view: &View, now: Time) {
        // What lay here while this process stood still is an old answer; nobody gets it any more.
        let asked = match &ask {
            ApiStateRequest::Batch(ids) | ApiStateRequest::Comparison(ids) => &ids[..],
            ApiStateRequest::One(id) => std::slice::from_ref(id),
            ApiStateRequest::Listing => &[],
        };
        for id in asked {
            if self.open.get(id).is_some_and(|open| now >= open.until) {
                self.finish(*id, unavailable());
            }
        }
        match ask {
            ApiStateRequest::Batch(ids) => self.on_batch(ids, outcome, view, now),
            ApiStateRequest::One(id) => self.on_one(id, outcome, view, now),
            ApiStateRequest::Comparison(ids) => self.on_comparison(ids, outcome, view, now),
            ApiStateRequest::Listing => self.on_listing(outcome, view, now),
        }
    }

    fn on_batch(&mut self, ids: Vec<ApiRequestId>, outcome: Outcome, view: &View, now: Time) {
        self.in_flight = false;
        for id in ids {
            let Some(open) = self.open.get(&id) else {
                continue;
            };
            let job = open.job;
            match &outcome {
                Outcome::Applied(revision) => {
                    if !self.finals.contains_key(&job) {
                        self.know(job, *revision);
                    }
                    let mut response = self.standing(job, 0, 0);
                    response.status = 201;
                    self.finish(id, response);
                }
                Outcome::Conflict(failed) => {
                    let (live, over) = (records::live_key(job), records::over_key(job));
                    if failed.iter().any(|k| *k == live || *k == over) {
                        self.enter(id, Stage::ReadingLive);
                    } else {
                        self.enter(id, Stage::Queued);
                    }
                }
                // It can be carried out only once, so repeating it is safe, also by another node.
                _ => self.unanswered(id, &outcome, view, now),
            }
        }
    }

    fn on_one(&mut self, id: ApiRequestId, outcome: Outcome, view: &View, now: Time) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let (job, stage) = (open.job, open.stage.clone());
        match (stage, outcome) {
            (Stage::ReadingLive, Outcome::Item(Some(item))) => {
                self.on_live_record(id, job, &item, view);
            }
            (Stage::ReadingLive, Outcome::Item(None)) => self.enter(id, Stage::ReadingOver),
            (Stage::ReadingCounts, Outcome::Item(item)) => self.on_counts(id, job, item, now),
            (Stage::ReadingOver, Outcome::Item(Some(item))) => self.on_final_record(id, job, &item),
            // Neither live nor over: as that move is atomic and one-way, it was never accepted.
            (Stage::ReadingOver, Outcome::Item(None)) => self.never_accepted(id),
            (Stage::Cancelling, Outcome::Applied(_)) => {
                self.cancelled.push(job);
                self.enter(id, Stage::AwaitingLeader);
            }
            (Stage::ReadingBookings, Outcome::Page(page)) => self.on_bookings(id, job, &page),
            // It was finished or cancelled by another: look again.
            (Stage::Cancelling, Outcome::Conflict(_)) => {
                self.enter(id, Stage::ReadingLive);
            }
            // That the job is not over is known; the counts are for display.
            (Stage::ReadingCounts, _) => {
                let (done, running) = self.known.get(&job).map_or((0, 0), |k| k.counts);
                self.answer_progress(id, job, done, running);
            }
            (_, outcome) => self.unanswered(id, &outcome, view, now),
        }
    }

    fn cancels(&self, id: ApiRequestId) -> bool {
        let open = self.open.get(&id);
        open.is_some_and(|open| matches!(open.intent, Intent::Cancel))
    }

    /// The job's record is where it stands until the job is over, or shows that it got done.
    fn on_live_record(&mut self, id: ApiRequestId, job: JobId, item: &Item, view: &View) {
        if let Some(over) = records::over_in_place(&item.value) {
            self.remember(job, over);
            self.finish(id, Self::final_answer(job, over));
            return;
        }
        self.know(job, item.stamp);
        if self.cancels(id) {
            self.send_cancellation(id, job, item.stamp);
        } else if let Some((done, running)) = (view.counts)(job) {
            self.answer_progress(id, job, done, running);
        } else {
            self.enter(id, Stage::ReadingCounts);
        }
    }

    /// The first run record, which counts the tasks of all.
    fn on_counts(&mut self, id: ApiRequestId, job: JobId, item: Option<Item>, now: Time) {
        let record: Option<RunRecord> = item.and_then(|i| i.record());
        let (done, running) = record.map_or((0, 0), |r| {
            (r.done_count() + r.rest.0, r.booked.len() as u64 + r.rest.1)
        });
        if let Some(known) = self.known.get_mut(&job) {
            known.counts = (done, running);
            known.counted = now;
        }
        self.answer_progress(id, job, done, running);
    }

    fn on_final_record(&mut self, id: ApiRequestId, job: JobId, item: &Item) {
        match item.record::<OverRecord>() {
            Some(over) if over.state == JobState::Cancelled => {
                if self.cancels(id) {
                    self.cancelled.push(job);
                }
                self.enter(id, Stage::AwaitingLeader);
            }
            Some(over) => {
                self.remember(job, over);
                self.finish(id, Self::final_answer(job, over));
            }
            None => self.finish(id, unavailable()),
        }
    }

    /// The run records of a cancelled job, read after the cancellation.
    fn on_bookings(&mut self, id: ApiRequestId, job: JobId, page: &Page) {
        let booked = |item: &Item| {
            let record: Option<RunRecord> = item.record();
            record.is_none_or(|r| !r.booked.is_empty())
        };
        if page.more || page.items.iter().any(booked) {
            self.finish(id, unavailable());
        } else {
            self.confirm_cancelled(id, job);
        }
    }

    /// The leader's word on a cancellation: whether it has it in hand.
    pub fn on_leader_answer(&mut self, job: JobId, acknowledged: bool, now: Time) {
        let waiting = self.open.iter();
        let waiting = waiting.filter(|(_, o)| o.job == job && o.stage == Stage::AwaitingLeader);
        for id in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
            let late = self.open.get(&id).is_some_and(|open| now >= open.until);
            if late {
                self.finish(id, unavailable());
            } else if acknowledged {
                self.confirm_cancelled(id, job);
            } else {
                self.enter(id, Stage::ReadingBookings);
            }
        }
    }

    fn confirm_cancelled(&mut self, id: ApiRequestId, job: JobId) {
        let (state, tasks) = (JobState::Cancelled, 0);
        let over = OverRecord { state, tasks };
        self.remember(job, over);
        self.finish(id, Self::final_answer(job, over));
    }

    fn progress(job: JobId, done: u64, running: u64) -> Response {
        let state = if running > 0 {
            JobState::Running
        } else {
            JobState::Queued
        };
        Response::new(200, Self::status(state, job, done, running))
    }

    fn send_cancellation(&mut self, id: ApiRequestId, job: JobId, live: Stamp) {
        let over = OverRecord {
            state: JobState::Cancelled,
            tasks: 0,
        };
        let mut txn = Txn::default();
        txn.require(records::live_key(job), live);
        txn.changes.push(Change::delete(records::live_key(job)));
        txn.changes
            .push(Change::put(records::over_key(job), value(&over)));
        self.enter(id, Stage::Cancelling);
        let ask = Ask::Txn(txn);
        self.acts
            .push(ApiAction::Ask(Class::User, ask, ApiStateRequest::One(id)));
    }

    fn never_accepted(&mut self, id: ApiRequestId) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        if self.known.contains_key(&open.job) || self.finals.contains_key(&open.job) {
            // It was accepted, here, while this was read.
            return self.enter(id, Stage::ReadingLive);
        }
        match open.intent.clone() {
            Intent::Repeat { otherwise } => self.finish(id, otherwise),
            // It lost a race against a cancellation's record that is not there: try once more.
            Intent::Submit(_) => self.enter(id, Stage::Queued),
            Intent::Poll | Intent::Cancel => self.finish(id, problem(404, "no such job")),
        }
    }

    /// Requests whose time is up get their answer while their users still wait for it.
    pub fn expire(&mut self, now: Time) {
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
