//! What all parts of a simulation use: time and events, random numbers, the history and the checker.

use std::ops::Range;
use std::time::Duration;

use super::checker::{Checker, Invariant, Observation};
use super::clock::SimTime;
use super::event_queue::{Event, EventQueue};
use super::faults::RandomFault;
use super::history::{History, Mark};

/// The random delays of a message, in milliseconds.
const NETWORK_LATENCY_MS: Range<u64> = 0..3;
const LEAST_NETWORK_LATENCY: Duration = Duration::from_millis(1);

/// Time, events, random numbers, history and checker of one simulation. All random numbers come from one
/// generator, so that a seed determines a run.
pub struct Context {
    queue: EventQueue,
    random: fastrand::Rng,
    history: History,
    checker: Checker,
}

impl Context {
    /// A context in which nothing has happened.
    pub fn new(queue: EventQueue, seed: u64, checker: Checker) -> Context {
        Context {
            queue,
            random: fastrand::Rng::with_seed(seed),
            history: History::default(),
            checker,
        }
    }

    /// The present time.
    pub fn now(&self) -> SimTime {
        self.queue.now()
    }

    /// Adds an event at a given time.
    pub fn schedule(&mut self, at: SimTime, event: Event) {
        self.queue.schedule(at, event);
    }

    /// Adds an event that takes place when the delay has passed.
    pub fn schedule_after(&mut self, delay: Duration, event: Event) {
        let at = self.now() + delay;
        self.schedule(at, event);
    }

    /// The next event up to `end`, at whose time it is from now on.
    pub fn next_event(&mut self, end: SimTime) -> Option<Event> {
        self.queue.pop(end)
    }

    /// A number for a connection. Connections and events are numbered together.
    pub fn next_connection_number(&mut self) -> u64 {
        self.queue.next_sequence_number()
    }

    /// The random numbers of the simulation.
    pub fn random(&mut self) -> &mut fastrand::Rng {
        &mut self.random
    }

    /// A random number of milliseconds.
    pub fn random_millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.random.u64(range))
    }

    /// How long a message takes.
    pub fn network_latency(&mut self) -> Duration {
        LEAST_NETWORK_LATENCY + self.random_millis(NETWORK_LATENCY_MS)
    }

    /// Whether a fault hits this time. Draws no random number once the fault is over.
    pub fn occurs(&mut self, fault: RandomFault) -> bool {
        fault.window.is_active(self.now()) && self.random.f64() < fault.probability
    }

    /// Adds a line to the history.
    pub fn note(&mut self, line: impl AsRef<str>) {
        let now = self.now();
        self.history.note(now, line.as_ref());
    }

    /// Sets a mark.
    pub fn mark(&mut self, mark: Mark) {
        let now = self.now();
        self.history.mark(now, mark);
    }

    /// Lines and marks so far.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Tells the checker what happened.
    pub fn observe(&mut self, observation: Observation) {
        let now = self.now();
        self.checker.observe(now, observation);
    }

    /// Tells the checker of a violation that it can't see itself.
    pub fn report(&mut self, invariant: Invariant, details: String) {
        let now = self.now();
        self.checker.report(now, invariant, details);
    }

    /// What the checker knows.
    pub fn checker(&self) -> &Checker {
        &self.checker
    }

    /// The checker, for what is not an [`Observation`].
    pub fn checker_mut(&mut self) -> &mut Checker {
        &mut self.checker
    }
}
