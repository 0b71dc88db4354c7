//! Three controllers, each with a thread and a connection of its own, against a store on loopback;
//! thousands of submissions race. Every revision of the store is judged afterwards.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use lichencrank_quota::{
    AdmissionId, AdmissionRequest, BlockingQuotaClient, ClientConfig, ClientName, Ledger, Priority,
    QuotaEvent, QuotaPolicy, RequesterName, ResourceVector, TeamName, TeamPolicy,
};
use lichencrank_store::{BlockingClient, Item, StoreLimits, Version};
use lichencrank_testkit::http::lock;
use lichencrank_testkit::loopback::serve_state;
use lichencrank_testkit::{Limits, StateService};

const CONTROLLERS: usize = 3;
const TEAMS: [&str; 3] = ["rush", "scan", "route"];
const USERS: usize = 12;
const EACH: u32 = 150;
/// An admission is over once so many others have begun at its controller since.
const RUNS_FOR: usize = 12;
const PATIENCE: Duration = Duration::from_secs(10);

fn limits() -> Limits {
    Limits {
        value_bytes: 16 * 1024,
        txn_ops: 16,
    }
}

fn controller(number: usize, address: std::net::SocketAddr) -> BlockingQuotaClient<BlockingClient> {
    let config = ClientConfig {
        name: ClientName::new(&format!("controller-{number}")),
        store_limits: StoreLimits {
            value_bytes: limits().value_bytes,
            changes: limits().txn_ops,
            requests_per_second: 1e9,
            changes_per_second: 1e9,
        },
        expected_clients: CONTROLLERS as u64,
        refresh_interval: Duration::from_millis(20),
        idle_return_after: Duration::from_millis(100),
        reconfirm_after: PATIENCE,
    };
    BlockingQuotaClient::new(config, BlockingClient::new(address, PATIENCE))
}

/// Forty CPUs: rush is guaranteed ten and may have thirty, scan ten and forty, route none and twenty.
fn policy() -> QuotaPolicy {
    let amounts = [(10, 30), (10, 40), (0, 20)];
    let teams = TEAMS.iter().zip(amounts).map(|(name, (guarantee, limit))| {
        let policy = TeamPolicy {
            guarantee: ResourceVector::from_cpus(guarantee),
            limit: ResourceVector::from_limit_settings(limit as f64, 0.0),
        };
        (TeamName::new(name), policy)
    });
    QuotaPolicy {
        capacity: ResourceVector {
            gpus: ResourceVector::UNLIMITED.gpus,
            ..ResourceVector::from_cpus(40)
        },
        teams: teams.collect(),
    }
}

fn submissions(seed: u64) -> Vec<AdmissionRequest> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut all = Vec::new();
    for user in 0..USERS {
        for sequence in 0..EACH {
            let id = AdmissionId {
                team: TeamName::new(TEAMS[user % TEAMS.len()]),
                requester: RequesterName::new(&format!("user-{user}")),
                sequence,
            };
            all.push(AdmissionRequest {
                id,
                usage: ResourceVector::from_cpus(random.u64(1..=3)),
                priority: Priority::Normal,
            });
        }
    }
    random.shuffle(&mut all);
    all
}

/// One controller: admits what it is sent, ends work after a while, until it has answered all.
fn run_controller(
    mut quota: BlockingQuotaClient<BlockingClient>,
    requests: Receiver<AdmissionRequest>,
    answers: &Sender<(AdmissionId, QuotaEvent)>,
    over: &AtomicBool,
) {
    let mut running: Vec<AdmissionId> = Vec::new();
    while !over.load(Ordering::SeqCst) {
        for request in requests.try_iter() {
            quota.request(request);
        }
        let events = quota.step();
        let idle = events.is_empty();
        for event in events {
            match &event {
                QuotaEvent::Admitted(id) => {
                    running.push(id.clone());
                    let _ = answers.send((id.clone(), event.clone()));
                }
                QuotaEvent::AlreadyAdmitted { id, .. }
                | QuotaEvent::AlreadyCompleted(id)
                | QuotaEvent::Rejected { id, .. } => {
                    let _ = answers.send((id.clone(), event.clone()));
                }
                _ => {}
            }
        }
        // Work ends in its order; all of it where nothing new begins.
        let keep = if idle { 0 } else { RUNS_FOR };
        while running.len() > keep {
            quota.release(running.remove(0));
        }
    }
}

#[test]
fn thousands_of_racing_submissions_never_exceed_a_limit() {
    let state = Arc::new(Mutex::new(StateService::new(limits())));
    let address = serve_state(state.clone(), Arc::new(AtomicBool::new(false)));
    let mut first = controller(0, address);
    first.set_policy(policy());
    while !first.step().contains(&QuotaEvent::PolicyApplied) {}

    let asked = submissions(24);
    let over = Arc::new(AtomicBool::new(false));
    let (answer, answers) = channel();
    let mut queues = Vec::new();
    let mut threads = Vec::new();
    for number in 0..CONTROLLERS {
        let (send, receive) = channel();
        queues.push(send);
        let (answer, over) = (answer.clone(), over.clone());
        let quota = controller(number, address);
        threads.push(thread::spawn(move || {
            run_controller(quota, receive, &answer, &over);
        }));
    }
    // Every submission goes to one controller, every fourth to another one as well.
    for (n, request) in asked.iter().enumerate() {
        let _ = queues[n % CONTROLLERS].send(request.clone());
        if n % 4 == 0 {
            let _ = queues[(n + 1) % CONTROLLERS].send(request.clone());
        }
    }
    let expected = asked.len() + asked.len().div_ceil(4);
    let told: Vec<(AdmissionId, QuotaEvent)> = answers.iter().take(expected).collect();
    // All is answered; all is to end.
    let all_settled = || {
        let state = lock(&state);
        let open = state.count("quota/open/");
        open == 0
    };
    while !all_settled() {
        thread::sleep(Duration::from_millis(5));
    }
    over.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().expect("a controller ends well");
    }
    judge(&asked, &told, &lock(&state));
}

/// Replays every transaction that was carried out, and audits the ledger after each.
fn judge(asked: &[AdmissionRequest], told: &[(AdmissionId, QuotaEvent)], state: &StateService) {
    let mut replayed = StateService::new(limits());
    for txn in &state.carried_out {
        replayed.txn(txn);
        let differences = ledger(&replayed).audit();
        assert_eq!(differences, [], "after revision {}", replayed.revision());
    }
    let admitted = told
        .iter()
        .filter(|(_, d)| matches!(d, QuotaEvent::Admitted(_)));
    let admitted: Vec<&AdmissionId> = admitted.map(|(id, _)| id).collect();
    let distinct: BTreeSet<&AdmissionId> = admitted.iter().copied().collect();
    assert_eq!(admitted.len(), distinct.len(), "admitted twice");
    assert_eq!(distinct.len(), asked.len(), "not all were admitted");
    let usages: BTreeMap<&AdmissionId, ResourceVector> =
        asked.iter().map(|r| (&r.id, r.usage)).collect();
    let expected: ResourceVector = usages.values().copied().sum();
    let settled = ledger(state).completed;
    let released: ResourceVector = settled.values().map(|s| s.total_released).sum();
    let count: u64 = settled.values().map(|s| s.sequences.len()).sum();
    assert_eq!((count, released), (asked.len() as u64, expected));
}

fn ledger(state: &StateService) -> Ledger {
    let mut ledger = Ledger::default();
    for (key, value) in state.below("quota/") {
        ledger.insert_item(&Item {
            key: key.to_owned(),
            value: value.clone(),
            version: Version(0),
        });
    }
    ledger
}
