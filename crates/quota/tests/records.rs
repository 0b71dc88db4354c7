//! Amounts, names, settled numbers, the order of revocations, and what the audit names.

use std::collections::BTreeMap;

use lichencrank_quota::completed::CompletedRecord;
use lichencrank_quota::ids::{AdmissionId, AllowanceId, ClientName, RequesterName, TeamName};
use lichencrank_quota::records::{
    AllowanceRecord, ChargeRecord, ChargeState, PoolRecord, RecordKey, TeamRecord,
};
use lichencrank_quota::revocation::{choose, may_stop, Candidate, TeamUse};
use lichencrank_quota::{Amount, Discrepancy, Ledger, Priority, ResourceVector};

#[test]
fn sums_of_decimals_do_not_drift() {
    let tenth = ResourceVector::rounded_up(0.1, 0.0);
    let sum: ResourceVector = std::iter::repeat_n(tenth, 1_000_000).sum();
    assert_eq!(sum, ResourceVector::from_cpus(100_000));
    assert_eq!(tenth.multiples_within(&ResourceVector::from_cpus(3)), 30);
    // Needs are rounded up and limits down.
    assert!(
        Amount::from_decimal_rounded_up(1.0 / 3.0) > Amount::from_decimal_rounded_down(1.0 / 3.0)
    );
    assert_eq!(Amount::from_limit_setting(0.0), Amount::UNLIMITED);
    assert_eq!(
        Amount::UNLIMITED.saturating_sub(Amount::from_whole(5)),
        Amount::UNLIMITED
    );
    assert_eq!(Amount::from_decimal_rounded_up(f64::NAN), Amount::ZERO);
    assert_eq!(
        ResourceVector::rounded_up(0.25, 1.5).to_string(),
        "0.25 CPUs, 1.5 GPUs"
    );
}

#[test]
fn every_name_has_its_key_and_comes_back() {
    for name in ["vision", "Großer Bär/1", "a b", "%", "ends."] {
        let id = AdmissionId {
            team: TeamName::new(name),
            requester: RequesterName::new(name),
            sequence: 7,
        };
        let keys = [
            RecordKey::Pool,
            RecordKey::Team(id.team.clone()),
            RecordKey::Allowance(AllowanceId::new(&id.team, &ClientName::new(name))),
            RecordKey::Completed(id.requester_id()),
            RecordKey::Charge(id),
        ];
        for key in keys {
            let path = key.path();
            assert!(!path.contains(' ') && path.len() <= 200, "{path}");
            assert_eq!(RecordKey::parse(&path), Some(key));
        }
    }
    for path in [
        "quota/team/",
        "quota/open/a/b",
        "quota/open/a/b/c/d",
        "run/a/b",
        "quota/team/%zz",
    ] {
        let known = RecordKey::parse(path).filter(|key| key.path() == path);
        assert_eq!(known.filter(|_| path != "quota/team/"), None, "{path}");
    }
    let long = AdmissionId {
        team: TeamName::new(&"x".repeat(61)),
        requester: RequesterName::new("r"),
        sequence: 0,
    };
    assert!(!long.is_storable());
}

#[test]
fn settled_numbers_fold_once_and_stay_small() {
    let mut record = CompletedRecord::default();
    for number in (0..100_000).rev() {
        assert!(record.add(number, ResourceVector::from_cpus(1)));
        assert!(!record.add(number, ResourceVector::from_cpus(1)));
    }
    assert_eq!(record.total_released, ResourceVector::from_cpus(100_000));
    let stored = serde_json::to_string(&record).expect("it has a form");
    assert!(stored.len() < 100, "{stored}");
    let read: CompletedRecord = serde_json::from_str(&stored).expect("its own form");
    assert_eq!(read, record);
    // Runs that no one wrote: empty, and beyond the last number.
    let odd = r#"{"numbers":[[5,0],[4294967290,900]],"released":{"cpus":0,"gpus":0}}"#;
    let odd: CompletedRecord = serde_json::from_str(odd).expect("a form");
    assert_eq!(odd.sequences.len(), 6);
}

fn candidate(id: u32, team: &str, priority: Priority, cpus: u64, loss: u64) -> Candidate<u32> {
    Candidate {
        id,
        team: TeamName::new(team),
        priority,
        usage: ResourceVector::from_cpus(cpus),
        loss,
    }
}

