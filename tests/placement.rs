//! Guards the candidate index of a placement pass: it has to choose the same host as a full scan of all hosts, which
//! prefers a host without a sibling, that is another task of the job, then the highest score, then the first name.

mod fixtures;

use std::collections::{BTreeMap, BTreeSet};

use lichencrank::coordination::resources::Resources;
use lichencrank::coordination::scheduling::scoring::{capacity, headroom_score};
use lichencrank::coordination::{Leader, Policy};
use lichencrank::protocol::cloud::MachineType;
use lichencrank::protocol::users::{JobKind, JobSpec, Priority};
use lichencrank::protocol::workers::WorkerHeartbeat;
use lichencrank::protocol::Amount;
use lichencrank::storage::records::JobRecord;
use lichencrank::types::{HostName, Incarnation, JobId, SequenceNumber, Term, Time, Version};

const TERM: Term = Term(3);

fn machine_types() -> Vec<MachineType> {
    let machine_type = |name: &str, cpus: f64, memory_gb: f64| MachineType {
        name: name.into(),
        cpus: Amount(cpus),
        gpus: Amount(0.0),
        memory_gb: Amount(memory_gb),
        image_cache_gb: Amount(50.0),
        image_fetch_gb_per_s: Amount(1.0),
        on_demand_price_per_hour: Amount(cpus),
        spot_price_per_hour: Amount(cpus / 3.0),
        boot_time_s: Amount(30.0),
        zones: vec!["a".into(), "b".into()],
    };
    vec![
        machine_type("small", 4.0, 16.0),
        machine_type("wide", 16.0, 32.0),
        machine_type("deep", 8.0, 128.0),
    ]
}

/// A host as the test knows it, independent of the leader.
struct HostModel {
    type_index: usize,
    zone: &'static str,
    is_spot: bool,
    allocated: Resources,
}

fn policy() -> Policy {
    Policy {
        max_probes_in_flight: 4,
        max_commands_in_flight: 1000,
        max_queued_records_per_priority: 10_000,
        ..fixtures::policy()
    }
}

fn random_spec(id: JobId, random: &mut fastrand::Rng) -> JobSpec {
    JobSpec {
        id,
        class: "work".into(),
        team: "open".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        task_count: random.u64(1..40),
        cpus: Amount(f64::from(random.u32(2..=16)) / 2.0),
        gpus: Amount(0.0),
        memory_gb: Amount(f64::from(random.u32(1..=32))),
        image: "img".into(),
        image_gb: Amount(1.0),
        allowed_machine_types: random
            .bool()
            .then(|| vec!["small".into(), "wide".into(), "deep".into()]),
        required_zone: (random.u32(0..4) == 0).then(|| "b".into()),
        same_zone: false,
        spread: false,
        allows_spot: random.u32(0..4) > 0,
        estimated_run_time_s: Amount(30.0),
        checkpoint_interval_s: Amount(0.0),
        save_time_s: Amount(0.0),
        deadline_s: None,
    }
}

/// Chooses a host by a full scan of all hosts.
fn choose_by_full_scan(
    spec: &JobSpec,
    machine_types: &[MachineType],
    hosts: &BTreeMap<HostName, HostModel>,
    hosts_with_siblings: &BTreeSet<HostName>,
) -> Option<HostName> {
    let task_resources = Resources {
        cpus: spec.cpus.0,
        gpus: 0.0,
        memory_gb: spec.memory_gb.0,
    };
    let mut best: Option<(bool, f64, &HostName)> = None;
    for (name, host) in hosts {
        let host_capacity = capacity(&machine_types[host.type_index]);
        let is_in_zone = spec
            .required_zone
            .as_ref()
            .is_none_or(|zone| zone == host.zone);
        if !task_resources.fits(&host_capacity.saturating_sub(&host.allocated))
            || !is_in_zone
            || (host.is_spot && !spec.allows_spot)
        {
            continue;
        }
        let has_no_sibling = !hosts_with_siblings.contains(name);
        let score = headroom_score(&host_capacity, &host.allocated, false);
        if best.is_none_or(|(best_has_no_sibling, best_score, _)| {
            (has_no_sibling, score) > (best_has_no_sibling, best_score)
        }) {
            best = Some((has_no_sibling, score, name));
        }
    }
    best.map(|(_, _, name)| name.clone())
}

#[test]
fn a_pass_chooses_the_same_hosts_as_a_full_scan() {
    let mut placed_count = 0;
    for seed in 0..40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut leader = Leader::new(TERM, Version(1), policy(), machine_types(), Time(0));
        leader.on_loaded(Time(0));
        leader.tick(Time(5000), 5000);
        let mut hosts = BTreeMap::new();
        for number in 0..random.u32(1..60) {
            let name = HostName::new(&format!("vm-{number:04}"));
            let type_index = random.usize(0..3);
            let model = HostModel {
                type_index,
                zone: if random.bool() { "a" } else { "b" },
                is_spot: random.bool(),
                allocated: Resources::default(),
            };
            let heartbeat = WorkerHeartbeat {
                host: name.clone(),
                address: "127.0.0.1:9000".into(),
                machine_type: machine_types()[type_index].name.clone(),
                zone: model.zone.into(),
                is_spot: model.is_spot,
                incarnation: Incarnation(1),
                sequence_number: SequenceNumber(1),
                fencing_token: TERM,
                reclaim_notice_s: None,
                attempts: Vec::new(),
            };
            leader
                .on_heartbeat(&heartbeat, Time(5000))
                .expect("the heartbeat has the term of the leader");
            hosts.insert(name, model);
        }
        // Each job fits at least two types, and all jobs are placed in one pass, so that no type is scarce and no host is
        // cordoned as surplus.
        let mut records = Vec::new();
        for number in 0..8 {
            let id = JobId(number);
            let record = JobRecord {
                spec: random_spec(id, &mut random),
                submitted_at_ms: 5000,
                tasks_per_record: 16,
            };
            leader.on_job_record(record.clone(), Version(10 + number));
            records.push(record);
        }
        leader.set_lease_valid_until(Time(u64::MAX));
        leader.tick(Time(5000), 5000);
        for record in records {
            let id = record.spec.id;
            let mut hosts_with_siblings = BTreeSet::new();
            for index in 0..record.spec.task_count {
                let expected_host = choose_by_full_scan(
                    &record.spec,
                    &machine_types(),
                    &hosts,
                    &hosts_with_siblings,
                );
                let task = lichencrank::types::TaskId {
                    job: id,
                    index: index as u32,
                };
                let chosen_host = leader
                    .cluster()
                    .hosts()
                    .values()
                    .find(|host| host.allocations.contains_key(&task));
                let chosen_host = chosen_host.map(|host| host.name.clone());
                assert_eq!(chosen_host, expected_host, "seed {seed}, {task}");
                let Some(name) = chosen_host else { break };
                let model = hosts
                    .get_mut(&name)
                    .expect("the host was added by the test");
                model.allocated.add(&Resources {
                    cpus: record.spec.cpus.0,
                    gpus: 0.0,
                    memory_gb: record.spec.memory_gb.0,
                });
                hosts_with_siblings.insert(name);
                placed_count += 1;
            }
        }
    }
    assert!(placed_count > 500, "only {placed_count} tasks were placed");
}
