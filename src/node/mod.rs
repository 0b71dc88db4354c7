//! The node, which is the process of one controller (not a worker's host): connects the transport, the state service,
//! the leader election, the users' API and, while it leads, the leader's duties.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `requests` | routes requests of users, workers, health checks and peers |
//! | `replies` | routes responses to the node's own calls and outcomes of its requests to the state service |
//! | `periodic` | periodic tasks, and sending what the components have queued |
//! | `heartbeats` | heartbeats between controllers |
//! | `peer_messages` | encoding and decoding of messages between controllers |
//! | `cancellations` | the leader's acknowledgement of a cancellation before the user's confirmation |
//! | `leader_locality` | which controller is best placed to lead |
//! | `zone_isolation` | heartbeat responses to workers while their zone is partitioned from the others |
//! | `leader_duties` | the leader's requests to the state service, the cloud and the workers |
//! | [`api`] | users' requests |

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

/// Which component sent a request to the state service, and what for.
enum RequestOrigin {
    /// The election, with the time at which the request was queued.
    Election(ElectionStep, Time),
    /// The leader of this term.
    LeaderDuties(Term, LeaderRequest),
    /// The API server.
    ApiServer(StoreRequestPurpose),
    /// The node itself, to read the machine types.
    MachineTypes,
}

/// Longest wait for events until periodic tasks are run.
const MAX_EVENT_WAIT: Duration = Duration::from_millis(100);
/// Timeout of the election's requests to the state service, and of the read of the machine types.
const CONTROL_REQUEST_TIMEOUT: Duration = Duration::from_millis(1200);
const RELAY_TIMEOUT: Duration = Duration::from_millis(1200);
const MACHINE_TYPES_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Without a valid response for this long, the state service is regarded as unreachable from this controller.
const STORE_UNREACHABLE_AFTER: Duration = Duration::from_millis(2500);
/// Timeout of a user's request to an unreachable state service; after it the request is relayed to another controller.
const UNREACHABLE_STORE_TIMEOUT: Duration = Duration::from_millis(450);
const LOCALITY_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long the leader's key must have been free before a controller outside the home zone, which is the zone with the
/// most hosts, claims it.
const CAMPAIGN_DELAY: Duration = Duration::from_millis(900);
/// How long a peer must have been better placed to lead before the leader transfers the leadership.
const TRANSFER_DELAY: Duration = Duration::from_secs(15);
/// How long a worker counts as one that sends its heartbeats to this controller, after the last heartbeat.
const WORKER_HEARTBEAT_VALIDITY: Duration = Duration::from_secs(6);
/// Lower bound of the limit on counted workers, which otherwise depends on the number of sockets.
const MIN_COUNTED_WORKER_LIMIT: usize = 10_000;
/// Most cancellations in one heartbeat. At 12 bytes each they take a little more than half of the maximum message
/// size.
const MAX_CANCELLATIONS_PER_HEARTBEAT: usize = 3000;
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);
/// The part of the state service's rate limits that all controllers together use. The rest is a margin for requests
/// that the service counts late.
const USABLE_BUDGET_FRACTION: f64 = 0.92;

/// One controller with all its components.
pub struct Node<N> {
    settings: Settings,
    tuning: Tuning,
    features: Features,
    network: N,
    store: StoreClient,
    election: LeaderElection,
    /// The leader's duties, while this controller leads.
    duties: Option<LeaderDuties>,
    api: ApiServer,
    /// Origins of the requests to the state service that have no outcome yet.
    request_origins: HashMap<StoreRequestId, RequestOrigin>,
    peers: Vec<PeerLink>,
    machine_types: Vec<MachineType>,
    machine_types_due_at: Time,
    /// The call that reads the machine types from the cloud.
    machine_types_call: Option<CallId>,
    /// Users' requests that were relayed to another controller, by call.
    relay_calls: HashMap<CallId, ApiRequestId>,
    locality: Locality,
    /// Requests and changes per second that this controller sent to the state service in the last measured interval.
    store_usage_per_s: (f64, f64),
    /// Total requests and changes at the last measurement.
    store_usage_total: (f64, f64),
    store_usage_measured_at: Time,
    /// Recently cancelled jobs, each with the time until which heartbeats report it.
    cancelled_jobs: BTreeMap<JobId, Time>,
    /// Cancelled jobs that the leader has yet to acknowledge before their users get a confirmation.
    unacknowledged_jobs: BTreeSet<JobId>,
    /// The request for acknowledgement that is in flight, with its jobs.
    acknowledgement_call: Option<(CallId, Vec<JobId>)>,
    /// When each worker last sent a heartbeat to this controller.
    worker_heartbeats: BTreeMap<HostName, Time>,
    locality_check_due_at: Time,
    /// Whether the last log line about the state service said that it answers.
    is_store_logged_as_reachable: bool,
    summary_due_at: Time,
    /// When the node last processed events or ran due work, to detect pauses of the process.
    last_active_at: Time,
    /// Durations of the event loop's iterations in microseconds; `None` unless debug logging is enabled.
    iteration_times_us: Option<Histogram<u64>>,
}

