//! Several clients over one store in memory, and a checker that judges every revision.

#![allow(dead_code, reason = "each test uses its part")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lichencrank_quota::{
    AdmissionId, AdmissionRequest, ClientConfig, ClientName, Ledger, Priority, QuotaClient,
    QuotaEvent, QuotaPolicy, RequesterName, ResourceVector, TeamName, TeamPolicy,
};
use lichencrank_store::{ConditionalStore, Item, Outcome, Request, StoreLimits, Time, Version};
use lichencrank_testkit::{FaultyStore, Limits, SharedState};

pub(crate) const LIMITS: StoreLimits = StoreLimits {
    value_bytes: 16 * 1024,
    changes: 16,
    requests_per_second: 1e9,
    changes_per_second: 1e9,
};
pub(crate) const REFRESH: Duration = Duration::from_millis(100);
pub(crate) const CONFIRM_AFTER: Duration = Duration::from_secs(3);
/// Rounds after which whatever is possible has happened.
const SETTLED_ROUNDS: usize = 600;

pub(crate) fn team(name: &str) -> TeamName {
    TeamName::new(name)
}

pub(crate) fn client_name(number: usize) -> ClientName {
    ClientName::new(&format!("controller-{number}"))
}

pub(crate) fn id(of: &str, requester: usize, sequence: u32) -> AdmissionId {
    AdmissionId {
        team: team(of),
        requester: RequesterName::new(&format!("user-{requester}")),
        sequence,
    }
}

pub(crate) fn request(id: &AdmissionId, cpus: f64) -> AdmissionRequest {
    AdmissionRequest {
        id: id.clone(),
        usage: ResourceVector::rounded_up(cpus, 0.0),
        priority: Priority::Normal,
    }
}

pub(crate) fn config(number: usize, clients: u64) -> ClientConfig {
    ClientConfig {
        name: client_name(number),
        store_limits: LIMITS,
        expected_clients: clients,
        refresh_interval: REFRESH,
        idle_return_after: Duration::from_secs(5),
        reconfirm_after: CONFIRM_AFTER,
    }
}

/// A policy: capacity in CPUs (`None`: no end), and of each team guarantee and limit.
pub(crate) fn policy(capacity: Option<u64>, teams: &[(&str, u64, u64)]) -> QuotaPolicy {
    let of_team = |(name, guarantee, limit): &(&str, u64, u64)| {
        let policy = TeamPolicy {
            guarantee: ResourceVector::from_cpus(*guarantee),
            limit: ResourceVector::from_limit_settings(*limit as f64, 0.0),
        };
        (team(name), policy)
    };
    QuotaPolicy {
        capacity: capacity.map_or(ResourceVector::UNLIMITED, |cpus| ResourceVector {
            gpus: ResourceVector::UNLIMITED.gpus,
            ..ResourceVector::from_cpus(cpus)
        }),
        teams: teams.iter().map(of_team).collect(),
    }
}

/// What a client has sent, and how far it got.
enum Pending {
    /// It left the client, but has not reached the store.
    Request(Request),
    /// The store has answered, but the client has not heard it.
    Answer(Outcome),
}

pub(crate) struct Cluster {
    pub(crate) shared: SharedState,
    pub(crate) stores: Vec<FaultyStore>,
    pub(crate) clients: Vec<QuotaClient>,
    pending: Vec<Option<Pending>>,
    /// Requests of processes that ended, which may yet arrive.
    orphans: Vec<(usize, Request)>,
    pub(crate) now: Time,
    /// Work that has been started and has not ended.
    pub(crate) running: BTreeSet<AdmissionId>,
    started: BTreeSet<AdmissionId>,
    pub(crate) answers: BTreeMap<AdmissionId, Vec<QuotaEvent>>,
    pub(crate) events: Vec<(usize, QuotaEvent)>,
    /// While a policy changes, what was admitted before may exceed it.
    pub(crate) lenient: bool,
    pub(crate) trace: Vec<String>,
}

impl Cluster {
    pub(crate) fn new(clients: usize, policy: QuotaPolicy) -> Cluster {
        let shared = SharedState::new(Limits {
            value_bytes: LIMITS.value_bytes,
            txn_ops: LIMITS.changes,
        });
        let mut cluster = Cluster {
            stores: (0..clients).map(|n| shared.client(n)).collect(),
            clients: (0..clients)
                .map(|n| QuotaClient::new(config(n, clients as u64)))
                .collect(),
            pending: (0..clients).map(|_| None).collect(),
            orphans: Vec::new(),
            shared,
            now: Time(0),
            running: BTreeSet::new(),
            started: BTreeSet::new(),
            answers: BTreeMap::new(),
            events: Vec::new(),
            lenient: false,
            trace: Vec::new(),
        };
        cluster.clients[0].set_policy(policy);
        cluster.settle();
        cluster.events.clear();
        cluster
    }

