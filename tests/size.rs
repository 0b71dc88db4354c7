//! A job with as many tasks as the protocol allows: every record and transaction stays within the state service's
//! limits, a new leader completes the job that its predecessor began, and only the outcome is left in the store.

mod fixtures;

use std::collections::BTreeMap;
use std::time::Duration;

use ciborium::Value;
use lichencrank::coordination::{Action, CommandResult, Leader, Policy};
use lichencrank::protocol::cloud::MachineType;
use lichencrank::protocol::users::{JobKind, JobSpec, Priority};
use lichencrank::protocol::workers::{
    AttemptState, AttemptStatus, Command, EndReason, WorkerHeartbeat,
};
use lichencrank::protocol::Amount;
use lichencrank::settings::Tuning;
use lichencrank::storage::records::{self, JobRecord};
use lichencrank::storage::store::Outcome;
use lichencrank::types::{
    Attempt, HostName, Incarnation, JobId, SequenceNumber, TaskId, Term, Time, Version,
};
use lichencrank_store::{Change, Item, Txn};

const TASK_COUNT: u64 = 100_000;
const MAX_VALUE_KIB: f64 = 16.0;
const MAX_TXN_CHANGES: usize = 16;
const JOB: JobId = JobId(7);

fn machine_types() -> Vec<MachineType> {
    vec![fixtures::wide_machine_type(64.0, 512.0)]
}

fn policy() -> Policy {
    Policy {
        tasks_per_record: records::tasks_per_record(MAX_VALUE_KIB),
        tuning: Tuning {
            // No host is released as idle during the test.
            idle_release_s: 86_400.0,
            ..Tuning::default()
        },
        ..fixtures::policy()
    }
}

fn job_record() -> JobRecord {
    JobRecord {
        spec: JobSpec {
            id: JOB,
            class: "tiny".into(),
            team: "open".into(),
            kind: JobKind::Array,
            priority: Priority::BestEffort,
            task_count: TASK_COUNT,
            cpus: Amount(0.25),
            gpus: Amount(0.0),
            memory_gb: Amount(0.5),
            image: "img".into(),
            image_gb: Amount(0.5),
            allowed_machine_types: None,
            required_zone: None,
            same_zone: false,
            spread: false,
            allows_spot: true,
            estimated_run_time_s: Amount(4.0),
            checkpoint_interval_s: Amount(0.0),
            save_time_s: Amount(0.0),
            deadline_s: None,
        },
        submitted_at_ms: 0,
        tasks_per_record: records::tasks_per_record(MAX_VALUE_KIB),
    }
}

/// A worker whose attempts end successfully.
#[derive(Default)]
struct Worker {
    last_sequence: u64,
    /// The attempts that were started and not cleared, and whether each has ended.
    attempts: BTreeMap<(TaskId, Attempt), bool>,
    start_count: u64,
}

impl Worker {
    fn execute(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Run { task, attempt } => {
                    self.attempts.entry((*task, *attempt)).or_insert_with(|| {
                        self.start_count += 1;
                        false
                    });
                }
                Command::Stop { task, attempt, .. } | Command::Clear { task, attempt } => {
                    self.attempts.remove(&(*task, *attempt));
                }
            }
        }
    }

    fn heartbeat(&mut self, name: &HostName, fencing_token: Term) -> WorkerHeartbeat {
        self.last_sequence += 1;
        let tasks = self
            .attempts
            .iter()
            .map(|((task, attempt), has_ended)| AttemptStatus {
                task: *task,
                attempt: *attempt,
                state: if *has_ended {
                    AttemptState::Ended
                } else {
                    AttemptState::Running
                },
                end_reason: has_ended.then_some(EndReason::Completed),
            });
        WorkerHeartbeat {
            host: name.clone(),
            address: "127.0.0.1:9000".into(),
            machine_type: "wide".into(),
            zone: "a".into(),
            is_spot: true,
            incarnation: Incarnation(1),
            sequence_number: SequenceNumber(self.last_sequence),
            fencing_token,
            reclaim_notice_s: None,
            attempts: tasks.collect(),
        }
    }
}

/// A store that checks the conditions of transactions and the state service's limits.
#[derive(Default)]
struct LimitCheckingStore {
    revision: u64,
    items: BTreeMap<String, (Value, Version)>,
}

fn json_size(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value)
        .expect("the value can be serialized")
        .len()
}

impl LimitCheckingStore {
    fn apply(&mut self, txn: &Txn) -> Version {
        assert!(
            json_size(txn) <= 64 * 1024,
            "a transaction of {} bytes",
            json_size(txn)
        );
        assert!(
            txn.changes.len() <= MAX_TXN_CHANGES,
            "a transaction of {} changes",
            txn.changes.len()
        );
        assert!(txn.conditions.len() <= 4 * MAX_TXN_CHANGES);
        for condition in &txn.conditions {
            let stored = self.items.get(&condition.key);
            let version = stored.map_or(Version(0), |(_, version)| *version);
            assert_eq!(version, condition.version, "version of {}", condition.key);
        }
        self.revision += 1;
        let version = Version(self.revision);
        for change in &txn.changes {
            match change {
                Change::Put { key, value, .. } => {
                    assert!(
                        json_size(value) <= (MAX_VALUE_KIB * 1024.0) as usize,
                        "the value of {key} exceeds the limit"
                    );
                    self.items.insert(key.clone(), (value.clone(), version));
                }
                Change::Delete { key } => {
                    self.items.remove(key);
                }
            }
        }
        version
    }

