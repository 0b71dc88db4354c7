//! Measures processor time per report and per placement by the number of machines:
//! `cargo run --release --example scale`. The figures are in `docs/results.md`.

use std::time::{Duration, Instant};

use lichencrank::coordination::{Action, Leader, Policy};
use lichencrank::features::Features;
use lichencrank::protocol::cloud::MachineType;
use lichencrank::protocol::users::{JobKind, JobSpec, Priority};
use lichencrank::protocol::workers::{AttemptState, AttemptStatus, WorkerHeartbeat};
use lichencrank::protocol::Amount;
use lichencrank::settings::{Settings, Tuning};
use lichencrank::storage::records::{self, JobRecord};
use lichencrank::storage::store::Outcome;
use lichencrank::types::{
    Attempt, HostName, Incarnation, JobId, SequenceNumber, TaskId, Term, Time, Version,
};
use lichencrank_zones::ControllerReach;

const FLEETS: [u64; 3] = [100, 1000, 4000];
const TERM: Term = Term(3);
const CPUS: f64 = 8.0;
const TASK_CPUS: f64 = 2.0;
const TASKS_PER_JOB: u64 = 20;
const ROUNDS: u64 = 10;
/// Rounds of reports until well after the first machines of a cut zone are given up.
const CUT_ROUNDS: u64 = ROUNDS + 70;
const CUT_ZONE: &str = "b";
const SETTINGS: &str = r#"{
    "host_name": "node-0", "area": "a", "front": "127.0.0.1:1", "internal_addr": "127.0.0.1:2",
    "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
    "settings": {
        "zones": ["a", "b"], "teams": [{"name": "t", "cpus_max": 100000.0}],
        "workers": {"report_s": 3.0, "lease_s": 44.0, "cancel_s": 74.0},
        "state": {"rps": 1000.0, "write_rps": 1000.0, "value_kb": 16.0, "txn_ops": 16},
        "cloud": {"rps": 10.0}, "resources": {"sockets": 5000}
    }
}"#;

fn kind() -> MachineType {
    MachineType {
        name: "c8".into(),
        cpus: Amount(CPUS),
        gpus: Amount(0.0),
        memory_gb: Amount(32.0),
        cache_gb: Amount(50.0),
        fetch_gb_per_s: Amount(1.0),
        on_demand_price: Amount(1.0),
        spot_price: Amount(0.3),
        boot_s: Amount(30.0),
        zones: vec!["a".into(), CUT_ZONE.into()],
    }
}

fn job(number: u64) -> JobRecord {
    JobRecord {
        spec: JobSpec {
            id: JobId(number),
            class: "any".into(),
            team: "t".into(),
            kind: JobKind::Array,
            priority: Priority::Normal,
            tasks: TASKS_PER_JOB,
            cpus: Amount(TASK_CPUS),
            gpus: Amount(0.0),
            memory_gb: Amount(1.0),
            image: "img".into(),
            image_gb: Amount(0.5),
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
        tasks_per_record: records::tasks_per_record(16.0),
    }
}

/// Every other machine is in the zone that [`measure_cut`] cuts off.
fn zone_of(host: u64) -> &'static str {
    if host % 2 == 0 {
        "a"
    } else {
        CUT_ZONE
    }
}

fn report(host: u64, tick: u64, tasks: &[(TaskId, Attempt)]) -> WorkerHeartbeat {
    let tasks = tasks.iter().map(|(task, attempt)| AttemptStatus {
        task: *task,
        attempt: *attempt,
        state: AttemptState::Running,
        end_reason: None,
    });
    WorkerHeartbeat {
        host: HostName::new(&format!("vm-{host:06}")),
        address: "127.0.0.1:9000".into(),
        machine_type: "c8".into(),
        zone: zone_of(host).into(),
        spot: true,
        incarnation: Incarnation(1),
        sequence: SequenceNumber(tick),
        fencing_token: TERM,
        notice_s: None,
        tasks: tasks.collect(),
    }
}

/// What the machines hold, by the records of the leader.
fn bookings(c: &Leader, host: u64) -> Vec<(TaskId, Attempt)> {
    let host = c
        .cluster()
        .hosts()
        .get(&HostName::new(&format!("vm-{host:06}")));
    let bookings = host.map(|host| host.allocations.iter());
    let bookings = bookings.into_iter().flatten();
    bookings
        .map(|(task, booking)| (*task, booking.attempt))
        .collect()
}

/// The longest passes of a leader while half of its machines, all of them busy, are cut off: in the
/// minute before the first is given up, and while they are.
struct CutMeasured {
    before: Duration,
    displacing: Duration,
    given_up: usize,
}

