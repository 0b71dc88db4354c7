//! Scripts: the content of scenario files. `tests/scenarios/README.md` describes the words that they consist of;
//! [`parser`] and [`command_parser`] map these to the terms of the simulation.

pub mod command;
mod command_parser;
mod error;
mod lexer;
mod parser;

use super::clock::SimTime;
use super::deployment::Deployment;
use super::history::Mark;
use command::Command;

/// A command and the time from which it may be executed.
#[derive(Clone, Debug)]
pub struct ScheduledCommand {
    /// The time of execution; for a command that waits for a takeover, the earliest one.
    pub not_before: SimTime,
    /// The command.
    pub command: Command,
}

/// A condition on the marks of a run, without which the run fails: a scenario has to bring about what it is
/// meant to test.
#[derive(Clone, Copy, Debug)]
pub enum Expectation {
    /// The mark is never set.
    Never(Mark),
    /// The mark is set a minimum number of times within a time range.
    AtLeast {
        /// The mark.
        mark: Mark,
        /// The minimum number of times.
        count: usize,
        /// Start of the time range, included.
        range_start: SimTime,
        /// End of the time range, included.
        range_end: SimTime,
    },
}

/// A scenario: a deployment, the commands to execute, and the expected results.
#[derive(Clone, Debug)]
pub struct Script {
    /// The deployment to simulate.
    pub deployment: Deployment,
    /// Commands to execute at a given time.
    pub commands: Vec<ScheduledCommand>,
    /// Commands to execute at the first takeover at the given time or later.
    pub takeover_commands: Vec<ScheduledCommand>,
    /// When the last fault ends.
    pub faults_end_at: SimTime,
    /// When the run ends.
    pub end_at: SimTime,
    /// What must have happened in the run, and what must not.
    pub expectations: Vec<Expectation>,
}
