//! The stored form of each record. Other versions read and write the same records, so the names and the
//! order of fields never change.

use std::collections::BTreeMap;

use lichencrank_quota::completed::CompletedRecord;
use lichencrank_quota::records::{
    AllowanceRecord, ChargeRecord, ChargeState, ClientDemand, PoolRecord, Record, RecordKey,
    TeamDemand, TeamRecord,
};
use lichencrank_quota::{
    AdmissionId, AllowanceId, ClientName, Priority, RequesterName, ResourceVector, TeamName,
};
use lichencrank_store::{Item, Version};

const FIVE: ResourceVector = ResourceVector::from_cpus(5);

fn team() -> TeamName {
    TeamName::new("t")
}

fn client() -> ClientName {
    ClientName::new("c")
}

fn admission() -> AdmissionId {
    AdmissionId {
        team: team(),
        requester: RequesterName::new("r"),
        sequence: 7,
    }
}

/// The record is stored as `expected`, in which `FIVE` stands for five CPUs, below `path`, and is read
/// back from there.
fn assert_stored(key: RecordKey, record: Record, path: &str, expected: &str) {
    assert_eq!(key.path(), path, "key of {record:?}");
    let expected = expected.replace("FIVE", r#"{"cpus":5000000,"gpus":0}"#);
    let value = record.to_value();
    let stored = serde_json::to_string(&value).expect("records have text keys");
    assert_eq!(stored, expected, "stored form of {record:?}");
    let item = Item {
        key: path.to_owned(),
        value,
        version: Version(1),
    };
    let read = key.read_record(&item);
    assert_eq!(read.as_ref(), Some(&record), "read from {stored}");
}

#[test]
fn pool_record() {
    let record = PoolRecord {
        capacity: FIVE,
        total_guaranteed: FIVE,
        total_borrowed: FIVE,
        unmet_demands: vec![TeamDemand {
            team: team(),
            amount: FIVE,
        }],
    };
    let expected = r#"{"capacity":FIVE,"guaranteed":FIVE,"borrowed":FIVE,"wanted":[{"team":"t","usage":FIVE}]}"#;
    assert_stored(
        RecordKey::Pool,
        Record::Pool(record),
        "quota/pool",
        expected,
    );
}

#[test]
fn team_record() {
    let record = TeamRecord {
        guarantee: FIVE,
        limit: FIVE,
        allowances: BTreeMap::from([(client(), FIVE)]),
        unmet_demands: vec![ClientDemand {
            client: client(),
            amount: FIVE,
        }],
    };
    let expected = r#"{"guarantee":FIVE,"limit":FIVE,"lent":{"c":FIVE},"wanted":[{"holder":"c","usage":FIVE}]}"#;
    let key = RecordKey::Team(team());
    assert_stored(key, Record::Team(record), "quota/team/t", expected);
}

#[test]
fn allowance_record() {
    let record = AllowanceRecord {
        epoch: 3,
        granted: FIVE,
        fenced: true,
        charges_kept_externally: true,
    };
    let expected = r#"{"epoch":3,"granted":FIVE,"fenced":true,"self_accounted":true}"#;
    let key = RecordKey::Allowance(AllowanceId::new(&team(), &client()));
    assert_stored(
        key,
        Record::Allowance(record),
        "quota/allowance/t/c",
        expected,
    );
}

#[test]
fn charge_record() {
    let record = ChargeRecord {
        client: client(),
        epoch: 3,
        usage: FIVE,
        priority: Priority::BestEffort,
        state: ChargeState::Revoked,
    };
    let expected =
        r#"{"holder":"c","epoch":3,"usage":FIVE,"priority":"best_effort","state":"revoked"}"#;
    let key = RecordKey::Charge(admission());
    let path = "quota/open/t/r/0000000007";
    assert_stored(key, Record::Charge(record), path, expected);
}

#[test]
fn completed_record() {
    let mut record = CompletedRecord::default();
    record.add(7, FIVE);
    record.add(8, ResourceVector::ZERO);
    let expected = r#"{"numbers":[[7,2]],"released":FIVE}"#;
    let key = RecordKey::Completed(admission().requester_id());
    assert_stored(
        key,
        Record::Completed(record),
        "quota/settled/t/r",
        expected,
    );
}