fn measure_cut(machines: u64) -> CutMeasured {
    let settings = Settings::parse(SETTINGS).expect("the settings here");
    let features = Features::parse("zones: {enabled: true}").expect("the features here");
    let rules = Policy::new(&settings.settings, &Tuning::default(), &features);
    let mut now = Time(0);
    let mut c = Leader::new(TERM, Version(1), rules, vec![kind()], now);
    c.set_lease_valid_until(Time(u64::MAX));
    c.on_zones_record_read(None, now);
    c.on_loaded(now);
    let mut measured = CutMeasured {
        before: Duration::ZERO,
        displacing: Duration::ZERO,
        given_up: 0,
    };
    let fit = (CPUS / TASK_CPUS) as u64 * machines;
    for number in 0..fit / TASKS_PER_JOB {
        c.on_job(job(number + 1), Version(number + 10));
    }
    for round in 0..CUT_ROUNDS {
        now = now.after(Duration::from_secs(3));
        let cut = round >= ROUNDS;
        for host in (0..machines).filter(|host| !cut || zone_of(*host) != CUT_ZONE) {
            let report = report(host, round + 1, &bookings(&c, host));
            c.on_heartbeat(&report, now).expect("its term");
        }
        if !cut {
            place_all(&mut c, &mut now);
            continue;
        }
        let reach = [
            ("a", ControllerReach::Reachable),
            (CUT_ZONE, ControllerReach::Unreachable),
        ];
        let controllers = reach.map(|(zone, reach)| (zone.to_owned(), reach)).into();
        c.set_controller_reach(Vec::new(), controllers);
        let began = Instant::now();
        c.tick(now, now.0);
        let pass = began.elapsed();
        let releases = c.take_actions().into_iter();
        let given_up: usize = releases
            .map(|action| match action {
                Action::ScaleIn(hosts) => hosts.len(),
                _ => 0,
            })
            .sum();
        measured.given_up += given_up;
        let longest = if measured.given_up > 0 {
            &mut measured.displacing
        } else {
            &mut measured.before
        };
        *longest = pass.max(*longest);
    }
    measured
}

struct Measured {
    report: Duration,
    placement: Duration,
    idle_pass: Duration,
}

fn measure(machines: u64) -> Measured {
    let settings = Settings::parse(SETTINGS).expect("the settings here");
    let rules = Policy::new(&settings.settings, &Tuning::default(), &Features::default());
    let mut now = Time(0);
    let mut c = Leader::new(TERM, Version(1), rules, vec![kind()], now);
    c.set_lease_valid_until(Time(u64::MAX));
    c.on_loaded(now);
    let mut reports = Duration::ZERO;
    let mut placements = Duration::ZERO;
    for round in 0..ROUNDS {
        now = now.after(Duration::from_secs(3));
        let all: Vec<WorkerHeartbeat> = (0..machines)
            .map(|host| report(host, round + 1, &bookings(&c, host)))
            .collect();
        let began = Instant::now();
        for report in &all {
            c.on_heartbeat(report, now).expect("its term");
        }
        reports += began.elapsed();
        if round == 1 {
            let fit = (CPUS / TASK_CPUS) as u64 * machines;
            for number in 0..fit / TASKS_PER_JOB {
                c.on_job(job(number + 1), Version(number + 10));
            }
        }
        // Until all fits: a pass books so many tasks at the most.
        let began = Instant::now();
        place_all(&mut c, &mut now);
        placements += began.elapsed();
    }
    let booked: usize = c
        .cluster()
        .hosts()
        .values()
        .map(|host| host.allocations.len())
        .sum();
    let began = Instant::now();
    c.tick(now.after(Duration::from_secs(1)), 0);
    let idle_pass = began.elapsed();
    Measured {
        report: reports / (ROUNDS * machines) as u32,
        placement: placements / booked.max(1) as u32,
        idle_pass,
    }
}

fn place_all(c: &mut Leader, now: &mut Time) {
    for _ in 0..machines_passes() {
        c.tick(*now, now.0);
        let mut wrote = false;
        while let Some(txn) = c.next_batch(16, true) {
            wrote = !txn.changes.is_empty();
            let outcome = Outcome::Committed(Version(now.0 + 100));
            c.on_batch_outcome(outcome, *now).expect("its term");
        }
        let commands = c.take_actions();
        for action in commands {
            if let Action::SendCommands {
                host,
                incarnation,
                commands: orders,
                ..
            } = action
            {
                let result = lichencrank::coordination::CommandResult::NotAttempted;
                let _ = c.on_command_result(&host, incarnation, &orders, result, *now);
            }
        }
        if !wrote {
            return;
        }
        *now = now.after(Duration::from_millis(1));
    }
}

/// More passes than the largest fleet needs.
fn machines_passes() -> u32 {
    400
}

fn main() {
    println!("machines  per report  per placement  a pass with nothing to place");
    for machines in FLEETS {
        let Measured {
            report,
            placement,
            idle_pass,
        } = measure(machines);
        println!("{machines:>8}  {report:>10.2?}  {placement:>13.2?}  {idle_pass:>10.2?}");
    }
    println!("half cut  longest pass before, while giving up  given up");
    for machines in FLEETS {
        let CutMeasured {
            before,
            displacing,
            given_up,
        } = measure_cut(machines);
        println!("{machines:>8}  {before:>10.2?}  {displacing:>10.2?}  {given_up:>8}");
    }
}
