//! What the leader decides with team limits in allowances: nothing before they are claimed, every booking
//! on their condition, what machines report counts, and borrowed work gives way to guarantees.

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

fn kind() -> MachineType {
    MachineType {
        name: "c8".into(),
        cpus: Amount(8.0),
        gpus: Amount(0.0),
        memory_gb: Amount(32.0),
        cache_gb: Amount(50.0),
        fetch_gb_per_s: Amount(1.0),
        on_demand_price: Amount(1.0),
        spot_price: Amount(0.3),
        boot_s: Amount(30.0),
        zones: vec!["a".into()],
    }
}

fn job(number: u64, team: &str, tasks: u64) -> JobRecord {
    JobRecord {
        spec: JobSpec {
            id: JobId(number),
            class: "any".into(),
            team: team.into(),
            kind: JobKind::Array,
            priority: Priority::Normal,
            tasks,
            cpus: Amount(2.0),
            gpus: Amount(0.0),
            memory_gb: Amount(1.0),
            image: "img".into(),
            image_gb: Amount(0.0),
            machine_types: None,
            zone: None,
            same_zone: false,
            spread: false,
            spot: true,
            estimate_s: Amount(600.0),
            checkpoint_s: Amount(0.0),
            save_s: Amount(0.0),
            deadline_s: None,
        },
        submitted_at_ms: 0,
        tasks_per_record: 100,
    }
}

/// A leader with one machine of eight CPUs, and the state service that takes whatever it writes.
struct SimulatedLeader {
    controller: Leader,
    now: Time,
    tick: u64,
    revision: u64,
    /// What the machine holds beside its bookings.
    reported: Vec<(TaskId, Attempt)>,
}

impl SimulatedLeader {
    fn new() -> SimulatedLeader {
        let settings = Settings::parse(SETTINGS).expect("the settings here");
        let features = Features::parse("quota: {enabled: true}").expect("the features here");
        let tuning = Tuning {
            // The machine stays for the whole test.
            idle_return_s: 86_400.0,
            ..Tuning::default()
        };
        let rules = Policy::new(&settings.settings, &tuning, &features);
        let mut controller = Leader::new(TERM, Version(1), rules, vec![kind()], Time(0));
        controller.set_lease_valid_until(Time(u64::MAX));
        controller.on_loaded(Time(0));
        let mut leader = SimulatedLeader {
            controller,
            now: Time(0),
            tick: 0,
            revision: 10,
            reported: Vec::new(),
        };
        for _ in 0..3 {
            leader.report();
        }
        leader
    }

    /// The machine reports what is booked there, and the leader decides.
    fn report(&mut self) -> Vec<Command> {
        self.now = Time(self.now.0 + 3000);
        self.tick += 1;
        let name = HostName::new("vm-000001");
        let booked = self.controller.cluster().hosts().get(&name);
        let booked = booked
            .map(|host| host.allocations.iter())
            .into_iter()
            .flatten();
        let booked = booked.map(|(task, booking)| (*task, booking.attempt));
        let all: Vec<(TaskId, Attempt)> = booked.chain(self.reported.iter().copied()).collect();
        let tasks = all.into_iter().map(|(task, attempt)| AttemptStatus {
            task,
            attempt,
            state: AttemptState::Running,
            end_reason: None,
        });
        let report = WorkerHeartbeat {
            host: name,
            address: "127.0.0.1:9000".into(),
            machine_type: "c8".into(),
            zone: "a".into(),
            spot: true,
            incarnation: Incarnation(1),
            sequence: SequenceNumber(self.tick),
            fencing_token: TERM,
            notice_s: None,
            tasks: tasks.collect(),
        };
        let orders = self
            .controller
            .on_heartbeat(&report, self.now)
            .expect("its term");
        self.controller.tick(self.now, self.now.0);
        orders
    }

