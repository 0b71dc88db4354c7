//! A running node: ties transport, records, leadership and decisions together.

pub mod api;
mod cancellations;
mod heartbeats;
mod leader_duties;
mod leader_locality;
mod peer_messages;
mod periodic;
mod replies;
mod requests;
mod zone_isolation;

use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::coordination::election::{
    ElectionAction, ElectionRecords, ElectionStep, LeaderElection,
};
use crate::coordination::{Leader, LeadershipLost, Policy};
use crate::features::Features;
use crate::protocol::cloud::{MachineType, MachineTypes};
use crate::protocol::peers::{self, RelayedRequest};
use crate::protocol::workers::{HeartbeatResponse, LeaderRedirect, WorkerHeartbeat};
use crate::protocol::{decode, encode};
use crate::settings::{Settings, Tuning};
use crate::storage::records::{self, LeaderRecord, TermRecord};
use crate::storage::store::{Outcome, RequestClass, StoreClient, StoreRequest, StoreRequestId};
use crate::transport::{
    CallId, ConnectionId, ListenerKind, Network, Request, Response, Transport, TransportEvent,
};
use crate::types::{duration_from_seconds, HostName, JobId, Term, Time, Version};
use api::{ApiAction, ApiRequestId, ApiServer, Client, NodeView, StoreRequestPurpose};
use heartbeats::PeerLink;
use leader_duties::{LeaderDuties, LeaderRequest};
use leader_locality::Locality;
use lichencrank_store::Page;

/// Whose request to the state service it was.
enum Purpose {
    Lead(ElectionStep, Time),
    LeaderDuties(Term, LeaderRequest),
    ApiServer(StoreRequestPurpose),
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
/// Workers that are counted at the least, however few sockets there are.
const MIN_WORKERS: usize = 10_000;
/// Cancellations in one heartbeat, of 12 bytes each: a little more than half of what a message may have.
const MAX_CANCELLATIONS: usize = 3000;
const SUMMARY_EVERY: Duration = Duration::from_secs(10);
/// What the nodes together leave of the budgets, for requests that are counted late.
const HEADROOM: f64 = 0.92;

/// One controller: all that runs in a process.
pub struct Node<N> {
    settings: Settings,
    tuning: Tuning,
    features: Features,
    net: N,
    store: StoreClient,
    leadership: LeaderElection,
    duties: Option<LeaderDuties>,
    api: ApiServer,
    purposes: HashMap<StoreRequestId, Purpose>,
    peers: Vec<PeerLink>,
    types: Vec<MachineType>,
    types_due: Time,
    types_call: Option<CallId>,
    relays: HashMap<CallId, ApiRequestId>,
    locality: Locality,
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
    summary_at: Time,
    /// When this process was last seen to move.
    awake_at: Time,
    turns: Option<Histogram<u64>>,
}

impl Node<Transport> {
    /// Opens the addresses of the settings.
    pub fn open(
        settings: Settings,
        tuning: Tuning,
        features: Features,
    ) -> Result<Node<Transport>, String> {
        let sockets = settings.shared.resources.max_sockets;
        let mut transport = Transport::new(sockets).map_err(|e| format!("event loop: {e}"))?;
        for (address, listener) in [
            (settings.public_address, ListenerKind::Public),
            (settings.internal_address, ListenerKind::Internal),
        ] {
            transport
                .listen(address, listener)
                .map_err(|e| format!("listening on {address}: {e}"))?;
        }
        let mut node = Node::new(settings, tuning, transport, fastrand::u64(..));
        node.switch_on(features);
        Ok(node)
    }

    /// Waits for something to happen, and does all that is due.
    pub fn run_once(&mut self) -> Result<(), String> {
        let until = self.next_wake();
        self.net
            .wait_for_events(until)
            .map_err(|e| format!("event loop: {e}"))?;
        let started = self.turns.is_some().then(Instant::now);
        while let Some(event) = self.net.next_event() {
            self.handle_event(event);
        }
        self.run_due_work();
        if let (Some(turns), Some(started)) = (&mut self.turns, started) {
            turns.saturating_record(started.elapsed().as_micros() as u64);
        }
        Ok(())
    }
}

impl<N: Network> Node<N> {
    /// `incarnation` tells this process from others of the same name, before and after it.
    pub fn new(settings: Settings, tuning: Tuning, net: N, incarnation: u64) -> Node<N> {
        let service = &settings.shared;
        let store = new_store(&settings);
        let ttl = duration_from_seconds(tuning.leader_lease_s);
        let leadership = LeaderElection::new(&settings.name, ttl, incarnation);
        let api = ApiServer::new(
            service.teams.clone(),
            service.state_service.max_value_kib,
            service.state_service.max_txn_changes,
        );
        let peers = settings
            .peers
            .iter()
            .map(|p| PeerLink::new(p.address))
            .collect();
        tracing::info!(
            "{} in {} listens on {}",
            settings.name,
            settings.zone,
            settings.public_address
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
            locality: Locality::default(),
            spends: (0.0, 0.0),
            spent: (0.0, 0.0),
            spent_at: Time::default(),
            cancelled: BTreeMap::new(),
            to_acknowledge: BTreeSet::new(),
            acknowledging: None,
            workers: BTreeMap::new(),
            locality_at: Time::default(),
            state_ok: false,
            summary_at: Time::default(),
            awake_at: Time::default(),
            turns: turn_histogram(),
            settings,
            tuning,
            features: Features::default(),
        }
    }

