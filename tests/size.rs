//! One job of as many tasks as the protocol allows: every record and transaction stays within the
//! state service's limits, a new leader finishes what the old one began, and nothing is left over.

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
use lichencrank::settings::{Team, Tuning};
use lichencrank::storage::records::{self, JobRecord};
use lichencrank::storage::store::Outcome;
use lichencrank::types::{
    Attempt, HostName, Incarnation, JobId, SequenceNumber, TaskId, Term, Time, Version,
};
use lichencrank_store::{Change, Item, Txn};

const TASKS: u64 = 100_000;
const VALUE_KB: f64 = 16.0;
const TXN_OPS: usize = 16;
const JOB: JobId = JobId(7);

fn types() -> Vec<MachineType> {
    vec![MachineType {
        name: "wide".into(),
        cpus: Amount(64.0),
        gpus: Amount(0.0),
        memory_gb: Amount(512.0),
        image_cache_gb: Amount(50.0),
        image_fetch_gb_per_s: Amount(1.0),
        on_demand_price_per_hour: Amount(1.0),
        spot_price_per_hour: Amount(0.3),
        boot_time_s: Amount(30.0),
        zones: vec!["a".into()],
    }]
}

fn rules() -> Policy {
    Policy {
        heartbeat_interval: Duration::from_secs(3),
        worker_lease: Duration::from_secs(16),
        cancellation_timeout: Duration::from_secs(40),
        max_host_list_lag: Duration::from_secs(10),
        tasks_per_record: records::tasks_per_record(VALUE_KB),
        max_probes_in_flight: 10,
        max_commands_in_flight: 100,
        max_queued_records_per_priority: 100,
        max_value_bytes: 16 * 1024,
        max_txn_changes: 16,
        quota: None,
        zones: None,
        wait_objectives_s: Vec::new(),
        teams: vec![Team {
            name: "open".into(),
            guaranteed_cpus: None,
            max_cpus: None,
            guaranteed_gpus: None,
            max_gpus: None,
        }],
        tuning: Tuning {
            // The machines stay for the whole test.
            idle_release_s: 86_400.0,
            ..Tuning::default()
        },
    }
}

fn record() -> JobRecord {
    JobRecord {
        spec: JobSpec {
            id: JOB,
            class: "tiny".into(),
            team: "open".into(),
            kind: JobKind::Array,
            priority: Priority::BestEffort,
            task_count: TASKS,
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
        tasks_per_record: records::tasks_per_record(VALUE_KB),
    }
}

#[derive(Default)]
struct Worker {
    tick: u64,
    tasks: BTreeMap<(TaskId, Attempt), bool>,
    starts: u64,
}

impl Worker {
    fn obey(&mut self, orders: &[Command]) {
        for order in orders {
            match order {
                Command::Run { task, attempt } => {
                    self.tasks.entry((*task, *attempt)).or_insert_with(|| {
                        self.starts += 1;
                        false
                    });
                }
                Command::Stop { task, attempt, .. } | Command::Clear { task, attempt } => {
                    self.tasks.remove(&(*task, *attempt));
                }
            }
        }
    }

    fn report(&mut self, name: &HostName, token: Term) -> WorkerHeartbeat {
        self.tick += 1;
        let tasks = self
            .tasks
            .iter()
            .map(|((task, attempt), ended)| AttemptStatus {
                task: *task,
                attempt: *attempt,
                state: if *ended {
                    AttemptState::Ended
                } else {
                    AttemptState::Running
                },
                end_reason: ended.then_some(EndReason::Completed),
            });
        WorkerHeartbeat {
            host: name.clone(),
            address: "127.0.0.1:9000".into(),
            machine_type: "wide".into(),
            zone: "a".into(),
            is_spot: true,
            incarnation: Incarnation(1),
            sequence_number: SequenceNumber(self.tick),
            fencing_token: token,
            reclaim_notice_s: None,
            attempts: tasks.collect(),
        }
    }
}

/// The state service's side: what is kept, and whether what comes is within its limits.
#[derive(Default)]
struct Kept {
    revision: u64,
    items: BTreeMap<String, (Value, Version)>,
}

fn size(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).expect("it has a form").len()
}