    pub(crate) fn ledger(&self) -> Ledger {
        let mut ledger = Ledger::default();
        self.shared.look(|service| {
            for (key, value) in service.below("quota/") {
                ledger.insert_item(&Item {
                    key: key.to_owned(),
                    value: value.clone(),
                    version: Version(0),
                });
            }
        });
        ledger
    }

    /// Judges the store as it stands.
    fn check(&self) {
        let mut differences = self.ledger().audit();
        if self.lenient {
            use lichencrank_quota::Discrepancy;
            differences.retain(|difference| {
                !matches!(
                    difference,
                    Discrepancy::LimitExceeded { .. } | Discrepancy::GuaranteeViolated { .. }
                )
            });
        }
        let told: Vec<String> = differences.iter().map(ToString::to_string).collect();
        assert!(told.is_empty(), "{told:#?}\n{}", self.trace.join("\n"));
    }

    pub(crate) fn fail(&self, what: &str) -> ! {
        let ledger = self.ledger();
        for client in &self.clients {
            println!("{client:?}");
        }
        println!(
            "{:#?}\n{:?}\n{:?}",
            ledger.teams, ledger.allowances, ledger.pool
        );
        panic!("{what}\n{}", self.trace.join("\n"));
    }

    // ---- one client

    /// Lets a client send its next request, which does not reach the store yet.
    pub(crate) fn send(&mut self, n: usize) -> bool {
        if self.pending[n].is_some() {
            return false;
        }
        let request = self.clients[n].poll(self.now);
        let sent = request.is_some();
        self.pending[n] = request.map(Pending::Request);
        self.take_decisions(n);
        sent
    }

    /// Lets a client go on until its next charge has left it.
    pub(crate) fn send_charge(&mut self, n: usize) {
        for _ in 0..50 {
            self.send(n);
            if let Some(Pending::Request(Request::Txn(txn))) = &self.pending[n] {
                let mut changes = txn.changes.iter();
                if changes.any(|change| change.key().starts_with("quota/open/")) {
                    return;
                }
            }
            self.arrive(n);
            self.hear(n);
        }
        self.fail("no charge is sent");
    }

    /// Lets its request reach the store.
    pub(crate) fn arrive(&mut self, n: usize) {
        match self.pending[n].take() {
            Some(Pending::Request(request)) => {
                let outcome = self.stores[n].execute(&request);
                self.pending[n] = Some(Pending::Answer(outcome));
                self.check();
            }
            other => self.pending[n] = other,
        }
    }

    /// Lets the answer reach the client.
    pub(crate) fn hear(&mut self, n: usize) {
        match self.pending[n].take() {
            Some(Pending::Answer(outcome)) => {
                self.clients[n].on_outcome(self.now, outcome);
                self.take_decisions(n);
            }
            other => self.pending[n] = other,
        }
    }

    /// All of it. Returns whether there was anything to do.
    pub(crate) fn step(&mut self, n: usize) -> bool {
        let sent = self.send(n) || self.pending[n].is_some();
        self.arrive(n);
        self.hear(n);
        sent
    }

    /// Ends its process; another one of the same name takes its place and asks for its accounts.
    pub(crate) fn kill(&mut self, n: usize) {
        if let Some(Pending::Request(request)) = self.pending[n].take() {
            self.orphans.push((n, request));
        }
        self.pending[n] = None;
        self.clients[n] = QuotaClient::new(config(n, self.clients.len() as u64));
    }

    /// The oldest request of an ended process arrives.
    pub(crate) fn orphan_arrives(&mut self) {
        if !self.orphans.is_empty() {
            let (n, request) = self.orphans.remove(0);
            self.stores[n].execute(&request);
            self.check();
        }
    }

    fn take_decisions(&mut self, n: usize) {
        for event in self.clients[n].take_events() {
            self.trace.push(format!("{:>7} {n}: {event:?}", self.now.0));
            self.judge(n, &event);
            self.events.push((n, event));
        }
    }

