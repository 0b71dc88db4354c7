//! A running node: ties transport, records, leadership and decisions together.

pub mod api;
mod cancellations;
mod heartbeats;
mod leader_duties;
mod leader_locality;
mod peer_messages;

use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::coordination::leadership::{Leadership, LeadershipAction, Seen, Step};
use crate::coordination::{Controller, Deposed, Policy};
use crate::protocol::cloud::{MachineType, MachineTypes};
use crate::protocol::peers::{self, RelayedRequest};
use crate::protocol::state::Page;
use crate::protocol::workers::{Answer, Elsewhere, Report};
use crate::protocol::{decode, encode};
use crate::settings::{Settings, Tuning};
use crate::storage::records::{self, HolderRecord, TermRecord};
use crate::storage::store::{Ask, Class, Outcome, StateRequestId, Store};
use crate::transport::{CallId, ConnId, Door, Happening, Network, Request, Response, Transport};
use crate::types::{seconds, HostName, JobId, Stamp, Term, Time};
use api::{ApiAction, ApiRequestId, ApiServer, ApiStateRequest, Client, View};
use heartbeats::PeerLink;
use leader_duties::{LeaderDuties, LeaderRequest};

/// Whose request to the state service it was.
enum Purpose {
    Lead(Step, Time),
    LeaderDuties(Term, LeaderRequest),
    ApiServer(ApiStateRequest),
    Types,
}

const LOOP_INTERVAL: Duration = Duration::from_millis(100);
const LEAD_LIMIT: Duration = Duration::from_millis(1200);
const RELAY_TIMEOUT: Duration = Duration::from_millis(1200);
const TYPES_RETRY: Duration = Duration::from_secs(2);
/// The state service counts as lost to this node after so long without a good answer.
const STATE_LOST: Duration = Duration::from_millis(2500);
/// How long a user's request is tried with it then, before another node is asked.
const UNANSWERED_LIMIT: Duration = Duration::from_millis(450);
const LOCALITY_INTERVAL: Duration = Duration::from_millis(500);
/// How long nodes outside the zone with the most machines let the key lie.
const CAMPAIGN_DELAY: Duration = Duration::from_millis(900);
/// How long a better placed peer must have been fit before the leader makes room.
const TRANSFER_AFTER: Duration = Duration::from_secs(15);
const WORKERS_FOR: Duration = Duration::from_secs(6);
const MAX_WORKERS: usize = 10_000;
/// Cancellations in one heartbeat.
const MAX_CANCELLATIONS: usize = 300;
const SUMMARY_EVERY: Duration = Duration::from_secs(10);
/// What the nodes together leave of the budgets, for requests that are counted late.
const HEADROOM: f64 = 0.92;

/// One controller: all that runs in a process.
pub struct Node<N> {
    settings: Settings,
    tuning: Tuning,
    net: N,
    store: Store,
    leadership: Leadership,
    duties: Option<LeaderDuties>,
    api: ApiServer,
    purposes: HashMap<StateRequestId, Purpose>,
    peers: Vec<PeerLink>,
    types: Vec<MachineType>,
    types_due: Time,
    types_call: Option<CallId>,
    relays: HashMap<CallId, ApiRequestId>,
    /// The zone that holds the most machines, as far as this node has heard.
    home: Option<String>,
    /// What this node spends of the state service's budgets in a second, and what it had spent in
    /// all when that was last looked at.
    spends: (f64, f64),
    spent: (f64, f64),
    spent_at: Time,
    /// Jobs that some node told its user were cancelled, and until when that is worth telling.
    cancelled: BTreeMap<JobId, Time>,
    /// Cancellations that the leader has to know before a user is told, and the call that asks it.
    to_acknowledge: BTreeSet<JobId>,
    acknowledging: Option<(CallId, Vec<JobId>)>,
    /// Workers that reported here lately, and when.
    workers: BTreeMap<HostName, Time>,
    locality_at: Time,
    /// What was last said in the log about the state service.
    state_ok: bool,
    /// Since when a peer in the home zone has been fit to lead while this node does.
    better_since: Option<Time>,
    summary_at: Time,
    /// When this process was last seen to move.
    awake_at: Time,
    turns: Option<Histogram<u64>>,
}

