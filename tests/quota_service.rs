//! The real binary with team limits in allowances, three nodes on loopback, beside a program that embeds
//! the library.

mod standin;

use std::process::Command;
use std::time::Duration;

use ciborium::Value;
use lichencrank::protocol::encode;
use lichencrank_quota::{
    AdmissionId, AdmissionRequest, BlockingQuotaClient, ClientConfig, ClientName, Ledger, Priority,
    QuotaEvent, RequesterName, ResourceVector, TeamName,
};
use lichencrank_store::{BlockingClient, StoreLimits};
use standin::{call, eventually, map, text, Setup, World};

const PATIENCE: Duration = Duration::from_secs(10);
const LIMIT: u64 = 8;

fn job(id: &str, tasks: u64) -> Vec<u8> {
    encode(&map(vec![
        ("ref", id.into()),
        ("jobclass", "train".into()),
        ("crew", "vision".into()),
        ("shape", "sweep".into()),
        ("urgency", "normal".into()),
        ("pieces", tasks.into()),
        ("cpus", 1.0.into()),
        ("cards", 0.0.into()),
        ("ramGb", 1.0.into()),
        ("bundle", "img".into()),
        ("imageGb", 0.1.into()),
        ("hosttypes", Value::Null),
        ("samePlace", false.into()),
        ("apart", false.into()),
        ("loaners", true.into()),
        ("guessS", 1.0.into()),
        ("snapshotS", 0.0.into()),
        ("stashS", 0.0.into()),
        ("dueS", Value::Null),
    ]))
}

fn embedder(world: &World) -> BlockingQuotaClient<BlockingClient> {
    let config = ClientConfig {
        name: ClientName::new("depot-tool"),
        store_limits: StoreLimits {
            value_bytes: 16 * 1024,
            changes: 16,
            requests_per_second: 500.0,
            changes_per_second: 300.0,
        },
        expected_clients: 2,
        refresh_interval: Duration::from_millis(100),
        idle_return_after: Duration::from_millis(300),
        reconfirm_after: PATIENCE,
    };
    BlockingQuotaClient::new(config, BlockingClient::new(world.state, PATIENCE))
}

fn admission(sequence: u32) -> AdmissionRequest {
    AdmissionRequest {
        id: AdmissionId {
            team: TeamName::new("vision"),
            requester: RequesterName::new("depot"),
            sequence,
        },
        usage: ResourceVector::from_cpus(2),
        priority: Priority::Normal,
    }
}

/// What is lent to all together, once a leader has brought the team's record in.
fn lent(world: &World) -> Option<ResourceVector> {
    let mut store = BlockingClient::new(world.state, PATIENCE);
    let ledger = Ledger::read(&mut store).ok()?;
    let team = ledger.teams.get(&TeamName::new("vision"))?;
    assert!(
        team.total_granted().cpus <= ResourceVector::from_cpus(LIMIT).cpus,
        "{team:?}"
    );
    Some(team.total_granted())
}

fn report(world: &World) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_lichencrank"))
        .args(["quota", "--config"])
        .arg(&world.nodes[0].settings)
        .output()
        .expect("the program runs");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn submit(world: &World, id: &str, tasks: u64) {
    eventually("a submission is answered", || {
        let mut fronts = world.nodes.iter().map(|node| node.front);
        let answer = fronts.find_map(|to| call(to, "POST", "/api/jobs", &job(id, tasks)));
        answer.filter(|answer| matches!(answer.status, 200 | 201))
    });
}

fn wait_for_done(world: &World, id: &str) {
    eventually("the job is done", || {
        lent(world);
        let target = format!("/api/jobs/{id}");
        let answer = call(world.nodes[1].front, "GET", &target, &[])?;
        (text(&answer.body, "status") == "done").then_some(())
    });
}

/// The daemon's jobs and the admissions of an embedding program share a team's limit; the leader ends in
/// between; the report shows both, and that all totals agree.
#[test]
fn the_daemon_and_an_embedding_program_share_a_limit() {
    let setup = Setup {
        limit: LIMIT as f64,
        features: Some("quota: {enabled: true}"),
    };
    let mut world = World::start_with("quota", setup);
    submit(&world, "job-000001", 24);
    eventually("a leader has brought the limit in", || lent(&world));
    let mut quota = embedder(&world);
    for sequence in 0..2 {
        quota.request(admission(sequence));
    }
    let mut admitted = Vec::new();
    while admitted.len() < 2 {
        lent(&world);
        for event in quota.step() {
            if let QuotaEvent::Admitted(id) = event {
                admitted.push(id);
            }
        }
    }
    let shown = report(&world);
    assert!(shown.contains("team vision: uses"), "{shown}");
    assert!(
        shown.contains("depot-tool: 4 CPUs charged of 4 CPUs"),
        "{shown}"
    );
    world.nodes[0].kill();
    world.nodes[0].start();
    wait_for_done(&world, "job-000001");
    for id in admitted {
        quota.release(id);
    }
    let mut released = 0;
    while released < 2 {
        let events = quota.step();
        released += events
            .iter()
            .filter(|d| matches!(d, QuotaEvent::Released(_)))
            .count();
    }
    submit(&world, "job-000002", 12);
    wait_for_done(&world, "job-000002");
    let shown = report(&world);
    assert!(shown.contains("audit: all totals agree"), "{shown}");
}
