//! The result of a run: the checks at its end, and whether the expectations of the scenario were met.

use std::fmt;

use super::Simulation;
use crate::simulated::checker::{Invariant, Violation};
use crate::simulated::clock::SimTime;
use crate::simulated::script::Expectation;

/// Number of history lines that are printed for a failed run.
const SHOWN_HISTORY_LINES: usize = 150;
/// Key prefixes of the records of open jobs. At the end of a scenario none may be left.
const OPEN_JOB_PREFIXES: [&str; 2] = ["run/", "live/"];

/// Why a run failed.
#[derive(Debug)]
pub struct RunFailure {
    violations: Vec<Violation>,
    unmet_expectations: Vec<String>,
    /// The last lines of the run's history.
    history: Vec<String>,
    fingerprint: u64,
}

impl fmt::Display for RunFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.history {
            writeln!(formatter, "{line}")?;
        }
        for violation in &self.violations {
            writeln!(formatter, "{violation}")?;
        }
        for expectation in &self.unmet_expectations {
            writeln!(
                formatter,
                "expectation of the scenario not met: {expectation}"
            )?;
        }
        write!(
            formatter,
            "fingerprint of the run: {:016x}",
            self.fingerprint
        )
    }
}

impl Simulation {
    pub(super) fn check_end(&mut self) {
        self.context.checker_mut().check_end(self.end_at);
        for prefix in OPEN_JOB_PREFIXES {
            let count = self.store.contents().key_count(prefix);
            if count > 0 {
                let details = format!("{count} records with the prefix {prefix} are left");
                self.context.report(Invariant::RecordsAreCollected, details);
            }
        }
    }

    pub(super) fn verdict(&self) -> Result<(), RunFailure> {
        let violations = self.context.checker().violations().to_vec();
        let unmet_expectations = self.unmet_expectations();
        if violations.is_empty() && unmet_expectations.is_empty() {
            return Ok(());
        }
        let history = self.context.history().last_lines(SHOWN_HISTORY_LINES);
        Err(RunFailure {
            violations,
            unmet_expectations,
            history: history.to_vec(),
            fingerprint: self.fingerprint(),
        })
    }

    fn unmet_expectations(&self) -> Vec<String> {
        let history = self.context.history();
        let unmet = |expectation: &Expectation| match *expectation {
            Expectation::Never(mark) => {
                let seen = history.count(mark, SimTime::START, SimTime::MAX);
                (seen > 0).then(|| format!("{mark:?} occurred {seen} times, expected never"))
            }
            Expectation::AtLeast {
                mark,
                count,
                range_start,
                range_end,
            } => {
                let seen = history.count(mark, range_start, range_end);
                (seen < count)
                    .then(|| format!("{mark:?} occurred {seen} times, expected at least {count}"))
            }
        };
        self.expectations.iter().filter_map(unmet).collect()
    }
}
