//! A program that embeds the quota library beside the simulated controllers, and the audit of what both
//! have charged together.

use std::time::Duration;

use lichencrank::storage::records::RunRecord;
use lichencrank_quota::leader::LEADER;
use lichencrank_quota::{
    AdmissionId, AdmissionRequest, AllowanceId, ClientConfig, ClientName, Discrepancy, Ledger,
    Priority, QuotaClient, QuotaEvent, RequesterName, ResourceVector, TeamName,
};
use lichencrank_store::codec::{decode, encode};
use lichencrank_store::{Item, Outcome, StoreLimits, Time, Version};
use lichencrank_testkit::StateService;

/// What the embedding program asks for, over and over.
#[derive(Clone, Debug)]
pub struct Demand {
    pub team: String,
    pub tasks: u32,
    pub cpus: f64,
    pub run_ms: u64,
}

pub struct Embedder {
    client: QuotaClient,
    demand: Demand,
    next: u32,
    running: Vec<(u64, AdmissionId)>,
}

impl Embedder {
    pub fn new(demand: Demand) -> Embedder {
        let config = ClientConfig {
            name: ClientName::new("depot-tool"),
            store_limits: StoreLimits {
                value_bytes: 16 * 1024,
                changes: 16,
                requests_per_second: 100.0,
                changes_per_second: 100.0,
            },
            expected_clients: 2,
            refresh_interval: Duration::from_millis(500),
            idle_return_after: Duration::from_secs(2),
            reconfirm_after: Duration::from_secs(3),
        };
        Embedder {
            client: QuotaClient::new(config),
            demand,
            next: 0,
            running: Vec::new(),
        }
    }

    /// Does what is due, and one request to the state service. Returns how many admissions began.
    pub fn step(&mut self, now: u64, away: bool, state: &mut StateService) -> usize {
        self.end_work(now);
        while self.running.len() + self.client.pending_count() < self.demand.tasks as usize {
            self.ask();
        }
        if let Some(request) = self.client.poll(Time(now)) {
            let http = request.render();
            let outcome = if away {
                Outcome::Refused
            } else {
                let body = decode(&http.body).unwrap_or(ciborium::Value::Null);
                let (status, answer) = state.handle(now, http.method, &http.target, &body);
                Outcome::read(http.kind, status, &encode(&answer))
            };
            self.client.on_outcome(Time(now), outcome);
        }
        let mut begun = 0;
        for event in self.client.take_events() {
            if let QuotaEvent::Admitted(id) = event {
                self.running.push((now + self.demand.run_ms, id));
                begun += 1;
            }
        }
        begun
    }

    /// What its running work takes of its team's limit.
    pub fn uses(&self) -> (String, f64) {
        let cpus = self.running.len() as f64 * self.demand.cpus;
        (self.demand.team.clone(), cpus)
    }

    fn end_work(&mut self, now: u64) {
        let over = |(ends, _): &(u64, AdmissionId)| *ends <= now;
        let ended: Vec<AdmissionId> = self
            .running
            .iter()
            .filter(|r| over(r))
            .map(|r| r.1.clone())
            .collect();
        self.running.retain(|r| !over(r));
        for id in ended {
            self.client.release(id);
        }
    }

    fn ask(&mut self) {
        let id = AdmissionId {
            team: TeamName::new(&self.demand.team),
            requester: RequesterName::new("depot"),
            sequence: self.next,
        };
        self.next += 1;
        self.client.request(AdmissionRequest {
            id,
            usage: ResourceVector::rounded_up(self.demand.cpus, 0.0),
            priority: Priority::Normal,
        });
    }
}

/// Everything in the records that does not add up. After a leader of a version without the feature the
/// leader's charges may exceed its allowance until the next one has taken them in.
pub fn audit(state: &StateService, leader_knows: bool) -> Vec<String> {
    let mut ledger = Ledger::default();
    for (key, value) in state.below("quota/") {
        ledger.insert_item(&Item {
            key: key.to_owned(),
            value: value.clone(),
            version: Version(0),
        });
    }
    for (_, value) in state.below("run/") {
        let Ok(record) = value.deserialized::<RunRecord>() else {
            continue;
        };
        let team = TeamName::new(&record.team);
        let allowance = AllowanceId::new(&team, &ClientName::new(LEADER));
        let booked = record.allocations.len() as u64;
        let usage = ResourceVector::rounded_up(record.cpus, record.gpus).saturating_mul(booked);
        *ledger.external_charges.entry(allowance).or_default() += usage;
    }
    let differences = ledger.audit().into_iter().filter(|difference| {
        let by_leader = matches!(
            difference,
            Discrepancy::AllowanceExceeded { .. } | Discrepancy::LimitExceeded { .. }
        );
        leader_knows || !by_leader
    });
    differences.map(|d| d.to_string()).collect()
}
