//! Splits the lines of a scenario file into words, and looks up arguments among them.

use std::time::Duration;

use super::error::Problem;
use crate::simulated::clock::duration_from_seconds;

/// The words of one line, without comments. The first word is the keyword of a statement or command; the others
/// are positional arguments, pairs of a key and its value, or flags.
#[derive(Clone, Debug)]
pub(super) struct Line<'a> {
    words: Vec<&'a str>,
}

impl<'a> Line<'a> {
    /// Splits a line into words; `None` if it is empty but for a comment.
    pub(super) fn parse(text: &'a str) -> Option<Line<'a>> {
        let statement = text.split('#').next().unwrap_or("");
        let words: Vec<&str> = statement.split_whitespace().collect();
        (!words.is_empty()).then_some(Line { words })
    }

    /// The line without its first `count` words.
    pub(super) fn without(&self, count: usize) -> Line<'a> {
        let words = self.words.iter().skip(count).copied().collect();
        Line { words }
    }

    /// The first word, empty if there is none.
    pub(super) fn keyword(&self) -> &'a str {
        self.words.first().copied().unwrap_or("")
    }

    /// The word at a position; the keyword is at 0.
    pub(super) fn argument(&self, position: usize) -> Result<&'a str, Problem> {
        let word = self.words.get(position).copied();
        word.ok_or(Problem::MissingArgument { position })
    }

    /// The argument at a position as a number.
    pub(super) fn number_at(&self, position: usize) -> Result<f64, Problem> {
        number(self.argument(position)?)
    }

    /// The argument at a position as a duration, which is written in seconds.
    pub(super) fn duration_at(&self, position: usize) -> Result<Duration, Problem> {
        self.number_at(position).map(duration_from_seconds)
    }

    /// Whether the line contains a flag.
    pub(super) fn has(&self, flag: &str) -> bool {
        self.words.contains(&flag)
    }

    /// The value of a key: the word after it.
    pub(super) fn value_of(&self, key: &str) -> Option<&'a str> {
        self.words_after(key).first().copied()
    }

    /// The value of a key as a number.
    pub(super) fn number_of(&self, key: &str) -> Result<Option<f64>, Problem> {
        self.value_of(key).map(number).transpose()
    }

    /// The value of a key as a duration, which is written in seconds.
    pub(super) fn duration_of(&self, key: &str) -> Result<Option<Duration>, Problem> {
        let seconds = self.number_of(key)?;
        Ok(seconds.map(duration_from_seconds))
    }

    /// All words after a key.
    pub(super) fn words_after(&self, key: &str) -> &[&'a str] {
        match self.words.iter().position(|word| *word == key) {
            Some(position) => &self.words[position + 1..],
            None => &[],
        }
    }
}

fn number(word: &str) -> Result<f64, Problem> {
    let not_a_number = |_| Problem::NotANumber(word.to_owned());
    word.parse().map_err(not_a_number)
}
