//! The real binary, three nodes on loopback, against stand-ins for everything around it.

mod standin;

use ciborium::Value;
use lichencrank::protocol::encode;
use standin::{call, eventually, map, number, text, World};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;

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
        ("dueS", 3.0.into()),
    ]))
}

/// Submits as users do: again until an answer comes.
fn submit(to: SocketAddr, id: &str, tasks: u64) -> u16 {
    eventually("a submission is answered", || {
        let status = call(to, "POST", "/api/jobs", &job(id, tasks))?.status;
        (status != 503 && status != 429).then_some(status)
    })
}

fn poll(to: SocketAddr, id: &str) -> Option<(u16, String)> {
    let response = call(to, "GET", &format!("/api/jobs/{id}"), &[])?;
    Some((response.status, text(&response.body, "status")))
}

fn finish(to: SocketAddr, id: &str) {
    eventually("the job is done", || {
        let (status, state) = poll(to, id)?;
        assert!(status != 404, "{id} is forgotten");
        (state == "done").then_some(())
    });
}

#[test]
fn a_job_runs_and_every_node_tells_the_same() {
    let world = World::start("runs");
    let fronts: Vec<SocketAddr> = world.nodes.iter().map(|n| n.front).collect();
    assert_eq!(submit(fronts[0], "job-000001", 6), 201);
    // A repeat, through another node, is known, whatever its body says by now.
    assert_eq!(submit(fronts[1], "job-000001", 6), 200);
    assert_eq!(submit(fronts[2], "job-000001", 0), 200);
    finish(fronts[2], "job-000001");
    for front in &fronts {
        let told = eventually("an answer", || {
            poll(*front, "job-000001").filter(|(s, _)| *s == 200)
        });
        assert_eq!(told.1, "done");
        let told = eventually("an answer", || {
            poll(*front, "job-000002").filter(|(s, _)| *s != 503)
        });
        assert_eq!(told.0, 404);
    }
    let withdrawn =
        call(fronts[0], "POST", "/api/jobs/job-000001/withdraw", &[]).expect("an answer");
    assert_eq!(withdrawn.status, 200);
    assert_eq!(text(&withdrawn.body, "status"), "done");
    // Each task ran once.
    let starts = world.starts.lock().expect("the starts");
    let tasks: BTreeMap<&str, usize> = starts.iter().fold(BTreeMap::new(), |mut seen, s| {
        *seen.entry(s.0.as_str()).or_default() += 1;
        seen
    });
    assert_eq!(tasks.len(), 6);
    assert!(tasks.values().all(|n| *n == 1), "{tasks:?}");
}

#[test]
fn killing_leaders_loses_no_job() {
    let mut world = World::start("kills");
    let last = world.nodes[2].front;
    for round in 0..3 {
        let id = format!("job-00001{round}");
        assert!(matches!(submit(last, &id, 8), 200 | 201));
        // Whoever leads, one of these two kills hits it sooner or later; all three at the end.
        world.nodes[round % 2].kill();
        if round == 2 {
            world.nodes[1].kill();
            world.nodes[2].kill();
            world.nodes[2].start();
            world.nodes[1].start();
        }
        world.nodes[round % 2].start();
        finish(last, &id);
    }
    // No attempt was started twice.
    let starts = world.starts.lock().expect("the starts");
    let mut attempts: Vec<_> = starts.iter().map(|s| (&s.0, s.1)).collect();
    attempts.sort();
    let before = attempts.len();
    attempts.dedup();
    assert_eq!(attempts.len(), before);
}

#[test]
fn a_cancelled_job_stays_cancelled() {
    let mut world = World::start("cancels");
    let fronts: Vec<SocketAddr> = world.nodes.iter().map(|n| n.front).collect();
    submit(fronts[0], "job-000020", 5000);
    let cancelled = eventually("the cancellation is answered", || {
        let response = call(fronts[1], "POST", "/api/jobs/job-000020/withdraw", &[])?;
        (response.status == 200).then(|| text(&response.body, "status"))
    });
    assert_eq!(cancelled, "cancelled");
    world.nodes[0].kill();
    world.nodes[0].start();
    for front in &fronts {
        let told = eventually("an answer", || {
            poll(*front, "job-000020").filter(|(s, _)| *s != 503)
        });
        assert_eq!(told, (200, "cancelled".to_owned()));
        assert_eq!(submit(*front, "job-000020", 5000), 200);
    }
}

#[test]
fn an_outage_of_the_state_service_is_answered_at_once_and_survived() {
    let world = World::start("outage");
    let front = world.nodes[0].front;
    assert!(matches!(submit(front, "job-000030", 4), 200 | 201));
    world.state_away.store(true, Ordering::SeqCst);
    let refused = eventually("a refusal", || {
        call(front, "POST", "/api/jobs", &job("job-000031", 1))
    });
    assert_eq!(refused.status, 503);
    // All nodes see the outage, so none may leave the balancer for it.
    assert_eq!(
        call(front, "GET", "/healthz", &[])
            .expect("an answer")
            .status,
        200
    );
    world.state_away.store(false, Ordering::SeqCst);
    finish(front, "job-000030");
    assert!(matches!(submit(front, "job-000031", 1), 200 | 201));
    finish(front, "job-000031");
}

