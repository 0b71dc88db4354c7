//! The election, step by step: who may lead, under which term, and when a leader stops.

use std::time::Duration;

use lichencrank::coordination::election::{
    ElectionAction, ElectionRecords, ElectionStep, LeaderElection, Role,
};
use lichencrank::storage::records::LeaderRecord;
use lichencrank::storage::store::Outcome;
use lichencrank::types::{LeaseId, Term, Time, Version};
use lichencrank_store::outcome::RATE_LIMIT_PAUSE;

const TTL: Duration = Duration::from_secs(3);

fn node(name: &str, seed: u64) -> LeaderElection {
    LeaderElection::new(name, TTL, seed)
}

fn held_by(node: &str, incarnation: u64, term: u64) -> Option<ElectionRecords> {
    let holder = LeaderRecord {
        node: node.into(),
        incarnation,
        lease: LeaseId(7),
        term: Term(term),
    };
    Some(ElectionRecords {
        holder: Some((holder, Version(40))),
        term: Some((Term(term), Version(40))),
    })
}

fn free(term: u64) -> Option<ElectionRecords> {
    Some(ElectionRecords {
        holder: None,
        term: Some((Term(term), Version(40))),
    })
}

/// Brings a node into duties for term 4 at time 0.
fn leader() -> LeaderElection {
    let mut l = node("n0", 1);
    let now = Time(0);
    assert_eq!(
        l.on_records_read(free(3), now, now),
        Some(ElectionAction::GrantLease(TTL))
    );
    let granted = Outcome::Granted(LeaseId(9));
    assert!(matches!(
        l.on_outcome(ElectionStep::GrantLease, granted, now, now),
        Some(ElectionAction::Claim(_))
    ));
    let won = l.on_outcome(
        ElectionStep::Claim,
        Outcome::Committed(Version(50)),
        now,
        now,
    );
    assert_eq!(
        won,
        Some(ElectionAction::BeginLeading {
            term: Term(4),
            leader_key_version: Version(50)
        })
    );
    l
}

/// Raising the term and winning the key must be one transaction, conditional on both.
#[test]
fn the_claim_is_conditional_on_the_free_key_and_the_term() {
    let mut l = node("n0", 1);
    l.on_records_read(free(3), Time(0), Time(0));
    let action = l.on_outcome(
        ElectionStep::GrantLease,
        Outcome::Granted(LeaseId(9)),
        Time(0),
        Time(0),
    );
    let Some(ElectionAction::Claim(txn)) = action else {
        panic!("{action:?}")
    };
    let conditions: Vec<(&str, u64)> = txn
        .conditions
        .iter()
        .map(|c| (c.key.as_str(), c.version.0))
        .collect();
    assert_eq!(conditions, [("lead/holder", 0), ("lead/term", 40)]);
    assert_eq!(txn.changes.len(), 2);
}

/// Validity counts from when the renewal was sent, not from when its answer came.
#[test]
fn validity_counts_from_the_sending_of_the_renewal() {
    let mut l = leader();
    assert_eq!(l.tick(Time(1000)), Some(ElectionAction::Renew(LeaseId(9))));
    l.on_outcome(
        ElectionStep::Renew(LeaseId(9)),
        Outcome::Extended,
        Time(1000),
        Time(2500),
    );
    assert!(l.is_lease_valid(Time(3900)));
    assert!(!l.is_lease_valid(Time(4000)));
    assert!(l.is_leading());
}

/// An outage is not deposition: the leader stays in duties, uncertain, until proof of a successor.
#[test]
fn an_outage_leaves_the_leader_in_office_until_a_higher_term_shows() {
    let mut l = leader();
    for second in 1..60 {
        let now = Time(second * 1000);
        l.tick(now);
        l.on_outcome(ElectionStep::Renew(LeaseId(9)), Outcome::Refused, now, now);
    }
    assert!(l.is_leading() && !l.is_lease_valid(Time(60_000)));
    assert_eq!(l.observe_term(Term(4), None), None);
    assert_eq!(
        l.observe_term(Term(5), Some("n1")),
        Some(ElectionAction::StepDown)
    );
    assert_eq!(l.known_leader.as_deref(), Some("n1"));
}

