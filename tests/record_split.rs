//! Run records that the version in production wrote under a larger size limit of values are split into smaller ones
//! in several transactions. After each of them, a new leader of this version or the earlier one finds all allocations
//! and attempts.

mod fixtures;

use std::collections::BTreeMap;

use ciborium::Value;
use lichencrank::coordination::{Leader, Policy};
use lichencrank::protocol::cloud::MachineType;
use lichencrank::protocol::users::{JobKind, JobSpec, Priority};
use lichencrank::protocol::workers::{AttemptState, AttemptStatus, EndReason, WorkerHeartbeat};
use lichencrank::protocol::Amount;

use lichencrank::storage::records::{
    self, AllocationEntry, AttemptedEntry, JobRecord, RunRecord, RunRecordId,
};
use lichencrank::storage::store::Outcome;
use lichencrank::types::{
    Attempt, HostName, Incarnation, JobId, SequenceNumber, TaskId, Term, Time, Version,
};
use lichencrank_store::value;
use lichencrank_testkit::values::{self, get, map, number, text};
use lichencrank_testkit::{InMemoryStore, Limits};

const JOB: JobId = JobId(1);
const TASK_COUNT: u32 = 600;
const OLD_TASKS_PER_RECORD: u32 = 256;
const NOW: Time = Time(10_000);

/// For each task the number of its current attempt and the host, or the number of its last attempt and no host.
type TaskAttempts = BTreeMap<u32, (u64, Option<String>)>;

fn host_name(index: u32) -> HostName {
    HostName::new(&format!("vm-{:06}", index % 97))
}

fn spec() -> JobSpec {
    JobSpec {
        id: JOB,
        class: "work".into(),
        team: "open".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        task_count: u64::from(TASK_COUNT),
        cpus: Amount(1.0),
        gpus: Amount(0.0),
        memory_gb: Amount(1.0),
        image: "img".into(),
        image_gb: Amount(1.0),
        allowed_machine_types: None,
        required_zone: None,
        same_zone: false,
        spread: false,
        allows_spot: true,
        estimated_run_time_s: Amount(30.0),
        checkpoint_interval_s: Amount(0.0),
        save_time_s: Amount(0.0),
        deadline_s: None,
    }
}

fn put(key: &str, data: Value) -> Value {
    map(vec![("set", key.into()), ("data", data)])
}

/// A store as the version in production leaves it, before the limits are lowered: two records of 256 tasks, of which
/// most are allocated and some were attempted before; the other tasks were never allocated.
fn store_with_oversized_records() -> InMemoryStore {
    let mut store = InMemoryStore::new(Limits {
        max_value_bytes: 16 * 1024,
        max_changes: 16,
    });
    let job_record = JobRecord {
        spec: spec(),
        submitted_at_ms: 1000,
        tasks_per_record: OLD_TASKS_PER_RECORD,
    };
    let mut changes = vec![
        put("lead/holder", map(vec![])),
        put(&records::live_key(JOB), value(&job_record)),
    ];
    for number in 0..2 {
        let first = number * OLD_TASKS_PER_RECORD;
        let mut record = RunRecord {
            first_task: first,
            tasks_per_record: OLD_TASKS_PER_RECORD,
            team: "open".into(),
            cpus: 1.0,
            memory_gb: 1.0,
            ..RunRecord::default()
        };
        for offset in 0..240 {
            let attempt = Attempt(1 + u64::from(offset % 3));
            if offset % 8 == 7 {
                record.attempted.push(AttemptedEntry {
                    offset,
                    last_attempt: attempt,
                });
            } else {
                record.allocations.push(AllocationEntry {
                    offset,
                    attempt,
                    host: host_name(first + offset),
                    incarnation: Incarnation(1),
                });
            }
        }
        let id = RunRecordId { job: JOB, number };
        changes.push(put(&records::run_key(id), value(&record)));
    }
    let response = store.transact(&map(vec![("apply", Value::Array(changes))]));
    assert_eq!(response.status, 200, "{response:?}");
    store.set_limits(Limits {
        max_value_bytes: 2048,
        max_changes: 5,
    });
    store
}

