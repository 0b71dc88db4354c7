//! Clients that stand still, end, or are cut off at the worst moments.

mod support;

use std::collections::BTreeMap;

use lichencrank_quota::{QuotaEvent, ResourceVector};
use lichencrank_testkit::faults::Fault;
use support::{client_name, id, policy, request, team, Cluster};

const LIMIT: u64 = 24;

fn cluster() -> Cluster {
    Cluster::new(3, policy(None, &[("vision", 0, LIMIT)]))
}

/// Fills the limit from all clients but one.
fn fill(cluster: &mut Cluster, spared: usize) {
    for n in 0..LIMIT as usize * 2 {
        let client = (spared + 1 + n % 2) % 3;
        cluster.clients[client].request(request(&id("vision", n, 1), 1.0));
    }
    cluster.settle();
}

/// Gives a client an allowance of its own, with one admission charged and one about to be.
fn prepare(cluster: &mut Cluster, client: usize) {
    cluster.clients[client].request(request(&id("vision", 90, 1), 2.0));
    cluster.settle();
    cluster.clients[client].request(request(&id("vision", 91, 1), 2.0));
}

fn reclaim_from_all(cluster: &mut Cluster, lost: usize) {
    for n in 0..3 {
        if n != lost {
            cluster.clients[n].reclaim(team("vision"), client_name(lost));
        }
    }
    // The lost one hears nothing of it.
    for _ in 0..80 {
        for n in (0..3).filter(|n| *n != lost) {
            cluster.step(n);
        }
        cluster.advance(10);
    }
}

fn reclaimed(cluster: &Cluster) -> bool {
    let mut events = cluster.events.iter();
    events.any(|(_, d)| matches!(d, QuotaEvent::Reclaimed { .. }))
}

/// It decided, stood still, and its allowance was reclaimed and spent by others: the transaction that
/// then arrives charges nothing.
#[test]
fn a_holder_paused_before_its_write_charges_nothing_after() {
    let mut cluster = cluster();
    prepare(&mut cluster, 0);
    cluster.send_charge(0);
    reclaim_from_all(&mut cluster, 0);
    assert!(reclaimed(&cluster));
    for n in 0..LIMIT as usize {
        cluster.clients[1 + n % 2].request(request(&id("vision", n, 1), 1.0));
    }
    for _ in 0..200 {
        cluster.step(1);
        cluster.step(2);
        cluster.advance(10);
    }
    // What the paused one had charged stays charged.
    let used = cluster.ledger().used(&team("vision"));
    assert_eq!(used, ResourceVector::from_cpus(LIMIT));
    cluster.arrive(0);
    cluster.hear(0);
    assert!(!cluster.answers.contains_key(&id("vision", 91, 1)));
    assert_eq!(cluster.ledger().audit(), []);
}

/// Its charge was written, it stood still before the answer came, and the work was meanwhile proven
/// never to begin: it does not begin when the client wakes.
#[test]
fn a_holder_paused_before_the_answer_asks_the_store_anew() {
    let mut cluster = cluster();
    prepare(&mut cluster, 0);
    let late = id("vision", 91, 1);
    cluster.send_charge(0);
    cluster.arrive(0);
    assert!(cluster.ledger().charges.contains_key(&late));
    cluster.clients[1].release(late.clone());
    for _ in 0..40 {
        cluster.step(1);
        cluster.advance(100);
    }
    cluster.hear(0);
    cluster.settle();
    assert!(!cluster.running.contains(&late), "{:?}", cluster.answers);
    assert_eq!(
        cluster.ledger().charged(&team("vision"), &client_name(0)),
        ResourceVector::from_cpus(2)
    );
}

