//! Tests of the real binary with the quota feature: three controller processes on loopback, beside a program that
//! embeds the quota crate.

mod loopback;

use std::process::Command;
use std::time::Duration;

use lichencrank_quota::{
    AdmissionId, AdmissionRequest, BlockingQuotaClient, ClientConfig, ClientName, Ledger, Priority,
    QuotaEvent, RequesterName, ResourceVector, TeamName,
};
use lichencrank_store::{BlockingClient, StoreLimits};
use lichencrank_testkit::http::call;
use loopback::users::{job_body, query_status};
use loopback::{wait_for, Cluster, ClusterConfig};

const STORE_TIMEOUT: Duration = Duration::from_secs(10);
/// CPUs that team `vision` may use at most.
const TEAM_LIMIT_CPUS: u64 = 8;

/// The quota client of the embedding program.
fn new_quota_client(cluster: &Cluster) -> BlockingQuotaClient<BlockingClient> {
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

/// An admission request of the embedding program, for two CPUs.
fn admission_request(sequence: u32) -> AdmissionRequest {
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

/// What is granted to all clients together, which must not exceed the team's limit. `None` until a leader has created
/// the team's record.
fn check_total_granted(cluster: &Cluster) -> Option<ResourceVector> {
    let mut store = BlockingClient::new(cluster.store, STORE_TIMEOUT);
    let ledger = Ledger::read(&mut store).ok()?;
    let team = ledger.teams.get(&TeamName::new("vision"))?;
    assert!(
        team.total_granted().cpus <= ResourceVector::from_cpus(TEAM_LIMIT_CPUS).cpus,
        "{team:?}"
    );
    Some(team.total_granted())
}

/// The output of the subcommand `quota`.
fn quota_report(cluster: &Cluster) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_lichencrank"))
        .args(["quota", "--config"])
        .arg(cluster.controllers[0].settings_file())
        .output()
        .expect("the program runs");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn submit(cluster: &Cluster, id: &str, tasks: u64) {
    wait_for("a response to a submission", || {
        let body = job_body(id, tasks, None);
        let mut controllers = cluster.addresses().into_iter();
        let response =
            controllers.find_map(|controller| call(controller, "POST", "/api/jobs", &body));
        response.filter(|response| matches!(response.status, 200 | 201))
    });
}

fn wait_until_done(cluster: &Cluster, id: &str) {
    wait_for("the job is done", || {
        check_total_granted(cluster);
        let status = query_status(cluster.addresses()[1], id)?;
        (status.state == "done").then_some(())
    });
}

/// The jobs of the daemon and the admissions of an embedding program share a team's limit, while a controller, which
/// may be the leader, is killed and restarted. The quota report shows both, and that all totals agree.
#[test]
fn daemon_and_embedding_program_share_a_limit() {
    let config = ClusterConfig {
        team_limit_cpus: TEAM_LIMIT_CPUS as f64,
        features: Some("quota: {enabled: true}"),
    };
    let mut cluster = Cluster::start_with("quota", config);
    submit(&cluster, "job-000001", 24);
    wait_for("a leader has created the quota record of the team", || {
        check_total_granted(&cluster)
    });
    let mut quota = new_quota_client(&cluster);
    for sequence in 0..2 {
        quota.request(admission_request(sequence));
    }
    let mut admitted = Vec::new();
    while admitted.len() < 2 {
        check_total_granted(&cluster);
        for event in quota.step() {
            if let QuotaEvent::Admitted(id) = event {
                admitted.push(id);
            }
        }
    }
    let report = quota_report(&cluster);
    assert!(report.contains("team vision: uses"), "{report}");
    assert!(
        report.contains("depot-tool: 4 CPUs charged of 4 CPUs"),
        "{report}"
    );
    cluster.controllers[0].restart();
    wait_until_done(&cluster, "job-000001");
    for id in admitted {
        quota.release(id);
    }
    let mut released = 0;
    while released < 2 {
        let events = quota.step();
        released += events
            .iter()
            .filter(|event| matches!(event, QuotaEvent::Released(_)))
            .count();
    }
    submit(&cluster, "job-000002", 12);
    wait_until_done(&cluster, "job-000002");
    let report = quota_report(&cluster);
    assert!(report.contains("audit: all totals agree"), "{report}");
}
