//! Each kind of discrepancy between records is reported, with the text that operators see.

use lichencrank_quota::completed::CompletedRecord;
use lichencrank_quota::records::{
    AllowanceRecord, ChargeRecord, ChargeState, PoolRecord, TeamRecord,
};
use lichencrank_quota::{
    AdmissionId, AllowanceId, ClientName, Discrepancy, Ledger, PoolTotals, Priority, RequesterName,
    ResourceVector, TeamName,
};

const fn cpus(count: u64) -> ResourceVector {
    ResourceVector::from_cpus(count)
}

fn team() -> TeamName {
    TeamName::new("t")
}

fn client() -> ClientName {
    ClientName::new("h")
}

fn admission() -> AdmissionId {
    AdmissionId {
        team: team(),
        requester: RequesterName::new("r"),
        sequence: 3,
    }
}

/// A ledger with every discrepancy but one, in CPUs: the capacity is 8; a team with guarantee 4 and limit 8 has
/// granted 6 to a client, which has no allowance record; the client has charged 9 for an admission that is
/// completed; and the sums in the pool's record are 0.
fn inconsistent_ledger() -> Ledger {
    let mut team_record = TeamRecord {
        guarantee: cpus(4),
        limit: cpus(8),
        ..TeamRecord::default()
    };
    team_record.allowances.insert(client(), cpus(6));
    let charge = ChargeRecord {
        client: client(),
        epoch: 1,
        usage: cpus(9),
        priority: Priority::Normal,
        state: ChargeState::Charged,
    };
    let mut completed = CompletedRecord::default();
    completed.add(admission().sequence, cpus(9));
    let pool = PoolRecord {
        capacity: cpus(8),
        ..PoolRecord::default()
    };
    let mut ledger = Ledger {
        pool: Some(pool),
        ..Ledger::default()
    };
    ledger.teams.insert(team(), team_record);
    ledger.charges.insert(admission(), charge);
    let requester = admission().requester_id();
    ledger.completed.insert(requester, completed);
    ledger
}

fn assert_reported(ledger: &Ledger, expected: Discrepancy, text: &str) {
    let found = ledger.audit();
    let count = found.iter().filter(|found| **found == expected).count();
    assert_eq!(count, 1, "{expected:?} in {found:#?}");
    assert_eq!(expected.to_string(), text);
}

#[test]
fn a_team_over_its_limit() {
    let expected = Discrepancy::LimitExceeded {
        team: team(),
        used: cpus(9),
        limit: cpus(8),
    };
    let text = "team t uses 9 CPUs, its limit is 8 CPUs";
    assert_reported(&inconsistent_ledger(), expected, text);
}

#[test]
fn an_allowance_that_differs_from_the_team_record() {
    let expected = Discrepancy::AllowanceMismatch {
        team: team(),
        client: client(),
        in_team_record: cpus(6),
        granted: cpus(0),
    };
    let text = "team t has lent 6 CPUs to h, whose allowance is 0 CPUs";
    assert_reported(&inconsistent_ledger(), expected, text);
}

#[test]
fn a_client_over_its_allowance() {
    let mut ledger = inconsistent_ledger();
    let allowance = AllowanceRecord {
        granted: cpus(6),
        ..AllowanceRecord::default()
    };
    let id = AllowanceId::new(&team(), &client());
    ledger.allowances.insert(id, allowance);
    let expected = Discrepancy::AllowanceExceeded {
        team: team(),
        client: client(),
        charged: cpus(9),
        granted: cpus(6),
    };
    let text = "h has charged 9 CPUs to team t, its allowance is 6 CPUs";
    assert_reported(&ledger, expected, text);
}

#[test]
fn a_pool_that_differs_from_the_sums_over_the_teams() {
    let expected = Discrepancy::PoolMismatch {
        recorded: PoolTotals {
            guaranteed: cpus(0),
            borrowed: cpus(0),
        },
        summed: PoolTotals {
            guaranteed: cpus(4),
            borrowed: cpus(2),
        },
    };
    let text = "the pool counts 0 CPUs guaranteed and 0 CPUs borrowed, the teams 4 CPUs and 2 CPUs";
    assert_reported(&inconsistent_ledger(), expected, text);
}

#[test]
fn borrowing_that_takes_a_guarantee() {
    let expected = Discrepancy::GuaranteeViolated {
        reserved: cpus(9),
        capacity: cpus(8),
    };
    let text = "guarantees and borrowed work take 9 CPUs, the machines have 8 CPUs";
    assert_reported(&inconsistent_ledger(), expected, text);
}

#[test]
fn a_charge_of_a_completed_admission() {
    let expected = Discrepancy::ChargedAfterCompletion(admission());
    let text = "admission t/r/3 counts although it is settled";
    assert_reported(&inconsistent_ledger(), expected, text);
}