impl Node<Transport> {
    /// Opens the addresses of the settings.
    pub fn open(settings: Settings, tuning: Tuning) -> Result<Node<Transport>, String> {
        let sockets = settings.settings.resources.sockets;
        let mut transport = Transport::new(sockets).map_err(|e| format!("event loop: {e}"))?;
        for (at, door) in [
            (settings.front, Door::Front),
            (settings.internal, Door::Internal),
        ] {
            transport
                .listen(at, door)
                .map_err(|e| format!("listening on {at}: {e}"))?;
        }
        Ok(Node::new(settings, tuning, transport, fastrand::u64(..)))
    }

    /// Waits for something to happen, and does all that is due.
    pub fn turn(&mut self) -> Result<(), String> {
        let until = self.next_wake();
        self.net
            .wait(until)
            .map_err(|e| format!("event loop: {e}"))?;
        let started = self.turns.is_some().then(Instant::now);
        while let Some(happening) = self.net.happened() {
            self.on(happening);
        }
        self.attend();
        if let (Some(turns), Some(started)) = (&mut self.turns, started) {
            turns.saturating_record(started.elapsed().as_micros() as u64);
        }
        Ok(())
    }
}

impl<N: Network> Node<N> {
    /// `incarnation` tells this process from others of the same name, before and after it.
    pub fn new(settings: Settings, tuning: Tuning, net: N, incarnation: u64) -> Node<N> {
        let service = &settings.settings;
        let store = new_store(&settings);
        let ttl = seconds(tuning.leader_lease_s);
        let leadership = Leadership::new(&settings.name, ttl, incarnation);
        let api = ApiServer::new(
            service.teams.clone(),
            service.state.value_kb,
            service.state.txn_ops,
        );
        let peers = settings
            .peers
            .iter()
            .map(|p| PeerLink::new(p.addr))
            .collect();
        log::info!(
            "{} in {} listens on {}",
            settings.name,
            settings.zone,
            settings.front
        );
        Node {
            net,
            store,
            leadership,
            duties: None,
            api,
            purposes: HashMap::new(),
            peers,
            types: Vec::new(),
            types_due: Time::default(),
            types_call: None,
            relays: HashMap::new(),
            home: None,
            spends: (0.0, 0.0),
            spent: (0.0, 0.0),
            spent_at: Time::default(),
            cancelled: BTreeMap::new(),
            to_acknowledge: BTreeSet::new(),
            acknowledging: None,
            workers: BTreeMap::new(),
            locality_at: Time::default(),
            state_ok: false,
            better_since: None,
            summary_at: Time::default(),
            awake_at: Time::default(),
            turns: turn_histogram(),
            settings,
            tuning,
        }
    }

    /// When the node wants to move again, if nothing happens before.
    pub fn next_wake(&self) -> Time {
        let now = self.net.now();
        now.after(LOOP_INTERVAL)
            .min(self.leadership.next_wake().max(now))
    }

    /// Takes in what the outside did.
    pub fn on(&mut self, happening: Happening) {
        self.detect_pause();
        match happening {
            Happening::Request {
                conn,
                door,
                request,
            } => self.on_request(conn, door, request),
            Happening::Reply { call, result } => self.on_reply(call, result),
        }
    }

    /// Does all that is due, and sends all that is ready.
    pub fn attend(&mut self) {
        self.detect_pause();
        self.due();
        self.pump();
    }

    /// A process may be halted anywhere while its clock runs on. Nothing here takes as long as a
    /// leader's lease by itself.
    fn detect_pause(&mut self) {
        let now = self.net.now();
        let gap = now.since(self.awake_at);
        self.awake_at = now;
        if gap < seconds(self.tuning.leader_lease_s) {
            return;
        }
        log::info!("stood still for {gap:?}");
        if let Some(duties) = &mut self.duties {
            duties.controller.resumed_after_pause();
        }
    }

    // ---- requests

