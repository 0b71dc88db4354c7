//! Tests of the real binary: three controller processes on loopback.

mod loopback;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use lichencrank_testkit::http::call;
use lichencrank_testkit::values::{number, text};
use loopback::users::{job_body, query_status, submit, JobStatus};
use loopback::{wait_for, Cluster};

/// Deadline of the jobs, in seconds after their submission.
const DEADLINE_S: f64 = 3.0;

/// The body of a submission with [`DEADLINE_S`].
fn body_with_deadline(id: &str, tasks: u64) -> Vec<u8> {
    job_body(id, tasks, Some(DEADLINE_S))
}

/// Submits a job, which has to be accepted or be known already.
fn submit_accepted(controller: SocketAddr, id: &str, tasks: u64) {
    let status = submit(controller, &body_with_deadline(id, tasks));
    assert!(
        matches!(status, 200 | 201),
        "{id} is answered with {status}"
    );
}

/// Queries the status of a job until the controller can serve the query.
fn wait_for_status(controller: SocketAddr, id: &str) -> JobStatus {
    wait_for("a response to a status query", || {
        query_status(controller, id).filter(JobStatus::is_served)
    })
}

fn assert_status(controller: SocketAddr, id: &str, http_status: u16, state: &str) {
    let expected = JobStatus {
        http_status,
        state: state.to_owned(),
    };
    assert_eq!(
        wait_for_status(controller, id),
        expected,
        "{id} at {controller}"
    );
}

fn wait_until_done(controller: SocketAddr, id: &str) {
    wait_for("the job is done", || {
        let status = query_status(controller, id)?;
        assert_ne!(status.http_status, 404, "{id} is not known any more");
        (status.state == "done").then_some(())
    });
}

/// Cancels a job, repeating the request until it is served. Returns the job's state in the response.
fn cancel(controller: SocketAddr, id: &str) -> String {
    let target = format!("/api/jobs/{id}/withdraw");
    wait_for("a response to the cancellation", || {
        let response = call(controller, "POST", &target, &[])?;
        (response.status == 200).then(|| text(&response.body, "status"))
    })
}

/// Asserts that no attempt at a task was started twice.
fn assert_attempts_started_once(cluster: &Cluster) {
    let starts = cluster.task_starts();
    let attempts: BTreeSet<_> = starts
        .iter()
        .map(|start| (&start.task, start.attempt))
        .collect();
    assert_eq!(attempts.len(), starts.len(), "{starts:?}");
}

#[test]
fn job_runs_and_every_controller_reports_the_same_status() {
    let cluster = Cluster::start("runs");
    let controllers = cluster.addresses();
    assert_eq!(
        submit(controllers[0], &body_with_deadline("job-000001", 6)),
        201
    );
    // A repeated submission through another controller is recognised by the job's id, even if its body is invalid.
    assert_eq!(
        submit(controllers[1], &body_with_deadline("job-000001", 6)),
        200
    );
    assert_eq!(
        submit(controllers[2], &body_with_deadline("job-000001", 0)),
        200
    );
    wait_until_done(controllers[2], "job-000001");
    for controller in &controllers {
        assert_status(*controller, "job-000001", 200, "done");
        let unknown = wait_for_status(*controller, "job-000002");
        assert_eq!(unknown.http_status, 404, "at {controller}");
    }
    let cancelled =
        call(controllers[0], "POST", "/api/jobs/job-000001/withdraw", &[]).expect("a response");
    assert_eq!(cancelled.status, 200);
    assert_eq!(text(&cancelled.body, "status"), "done");
    let starts = cluster.task_starts();
    let mut starts_by_task: BTreeMap<&str, usize> = BTreeMap::new();
    for start in starts.iter() {
        *starts_by_task.entry(&start.task).or_default() += 1;
    }
    assert_eq!(starts_by_task.len(), 6, "{starts_by_task:?}");
    assert!(
        starts_by_task.values().all(|count| *count == 1),
        "{starts_by_task:?}"
    );
}

#[test]
fn killing_leaders_loses_no_job() {
    let mut cluster = Cluster::start("kills");
    let last_controller = cluster.addresses()[2];
    for round in 0..3 {
        let id = format!("job-00001{round}");
        submit_accepted(last_controller, &id, 8);
        // Rounds 0 and 1 kill one of the first two controllers each, which may lead. Round 2 kills all three, so that
        // the leader is killed in any case.
        cluster.controllers[round % 2].kill();
        if round == 2 {
            cluster.controllers[1].kill();
            cluster.controllers[2].kill();
            cluster.controllers[2].start();
            cluster.controllers[1].start();
        }
        cluster.controllers[round % 2].start();
        wait_until_done(last_controller, &id);
    }
    assert_attempts_started_once(&cluster);
}

