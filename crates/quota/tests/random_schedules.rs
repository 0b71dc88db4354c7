//! Random schedules of everything that can go wrong, judged at every revision. A schedule that fails is
//! shrunk, and printed with what each client decided.

mod support;

use std::collections::BTreeMap;

use lichencrank_quota::{AdmissionId, AdmissionRequest, Priority};
use lichencrank_testkit::faults::Fault;
use proptest::prelude::*;
use support::{client_name, id, policy, request, team, Cluster};

const CLIENTS: usize = 3;
const TEAMS: [&str; 2] = ["vision", "audio"];

/// One step of a schedule. Clients are numbers.
#[derive(Clone, Debug)]
enum Step {
    /// A user asks; with a number that was used before it is a repeat.
    Ask {
        client: usize,
        team: usize,
        user: usize,
        number: u32,
        cpus: u64,
        urgent: bool,
    },
    /// A client does one request from beginning to end.
    Work(usize),
    /// A client's request leaves it; it stands still before the request arrives.
    Send(usize),
    /// The request arrives; the client stands still before it hears the answer.
    Arrive(usize),
    /// It hears the answer.
    Hear(usize),
    /// Its next request fails.
    Fail(usize, Fault),
    /// The oldest transaction without an answer is carried out.
    DeliverLate,
    /// A process ends, and another one of the same name takes its place.
    Kill(usize),
    /// A request of a process that ended arrives.
    OrphanArrives,
    /// A client gives up another one.
    Reclaim(usize, usize),
    /// A client has stood still for longer than its answers count.
    Resume(usize),
    /// Some running work ends, and a client hears of it.
    Finish {
        which: usize,
        client: usize,
    },
    Advance(u64),
    Refuse(usize, bool),
    Outage(bool),
}

fn any_step() -> impl Strategy<Value = Step> {
    let client = 0..CLIENTS;
    let fault = prop_oneof![
        Just(Fault::LostAnswer),
        Just(Fault::CarriedOutLate),
        Just(Fault::LostRequest),
        Just(Fault::RateLimited),
    ];
    let ask = (
        client.clone(),
        0..2usize,
        0..4usize,
        0..6u32,
        1..6u64,
        any::<bool>(),
    );
    prop_oneof![
        8 => ask.prop_map(|(client, team, user, number, cpus, urgent)| Step::Ask {
            client, team, user, number, cpus, urgent,
        }),
        16 => client.clone().prop_map(Step::Work),
        3 => client.clone().prop_map(Step::Send),
        3 => client.clone().prop_map(Step::Arrive),
        3 => client.clone().prop_map(Step::Hear),
        3 => (client.clone(), fault).prop_map(|(n, fault)| Step::Fail(n, fault)),
        2 => Just(Step::DeliverLate),
        1 => client.clone().prop_map(Step::Kill),
        1 => Just(Step::OrphanArrives),
        1 => (client.clone(), client.clone()).prop_map(|(by, other)| Step::Reclaim(by, other)),
        1 => client.clone().prop_map(Step::Resume),
        4 => (0..8usize, client.clone()).prop_map(|(which, client)| Step::Finish { which, client }),
        4 => prop_oneof![Just(1u64), Just(150), Just(4000)].prop_map(Step::Advance),
        1 => (client, any::<bool>()).prop_map(|(n, refused)| Step::Refuse(n, refused)),
        1 => any::<bool>().prop_map(Step::Outage),
    ]
}

fn play(steps: Vec<Step>) {
    // Sixteen CPUs, of which one team is guaranteed six; both want more than there is.
    let mut cluster = Cluster::new(
        CLIENTS,
        policy(Some(16), &[(TEAMS[0], 6, 12), (TEAMS[1], 0, 14)]),
    );
    let mut asked: BTreeMap<AdmissionId, AdmissionRequest> = BTreeMap::new();
    for step in steps {
        cluster.trace.push(format!("{:>7} {step:?}", cluster.now.0));
        carry_out(&mut cluster, &mut asked, step);
    }
    cluster.trace.push("all troubles over".into());
    cluster.shared.set_outage(false);
    for n in 0..CLIENTS {
        cluster.shared.refuse(n, false);
    }
    cluster.wind_up(&asked, &TEAMS);
}

fn carry_out(
    cluster: &mut Cluster,
    asked: &mut BTreeMap<AdmissionId, AdmissionRequest>,
    step: Step,
) {
    match step {
        Step::Ask {
            client,
            team,
            user,
            number,
            cpus,
            urgent,
        } => {
            let id = id(TEAMS[team], user, number);
            let mut new = request(&id, cpus as f64);
            if urgent {
                new.priority = Priority::High;
            }
            let known = asked.entry(id).or_insert(new);
            cluster.clients[client].request(known.clone());
        }
        Step::Work(n) => {
            cluster.step(n);
        }
        Step::Send(n) => {
            cluster.send(n);
        }
        Step::Arrive(n) => cluster.arrive(n),
        Step::Hear(n) => cluster.hear(n),
        Step::Fail(n, fault) => cluster.stores[n].inject(fault),
        Step::DeliverLate => {
            cluster.shared.deliver_late();
        }
        Step::Kill(n) => cluster.kill(n),
        Step::OrphanArrives => cluster.orphan_arrives(),
        Step::Reclaim(by, other) => {
            for name in TEAMS {
                cluster.clients[by].reclaim(team(name), client_name(other));
            }
        }
        Step::Resume(n) => cluster.clients[n].on_process_resumed(),
        Step::Finish { which, client } => {
            if let Some(id) = cluster.running.iter().nth(which).cloned() {
                cluster.finish(&id, client);
            }
        }
        Step::Advance(ms) => cluster.advance(ms),
        Step::Refuse(n, refused) => cluster.shared.refuse(n, refused),
        Step::Outage(outage) => cluster.shared.set_outage(outage),
    }
}

/// Equal cases with every run; `QUOTA_CASES` hunts with more.
fn settings() -> ProptestConfig {
    let hunted = std::env::var("QUOTA_CASES")
        .ok()
        .and_then(|n| n.parse().ok());
    ProptestConfig {
        cases: hunted.unwrap_or(150),
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(24),
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(settings())]

    #[test]
    fn limits_hold_at_every_revision(steps in prop::collection::vec(any_step(), 1..160)) {
        play(steps);
    }
}
