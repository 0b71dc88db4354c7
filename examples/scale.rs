//! Measures the leader's processor time per heartbeat, per placed task and per tick at several cluster sizes, and its
//! longest tick while half of the hosts are cut off: `cargo run --release --example scale`. The figures are in
//! `docs/results.md`.

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

/// Numbers of hosts to measure with.
const CLUSTER_SIZES: [u64; 3] = [100, 1000, 4000];
const TERM: Term = Term(3);
const HOST_CPUS: f64 = 8.0;
const TASK_CPUS: f64 = 2.0;
const TASKS_PER_JOB: u64 = 20;
const HEARTBEAT_ROUNDS: u64 = 10;
/// Rounds of heartbeats until well after the first hosts of the partitioned zone are released.
const PARTITION_ROUNDS: u64 = HEARTBEAT_ROUNDS + 70;
const PARTITIONED_ZONE: &str = "b";
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

fn machine_type() -> MachineType {
    MachineType {
        name: "c8".into(),
        cpus: Amount(HOST_CPUS),
        gpus: Amount(0.0),
        memory_gb: Amount(32.0),
        image_cache_gb: Amount(50.0),
        image_fetch_gb_per_s: Amount(1.0),
        on_demand_price_per_hour: Amount(1.0),
        spot_price_per_hour: Amount(0.3),
        boot_time_s: Amount(30.0),
        zones: vec!["a".into(), PARTITIONED_ZONE.into()],
    }
}

fn job_record(number: u64) -> JobRecord {
    JobRecord {
        spec: JobSpec {
            id: JobId(number),
            class: "any".into(),
            team: "t".into(),
            kind: JobKind::Array,
            priority: Priority::Normal,
            task_count: TASKS_PER_JOB,
            cpus: Amount(TASK_CPUS),
            gpus: Amount(0.0),
            memory_gb: Amount(1.0),
            image: "img".into(),
            image_gb: Amount(0.5),
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
        tasks_per_record: records::tasks_per_record(16.0),
    }
}

/// The zone of a host. Every other host is in the zone that [`measure_partition`] cuts off.
fn zone_of(host: u64) -> &'static str {
    if host % 2 == 0 {
        "a"
    } else {
        PARTITIONED_ZONE
    }
}

fn heartbeat(host: u64, sequence: u64, tasks: &[(TaskId, Attempt)]) -> WorkerHeartbeat {
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
        is_spot: true,
        incarnation: Incarnation(1),
        sequence_number: SequenceNumber(sequence),
        fencing_token: TERM,
        reclaim_notice_s: None,
        attempts: tasks.collect(),
    }
}

/// The tasks that the leader has allocated to the host, with their attempts.
fn allocated_attempts(leader: &Leader, host: u64) -> Vec<(TaskId, Attempt)> {
    let host = leader
        .cluster()
        .hosts()
        .get(&HostName::new(&format!("vm-{host:06}")));
    let allocations = host.map(|host| host.allocations.iter());
    let allocations = allocations.into_iter().flatten();
    allocations
        .map(|(task, allocation)| (*task, allocation.attempt))
        .collect()
}

/// The longest ticks of a leader while half of its hosts, all of them busy, are cut off.
struct PartitionMeasurement {
    /// The longest tick in the minute before the first host is released.
    max_tick_before: Duration,
    /// The longest tick from then on.
    max_tick_releasing: Duration,
    released_count: usize,
}

/// Measures a cluster that loses [`PARTITIONED_ZONE`] after [`HEARTBEAT_ROUNDS`].
fn measure_partition(host_count: u64) -> PartitionMeasurement {
    let settings = Settings::parse(SETTINGS).expect("valid settings");
    let features = Features::parse("zones: {enabled: true}").expect("valid features");
    let policy = Policy::new(&settings.shared, &Tuning::default(), &features);
    let mut now = Time(0);
    let mut leader = Leader::new(TERM, Version(1), policy, vec![machine_type()], now);
    leader.set_lease_valid_until(Time(u64::MAX));
    leader.on_zones_record_read(None, now);
    leader.on_loaded(now);
    let mut measured = PartitionMeasurement {
        max_tick_before: Duration::ZERO,
        max_tick_releasing: Duration::ZERO,
        released_count: 0,
    };
    let task_capacity = (HOST_CPUS / TASK_CPUS) as u64 * host_count;
    for number in 0..task_capacity / TASKS_PER_JOB {
        leader.on_job_record(job_record(number + 1), Version(number + 10));
    }
    for round in 0..PARTITION_ROUNDS {
        now = now.after(Duration::from_secs(3));
        let is_partitioned = round >= HEARTBEAT_ROUNDS;
        for host in
            (0..host_count).filter(|host| !is_partitioned || zone_of(*host) != PARTITIONED_ZONE)
        {
            let heartbeat = heartbeat(host, round + 1, &allocated_attempts(&leader, host));
            leader
                .on_heartbeat(&heartbeat, now)
                .expect("no newer leader");
        }
        if !is_partitioned {
            place_all_tasks(&mut leader, &mut now);
            continue;
        }
        let reach_by_zone = [
            ("a", ControllerReach::Reachable),
            (PARTITIONED_ZONE, ControllerReach::Unreachable),
        ];
        let controllers = reach_by_zone
            .map(|(zone, reach)| (zone.to_owned(), reach))
            .into();
        leader.set_controller_reach(Vec::new(), controllers);
        let started_at = Instant::now();
        leader.tick(now, now.0);
        let tick_time = started_at.elapsed();
        let actions = leader.take_actions().into_iter();
        let released_count: usize = actions
            .map(|action| match action {
                Action::ScaleIn(hosts) => hosts.len(),
                _ => 0,
            })
            .sum();
        measured.released_count += released_count;
        let max_tick = if measured.released_count > 0 {
            &mut measured.max_tick_releasing
        } else {
            &mut measured.max_tick_before
        };
        *max_tick = tick_time.max(*max_tick);
    }
    measured
}

