//! The keys and the stored format of each record. Other versions read and write the same records, so keys and
//! the names and order of fields must not change.

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

/// Asserts that the record is stored as `expected`, in which `FIVE` stands for five CPUs, with the key `path`,
/// and that it is read back unchanged.
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
        is_fenced: true,
        has_external_charges: true,
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

#[test]
fn keys_with_any_name_are_valid_and_parsed_back() {
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
            assert!(!path.contains(' '), "{path:?} has a space");
            assert!(path.len() <= 200, "{path} has {} bytes", path.len());
            assert_eq!(RecordKey::parse(&path), Some(key), "{path}");
        }
    }
}

#[test]
fn keys_of_other_packages_are_not_parsed() {
    let cases = [
        "quota/open/a/b",
        "quota/open/a/b/c/d",
        "run/a/b",
        "quota/team/%zz",
    ];
    for path in cases {
        assert_eq!(RecordKey::parse(path), None, "{path}");
    }
    let unnamed = RecordKey::Team(TeamName::new(""));
    assert_eq!(RecordKey::parse("quota/team/"), Some(unnamed));
}

#[test]
fn names_that_are_empty_or_too_long_are_not_storable() {
    let cases = [
        ("x".repeat(60), true),
        ("x".repeat(61), false),
        (" ".repeat(20), true),
        (" ".repeat(21), false),
        (String::new(), false),
    ];
    for (name, expected) in cases {
        let by_team = AdmissionId {
            team: TeamName::new(&name),
            ..admission()
        };
        let by_requester = AdmissionId {
            requester: RequesterName::new(&name),
            ..admission()
        };
        assert_eq!(by_team.is_storable(), expected, "team {name:?}");
        assert_eq!(by_requester.is_storable(), expected, "requester {name:?}");
    }
}

#[test]
fn completed_numbers_are_added_once_and_stored_as_ranges() {
    let mut record = CompletedRecord::default();
    for sequence in (0..100_000).rev() {
        assert!(record.add(sequence, ResourceVector::from_cpus(1)));
        let added_again = record.add(sequence, ResourceVector::from_cpus(1));
        assert!(!added_again, "number {sequence} was added twice");
    }
    assert_eq!(record.total_released, ResourceVector::from_cpus(100_000));
    let stored = serde_json::to_string(&record).expect("records have text keys");
    assert!(stored.len() < 100, "{} bytes: {stored}", stored.len());
    let read: CompletedRecord = serde_json::from_str(&stored).expect("its own form");
    assert_eq!(read, record);
}

/// Empty ranges, and ranges beyond the largest sequence number, don't make a record unreadable. No version writes
/// them.
#[test]
fn malformed_ranges_are_ignored_or_cut_off() {
    let stored = r#"{"numbers":[[5,0],[4294967290,900]],"released":{"cpus":0,"gpus":0}}"#;
    let read: CompletedRecord = serde_json::from_str(stored).expect("a stored form");
    assert_eq!(read.sequences.len(), 6, "{read:?}");
}
