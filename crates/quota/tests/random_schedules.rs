//! Random schedules of everything that can go wrong, audited at every revision. A schedule that fails is
//! shrunk, and printed with what each client reported.

mod support;

use std::collections::BTreeMap;

use lichencrank_quota::{AdmissionId, AdmissionRequest, Priority};
use lichencrank_testkit::faults::Fault;
use proptest::prelude::*;
use support::{admission_id, admission_request, client_name, policy, team, Cluster};

const CLIENTS: usize = 3;
const TEAMS: [&str; 2] = ["vision", "audio"];

/// Schedules of one run, unless `QUOTA_CASES` asks for more.
const DEFAULT_CASES: u32 = 150;
/// Every run has the same schedules.
const RANDOM_SEED: u64 = 24;

/// A user requests an admission; with a number that was used before it is a repeat.
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

/// One step of a schedule. Clients are given by number.
#[derive(Clone, Debug)]
enum Step {
    Request(RequestStep),
    /// A client carries out one request from beginning to end.
    CarryOut(usize),
    /// A client sends a request, and stands still before the request reaches the store.
    Send(usize),
    /// The request reaches the store, and the client stands still before the outcome comes.
    DeliverRequest(usize),
    /// The client receives the outcome.
    DeliverOutcome(usize),
    /// The client's next request fails.
    Fail(usize, Fault),
    /// The oldest transaction without an answer is carried out.
    DeliverLate,
    /// A process ends, and another one of the same name takes its place.
    Restart(usize),
    /// A request of a process that ended reaches the store.
    DeliverDelayedRequest,
    /// A client gives up another one.
    Reclaim {
        by: usize,
        other: usize,
    },
    /// A client has stood still for longer than its answers can be relied on.
    Resume(usize),
    /// Some running work ends, and a client is told so.
    FinishWork {
        nth: usize,
        told_client: usize,
    },
    /// Time passes, in milliseconds.
    Advance(u64),
    /// The store refuses a client, or serves it again.
    Refuse {
        client: usize,
        is_refused: bool,
    },
    /// An outage of the store begins or ends.
    SetOutage(bool),
}

fn any_request() -> impl Strategy<Value = RequestStep> {
    let parts = (
        0..CLIENTS,
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
    let client = 0..CLIENTS;
    let refusal = (client.clone(), any::<bool>());
    prop_oneof![
        8 => any_request().prop_map(Step::Request),
        16 => client.clone().prop_map(Step::CarryOut),
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
            .prop_map(|(nth, told_client)| Step::FinishWork { nth, told_client }),
        4 => prop_oneof![Just(1u64), Just(150), Just(4000)].prop_map(Step::Advance),
        1 => refusal.prop_map(|(client, is_refused)| Step::Refuse { client, is_refused }),
        1 => any::<bool>().prop_map(Step::SetOutage),
    ]
}

/// A cluster, and all that was requested of it.
struct Schedule {
    cluster: Cluster,
    requests: BTreeMap<AdmissionId, AdmissionRequest>,
}

impl Schedule {
    /// Sixteen CPUs, of which one team is guaranteed six; both want more than there is.
    fn new() -> Schedule {
        let policy = policy(Some(16), &[(TEAMS[0], 6, 12), (TEAMS[1], 0, 14)]);
        Schedule {
            cluster: Cluster::new(CLIENTS, policy),
            requests: BTreeMap::new(),
        }
    }

    fn play(&mut self, step: Step) {
        let cluster = &mut self.cluster;
        cluster.trace.push(format!("{:>7} {step:?}", cluster.now.0));
        match step {
            Step::Request(step) => self.request(&step),
            Step::CarryOut(client) => {
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
            Step::FinishWork { nth, told_client } => {
                if let Some(id) = cluster.running.iter().nth(nth).cloned() {
                    cluster.finish_work(&id, told_client);
                }
            }
            Step::Advance(ms) => cluster.advance(ms),
            Step::Refuse { client, is_refused } => cluster.shared.set_refused(client, is_refused),
            Step::SetOutage(is_out) => cluster.shared.set_outage(is_out),
        }
    }

    /// A repeat has the usage and the priority of the first request.
    fn request(&mut self, step: &RequestStep) {
        let id = admission_id(TEAMS[step.team], step.user, step.sequence);
        let mut new = admission_request(&id, step.cpus as f64);
        if step.is_urgent {
            new.priority = Priority::High;
        }
        let request = self.requests.entry(id).or_insert(new);
        self.cluster.clients[step.client].request(request.clone());
    }

    fn end_all_failures(&mut self) {
        self.cluster.trace.push("all failures end".to_owned());
        self.cluster.shared.set_outage(false);
        for client in 0..CLIENTS {
            self.cluster.shared.set_refused(client, false);
        }
    }
}

/// The same schedules in every run; `QUOTA_CASES` sets their number.
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
