//! The real binary: three controllers on loopback.

mod loopback;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use lichencrank_testkit::http::call;
use lichencrank_testkit::values::{number, text};
use loopback::users::{job_body, poll, submit, JobStatus};
use loopback::{eventually, Cluster};

/// Deadline of the jobs in seconds.
const DEADLINE_S: f64 = 3.0;

fn job(id: &str, tasks: u64) -> Vec<u8> {
    job_body(id, tasks, Some(DEADLINE_S))
}

/// Submits a job that is new or known already.
fn submit_accepted(to: SocketAddr, id: &str, tasks: u64) {
    let status = submit(to, &job(id, tasks));
    assert!(
        matches!(status, 200 | 201),
        "{id} is answered with {status}"
    );
}

fn poll_until_answered(to: SocketAddr, id: &str) -> JobStatus {
    eventually("a poll is answered", || {
        poll(to, id).filter(JobStatus::is_answer)
    })
}

fn assert_status(to: SocketAddr, id: &str, http_status: u16, state: &str) {
    let expected = JobStatus {
        http_status,
        state: state.to_owned(),
    };
    assert_eq!(poll_until_answered(to, id), expected, "{id} at {to}");
}

fn wait_until_done(to: SocketAddr, id: &str) {
    eventually("the job is done", || {
        let status = poll(to, id)?;
        assert_ne!(status.http_status, 404, "{id} is forgotten");
        (status.state == "done").then_some(())
    });
}

/// Cancels a job, again until an answer comes. Returns the state that the user is told.
fn cancel(to: SocketAddr, id: &str) -> String {
    let target = format!("/api/jobs/{id}/withdraw");
    eventually("the cancellation is answered", || {
        let response = call(to, "POST", &target, &[])?;
        (response.status == 200).then(|| text(&response.body, "status"))
    })
}

/// No attempt at a task was started twice.
fn assert_attempts_started_once(cluster: &Cluster) {
    let starts = cluster.task_starts();
    let attempts: BTreeSet<_> = starts.iter().map(|s| (&s.task, s.attempt)).collect();
    assert_eq!(attempts.len(), starts.len(), "{starts:?}");
}

#[test]
fn a_job_runs_and_every_node_tells_the_same() {
    let cluster = Cluster::start("runs");
    let controllers = cluster.addresses();
    assert_eq!(submit(controllers[0], &job("job-000001", 6)), 201);
    // A repetition, through another controller, is known, whatever its body says by now.
    assert_eq!(submit(controllers[1], &job("job-000001", 6)), 200);
    assert_eq!(submit(controllers[2], &job("job-000001", 0)), 200);
    wait_until_done(controllers[2], "job-000001");
    for controller in &controllers {
        assert_status(*controller, "job-000001", 200, "done");
        let unknown = poll_until_answered(*controller, "job-000002");
        assert_eq!(unknown.http_status, 404, "at {controller}");
    }
    let cancelled =
        call(controllers[0], "POST", "/api/jobs/job-000001/withdraw", &[]).expect("an answer");
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
    let last = cluster.addresses()[2];
    for round in 0..3 {
        let id = format!("job-00001{round}");
        submit_accepted(last, &id, 8);
        // Whoever leads, one of these two kills hits it sooner or later; all three at the end.
        cluster.controllers[round % 2].kill();
        if round == 2 {
            cluster.controllers[1].kill();
            cluster.controllers[2].kill();
            cluster.controllers[2].start();
            cluster.controllers[1].start();
        }
        cluster.controllers[round % 2].start();
        wait_until_done(last, &id);
    }
    assert_attempts_started_once(&cluster);
}

#[test]
fn a_cancelled_job_stays_cancelled() {
    let mut cluster = Cluster::start("cancels");
    let controllers = cluster.addresses();
    submit_accepted(controllers[0], "job-000020", 5000);
    assert_eq!(cancel(controllers[1], "job-000020"), "cancelled");
    cluster.controllers[0].restart();
    for controller in &controllers {
        assert_status(*controller, "job-000020", 200, "cancelled");
        assert_eq!(submit(*controller, &job("job-000020", 5000)), 200);
    }
}