impl Node<Transport> {
    /// Creates a node that listens on the addresses in the settings.
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

    /// Runs one iteration of the event loop: waits for events, handles them, and runs due work.
    pub fn run_once(&mut self) -> Result<(), String> {
        let until = self.next_wake();
        self.network
            .wait_for_events(until)
            .map_err(|e| format!("event loop: {e}"))?;
        let started_at = self.iteration_times_us.is_some().then(Instant::now);
        while let Some(event) = self.network.next_event() {
            self.handle_event(event);
        }
        self.run_due_work();
        if let (Some(histogram), Some(started_at)) = (&mut self.iteration_times_us, started_at) {
            histogram.saturating_record(started_at.elapsed().as_micros() as u64);
        }
        Ok(())
    }
}

impl<N: Network> Node<N> {
    /// Creates a node on the given network. `incarnation` has to differ between the processes of one controller.
    pub fn new(settings: Settings, tuning: Tuning, network: N, incarnation: u64) -> Node<N> {
        let shared_settings = &settings.shared;
        let store = new_store(&settings);
        let lease_ttl = duration_from_seconds(tuning.leader_lease_s);
        let election = LeaderElection::new(&settings.name, lease_ttl, incarnation);
        let api = ApiServer::new(
            shared_settings.teams.clone(),
            shared_settings.state_service.max_value_kib,
            shared_settings.state_service.max_txn_changes,
        );
        let peers = settings
            .peers
            .iter()
            .map(|p| PeerLink::new(p.address))
            .collect();
        tracing::info!(
            "{} in zone {} listens on {}",
            settings.name,
            settings.zone,
            settings.public_address
        );
        Node {
            network,
            store,
            election,
            duties: None,
            api,
            request_origins: HashMap::new(),
            peers,
            machine_types: Vec::new(),
            machine_types_due_at: Time::default(),
            machine_types_call: None,
            relay_calls: HashMap::new(),
            locality: Locality::default(),
            store_usage_per_s: (0.0, 0.0),
            store_usage_total: (0.0, 0.0),
            store_usage_measured_at: Time::default(),
            cancelled_jobs: BTreeMap::new(),
            unacknowledged_jobs: BTreeSet::new(),
            acknowledgement_call: None,
            worker_heartbeats: BTreeMap::new(),
            locality_check_due_at: Time::default(),
            is_store_logged_as_reachable: false,
            summary_due_at: Time::default(),
            last_active_at: Time::default(),
            iteration_times_us: iteration_time_histogram(),
            settings,
            tuning,
            features: Features::default(),
        }
    }

    /// Sets the enabled features. Has to be called before the node handles its first event.
    pub fn switch_on(&mut self, features: Features) {
        self.features = features;
    }

    /// When [`Node::run_due_work`] has to be called next if no event arrives before.
    pub fn next_wake(&self) -> Time {
        let now = self.network.now();
        now.after(MAX_EVENT_WAIT)
            .min(self.election.next_wakeup().max(now))
    }

    /// Handles a request or a reply that the transport received.
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

    /// Runs the periodic tasks that are due, and sends what the components have queued.
    pub fn run_due_work(&mut self) {
        self.detect_pause();
        self.run_periodic_tasks();
        self.send_pending();
    }

    /// Detects that the process was suspended, which can happen at any point while its clock runs on, and notifies
    /// the leader. A gap as long as the leader's lease can't have another cause, as no work of the node takes that
    /// long.
    fn detect_pause(&mut self) {
        let now = self.network.now();
        let pause = now.since(self.last_active_at);
        self.last_active_at = now;
        if pause < duration_from_seconds(self.tuning.leader_lease_s) {
            return;
        }
        tracing::info!("the process was paused for {pause:?}");
        if let Some(duties) = &mut self.duties {
            duties.leader.on_process_resumed();
        }
    }

    /// Steps down, as another controller leads. `term` is the term of that controller, or the own term if the other
    /// one is unknown.
    fn on_leadership_lost(&mut self, term: Term) {
        tracing::info!("leadership lost to another controller (term {term} or later)");
        let mut action = self.election.observe_term(term, None);
        if action.is_none() && self.election.is_leading() {
            action = Some(self.election.step_down());
        }
        self.execute_election_action(action);
    }

