//! Measures admissions by number of clients and distance from the limit, for allowances and for one
//! record a team: `cargo run --release -p lichencrank-quota --example admissions`.
//!
//! Clients take turns against a store in memory, one request each, so what is counted is requests and
//! changes, not the speed of a network. The figures are in `docs/quota-results.md`.

use std::time::{Duration, Instant};

use lichencrank_quota::{
    AdmissionId, AdmissionRequest, ClientConfig, ClientName, Ledger, Priority, QuotaClient,
    QuotaEvent, QuotaPolicy, RequesterName, ResourceVector, TeamName, TeamPolicy,
};
use lichencrank_store::{
    value, Change, ConditionalStore, Outcome, Request, StoreLimits, Time, Txn, Version,
};
use lichencrank_testkit::{FaultyStore, Limits, SharedState};

const TEAM: &str = "vision";
const ADMISSIONS: usize = 3000;
const CLIENTS: [usize; 3] = [1, 3, 9];
/// Parts of the limit that the work wants at a time.
const LOADS: [f64; 3] = [0.5, 0.95, 2.0];
const LIMIT: u64 = 300;
const LIMITS: StoreLimits = StoreLimits {
    value_bytes: 16 * 1024,
    changes: 16,
    requests_per_second: 1e9,
    changes_per_second: 1e9,
};

/// What one run took.
#[derive(Default)]
struct Cost {
    requests: usize,
    changes: usize,
    conflicts: usize,
    rounds: usize,
    seconds: f64,
    /// Share of the limit that was lent and not used, on the mean.
    idle: f64,
}

fn store() -> SharedState {
    SharedState::new(Limits {
        value_bytes: LIMITS.value_bytes,
        txn_ops: LIMITS.changes,
    })
}

/// Carries out a request and counts it.
fn execute(store: &mut FaultyStore, request: &Request, cost: &mut Cost) -> Outcome {
    cost.requests += 1;
    let outcome = store.execute(request);
    if let Request::Txn(txn) = request {
        match outcome {
            Outcome::Committed(_) => cost.changes += txn.changes.len(),
            _ => cost.conflicts += 1,
        }
    }
    outcome
}

fn config(number: usize, clients: usize) -> ClientConfig {
    ClientConfig {
        name: ClientName::new(&format!("client-{number}")),
        store_limits: LIMITS,
        expected_clients: clients as u64,
        refresh_interval: Duration::from_millis(20),
        idle_return_after: Duration::from_millis(500),
        reconfirm_after: Duration::from_secs(60),
    }
}

fn policy() -> QuotaPolicy {
    let team = TeamPolicy {
        guarantee: ResourceVector::ZERO,
        limit: ResourceVector::from_limit_settings(LIMIT as f64, 0.0),
    };
    QuotaPolicy {
        capacity: ResourceVector::UNLIMITED,
        teams: [(TeamName::new(TEAM), team)].into(),
    }
}

fn admission(client: usize, number: usize) -> AdmissionRequest {
    AdmissionRequest {
        id: AdmissionId {
            team: TeamName::new(TEAM),
            requester: RequesterName::new(&format!("user-{client}")),
            sequence: number as u32,
        },
        usage: ResourceVector::from_cpus(1),
        priority: Priority::Normal,
    }
}

fn lent_idle(shared: &SharedState) -> f64 {
    let mut ledger = Ledger::default();
    shared.look(|service| {
        for (key, data) in service.below("quota/team/") {
            ledger.insert_item(&lichencrank_store::Item {
                key: key.to_owned(),
                value: data.clone(),
                version: Version(0),
            });
        }
        let used = service.count("quota/open/") as f64;
        let lent = ledger
            .teams
            .values()
            .map(|team| team.total_granted().cpus.to_decimal());
        (lent.sum::<f64>() - used).max(0.0) / LIMIT as f64
    })
}

fn measure_allowances(clients: usize, load: f64) -> Cost {
    let shared = store();
    let mut stores: Vec<FaultyStore> = (0..clients).map(|n| shared.client(n)).collect();
    let mut all: Vec<QuotaClient> = (0..clients)
        .map(|n| QuotaClient::new(config(n, clients)))
        .collect();
    let mut cost = Cost::default();
    all[0].set_policy(policy());
    let wanted = (LIMIT as f64 * load / clients as f64).ceil() as usize;
    let mut running: Vec<Vec<AdmissionId>> = vec![Vec::new(); clients];
    let mut asked = vec![0; clients];
    let mut admitted = 0;
    let began = Instant::now();
    while admitted < ADMISSIONS {
        cost.rounds += 1;
        shared.advance(1);
        for n in 0..clients {
            while asked[n] < ADMISSIONS && all[n].pending_count() + running[n].len() < wanted {
                all[n].request(admission(n, asked[n]));
                asked[n] += 1;
            }
            if let Some(request) = all[n].poll(Time(cost.rounds as u64)) {
                let outcome = execute(&mut stores[n], &request, &mut cost);
                all[n].on_outcome(Time(cost.rounds as u64), outcome);
            }
            for event in all[n].take_events() {
                if let QuotaEvent::Admitted(id) = event {
                    admitted += 1;
                    running[n].push(id);
                }
            }
            // What runs ends a few at a time.
            if running[n].len() * 10 > wanted * 8 || all[n].pending_count() > 0 {
                for id in running[n].drain(..).take(8).collect::<Vec<_>>() {
                    all[n].release(id);
                }
            }
        }
        cost.idle += lent_idle(&shared);
    }
    cost.seconds = began.elapsed().as_secs_f64();
    cost
}