#[test]
fn an_outage_of_the_store_is_answered_at_once_and_survived() {
    let cluster = Cluster::start("outage");
    let controller = cluster.addresses()[0];
    submit_accepted(controller, "job-000030", 4);
    cluster.set_store_unavailable(true);
    let refused = eventually("a refusal", || {
        call(controller, "POST", "/api/jobs", &job("job-000031", 1))
    });
    assert_eq!(refused.status, 503);
    // All controllers see the outage, so none may leave the load balancer for it.
    let health = call(controller, "GET", "/healthz", &[]).expect("an answer");
    assert_eq!(health.status, 200);
    cluster.set_store_unavailable(false);
    wait_until_done(controller, "job-000030");
    submit_accepted(controller, "job-000031", 1);
    wait_until_done(controller, "job-000031");
}

/// Nothing is forgotten: after an outage in which all controllers were killed and were back at once, every one
/// of them answers for every accepted job, both to a poll and to a repeated submission.
#[test]
fn every_job_is_answered_for_after_an_outage() {
    let mut cluster = Cluster::start("forgets");
    let controllers = cluster.addresses();
    let ids: Vec<String> = (0..40).map(|n| format!("job-0001{n:02}")).collect();
    for (at, id) in ids.iter().enumerate() {
        // Far more tasks than the machines hold: most of them wait all the while.
        submit_accepted(controllers[at % 3], id, 200);
    }
    cluster.set_store_unavailable(true);
    for controller in &mut cluster.controllers {
        controller.restart();
    }
    let refused = eventually("a refusal", || {
        call(controllers[0], "GET", "/api/jobs/job-000100", &[])
    });
    assert_eq!(refused.status, 503);
    cluster.set_store_unavailable(false);
    for id in &ids {
        for controller in &controllers {
            let status = poll_until_answered(*controller, id);
            assert_eq!(status.http_status, 200, "{id}");
            let states = ["queued", "running", "done"];
            assert!(states.contains(&status.state.as_str()), "{id}: {status:?}");
            assert_eq!(submit(*controller, &job(id, 200)), 200, "{id} again");
        }
    }
}

/// Reads one response off a connection that stays open.
fn response(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    let mut chunk = [0; 1024];
    while !all.windows(4).any(|w| w == b"\r\n\r\n") {
        let n = stream.read(&mut chunk).expect("a response");
        assert!(n > 0, "closed early: {:?}", String::from_utf8_lossy(&all));
        all.extend_from_slice(&chunk[..n]);
    }
    String::from_utf8_lossy(&all).into_owned()
}

