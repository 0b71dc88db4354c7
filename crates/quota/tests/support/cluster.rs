//! Clients that are driven one at a time, so that each of them can be paused at any step.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use lichencrank_quota::{
    AdmissionId, AdmissionRequest, Ledger, QuotaClient, QuotaEvent, QuotaPolicy,
};
use lichencrank_store::{ConditionalStore, Item, Outcome, Request, Time, Version};
use lichencrank_testkit::{FaultyStore, SharedStore};

use super::{admission_request, client_config, service_limits, team};

/// Number of rounds after which the clients are assumed to have nothing left to do.
const ROUNDS_UNTIL_QUIET: usize = 600;
/// Duration of a round in which a client had something to do.
const BUSY_ROUND_MS: u64 = 1;
/// Duration of a round in which no client had anything to do.
const IDLE_ROUND_MS: u64 = 20;
/// Maximum number of requests until a client with a chargeable request sends the charge.
const MAX_REQUESTS_BEFORE_CHARGE: usize = 50;

/// A message in flight between a client and the store.
enum InTransit {
    /// A request that was sent but has not reached the store.
    Request(Request),
    /// An outcome that the client has not received yet.
    Outcome(Outcome),
}

/// A request of a process that has ended, which may still reach the store.
struct DelayedRequest {
    client: usize,
    request: Request,
}

/// Clients by number, each with its own connection to the shared store.
pub(crate) struct Cluster {
    pub(crate) shared: SharedStore,
    pub(crate) stores: Vec<FaultyStore>,
    pub(crate) clients: Vec<QuotaClient>,
    in_transit: Vec<Option<InTransit>>,
    delayed_requests: VecDeque<DelayedRequest>,
    pub(crate) now: Time,
    /// Work that has started and has not ended.
    pub(crate) running: BTreeSet<AdmissionId>,
    /// Work that has ever started.
    pub(super) started: BTreeSet<AdmissionId>,
    /// The events that answer requests, by admission.
    pub(crate) answers: BTreeMap<AdmissionId, Vec<QuotaEvent>>,
    /// All events and the clients that reported them.
    pub(crate) events: Vec<(usize, QuotaEvent)>,
    /// Whether limits and guarantees may be exceeded, for example by work from before a policy change.
    pub(crate) is_excess_allowed: bool,
    /// The steps and events so far, for the message of a failed test.
    pub(crate) trace: Vec<String>,
}

impl Cluster {
    /// Creates idle clients, with a store that contains the policy.
    pub(crate) fn new(client_count: usize, policy: QuotaPolicy) -> Cluster {
        let shared = SharedStore::new(service_limits());
        let clients = (0..client_count).map(|n| QuotaClient::new(client_config(n, client_count)));
        let mut cluster = Cluster {
            stores: (0..client_count).map(|n| shared.client(n)).collect(),
            clients: clients.collect(),
            in_transit: (0..client_count).map(|_| None).collect(),
            delayed_requests: VecDeque::new(),
            shared,
            now: Time(0),
            running: BTreeSet::new(),
            started: BTreeSet::new(),
            answers: BTreeMap::new(),
            events: Vec::new(),
            is_excess_allowed: false,
            trace: Vec::new(),
        };
        cluster.clients[0].set_policy(policy);
        cluster.run_until_quiet();
        cluster.events.clear();
        cluster
    }

    /// All records in the store.
    pub(crate) fn ledger(&self) -> Ledger {
        let mut ledger = Ledger::default();
        self.shared.inspect(|service| {
            for (key, value) in service.values_with_prefix("quota/") {
                ledger.insert_item(&Item {
                    key: key.to_owned(),
                    value: value.clone(),
                    version: Version(0),
                });
            }
        });
        ledger
    }

    // ---- one client

    /// Requests an admission of that many CPUs from a client.
    pub(crate) fn request(&mut self, client: usize, id: &AdmissionId, cpus: f64) {
        self.clients[client].request(admission_request(id, cpus));
    }

    /// Lets a client send its next request, which does not reach the store yet. Returns whether the client sent one.
    pub(crate) fn send(&mut self, client: usize) -> bool {
        if self.in_transit[client].is_some() {
            return false;
        }
        let request = self.clients[client].poll(self.now);
        let is_sent = request.is_some();
        self.in_transit[client] = request.map(InTransit::Request);
        self.take_events(client);
        is_sent
    }

    /// Lets a client run until it has sent a charge, which does not reach the store yet.
    pub(crate) fn send_until_charge(&mut self, client: usize) {
        for _ in 0..MAX_REQUESTS_BEFORE_CHARGE {
            self.send(client);
            if let Some(InTransit::Request(Request::Txn(txn))) = &self.in_transit[client] {
                let mut changes = txn.changes.iter();
                if changes.any(|change| change.key().starts_with("quota/open/")) {
                    return;
                }
            }
            self.deliver_request(client);
            self.deliver_outcome(client);
        }
        self.fail("the client sent no charge");
    }

