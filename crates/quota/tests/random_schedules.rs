//! Random schedules of requests and failures, audited at every revision. A failing schedule is shrunk and printed
//! with the events of each client.

mod support;

use std::collections::BTreeMap;

use lichencrank_quota::{AdmissionId, AdmissionRequest, Priority};
use lichencrank_testkit::faults::Fault;
use proptest::prelude::*;
use support::{admission_id, admission_request, client_name, policy, team, Cluster};

const CLIENT_COUNT: usize = 3;
const TEAMS: [&str; 2] = ["vision", "audio"];

/// Number of schedules in a run, unless `QUOTA_CASES` sets another one.
const DEFAULT_CASES: u32 = 150;
/// Fixed, so that every run has the same schedules.
const RANDOM_SEED: u64 = 24;

/// A user requests an admission. It is a repeated request if the sequence number was used before.
#[derive(Clone, Debug)]
struct RequestStep {
    client: usize,
    /// Index into [`TEAMS`].
    team: usize,
    user: usize,
    sequence: u32,
    cpus: u64,
    is_urgent: bool,
}

/// One step of a schedule. Clients are identified by number.
#[derive(Clone, Debug)]
enum Step {
    Request(RequestStep),
    /// A client sends one request and receives its outcome.
    Execute(usize),
    /// A client sends a request, which does not reach the store yet.
    Send(usize),
    /// The request reaches the store, but the client does not receive the outcome yet.
    DeliverRequest(usize),
    /// The client receives the outcome.
    DeliverOutcome(usize),
    /// The client's next request fails with a fault.
    Fail(usize, Fault),
    /// The oldest delayed transaction reaches the store.
    DeliverLate,
    /// A process is replaced by a new one of the same name.
    Restart(usize),
    /// A request of a process that ended reaches the store.
    DeliverDelayedRequest,
    /// A client reclaims the allowances of another one.
    Reclaim {
        by: usize,
        other: usize,
    },
    /// A client resumes after a pause that was so long that it must not rely on anything it has read before.
    Resume(usize),
    /// Some running work ends and is released at a client.
    FinishWork {
        nth: usize,
        notified_client: usize,
    },
    /// The clock advances by this many milliseconds.
    Advance(u64),
    /// The store refuses all requests of a client, or serves them again.
    Refuse {
        client: usize,
        is_refused: bool,
    },
    /// An outage of the store begins or ends.
    SetOutage(bool),
}

fn any_request() -> impl Strategy<Value = RequestStep> {
    let parts = (
        0..CLIENT_COUNT,
        0..2usize,
        0..4usize,
        0..6u32,
        1..6u64,
        any::<bool>(),
    );
    parts.prop_map(
        |(client, team, user, sequence, cpus, is_urgent)| RequestStep {
            client,
            team,
            user,
            sequence,
            cpus,
            is_urgent,
        },
    )
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::ResponseLost),
        Just(Fault::Delayed),
        Just(Fault::RequestLost),
        Just(Fault::RateLimited),
    ]
}

fn any_step() -> impl Strategy<Value = Step> {
    let client = 0..CLIENT_COUNT;
    let refusal = (client.clone(), any::<bool>());
    prop_oneof![
        8 => any_request().prop_map(Step::Request),
        16 => client.clone().prop_map(Step::Execute),
        3 => client.clone().prop_map(Step::Send),
        3 => client.clone().prop_map(Step::DeliverRequest),
        3 => client.clone().prop_map(Step::DeliverOutcome),
        3 => (client.clone(), any_fault()).prop_map(|(client, fault)| Step::Fail(client, fault)),
        2 => Just(Step::DeliverLate),
        1 => client.clone().prop_map(Step::Restart),
        1 => Just(Step::DeliverDelayedRequest),
        1 => (client.clone(), client.clone()).prop_map(|(by, other)| Step::Reclaim { by, other }),
        1 => client.clone().prop_map(Step::Resume),
        4 => (0..8usize, client)
            .prop_map(|(nth, notified_client)| Step::FinishWork { nth, notified_client }),
        4 => prop_oneof![Just(1u64), Just(150), Just(4000)].prop_map(Step::Advance),
        1 => refusal.prop_map(|(client, is_refused)| Step::Refuse { client, is_refused }),
        1 => any::<bool>().prop_map(Step::SetOutage),
    ]
}

