//! Clients that charge admissions to allowances.

use std::time::{Duration, Instant};

use lichencrank_quota::{
    AdmissionId, AdmissionRequest, ClientConfig, ClientName, Ledger, Priority, QuotaClient,
    QuotaEvent, QuotaPolicy, RequesterName, ResourceVector, TeamName, TeamPolicy,
};
use lichencrank_store::{ConditionalStore, Item, Time, Version};
use lichencrank_testkit::{FaultyStore, SharedStore};

use super::{
    new_store, target_per_client, Cost, ADMISSIONS, ENDED_AT_ONCE, ENDING_TENTHS, LIMIT_CPUS,
    STORE_LIMITS,
};

const TEAM: &str = "vision";

fn client_name(number: usize) -> ClientName {
    ClientName::new(&format!("client-{number}"))
}

fn new_client(number: usize, client_count: usize) -> QuotaClient {
    QuotaClient::new(ClientConfig {
        name: client_name(number),
        store_limits: STORE_LIMITS,
        expected_clients: client_count as u64,
        refresh_interval: Duration::from_millis(20),
        idle_return_after: Duration::from_millis(500),
        reconfirm_after: Duration::from_secs(60),
    })
}

fn policy() -> QuotaPolicy {
    let team = TeamPolicy {
        guarantee: ResourceVector::ZERO,
        limit: ResourceVector::from_limit_settings(LIMIT_CPUS as f64, 0.0),
    };
    QuotaPolicy {
        capacity: ResourceVector::UNLIMITED,
        teams: [(TeamName::new(TEAM), team)].into(),
    }
}

fn admission_request(client: usize, sequence: usize) -> AdmissionRequest {
    AdmissionRequest {
        id: AdmissionId {
            team: TeamName::new(TEAM),
            requester: RequesterName::new(&format!("user-{client}")),
            sequence: sequence as u32,
        },
        usage: ResourceVector::from_cpus(1),
        priority: Priority::Normal,
    }
}

/// A client that charges admissions to an allowance, with its running work.
struct AllowanceClient {
    number: usize,
    client: QuotaClient,
    store: FaultyStore,
    /// Number of admissions requested so far.
    requested: usize,
    running: Vec<AdmissionId>,
}

impl AllowanceClient {
    /// Requests admissions up to the target, executes one request to the store, and ends some work. Returns the
    /// number of admissions that started.
    fn step(&mut self, target: usize, cost: &mut Cost) -> usize {
        while self.requested < ADMISSIONS
            && self.client.pending_count() + self.running.len() < target
        {
            let request = admission_request(self.number, self.requested);
            self.client.request(request);
            self.requested += 1;
        }
        let now = Time(cost.rounds as u64);
        if let Some(request) = self.client.poll(now) {
            let outcome = cost.execute(&mut self.store, &request);
            self.client.on_outcome(now, outcome);
        }
        let running_before = self.running.len();
        for event in self.client.take_events() {
            if let QuotaEvent::Admitted(id) = event {
                self.running.push(id);
            }
        }
        let started = self.running.len() - running_before;
        self.end_work(target);
        started
    }

    /// Known fault: if more than [`ENDED_AT_ONCE`] admissions are running, the rest is dropped without a release and
    /// stays charged. The published figures were measured with this fault.
    fn end_work(&mut self, target: usize) {
        let is_nearly_full = self.running.len() * 10 > target * ENDING_TENTHS;
        if is_nearly_full || self.client.pending_count() > 0 {
            for id in self.running.drain(..).take(ENDED_AT_ONCE) {
                self.client.release(id);
            }
        }
    }
}

/// Measures the cost of admissions that are charged to allowances.
pub(super) fn measure_allowances(client_count: usize, load: f64) -> Cost {
    let shared = new_store();
    let clients = (0..client_count).map(|number| AllowanceClient {
        number,
        client: new_client(number, client_count),
        store: shared.client(number),
        requested: 0,
        running: Vec::new(),
    });
    let mut clients: Vec<AllowanceClient> = clients.collect();
    clients[0].client.set_policy(policy());
    let target = target_per_client(client_count, load);
    let mut cost = Cost::default();
    let mut admitted = 0;
    let started_at = Instant::now();
    while admitted < ADMISSIONS {
        cost.rounds += 1;
        shared.advance(1);
        for client in &mut clients {
            admitted += client.step(target, &mut cost);
        }
        cost.idle_fraction_sum += idle_fraction(&shared);
    }
    cost.seconds = started_at.elapsed().as_secs_f64();
    cost
}

/// The fraction of the limit that is granted but not used.
fn idle_fraction(shared: &SharedStore) -> f64 {
    let mut ledger = Ledger::default();
    shared.inspect(|service| {
        for (key, value) in service.values_with_prefix("quota/team/") {
            ledger.insert_item(&Item {
                key: key.to_owned(),
                value: value.clone(),
                version: Version(0),
            });
        }
        let used = service.key_count("quota/open/") as f64;
        let teams = ledger.teams.values();
        let granted: f64 = teams
            .map(|team| team.total_granted().cpus.to_decimal())
            .sum();
        (granted - used).max(0.0) / LIMIT_CPUS as f64
    })
}

/// Number of requests to the store to reclaim the unspent allowance of a client with this many charges.
pub(super) fn measure_reclaim(charge_count: usize) -> usize {
    let shared = new_store();
    let mut lost_store = shared.client(0);
    let mut lost = new_client(0, 1);
    lost.set_policy(policy());
    for sequence in 0..charge_count {
        lost.request(admission_request(0, sequence));
    }
    for round in 0..10_000 {
        if let Some(request) = lost.poll(Time(round)) {
            let outcome = lost_store.execute(&request);
            lost.on_outcome(Time(round), outcome);
        }
    }
    let mut store = shared.client(1);
    let mut client = new_client(1, 1);
    client.reclaim(TeamName::new(TEAM), client_name(0));
    let mut cost = Cost::default();
    while let Some(request) = client.poll(Time(0)) {
        let outcome = cost.execute(&mut store, &request);
        client.on_outcome(Time(0), outcome);
    }
    cost.requests
}
