//! Clients that are paused, end, or lose the connection to the store at critical moments.

mod support;

use std::collections::BTreeMap;

use lichencrank_quota::{AdmissionId, QuotaEvent};
use lichencrank_testkit::faults::Fault;
use support::{admission_id, admission_request, client_name, policy, team, Cluster};

/// Limit of the team in most tests.
const LIMIT_CPUS: u64 = 24;
const ALL_CLIENTS: [usize; 3] = [0, 1, 2];

fn cluster() -> Cluster {
    Cluster::new(
        ALL_CLIENTS.len(),
        policy(None, &[("vision", 0, LIMIT_CPUS)]),
    )
}

/// An admission of 2 CPUs that is charged after [`prepare_charge`].
fn charged_admission() -> AdmissionId {
    admission_id("vision", 90, 1)
}

/// An admission of 2 CPUs that is pending after [`prepare_charge`].
fn pending_admission() -> AdmissionId {
    admission_id("vision", 91, 1)
}

/// Gives a client an allowance, with one admission charged to it and one that is about to be charged.
fn prepare_charge(cluster: &mut Cluster, client: usize) {
    cluster.request(client, &charged_admission(), 2.0);
    cluster.run_until_quiet();
    cluster.request(client, &pending_admission(), 2.0);
}

fn others(client: usize) -> Vec<usize> {
    let others = ALL_CLIENTS.into_iter().filter(|other| *other != client);
    others.collect()
}

/// Lets all other clients reclaim the allowance of a lost client, which is paused meanwhile.
fn reclaim_from_all(cluster: &mut Cluster, lost: usize) {
    for other in others(lost) {
        cluster.clients[other].reclaim(team("vision"), client_name(lost));
    }
    cluster.run(&others(lost), 80, 10);
}

/// Guards against a late charge: a client sends a charge and is paused; before the transaction reaches the store,
/// its allowance is reclaimed and charged by others. The transaction must fail.
#[test]
fn client_paused_before_its_write_charges_nothing_after() {
    let mut cluster = cluster();
    prepare_charge(&mut cluster, 0);
    cluster.send_until_charge(0);
    reclaim_from_all(&mut cluster, 0);
    let reclaimed = QuotaEvent::Reclaimed {
        team: team("vision"),
        client: client_name(0),
    };
    let events = &cluster.events;
    assert!(
        events.iter().any(|(_, event)| *event == reclaimed),
        "{reclaimed:?} is not among {events:?}"
    );
    for n in 0..LIMIT_CPUS as usize {
        cluster.request(1 + n % 2, &admission_id("vision", n, 1), 1.0);
    }
    cluster.run(&[1, 2], 200, 10);
    // The earlier charge of the paused client stays.
    cluster.assert_used("vision", LIMIT_CPUS);
    cluster.deliver_request(0);
    cluster.deliver_outcome(0);
    let answers = cluster.answers.get(&pending_admission());
    assert_eq!(answers, None, "answers to the paused charge");
    cluster.assert_consistent();
}

/// Guards against starting released work: a charge is committed, the client is paused before it receives the
/// response, and another client releases the charge. The work must not start when the client resumes.
#[test]
fn client_paused_before_the_response_reads_its_charge_again() {
    let mut cluster = cluster();
    prepare_charge(&mut cluster, 0);
    let late = pending_admission();
    cluster.send_until_charge(0);
    cluster.deliver_request(0);
    let charges = cluster.ledger().charges;
    assert!(charges.contains_key(&late), "{late} in {charges:?}");
    cluster.clients[1].release(late.clone());
    cluster.run(&[1], 40, 100);
    cluster.deliver_outcome(0);
    cluster.run_until_quiet();
    assert!(!cluster.running.contains(&late), "{:?}", cluster.answers);
    cluster.assert_charged("vision", 0, 2);
}