/// The other way: one record a team holds the sum, and each batch replaces it.
struct SingleRecord {
    known: Option<(u64, Version)>,
    running: Vec<String>,
    next: usize,
}

impl SingleRecord {
    fn step(&mut self, n: usize, wanted: usize, store: &mut FaultyStore, cost: &mut Cost) -> usize {
        let Some((used, version)) = self.known else {
            if let Outcome::Item(item) = execute(store, &Request::Get("sum".into()), cost) {
                let used = item.as_ref().and_then(|item| item.record()).unwrap_or(0);
                self.known = Some((used, item.map_or(Version::ABSENT, |item| item.version)));
            }
            return 0;
        };
        let most = LIMITS.changes - 1;
        let is_full = self.running.len() * 10 > wanted * 8 || used >= LIMIT;
        let ended = if is_full { 8 } else { 0 };
        let ended: Vec<String> = self.running.iter().take(ended.min(most)).cloned().collect();
        let room = LIMIT.saturating_sub(used) as usize + ended.len();
        let begun = room.min(most - ended.len());
        let begun = begun.min(wanted.saturating_sub(self.running.len()));
        if ended.is_empty() && begun == 0 {
            // Somebody else may have made room.
            self.known = None;
            return 0;
        }
        let mut txn = Txn::default();
        txn.require("sum".into(), version);
        let sum = used + begun as u64 - ended.len() as u64;
        txn.changes.push(Change::put("sum".into(), value(&sum)));
        let keys: Vec<String> = (0..begun)
            .map(|k| format!("open/{n}/{}", self.next + k))
            .collect();
        for key in &keys {
            txn.changes.push(Change::put(key.clone(), value(&1)));
        }
        txn.changes
            .extend(ended.iter().cloned().map(Change::delete));
        match execute(store, &Request::Txn(txn), cost) {
            Outcome::Committed(version) => {
                self.known = Some((sum, version));
                self.next += begun;
                self.running.drain(..ended.len());
                self.running.extend(keys);
                begun
            }
            _ => {
                self.known = None;
                0
            }
        }
    }
}

fn measure_single_record(clients: usize, load: f64) -> Cost {
    let shared = store();
    let mut stores: Vec<FaultyStore> = (0..clients).map(|n| shared.client(n)).collect();
    let wanted = (LIMIT as f64 * load / clients as f64).ceil() as usize;
    let empty = || SingleRecord {
        known: None,
        running: Vec::new(),
        next: 0,
    };
    let mut all: Vec<SingleRecord> = (0..clients).map(|_| empty()).collect();
    let mut cost = Cost::default();
    let mut admitted = 0;
    let began = Instant::now();
    while admitted < ADMISSIONS {
        cost.rounds += 1;
        for n in 0..clients {
            admitted += all[n].step(n, wanted, &mut stores[n], &mut cost);
        }
    }
    cost.seconds = began.elapsed().as_secs_f64();
    cost
}

fn print(way: &str, clients: usize, load: f64, cost: &Cost) {
    let each = |count: usize| count as f64 / ADMISSIONS as f64;
    println!(
        "{way:<13} {clients:>7} {load:>5} {:>9.2} {:>8.2} {:>10.2} {:>7} {:>9.0} {:>6.2}",
        each(cost.requests),
        each(cost.changes),
        each(cost.conflicts),
        cost.rounds,
        ADMISSIONS as f64 / cost.seconds,
        cost.idle / cost.rounds as f64,
    );
}

/// From giving a client up to having its unspent allowance, in requests to the store.
fn measure_reclaim(open: usize) -> usize {
    let shared = store();
    let mut stores = [shared.client(0), shared.client(1)];
    let mut lost = QuotaClient::new(config(0, 1));
    lost.set_policy(policy());
    for number in 0..open {
        lost.request(admission(0, number));
    }
    for round in 0..10_000 {
        if let Some(request) = lost.poll(Time(round)) {
            let outcome = stores[0].execute(&request);
            lost.on_outcome(Time(round), outcome);
        }
    }
    let mut other = QuotaClient::new(config(1, 1));
    other.reclaim(TeamName::new(TEAM), ClientName::new("client-0"));
    let mut cost = Cost::default();
    while let Some(request) = other.poll(Time(0)) {
        let outcome = execute(&mut stores[1], &request, &mut cost);
        other.on_outcome(Time(0), outcome);
    }
    cost.requests
}

fn main() {
    println!(
        "of an admission:                requests  changes  conflicts  rounds  admitted/s  idle"
    );
    for clients in CLIENTS {
        for load in LOADS {
            print(
                "allowances",
                clients,
                load,
                &measure_allowances(clients, load),
            );
            print(
                "single record",
                clients,
                load,
                &measure_single_record(clients, load),
            );
        }
    }
    for open in [10, 250] {
        println!(
            "reclaim with {open} open admissions: {} requests",
            measure_reclaim(open)
        );
    }
}