fn policy() -> Policy {
    Policy {
        tasks_per_record: records::tasks_per_record(2.0),
        max_value_bytes: 2048,
        max_txn_changes: 5,
        ..fixtures::policy()
    }
}

fn list_items(store: &mut InMemoryStore, prefix: &str) -> Vec<(String, Value, u64)> {
    let target = format!("/kv?prefix={prefix}&page=1000");
    let page = store.handle(0, "GET", &target, &Value::Null).body;
    let pairs = values::list(&page, "pairs").iter();
    let key_value_version = |item: &Value| {
        let data = get(item, "data").cloned().unwrap_or(Value::Null);
        (text(item, "path"), data, number(item, "stamp"))
    };
    pairs.map(key_value_version).collect()
}

/// Starts a new leader of this version, which reads the records.
fn start_leader(store: &mut InMemoryStore) -> Leader {
    let types = vec![MachineType {
        name: "c4".into(),
        cpus: Amount(4.0),
        gpus: Amount(0.0),
        memory_gb: Amount(16.0),
        image_cache_gb: Amount(50.0),
        image_fetch_gb_per_s: Amount(1.0),
        on_demand_price_per_hour: Amount(0.3),
        spot_price_per_hour: Amount(0.1),
        boot_time_s: Amount(30.0),
        zones: vec!["a".into()],
    }];
    let leader_key_version = list_items(store, "lead/holder")[0].2;
    let mut leader = Leader::new(Term(5), Version(leader_key_version), policy(), types, NOW);
    leader.set_lease_valid_until(Time(u64::MAX));
    for (_, data, version) in list_items(store, "live/") {
        let record: JobRecord = data.deserialized().expect("a job record");
        leader.on_job_record(record, Version(version));
    }
    for (key, data, version) in list_items(store, "run/") {
        let id = records::parse_run_key(&key).expect("the key of a run record");
        let record: RunRecord = data.deserialized().expect("a run record");
        leader.on_run_record(id, &record, Version(version), NOW);
    }
    leader.on_loaded(NOW);
    leader
}

/// The attempts that a leader knows of.
fn attempts_of_leader(leader: &Leader) -> TaskAttempts {
    let job = &leader.cluster().jobs()[&JOB];
    let mut attempts = TaskAttempts::new();
    for index in 0..TASK_COUNT {
        let attempt = job.last_attempt(index).0;
        let holds = |host: &&lichencrank::coordination::cluster::host::Host| {
            host.allocations.contains_key(&TaskId { job: JOB, index })
        };
        let host = leader.cluster().hosts().values().find(holds);
        if attempt > 0 {
            attempts.insert(index, (attempt, host.map(|host| host.name.to_string())));
        }
    }
    attempts
}

/// The attempts that a leader of the version in production would read. The number of tasks per record in the job's record
/// determines which run records are valid: those with higher numbers are ignored.
fn attempts_in_records(store: &mut InMemoryStore) -> TaskAttempts {
    let job_record: JobRecord = list_items(store, "live/")[0]
        .1
        .deserialized()
        .expect("a job record");
    let mut attempts = TaskAttempts::new();
    for (key, data, _) in list_items(store, "run/") {
        let RunRecordId { number, .. } =
            records::parse_run_key(&key).expect("the key of a run record");
        if number >= TASK_COUNT.div_ceil(job_record.tasks_per_record) {
            continue;
        }
        let record: RunRecord = data.deserialized().expect("a run record");
        let first = number * job_record.tasks_per_record;
        for entry in record.attempted {
            attempts.insert(first + entry.offset, (entry.last_attempt.0, None));
        }
        for entry in record.allocations {
            let host = entry.host.to_string();
            attempts.insert(first + entry.offset, (entry.attempt.0, Some(host)));
        }
    }
    attempts
}