/// Nothing is forgotten: after an outage in which all nodes were killed and were back at once, every
/// node answers for every accepted job, both to a poll and to a repeated submission.
#[test]
fn every_job_is_answered_for_after_an_outage() {
    let mut world = World::start("forgets");
    let fronts: Vec<SocketAddr> = world.nodes.iter().map(|n| n.front).collect();
    let ids: Vec<String> = (0..40).map(|n| format!("job-0001{n:02}")).collect();
    for (at, id) in ids.iter().enumerate() {
        // Far more tasks than the machines hold: most of them wait all the while.
        assert!(matches!(submit(fronts[at % 3], id, 200), 200 | 201));
    }
    world.state_away.store(true, Ordering::SeqCst);
    for node in &mut world.nodes {
        node.kill();
        node.start();
    }
    let refused = eventually("a refusal", || {
        call(fronts[0], "GET", "/api/jobs/job-000100", &[])
    });
    assert_eq!(refused.status, 503);
    world.state_away.store(false, Ordering::SeqCst);
    for id in &ids {
        for front in &fronts {
            let (status, state) = eventually("a poll is answered", || {
                poll(*front, id).filter(|(s, _)| *s != 503 && *s != 429)
            });
            assert_eq!(status, 200, "{id}");
            assert!(["queued", "running", "done"].contains(&state.as_str()));
            assert_eq!(submit(*front, id, 200), 200, "{id} again");
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
fn odd_clients_get_their_answers() {
    let world = World::start("odd");
    let front = world.nodes[0].front;
    eventually("a healthy node", || {
        call(front, "GET", "/healthz", &[]).filter(|response| response.status == 200)
    });
    for (method, path, status) in [
        ("GET", "/nothing", 404),
        ("DELETE", "/api/jobs", 405),
        ("PUT", "/api/jobs/job-000001", 405),
        ("GET", "/api/jobs/job-000001/withdraw", 405),
        ("GET", "/api/jobs/whatever", 404),
        ("POST", "/agent/beat", 400),
        ("POST", "/api/jobs", 400),
        // What the nodes tell each other is no business of the front.
        ("POST", "/peer/hello", 404),
    ] {
        assert_eq!(
            call(front, method, path, b"?").expect("an answer").status,
            status,
            "{method} {path}"
        );
    }
    let connect = || {
        let stream = TcpStream::connect(front).expect("a connection");
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
        .filter_map(|_| TcpStream::connect(front).ok())
        .collect();
    eventually("an answer in the crowd", || {
        call(front, "GET", "/healthz", &[]).filter(|response| response.status == 200)
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

/// Copies of messages come late, however long ago the first of them was carried out: every
/// transaction so far is sent to the state service again, and users' requests are repeated. Nothing
/// that is over comes back, what runs goes on to its end, and no attempt starts twice.
#[test]
fn late_copies_change_nothing() {
    let world = World::start("copies");
    let fronts: Vec<SocketAddr> = world.nodes.iter().map(|n| n.front).collect();
    submit(fronts[0], "job-000030", 6);
    finish(fronts[0], "job-000030");
    submit(fronts[1], "job-000031", 5000);
    let withdraw = || {
        eventually("the cancellation is answered", || {
            let response = call(fronts[1], "POST", "/api/jobs/job-000031/withdraw", &[])?;
            (response.status == 200).then(|| text(&response.body, "status"))
        })
    };
    assert_eq!(withdraw(), "cancelled");
    submit(fronts[2], "job-000032", 40);
    for _ in 0..3 {
        let replay = call(world.state, "POST", "/replay", &[]).expect("an answer");
        assert_eq!(replay.status, 200);
        let total = number(&replay.body, "total");
        let applied = number(&replay.body, "applied");
        // What is carried out again only removes what is gone, or keeps the machine types.
        assert!(total > 6 && applied < total, "{applied} of {total}");
        for (id, state) in [("job-000030", "done"), ("job-000031", "cancelled")] {
            for front in &fronts {
                let told = eventually("an answer", || {
                    poll(*front, id).filter(|(s, _)| *s != 503 && *s != 429)
                });
                assert_eq!(told, (200, state.to_owned()), "{id}");
                assert_eq!(submit(*front, id, 6), 200, "{id} again");
            }
        }
        assert_eq!(withdraw(), "cancelled");
    }
    finish(fronts[2], "job-000032");
    let starts = world.starts.lock().expect("the starts");
    let attempts: BTreeSet<_> = starts.iter().map(|s| (&s.0, s.1)).collect();
    assert_eq!(attempts.len(), starts.len());
}

/// While leaders are killed and come back, bad input is told from good: malformed is 400 at once, a
/// known job is known whatever its new body says, and what can't be taken now is not called wrong.
#[test]
fn bad_input_is_told_during_take_overs() {
    let mut world = World::start("bad");
    let front = world.nodes[2].front;
    submit(front, "job-000040", 200);
    for round in 0..12 {
        if round % 4 == 0 {
            for node in &mut world.nodes[..2] {
                node.kill();
                node.start();
            }
        }
        let malformed = call(front, "POST", "/api/jobs", b"not a map").expect("an answer");
        assert_eq!(malformed.status, 400);
        let known = call(front, "POST", "/api/jobs", &job("job-000040", 0)).expect("an answer");
        assert!(matches!(known.status, 200 | 429 | 503), "{known:?}");
        let wrong = call(front, "POST", "/api/jobs", &job("job-000041", 0)).expect("an answer");
        assert!(matches!(wrong.status, 400 | 429 | 503), "{wrong:?}");
    }
    let told = eventually("an answer", || {
        poll(front, "job-000041").filter(|(s, _)| *s != 503 && *s != 429)
    });
    assert_eq!(told.0, 404);
}
