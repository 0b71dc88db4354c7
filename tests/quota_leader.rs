//! The leader with the `quota` feature: it allocates nothing before the allowances are claimed, every write of an
//! allocation is conditional on the team's allowance, unrecorded attempts that hosts report are charged, and borrowed
//! work is preempted for guarantees.

use lichencrank::coordination::{Leader, Policy};
use lichencrank::features::Features;
use lichencrank::protocol::cloud::MachineType;
use lichencrank::protocol::users::{JobKind, JobSpec, Priority};
use lichencrank::protocol::workers::{AttemptState, AttemptStatus, Command, WorkerHeartbeat};
use lichencrank::protocol::Amount;
use lichencrank::settings::{Settings, Tuning};
use lichencrank::storage::records::JobRecord;
use lichencrank::storage::store::Outcome;
use lichencrank::types::{
    Attempt, HostName, Incarnation, JobId, SequenceNumber, TaskId, Term, Time, Version,
};
use lichencrank_store::Txn;

const TERM: Term = Term(3);
const SETTINGS: &str = r#"{
    "host_name": "node-0", "area": "a", "front": "127.0.0.1:1", "internal_addr": "127.0.0.1:2",
    "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
    "settings": {
        "zones": ["a"],
        "teams": [{"name": "lender", "cpus": 4.0, "cpus_max": 8.0},
                  {"name": "borrower", "cpus": 2.0, "cpus_max": 8.0}],
        "workers": {"report_s": 3.0, "lease_s": 44.0, "cancel_s": 74.0},
        "state": {"rps": 1000.0, "write_rps": 1000.0, "value_kb": 16.0, "txn_ops": 16},
        "cloud": {"rps": 10.0}, "resources": {"sockets": 500}
    }
}"#;

fn machine_type() -> MachineType {
    MachineType {
        name: "c8".into(),
        cpus: Amount(8.0),
        gpus: Amount(0.0),
        memory_gb: Amount(32.0),
        image_cache_gb: Amount(50.0),
        image_fetch_gb_per_s: Amount(1.0),
        on_demand_price_per_hour: Amount(1.0),
        spot_price_per_hour: Amount(0.3),
        boot_time_s: Amount(30.0),
        zones: vec!["a".into()],
    }
}

fn job_record(number: u64, team: &str, task_count: u64) -> JobRecord {
    JobRecord {
        spec: JobSpec {
            id: JobId(number),
            class: "any".into(),
            team: team.into(),
            kind: JobKind::Array,
            priority: Priority::Normal,
            task_count,
            cpus: Amount(2.0),
            gpus: Amount(0.0),
            memory_gb: Amount(1.0),
            image: "img".into(),
            image_gb: Amount(0.0),
            allowed_machine_types: None,
            required_zone: None,
            same_zone: false,
            spread: false,
            allows_spot: true,
            estimated_run_time_s: Amount(600.0),
            checkpoint_interval_s: Amount(0.0),
            save_time_s: Amount(0.0),
            deadline_s: None,
        },
        submitted_at_ms: 0,
        tasks_per_record: 100,
    }
}

/// A leader, one host of eight CPUs, and a state service that commits every transaction.
struct Harness {
    leader: Leader,
    now: Time,
    heartbeat_sequence: u64,
    store_revision: u64,
    /// Attempts that run on the host without an allocation.
    unrecorded_attempts: Vec<(TaskId, Attempt)>,
}

impl Harness {
    fn new() -> Harness {
        let settings = Settings::parse(SETTINGS).expect("valid settings");
        let features = Features::parse("quota: {enabled: true}").expect("valid features");
        let tuning = Tuning {
            // Keeps the host for the whole test.
            idle_release_s: 86_400.0,
            ..Tuning::default()
        };
        let policy = Policy::new(&settings.shared, &tuning, &features);
        let mut leader = Leader::new(TERM, Version(1), policy, vec![machine_type()], Time(0));
        leader.set_lease_valid_until(Time(u64::MAX));
        leader.on_loaded(Time(0));
        let mut harness = Harness {
            leader,
            now: Time(0),
            heartbeat_sequence: 0,
            store_revision: 10,
            unrecorded_attempts: Vec::new(),
        };
        for _ in 0..3 {
            harness.send_heartbeat();
        }
        harness
    }

    /// The host sends a heartbeat in which all allocated tasks run, and the leader makes its decisions. Returns the
    /// commands of the response.
    fn send_heartbeat(&mut self) -> Vec<Command> {
        self.now = Time(self.now.0 + 3000);
        self.heartbeat_sequence += 1;
        let host_name = HostName::new("vm-000001");
        let host = self.leader.cluster().hosts().get(&host_name);
        let allocations = host
            .map(|host| host.allocations.iter())
            .into_iter()
            .flatten();
        let allocated = allocations.map(|(task, allocation)| (*task, allocation.attempt));
        let running_attempts: Vec<(TaskId, Attempt)> = allocated
            .chain(self.unrecorded_attempts.iter().copied())
            .collect();
        let statuses = running_attempts
            .into_iter()
            .map(|(task, attempt)| AttemptStatus {
                task,
                attempt,
                state: AttemptState::Running,
                end_reason: None,
            });
        let heartbeat = WorkerHeartbeat {
            host: host_name,
            address: "127.0.0.1:9000".into(),
            machine_type: "c8".into(),
            zone: "a".into(),
            is_spot: true,
            incarnation: Incarnation(1),
            sequence_number: SequenceNumber(self.heartbeat_sequence),
            fencing_token: TERM,
            reclaim_notice_s: None,
            attempts: statuses.collect(),
        };
        let commands = self
            .leader
            .on_heartbeat(&heartbeat, self.now)
            .expect("no later leader");
        self.leader.tick(self.now, self.now.0);
        commands
    }