    /// Reads empty accounts and writes them until nothing changes. Returns the transactions.
    fn claim(&mut self) -> Vec<Txn> {
        self.controller.on_quota_loaded();
        let mut written = Vec::new();
        while let Some(txn) = self.controller.next_quota_txn() {
            self.revision += 1;
            self.controller.on_quota_committed(Version(self.revision));
            written.push(txn);
            assert!(written.len() < 10, "{written:?}");
        }
        written
    }

    fn write(&mut self) -> Vec<Txn> {
        let mut written = Vec::new();
        while let Some(txn) = self.controller.next_batch(16, true) {
            self.revision += 1;
            let outcome = Outcome::Committed(Version(self.revision));
            self.controller
                .on_batch_outcome(outcome, self.now)
                .expect("its term");
            written.push(txn);
        }
        self.controller.take_actions();
        written
    }

    fn submit(&mut self, number: u64, team: &str, tasks: u64) {
        self.revision += 1;
        self.controller
            .on_job(job(number, team, tasks), Version(self.revision));
    }

    fn booked(&self, number: u64) -> u32 {
        self.controller.cluster().jobs()[&JobId(number)].allocated_count
    }
}

#[test]
fn nothing_is_booked_before_the_allowances_are_claimed() {
    let mut leader = SimulatedLeader::new();
    leader.submit(1, "borrower", 10);
    for _ in 0..10 {
        leader.report();
    }
    assert_eq!(leader.booked(1), 0);
    // Work that may not begin yet seems to need no machine, which stays all the same.
    assert_eq!(leader.controller.take_actions(), []);
    let machine = leader.controller.cluster().hosts().values().next();
    assert!(machine.is_some_and(|host| host.cordon_reason.is_none()));
    let claims = leader.claim();
    for txn in &claims {
        let mut conditions = txn.conditions.iter();
        assert!(conditions.any(|c| c.key == "lead/holder" && c.version == Version(1)));
    }
    leader.report();
    // The limit, not the machine, is what ends it: both have eight CPUs.
    assert_eq!(leader.booked(1), 4);
    for txn in leader.write() {
        let mut conditions = txn.conditions.iter();
        let fenced = conditions.any(|c| c.key == "quota/allowance/borrower/leader");
        assert!(fenced, "{txn:?}");
    }
}

/// A task that the records don't place there runs all the same: it takes its team's room until it is
/// gone, also above the limit.
#[test]
fn what_a_machine_reports_unbooked_counts() {
    let mut leader = SimulatedLeader::new();
    leader.claim();
    leader.submit(1, "borrower", 3);
    leader.report();
    leader.write();
    assert_eq!(leader.booked(1), 3);
    // A second copy of a task that is booked with another attempt.
    let copy = TaskId {
        job: JobId(1),
        index: 0,
    };
    leader.reported.push((copy, Attempt(7)));
    leader.report();
    leader.submit(2, "borrower", 1);
    leader.report();
    assert_eq!(leader.booked(2), 0);
    leader.reported.clear();
    leader.report();
    leader.report();
    assert_eq!(leader.booked(2), 1);
}

/// Work of the same priority that another team runs beyond its guarantee is stopped for work within
/// one, and no more of it than is needed.
#[test]
fn borrowed_work_gives_way_to_a_guarantee() {
    let mut leader = SimulatedLeader::new();
    leader.claim();
    leader.submit(1, "borrower", 4);
    leader.report();
    leader.write();
    assert_eq!(leader.booked(1), 4);
    leader.report();
    leader.submit(2, "lender", 4);
    let mut stopped = Vec::new();
    for _ in 0..2 {
        let orders = leader.report();
        stopped.extend(
            orders
                .into_iter()
                .filter(|o| matches!(o, Command::Stop { .. })),
        );
    }
    assert!(!stopped.is_empty());
    let of_borrower =
        |order: &Command| matches!(order, Command::Stop { task, .. } if task.job == JobId(1));
    assert!(stopped.iter().all(of_borrower));
    assert!(stopped.len() <= 2, "{stopped:?}");
}
