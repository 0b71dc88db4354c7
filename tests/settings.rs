//! Validation of settings and tuning: invalid files are rejected with an error that names the field.

use lichencrank::settings::{Settings, Tuning};
use serde_json::{json, Value};

fn valid_settings() -> Value {
    json!({
        "host_name": "n0", "area": "a", "front": "127.0.0.1:1", "internal_addr": "127.0.0.1:2",
        "others": [{"host_name": "n1", "area": "a", "addr": "127.0.0.1:3", "new": 1}],
        "outside": {"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"},
        "settings": {
            "zones": ["a"],
            "teams": [{"name": "t", "cpus": 0.0, "cpus_max": 0.0, "gpus": null}],
            "workers": {"report_s": 3.0, "lease_s": 16.0, "cancel_s": 41.0},
            "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 24, "next": null},
            "cloud": {"rps": 5.0, "list_lag_s": 5.0},
            "resources": {"cpu_share": 0.064, "mem_mb": 40.0, "sockets": 800},
            "tomorrow": {"anything": []}
        }
    })
}

#[test]
fn unknown_fields_are_ignored_and_null_means_absent() {
    let mut settings = valid_settings();
    settings["others"] = Value::Null;
    let settings = Settings::parse(&settings.to_string()).expect("valid settings");
    assert!(settings.peers.is_empty());
    let team = &settings.shared.teams[0];
    // 0 means no limit and no guarantee, so that a team with both can still run tasks.
    assert_eq!(team.limits(), (f64::INFINITY, f64::INFINITY));
    assert_eq!(team.guaranteed(), (0.0, 0.0));
}

#[test]
fn errors_name_missing_and_contradictory_fields() {
    let cases: &[(&str, Value, &str)] = &[
        ("/host_name", json!(null), "host_name"),
        ("/host_name", json!(""), "host_name"),
        ("/front", json!("nowhere"), "front"),
        ("/outside/state", json!(null), "outside.state"),
        ("/settings/zones", json!([]), "zones"),
        ("/settings/workers/lease_s", json!(2.0), "lease_s"),
        ("/settings/workers/cancel_s", json!(-1.0), "cancel_s"),
        ("/settings/state/write_rps", json!(0), "write_rps"),
        ("/settings/state/txn_ops", json!(1), "txn_ops"),
        ("/settings/resources/sockets", json!(3), "sockets"),
        (
            "/settings/state/next",
            json!({"write_rps": 0}),
            "state.next.write_rps",
        ),
        (
            "/settings/state/next",
            json!({"value_kb": -2.0}),
            "state.next.value_kb",
        ),
        (
            "/settings/state/next",
            json!({"rps": "many"}),
            "state.next.rps",
        ),
        (
            "/settings/state/next",
            json!({"txn_ops": 0}),
            "state.next.txn_ops",
        ),
        (
            "/settings/state/next",
            json!({"txn_ops": -1}),
            "state.next.txn_ops",
        ),
        (
            "/settings/teams",
            json!([{"name": "t"}, {"name": "t"}]),
            "twice",
        ),
        (
            "/settings/teams",
            json!([{"name": "t", "cpus": 9.0, "cpus_max": 8.0}]),
            "more than its limit",
        ),
        ("/others/0/host_name", json!("n0"), "twice"),
    ];
    for (pointer, value, expected_text) in cases {
        let mut settings = valid_settings();
        let field = settings.pointer_mut(pointer).expect("a field");
        *field = value.clone();
        let error = Settings::parse(&settings.to_string()).expect_err(pointer);
        assert!(
            error.contains(expected_text),
            "{pointer} = {value}: {error}"
        );
        assert!(!error.contains('\n'), "{error}");
    }
}

#[test]
fn tuning_is_optional_and_validated() {
    for text in ["", "leader_lease_s: 5\nnot_known: 1\n"] {
        assert!(Tuning::parse(text).is_ok(), "{text}");
    }
    for (text, field) in [
        ("leader_lease_s: 0.01", "leader_lease_s"),
        ("idle_return_s: .nan", "idle_return_s"),
        ("boot_patience: soon", "boot_patience"),
    ] {
        let error = Tuning::parse(text).expect_err(text);
        assert!(error.contains(field), "{text}: {error}");
    }
}