    /// Loads an empty set of quota records and commits the leader's changes until there are none. Returns the
    /// transactions.
    fn claim_allowances(&mut self) -> Vec<Txn> {
        self.leader.on_quota_loaded();
        let mut committed = Vec::new();
        while let Some(txn) = self.leader.next_quota_txn() {
            self.store_revision += 1;
            self.leader.on_quota_committed(Version(self.store_revision));
            committed.push(txn);
            assert!(committed.len() < 10, "the changes don't end: {committed:?}");
        }
        committed
    }

    /// Commits the batches of records until there are none. Returns the transactions.
    fn commit_batches(&mut self) -> Vec<Txn> {
        let mut committed = Vec::new();
        while let Some(txn) = self.leader.next_batch(16, true) {
            self.store_revision += 1;
            let outcome = Outcome::Committed(Version(self.store_revision));
            self.leader
                .on_batch_outcome(outcome, self.now)
                .expect("no later leader");
            committed.push(txn);
        }
        self.leader.take_actions();
        committed
    }

    fn submit(&mut self, number: u64, team: &str, task_count: u64) {
        self.store_revision += 1;
        self.leader.on_job_record(
            job_record(number, team, task_count),
            Version(self.store_revision),
        );
    }

    fn allocated_count(&self, number: u64) -> u32 {
        self.leader.cluster().jobs()[&JobId(number)].allocated_count
    }
}

/// A leader that allocates before it has claimed its allowances could let a team exceed its limit, as other clients of
/// the quota records share it. Every later write of an allocation has to be conditional on the allowance.
#[test]
fn nothing_is_allocated_before_the_allowances_are_claimed() {
    let mut harness = Harness::new();
    harness.submit(1, "borrower", 10);
    for _ in 0..10 {
        harness.send_heartbeat();
    }
    assert_eq!(harness.allocated_count(1), 0);
    // Tasks that may not start yet create no demand, and yet the host is not released.
    assert_eq!(harness.leader.take_actions(), []);
    let host = harness.leader.cluster().hosts().values().next();
    assert!(host.is_some_and(|host| host.cordon_reason.is_none()));
    let claims = harness.claim_allowances();
    for txn in &claims {
        let mut conditions = txn.conditions.iter();
        assert!(conditions.any(|c| c.key == "lead/holder" && c.version == Version(1)));
    }
    harness.send_heartbeat();
    // Both the host and the team's limit allow eight CPUs, which are four tasks.
    assert_eq!(harness.allocated_count(1), 4);
    for txn in harness.commit_batches() {
        let mut conditions = txn.conditions.iter();
        let is_fenced = conditions.any(|c| c.key == "quota/allowance/borrower/leader");
        assert!(is_fenced, "not conditional on the allowance: {txn:?}");
    }
}

/// An attempt that runs on a host without a record is charged to its team until it has ended, even beyond the limit.
#[test]
fn unrecorded_attempts_are_charged() {
    let mut harness = Harness::new();
    harness.claim_allowances();
    harness.submit(1, "borrower", 3);
    harness.send_heartbeat();
    harness.commit_batches();
    assert_eq!(harness.allocated_count(1), 3);
    // Another attempt at a task that is allocated already.
    let task = TaskId {
        job: JobId(1),
        index: 0,
    };
    harness.unrecorded_attempts.push((task, Attempt(7)));
    harness.send_heartbeat();
    harness.submit(2, "borrower", 1);
    harness.send_heartbeat();
    assert_eq!(harness.allocated_count(2), 0);
    harness.unrecorded_attempts.clear();
    harness.send_heartbeat();
    harness.send_heartbeat();
    assert_eq!(harness.allocated_count(2), 1);
}

/// For tasks within a team's guarantee, tasks of the same priority that another team runs beyond its own guarantee are
/// stopped, and no more of them than needed.
#[test]
fn borrowed_work_is_preempted_for_a_guarantee() {
    let mut harness = Harness::new();
    harness.claim_allowances();
    harness.submit(1, "borrower", 4);
    harness.send_heartbeat();
    harness.commit_batches();
    assert_eq!(harness.allocated_count(1), 4);
    harness.send_heartbeat();
    harness.submit(2, "lender", 4);
    let mut stop_commands = Vec::new();
    for _ in 0..2 {
        let commands = harness.send_heartbeat();
        stop_commands.extend(
            commands
                .into_iter()
                .filter(|command| matches!(command, Command::Stop { .. })),
        );
    }
    assert!(!stop_commands.is_empty());
    let is_of_borrower =
        |command: &Command| matches!(command, Command::Stop { task, .. } if task.job == JobId(1));
    assert!(stop_commands.iter().all(is_of_borrower));
    assert!(
        stop_commands.len() <= 2,
        "more tasks are stopped than needed: {stop_commands:?}"
    );
}