#[test]
fn a_lease_that_is_gone_ends_the_office() {
    let mut l = leader();
    l.tick(Time(1000));
    let action = l.on_outcome(
        ElectionStep::Renew(LeaseId(9)),
        Outcome::LeaseGone,
        Time(1000),
        Time(1010),
    );
    assert_eq!(action, Some(ElectionAction::StepDown));
}

/// A restarted process must not take its dead predecessor's record for its own duties, but may
/// end that lease at once.
#[test]
fn a_restarted_process_ends_its_predecessors_lease() {
    let mut l = node("n0", 2);
    assert_eq!(
        l.on_records_read(held_by("n0", 12345, 3), Time(0), Time(0)),
        Some(ElectionAction::EndLease(LeaseId(7)))
    );
    assert_eq!(l.role, Role::Following);
}

/// Back within a fraction of a second, in the middle of an election: the claim of the process before
/// arrives late and wins the key. The new process must not take that for its own duties; it ends
/// both leases and wins the next election under a higher term.
#[test]
fn a_late_claim_of_the_process_before_is_undone() {
    let mut l = node("n0", 2);
    assert_eq!(
        l.on_records_read(free(3), Time(0), Time(0)),
        Some(ElectionAction::GrantLease(TTL))
    );
    let granted = Outcome::Granted(LeaseId(9));
    l.on_outcome(ElectionStep::GrantLease, granted, Time(0), Time(5));
    let lost = Outcome::Conflict(vec!["lead/holder".into()]);
    let action = l.on_outcome(ElectionStep::Claim, lost, Time(5), Time(10));
    assert_eq!(action, Some(ElectionAction::EndLease(LeaseId(9))));
    let action = l.on_records_read(held_by("n0", 12345, 4), Time(500), Time(500));
    assert_eq!(action, Some(ElectionAction::EndLease(LeaseId(7))));
    assert!(!l.is_leading());
    l.on_records_read(free(4), Time(900), Time(900));
    let next = Role::AwaitingLease {
        term: Term(5),
        term_version: Version(40),
    };
    assert_eq!(l.role, next);
}

/// The claim's answer was lost, but the record shows that it was carried out.
#[test]
fn a_lost_claim_that_was_carried_out_is_recognised() {
    let mut l = node("n0", 3);
    l.on_records_read(free(3), Time(0), Time(0));
    let action = l.on_outcome(
        ElectionStep::GrantLease,
        Outcome::Granted(LeaseId(7)),
        Time(0),
        Time(0),
    );
    let Some(ElectionAction::Claim(txn)) = action else {
        panic!("{action:?}")
    };
    l.on_outcome(ElectionStep::Claim, Outcome::Unknown, Time(0), Time(900));
    assert_eq!(l.role, Role::Following);
    let lichencrank_store::Change::Put { value, .. } = &txn.changes[0] else {
        panic!("the holder's record comes first")
    };
    let holder: LeaderRecord = value.deserialized().expect("a holder's record");
    let seen = ElectionRecords {
        holder: Some((holder, Version(44))),
        term: Some((Term(4), Version(44))),
    };
    let action = l.on_records_read(Some(seen), Time(1000), Time(1000));
    assert_eq!(
        action,
        Some(ElectionAction::BeginLeading {
            term: Term(4),
            leader_key_version: Version(44)
        })
    );
    // Nobody knows any more when the lease was granted, so it has to be renewed before it counts.
    assert!(!l.is_lease_valid(Time(3500)));
    assert_eq!(l.tick(Time(1000)), Some(ElectionAction::Renew(LeaseId(7))));
}

/// A leader that made room must not take the key straight back.
#[test]
fn a_leader_that_made_room_rests() {
    let mut l = leader();
    assert_eq!(
        l.resign(Time(1000)),
        Some(ElectionAction::Resign(LeaseId(9)))
    );
    assert_eq!(l.on_records_read(free(4), Time(1100), Time(1100)), None);
    assert_eq!(
        l.on_records_read(free(4), Time(4100), Time(4100)),
        Some(ElectionAction::GrantLease(TTL))
    );
}

/// A node in the wrong zone lets the key lie for its campaign_delay, no longer.
#[test]
fn a_handicap_delays_the_claim() {
    let mut l = node("n0", 1);
    l.campaign_delay = Duration::from_millis(900);
    assert_eq!(l.on_records_read(free(3), Time(5000), Time(5000)), None);
    assert_eq!(l.on_records_read(free(3), Time(5400), Time(5400)), None);
    assert_eq!(
        l.on_records_read(free(3), Time(5900), Time(5900)),
        Some(ElectionAction::GrantLease(TTL))
    );
}