struct Measurement {
    per_heartbeat: Duration,
    per_placement: Duration,
    /// A tick without a task to place.
    idle_tick: Duration,
}

/// Measures a cluster that is filled with tasks in the second round of heartbeats.
fn measure(host_count: u64) -> Measurement {
    let settings = Settings::parse(SETTINGS).expect("valid settings");
    let policy = Policy::new(&settings.shared, &Tuning::default(), &Features::default());
    let mut now = Time(0);
    let mut leader = Leader::new(TERM, Version(1), policy, vec![machine_type()], now);
    leader.set_lease_valid_until(Time(u64::MAX));
    leader.on_loaded(now);
    let mut heartbeat_time = Duration::ZERO;
    let mut placement_time = Duration::ZERO;
    for round in 0..HEARTBEAT_ROUNDS {
        now = now.after(Duration::from_secs(3));
        let heartbeats: Vec<WorkerHeartbeat> = (0..host_count)
            .map(|host| heartbeat(host, round + 1, &allocated_attempts(&leader, host)))
            .collect();
        let started_at = Instant::now();
        for heartbeat in &heartbeats {
            leader
                .on_heartbeat(heartbeat, now)
                .expect("no newer leader");
        }
        heartbeat_time += started_at.elapsed();
        if round == 1 {
            let task_capacity = (HOST_CPUS / TASK_CPUS) as u64 * host_count;
            for number in 0..task_capacity / TASKS_PER_JOB {
                leader.on_job_record(job_record(number + 1), Version(number + 10));
            }
        }
        // Takes several ticks until all tasks are placed, as one tick allocates only a limited number of them.
        let started_at = Instant::now();
        place_all_tasks(&mut leader, &mut now);
        placement_time += started_at.elapsed();
    }
    let allocated_count: usize = leader
        .cluster()
        .hosts()
        .values()
        .map(|host| host.allocations.len())
        .sum();
    let started_at = Instant::now();
    leader.tick(now.after(Duration::from_secs(1)), 0);
    let idle_tick = started_at.elapsed();
    Measurement {
        per_heartbeat: heartbeat_time / (HEARTBEAT_ROUNDS * host_count) as u32,
        per_placement: placement_time / allocated_count.max(1) as u32,
        idle_tick,
    }
}

/// Ticks until the leader writes no more records. Each batch of records is committed at once, and each command to a
/// worker is reported as not attempted.
fn place_all_tasks(leader: &mut Leader, now: &mut Time) {
    for _ in 0..max_placement_ticks() {
        leader.tick(*now, now.0);
        let mut has_written = false;
        while let Some(txn) = leader.next_batch(16, true) {
            has_written = !txn.changes.is_empty();
            let outcome = Outcome::Committed(Version(now.0 + 100));
            leader
                .on_batch_outcome(outcome, *now)
                .expect("no newer leader");
        }
        let actions = leader.take_actions();
        for action in actions {
            if let Action::SendCommands {
                host,
                incarnation,
                commands,
                ..
            } = action
            {
                let result = lichencrank::coordination::CommandResult::NotAttempted;
                let _ = leader.on_command_result(&host, incarnation, &commands, result, *now);
            }
        }
        if !has_written {
            return;
        }
        *now = now.after(Duration::from_millis(1));
    }
}

/// More ticks than it takes to place all tasks on the largest cluster.
fn max_placement_ticks() -> u32 {
    400
}

fn main() {
    println!("   hosts  per heartbeat  per placement  tick with nothing to place");
    for host_count in CLUSTER_SIZES {
        let Measurement {
            per_heartbeat,
            per_placement,
            idle_tick,
        } = measure(host_count);
        println!(
            "{host_count:>8}  {per_heartbeat:>13.2?}  {per_placement:>13.2?}  {idle_tick:>10.2?}"
        );
    }
    println!("   hosts  max tick before  max tick releasing  hosts released");
    for host_count in CLUSTER_SIZES {
        let PartitionMeasurement {
            max_tick_before,
            max_tick_releasing,
            released_count,
        } = measure_partition(host_count);
        println!(
            "{host_count:>8}  {max_tick_before:>15.2?}  {max_tick_releasing:>18.2?}  {released_count:>14}");
    }
}
