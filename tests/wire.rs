//! Tables for what comes over the wire: good, odd, and hostile.

use ciborium::Value;
use lichencrank::coordination::cluster::job::Job;
use lichencrank::protocol::users::{parse_submission, Submission};
use lichencrank::protocol::{decode, encode, workers};
use lichencrank::storage::records::JobRecord;
use lichencrank::transport::http::{parse_request, parse_response};
use lichencrank::types::{JobId, TaskId, Version};

/// Bytes at random must never panic a parser. The seed is fixed.
#[test]
fn noise() {
    let mut random = fastrand::Rng::with_seed(7);
    let good = encode(&Value::Map(job_fields()));
    for _ in 0..20_000 {
        let mut bytes = good.clone();
        for _ in 0..random.usize(1..6) {
            let at = random.usize(..bytes.len());
            bytes[at] = random.u8(..);
        }
        bytes.truncate(random.usize(..=good.len()));
        // Whatever it is taken for, a job that is accepted keeps within the limits.
        if let Submission::Valid(spec) = parse_submission(&bytes) {
            assert!(spec.task_count >= 1 && spec.task_count <= 100_000);
            assert!(spec.cpus.0.is_finite() && spec.cpus.0 >= 0.0);
        }
        assert!(decode::<workers::WorkerHeartbeat>(&bytes).is_err());
        let _ = parse_request(&bytes);
        let _ = parse_response(&bytes, random.bool());
    }
}

fn job_fields() -> Vec<(Value, Value)> {
    let text = |s: &str| Value::Text(s.to_owned());
    vec![
        (text("ref"), text("job-000412")),
        (text("jobclass"), text("train")),
        (text("crew"), text("vision")),
        (text("shape"), text("sweep")),
        (text("urgency"), text("high")),
        (text("pieces"), Value::from(16)),
        (text("cpus"), Value::from(8.0)),
        // Whole numbers may come as integers.
        (text("cards"), Value::from(0)),
        (text("ramGb"), Value::from(64.5)),
        (text("bundle"), text("img-07")),
        (text("imageGb"), Value::from(6.25)),
        (text("hosttypes"), Value::Null),
        (text("samePlace"), Value::Bool(true)),
        (text("apart"), Value::Bool(false)),
        (text("loaners"), Value::Bool(true)),
        (text("guessS"), Value::from(240.0)),
        (text("snapshotS"), Value::from(0.0)),
        (text("stashS"), Value::from(0.0)),
        (text("dueS"), Value::from(900.0)),
        (text("newField"), Value::from("ignored")),
    ]
}

fn submission(change: impl FnOnce(&mut Vec<(Value, Value)>)) -> Submission {
    let mut fields = job_fields();
    change(&mut fields);
    parse_submission(&encode(&Value::Map(fields)))
}

fn set(name: &'static str, value: Value) -> impl FnOnce(&mut Vec<(Value, Value)>) {
    move |fields| {
        fields.retain(|(k, _)| k.as_text() != Some(name));
        fields.push((Value::Text(name.into()), value));
    }
}

/// It is malformed, it names a job that may be known, and the message names the field.
#[track_caller]
fn assert_names_field(read: &Submission, name: &str) {
    match read {
        Submission::Invalid(JobId(412), why) => assert!(why.contains(name), "{name}: {why}"),
        other => panic!("{name}: {other:?}"),
    }
}

