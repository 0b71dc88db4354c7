//! Simulated time. It doesn't advance while code runs, and jumps from one event to the next.

use std::cell::Cell;
use std::fmt;
use std::ops::Add;
use std::rc::Rc;
use std::time::Duration;

/// A point in simulated time, in whole milliseconds since the start of the simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SimTime(u64);

impl SimTime {
    /// The start of the simulation.
    pub const START: SimTime = SimTime(0);
    /// Later than any event.
    pub const MAX: SimTime = SimTime(u64::MAX);

    /// The time at the given number of milliseconds after the start.
    pub const fn from_millis(milliseconds: u64) -> SimTime {
        SimTime(milliseconds)
    }

    /// Milliseconds since the start.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The duration since `earlier`. Zero if `earlier` is later than this time.
    pub fn since(self, earlier: SimTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The time that is earlier by `duration`, but not before the start.
    pub fn saturating_sub(self, duration: Duration) -> SimTime {
        SimTime(self.0.saturating_sub(duration.as_millis() as u64))
    }
}

impl Add<Duration> for SimTime {
    type Output = SimTime;

    fn add(self, duration: Duration) -> SimTime {
        SimTime(self.0.saturating_add(duration.as_millis() as u64))
    }
}

/// Writes the time in seconds with three decimal places.
impl fmt::Display for SimTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = format!("{}.{:03} s", self.0 / 1000, self.0 % 1000);
        formatter.pad(&seconds)
    }
}

/// The clock of a simulation. Clones share the time.
#[derive(Clone, Debug, Default)]
pub struct SimClock(Rc<Cell<SimTime>>);

impl SimClock {
    /// The current time.
    pub fn now(&self) -> SimTime {
        self.0.get()
    }

    /// Sets the time of the clock and all its clones.
    pub fn advance_to(&self, time: SimTime) {
        self.0.set(time);
    }
}

/// Converts seconds to a duration, truncated to whole milliseconds.
pub fn duration_from_seconds(seconds: f64) -> Duration {
    Duration::from_millis((seconds * 1000.0) as u64)
}

/// Converts a duration of whole milliseconds to seconds with a single rounding. `Duration::as_secs_f64` adds two
/// rounded numbers.
pub fn seconds(duration: Duration) -> f64 {
    duration.as_millis() as f64 / 1000.0
}