    fn on_request(&mut self, conn: ConnId, door: Door, request: Request) {
        let now = self.net.now();
        let path = request.target.split('?').next().unwrap_or("");
        let method = request.method.as_str();
        if door == Door::Internal {
            return self.on_peer_request(conn, method, path, &request.body);
        }
        let client = Client {
            conn,
            relayed: false,
        };
        let job = path.strip_prefix("/api/jobs/");
        let cancelled = job.and_then(|j| j.strip_suffix("/withdraw"));
        match (method, path, job, cancelled) {
            ("GET", "/healthz", ..) => {
                let healthy = self.is_healthy(now);
                let response = if healthy {
                    Response::new(200, Vec::new())
                } else {
                    Response::later(503, 1)
                };
                self.net.respond(conn, &response);
            }
            ("POST", "/agent/beat", ..) => {
                let response = self.on_beat(&request.body);
                self.net.respond(conn, &response);
            }
            ("POST", "/api/jobs", ..) => {
                self.api.submit(
                    client,
                    &request.body,
                    &self.types,
                    self.net.time_of_day(),
                    now,
                );
            }
            ("POST", _, _, Some(id)) => self.api.cancel(client, id, now),
            ("GET", _, Some(id), None) if !id.contains('/') => self.api.poll(client, id, now),
            (_, "/healthz" | "/agent/beat" | "/api/jobs", ..) | (_, _, _, Some(_)) => {
                self.net.respond(conn, &Response::new(405, Vec::new()));
            }
            (_, _, Some(id), None) if !id.contains('/') => {
                self.net.respond(conn, &Response::new(405, Vec::new()));
            }
            _ => self.net.respond(conn, &Response::new(404, Vec::new())),
        }
    }

    fn on_peer_request(&mut self, conn: ConnId, method: &str, path: &str, body: &[u8]) {
        let now = self.net.now();
        let client = Client {
            conn,
            relayed: true,
        };
        let response = match (method, path) {
            ("POST", peers::HEARTBEAT_PATH) => self.on_heartbeat(body),
            ("POST", peers::CANCELLED_PATH) => self.on_cancelled_by_peer(body),
            ("POST", peers::RELAY_PATH) => match peers::decode(body) {
                Ok(RelayedRequest::Submit(job)) => {
                    self.api
                        .submit(client, &job, &self.types, self.net.time_of_day(), now);
                    return;
                }
                Ok(RelayedRequest::Status(id)) => return self.api.poll(client, &id, now),
                Ok(RelayedRequest::Cancel(id)) => return self.api.cancel(client, &id, now),
                Err(error) => peer_messages::refusal(path, &error),
            },
            _ => Response::new(404, Vec::new()),
        };
        self.net.respond(conn, &response);
    }

    /// Passes a user's request on to a node that the state service answers.
    fn relay(&mut self, id: ApiRequestId, relay: &RelayedRequest) {
        let now = self.net.now();
        let fit = self
            .peers
            .iter()
            .find(|p| p.recent_heartbeat(now).is_some_and(|h| h.state_ok));
        let Some(peer) = fit else {
            return self.api.on_relayed(id, None, now);
        };
        let to = peer.addr;
        let call = peer_messages::send(&mut self.net, to, peers::RELAY_PATH, relay, RELAY_TIMEOUT);
        match call {
            Some(call) => {
                self.relays.insert(call, id);
            }
            None => self.api.on_relayed(id, None, now),
        }
    }

    fn on_beat(&mut self, body: &[u8]) -> Response {
        let report: Report = match decode(body) {
            Ok(report) => report,
            Err(e) => {
                log::warn!("a report was not understood: {e}");
                return Response::new(400, Vec::new());
            }
        };
        let now = self.net.now();
        if self.workers.len() < MAX_WORKERS {
            self.workers.insert(report.host.clone(), now);
        }
        if let Some(duties) = &mut self.duties {
            if duties.controller.is_blind(now) {
                return Response::later(503, 1);
            }
            match duties.controller.on_report(&report, now) {
                Ok(orders) => {
                    let token = duties.controller.term;
                    return Response::new(
                        200,
                        encode(&Answer {
                            token,
                            orders: &orders,
                        }),
                    );
                }
                Err(Deposed(term)) => self.deposed(term),
            }
        } else {
            let action = self.leadership.heard_of(report.token, None);
            self.grant(action);
        }
        if let Some(token) = self.proxies_heartbeat(report.token, now) {
            let orders = &self.stops_of_cancelled(&report);
            return Response::new(200, encode(&Answer { token, orders }));
        }
        let leader = self.leadership.leader.as_deref();
        let leader = leader.filter(|l| *l != self.settings.name);
        Response::new(421, encode(&Elsewhere { leader }))
    }

