//! Run records that the version in production left larger than the limits of later allow are split in
//! steps. After each step a take-over, by either version, finds every booking and attempt.

use std::collections::BTreeMap;
use std::time::Duration;

use ciborium::Value;
use lichencrank::coordination::{Leader, Policy};
use lichencrank::protocol::cloud::MachineType;
use lichencrank::protocol::users::{JobKind, JobSpec, Priority};
use lichencrank::protocol::workers::{AttemptState, AttemptStatus, EndReason, WorkerHeartbeat};
use lichencrank::protocol::Amount;
use lichencrank::settings::{Team, Tuning};
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
const TASKS: u32 = 600;
const OLD_CHUNK: u32 = 256;
const NOW: Time = Time(10_000);

/// Where each task was booked, and under which attempt; or the last attempt that was tried.
type Picture = BTreeMap<u32, (u64, Option<String>)>;

fn host_of(index: u32) -> HostName {
    HostName::new(&format!("vm-{:06}", index % 97))
}

fn spec() -> JobSpec {
    JobSpec {
        id: JOB,
        class: "work".into(),
        team: "open".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: u64::from(TASKS),
        cpus: Amount(1.0),
        gpus: Amount(0.0),
        memory_gb: Amount(1.0),
        image: "img".into(),
        image_gb: Amount(1.0),
        machine_types: None,
        zone: None,
        same_zone: false,
        spread: false,
        spot: true,
        estimate_s: Amount(30.0),
        checkpoint_s: Amount(0.0),
        save_s: Amount(0.0),
        deadline_s: None,
    }
}

fn put(key: &str, data: Value) -> Value {
    map(vec![("set", key.into()), ("data", data)])
}

/// What production left: two records of 256 tasks, most of them booked, some tried; the rest untouched.
fn left_behind() -> InMemoryStore {
    let mut state = InMemoryStore::new(Limits {
        max_value_bytes: 16 * 1024,
        max_changes: 16,
    });
    let description = JobRecord {
        spec: spec(),
        submitted_at_ms: 1000,
        tasks_per_record: OLD_CHUNK,
    };
    let mut changes = vec![
        put("lead/holder", map(vec![])),
        put(&records::live_key(JOB), value(&description)),
    ];
    for number in 0..2 {
        let first = number * OLD_CHUNK;
        let mut record = RunRecord {
            first_task: first,
            tasks_per_record: OLD_CHUNK,
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
                    host: host_of(first + offset),
                    incarnation: Incarnation(1),
                });
            }
        }
        let id = RunRecordId { job: JOB, number };
        changes.push(put(&records::run_key(id), value(&record)));
    }
    let response = state.transact(&map(vec![("apply", Value::Array(changes))]));
    assert_eq!(response.status, 200, "{response:?}");
    state.set_limits(Limits {
        max_value_bytes: 2048,
        max_changes: 5,
    });
    state
}

fn rules() -> Policy {
    Policy {
        heartbeat_interval: Duration::from_secs(3),
        worker_lease: Duration::from_secs(16),
        cancellation_timeout: Duration::from_secs(40),
        max_host_list_lag: Duration::from_secs(10),
        tasks_per_record: records::tasks_per_record(2.0),
        max_probes_in_flight: 10,
        max_commands_in_flight: 100,
        max_value_bytes: 2048,
        max_txn_changes: 5,
        quota: None,
        zones: None,
        wait_objectives_s: Vec::new(),
        max_queued_records_per_priority: 100,
        teams: vec![Team {
            name: "open".into(),
            cpus: None,
            cpus_max: None,
            gpus: None,
            gpus_max: None,
        }],
        tuning: Tuning::default(),
    }
}

fn items(state: &mut InMemoryStore, prefix: &str) -> Vec<(String, Value, u64)> {
    let target = format!("/kv?prefix={prefix}&page=1000");
    let page = state.handle(0, "GET", &target, &Value::Null).body;
    let pairs = values::list(&page, "pairs").iter();
    let of = |item: &Value| {
        let data = get(item, "data").cloned().unwrap_or(Value::Null);
        (text(item, "path"), data, number(item, "stamp"))
    };
    pairs.map(of).collect()
}

/// A new leader of this version reads the records.
fn take_over(state: &mut InMemoryStore) -> Leader {
    let types = vec![MachineType {
        name: "c4".into(),
        cpus: Amount(4.0),
        gpus: Amount(0.0),
        memory_gb: Amount(16.0),
        cache_gb: Amount(50.0),
        fetch_gb_per_s: Amount(1.0),
        on_demand_price: Amount(0.3),
        spot_price: Amount(0.1),
        boot_s: Amount(30.0),
        zones: vec!["a".into()],
    }];
    let holder = items(state, "lead/holder")[0].2;
    let mut controller = Leader::new(Term(5), Version(holder), rules(), types, NOW);
    controller.set_lease_valid_until(Time(u64::MAX));
    for (_, data, version) in items(state, "live/") {
        let record: JobRecord = data.deserialized().expect("a description");
        controller.on_job(record, Version(version));
    }
    for (key, data, version) in items(state, "run/") {
        let id = records::parse_run_key(&key).expect("the key of a run record");
        let record: RunRecord = data.deserialized().expect("a run record");
        controller.on_run_record(id, &record, Version(version), NOW);
    }
    controller.on_loaded(NOW);
    controller
}

