//! Decoding of messages from the network: valid, unusual and hostile input.

use ciborium::Value;
use lichencrank::coordination::cluster::job::Job;
use lichencrank::protocol::users::{parse_submission, Submission};
use lichencrank::protocol::{decode, encode, workers};
use lichencrank::storage::records::JobRecord;
use lichencrank::transport::http::{parse_request, parse_response};
use lichencrank::types::{JobId, TaskId, Version};

/// Randomly changed input must not make a parser panic. The seed is fixed.
#[test]
fn random_input_does_not_panic() {
    let mut random = fastrand::Rng::with_seed(7);
    let valid_body = encode(&Value::Map(job_fields()));
    for _ in 0..20_000 {
        let mut bytes = valid_body.clone();
        for _ in 0..random.usize(1..6) {
            let position = random.usize(..bytes.len());
            bytes[position] = random.u8(..);
        }
        bytes.truncate(random.usize(..=valid_body.len()));
        // A changed body may still be a valid job, but then its values are within the limits.
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
        // Whole numbers may be encoded as integers.
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

/// Parses the valid job after a change of its fields.
fn changed_submission(change: impl FnOnce(&mut Vec<(Value, Value)>)) -> Submission {
    let mut fields = job_fields();
    change(&mut fields);
    parse_submission(&encode(&Value::Map(fields)))
}

fn set_field(name: &'static str, value: Value) -> impl FnOnce(&mut Vec<(Value, Value)>) {
    move |fields| {
        fields.retain(|(k, _)| k.as_text() != Some(name));
        fields.push((Value::Text(name.into()), value));
    }
}

/// Asserts that the submission is invalid, that its job id was decoded, and that the error names the field.
#[track_caller]
fn assert_error_names_field(submission: &Submission, name: &str) {
    match submission {
        Submission::Invalid(JobId(412), error) => assert!(error.contains(name), "{name}: {error}"),
        other => panic!("{name}: {other:?}"),
    }
}

#[test]
fn submissions_are_validated() {
    assert!(matches!(changed_submission(|_| {}), Submission::Valid(_)));
    assert!(matches!(
        changed_submission(set_field("dueS", Value::Null)),
        Submission::Valid(_)
    ));
    let service = changed_submission(|fields| {
        set_field("shape", Value::from("service"))(fields);
        set_field("guessS", Value::from(0.0))(fields);
    });
    assert!(matches!(service, Submission::Valid(spec) if spec.is_service()));
    // The interface does not define an estimate or a deadline of a service as invalid, although a service has neither a run
    // time nor a deadline to meet.
    for (name, value) in [("guessS", 30.0), ("dueS", 60.0)] {
        let service = changed_submission(|fields| {
            set_field("shape", Value::from("service"))(fields);
            set_field(name, Value::from(value))(fields);
        });
        assert!(
            matches!(service, Submission::Valid(_)),
            "{name}: {service:?}"
        );
    }
    // Invalid submissions that name a job. The job may exist already, which has to be looked up before the rejection.
    let invalid_values = [
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
    for (name, value) in invalid_values {
        for shape in ["sweep", "service"] {
            let submission = changed_submission(|fields| {
                set_field("shape", Value::from(shape))(fields);
                set_field(name, value.clone())(fields);
            });
            assert_error_names_field(&submission, name);
        }
    }
    for name in ["jobclass", "crew", "shape", "pieces", "bundle", "guessS"] {
        let submission = changed_submission(|f| f.retain(|(k, _)| k.as_text() != Some(name)));
        assert_error_names_field(&submission, name);
    }
    // Bodies from which not even the id of a job can be decoded.
    for body in [&b""[..], b"\xff", b"\x80", b"hello", b"\xa1\x63ref\x01"] {
        assert!(
            matches!(parse_submission(body), Submission::Unidentified(_)),
            "{body:?}"
        );
    }
    let invalid_id = changed_submission(set_field("ref", Value::from("job-12")));
    assert!(matches!(invalid_id, Submission::Unidentified(_)));
}

/// Guards against treating a service as a late job, which yields to jobs that can still meet their deadlines: a deadline
/// that is submitted with a service is ignored.
#[test]
fn a_service_has_no_deadline() {
    for (shape, expected_deadline_ms) in [("sweep", Some(61_000.0)), ("service", None)] {
        let submission = changed_submission(|fields| {
            set_field("shape", Value::from(shape))(fields);
            set_field("dueS", Value::from(60.0))(fields);
        });
        let Submission::Valid(spec) = submission else {
            panic!("{submission:?}");
        };
        let record = JobRecord {
            spec: *spec,
            submitted_at_ms: 1000,
            tasks_per_record: 16,
        };
        assert_eq!(
            Job::new(record, Version(1)).deadline_ms(),
            expected_deadline_ms,
            "{shape}"
        );
    }
}

/// Deeply nested input must not overflow the stack.
#[test]
fn deep_nesting_is_rejected() {
    let mut body = vec![0x81; 60_000];
    body.push(0x01);
    assert!(matches!(
        parse_submission(&body),
        Submission::Unidentified(_)
    ));
}

#[test]
fn ids_are_parsed_in_canonical_form_only() {
    for valid in ["job-000000", "job-000412", "job-1000000"] {
        assert_eq!(
            JobId::parse(valid).map(|job| job.to_string()).as_deref(),
            Some(valid)
        );
    }
    for invalid in [
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
        assert_eq!(JobId::parse(invalid), None, "{invalid}");
    }
    assert_eq!(
        TaskId::parse("job-000412/3"),
        Some(TaskId {
            job: JobId(412),
            index: 3
        })
    );
    for invalid in [
        "job-000412",
        "job-000412/",
        "job-000412/-1",
        "job-000412/99999999999",
    ] {
        assert_eq!(TaskId::parse(invalid), None, "{invalid}");
    }
}
