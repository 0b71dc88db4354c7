//! Prints one fingerprint a scenario and seed, over every message between nodes and stand-ins. A change
//! that is to leave the behaviour as it is leaves every line as it was:
//!
//! ```text
//! cargo test --release --test fingerprints -- --ignored --nocapture > before.txt
//! ```
//!
//! `FINGERPRINT_SEEDS=1..5` plays other seeds, `FINGERPRINT_SCENARIOS=gap,limits` only those scenarios.

mod simulated;

use simulated::process::Launcher;
use simulated::script::Script;
use simulated::World;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

const DEFAULT_SEEDS: std::ops::Range<u64> = 1..3;

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("FINGERPRINT_SEEDS") else {
        return DEFAULT_SEEDS;
    };
    let bounds = text
        .split_once("..")
        .expect("FINGERPRINT_SEEDS is FROM..TO");
    let bound = |text: &str| {
        text.parse()
            .expect("a bound of FINGERPRINT_SEEDS is a number")
    };
    bound(bounds.0)..bound(bounds.1)
}

fn is_selected(name: &str) -> bool {
    match std::env::var("FINGERPRINT_SCENARIOS") {
        Ok(names) => names.split(',').any(|selected| selected == name),
        Err(_) => true,
    }
}

fn scenario_name(path: &Path) -> String {
    let stem = path.file_stem().expect("a scenario has a file name");
    stem.to_string_lossy().into_owned()
}

fn scenarios() -> Vec<PathBuf> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let entries = std::fs::read_dir(directory).expect("the directory of the scenarios");
    let paths = entries.map(|entry| entry.expect("an entry of the directory").path());
    let mut scenarios: Vec<PathBuf> = paths
        .filter(|path| path.extension().is_some_and(|e| e == "scenario"))
        .filter(|path| is_selected(&scenario_name(path)))
        .collect();
    scenarios.sort();
    scenarios
}

fn fingerprint_line(path: &Path, seed: u64) -> String {
    let text = std::fs::read_to_string(path).expect("the text of a scenario");
    let script = Script::parse(&text);
    let mut world = World::new(script.site.clone(), seed, Launcher::current());
    let verdict = if world.play(&script).is_ok() {
        "passed"
    } else {
        "FAILED"
    };
    let name = scenario_name(path);
    format!("{name} {seed} {:016x} {verdict}", world.fingerprint())
}

#[test]
#[ignore = "compares the behaviour of two versions by hand"]
fn print_fingerprints() {
    let runs: Vec<(PathBuf, u64)> = scenarios()
        .into_iter()
        .flat_map(|path| seeds().map(move |seed| (path.clone(), seed)))
        .collect();
    let next = AtomicUsize::new(0);
    let lines = Mutex::new(Vec::new());
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((path, seed)) = runs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let line = fingerprint_line(path, *seed);
                    lines.lock().expect("no thread panicked").push(line);
                }
            });
        }
    });
    let mut lines = lines.into_inner().expect("no thread panicked");
    lines.sort();
    println!("{}", lines.join("\n"));
}