impl Kept {
    fn apply(&mut self, txn: &Txn) -> Version {
        assert!(size(txn) <= 64 * 1024, "{} bytes", size(txn));
        assert!(txn.changes.len() <= TXN_OPS, "{}", txn.changes.len());
        assert!(txn.conditions.len() <= 4 * TXN_OPS);
        for condition in &txn.conditions {
            let there = self.items.get(&condition.key);
            let version = there.map_or(Version(0), |(_, version)| *version);
            assert_eq!(version, condition.version, "{}", condition.key);
        }
        self.revision += 1;
        let version = Version(self.revision);
        for change in &txn.changes {
            match change {
                Change::Put { key, value, .. } => {
                    assert!(size(value) <= (VALUE_KB * 1024.0) as usize, "{key}");
                    self.items.insert(key.clone(), (value.clone(), version));
                }
                Change::Delete { key } => {
                    self.items.remove(key);
                }
            }
        }
        version
    }

    fn begin_leading(&mut self, term: Term, now: Time) -> Leader {
        let holder = (Value::Null, Version(term.0));
        self.items.insert(records::LEADER_KEY.to_owned(), holder);
        let mut c = Leader::new(term, Version(term.0), rules(), types(), now);
        c.set_lease_valid_until(Time(u64::MAX));
        for (key, (value, version)) in &self.items {
            let (key, value, version) = (key.clone(), value.clone(), *version);
            let item = Item {
                key,
                value,
                version,
            };
            if records::parse_live_key(&item.key).is_some() {
                assert!(records::unarchived_outcome(&item.value).is_none());
                c.on_job(item.record().expect("a job"), version);
            }
        }
        for (key, (value, version)) in &self.items {
            if let Some(id) = records::parse_run_key(key) {
                let record = value.deserialized().expect("a run record");
                c.on_run_record(id, &record, *version, now);
            }
        }
        c.on_loaded(now);
        c
    }
}

#[test]
fn a_job_of_the_largest_size_runs_once_and_leaves_nothing() {
    let mut kept = Kept {
        revision: 100,
        ..Kept::default()
    };
    let live = kept.apply(&Txn {
        conditions: Vec::new(),
        changes: vec![Change::put(
            records::live_key(JOB),
            lichencrank_store::value(&record()),
        )],
    });
    let mut now = Time(0);
    let mut c = kept.begin_leading(Term(3), now);
    assert_eq!(c.cluster().jobs()[&JOB].record_version, live);
    let mut workers: BTreeMap<HostName, Worker> = (0..40)
        .map(|n| (HostName::new(&format!("vm-{n:03}")), Worker::default()))
        .collect();
    let mut largest_report = 0;
    let mut rounds = 0;
    let over = records::outcome_key(JOB);
    while !kept.items.contains_key(&over) || !c.cluster().jobs().is_empty() {
        rounds += 1;
        assert!(
            rounds < 2000,
            "{} tasks done",
            c.cluster().jobs()[&JOB].done_count
        );
        now = now.after(Duration::from_millis(500));
        if rounds == 120 {
            // The leader ends in the middle, whatever it had under way.
            assert!(
                c.cluster().jobs()[&JOB].done_count > 1000
                    && c.cluster().jobs()[&JOB].allocated_count > 0
            );
            c = kept.begin_leading(Term(4), now);
        }
        for (name, worker) in &mut workers {
            for ended in worker.tasks.values_mut() {
                *ended = true;
            }
            let report = worker.report(name, c.term());
            largest_report = largest_report.max(report.attempts.len());
            let orders = c.on_heartbeat(&report, now).expect("its term");
            worker.obey(&orders);
        }
        c.tick(now, now.0);
        for _ in 0..6 {
            let Some(txn) = c.next_batch(TXN_OPS, true) else {
                break;
            };
            let version = kept.apply(&txn);
            c.on_batch_outcome(Outcome::Committed(version), now)
                .expect("its term");
            for action in c.take_actions() {
                let Action::SendCommands {
                    host,
                    incarnation: session,
                    commands: orders,
                    ..
                } = action
                else {
                    continue;
                };
                let worker = workers.get_mut(&host).expect("a machine of the test");
                worker.obey(&orders);
                let report = Box::new(worker.report(&host, c.term()));
                let result = CommandResult::Heartbeat(report);
                c.on_command_result(&host, session, &orders, result, now)
                    .expect("its term");
            }
        }
        c.take_actions();
    }
    let starts: u64 = workers.values().map(|w| w.starts).sum();
    assert_eq!(starts, TASKS, "each task was started once");
    // A report may have 64 KiB; one task takes less than 100 bytes of it.
    assert!(largest_report < 600, "{largest_report} tasks in a report");
    let left: Vec<&String> = kept.items.keys().collect();
    assert_eq!(left, [records::LEADER_KEY, over.as_str()]);
}
