//! Three controllers, each with its own thread and connection, race thousands of requests against a store on
//! loopback. Every revision of the store is audited afterwards.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use lichencrank_quota::{
    AdmissionId, AdmissionRequest, BlockingQuotaClient, ClientConfig, ClientName, Ledger, Priority,
    QuotaEvent, QuotaPolicy, RequesterName, ResourceVector, TeamName, TeamPolicy,
};
use lichencrank_store::{BlockingClient, Item, StoreLimits, Version};
use lichencrank_testkit::loopback::serve_store;
use lichencrank_testkit::sync::lock;
use lichencrank_testkit::{InMemoryStore, Limits};

const CONTROLLER_COUNT: usize = 3;
const USER_COUNT: usize = 12;
const REQUESTS_PER_USER: u32 = 150;
/// One in this many requests is sent to a second controller as well.
const REPEAT_EVERY: usize = 4;
/// A controller ends its oldest work while more admissions than this are running.
const MAX_RUNNING_PER_CONTROLLER: usize = 12;
const STORE_TIMEOUT: Duration = Duration::from_secs(10);
const CAPACITY_CPUS: u64 = 40;

/// A team and its quota.
struct Team {
    name: &'static str,
    guarantee_cpus: u64,
    limit_cpus: u64,
}

const TEAMS: [Team; 3] = [
    Team {
        name: "rush",
        guarantee_cpus: 10,
        limit_cpus: 30,
    },
    Team {
        name: "scan",
        guarantee_cpus: 10,
        limit_cpus: 40,
    },
    Team {
        name: "route",
        guarantee_cpus: 0,
        limit_cpus: 20,
    },
];

/// A controller's answer to a request.
struct Answer {
    id: AdmissionId,
    event: QuotaEvent,
}

fn limits() -> Limits {
    Limits {
        max_value_bytes: 16 * 1024,
        max_changes: 16,
    }
}

fn controller(number: usize, address: SocketAddr) -> BlockingQuotaClient<BlockingClient> {
    let config = ClientConfig {
        name: ClientName::new(&format!("controller-{number}")),
        store_limits: StoreLimits {
            max_value_bytes: limits().max_value_bytes,
            max_changes: limits().max_changes,
            requests_per_second: 1e9,
            changes_per_second: 1e9,
        },
        expected_clients: CONTROLLER_COUNT as u64,
        refresh_interval: Duration::from_millis(20),
        idle_return_after: Duration::from_millis(100),
        reconfirm_after: STORE_TIMEOUT,
    };
    BlockingQuotaClient::new(config, BlockingClient::new(address, STORE_TIMEOUT))
}

fn policy() -> QuotaPolicy {
    let teams = TEAMS.iter().map(|team| {
        let policy = TeamPolicy {
            guarantee: ResourceVector::from_cpus(team.guarantee_cpus),
            limit: ResourceVector::from_limit_settings(team.limit_cpus as f64, 0.0),
        };
        (TeamName::new(team.name), policy)
    });
    QuotaPolicy {
        capacity: ResourceVector {
            gpus: ResourceVector::UNLIMITED.gpus,
            ..ResourceVector::from_cpus(CAPACITY_CPUS)
        },
        teams: teams.collect(),
    }
}

/// The requests of all users, in random order.
fn requests(seed: u64) -> Vec<AdmissionRequest> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut requests = Vec::new();
    for user in 0..USER_COUNT {
        for sequence in 0..REQUESTS_PER_USER {
            let id = AdmissionId {
                team: TeamName::new(TEAMS[user % TEAMS.len()].name),
                requester: RequesterName::new(&format!("user-{user}")),
                sequence,
            };
            requests.push(AdmissionRequest {
                id,
                usage: ResourceVector::from_cpus(random.u64(1..=3)),
                priority: Priority::Normal,
            });
        }
    }
    random.shuffle(&mut requests);
    requests
}

/// Runs a controller: requests the admissions that it is sent, and ends the oldest work, until `is_stopping`.
fn run_controller(
    mut quota: BlockingQuotaClient<BlockingClient>,
    requests: Receiver<AdmissionRequest>,
    answers: &Sender<Answer>,
    is_stopping: &AtomicBool,
) {
    let mut running: Vec<AdmissionId> = Vec::new();
    while !is_stopping.load(Ordering::SeqCst) {
        for request in requests.try_iter() {
            quota.request(request);
        }
        let events = quota.step();
        let is_idle = events.is_empty();
        for event in events {
            if let QuotaEvent::Admitted(id) = &event {
                running.push(id.clone());
            }
            if let Some(id) = answered_request(&event) {
                let id = id.clone();
                let _ = answers.send(Answer { id, event });
            }
        }
        // When nothing new happens, all work ends, because other controllers may wait for its resources.
        let max_running = if is_idle {
            0
        } else {
            MAX_RUNNING_PER_CONTROLLER
        };
        while running.len() > max_running {
            quota.release(running.remove(0));
        }
    }
}

