//! The real binary with team limits in allowances: three controllers on loopback, beside a program that embeds the quota
//! package.

mod loopback;

use std::process::Command;
use std::time::Duration;

use lichencrank_quota::{
    AdmissionId, AdmissionRequest, BlockingQuotaClient, ClientConfig, ClientName, Ledger, Priority,
    QuotaEvent, RequesterName, ResourceVector, TeamName,
};
use lichencrank_store::{BlockingClient, StoreLimits};
use lichencrank_testkit::http::call;
use loopback::users::{job_body, poll};
use loopback::{eventually, Cluster, ClusterConfig};

const STORE_TIMEOUT: Duration = Duration::from_secs(10);
const LIMIT: u64 = 8;

fn embedder(cluster: &Cluster) -> BlockingQuotaClient<BlockingClient> {
    let config = ClientConfig {
        name: ClientName::new("depot-tool"),
        store_limits: StoreLimits {
            max_value_bytes: 16 * 1024,
            max_changes: 16,
            requests_per_second: 500.0,
            changes_per_second: 300.0,
        },
        expected_clients: 2,
        refresh_interval: Duration::from_millis(100),
        idle_return_after: Duration::from_millis(300),
        reconfirm_after: STORE_TIMEOUT,
    };
    BlockingQuotaClient::new(config, BlockingClient::new(cluster.store, STORE_TIMEOUT))
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
fn lent(cluster: &Cluster) -> Option<ResourceVector> {
    let mut store = BlockingClient::new(cluster.store, STORE_TIMEOUT);
    let ledger = Ledger::read(&mut store).ok()?;
    let team = ledger.teams.get(&TeamName::new("vision"))?;
    assert!(
        team.total_granted().cpus <= ResourceVector::from_cpus(LIMIT).cpus,
        "{team:?}"
    );
    Some(team.total_granted())
}

fn report(cluster: &Cluster) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_lichencrank"))
        .args(["quota", "--config"])
        .arg(cluster.controllers[0].settings_file())
        .output()
        .expect("the program runs");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn submit(cluster: &Cluster, id: &str, tasks: u64) {
    eventually("a submission is answered", || {
        let body = job_body(id, tasks, None);
        let mut controllers = cluster.addresses().into_iter();
        let answer = controllers.find_map(|to| call(to, "POST", "/api/jobs", &body));
        answer.filter(|answer| matches!(answer.status, 200 | 201))
    });
}

fn wait_for_done(cluster: &Cluster, id: &str) {
    eventually("the job is done", || {
        lent(cluster);
        let status = poll(cluster.addresses()[1], id)?;
        (status.state == "done").then_some(())
    });
}

/// The daemon's jobs and the admissions of an embedding program share a team's limit; the leader ends in
/// between; the report shows both, and that all totals agree.
#[test]
fn the_daemon_and_an_embedding_program_share_a_limit() {
    let config = ClusterConfig {
        team_limit_cpus: LIMIT as f64,
        features: Some("quota: {enabled: true}"),
    };
    let mut cluster = Cluster::start_with("quota", config);
    submit(&cluster, "job-000001", 24);
    eventually("a leader has brought the limit in", || lent(&cluster));
    let mut quota = embedder(&cluster);
    for sequence in 0..2 {
        quota.request(admission(sequence));
    }
    let mut admitted = Vec::new();
    while admitted.len() < 2 {
        lent(&cluster);
        for event in quota.step() {
            if let QuotaEvent::Admitted(id) = event {
                admitted.push(id);
            }
        }
    }
    let shown = report(&cluster);
    assert!(shown.contains("team vision: uses"), "{shown}");
    assert!(
        shown.contains("depot-tool: 4 CPUs charged of 4 CPUs"),
        "{shown}"
    );
    cluster.controllers[0].restart();
    wait_for_done(&cluster, "job-000001");
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
    submit(&cluster, "job-000002", 12);
    wait_for_done(&cluster, "job-000002");
    let shown = report(&cluster);
    assert!(shown.contains("audit: all totals agree"), "{shown}");
}