    /// The token to answer a worker with on the leader's behalf: the state service has just said
    /// that it leads, but it can't be heard from here, so the worker could not reach it either and
    /// would lose its tasks with its lease. Nothing is started, only cancelled work is stopped.
    fn proxies_heartbeat(&self, seen: Term, now: Time) -> Option<Term> {
        let (term, leader) = self.leadership.confirmed(now)?;
        let at = self.settings.peers.iter().position(|p| p.name == leader)?;
        let unheard = !self.peers[at].is_reachable(now);
        (unheard && seen <= term).then_some(term)
    }

    fn deposed(&mut self, term: Term) {
        log::info!("deposed: term {term} leads");
        let mut action = self.leadership.heard_of(term, None);
        if action.is_none() && self.leadership.is_leading() {
            action = Some(self.leadership.step_down());
        }
        self.grant(action);
    }

    fn state_answers(&self, now: Time) -> bool {
        self.store
            .good_at
            .is_some_and(|at| now.since(at) < STATE_LOST)
    }

    /// A node that the state service does not answer passes requests on to one that it does. Only
    /// one that hears nobody at all can do nothing for users. An outage that all see takes none
    /// out of the balancer: they hear each other.
    fn is_healthy(&self, now: Time) -> bool {
        let hears_others = self.peers.iter().any(|p| p.is_reachable(now));
        self.state_answers(now) || hears_others || self.peers.is_empty()
    }

    // ---- replies

    fn on_reply(&mut self, call: CallId, result: Result<Response, crate::transport::CallError>) {
        let now = self.net.now();
        if let Some(at) = self.peers.iter().position(|p| p.awaits(call)) {
            return self.on_heartbeat_answer(at, result);
        }
        if self.acknowledging.as_ref().is_some_and(|(c, _)| *c == call) {
            return self.on_leader_answer(result);
        }
        if let Some(id) = self.relays.remove(&call) {
            let relayed = peer_messages::answer(peers::RELAY_PATH, result);
            self.api.on_relayed(id, relayed, now);
            return;
        }
        if self.types_call == Some(call) {
            self.types_call = None;
            let types = result.ok().filter(|r| r.status == 200);
            if let Some(types) = types.and_then(|r| decode::<MachineTypes>(&r.body).ok()) {
                self.types = types.types;
            }
            return;
        }
        let mut result = Some(result);
        if self.store.is_own(call) {
            if let Some(result) = result.take() {
                if let Some((id, outcome)) = self.store.answered(now, call, result) {
                    self.on_outcome(id, outcome);
                }
            }
            return;
        }
        if let (Some(duties), Some(result)) = (&mut self.duties, result) {
            if let Err(Deposed(term)) = duties.on_reply(&mut self.net, call, result, now) {
                self.deposed(term);
            }
        }
    }

    fn on_outcome(&mut self, id: StateRequestId, outcome: Outcome) {
        let now = self.net.now();
        match self.purposes.remove(&id) {
            None => {}
            Some(Purpose::Lead(Step::Read, sent)) => {
                let seen = match outcome {
                    Outcome::Page(page) => Some(read_lead(&page)),
                    _ => None,
                };
                let action = self.leadership.on_read(seen, sent, now);
                self.grant(action);
            }
            Some(Purpose::Lead(step, sent)) => {
                let action = self.leadership.on_outcome(step, outcome, sent, now);
                self.grant(action);
            }
            Some(Purpose::LeaderDuties(term, ask)) => {
                // What an earlier term of this process asked is of no interest any more.
                if let Some(duties) = self.duties.as_mut().filter(|o| o.controller.term == term) {
                    if let Err(Deposed(term)) = duties.on_outcome(ask, outcome, now) {
                        self.deposed(term);
                    }
                }
            }
            Some(Purpose::ApiServer(ask)) => {
                // Without a lease that stands, what this node knows of tasks may be long past.
                let certain = self.leadership.is_certain(now);
                let duties = self.duties.as_ref().filter(|_| certain);
                let counts = |job| duties.and_then(|o| o.counts(job));
                let view = View {
                    counts: &counts,
                    spare: self.store.has_spare(now),
                    answers: self.state_answers(now),
                };
                self.api.on_outcome(ask, outcome, &view, now);
            }
            Some(Purpose::Types) => {
                if let Outcome::Item(Some(item)) = outcome {
                    if let Some(types) = item.record::<MachineTypes>() {
                        self.types = types.types;
                    }
                } else {
                    self.ask_cloud_for_types();
                }
            }
        }
    }