#[test]
fn submissions() {
    assert!(matches!(submission(|_| {}), Submission::Valid(_)));
    assert!(matches!(
        submission(set("dueS", Value::Null)),
        Submission::Valid(_)
    ));
    let service = submission(|fields| {
        set("shape", Value::from("service"))(fields);
        set("guessS", Value::from(0.0))(fields);
    });
    assert!(matches!(service, Submission::Valid(spec) if spec.is_service()));
    // No page says that these are malformed; a service has no run time and no deadline to keep.
    for (name, value) in [("guessS", 30.0), ("dueS", 60.0)] {
        let service = submission(|fields| {
            set("shape", Value::from("service"))(fields);
            set(name, Value::from(value))(fields);
        });
        assert!(
            matches!(service, Submission::Valid(_)),
            "{name}: {service:?}"
        );
    }
    // Malformed, but they name a job that may be known: that has to be looked up first.
    let bad = [
        ("pieces", Value::from(0)),
        ("pieces", Value::from(100_001)),
        ("pieces", Value::from(-1)),
        ("pieces", Value::from("16")),
        ("cpus", Value::from(f64::NAN)),
        ("cpus", Value::from(-1.0)),
        ("ramGb", Value::from(f64::INFINITY)),
        ("urgency", Value::from("soon")),
        ("shape", Value::from("circle")),
        ("shape", Value::from("group")),
        ("samePlace", Value::from(1)),
        ("hosttypes", Value::from("g8")),
        ("crew", Value::from("x".repeat(5000))),
        (
            "hosttypes",
            Value::Array(vec![Value::from("x".repeat(300))]),
        ),
        ("hosttypes", Value::Array(vec![Value::from("g8"); 100])),
        ("hall", Value::from("x".repeat(300))),
        ("loaners", Value::from("yes")),
        ("guessS", Value::from(-1.0)),
        ("guessS", Value::Null),
    ];
    for (name, value) in bad {
        for shape in ["sweep", "service"] {
            let read = submission(|fields| {
                set("shape", Value::from(shape))(fields);
                set(name, value.clone())(fields);
            });
            assert_names_field(&read, name);
        }
    }
    for name in ["jobclass", "crew", "shape", "pieces", "bundle", "guessS"] {
        let read = submission(|f| f.retain(|(k, _)| k.as_text() != Some(name)));
        assert_names_field(&read, name);
    }
    // Not even a job's name can be read.
    for body in [&b""[..], b"\xff", b"\x80", b"hello", b"\xa1\x63ref\x01"] {
        assert!(
            matches!(parse_submission(body), Submission::Unidentified(_)),
            "{body:?}"
        );
    }
    let hopeless = submission(set("ref", Value::from("job-12")));
    assert!(matches!(hopeless, Submission::Unidentified(_)));
}

/// A deadline of a service is no reason to put it behind those that can still meet theirs.
#[test]
fn a_service_has_no_deadline() {
    for (shape, due) in [("sweep", Some(61_000.0)), ("service", None)] {
        let read = submission(|fields| {
            set("shape", Value::from(shape))(fields);
            set("dueS", Value::from(60.0))(fields);
        });
        let Submission::Valid(spec) = read else {
            panic!("{read:?}");
        };
        let record = JobRecord {
            spec: *spec,
            submitted_at_ms: 1000,
            tasks_per_record: 16,
        };
        assert_eq!(Job::new(record, Version(1)).deadline_ms(), due, "{shape}");
    }
}

/// Deeply nested input must not exhaust the stack.
#[test]
fn nesting() {
    let mut body = vec![0x81; 60_000];
    body.push(0x01);
    assert!(matches!(
        parse_submission(&body),
        Submission::Unidentified(_)
    ));
}

#[test]
fn ids() {
    for good in ["job-000000", "job-000412", "job-1000000"] {
        assert_eq!(
            JobId::parse(good).map(|j| j.to_string()).as_deref(),
            Some(good)
        );
    }
    for bad in [
        "",
        "job-",
        "job-412",
        "job-0000412",
        "Job-000412",
        "job-00041x",
        "job-000412/",
        "job-+00412",
        "job-9999999999999999999",
    ] {
        assert_eq!(JobId::parse(bad), None, "{bad}");
    }
    assert_eq!(
        TaskId::parse("job-000412/3"),
        Some(TaskId {
            job: JobId(412),
            index: 3
        })
    );
    for bad in [
        "job-000412",
        "job-000412/",
        "job-000412/-1",
        "job-000412/99999999999",
    ] {
        assert_eq!(TaskId::parse(bad), None, "{bad}");
    }
}