    /// Switches features on, before the node first moves.
    pub fn switch_on(&mut self, features: Features) {
        self.features = features;
    }

    /// When the node wants to move again, if nothing happens before.
    pub fn next_wake(&self) -> Time {
        let now = self.net.now();
        now.after(LOOP_INTERVAL)
            .min(self.leadership.next_wakeup().max(now))
    }

    /// Takes in what the outside did.
    pub fn handle_event(&mut self, event: TransportEvent) {
        self.detect_pause();
        match event {
            TransportEvent::Request {
                connection,
                listener,
                request,
            } => self.on_request(connection, listener, request),
            TransportEvent::Reply { call, result } => self.on_reply(call, result),
        }
    }

    /// Does all that is due, and sends all that is ready.
    pub fn run_due_work(&mut self) {
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
        if gap < duration_from_seconds(self.tuning.leader_lease_s) {
            return;
        }
        tracing::info!("stood still for {gap:?}");
        if let Some(duties) = &mut self.duties {
            duties.controller.on_process_resumed();
        }
    }

    fn deposed(&mut self, term: Term) {
        tracing::info!("deposed: term {term} leads");
        let mut action = self.leadership.observe_term(term, None);
        if action.is_none() && self.leadership.is_leading() {
            action = Some(self.leadership.step_down());
        }
        self.grant(action);
    }

    fn state_answers(&self, now: Time) -> bool {
        self.store
            .last_response_at
            .is_some_and(|at| now.since(at) < STATE_LOST)
    }

    // ---- leadership

    fn grant(&mut self, action: Option<ElectionAction>) {
        let now = self.net.now();
        let Some(action) = action else { return };
        let (step, ask) = match action {
            ElectionAction::ReadRecords => {
                let prefix = records::LEADERSHIP_PREFIX.to_owned();
                (
                    ElectionStep::ReadRecords,
                    StoreRequest::List {
                        prefix,
                        after: String::new(),
                        limit: 10,
                    },
                )
            }
            ElectionAction::GrantLease(ttl) => {
                (ElectionStep::GrantLease, StoreRequest::GrantLease(ttl))
            }
            ElectionAction::Claim(txn) => (ElectionStep::Claim, StoreRequest::Txn(txn)),
            ElectionAction::Renew(lease) => {
                (ElectionStep::Renew(lease), StoreRequest::RenewLease(lease))
            }
            ElectionAction::EndLease(lease) => {
                (ElectionStep::EndLease, StoreRequest::EndLease(lease))
            }
            ElectionAction::Resign(lease) => {
                self.duties = None;
                (ElectionStep::EndLease, StoreRequest::EndLease(lease))
            }
            ElectionAction::BeginLeading {
                term,
                leader_key_version,
            } => return self.begin_leading(term, leader_key_version, now),
            ElectionAction::StepDown => {
                self.duties = None;
                return;
            }
        };
        let id = self
            .store
            .enqueue(now, RequestClass::Lease, ask, LEAD_LIMIT);
        self.purposes.insert(id, Purpose::Lead(step, now));
    }

    fn begin_leading(&mut self, term: Term, version: Version, now: Time) {
        self.note_election_won(now);
        let service = &self.settings.shared;
        let rules = Policy::new(service, &self.tuning, &self.features);
        let controller = Leader::new(term, version, rules, self.types.clone(), now);
        self.duties = Some(LeaderDuties::new(
            controller,
            self.settings.service_addresses.cloud,
            service.cloud.calls_per_s,
            service.state_service.max_txn_changes,
            duration_from_seconds(self.tuning.min_batch_interval_s),
            now,
        ));
        if let Some(duties) = &mut self.duties {
            for job in self.cancelled.keys() {
                duties.controller.on_cancellation(*job, now);
            }
        }
        // The others learn at once where workers belong.
        for peer in &mut self.peers {
            peer.hurry(now);
        }
    }

    // ---- time
}

/// Before peers tell what they spend, each node takes half of the rate limits: the leader spends the
/// most, but any node may lead, and users reach all of them.
fn new_store(settings: &Settings) -> StoreClient {
    let state = &settings.shared.state_service;
    let share = if settings.peers.is_empty() {
        HEADROOM
    } else {
        HEADROOM * 0.5
    };
    StoreClient::new(state.requests_per_s * share, state.changes_per_s * share)
}

/// How long turns of the event loop take, in microseconds; kept at the debug level only.
fn turn_histogram() -> Option<Histogram<u64>> {
    const LONGEST_US: u64 = 60_000_000;
    let wanted = tracing::enabled!(tracing::Level::DEBUG);
    wanted
        .then(|| Histogram::new_with_bounds(1, LONGEST_US, 2).ok())
        .flatten()
}

fn read_lead(page: &Page) -> ElectionRecords {
    let mut seen = ElectionRecords::default();
    for item in &page.items {
        if item.key == records::LEADER_KEY {
            seen.holder = item.record::<LeaderRecord>().map(|h| (h, item.version));
        } else if item.key == records::TERM_KEY {
            seen.term = item.record::<TermRecord>().map(|t| (t.term, item.version));
        }
    }
    seen
}