/// Future limits (`state.next`) apply from the start, as the time of the change is not announced. A limit that they do not
/// name, or raise, stays as it is.
#[test]
fn the_lower_of_current_and_future_limit_applies() {
    let effective_limits = |next: Value| {
        let mut settings = valid_settings();
        settings["settings"]["state"]["next"] = next;
        let settings = Settings::parse(&settings.to_string()).expect("valid settings");
        let limits = settings.shared.state_service;
        (
            limits.requests_per_s,
            limits.changes_per_s,
            limits.max_value_kib,
            limits.max_txn_changes,
        )
    };
    assert_eq!(effective_limits(json!(null)), (150.0, 60.0, 32.0, 24));
    assert_eq!(effective_limits(json!({})), (150.0, 60.0, 32.0, 24));
    let lowered = json!({"write_rps": 21.0, "value_kb": 2.0, "txn_ops": 5, "new": 1});
    assert_eq!(effective_limits(lowered), (150.0, 21.0, 2.0, 5));
    let mixed = json!({"rps": 100.0, "write_rps": null, "value_kb": 64.0, "txn_ops": 8});
    assert_eq!(effective_limits(mixed), (100.0, 60.0, 32.0, 8));
}

/// Runs the program with `--check` on a settings file with these future limits (`state.next`). Returns whether it
/// succeeded, and its standard error.
fn check_with_future_limits(name: &str, next: &str) -> (bool, String) {
    let mut settings = valid_settings();
    settings["settings"]["state"]["next"] = json!("NEXT");
    let text = match next {
        "missing" => settings.to_string().replace("\"next\":\"NEXT\",", ""),
        next => settings.to_string().replace("\"NEXT\"", next),
    };
    assert!(!text.contains("NEXT"), "{text}");
    let file = std::env::temp_dir().join(format!("lichencrank-{}-{name}.json", std::process::id()));
    std::fs::write(&file, text).expect("a settings file");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_lichencrank"))
        .args(["--check", "--config"])
        .arg(&file)
        .output()
        .expect("the program runs");
    std::fs::remove_file(&file).expect("the settings file is there");
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.success(), errors)
}

/// The program starts with future limits that are null, missing, partial or higher than the current ones. Invalid ones end
/// it with one line that names the field.
#[test]
fn future_limits_in_the_file_are_validated() {
    let valid = [
        "missing",
        "null",
        "{}",
        r#"{"value_kb": 2.0, "txn_ops": 5, "write_rps": 21.0, "rps": 100}"#,
        r#"{"value_kb": null, "txn_ops": 8}"#,
        r#"{"value_kb": 1024, "txn_ops": 999, "write_rps": 1e6, "rps": 1e6}"#,
        r#"{"of_later": [1, 2]}"#,
    ];
    for (number, next) in valid.into_iter().enumerate() {
        let (is_valid, errors) = check_with_future_limits(&format!("valid-{number}"), next);
        assert!(is_valid, "{next}: {errors}");
    }
    let invalid = [
        (r#"{"value_kb": 0}"#, "settings.state.next.value_kb"),
        (r#"{"value_kb": -2.0}"#, "settings.state.next.value_kb"),
        (r#"{"value_kb": "2"}"#, "settings.state.next.value_kb"),
        (r#"{"value_kb": 1e999}"#, "settings.state.next.value_kb"),
        (r#"{"txn_ops": 0}"#, "settings.state.next.txn_ops"),
        (r#"{"txn_ops": -5}"#, "settings.state.next.txn_ops"),
        (r#"{"txn_ops": 5.5}"#, "settings.state.next.txn_ops"),
        (r#"{"txn_ops": true}"#, "settings.state.next.txn_ops"),
        (r#"{"write_rps": 0.0}"#, "settings.state.next.write_rps"),
        (r#"{"write_rps": []}"#, "settings.state.next.write_rps"),
        (r#"{"rps": -1}"#, "settings.state.next.rps"),
        (r#""soon""#, "settings.state.next"),
        ("7", "settings.state.next"),
    ];
    for (number, (next, field)) in invalid.into_iter().enumerate() {
        let (is_valid, errors) = check_with_future_limits(&format!("invalid-{number}"), next);
        assert!(!is_valid, "{next}");
        assert!(errors.contains(field), "{next}: {errors}");
        assert_eq!(errors.trim_end().lines().count(), 1, "{errors}");
    }
}