/// A process ends with a charge in flight, and its successor acquires the allowance before the charge reaches the
/// store. The charge must fail.
#[test]
fn late_charge_of_an_ended_process_fails() {
    let mut cluster = cluster();
    prepare_charge(&mut cluster, 0);
    cluster.send_until_charge(0);
    cluster.restart(0);
    cluster.clients[0].recover_team(&team("vision"));
    cluster.run_until_quiet();
    let recovered = (0, QuotaEvent::Recovered(charged_admission()));
    let events = &cluster.events;
    assert!(
        events.contains(&recovered),
        "{recovered:?} is not among {events:?}"
    );
    assert!(cluster.deliver_delayed_request(), "no request was delayed");
    let charges = cluster.ledger().charges;
    assert!(
        !charges.contains_key(&pending_admission()),
        "{charges:?} has the late charge"
    );
}

/// Two of three clients are lost: the last one can use the whole limit, less the charges of the lost ones.
#[test]
fn last_client_gets_the_unspent_allowances_of_two_lost_ones() {
    let mut cluster = cluster();
    let charged_by_lost = |client: usize| admission_id("vision", 80 + client, 1);
    for lost in 0..2 {
        cluster.request(lost, &charged_by_lost(lost), 3.0);
    }
    cluster.run_until_quiet();
    for n in 0..LIMIT_CPUS as usize {
        cluster.request(2, &admission_id("vision", n, 1), 1.0);
    }
    for lost in 0..2 {
        cluster.clients[2].reclaim(team("vision"), client_name(lost));
    }
    cluster.run(&[2], 300, 10);
    cluster.assert_charged("vision", 2, LIMIT_CPUS - 6);
    // Once their work is proven to have ended, another reclaim frees the rest.
    for lost in 0..2 {
        cluster.finish_work(&charged_by_lost(lost), 2);
        cluster.clients[2].reclaim(team("vision"), client_name(lost));
    }
    cluster.run(&[2], 300, 10);
    cluster.assert_used("vision", LIMIT_CPUS);
}

/// A client whose allowance was reclaimed although it is alive keeps its charges and goes on.
#[test]
fn client_that_was_wrongly_considered_lost_goes_on() {
    let mut cluster = cluster();
    prepare_charge(&mut cluster, 0);
    reclaim_from_all(&mut cluster, 0);
    cluster.run_until_quiet();
    let running = &cluster.running;
    assert!(running.contains(&pending_admission()), "{running:?}");
    let requests = [charged_admission(), pending_admission()]
        .map(|id| (id.clone(), admission_request(&id, 2.0)));
    cluster.finish_everything(&BTreeMap::from(requests), &["vision"]);
}

/// Each fault of a request, at each client, while all clients together charge up to the limit: each admission
/// is charged once.
#[test]
fn unknown_outcomes_charge_once() {
    let faults = [
        Fault::ResponseLost,
        Fault::Delayed,
        Fault::RequestLost,
        Fault::RateLimited,
    ];
    for fault in faults {
        for client in ALL_CLIENTS {
            charge_to_the_limit_with(fault, client);
        }
    }
}

fn charge_to_the_limit_with(fault: Fault, client: usize) {
    let mut cluster = cluster();
    cluster.trace.push(format!("{fault:?} at client {client}"));
    let mut requests = BTreeMap::new();
    for n in 0..LIMIT_CPUS as usize {
        let id = admission_id("vision", n, 1);
        cluster.request(n % 3, &id, 1.0);
        requests.insert(id.clone(), admission_request(&id, 1.0));
    }
    for _ in 0..12 {
        cluster.stores[client].inject(fault);
        for stepped_client in ALL_CLIENTS {
            cluster.step(stepped_client);
        }
        cluster.shared.deliver_delayed();
        cluster.advance(1);
    }
    cluster.run_until_quiet();
    let count = cluster.running.len();
    assert_eq!(count, LIMIT_CPUS as usize, "{fault:?} at client {client}");
    cluster.finish_everything(&requests, &["vision"]);
}