/// A cluster and all requests to it.
struct Schedule {
    cluster: Cluster,
    requests: BTreeMap<AdmissionId, AdmissionRequest>,
}

impl Schedule {
    /// A capacity of 16 CPUs, of which one team is guaranteed 6. The limits of both teams together exceed it.
    fn new() -> Schedule {
        let policy = policy(Some(16), &[(TEAMS[0], 6, 12), (TEAMS[1], 0, 14)]);
        Schedule {
            cluster: Cluster::new(CLIENT_COUNT, policy),
            requests: BTreeMap::new(),
        }
    }

    fn play(&mut self, step: Step) {
        let cluster = &mut self.cluster;
        cluster.trace.push(format!("{:>7} {step:?}", cluster.now.0));
        match step {
            Step::Request(step) => self.request(&step),
            Step::Execute(client) => {
                cluster.step(client);
            }
            Step::Send(client) => {
                cluster.send(client);
            }
            Step::DeliverRequest(client) => cluster.deliver_request(client),
            Step::DeliverOutcome(client) => cluster.deliver_outcome(client),
            Step::Fail(client, fault) => cluster.stores[client].inject(fault),
            Step::DeliverLate => {
                cluster.shared.deliver_delayed();
            }
            Step::Restart(client) => cluster.restart(client),
            Step::DeliverDelayedRequest => {
                cluster.deliver_delayed_request();
            }
            Step::Reclaim { by, other } => {
                for name in TEAMS {
                    cluster.clients[by].reclaim(team(name), client_name(other));
                }
            }
            Step::Resume(client) => cluster.clients[client].on_process_resumed(),
            Step::FinishWork {
                nth,
                notified_client,
            } => {
                if let Some(id) = cluster.running.iter().nth(nth).cloned() {
                    cluster.finish_work(&id, notified_client);
                }
            }
            Step::Advance(elapsed_ms) => cluster.advance(elapsed_ms),
            Step::Refuse { client, is_refused } => cluster.shared.set_refused(client, is_refused),
            Step::SetOutage(is_out) => cluster.shared.set_outage(is_out),
        }
    }

    /// Requests an admission. A repeated request has the usage and the priority of the first one.
    fn request(&mut self, step: &RequestStep) {
        let id = admission_id(TEAMS[step.team], step.user, step.sequence);
        let mut new_request = admission_request(&id, step.cpus as f64);
        if step.is_urgent {
            new_request.priority = Priority::High;
        }
        let request = self.requests.entry(id).or_insert(new_request);
        self.cluster.clients[step.client].request(request.clone());
    }

    fn end_all_failures(&mut self) {
        self.cluster.trace.push("all failures end".to_owned());
        self.cluster.shared.set_outage(false);
        for client in 0..CLIENT_COUNT {
            self.cluster.shared.set_refused(client, false);
        }
    }
}

/// Configuration with a fixed seed. `QUOTA_CASES` sets the number of schedules.
fn config() -> ProptestConfig {
    let cases = std::env::var("QUOTA_CASES").ok();
    let cases = cases.and_then(|number| number.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(DEFAULT_CASES),
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(RANDOM_SEED),
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn limits_hold_at_every_revision(steps in prop::collection::vec(any_step(), 1..160)) {
        let mut schedule = Schedule::new();
        for step in steps {
            schedule.play(step);
        }
        schedule.end_all_failures();
        schedule.cluster.finish_everything(&schedule.requests, &TEAMS);
    }
}
