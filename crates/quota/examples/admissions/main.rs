//! Measures the cost of admissions by number of clients and by load, for allowances and for a single record per
//! team: `cargo run --release -p lichencrank-quota --example admissions`.
//!
//! Clients take turns with an in-memory store, one request each. The measured cost is therefore the number of
//! requests and changes, not the speed of a network. The figures are in `docs/quota-results.md`.

mod allowances;
mod single_record;

use lichencrank_store::{ConditionalStore, Outcome, Request, StoreLimits};
use lichencrank_testkit::{FaultyStore, Limits, SharedStore};

use allowances::{measure_allowances, measure_reclaim};
use single_record::measure_single_record;

/// Limit of the team. Each admission uses one CPU.
const LIMIT_CPUS: u64 = 300;
/// Number of admissions in each measurement.
const ADMISSIONS: usize = 3000;
/// Numbers of clients in the measurements.
const CLIENT_COUNTS: [usize; 3] = [1, 3, 9];
/// Loads in the measurements: how many admissions the clients want to run at a time, as a fraction of the limit.
const LOADS: [f64; 3] = [0.5, 0.95, 2.0];
/// Numbers of charges in the measurements of a reclaim.
const RECLAIMED_CHARGES: [usize; 2] = [10, 250];
/// Maximum number of admissions that a client ends at a time.
const ENDED_AT_ONCE: usize = 8;
/// A client ends work once it runs more than this many tenths of the admissions that it wants to run.
const ENDING_TENTHS: usize = 8;
const STORE_LIMITS: StoreLimits = StoreLimits {
    max_value_bytes: 16 * 1024,
    max_changes: 16,
    requests_per_second: 1e9,
    changes_per_second: 1e9,
};

/// The cost of all admissions of one measurement.
#[derive(Default)]
struct Cost {
    requests: usize,
    /// Changes of committed transactions.
    changes: usize,
    /// Transactions that were not committed.
    conflicts: usize,
    rounds: usize,
    seconds: f64,
    /// The fraction of the limit that was granted but not used, summed over all rounds.
    idle_fraction_sum: f64,
}

impl Cost {
    /// Executes a request and counts it.
    fn execute(&mut self, store: &mut FaultyStore, request: &Request) -> Outcome {
        self.requests += 1;
        let outcome = store.execute(request);
        if let Request::Txn(txn) = request {
            match outcome {
                Outcome::Committed(_) => self.changes += txn.changes.len(),
                _ => self.conflicts += 1,
            }
        }
        outcome
    }
}

fn new_store() -> SharedStore {
    SharedStore::new(Limits {
        max_value_bytes: STORE_LIMITS.max_value_bytes,
        max_changes: STORE_LIMITS.max_changes,
    })
}

/// How many admissions each client wants to run at a time.
fn target_per_client(client_count: usize, load: f64) -> usize {
    (LIMIT_CPUS as f64 * load / client_count as f64).ceil() as usize
}

fn print_cost(scheme: &str, client_count: usize, load: f64, cost: &Cost) {
    let per_admission = |count: usize| count as f64 / ADMISSIONS as f64;
    println!(
        "{scheme:<13} {client_count:>7} {load:>5} {:>9.2} {:>8.2} {:>10.2} {:>7} {:>9.0} {:>6.2}",
        per_admission(cost.requests),
        per_admission(cost.changes),
        per_admission(cost.conflicts),
        cost.rounds,
        ADMISSIONS as f64 / cost.seconds,
        cost.idle_fraction_sum / cost.rounds as f64,
    );
}

fn main() {
    println!(
        "of an admission:                requests  changes  conflicts  rounds  admitted/s  idle"
    );
    for client_count in CLIENT_COUNTS {
        for load in LOADS {
            let cost = measure_allowances(client_count, load);
            print_cost("allowances", client_count, load, &cost);
            let cost = measure_single_record(client_count, load);
            print_cost("single record", client_count, load, &cost);
        }
    }
    for charge_count in RECLAIMED_CHARGES {
        let requests = measure_reclaim(charge_count);
        println!("reclaim with {charge_count} open admissions: {requests} requests");
    }
}
