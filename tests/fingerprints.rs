//! Prints a fingerprint for each scenario and seed: a hash of every message that a controller sends or receives.
//! A change that must not affect behaviour has to leave every line as it was:
//!
//! ```text
//! cargo test --release --test fingerprints -- --ignored --nocapture > before.txt
//! ```
//!
//! `FINGERPRINT_SEEDS=1..5` runs other seeds, `FINGERPRINT_SCENARIOS=gap,limits` only these scenarios.

#[allow(dead_code, reason = "the cluster test uses the rest of the simulation")]
mod simulated;

use simulated::process::Launcher;
use simulated::runner::{scenario_names, seeds_from_environment, Scenario};
use std::ops::Range;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

const DEFAULT_SEEDS: Range<u64> = 1..3;

fn is_selected(name: &str) -> bool {
    match std::env::var("FINGERPRINT_SCENARIOS") {
        Ok(names) => names.split(',').any(|selected| selected == name),
        Err(_) => true,
    }
}

/// The selected scenarios, sorted by name.
fn scenarios() -> Vec<Scenario> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    scenario_names(&directory)
        .iter()
        .filter(|name| is_selected(name))
        .map(|name| Scenario::load(&directory, name))
        .collect()
}

fn fingerprint_line(scenario: &Scenario, seed: u64) -> String {
    let mut simulation = scenario.simulation(seed, Launcher::current());
    let verdict = match simulation.run() {
        Ok(()) => "passed",
        Err(_) => "FAILED",
    };
    let name = &scenario.name;
    format!("{name} {seed} {:016x} {verdict}", simulation.fingerprint())
}

#[test]
#[ignore = "prints fingerprints, to be compared by hand between two versions"]
fn print_fingerprints() {
    let seeds = seeds_from_environment("FINGERPRINT_SEEDS").unwrap_or(DEFAULT_SEEDS);
    let scenarios = scenarios();
    let runs: Vec<(&Scenario, u64)> = scenarios
        .iter()
        .flat_map(|scenario| seeds.clone().map(move |seed| (scenario, seed)))
        .collect();
    let next_run = AtomicUsize::new(0);
    let lines = Mutex::new(Vec::new());
    let thread_count = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..thread_count {
            scope.spawn(|| {
                while let Some((scenario, seed)) =
                    runs.get(next_run.fetch_add(1, Ordering::Relaxed))
                {
                    let line = fingerprint_line(scenario, *seed);
                    lines.lock().expect("no thread panicked").push(line);
                }
            });
        }
    });
    let mut lines = lines.into_inner().expect("no thread panicked");
    lines.sort();
    println!("{}", lines.join("\n"));
}
