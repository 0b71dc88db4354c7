//! Clients that share a single record per team, which contains the sum of all charges.

use std::time::Instant;

use lichencrank_store::{value, Change, Item, Outcome, Request, Txn, Version};
use lichencrank_testkit::FaultyStore;

use super::{
    new_store, target_per_client, Cost, ADMISSIONS, ENDED_AT_ONCE, ENDING_TENTHS, LIMIT_CPUS,
    STORE_LIMITS,
};

/// Key of the record with the sum of a team's charges.
const SUM_KEY: &str = "sum";

/// The sum of all charges as a client last read or wrote it.
struct KnownSum {
    charged_cpus: u64,
    version: Version,
}

/// A client without allowances: a single record per team contains the sum, and every batch of started and ended
/// admissions replaces it.
struct SingleRecordClient {
    number: usize,
    store: FaultyStore,
    sum: Option<KnownSum>,
    running: Vec<String>,
    /// Sequence number of the next admission.
    next_sequence: usize,
}

impl SingleRecordClient {
    /// Executes one request to the store. Returns the number of admissions that started.
    fn step(&mut self, target: usize, cost: &mut Cost) -> usize {
        let Some(sum) = self.sum.take() else {
            self.read_sum(cost);
            return 0;
        };
        let max_changes = STORE_LIMITS.max_changes - 1;
        let is_nearly_full = self.running.len() * 10 > target * ENDING_TENTHS;
        let ends_work = is_nearly_full || sum.charged_cpus >= LIMIT_CPUS;
        let end_count = if ends_work { ENDED_AT_ONCE } else { 0 };
        let running = self.running.iter();
        let ended: Vec<String> = running.take(end_count.min(max_changes)).cloned().collect();
        let available = LIMIT_CPUS.saturating_sub(sum.charged_cpus) as usize + ended.len();
        let missing = target.saturating_sub(self.running.len());
        let start_count = available.min(max_changes - ended.len()).min(missing);
        if ended.is_empty() && start_count == 0 {
            // Others may have ended work, so the sum is read again in the next step.
            return 0;
        }
        self.commit(&sum, start_count, ended, cost)
    }

    fn read_sum(&mut self, cost: &mut Cost) {
        let get = Request::Get(SUM_KEY.to_owned());
        if let Outcome::Item(item) = cost.execute(&mut self.store, &get) {
            let charged = item.as_ref().and_then(Item::record);
            self.sum = Some(KnownSum {
                charged_cpus: charged.unwrap_or(0),
                version: item.map_or(Version::ABSENT, |item| item.version),
            });
        }
    }

    fn commit(
        &mut self,
        sum: &KnownSum,
        start_count: usize,
        ended: Vec<String>,
        cost: &mut Cost,
    ) -> usize {
        let charged_cpus = sum.charged_cpus + start_count as u64 - ended.len() as u64;
        let started = self.next_sequence..self.next_sequence + start_count;
        let started: Vec<String> = started
            .map(|admission| format!("open/{}/{admission}", self.number))
            .collect();
        let mut txn = Txn::default();
        txn.require(SUM_KEY.to_owned(), sum.version);
        let new_sum = Change::put(SUM_KEY.to_owned(), value(&charged_cpus));
        txn.changes.push(new_sum);
        let charges = started.iter().cloned();
        txn.changes
            .extend(charges.map(|key| Change::put(key, value(&1))));
        txn.changes
            .extend(ended.iter().cloned().map(Change::delete));
        match cost.execute(&mut self.store, &Request::Txn(txn)) {
            Outcome::Committed(version) => {
                self.sum = Some(KnownSum {
                    charged_cpus,
                    version,
                });
                self.next_sequence += start_count;
                self.running.drain(..ended.len());
                self.running.extend(started);
                start_count
            }
            _ => 0,
        }
    }
}

/// Measures the cost of admissions with a single record per team.
pub(super) fn measure_single_record(client_count: usize, load: f64) -> Cost {
    let shared = new_store();
    let clients = (0..client_count).map(|number| SingleRecordClient {
        number,
        store: shared.client(number),
        sum: None,
        running: Vec::new(),
        next_sequence: 0,
    });
    let mut clients: Vec<SingleRecordClient> = clients.collect();
    let target = target_per_client(client_count, load);
    let mut cost = Cost::default();
    let mut admitted = 0;
    let started_at = Instant::now();
    while admitted < ADMISSIONS {
        cost.rounds += 1;
        for client in &mut clients {
            admitted += client.step(target, &mut cost);
        }
    }
    cost.seconds = started_at.elapsed().as_secs_f64();
    cost
}
