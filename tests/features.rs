//! The features file: which files are valid, which errors end the program at its start, and that all features are disabled
//! without a file.

use lichencrank::features::Features;

#[test]
fn without_a_file_all_features_are_disabled() {
    let features = Features::parse("").expect("an empty file");
    assert_eq!(features, Features::default());
    assert!(!features.quota.enabled);
}

#[test]
fn the_deployed_file_is_valid() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/features.yaml");
    let features = Features::load(std::path::Path::new(file)).expect("the deployed file");
    assert!(!features.quota.enabled);
}

#[test]
fn quota_capacity_is_read() {
    let text = "quota: {enabled: true, capacity_cpus: 1200, capacity_gpus: 64.5}";
    let quota = Features::parse(text).expect("a capacity").quota;
    assert_eq!(
        (quota.capacity_cpus, quota.capacity_gpus),
        (Some(1200.0), Some(64.5))
    );
}

/// The error names the invalid field, whatever the reason.
#[test]
fn errors_name_the_field() {
    let invalid = [
        ("quotas: {enabled: true}", "quotas"),
        ("quota: {enable: true}", "enable"),
        ("quota: {enabled: maybe}", "quota.enabled"),
        (
            "quota: {enabled: true, capacity_cpus: lots}",
            "quota.capacity_cpus",
        ),
        (
            "quota: {enabled: true, capacity_cpus: -5}",
            "quota.capacity_cpus",
        ),
        (
            "quota: {enabled: true, capacity_gpus: .nan}",
            "quota.capacity_gpus",
        ),
        ("quota: {capacity_cpus: 5}", "quota.capacity_cpus"),
        ("quota", "quota"),
    ];
    for (text, field) in invalid {
        let error = Features::parse(text).expect_err(text);
        assert!(error.contains(field), "{text}: {error}");
    }
}

#[test]
fn zones_have_defaults_and_are_disabled() {
    assert!(Features::default().zones.settings_if_enabled().is_none());
    let text = "zones: {enabled: true, settings: {lost_after_s: 9, damping: {half_life_s: 60}}}";
    let settings = Features::parse(text)
        .expect("zones")
        .zones
        .settings_if_enabled();
    let settings = settings.expect("the feature is enabled");
    assert_eq!(
        (settings.lost_after_s, settings.damping.half_life_s),
        (9.0, 60.0)
    );
    assert_eq!(settings.return_window_s, 15.0);
}

#[test]
fn errors_name_the_zone_setting() {
    let invalid = [
        (
            "zones: {enabled: true, settings: {displaced_at_once: 0}}",
            "displaced_at_once",
        ),
        (
            "zones: {enabled: true, settings: {damping: {reuse: 5000}}}",
            "damping.reuse",
        ),
        (
            "zones: {enabled: true, settings: {lost_after: 3}}",
            "lost_after",
        ),
        ("zones: {settings: {lost_after_s: 3}}", "zones.settings"),
    ];
    for (text, field) in invalid {
        let error = Features::parse(text).expect_err(text);
        assert!(error.contains(field), "{error}");
    }
}
