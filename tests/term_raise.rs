//! The raise of a leader's own term, one request at a time: the outcome of its transaction may be lost, and until it is
//! known the raised term may belong to this controller or to another one.

use std::time::Duration;

use lichencrank::coordination::election::{
    ElectionAction, ElectionRecords, ElectionStep, LeaderElection, Role,
};
use lichencrank::storage::records::LeaderRecord;
use lichencrank::storage::store::Outcome;
use lichencrank::types::{LeaseId, Term, Time, Version};
use lichencrank_store::{Change, Txn};

const LEASE_TTL: Duration = Duration::from_secs(3);
const LEASE: LeaseId = LeaseId(9);
const RAISED: ElectionStep = ElectionStep::RaiseTerm(Term(5));

/// A controller that leads in term 4 since time 0.
fn leader() -> LeaderElection {
    let mut election = LeaderElection::new("n0", LEASE_TTL, 1);
    let now = Time(0);
    let records = ElectionRecords {
        holder: None,
        term: Some((Term(3), Version(40))),
    };
    election.on_records_read(Some(records), now, now);
    let granted = Outcome::LeaseGranted(LEASE);
    election.on_outcome(ElectionStep::GrantLease, granted, now, now);
    let committed = Outcome::Committed(Version(50));
    election.on_outcome(ElectionStep::Claim, committed, now, now);
    assert!(election.is_leading());
    election
}

/// The transaction that the leader sends to raise its term to 5.
fn raise_request(action: Option<ElectionAction>) -> Txn {
    match action {
        Some(ElectionAction::RaiseTerm { term: Term(5), txn }) => txn,
        other => panic!("expected a raise to term 5, got {other:?}"),
    }
}

/// The leader's record in a transaction.
fn holder_in(txn: &Txn) -> LeaderRecord {
    let Change::Put { value, lease, .. } = &txn.changes[0] else {
        panic!("the first change is not the leader's key")
    };
    assert_eq!(*lease, Some(LEASE));
    value.deserialized().expect("the leader's record")
}

fn records_with(holder: LeaderRecord, version: u64) -> Option<ElectionRecords> {
    let term = holder.term;
    Some(ElectionRecords {
        holder: Some((holder, Version(version))),
        term: Some((term, Version(version))),
    })
}

fn raised_to_5(leader_key_version: u64) -> Option<ElectionAction> {
    Some(ElectionAction::TermRaised {
        term: Term(5),
        leader_key_version: Version(leader_key_version),
    })
}

/// No other controller can have claimed the raised term: the key and the term must both be unchanged. The key stays
/// attached to the lease, as it would otherwise outlive the leader.
#[test]
fn the_raise_is_conditional_on_the_own_key_and_term() {
    let mut election = leader();
    let txn = raise_request(election.begin_term_raise(Time(100)));
    let conditions: Vec<(&str, u64)> = txn
        .conditions
        .iter()
        .map(|condition| (condition.key.as_str(), condition.version.0))
        .collect();
    assert_eq!(conditions, [("lead/holder", 50), ("lead/term", 50)]);
    assert_eq!(txn.changes.len(), 2);
    assert_eq!(holder_in(&txn).term, Term(5));
    assert_eq!(election.begin_term_raise(Time(100)), None);

    let committed = Outcome::Committed(Version(61));
    let action = election.on_outcome(RAISED, committed, Time(100), Time(110));
    assert_eq!(action, raised_to_5(61));
    assert_eq!(election.highest_term, Term(5));
    assert!(election.is_lease_valid(Time(110)));
    assert!(matches!(
        election.role,
        Role::Leading {
            term: Term(5),
            leader_key_version: Version(61),
            ..
        }
    ));
}

/// The response is lost although the raise was committed: the repeated transaction fails, and the records show that the
/// raised term is the own one.
#[test]
fn a_committed_raise_without_a_response_is_recognised() {
    let mut election = leader();
    let txn = raise_request(election.begin_term_raise(Time(100)));
    assert_eq!(
        election.on_outcome(RAISED, Outcome::Unknown, Time(100), Time(1300)),
        None
    );
    election.tick(Time(1300));
    let repeated = raise_request(election.tick(Time(1600)));
    assert_eq!(repeated.changes, txn.changes);
    let conflict = Outcome::Conflict(vec!["lead/holder".into()]);
    election.on_outcome(RAISED, conflict, Time(1600), Time(1700));
    assert_eq!(election.tick(Time(1700)), Some(ElectionAction::ReadRecords));
    assert_eq!(election.on_records_read(None, Time(1700), Time(1800)), None);
    assert_eq!(election.tick(Time(2000)), Some(ElectionAction::ReadRecords));
    let records = records_with(holder_in(&txn), 60);
    let action = election.on_records_read(records, Time(2000), Time(2010));
    assert_eq!(action, raised_to_5(60));
}

/// The conditions fail because another controller leads: this one steps down.
#[test]
fn a_raise_that_another_claim_came_before_ends_the_leadership() {
    let mut election = leader();
    let txn = raise_request(election.begin_term_raise(Time(100)));
    let conflict = Outcome::Conflict(vec!["lead/holder".into()]);
    election.on_outcome(RAISED, conflict, Time(100), Time(110));
    election.tick(Time(110));
    election.tick(Time(110));
    let other = LeaderRecord {
        controller: "n1".into(),
        incarnation: 77,
        ..holder_in(&txn)
    };
    let action = election.on_records_read(records_with(other, 60), Time(110), Time(120));
    assert_eq!(action, Some(ElectionAction::StepDown));
}

/// Controllers that have read the raised term respond with it on the leader's behalf, so that the leader may hear of it
/// before the response to its transaction. That does not depose it; another leader of the term does.
#[test]
fn the_raised_term_does_not_depose_the_leader_that_raises_it() {
    let mut election = leader();
    election.begin_term_raise(Time(100));
    assert_eq!(election.observe_term(Term(5), None), None);
    assert_eq!(election.observe_term(Term(5), Some("n0")), None);
    assert!(election.is_leading());
    assert_eq!(
        election.observe_term(Term(5), Some("n1")),
        Some(ElectionAction::StepDown)
    );
}

/// A leader that has resigned while the outcome of the raise was unknown does not lead again in the raised term, whose
/// token workers may have seen.
#[test]
fn a_raise_that_was_committed_after_the_resignation_is_undone() {
    let mut election = leader();
    let txn = raise_request(election.begin_term_raise(Time(100)));
    assert_eq!(
        election.resign(Time(200)),
        Some(ElectionAction::Resign(LEASE))
    );
    let records = records_with(holder_in(&txn), 60);
    let action = election.on_records_read(records, Time(300), Time(310));
    assert_eq!(action, Some(ElectionAction::EndLease(LEASE)));
    let late = Outcome::Committed(Version(60));
    assert_eq!(
        election.on_outcome(RAISED, late, Time(100), Time(320)),
        None
    );
    assert!(!election.is_leading());
}

/// Without a valid lease another controller may lead already.
#[test]
fn no_raise_begins_without_a_valid_lease() {
    let mut election = leader();
    assert_eq!(election.begin_term_raise(Time(3000)), None);
    let mut follower = LeaderElection::new("n1", LEASE_TTL, 2);
    assert_eq!(follower.begin_term_raise(Time(0)), None);
}