fn picture_of(controller: &Leader) -> Picture {
    let job = &controller.cluster().jobs()[&JOB];
    let mut picture = Picture::new();
    for index in 0..TASKS {
        let attempt = job.last_attempt(index).0;
        let holds = |h: &&lichencrank::coordination::cluster::host::Host| {
            h.allocations.contains_key(&TaskId { job: JOB, index })
        };
        let host = controller.cluster().hosts().values().find(holds);
        if attempt > 0 {
            picture.insert(index, (attempt, host.map(|h| h.name.to_string())));
        }
    }
    picture
}

/// What production would read: the description's size says which records are in force.
fn picture_of_production(state: &mut InMemoryStore) -> Picture {
    let description: JobRecord = items(state, "live/")[0].1.deserialized().expect("one");
    let mut picture = Picture::new();
    for (key, data, _) in items(state, "run/") {
        let RunRecordId { number, .. } =
            records::parse_run_key(&key).expect("the key of a run record");
        if number >= TASKS.div_ceil(description.tasks_per_record) {
            continue;
        }
        let record: RunRecord = data.deserialized().expect("a run record");
        let first = number * description.tasks_per_record;
        for entry in record.attempted {
            picture.insert(first + entry.offset, (entry.last_attempt.0, None));
        }
        for entry in record.allocations {
            let host = entry.host.to_string();
            picture.insert(first + entry.offset, (entry.attempt.0, Some(host)));
        }
    }
    picture
}

/// One task ends, so that its record has to be written.
fn end_one(controller: &mut Leader) {
    let task = TaskId { job: JOB, index: 0 };
    let report = WorkerHeartbeat {
        host: host_of(0),
        address: "10.1.0.1:9000".into(),
        machine_type: "c4".into(),
        zone: "a".into(),
        spot: true,
        incarnation: Incarnation(1),
        sequence: SequenceNumber(100),
        fencing_token: Term(5),
        notice_s: None,
        tasks: controller.cluster().hosts()[&host_of(0)]
            .allocations
            .iter()
            .map(|(t, b)| AttemptStatus {
                task: *t,
                attempt: b.attempt,
                state: if *t == task {
                    AttemptState::Ended
                } else {
                    AttemptState::Running
                },
                end_reason: (*t == task).then_some(EndReason::Error),
            })
            .collect(),
    };
    controller.on_heartbeat(&report, NOW).expect("it leads");
}

/// Writes the next batch, if there is one; nothing may ever be refused.
fn step(controller: &mut Leader, state: &mut InMemoryStore) -> bool {
    // A record that turns out too large is split from the next batch on.
    let batch = controller.next_batch(5, true);
    let batch = batch.or_else(|| controller.next_batch(5, true));
    let Some(txn) = batch else {
        return false;
    };
    let response = state.transact(&value(&txn));
    assert_eq!(response.status, 200, "{response:?}");
    let revision = Version(number(&response.body, "ledgerRev"));
    assert!(!controller.is_write_idle(), "a batch awaits its outcome");
    let outcome = Outcome::Committed(revision);
    controller.on_batch_outcome(outcome, NOW).expect("it leads");
    true
}

#[test]
fn every_step_keeps_every_booking() {
    let before = picture_of_production(&mut left_behind());
    // The one that ended keeps its attempt; whether its end is written does not matter.
    let same = |picture: &Picture| {
        let but_first =
            |p: &Picture| -> Picture { p.clone().into_iter().filter(|(i, _)| *i != 0).collect() };
        assert_eq!(but_first(picture), but_first(&before));
        assert_eq!(picture[&0].0, before[&0].0);
    };
    // Broken off after so many steps, and done anew by the next leader.
    for steps in 0..8 {
        let mut state = left_behind();
        let mut controller = take_over(&mut state);
        same(&picture_of(&controller));
        end_one(&mut controller);
        for _ in 0..steps {
            step(&mut controller, &mut state);
            same(&picture_of_production(&mut state));
            same(&picture_of(&take_over(&mut state)));
        }
        let mut next = take_over(&mut state);
        end_one(&mut next);
        let mut taken = 0;
        while step(&mut next, &mut state) {
            taken += 1;
            assert!(taken < 30, "no end of steps");
            same(&picture_of_production(&mut state));
        }
        same(&picture_of(&next));
        let description: JobRecord = items(&mut state, "live/")[0].1.deserialized().expect("one");
        assert!(
            description.tasks_per_record < OLD_CHUNK,
            "after {steps} steps"
        );
        for (key, data, _) in items(&mut state, "run/") {
            assert!(records::json_size(&data) <= 2048, "{key}");
        }
    }
}