#[test]
fn cancelled_job_stays_cancelled() {
    let mut cluster = Cluster::start("cancels");
    let controllers = cluster.addresses();
    submit_accepted(controllers[0], "job-000020", 5000);
    assert_eq!(cancel(controllers[1], "job-000020"), "cancelled");
    cluster.controllers[0].restart();
    for controller in &controllers {
        assert_status(*controller, "job-000020", 200, "cancelled");
        assert_eq!(
            submit(*controller, &body_with_deadline("job-000020", 5000)),
            200
        );
    }
}

#[test]
fn store_outage_is_answered_503_and_survived() {
    let cluster = Cluster::start("outage");
    let controller = cluster.addresses()[0];
    submit_accepted(controller, "job-000030", 4);
    cluster.set_store_unavailable(true);
    let refused = wait_for("a response during the outage", || {
        call(
            controller,
            "POST",
            "/api/jobs",
            &body_with_deadline("job-000031", 1),
        )
    });
    assert_eq!(refused.status, 503);
    // All controllers see the outage, so none of them may report itself unhealthy and be taken out of the load
    // balancer.
    let health = call(controller, "GET", "/healthz", &[]).expect("a response");
    assert_eq!(health.status, 200);
    cluster.set_store_unavailable(false);
    wait_until_done(controller, "job-000030");
    submit_accepted(controller, "job-000031", 1);
    wait_until_done(controller, "job-000031");
}

/// After an outage of the state service in which all controllers were killed and restarted, each of them still knows
/// every accepted job, both for a status query and for a repeated submission.
#[test]
fn every_controller_knows_every_job_after_an_outage() {
    let mut cluster = Cluster::start("forgets");
    let controllers = cluster.addresses();
    let ids: Vec<String> = (0..40).map(|n| format!("job-0001{n:02}")).collect();
    for (index, id) in ids.iter().enumerate() {
        // These are far more tasks than fit on the hosts, so most of them wait during the whole test.
        submit_accepted(controllers[index % 3], id, 200);
    }
    cluster.set_store_unavailable(true);
    for controller in &mut cluster.controllers {
        controller.restart();
    }
    let refused = wait_for("a response during the outage", || {
        call(controllers[0], "GET", "/api/jobs/job-000100", &[])
    });
    assert_eq!(refused.status, 503);
    cluster.set_store_unavailable(false);
    for id in &ids {
        for controller in &controllers {
            let status = wait_for_status(*controller, id);
            assert_eq!(status.http_status, 200, "{id}");
            let states = ["queued", "running", "done"];
            assert!(states.contains(&status.state.as_str()), "{id}: {status:?}");
            assert_eq!(
                submit(*controller, &body_with_deadline(id, 200)),
                200,
                "{id} again"
            );
        }
    }
}

/// Reads from a connection until the end of a response's headers.
fn read_response(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let mut chunk = [0; 1024];
    while !received.windows(4).any(|w| w == b"\r\n\r\n") {
        let length = stream.read(&mut chunk).expect("a response");
        assert!(
            length > 0,
            "connection closed after {:?}",
            String::from_utf8_lossy(&received)
        );
        received.extend_from_slice(&chunk[..length]);
    }
    String::from_utf8_lossy(&received).into_owned()
}

#[test]
fn unusual_clients_are_served() {
    let cluster = Cluster::start("odd");
    let controller = cluster.addresses()[0];
    wait_for("a healthy controller", || {
        call(controller, "GET", "/healthz", &[]).filter(|response| response.status == 200)
    });
    for (method, path, status) in [
        ("GET", "/nothing", 404),
        ("DELETE", "/api/jobs", 405),
        ("PUT", "/api/jobs/job-000001", 405),
        ("GET", "/api/jobs/job-000001/withdraw", 405),
        ("GET", "/api/jobs/whatever", 404),
        ("POST", "/agent/beat", 400),
        ("POST", "/api/jobs", 400),
        // Messages between controllers are served only at the internal address.
        ("POST", "/peer/hello", 404),
    ] {
        let response = call(controller, method, path, b"?").expect("a response");
        assert_eq!(response.status, status, "{method} {path}");
    }
    let connect = || {
        let stream = TcpStream::connect(controller).expect("a connection");
        stream
            .set_read_timeout(Some(Duration::from_secs(30)))
            .expect("a read timeout");
        stream
    };
    // On a kept-alive connection, a request that arrives in pieces and a second one that is pipelined behind it.
    let mut kept_alive = connect();
    for piece in [
        "GET /hea",
        "lthz HTTP/1.1\r\n",
        "\r\nGET /healthz HTTP/1.1\r\n\r\n",
    ] {
        kept_alive.write_all(piece.as_bytes()).expect("writing");
        std::thread::sleep(Duration::from_millis(30));
    }
    let mut responses = read_response(&mut kept_alive);
    while responses.matches("HTTP/1.1 200").count() < 2 {
        responses.push_str(&read_response(&mut kept_alive));
    }
    // A body above the size limit is refused before it is sent.
    let mut oversized = connect();
    oversized
        .write_all(b"POST /api/jobs HTTP/1.1\r\nContent-Length: 70000\r\n\r\n")
        .expect("writing");
    assert!(read_response(&mut oversized).starts_with("HTTP/1.1 400"));
    // With more connections than the limit of sockets allows, idle ones are closed and requests are still served.
    let _idle_connections: Vec<TcpStream> = (0..400)
        .filter_map(|_| TcpStream::connect(controller).ok())
        .collect();
    wait_for("a response beside the idle connections", || {
        call(controller, "GET", "/healthz", &[]).filter(|response| response.status == 200)
    });
}