/// The request that an event answers, if it answers one.
fn answered_request(event: &QuotaEvent) -> Option<&AdmissionId> {
    match event {
        QuotaEvent::Admitted(id)
        | QuotaEvent::AlreadyAdmitted { id, .. }
        | QuotaEvent::AlreadyCompleted(id)
        | QuotaEvent::Rejected { id, .. } => Some(id),
        _ => None,
    }
}

/// Controllers that run in their own threads.
struct Controllers {
    requests: Vec<Sender<AdmissionRequest>>,
    answers: Receiver<Answer>,
    is_stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Controllers {
    fn start(address: SocketAddr) -> Controllers {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let (answer, answers) = channel();
        let mut requests = Vec::new();
        let mut threads = Vec::new();
        for number in 0..CONTROLLER_COUNT {
            let (send, receive) = channel();
            requests.push(send);
            let (answer, is_stopping) = (answer.clone(), is_stopping.clone());
            let quota = controller(number, address);
            threads.push(thread::spawn(move || {
                run_controller(quota, receive, &answer, &is_stopping);
            }));
        }
        Controllers {
            requests,
            answers,
            is_stopping,
            threads,
        }
    }

    /// Sends every request to one controller, and some to a second one as well. Returns the number of
    /// expected answers.
    fn send(&self, requests: &[AdmissionRequest]) -> usize {
        for (n, request) in requests.iter().enumerate() {
            let _ = self.requests[n % CONTROLLER_COUNT].send(request.clone());
            if n % REPEAT_EVERY == 0 {
                let _ = self.requests[(n + 1) % CONTROLLER_COUNT].send(request.clone());
            }
        }
        requests.len() + requests.len().div_ceil(REPEAT_EVERY)
    }

    fn stop(self) {
        self.is_stopping.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("controller threads do not panic");
        }
    }
}

#[test]
fn racing_requests_never_exceed_a_limit() {
    let state = Arc::new(Mutex::new(InMemoryStore::new(limits())));
    let address = serve_store(state.clone(), Arc::new(AtomicBool::new(false)));
    let mut first = controller(0, address);
    first.set_policy(policy());
    while !first.step().contains(&QuotaEvent::PolicyApplied) {}

    let requests = requests(24);
    let controllers = Controllers::start(address);
    let expected = controllers.send(&requests);
    let answers: Vec<Answer> = controllers.answers.iter().take(expected).collect();
    while lock(&state).key_count("quota/open/") > 0 {
        thread::sleep(Duration::from_millis(5));
    }
    controllers.stop();
    let state = lock(&state);
    assert_consistent_at_every_revision(&state);
    assert_each_admitted_once(&requests, &answers);
    assert_each_completed_once(&requests, &state);
}

/// Replays all committed transactions, and audits the ledger after each.
fn assert_consistent_at_every_revision(state: &InMemoryStore) {
    let mut replayed = InMemoryStore::new(limits());
    for txn in state.applied_transactions() {
        replayed.transact(txn);
        let found = ledger(&replayed).audit();
        assert_eq!(found, [], "after revision {}", replayed.revision());
    }
}

fn assert_each_admitted_once(requests: &[AdmissionRequest], answers: &[Answer]) {
    let admitted = answers
        .iter()
        .filter(|answer| matches!(answer.event, QuotaEvent::Admitted(_)));
    let admitted: Vec<&AdmissionId> = admitted.map(|answer| &answer.id).collect();
    let distinct: BTreeSet<&AdmissionId> = admitted.iter().copied().collect();
    assert_eq!(admitted.len(), distinct.len(), "admitted more than once");
    assert_eq!(distinct.len(), requests.len(), "admitted of all requests");
}

fn assert_each_completed_once(requests: &[AdmissionRequest], state: &InMemoryStore) {
    let usages: BTreeMap<&AdmissionId, ResourceVector> = requests
        .iter()
        .map(|request| (&request.id, request.usage))
        .collect();
    let expected: ResourceVector = usages.values().copied().sum();
    let completed = ledger(state).completed;
    let records = completed.values();
    let released: ResourceVector = records.map(|record| record.total_released).sum();
    assert_eq!(released, expected, "sum of released charges");
    let records = completed.values();
    let count: u64 = records.map(|record| record.sequences.len()).sum();
    assert_eq!(count, requests.len() as u64, "completed admissions");
}

fn ledger(state: &InMemoryStore) -> Ledger {
    let mut ledger = Ledger::default();
    for (key, value) in state.values_with_prefix("quota/") {
        ledger.insert_item(&Item {
            key: key.to_owned(),
            value: value.clone(),
            version: Version(0),
        });
    }
    ledger
}