#[test]
fn unusual_clients_get_their_answers() {
    let cluster = Cluster::start("odd");
    let controller = cluster.addresses()[0];
    eventually("a healthy controller", || {
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
        // Messages between controllers are not taken at the public address.
        ("POST", "/peer/hello", 404),
    ] {
        let answer = call(controller, method, path, b"?").expect("an answer");
        assert_eq!(answer.status, status, "{method} {path}");
    }
    let connect = || {
        let stream = TcpStream::connect(controller).expect("a connection");
        stream
            .set_read_timeout(Some(Duration::from_secs(30)))
            .expect("a limit");
        stream
    };
    // A request in pieces, and the next one arriving early, on one kept connection.
    let mut kept = connect();
    for piece in [
        "GET /hea",
        "lthz HTTP/1.1\r\n",
        "\r\nGET /healthz HTTP/1.1\r\n\r\n",
    ] {
        kept.write_all(piece.as_bytes()).expect("writing");
        std::thread::sleep(Duration::from_millis(30));
    }
    let mut answers = response(&mut kept);
    while answers.matches("HTTP/1.1 200").count() < 2 {
        answers.push_str(&response(&mut kept));
    }
    // A body over the limit is refused at once, before it is sent.
    let mut large = connect();
    large
        .write_all(b"POST /api/jobs HTTP/1.1\r\nContent-Length: 70000\r\n\r\n")
        .expect("writing");
    assert!(response(&mut large).starts_with("HTTP/1.1 400"));
    // More connections than there are sockets: idle ones give way, and service goes on.
    let _idle: Vec<TcpStream> = (0..400)
        .filter_map(|_| TcpStream::connect(controller).ok())
        .collect();
    eventually("an answer in the crowd", || {
        call(controller, "GET", "/healthz", &[]).filter(|response| response.status == 200)
    });
}

#[test]
fn the_command_line_is_an_ordinary_one() {
    let run = |args: &[&str]| {
        let command = std::process::Command::new(env!("CARGO_BIN_EXE_lichencrank"))
            .args(args)
            .output();
        let output = command.expect("the binary runs");
        let told = [output.stdout, output.stderr].concat();
        (
            output.status.success(),
            String::from_utf8_lossy(&told).into_owned(),
        )
    };
    assert!(run(&["--help"]).1.contains("--tuning"));
    assert!(run(&["--version"]).1.contains(env!("CARGO_PKG_VERSION")));
    assert!(!run(&[]).0);
    let (ok, told) = run(&["--check", "--config", "/nonexistent/settings.json"]);
    assert!(!ok && told.contains("/nonexistent/settings.json") && told.trim().lines().count() == 1);
}

/// Copies of messages arrive late, however long ago the first of them was carried out: every transaction so far is sent
/// to the store again, and users' requests are repeated. Nothing that is over comes back, what runs goes on to its end,
/// and no attempt starts twice.
#[test]
fn late_copies_change_nothing() {
    let cluster = Cluster::start("copies");
    let controllers = cluster.addresses();
    submit_accepted(controllers[0], "job-000030", 6);
    wait_until_done(controllers[0], "job-000030");
    submit_accepted(controllers[1], "job-000031", 5000);
    assert_eq!(cancel(controllers[1], "job-000031"), "cancelled");
    submit_accepted(controllers[2], "job-000032", 40);
    for _ in 0..3 {
        let replay = call(cluster.store, "POST", "/replay", &[]).expect("an answer");
        assert_eq!(replay.status, 200);
        let total = number(&replay.body, "total");
        let applied = number(&replay.body, "applied");
        // What is committed again only removes what is gone, or keeps the machine types.
        assert!(total > 6 && applied < total, "{applied} of {total}");
        for (id, state) in [("job-000030", "done"), ("job-000031", "cancelled")] {
            for controller in &controllers {
                assert_status(*controller, id, 200, state);
                assert_eq!(submit(*controller, &job(id, 6)), 200, "{id} again");
            }
        }
        assert_eq!(cancel(controllers[1], "job-000031"), "cancelled");
    }
    wait_until_done(controllers[2], "job-000032");
    assert_attempts_started_once(&cluster);
}

/// While leaders are killed and come back, malformed submissions are told from good ones: malformed is 400 at once, a
/// known job is known whatever its new body says, and what can't be taken now is not called malformed.
#[test]
fn malformed_submissions_are_told_during_failovers() {
    let mut cluster = Cluster::start("bad");
    let controller = cluster.addresses()[2];
    submit_accepted(controller, "job-000040", 200);
    for round in 0..12 {
        if round % 4 == 0 {
            for controller in &mut cluster.controllers[..2] {
                controller.restart();
            }
        }
        let answer = |body: &[u8]| {
            let response = call(controller, "POST", "/api/jobs", body);
            response.expect("an answer").status
        };
        assert_eq!(answer(b"not a map"), 400);
        let known = answer(&job("job-000040", 0));
        assert!(matches!(known, 200 | 503), "{known}");
        let invalid = answer(&job("job-000041", 0));
        assert!(matches!(invalid, 400 | 503), "{invalid}");
    }
    let unknown = poll_until_answered(controller, "job-000041");
    assert_eq!(unknown.http_status, 404);
}
