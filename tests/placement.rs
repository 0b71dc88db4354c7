//! The index that a pass keeps of open machines must choose what the design's plain rule chooses:
//! among the eligible machines one without a sibling task first, then the highest score, then the
//! first name.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lichencrank::coordination::resources::Resources;
use lichencrank::coordination::scheduling::scoring::{capacity, headroom_score};
use lichencrank::coordination::{Leader, Policy};
use lichencrank::protocol::cloud::MachineType;
use lichencrank::protocol::users::{JobKind, JobSpec, Priority};
use lichencrank::protocol::workers::WorkerHeartbeat;
use lichencrank::protocol::Amount;
use lichencrank::settings::{Team, Tuning};
use lichencrank::storage::records::JobRecord;
use lichencrank::types::{HostName, Incarnation, JobId, SequenceNumber, Term, Time, Version};

const TERM: Term = Term(3);

fn types() -> Vec<MachineType> {
    let kind = |name: &str, cpus: f64, memory: f64| MachineType {
        name: name.into(),
        cpus: Amount(cpus),
        gpus: Amount(0.0),
        memory_gb: Amount(memory),
        cache_gb: Amount(50.0),
        fetch_gb_per_s: Amount(1.0),
        on_demand_price: Amount(cpus),
        spot_price: Amount(cpus / 3.0),
        boot_s: Amount(30.0),
        zones: vec!["a".into(), "b".into()],
    };
    vec![
        kind("small", 4.0, 16.0),
        kind("wide", 16.0, 32.0),
        kind("deep", 8.0, 128.0),
    ]
}

/// What the test knows of a machine, apart from the controller.
struct Model {
    kind: usize,
    zone: &'static str,
    spot: bool,
    used: Resources,
}

fn rules() -> Policy {
    Policy {
        heartbeat_interval: Duration::from_secs(3),
        worker_lease: Duration::from_secs(16),
        cancellation_timeout: Duration::from_secs(40),
        max_host_list_lag: Duration::from_secs(10),
        tasks_per_record: 16,
        max_probes_in_flight: 4,
        max_commands_in_flight: 1000,
        max_queued_records_per_priority: 10_000,
        max_value_bytes: 16 * 1024,
        max_txn_changes: 16,
        quota: None,
        zones: None,
        wait_objectives_s: Vec::new(),
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

fn spec(id: JobId, random: &mut fastrand::Rng) -> JobSpec {
    JobSpec {
        id,
        class: "work".into(),
        team: "open".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: random.u64(1..40),
        cpus: Amount(f64::from(random.u32(2..=16)) / 2.0),
        gpus: Amount(0.0),
        memory_gb: Amount(f64::from(random.u32(1..=32))),
        image: "img".into(),
        image_gb: Amount(1.0),
        machine_types: random
            .bool()
            .then(|| vec!["small".into(), "wide".into(), "deep".into()]),
        zone: (random.u32(0..4) == 0).then(|| "b".into()),
        same_zone: false,
        spread: false,
        spot: random.u32(0..4) > 0,
        estimate_s: Amount(30.0),
        checkpoint_s: Amount(0.0),
        save_s: Amount(0.0),
        deadline_s: None,
    }
}

/// The plain scan over all machines, written down as the design says it.
fn plain(
    spec: &JobSpec,
    types: &[MachineType],
    machines: &BTreeMap<HostName, Model>,
    siblings: &BTreeSet<HostName>,
) -> Option<HostName> {
    let need = Resources {
        cpus: spec.cpus.0,
        gpus: 0.0,
        memory_gb: spec.memory_gb.0,
    };
    let mut best: Option<(bool, f64, &HostName)> = None;
    for (name, m) in machines {
        let whole = capacity(&types[m.kind]);
        let in_zone = spec.zone.as_ref().is_none_or(|z| z == m.zone);
        if !need.fits(&whole.saturating_sub(&m.used)) || !in_zone || (m.spot && !spec.spot) {
            continue;
        }
        let alone = !siblings.contains(name);
        let score = headroom_score(&whole, &m.used, false);
        if best.is_none_or(|(a, s, _)| (alone, score) > (a, s)) {
            best = Some((alone, score, name));
        }
    }
    best.map(|(_, _, name)| name.clone())
}

#[test]
fn the_index_chooses_what_a_plain_scan_chooses() {
    let mut placed = 0;
    for seed in 0..40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut c = Leader::new(TERM, Version(1), rules(), types(), Time(0));
        c.on_loaded(Time(0));
        c.tick(Time(5000), 5000);
        let mut machines = BTreeMap::new();
        for number in 0..random.u32(1..60) {
            let name = HostName::new(&format!("vm-{number:04}"));
            let kind = random.usize(0..3);
            let model = Model {
                kind,
                zone: if random.bool() { "a" } else { "b" },
                spot: random.bool(),
                used: Resources::default(),
            };
            let report = WorkerHeartbeat {
                host: name.clone(),
                address: "127.0.0.1:9000".into(),
                machine_type: types()[kind].name.clone(),
                zone: model.zone.into(),
                spot: model.spot,
                incarnation: Incarnation(1),
                sequence: SequenceNumber(1),
                fencing_token: TERM,
                notice_s: None,
                tasks: Vec::new(),
            };
            c.on_heartbeat(&report, Time(5000)).expect("our own term");
            machines.insert(name, model);
        }
        // Each job fits at least two types, and all are placed in one pass, so that the exceptions for
        // scarce types and surplus machines stay out of it.
        let mut records = Vec::new();
        for number in 0..8 {
            let id = JobId(number);
            let record = JobRecord {
                spec: spec(id, &mut random),
                submitted_at_ms: 5000,
                tasks_per_record: 16,
            };
            c.on_job(record.clone(), Version(10 + number));
            records.push(record);
        }
        c.set_lease_valid_until(Time(u64::MAX));
        c.tick(Time(5000), 5000);
        for record in records {
            let id = record.spec.id;
            let mut siblings = BTreeSet::new();
            for index in 0..record.spec.tasks {
                let expected = plain(&record.spec, &types(), &machines, &siblings);
                let task = lichencrank::types::TaskId {
                    job: id,
                    index: index as u32,
                };
                let chosen = c
                    .cluster()
                    .hosts()
                    .values()
                    .find(|h| h.allocations.contains_key(&task));
                let chosen = chosen.map(|h| h.name.clone());
                assert_eq!(chosen, expected, "seed {seed}, {task}");
                let Some(name) = chosen else { break };
                let model = machines.get_mut(&name).expect("a machine of the test");
                model.used.add(&Resources {
                    cpus: record.spec.cpus.0,
                    gpus: 0.0,
                    memory_gb: record.spec.memory_gb.0,
                });
                siblings.insert(name);
                placed += 1;
            }
        }
    }
    assert!(placed > 500, "only {placed} tasks were placed");
}