    fn judge(&mut self, n: usize, event: &QuotaEvent) {
        match event {
            QuotaEvent::Admitted(id) => {
                let ledger = self.ledger();
                let open = ledger.charges.get(id);
                if open.is_none_or(|open| open.client != client_name(n)) {
                    self.fail(&format!("{id} starts without a charge"));
                }
                if !self.started.insert(id.clone()) {
                    self.fail(&format!("{id} starts twice"));
                }
                self.running.insert(id.clone());
                self.answer(id, event);
            }
            QuotaEvent::Recovered(id) => {
                if self.started.insert(id.clone()) {
                    self.running.insert(id.clone());
                }
                self.answer(id, event);
            }
            QuotaEvent::AlreadyAdmitted { id, .. }
            | QuotaEvent::AlreadyCompleted(id)
            | QuotaEvent::Rejected { id, .. }
            | QuotaEvent::Cancelled(id) => self.answer(id, event),
            _ => {}
        }
    }

    fn answer(&mut self, id: &AdmissionId, event: &QuotaEvent) {
        let answers = self.answers.entry(id.clone()).or_default();
        answers.push(event.clone());
    }

    // ---- all of them

    /// Work ends, and a client is told so.
    pub(crate) fn finish(&mut self, id: &AdmissionId, through: usize) {
        if self.running.remove(id) {
            self.clients[through].release(id.clone());
        }
    }

    pub(crate) fn advance(&mut self, ms: u64) {
        self.now = Time(self.now.0 + ms);
        self.shared.advance(ms);
    }

    /// Lets everything take its course until nothing more happens.
    pub(crate) fn settle(&mut self) {
        for _ in 0..SETTLED_ROUNDS {
            let mut busy = false;
            for n in 0..self.clients.len() {
                busy |= self.step(n);
            }
            self.advance(if busy { 1 } else { 20 });
        }
    }

    /// Ends all work and lets every request be answered; then judges what is left.
    pub(crate) fn wind_up(
        &mut self,
        asked: &BTreeMap<AdmissionId, AdmissionRequest>,
        teams: &[&str],
    ) {
        while self.shared.deliver_late() {
            self.check();
        }
        while !self.orphans.is_empty() {
            self.orphan_arrives();
        }
        for client in &mut self.clients {
            for name in teams {
                client.recover_team(&team(name));
            }
        }
        for _ in 0..40 {
            self.settle_briefly();
            let running: Vec<AdmissionId> = self.running.iter().cloned().collect();
            for (n, id) in running.iter().enumerate() {
                self.finish(id, n % self.clients.len());
            }
            self.repeat_releases();
            let unanswered = asked
                .iter()
                .filter(|(id, _)| !self.answers.contains_key(id));
            let unanswered: Vec<AdmissionRequest> = unanswered.map(|(_, r)| r.clone()).collect();
            if running.is_empty() && unanswered.is_empty() && self.ledger().charges.is_empty() {
                break;
            }
            for (n, request) in unanswered.into_iter().enumerate() {
                self.clients[n % 3].request(request);
            }
        }
        self.judge_the_end(asked);
    }

    /// Whoever was told of an end may have ended itself: it is told until the charge is gone.
    fn repeat_releases(&mut self) {
        let open: Vec<AdmissionId> = self.ledger().charges.into_keys().collect();
        let ended = open.iter().filter(|id| {
            let started = self.started.contains(*id);
            started && !self.running.contains(*id)
        });
        let ended: Vec<AdmissionId> = ended.cloned().collect();
        for id in ended {
            self.clients[0].release(id);
        }
    }

    fn settle_briefly(&mut self) {
        for _ in 0..60 {
            for n in 0..self.clients.len() {
                self.step(n);
            }
            self.advance(7);
        }
    }

    /// Every request was answered, and every admission is settled once.
    fn judge_the_end(&self, asked: &BTreeMap<AdmissionId, AdmissionRequest>) {
        let ledger = self.ledger();
        if !ledger.charges.is_empty() {
            self.fail(&format!("still open: {:?}", ledger.charges));
        }
        let mut released = ResourceVector::ZERO;
        for id in &self.started {
            let settled = ledger.completed.get(&id.requester_id());
            if !settled.is_some_and(|s| s.sequences.contains(id.sequence)) {
                self.fail(&format!("{id} ran and is not settled"));
            }
            released += asked[id].usage;
        }
        let recorded: ResourceVector = ledger.completed.values().map(|s| s.total_released).sum();
        let counted: u64 = ledger.completed.values().map(|s| s.sequences.len()).sum();
        assert_eq!((counted, recorded), (self.started.len() as u64, released));
        for id in asked.keys() {
            if !self.answers.contains_key(id) {
                self.fail(&format!("{id} was never answered"));
            }
        }
    }
}
