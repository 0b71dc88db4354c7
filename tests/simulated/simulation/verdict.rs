//! The verdict on a run: what must hold at its end, and what must have taken place.

use std::fmt;

use super::Simulation;
use crate::simulated::checker::{Invariant, Violation};
use crate::simulated::clock::SimTime;
use crate::simulated::script::Expectation;

/// How much of the history a failure shows.
const SHOWN_HISTORY_LINES: usize = 150;
/// Where the store holds the records of work that is not over.
const RECORDS_OF_OPEN_WORK: [&str; 2] = ["run/", "live/"];

/// Why a run failed.
#[derive(Debug)]
pub struct RunFailure {
    violations: Vec<Violation>,
    unmet_expectations: Vec<String>,
    /// The last lines of the history.
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
            writeln!(formatter, "the scenario was missed: {expectation}")?;
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
        for prefix in RECORDS_OF_OPEN_WORK {
            let count = self.store.contents().key_count(prefix);
            if count > 0 {
                let details = format!("{count} records under {prefix} are left");
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
                (seen > 0).then(|| format!("{mark:?} took place {seen} times"))
            }
            Expectation::AtLeast {
                mark,
                count,
                from,
                to,
            } => {
                let seen = history.count(mark, from, to);
                (seen < count).then(|| format!("{mark:?} took place {seen} times, not {count}"))
            }
        };
        self.expectations.iter().filter_map(unmet).collect()
    }
}