fn team_use(guarantee: u64, used: u64) -> TeamUse {
    TeamUse {
        guarantee: ResourceVector::from_cpus(guarantee),
        used: ResourceVector::from_cpus(used),
    }
}

#[test]
fn revocations_take_borrowed_work_only_and_the_least_urgent_first() {
    let teams = BTreeMap::from([
        (TeamName::new("a"), team_use(4, 10)),
        (TeamName::new("b"), team_use(8, 8)),
    ]);
    let candidates = [
        candidate(1, "a", Priority::High, 2, 0),
        candidate(2, "a", Priority::BestEffort, 2, 9),
        candidate(3, "a", Priority::BestEffort, 2, 1),
        candidate(4, "a", Priority::Normal, 4, 0),
        candidate(5, "b", Priority::BestEffort, 8, 0),
    ];
    let chosen = |cpus| choose(ResourceVector::from_cpus(cpus), &teams, &candidates);
    assert_eq!(chosen(2), Some(vec![3]));
    assert_eq!(chosen(4), Some(vec![3, 2]));
    // Four of six borrowed are gone; the normal one would cut into the guarantee.
    assert_eq!(chosen(6), Some(vec![3, 2, 1]));
    assert_eq!(chosen(7), None);
}

#[test]
fn who_may_be_stopped_for_whom() {
    use Priority::{BestEffort, Critical, High, Normal};
    assert!(may_stop(Normal, High, false, false));
    assert!(!may_stop(High, High, true, false));
    assert!(!may_stop(Critical, High, false, true));
    assert!(may_stop(Critical, BestEffort, true, true));
    assert!(!may_stop(High, Normal, false, true));
}

/// A ledger in which every total disagrees with the admissions.
fn inconsistent_ledger() -> Ledger {
    let (team, holder) = (TeamName::new("t"), ClientName::new("h"));
    let mut record = TeamRecord {
        guarantee: ResourceVector::from_cpus(4),
        limit: ResourceVector::from_cpus(8),
        ..TeamRecord::default()
    };
    record
        .allowances
        .insert(holder.clone(), ResourceVector::from_cpus(6));
    let open = ChargeRecord {
        client: holder,
        epoch: 1,
        usage: ResourceVector::from_cpus(9),
        priority: Priority::Normal,
        state: ChargeState::Charged,
    };
    let mut settled = CompletedRecord::default();
    settled.add(3, ResourceVector::from_cpus(9));
    let pool = PoolRecord {
        capacity: ResourceVector::from_cpus(8),
        ..PoolRecord::default()
    };
    let mut ledger = Ledger {
        pool: Some(pool),
        ..Ledger::default()
    };
    ledger.teams.insert(team, record);
    ledger.charges.insert(settled_admission(), open);
    ledger
        .completed
        .insert(settled_admission().requester_id(), settled);
    ledger
}

fn settled_admission() -> AdmissionId {
    AdmissionId {
        team: TeamName::new("t"),
        requester: RequesterName::new("r"),
        sequence: 3,
    }
}

/// Each way in which the records can disagree is named.
#[test]
fn the_audit_names_each_difference() {
    let mut ledger = inconsistent_ledger();
    let found = ledger.audit();
    let named = |wanted: fn(&Discrepancy) -> bool| found.iter().any(wanted);
    assert!(named(|d| matches!(d, Discrepancy::LimitExceeded { .. })));
    assert!(named(|d| matches!(
        d,
        Discrepancy::AllowanceMismatch { .. }
    )));
    assert!(named(|d| matches!(d, Discrepancy::PoolMismatch { .. })));
    assert!(named(|d| matches!(
        d,
        Discrepancy::GuaranteeViolated { .. }
    )));
    assert!(found.contains(&Discrepancy::ChargedAfterCompletion(settled_admission())));
    let allowance = AllowanceRecord {
        granted: ResourceVector::from_cpus(6),
        ..Default::default()
    };
    let key = AllowanceId::new(&TeamName::new("t"), &ClientName::new("h"));
    ledger.allowances.insert(key, allowance);
    let found = ledger.audit();
    let over = found
        .iter()
        .filter(|d| matches!(d, Discrepancy::AllowanceExceeded { .. }));
    assert_eq!(over.count(), 1, "{found:?}");
}