#[test]
fn command_line_has_the_usual_options() {
    let run = |args: &[&str]| {
        let command = std::process::Command::new(env!("CARGO_BIN_EXE_lichencrank"))
            .args(args)
            .output();
        let output = command.expect("the binary runs");
        let printed = [output.stdout, output.stderr].concat();
        (
            output.status.success(),
            String::from_utf8_lossy(&printed).into_owned(),
        )
    };
    assert!(run(&["--help"]).1.contains("--tuning"));
    assert!(run(&["--version"]).1.contains(env!("CARGO_PKG_VERSION")));
    assert!(!run(&[]).0);
    let (has_succeeded, printed) = run(&["--check", "--config", "/nonexistent/settings.json"]);
    assert!(
        !has_succeeded
            && printed.contains("/nonexistent/settings.json")
            && printed.trim().lines().count() == 1
    );
}

/// Copies of messages may arrive long after the originals were processed. Every transaction so far is sent to the state
/// service again, and users' requests are repeated: no finished or cancelled job comes back, running tasks go on to
/// their end, and no attempt starts twice.
#[test]
fn late_copies_of_messages_change_nothing() {
    let cluster = Cluster::start("copies");
    let controllers = cluster.addresses();
    submit_accepted(controllers[0], "job-000030", 6);
    wait_until_done(controllers[0], "job-000030");
    submit_accepted(controllers[1], "job-000031", 5000);
    assert_eq!(cancel(controllers[1], "job-000031"), "cancelled");
    submit_accepted(controllers[2], "job-000032", 40);
    for _ in 0..3 {
        let replay = call(cluster.store, "POST", "/replay", &[]).expect("a response");
        assert_eq!(replay.status, 200);
        let total = number(&replay.body, "total");
        let applied = number(&replay.body, "applied");
        // A transaction that is applied again only deletes keys that do not exist any more, or stores the machine
        // types.
        assert!(total > 6 && applied < total, "{applied} of {total}");
        for (id, state) in [("job-000030", "done"), ("job-000031", "cancelled")] {
            for controller in &controllers {
                assert_status(*controller, id, 200, state);
                assert_eq!(
                    submit(*controller, &body_with_deadline(id, 6)),
                    200,
                    "{id} again"
                );
            }
        }
        assert_eq!(cancel(controllers[1], "job-000031"), "cancelled");
    }
    wait_until_done(controllers[2], "job-000032");
    assert_attempts_started_once(&cluster);
}

/// While leaders are killed and restarted, a malformed submission is answered 400, but one that names a known job is
/// recognised as a repetition whatever its body says, and what cannot be processed now is answered 503 instead of 400.
#[test]
fn malformed_submissions_are_recognised_during_failovers() {
    let mut cluster = Cluster::start("bad");
    let controller = cluster.addresses()[2];
    submit_accepted(controller, "job-000040", 200);
    for round in 0..12 {
        if round % 4 == 0 {
            for controller in &mut cluster.controllers[..2] {
                controller.restart();
            }
        }
        let submit_once = |body: &[u8]| {
            let response = call(controller, "POST", "/api/jobs", body);
            response.expect("a response").status
        };
        assert_eq!(submit_once(b"not a map"), 400);
        let known = submit_once(&body_with_deadline("job-000040", 0));
        assert!(matches!(known, 200 | 503), "{known}");
        let invalid = submit_once(&body_with_deadline("job-000041", 0));
        assert!(matches!(invalid, 400 | 503), "{invalid}");
    }
    let unknown = wait_for_status(controller, "job-000041");
    assert_eq!(unknown.http_status, 404);
}