/// A node may stand in for a leader that it can't hear only while the state service has just said
/// that it still leads; after that the token might be an old one.
#[test]
fn the_leader_is_confirmed_for_a_moment_only() {
    let mut l = node("n0", 1);
    assert_eq!(l.confirmed_leader(Time(1000)), None);
    l.on_records_read(held_by("n1", 5, 3), Time(1000), Time(1000));
    assert_eq!(l.confirmed_leader(Time(2000)), Some((Term(3), "n1")));
    assert_eq!(l.confirmed_leader(Time(2600)), None);
    l.on_records_read(held_by("n1", 5, 3), Time(3000), Time(3000));
    l.observe_term(Term(4), None);
    assert_eq!(l.confirmed_leader(Time(3100)), None);
    l.on_records_read(held_by("n1", 5, 4), Time(3200), Time(3200));
    l.on_records_read(free(4), Time(3300), Time(3300));
    assert_eq!(l.confirmed_leader(Time(3400)), None);
}

/// While the state service does not answer, the node waits for that or for its time limit. It once
/// went round its event loop a hundred thousand times a second instead, which used up its share of
/// the processor, and its workers' answers came late.
#[test]
fn a_request_under_way_is_waited_for() {
    let mut l = node("n0", 1);
    assert_eq!(l.tick(Time(1000)), Some(ElectionAction::ReadRecords));
    let wake = l.next_wakeup();
    assert!(wake > Time(2000), "{wake:?}");
    assert_eq!(l.tick(Time(1900)), None);
    assert_eq!(l.tick(wake), Some(ElectionAction::ReadRecords));
    // Nothing is due in the midst of an election either, nor for a leader whose renewal is unanswered.
    l.on_records_read(free(3), wake, wake);
    assert!(l.next_wakeup() > wake);
    l.on_outcome(
        ElectionStep::GrantLease,
        Outcome::Granted(LeaseId(9)),
        wake,
        wake,
    );
    assert!(l.next_wakeup() > wake);
    let mut l = leader();
    let now = l.next_wakeup();
    assert!(matches!(l.tick(now), Some(ElectionAction::Renew(_))));
    assert!(l.next_wakeup() > now);
    l.on_outcome(
        ElectionStep::Renew(LeaseId(9)),
        Outcome::Unknown,
        now,
        Time(now.0 + 1200),
    );
    assert!(l.next_wakeup() <= Time(now.0 + 1200));
}

/// In a storm of questions three renewals in a row were refused, and with them went the duties. One
/// that was refused is asked again soon, not only when the next is due.
#[test]
fn a_refused_renewal_is_asked_again_soon() {
    let mut l = leader();
    assert_eq!(l.tick(Time(1000)), Some(ElectionAction::Renew(LeaseId(9))));
    let renewal = ElectionStep::Renew(LeaseId(9));
    l.on_outcome(
        renewal,
        Outcome::RateLimited {
            retry_after: RATE_LIMIT_PAUSE,
        },
        Time(1000),
        Time(1010),
    );
    assert_eq!(l.tick(Time(1100)), None);
    assert_eq!(l.tick(Time(1210)), Some(ElectionAction::Renew(LeaseId(9))));
    l.on_outcome(renewal, Outcome::Extended, Time(1210), Time(1220));
    assert!(l.is_lease_valid(Time(4000)));
}

/// The duties was given up, and a read that was under way still shows our key: the lease that was
/// ended proves nothing until it is renewed, and answers about it don't count for the next one.
#[test]
fn what_an_ended_lease_was_good_for_ends_with_it() {
    let mut l = leader();
    l.tick(Time(1000));
    let renewal = ElectionStep::Renew(LeaseId(9));
    l.on_outcome(renewal, Outcome::Extended, Time(1000), Time(1010));
    assert!(l.resign(Time(1100)).is_some());
    assert!(!l.is_lease_valid(Time(1100)));
    let mut other = leader();
    other.tick(Time(1000));
    let stale = ElectionStep::Renew(LeaseId(3));
    assert_eq!(
        other.on_outcome(stale, Outcome::LeaseGone, Time(900), Time(1010)),
        None
    );
    assert!(other.is_leading());
}