/// A process ends with its charge under way, and its successor is there before that arrives.
#[test]
fn a_late_charge_of_an_ended_process_fails() {
    let mut cluster = cluster();
    prepare(&mut cluster, 0);
    cluster.send_charge(0);
    cluster.kill(0);
    cluster.clients[0].recover_team(&team("vision"));
    cluster.settle();
    let recovered = QuotaEvent::Recovered(id("vision", 90, 1));
    assert!(cluster.events.contains(&(0, recovered)));
    cluster.orphan_arrives();
    assert!(!cluster.ledger().charges.contains_key(&id("vision", 91, 1)));
}

/// Two of three clients end for good: the last one gets the whole limit, less what they had charged.
#[test]
fn the_last_holder_gets_what_two_lost_ones_had_not_spent() {
    let mut cluster = cluster();
    for n in 0..2 {
        cluster.clients[n].request(request(&id("vision", 80 + n, 1), 3.0));
    }
    cluster.settle();
    for n in 0..LIMIT as usize {
        cluster.clients[2].request(request(&id("vision", n, 1), 1.0));
    }
    for lost in 0..2 {
        cluster.clients[2].reclaim(team("vision"), client_name(lost));
    }
    for _ in 0..300 {
        cluster.step(2);
        cluster.advance(10);
    }
    let ledger = cluster.ledger();
    let own = ledger.charged(&team("vision"), &client_name(2));
    assert_eq!(own, ResourceVector::from_cpus(LIMIT - 6));
    // Their work is proven to have ended, and a second look takes the rest.
    for n in 0..2 {
        cluster.finish(&id("vision", 80 + n, 1), 2);
        cluster.clients[2].reclaim(team("vision"), client_name(n));
    }
    for _ in 0..300 {
        cluster.step(2);
        cluster.advance(10);
    }
    let used = cluster.ledger().used(&team("vision"));
    assert_eq!(used, ResourceVector::from_cpus(LIMIT));
}

/// A client that was given up while it lived goes on with what it has charged.
#[test]
fn a_holder_that_was_wrongly_given_up_goes_on() {
    let mut cluster = cluster();
    prepare(&mut cluster, 0);
    reclaim_from_all(&mut cluster, 0);
    cluster.settle();
    let second = id("vision", 91, 1);
    assert!(cluster.running.contains(&second));
    let all = [(90, 2.0), (91, 2.0)].map(|(n, cpus)| {
        let id = id("vision", n, 1);
        (id.clone(), request(&id, cpus))
    });
    cluster.wind_up(&BTreeMap::from(all), &["vision"]);
}

/// Each way in which an answer can fail to come, at each client, with everybody at the limit.
#[test]
fn unknown_outcomes_charge_once() {
    for fault in [
        Fault::LostAnswer,
        Fault::CarriedOutLate,
        Fault::LostRequest,
        Fault::RateLimited,
    ] {
        for client in 0..3 {
            let mut cluster = cluster();
            let mut asked = BTreeMap::new();
            for n in 0..LIMIT as usize {
                let id = id("vision", n, 1);
                asked.insert(id.clone(), request(&id, 1.0));
                cluster.clients[n % 3].request(request(&id, 1.0));
            }
            for _ in 0..12 {
                cluster.stores[client].inject(fault);
                for n in 0..3 {
                    cluster.step(n);
                }
                cluster.shared.deliver_late();
                cluster.advance(1);
            }
            cluster.settle();
            assert_eq!(
                cluster.running.len(),
                LIMIT as usize,
                "{fault:?} at {client}"
            );
            cluster.wind_up(&asked, &["vision"]);
        }
    }
}

/// The store refuses one client, then everybody: nothing is admitted beyond what it was asked for, and
/// work goes on afterwards.
#[test]
fn refusals_and_outages_admit_nothing() {
    let mut cluster = cluster();
    cluster.shared.refuse(0, true);
    fill(&mut cluster, 0);
    assert_eq!(
        cluster.ledger().used(&team("vision")),
        ResourceVector::from_cpus(LIMIT)
    );
    cluster.clients[0].request(request(&id("vision", 99, 1), 1.0));
    cluster.shared.set_outage(true);
    let some = cluster.running.first().cloned().expect("work runs");
    cluster.finish(&some, 1);
    cluster.settle();
    assert!(!cluster.answers.contains_key(&id("vision", 99, 1)));
    cluster.shared.set_outage(false);
    cluster.shared.refuse(0, false);
    cluster.settle();
    assert_eq!(
        cluster.ledger().used(&team("vision")),
        ResourceVector::from_cpus(LIMIT)
    );
}

