//! The names of settings in files, and which values are refused.

use lichencrank_zones::{DampingSettings, ZoneSettings};

/// Every setting by its name in files, each with a value other than the default.
const ALL_SETTINGS: &str = r#"{
    "lost_after_s": 11, "isolation_patience_s": 12, "displaced_at_once": 13,
    "displaced_per_minute": 14, "rented_at_once": 15, "rented_per_minute": 16,
    "return_share": 17, "return_doubling_s": 18, "return_window_s": 19,
    "damping": {
        "per_loss": 20, "half_life_s": 21, "suppress": 23, "reuse": 22, "ceiling": 24
    }
}"#;

#[test]
fn settings_are_read_by_their_names_in_files() {
    let settings: ZoneSettings = serde_json::from_str(ALL_SETTINGS).expect("settings");
    let expected = ZoneSettings {
        lost_after_s: 11.0,
        isolation_timeout_s: 12.0,
        displacement_burst: 13.0,
        displacement_per_minute: 14.0,
        provisioning_burst: 15.0,
        provisioning_per_minute: 16.0,
        return_initial_share: 17.0,
        return_doubling_s: 18.0,
        return_window_s: 19.0,
        damping: DampingSettings {
            penalty_per_loss: 20.0,
            half_life_s: 21.0,
            suppress_threshold: 23.0,
            reuse_threshold: 22.0,
            ceiling: 24.0,
        },
    };
    assert_eq!(settings, expected);
    let none: ZoneSettings = serde_json::from_str("{}").expect("settings");
    assert_eq!(none, ZoneSettings::default());
    let unknown = serde_json::from_str::<ZoneSettings>(r#"{"isolation_timeout_s": 1}"#);
    assert!(unknown.is_err(), "{unknown:?}");
}

#[test]
fn values_that_are_not_valid_are_refused_by_name() {
    assert_eq!(ZoneSettings::default().validate(), Ok(()));
    let seconds = "must be from 0.1 to 86400 seconds";
    let share = "must be a share from 0.001 to 100";
    let penalty = "must be from 1 to 1e9";
    let cases = [
        ("lost_after_s", "0", seconds),
        ("isolation_patience_s", "0", seconds),
        ("return_doubling_s", "-1", seconds),
        ("return_window_s", "1e9", seconds),
        ("displaced_at_once", "0", share),
        ("displaced_per_minute", "0", share),
        ("rented_at_once", "0", share),
        ("rented_per_minute", "0", share),
        ("return_share", "101", share),
        ("damping.half_life_s", "0", seconds),
        ("damping.per_loss", "0", penalty),
        ("damping.suppress", "1e10", penalty),
        ("damping.reuse", "2500", "must be below damping.suppress"),
        (
            "damping.suppress",
            "4001",
            "must be at most damping.ceiling",
        ),
    ];
    for (field, value, expected) in cases {
        let file = match field.split_once('.') {
            Some((section, field)) => format!(r#"{{"{section}": {{"{field}": {value}}}}}"#),
            None => format!(r#"{{"{field}": {value}}}"#),
        };
        let settings: ZoneSettings = serde_json::from_str(&file).expect("settings");
        let error = settings.validate().expect_err(&file);
        assert_eq!(error.to_string(), format!("{field}: {expected}"), "{file}");
    }
    let not_a_number = ZoneSettings {
        lost_after_s: f64::NAN,
        ..ZoneSettings::default()
    };
    let error = not_a_number.validate().expect_err("not a number");
    assert_eq!(error.field, "lost_after_s");
}
