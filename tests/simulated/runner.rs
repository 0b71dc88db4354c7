//! Loads scenario files and runs them, with one simulation for each seed.

use std::ops::Range;
use std::path::Path;

use super::process::Launcher;
use super::script::Script;
use super::simulation::Simulation;

/// A scenario file.
pub struct Scenario {
    /// The file's name without its extension.
    pub name: String,
    script: Script,
}

impl Scenario {
    /// Reads `<directory>/<name>.scenario`. Panics if the file is missing or not valid.
    pub fn load(directory: &Path, name: &str) -> Scenario {
        let path = directory.join(format!("{name}.scenario"));
        let text = std::fs::read_to_string(&path)
            .unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        let script =
            Script::parse(&text).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        Scenario {
            name: name.to_owned(),
            script,
        }
    }

    /// Creates a simulation of the scenario, which has not run yet.
    pub fn simulation(&self, seed: u64, launcher: Launcher) -> Simulation {
        Simulation::new(&self.script, seed, launcher)
    }

    /// Runs the scenario with each seed. Returns one description for each run that failed.
    pub fn failures(&self, seeds: Range<u64>, launcher: Launcher) -> Vec<String> {
        let failure = |seed| {
            let error = self.simulation(seed, launcher).run().err()?;
            Some(format!("{}, seed {seed}:\n{error}", self.name))
        };
        seeds.filter_map(failure).collect()
    }
}

/// The names of all scenario files in a directory, without extension, sorted.
pub fn scenario_names(directory: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(directory)
        .unwrap_or_else(|error| panic!("{}: {error}", directory.display()));
    let paths = entries.map(|entry| entry.expect("a readable directory entry").path());
    let mut names: Vec<String> = paths
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "scenario")
        })
        .filter_map(|path| Some(path.file_stem()?.to_string_lossy().into_owned()))
        .collect();
    names.sort();
    names
}

/// The range of seeds in an environment variable, such as `100..200`; `None` if the variable is not set. Panics
/// if its value is not a range.
pub fn seeds_from_environment(variable: &str) -> Option<Range<u64>> {
    let text = std::env::var(variable).ok()?;
    let range = text.split_once("..").and_then(|(first, end)| {
        let first = first.parse().ok()?;
        let end = end.parse().ok()?;
        Some(first..end)
    });
    Some(range.unwrap_or_else(|| panic!("{variable} is {text}, not a range such as 100..200")))
}

/// Initializes the logging of the controllers with the level in `LOG_LEVEL`. Without it nothing is logged.
pub fn start_logging() {
    let level = std::env::var("LOG_LEVEL").ok();
    lichencrank::logging::init(level.as_deref().or(Some("off")));
}