    /// Before any leader has kept the types, every node asks the cloud itself.
    fn ask_cloud_for_types(&mut self) {
        if self.types_call.is_none() && self.types.is_empty() {
            let cloud = self.settings.outside.cloud;
            let limit = Duration::from_secs(4);
            self.types_call = Some(self.net.call(cloud, "GET", "/machine_types", &[], limit));
        }
    }

    // ---- leadership

    fn grant(&mut self, action: Option<LeadershipAction>) {
        let now = self.net.now();
        let Some(action) = action else { return };
        let (step, ask) = match action {
            LeadershipAction::Read => {
                let prefix = records::LEAD.to_owned();
                (
                    Step::Read,
                    Ask::List {
                        prefix,
                        after: String::new(),
                        limit: 10,
                    },
                )
            }
            LeadershipAction::Grant(ttl) => (Step::Grant, Ask::Grant(ttl)),
            LeadershipAction::Claim(txn) => (Step::Claim, Ask::Txn(txn)),
            LeadershipAction::Renew(lease) => (Step::Renew(lease), Ask::Extend(lease)),
            LeadershipAction::End(lease) => (Step::End, Ask::End(lease)),
            LeadershipAction::Resign(lease) => {
                self.duties = None;
                (Step::End, Ask::End(lease))
            }
            LeadershipAction::Lead { term, stamp } => return self.begin_leading(term, stamp, now),
            LeadershipAction::StepDown => {
                self.duties = None;
                return;
            }
        };
        let id = self.store.ask(now, Class::Lease, ask, LEAD_LIMIT);
        self.purposes.insert(id, Purpose::Lead(step, now));
    }

    fn begin_leading(&mut self, term: Term, stamp: Stamp, now: Time) {
        let service = &self.settings.settings;
        let rules = Policy::new(service, &self.tuning);
        let controller = Controller::new(term, stamp, rules, self.types.clone(), now);
        self.duties = Some(LeaderDuties::new(
            controller,
            self.settings.outside.cloud,
            service.cloud.rps,
            service.state.txn_ops,
            seconds(self.tuning.batch_interval_s),
            now,
        ));
        if let Some(duties) = &mut self.duties {
            for job in self.cancelled.keys() {
                duties.controller.on_cancelled(*job, now);
            }
        }
        // The others learn at once where workers belong.
        for peer in &mut self.peers {
            peer.hurry(now);
        }
    }

    // ---- time

    fn due(&mut self) {
        let now = self.net.now();
        let action = self.leadership.tick(now);
        self.grant(action);
        self.send_heartbeats(now);
        if let Some(duties) = &self.duties {
            if !duties.controller.types.is_empty() && self.types.is_empty() {
                self.types = duties.controller.types.clone();
            }
        }
        if self.types.is_empty() && now >= self.types_due {
            self.types_due = now.after(TYPES_RETRY);
            let ask = Ask::Get(records::TYPES.to_owned());
            let id = self.store.ask(now, Class::Booking, ask, LEAD_LIMIT);
            self.purposes.insert(id, Purpose::Types);
        }
        self.log_peer_reachability(now);
        self.share_budgets(now);
        for job in self.api.take_cancelled() {
            self.on_cancelled(job, self.settings.settings.workers.cancel() * 2);
        }
        self.cancelled.retain(|_, until| *until > now);
        self.api.expire(now);
        let answers = self.state_answers(now);
        if answers != self.state_ok {
            self.state_ok = answers;
            let how = if answers {
                "answers"
            } else {
                "does not answer"
            };
            log::info!("the state service {how}");
        }
        if now >= self.locality_at {
            self.locality_at = now.after(LOCALITY_INTERVAL);
            self.check_leader_locality(now);
        }
        if now >= self.summary_at {
            self.summary_at = now.after(SUMMARY_EVERY);
            self.log_summary();
        }
    }

