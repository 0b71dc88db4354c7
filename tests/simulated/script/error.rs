//! Errors in scenario files.

use std::fmt;

/// A line of a scenario file that can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScriptError {
    /// Number of the line, from 1.
    pub(super) line_number: usize,
    pub(super) problem: Problem,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Problem {
    /// The keyword of a statement or command is not known.
    UnknownKeyword(String),
    /// An argument is none of the words that are valid in its place.
    UnknownWord {
        expected: &'static str,
        found: String,
    },
    MissingArgument {
        position: usize,
    },
    NotANumber(String),
}

impl fmt::Display for ScriptError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "line {}: ", self.line_number)?;
        match &self.problem {
            Problem::UnknownKeyword(word) => write!(formatter, "unknown keyword {word}"),
            Problem::UnknownWord { expected, found } => {
                write!(formatter, "{found} is not a known {expected}")
            }
            Problem::MissingArgument { position } => {
                write!(formatter, "argument {position} is missing")
            }
            Problem::NotANumber(word) => write!(formatter, "{word} is not a number"),
        }
    }
}

impl std::error::Error for ScriptError {}

/// The problem that `found` is not a word of the kind that is expected in its place.
pub(super) fn unknown_word(expected: &'static str, found: &str) -> Problem {
    let found = found.to_owned();
    Problem::UnknownWord { expected, found }
}