    /// Whether the state service has recently sent a valid response to this controller.
    fn is_store_reachable(&self, now: Time) -> bool {
        self.store
            .last_response_at
            .is_some_and(|at| now.since(at) < STORE_UNREACHABLE_AFTER)
    }

    /// Carries out an action that the election requests: sends its request to the state service, or begins or ends
    /// the leader's duties.
    fn execute_election_action(&mut self, action: Option<ElectionAction>) {
        let now = self.network.now();
        let Some(action) = action else { return };
        let (step, request) = match action {
            ElectionAction::ReadRecords => (ElectionStep::ReadRecords, read_election_records()),
            ElectionAction::GrantLease(ttl) => {
                (ElectionStep::GrantLease, StoreRequest::GrantLease(ttl))
            }
            ElectionAction::Claim(txn) => (ElectionStep::Claim, StoreRequest::Txn(txn)),
            ElectionAction::RaiseTerm { term, txn } => {
                if let Some(duties) = &mut self.duties {
                    duties.leader.on_token_claim_begun(term);
                }
                (ElectionStep::RaiseTerm(term), StoreRequest::Txn(txn))
            }
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
            ElectionAction::TermRaised {
                term,
                leader_key_version,
            } => return self.on_term_raised(term, leader_key_version, now),
            ElectionAction::StepDown => {
                self.duties = None;
                return;
            }
        };
        let id = self
            .store
            .enqueue(now, RequestClass::Lease, request, CONTROL_REQUEST_TIMEOUT);
        self.request_origins
            .insert(id, RequestOrigin::Election(step, now));
    }

    fn begin_leading(&mut self, term: Term, leader_key_version: Version, now: Time) {
        self.on_election_won(now);
        let shared_settings = &self.settings.shared;
        let policy = Policy::new(shared_settings, &self.tuning, &self.features);
        let leader = Leader::new(
            term,
            leader_key_version,
            policy,
            self.machine_types.clone(),
            now,
        );
        self.duties = Some(LeaderDuties::new(
            leader,
            self.settings.service_addresses.cloud,
            shared_settings.cloud.calls_per_s,
            shared_settings.state_service.max_txn_changes,
            duration_from_seconds(self.tuning.min_batch_interval_s),
            now,
        ));
        if let Some(duties) = &mut self.duties {
            for job in self.cancelled_jobs.keys() {
                duties.leader.on_cancellation(*job, now);
            }
        }
        self.schedule_peer_heartbeats(now);
    }

    fn on_term_raised(&mut self, term: Term, leader_key_version: Version, now: Time) {
        if let Some(duties) = &mut self.duties {
            duties.leader.on_token_raised(term, leader_key_version, now);
        }
        self.schedule_peer_heartbeats(now);
    }

    /// Lets the peers learn at once which controller leads in which term, so that they redirect workers to it.
    fn schedule_peer_heartbeats(&mut self, now: Time) {
        for peer in &mut self.peers {
            peer.schedule_heartbeat_now(now);
        }
    }
}

/// Creates the client of the state service. Until the peers' usage is known, each controller takes half of the usable
/// rate limits: the leader sends the most requests, but any controller may lead, and users send requests to all of
/// them.
fn new_store(settings: &Settings) -> StoreClient {
    let state = &settings.shared.state_service;
    let budget_fraction = if settings.peers.is_empty() {
        USABLE_BUDGET_FRACTION
    } else {
        USABLE_BUDGET_FRACTION * 0.5
    };
    StoreClient::new(
        state.requests_per_s * budget_fraction,
        state.changes_per_s * budget_fraction,
    )
}

/// A histogram of the durations of the event loop's iterations in microseconds; `None` unless debug logging is
/// enabled.
fn iteration_time_histogram() -> Option<Histogram<u64>> {
    const MAX_TIME_US: u64 = 60_000_000;
    let is_debug = tracing::enabled!(tracing::Level::DEBUG);
    is_debug
        .then(|| Histogram::new_with_bounds(1, MAX_TIME_US, 2).ok())
        .flatten()
}

/// The request that reads the records below `lead/`.
fn read_election_records() -> StoreRequest {
    StoreRequest::List {
        prefix: records::LEADERSHIP_PREFIX.to_owned(),
        after: String::new(),
        limit: 10,
    }
}

/// Extracts the election's records from a page of the records below `lead/`.
fn parse_election_records(page: &Page) -> ElectionRecords {
    let mut election_records = ElectionRecords::default();
    for item in &page.items {
        if item.key == records::LEADER_KEY {
            election_records.holder = item.record::<LeaderRecord>().map(|h| (h, item.version));
        } else if item.key == records::TERM_KEY {
            election_records.term = item.record::<TermRecord>().map(|t| (t.term, item.version));
        }
    }
    election_records
}