    fn log_summary(&mut self) {
        let (waiting, oldest) = self.store.backlog(self.net.now());
        log::debug!("state service: {waiting} requests wait, the oldest for {oldest:?}");
        let (open, most) = self.net.sockets();
        log::debug!("sockets: {open} of {most}");
        if let Some(duties) = &self.duties {
            log::info!("{}", duties.controller.summary());
            if let Some(wait) = duties.controller.longest_wait(self.net.now()) {
                log::info!("{wait}");
            }
            let (urgent, others) = duties.controller.batcher.backlog();
            log::debug!("records to write: {urgent} urgent, {others} others");
        }
        if let Some(turns) = &mut self.turns {
            log::debug!(
                "turns: {}, half within {} us, 99% within {} us, at most {} us",
                turns.len(),
                turns.value_at_quantile(0.5),
                turns.value_at_quantile(0.99),
                turns.max()
            );
            turns.reset();
        }
    }

    /// Sends all that is ready and allowed.
    fn pump(&mut self) {
        let now = self.net.now();
        if let Some(duties) = &mut self.duties {
            duties.controller.valid_until = self.leadership.valid_until();
            duties.turn(&mut self.net, &mut self.store.writes, now);
            let term = duties.controller.term;
            for (class, ask, limit, what) in duties.take_pending() {
                let id = self.store.ask(now, class, ask, limit);
                self.purposes.insert(id, Purpose::LeaderDuties(term, what));
            }
        }
        self.flush_front(now);
        loop {
            let now = self.net.now();
            let may_book = self.leadership.is_certain(now);
            let Some(next) = self.store.next_outgoing(now, may_book) else {
                return;
            };
            match next {
                Ok(out) => {
                    let state = self.settings.outside.state;
                    let call = self
                        .net
                        .call(state, out.method, &out.target, &out.body, out.limit);
                    self.store.sent_as(out.id, call);
                }
                Err(id) => {
                    self.on_outcome(id, Outcome::Busy);
                    self.flush_front(now);
                }
            }
        }
    }

    /// Does what the front wants, until it wants nothing more.
    fn flush_front(&mut self, now: Time) {
        self.api.pump();
        loop {
            let acts = self.api.take_acts();
            if acts.is_empty() {
                return;
            }
            for act in acts {
                match act {
                    ApiAction::Relay(id, relay) => self.relay(id, &relay),
                    ApiAction::InformLeader(job) => self.inform_leader(job),
                    ApiAction::Respond(conn, response) => self.net.respond(conn, &response),
                    ApiAction::Ask(class, ask, what) => {
                        // Where nothing is answered another node is asked without much ado.
                        let limit = if self.state_answers(now) {
                            self.store.patience()
                        } else {
                            UNANSWERED_LIMIT
                        };
                        let id = self.store.ask(now, class, ask, limit);
                        self.purposes.insert(id, Purpose::ApiServer(what));
                    }
                }
            }
        }
    }
}

/// Before peers tell what they spend, each node takes half of the rate limits: the leader spends the
/// most, but any node may lead, and users reach all of them.
fn new_store(settings: &Settings) -> Store {
    let state = &settings.settings.state;
    let share = if settings.peers.is_empty() {
        HEADROOM
    } else {
        HEADROOM * 0.5
    };
    Store::new(state.rps * share, state.write_rps * share)
}

/// How long turns of the event loop take, in microseconds; kept at the debug level only.
fn turn_histogram() -> Option<Histogram<u64>> {
    const LONGEST_US: u64 = 60_000_000;
    let wanted = log::log_enabled!(log::Level::Debug);
    wanted
        .then(|| Histogram::new_with_bounds(1, LONGEST_US, 2).ok())
        .flatten()
}

fn read_lead(page: &Page) -> Seen {
    let mut seen = Seen::default();
    for item in &page.items {
        if item.key == records::HOLDER {
            seen.holder = item.record::<HolderRecord>().map(|h| (h, item.stamp));
        } else if item.key == records::TERM {
            seen.term = item.record::<TermRecord>().map(|t| (t.term, item.stamp));
        }
    }
    seen
}
