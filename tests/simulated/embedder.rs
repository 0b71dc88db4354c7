//! A program other than the controllers that embeds the quota library and so shares the teams' limits with them.

use std::time::Duration;

use lichencrank_quota::{
    AdmissionId, AdmissionRequest, ClientConfig, ClientName, Priority, QuotaClient, QuotaEvent,
    RequesterName, ResourceVector, TeamName,
};
use lichencrank_store::codec::{decode, encode};
use lichencrank_store::{Outcome, StoreLimits, Time};
use lichencrank_testkit::InMemoryStore;

use super::clock::SimTime;

/// The admissions that the program requests, again and again.
#[derive(Clone, Debug)]
pub struct AdmissionDemand {
    /// The team whose limit it uses.
    pub team: String,
    /// How many admissions the program keeps running or pending.
    pub admission_count: usize,
    /// CPUs of each admission.
    pub cpus: f64,
    /// How long each admission is used.
    pub run_time: Duration,
}

struct RunningAdmission {
    id: AdmissionId,
    ends_at: SimTime,
}

/// A program that embeds the quota library.
pub struct Embedder {
    client: QuotaClient,
    demand: AdmissionDemand,
    next_sequence: u32,
    running: Vec<RunningAdmission>,
}

impl Embedder {
    /// A program that has requested nothing yet.
    pub fn new(demand: AdmissionDemand) -> Embedder {
        let config = ClientConfig {
            name: ClientName::new("depot-tool"),
            store_limits: StoreLimits {
                max_value_bytes: 16 * 1024,
                max_changes: 16,
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
            next_sequence: 0,
            running: Vec::new(),
        }
    }

    /// The team whose limit the program uses.
    pub fn team(&self) -> &str {
        &self.demand.team
    }

    /// CPUs of the running admissions.
    pub fn used_cpus(&self) -> f64 {
        self.running.len() as f64 * self.demand.cpus
    }

    /// Ends and requests admissions as they are due, and sends at most one request to the key-value store; `store`
    /// is `None` during an outage. Returns how many admissions started.
    pub fn advance(&mut self, now: SimTime, store: Option<&mut InMemoryStore>) -> usize {
        self.end_admissions(now);
        while self.running.len() + self.client.pending_count() < self.demand.admission_count {
            self.request_admission();
        }
        self.send_request(now, store);
        self.start_admissions(now)
    }

    fn end_admissions(&mut self, now: SimTime) {
        let has_ended = |admission: &RunningAdmission| admission.ends_at <= now;
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(has_ended);
        self.running = running;
        let ended: Vec<RunningAdmission> = ended;
        for admission in ended {
            self.client.release(admission.id);
        }
    }

    fn request_admission(&mut self) {
        let id = AdmissionId {
            team: TeamName::new(&self.demand.team),
            requester: RequesterName::new("depot"),
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        self.client.request(AdmissionRequest {
            id,
            usage: ResourceVector::rounded_up(self.demand.cpus, 0.0),
            priority: Priority::Normal,
        });
    }

    fn send_request(&mut self, now: SimTime, store: Option<&mut InMemoryStore>) {
        let time = Time(now.as_millis());
        let Some(request) = self.client.poll(time) else {
            return;
        };
        let http = request.render();
        let outcome = match store {
            None => Outcome::Unavailable,
            Some(store) => {
                let body = decode(&http.body).unwrap_or(ciborium::Value::Null);
                let response = store.handle(now.as_millis(), http.method, &http.target, &body);
                Outcome::read(http.kind, response.status, &encode(&response.body))
            }
        };
        self.client.on_outcome(time, outcome);
    }

    fn start_admissions(&mut self, now: SimTime) -> usize {
        let previous_count = self.running.len();
        for event in self.client.take_events() {
            if let QuotaEvent::Admitted(id) = event {
                let ends_at = now + self.demand.run_time;
                self.running.push(RunningAdmission { id, ends_at });
            }
        }
        self.running.len() - previous_count
    }
}