/// Slow stores: each request takes longer than the interval in which clients look for news.
#[test]
fn a_slow_store_is_no_livelock() {
    let mut cluster = cluster();
    for n in 0..LIMIT as usize {
        cluster.clients[n % 3].request(request(&id("vision", n, 1), 1.0));
    }
    for _ in 0..400 {
        for n in 0..3 {
            cluster.step(n);
        }
        cluster.advance(150);
    }
    assert_eq!(cluster.running.len(), LIMIT as usize);
}

/// Two teams of which each holds what the other needs to begin.
#[test]
fn two_teams_do_not_wait_for_each_other() {
    let mut cluster = Cluster::new(3, policy(Some(16), &[("a", 0, 14), ("b", 0, 14)]));
    for round in 0..3 {
        for (n, name) in ["a", "b"].iter().enumerate() {
            for client in 0..3 {
                let one = id(name, client * 10 + n, round);
                cluster.clients[client].request(request(&one, 5.0));
            }
        }
        cluster.settle();
        let running: Vec<_> = cluster.running.iter().cloned().collect();
        assert_eq!(running.len(), 3, "{running:?}");
        for id in &running {
            cluster.finish(id, 0);
        }
        cluster.settle();
        let rest: Vec<_> = cluster.running.iter().cloned().collect();
        assert_eq!(rest.len(), 3, "{rest:?}");
        for id in &rest {
            cluster.finish(id, 1);
        }
        cluster.settle();
    }
}

/// A charge has no answer, is carried out much later, and its request is withdrawn meanwhile: what it
/// may have taken is given to nobody else before the store has said what became of it, also if the
/// repetition is refused.
#[test]
fn a_charge_without_an_answer_takes_its_room_until_it_is_known() {
    for faults in [
        vec![Fault::CarriedOutLate],
        vec![Fault::CarriedOutLate, Fault::RateLimited],
    ] {
        let mut cluster = Cluster::new(1, policy(None, &[("vision", 0, 2)]));
        let (first, second) = (id("vision", 1, 1), id("vision", 2, 1));
        cluster.clients[0].request(request(&first, 2.0));
        cluster.send_charge(0);
        for fault in &faults {
            cluster.stores[0].inject(*fault);
        }
        for _ in 0..faults.len() {
            cluster.step(0);
            cluster.advance(300);
        }
        cluster.clients[0].cancel(first.clone());
        cluster.clients[0].request(request(&second, 2.0));
        for _ in 0..20 {
            cluster.step(0);
            cluster.advance(300);
        }
        cluster.shared.deliver_late();
        assert_eq!(cluster.ledger().audit(), [], "{faults:?}");
        assert!(cluster.running.contains(&second), "{faults:?}");
        assert!(!cluster.running.contains(&first), "{faults:?}");
    }
}

/// A process told that work is admitted and ended; its successor is asked for the same before it has
/// seen what was charged. That is no new admission: the work may run.
#[test]
fn a_successor_does_not_admit_again() {
    let mut cluster = cluster();
    let one = id("vision", 1, 1);
    cluster.clients[0].request(request(&one, 1.0));
    cluster.settle();
    assert!(cluster.running.contains(&one));
    cluster.kill(0);
    cluster.clients[0].request(request(&one, 1.0));
    cluster.settle();
    let admitted = QuotaEvent::Admitted(one.clone());
    let told = cluster.events.iter().filter(|(_, d)| *d == admitted);
    assert_eq!(told.count(), 1);
    assert!(cluster.events.contains(&(0, QuotaEvent::Recovered(one))));
}