    /// Lets the request of a client reach the store.
    pub(crate) fn deliver_request(&mut self, client: usize) {
        match self.in_transit[client].take() {
            Some(InTransit::Request(request)) => {
                let outcome = self.stores[client].execute(&request);
                self.in_transit[client] = Some(InTransit::Outcome(outcome));
                self.audit_store();
            }
            other => self.in_transit[client] = other,
        }
    }

    /// Lets the outcome of a client's request reach the client.
    pub(crate) fn deliver_outcome(&mut self, client: usize) {
        match self.in_transit[client].take() {
            Some(InTransit::Outcome(outcome)) => {
                self.clients[client].on_outcome(self.now, outcome);
                self.take_events(client);
            }
            other => self.in_transit[client] = other,
        }
    }

    /// Executes the next request of a client, or completes the one that is in flight. Returns whether there
    /// was one.
    pub(crate) fn step(&mut self, client: usize) -> bool {
        let is_busy = self.send(client) || self.in_transit[client].is_some();
        self.deliver_request(client);
        self.deliver_outcome(client);
        is_busy
    }

    /// Replaces the process of a client by a new one of the same name, which has no state.
    pub(crate) fn restart(&mut self, client: usize) {
        if let Some(InTransit::Request(request)) = self.in_transit[client].take() {
            self.delayed_requests
                .push_back(DelayedRequest { client, request });
        }
        let config = client_config(client, self.clients.len());
        self.clients[client] = QuotaClient::new(config);
    }

    /// Lets the oldest request of an ended process reach the store. Returns whether there was one.
    pub(crate) fn deliver_delayed_request(&mut self) -> bool {
        let Some(DelayedRequest { client, request }) = self.delayed_requests.pop_front() else {
            return false;
        };
        self.stores[client].execute(&request);
        self.audit_store();
        true
    }

    fn take_events(&mut self, client: usize) {
        for event in self.clients[client].take_events() {
            let line = format!("{:>7} {client}: {event:?}", self.now.0);
            self.trace.push(line);
            self.on_event(client, &event);
            self.events.push((client, event));
        }
    }

    // ---- all clients

    /// Ends work, if it is running, and releases it at a client.
    pub(crate) fn finish_work(&mut self, id: &AdmissionId, notified_client: usize) {
        if self.running.remove(id) {
            self.clients[notified_client].release(id.clone());
        }
    }

    /// Advances the clock.
    pub(crate) fn advance(&mut self, elapsed_ms: u64) {
        self.now = Time(self.now.0 + elapsed_ms);
        self.shared.advance(elapsed_ms);
    }

    /// Lets these clients take turns, with one request each per round of `round_ms` milliseconds.
    pub(crate) fn run(&mut self, clients: &[usize], rounds: usize, round_ms: u64) {
        for _ in 0..rounds {
            for client in clients {
                self.step(*client);
            }
            self.advance(round_ms);
        }
    }

    /// Lets all clients take turns for a number of rounds after which they should have nothing left to do.
    pub(crate) fn run_until_quiet(&mut self) {
        for _ in 0..ROUNDS_UNTIL_QUIET {
            let mut is_busy = false;
            for client in 0..self.clients.len() {
                is_busy |= self.step(client);
            }
            self.advance(if is_busy {
                BUSY_ROUND_MS
            } else {
                IDLE_ROUND_MS
            });
        }
    }

    /// Ends all work until every request is answered, then asserts that every admission is completed.
    pub(crate) fn finish_everything(
        &mut self,
        requests: &BTreeMap<AdmissionId, AdmissionRequest>,
        teams: &[&str],
    ) {
        while self.shared.deliver_delayed() {
            self.audit_store();
        }
        while self.deliver_delayed_request() {}
        for client in &mut self.clients {
            for name in teams {
                client.recover_team(&team(name));
            }
        }
        let all_clients: Vec<usize> = (0..self.clients.len()).collect();
        for _ in 0..40 {
            self.run(&all_clients, 60, 7);
            let running: Vec<AdmissionId> = self.running.iter().cloned().collect();
            for (n, id) in running.iter().enumerate() {
                self.finish_work(id, n % self.clients.len());
            }
            self.repeat_releases();
            let unanswered = requests
                .iter()
                .filter(|(id, _)| !self.answers.contains_key(id));
            let unanswered: Vec<AdmissionRequest> =
                unanswered.map(|(_, request)| request.clone()).collect();
            let is_finished = running.is_empty() && unanswered.is_empty();
            if is_finished && self.ledger().charges.is_empty() {
                break;
            }
            for (n, request) in unanswered.into_iter().enumerate() {
                let client = n % self.clients.len();
                self.clients[client].request(request);
            }
        }
        self.assert_all_completed(requests);
    }

    /// Releases ended work at client 0 again while it is still charged, because the client that was told of the
    /// end may have been restarted since.
    fn repeat_releases(&mut self) {
        let charged = self.ledger().charges.into_keys();
        let ended = charged.filter(|id| self.started.contains(id) && !self.running.contains(id));
        let ended: Vec<AdmissionId> = ended.collect();
        for id in ended {
            self.clients[0].release(id);
        }
    }
}
