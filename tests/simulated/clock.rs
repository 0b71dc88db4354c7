//! Simulated time.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

/// A moment of a simulation, in whole milliseconds since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SimTime(u64);

impl SimTime {
    /// The moment so many milliseconds after the start.
    pub const fn from_millis(milliseconds: u64) -> SimTime {
        SimTime(milliseconds)
    }

    /// How long this is after `earlier`; zero if it is before.
    pub fn since(self, earlier: SimTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for SimTime {
    type Output = SimTime;

    fn add(self, duration: Duration) -> SimTime {
        SimTime(self.0.saturating_add(duration.as_millis() as u64))
    }
}

/// Seconds, to the millisecond.
impl fmt::Display for SimTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = format!("{}.{:03} s", self.0 / 1000, self.0 % 1000);
        formatter.pad(&seconds)
    }
}

/// A number of seconds as a duration, cut to whole milliseconds.
pub fn duration_from_seconds(seconds: f64) -> Duration {
    Duration::from_millis((seconds * 1000.0) as u64)
}
