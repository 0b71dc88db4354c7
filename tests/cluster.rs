//! Failure scenarios: several controllers run the service's own code in simulated time.
//! `tests/scenarios/README.md` describes the scenario files. A failure prints the seed and the end of the run's
//! history.
//!
//! `CLUSTER_SEEDS=100..200` runs other seeds than those in the list below.

mod simulated;

use simulated::process::Launcher;
use simulated::runner::{scenario_names, seeds_from_environment, start_logging, Scenario};
use std::ops::Range;
use std::path::{Path, PathBuf};

fn scenario_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios")
}

fn play(name: &str, seeds: Range<u64>) {
    start_logging();
    let scenario = Scenario::load(&scenario_directory(), name);
    let seeds = seeds_from_environment("CLUSTER_SEEDS").unwrap_or(seeds);
    let failures = scenario.failures(seeds, Launcher::current());
    assert!(failures.is_empty(), "{}", failures.join("\n\n"));
}

/// Defines one test for each scenario file, which runs it with each of the seeds.
macro_rules! scenarios {
    ($($name:ident: $seeds:expr;)*) => {
        $(
            #[test]
            fn $name() {
                play(stringify!($name), $seeds);
            }
        )*

        const SCENARIOS: &[&str] = &[$(stringify!($name)),*];
    };
}

scenarios! {
    gap: 1..5;
    gap_confirmer_killed: 1..5;
    gap_confirmer_halted: 1..5;
    gap_cut: 1..5;
    gap_new_leader: 1..5;
    gap_blind: 1..5;
    close_looks: 1..5;
    lost_answers: 1..5;
    limits: 1..5;
    quota: 1..5;
    quota_capacity: 1..3;
    four_thousand: 1..2;
    changing_hands: 1..5;
    quick_machines: 1..5;
    lost_starts: 1..5;
    late_starts: 1..7;
    handover_in_outage: 1..7;
    old_reports: 1..5;
    one_task_jobs: 1..5;
    refused_then_out: 1..5;
    late_writes: 1..5;
    ten_leaders: 1..5;
    all_away: 1..5;
    zone_keeps_leases: 1..5;
    zone_flaps: 1..5;
    zone_returns_while_full: 1..5;
    zone_of_the_leader: 1..5;
    zone_and_state_service: 1..5;
    zone_services: 1..5;
    zones_three: 1..5;
    four_thousand_cut: 1..2;
    zone_home_cut: 1..5;
    zone_cut_cloud_away: 1..5;
    zone_cut: 1..5;
    unreachable_machines: 1..5;
    bound_jobs: 1..5;
    end_of_a_job: 1..5;
    odd_requests: 1..5;
    rollout: 1..3;
    services: 1..4;
    services_close_looks: 1..4;
    services_out_of_reach: 1..4;
    services_moved: 1..4;
    services_fail: 1..4;
    services_at_limit: 1..4;
    services_divided: 1..4;
    services_for_hours: 1..2;
}

#[test]
fn every_scenario_file_is_played() {
    let mut played = SCENARIOS.to_vec();
    played.sort_unstable();
    assert_eq!(scenario_names(&scenario_directory()), played);
}