    fn start_leader(&mut self, term: Term, now: Time) -> Leader {
        let leader_item = (Value::Null, Version(term.0));
        self.items
            .insert(records::LEADER_KEY.to_owned(), leader_item);
        let mut leader = Leader::new(term, Version(term.0), policy(), machine_types(), now);
        leader.set_lease_valid_until(Time(u64::MAX));
        for (key, (value, version)) in &self.items {
            let (key, value, version) = (key.clone(), value.clone(), *version);
            let item = Item {
                key,
                value,
                version,
            };
            if records::parse_live_key(&item.key).is_some() {
                assert!(records::unarchived_outcome(&item.value).is_none());
                leader.on_job_record(item.record().expect("a job"), version);
            }
        }
        for (key, (value, version)) in &self.items {
            if let Some(id) = records::parse_run_key(key) {
                let record = value.deserialized().expect("a run record");
                leader.on_run_record(id, &record, *version, now);
            }
        }
        leader.on_loaded(now);
        leader
    }
}

#[test]
fn a_job_of_the_largest_size_runs_each_task_once_and_leaves_only_its_outcome() {
    let mut store = LimitCheckingStore {
        revision: 100,
        ..LimitCheckingStore::default()
    };
    let job_record_version = store.apply(&Txn {
        conditions: Vec::new(),
        changes: vec![Change::put(
            records::live_key(JOB),
            lichencrank_store::value(&job_record()),
        )],
    });
    let mut now = Time(0);
    let mut leader = store.start_leader(Term(3), now);
    assert_eq!(
        leader.cluster().jobs()[&JOB].record_version,
        job_record_version
    );
    let mut workers: BTreeMap<HostName, Worker> = (0..40)
        .map(|n| (HostName::new(&format!("vm-{n:03}")), Worker::default()))
        .collect();
    let mut max_attempts_per_heartbeat = 0;
    let mut round_count = 0;
    let outcome_key = records::outcome_key(JOB);
    while !store.items.contains_key(&outcome_key) || !leader.cluster().jobs().is_empty() {
        round_count += 1;
        assert!(
            round_count < 2000,
            "the job does not end: {} tasks are done",
            leader.cluster().jobs()[&JOB].done_count
        );
        now = now.after(Duration::from_millis(500));
        if round_count == 120 {
            // The leader fails in the middle of the job, and whatever it had in flight is lost.
            assert!(
                leader.cluster().jobs()[&JOB].done_count > 1000
                    && leader.cluster().jobs()[&JOB].allocated_count > 0
            );
            leader = store.start_leader(Term(4), now);
        }
        for (name, worker) in &mut workers {
            for has_ended in worker.attempts.values_mut() {
                *has_ended = true;
            }
            let heartbeat = worker.heartbeat(name, leader.term());
            max_attempts_per_heartbeat = max_attempts_per_heartbeat.max(heartbeat.attempts.len());
            let commands = leader
                .on_heartbeat(&heartbeat, now)
                .expect("the leader still leads");
            worker.execute(&commands);
        }
        leader.tick(now, now.0);
        for _ in 0..6 {
            let Some(txn) = leader.next_batch(MAX_TXN_CHANGES, true) else {
                break;
            };
            let version = store.apply(&txn);
            leader
                .on_batch_outcome(Outcome::Committed(version), now)
                .expect("the leader still leads");
            for action in leader.take_actions() {
                let Action::SendCommands {
                    host,
                    incarnation,
                    commands,
                    ..
                } = action
                else {
                    continue;
                };
                let worker = workers.get_mut(&host).expect("a worker of the test");
                worker.execute(&commands);
                let heartbeat = Box::new(worker.heartbeat(&host, leader.term()));
                let result = CommandResult::Heartbeat(heartbeat);
                leader
                    .on_command_result(&host, incarnation, &commands, result, now)
                    .expect("the leader still leads");
            }
        }
        leader.take_actions();
    }
    let start_count: u64 = workers.values().map(|worker| worker.start_count).sum();
    assert_eq!(start_count, TASK_COUNT, "each task has to be started once");
    // A heartbeat may have 64 KiB; one attempt takes less than 100 bytes of it.
    assert!(
        max_attempts_per_heartbeat < 600,
        "{max_attempts_per_heartbeat} attempts in a heartbeat"
    );
    let remaining_keys: Vec<&String> = store.items.keys().collect();
    assert_eq!(remaining_keys, [records::LEADER_KEY, outcome_key.as_str()]);
}