/// The attempt at the first task fails, so that its record has to be written.
fn report_failure_of_first_task(leader: &mut Leader) {
    let task = TaskId { job: JOB, index: 0 };
    let heartbeat = WorkerHeartbeat {
        host: host_name(0),
        address: "10.1.0.1:9000".into(),
        machine_type: "c4".into(),
        zone: "a".into(),
        is_spot: true,
        incarnation: Incarnation(1),
        sequence_number: SequenceNumber(100),
        fencing_token: Term(5),
        reclaim_notice_s: None,
        attempts: leader.cluster().hosts()[&host_name(0)]
            .allocations
            .iter()
            .map(|(id, allocation)| AttemptStatus {
                task: *id,
                attempt: allocation.attempt,
                state: if *id == task {
                    AttemptState::Ended
                } else {
                    AttemptState::Running
                },
                end_reason: (*id == task).then_some(EndReason::Failed),
            })
            .collect(),
    };
    leader
        .on_heartbeat(&heartbeat, NOW)
        .expect("the leader still leads");
}

/// Commits the leader's next batch; false if there is none. The store must not refuse any.
fn commit_next_batch(leader: &mut Leader, store: &mut InMemoryStore) -> bool {
    // A call that finds a record above the size limit may return no batch; the next call begins to split that record.
    let batch = leader.next_batch(5, true);
    let batch = batch.or_else(|| leader.next_batch(5, true));
    let Some(txn) = batch else {
        return false;
    };
    let response = store.transact(&value(&txn));
    assert_eq!(response.status, 200, "{response:?}");
    let revision = Version(number(&response.body, "ledgerRev"));
    assert!(!leader.is_write_idle(), "the batch awaits its outcome");
    let outcome = Outcome::Committed(revision);
    leader
        .on_batch_outcome(outcome, NOW)
        .expect("the leader still leads");
    true
}

#[test]
fn every_step_of_a_split_keeps_all_allocations_and_attempts() {
    let before = attempts_in_records(&mut store_with_oversized_records());
    // The first task, which failed, keeps its attempt number; whether its failure is written already does not matter.
    let assert_kept = |attempts: &TaskAttempts| {
        let without_first_task = |attempts: &TaskAttempts| -> TaskAttempts {
            attempts
                .clone()
                .into_iter()
                .filter(|(index, _)| *index != 0)
                .collect()
        };
        assert_eq!(without_first_task(attempts), without_first_task(&before));
        assert_eq!(attempts[&0].0, before[&0].0);
    };
    // The split is interrupted after this number of steps, and the next leader begins it again.
    for steps_of_first_leader in 0..8 {
        let mut store = store_with_oversized_records();
        let mut leader = start_leader(&mut store);
        assert_kept(&attempts_of_leader(&leader));
        report_failure_of_first_task(&mut leader);
        for _ in 0..steps_of_first_leader {
            commit_next_batch(&mut leader, &mut store);
            assert_kept(&attempts_in_records(&mut store));
            assert_kept(&attempts_of_leader(&start_leader(&mut store)));
        }
        let mut next_leader = start_leader(&mut store);
        report_failure_of_first_task(&mut next_leader);
        let mut step_count = 0;
        while commit_next_batch(&mut next_leader, &mut store) {
            step_count += 1;
            assert!(step_count < 30, "the split does not end");
            assert_kept(&attempts_in_records(&mut store));
        }
        assert_kept(&attempts_of_leader(&next_leader));
        let job_record: JobRecord = list_items(&mut store, "live/")[0]
            .1
            .deserialized()
            .expect("a job record");
        assert!(
            job_record.tasks_per_record < OLD_TASKS_PER_RECORD,
            "after {steps_of_first_leader} steps"
        );
        for (key, data, _) in list_items(&mut store, "run/") {
            assert!(
                records::json_size(&data) <= 2048,
                "{key} exceeds 2048 bytes"
            );
        }
    }
}