/// The store refuses one client, then has an outage: nothing is admitted without the store, and admissions
/// continue afterwards.
#[test]
fn refusals_and_outages_admit_nothing() {
    let mut cluster = cluster();
    cluster.shared.set_refused(0, true);
    for n in 0..LIMIT_CPUS as usize * 2 {
        cluster.request(1 + n % 2, &admission_id("vision", n, 1), 1.0);
    }
    cluster.run_until_quiet();
    cluster.assert_used("vision", LIMIT_CPUS);
    let refused = admission_id("vision", 99, 1);
    cluster.request(0, &refused, 1.0);
    cluster.shared.set_outage(true);
    let running = cluster.running.first().cloned().expect("work runs");
    cluster.finish_work(&running, 1);
    cluster.run_until_quiet();
    let answers = cluster.answers.get(&refused);
    assert_eq!(answers, None, "answers at the refused client");
    cluster.shared.set_outage(false);
    cluster.shared.set_refused(0, false);
    cluster.run_until_quiet();
    cluster.assert_used("vision", LIMIT_CPUS);
}

/// Guards against a livelock: each request takes longer than the refresh interval, but clients must not do nothing
/// but refresh.
#[test]
fn slow_store_causes_no_livelock() {
    let mut cluster = cluster();
    for n in 0..LIMIT_CPUS as usize {
        cluster.request(n % 3, &admission_id("vision", n, 1), 1.0);
    }
    cluster.run(&ALL_CLIENTS, 400, 150);
    cluster.assert_running_count(LIMIT_CPUS as usize);
}

/// Guards against a deadlock of two teams, each of which holds capacity that the other one needs.
#[test]
fn two_teams_do_not_deadlock() {
    let mut cluster = Cluster::new(3, policy(Some(16), &[("a", 0, 14), ("b", 0, 14)]));
    for round in 0..3 {
        for (n, name) in ["a", "b"].iter().enumerate() {
            for client in ALL_CLIENTS {
                let id = admission_id(name, client * 10 + n, round);
                cluster.request(client, &id, 5.0);
            }
        }
        for notified_client in 0..2 {
            cluster.run_until_quiet();
            cluster.assert_running_count(3);
            let running: Vec<AdmissionId> = cluster.running.iter().cloned().collect();
            for id in &running {
                cluster.finish_work(id, notified_client);
            }
        }
        cluster.run_until_quiet();
    }
}

/// A charge without a response is committed much later, and its request is cancelled meanwhile. The resources that
/// it may use must not be charged for other work before its outcome is known, even if the retry is rate-limited.
#[test]
fn charge_of_unknown_outcome_reserves_its_usage_until_it_is_known() {
    let cases = [
        vec![Fault::Delayed],
        vec![Fault::Delayed, Fault::RateLimited],
    ];
    for faults in cases {
        let mut cluster = Cluster::new(1, policy(None, &[("vision", 0, 2)]));
        let first = admission_id("vision", 1, 1);
        let second = admission_id("vision", 2, 1);
        cluster.request(0, &first, 2.0);
        cluster.send_until_charge(0);
        for fault in &faults {
            cluster.stores[0].inject(*fault);
        }
        cluster.run(&[0], faults.len(), 300);
        cluster.clients[0].cancel(first.clone());
        cluster.request(0, &second, 2.0);
        cluster.run(&[0], 20, 300);
        cluster.shared.deliver_delayed();
        assert_eq!(cluster.ledger().audit(), [], "{faults:?}");
        let running = &cluster.running;
        assert!(running.contains(&second), "{faults:?}: {running:?}");
        assert!(!running.contains(&first), "{faults:?}: {running:?}");
    }
}

/// A process reports an admission and ends. Its successor gets the same request before it has read the charges. It
/// must report the admission as recovered, not as a new one, because the work may be running.
#[test]
fn successor_does_not_admit_again() {
    let mut cluster = cluster();
    let id = admission_id("vision", 1, 1);
    cluster.request(0, &id, 1.0);
    cluster.run_until_quiet();
    assert!(cluster.running.contains(&id), "{:?}", cluster.running);
    cluster.restart(0);
    cluster.request(0, &id, 1.0);
    cluster.run_until_quiet();
    let events = &cluster.events;
    let count = |expected: QuotaEvent| {
        let events = events.iter().filter(|(_, event)| *event == expected);
        events.count()
    };
    assert_eq!(count(QuotaEvent::Admitted(id.clone())), 1, "{events:?}");
    let recovered = (0, QuotaEvent::Recovered(id));
    assert!(
        events.contains(&recovered),
        "{recovered:?} is not among {events:?}"
    );
}
