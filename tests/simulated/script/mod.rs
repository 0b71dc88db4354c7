//! Scenario scripts. `tests/scenarios/README.md` lists their words; [`parser`] and [`command_parser`] map
//! them to the terms of the simulation.

pub mod command;
mod command_parser;
mod error;
mod lexer;
mod parser;

use super::clock::SimTime;
use super::deployment::Deployment;
use super::history::Mark;
use command::Command;

/// A command and its time.
#[derive(Clone, Debug)]
pub struct ScheduledCommand {
    /// When it is carried out, or from when on it may be.
    pub at: SimTime,
    /// What is to happen.
    pub command: Command,
}

/// What the history of a run has to show for the run to count.
#[derive(Clone, Copy, Debug)]
pub enum Expectation {
    /// The mark is never set.
    Never(Mark),
    /// The mark is set so often.
    AtLeast {
        /// The mark.
        mark: Mark,
        /// The least number of times.
        count: usize,
        /// The times count from here.
        from: SimTime,
        /// The times count to here.
        to: SimTime,
    },
}

/// A scenario: a deployment, what happens to it, and what has to come of that.
#[derive(Clone, Debug)]
pub struct Script {
    /// Where the scenario plays.
    pub deployment: Deployment,
    /// What happens when.
    pub commands: Vec<ScheduledCommand>,
    /// What happens as soon as a leader has won its term at the given time or later.
    pub takeover_commands: Vec<ScheduledCommand>,
    /// When all faults are over.
    pub faults_end_at: SimTime,
    /// When the run ends.
    pub end_at: SimTime,
    /// What has to have taken place by then.
    pub expectations: Vec<Expectation>,
}
