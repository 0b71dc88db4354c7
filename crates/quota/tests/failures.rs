//! Clients that stand still, end, or are cut off from the store at the worst moments.

mod support;

use std::collections::BTreeMap;

use lichencrank_quota::{AdmissionId, QuotaEvent};
use lichencrank_testkit::faults::Fault;
use support::{admission_id, admission_request, client_name, policy, team, Cluster};

/// Limit of the team in most tests, in CPUs.
const LIMIT: u64 = 24;
const ALL_CLIENTS: [usize; 3] = [0, 1, 2];

fn cluster() -> Cluster {
    Cluster::new(ALL_CLIENTS.len(), policy(None, &[("vision", 0, LIMIT)]))
}

/// An admission of two CPUs that [`prepare_charge`] has charged.
fn charged_admission() -> AdmissionId {
    admission_id("vision", 90, 1)
}

/// An admission of two CPUs that is pending after [`prepare_charge`].
fn pending_admission() -> AdmissionId {
    admission_id("vision", 91, 1)
}

/// Gives a client an allowance of its own, with one admission charged to it and one about to be.
fn prepare_charge(cluster: &mut Cluster, client: usize) {
    cluster.request(client, &charged_admission(), 2.0);
    cluster.run_until_quiet();
    cluster.request(client, &pending_admission(), 2.0);
}

fn others(client: usize) -> Vec<usize> {
    let others = ALL_CLIENTS.into_iter().filter(|other| *other != client);
    others.collect()
}

/// Lets all others give a client up, which hears nothing of it.
fn reclaim_from_all(cluster: &mut Cluster, lost: usize) {
    for other in others(lost) {
        cluster.clients[other].reclaim(team("vision"), client_name(lost));
    }
    cluster.run(&others(lost), 80, 10);
}

/// It decided, stood still, and its allowance was reclaimed and spent by others: the transaction that
/// then reaches the store charges nothing.
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
    for n in 0..LIMIT as usize {
        cluster.request(1 + n % 2, &admission_id("vision", n, 1), 1.0);
    }
    cluster.run(&[1, 2], 200, 10);
    // What the paused client had charged stays charged.
    cluster.assert_used("vision", LIMIT);
    cluster.deliver_request(0);
    cluster.deliver_outcome(0);
    let answers = cluster.answers.get(&pending_admission());
    assert_eq!(answers, None, "answers to the paused charge");
    cluster.assert_consistent();
}

/// Its charge was written, it stood still before the answer came, and the work was meanwhile proven
/// never to start: it does not start when the client goes on.
#[test]
fn client_paused_before_the_answer_reads_its_charge_again() {
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

/// A process ends with its charge under way, and its successor is there before that reaches the store.
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

/// Two of three clients end for good: the last one gets the whole limit, less what they had charged.
#[test]
fn last_client_gets_what_two_lost_ones_had_not_spent() {
    let mut cluster = cluster();
    let charged_by_lost = |client: usize| admission_id("vision", 80 + client, 1);
    for lost in 0..2 {
        cluster.request(lost, &charged_by_lost(lost), 3.0);
    }
    cluster.run_until_quiet();
    for n in 0..LIMIT as usize {
        cluster.request(2, &admission_id("vision", n, 1), 1.0);
    }
    for lost in 0..2 {
        cluster.clients[2].reclaim(team("vision"), client_name(lost));
    }
    cluster.run(&[2], 300, 10);
    cluster.assert_charged("vision", 2, LIMIT - 6);
    // Once their work is proven to have ended, another reclaim takes the rest.
    for lost in 0..2 {
        cluster.finish_work(&charged_by_lost(lost), 2);
        cluster.clients[2].reclaim(team("vision"), client_name(lost));
    }
    cluster.run(&[2], 300, 10);
    cluster.assert_used("vision", LIMIT);
}

/// A client that was given up while it lived goes on with what it has charged.
#[test]
fn client_that_was_wrongly_given_up_goes_on() {
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

/// Each way in which an answer can fail to come, at each client, with all clients at the limit.
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
    for n in 0..LIMIT as usize {
        let id = admission_id("vision", n, 1);
        cluster.request(n % 3, &id, 1.0);
        requests.insert(id.clone(), admission_request(&id, 1.0));
    }
    for _ in 0..12 {
        cluster.stores[client].inject(fault);
        for each in ALL_CLIENTS {
            cluster.step(each);
        }
        cluster.shared.deliver_delayed();
        cluster.advance(1);
    }
    cluster.run_until_quiet();
    let count = cluster.running.len();
    assert_eq!(count, LIMIT as usize, "{fault:?} at client {client}");
    cluster.finish_everything(&requests, &["vision"]);
}

/// The store refuses one client, then all of them: nothing more is admitted meanwhile, and work goes on
/// afterwards.
#[test]
fn refusals_and_outages_admit_nothing() {
    let mut cluster = cluster();
    cluster.shared.set_refused(0, true);
    for n in 0..LIMIT as usize * 2 {
        cluster.request(1 + n % 2, &admission_id("vision", n, 1), 1.0);
    }
    cluster.run_until_quiet();
    cluster.assert_used("vision", LIMIT);
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
    cluster.assert_used("vision", LIMIT);
}

/// Each request takes longer than the interval in which clients refresh what others change.
#[test]
fn slow_store_causes_no_livelock() {
    let mut cluster = cluster();
    for n in 0..LIMIT as usize {
        cluster.request(n % 3, &admission_id("vision", n, 1), 1.0);
    }
    cluster.run(&ALL_CLIENTS, 400, 150);
    cluster.assert_running_count(LIMIT as usize);
}

/// Two teams, each of which holds what the other needs to begin.
#[test]
fn two_teams_do_not_wait_for_each_other() {
    let mut cluster = Cluster::new(3, policy(Some(16), &[("a", 0, 14), ("b", 0, 14)]));
    for round in 0..3 {
        for (n, name) in ["a", "b"].iter().enumerate() {
            for client in ALL_CLIENTS {
                let id = admission_id(name, client * 10 + n, round);
                cluster.request(client, &id, 5.0);
            }
        }
        for told_client in 0..2 {
            cluster.run_until_quiet();
            cluster.assert_running_count(3);
            let running: Vec<AdmissionId> = cluster.running.iter().cloned().collect();
            for id in &running {
                cluster.finish_work(id, told_client);
            }
        }
        cluster.run_until_quiet();
    }
}

/// A charge has no answer, is carried out much later, and its request is cancelled meanwhile: what it
/// may have taken is given to nobody else before the store has said what became of it, also if the retry
/// is refused.
#[test]
fn charge_of_unknown_outcome_takes_its_room_until_it_is_known() {
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

/// A process reported work as admitted and ended; its successor is asked for the same before it has read
/// what was charged. That is no new admission: the work may run.
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
