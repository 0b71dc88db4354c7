//! Copies of direct commands, which the network delivers late in every scenario.

use std::collections::VecDeque;
use std::time::Duration;

use ciborium::Value;

use crate::simulated::context::Context;
use crate::simulated::event_queue::Event;
use crate::simulated::ids::CallHandle;

/// Probability with which a copy of a direct command arrives late.
const LATE_PROBABILITY: f64 = 0.15;
/// Delay of such a copy in milliseconds. At the shortest, its sender no longer awaits a response.
const LATE_DELAY_MS: std::ops::Range<u64> = 5_000..180_000;
/// Probability with which a copy is retained until a controller is killed.
const RETENTION_PROBABILITY: f64 = 0.15;
/// Delay of retained copies after a controller was killed, in milliseconds.
const RETAINED_DELAY_MS: std::ops::Range<u64> = 5..900;
/// The oldest retained copies beyond this number are dropped.
const MAX_RETAINED_COPIES: usize = 400;

/// A direct command and the host to which it was sent.
struct SentCommand {
    host: String,
    call: CallHandle,
    command: Value,
}

impl SentCommand {
    fn arrival(self) -> Event {
        Event::WorkerCommand {
            host: self.host,
            call: self.call,
            command: self.command,
        }
    }
}

/// Which direct commands are copied. It has random numbers of its own, so that the other faults of a seed do not depend
/// on the commands that are sent.
pub struct CommandCopies {
    random: fastrand::Rng,
    retained: VecDeque<SentCommand>,
}

impl CommandCopies {
    /// Copies commands as the seed determines.
    pub fn new(seed: u64) -> CommandCopies {
        CommandCopies {
            random: fastrand::Rng::with_seed(seed),
            retained: VecDeque::new(),
        }
    }

    /// Copies a direct command to a worker, or not, at random.
    pub fn copy(&mut self, context: &mut Context, host: &str, call: CallHandle, command: &Value) {
        let sent_command = || SentCommand {
            host: host.to_owned(),
            call,
            command: command.clone(),
        };
        if self.random.f64() < LATE_PROBABILITY {
            let delay = Duration::from_millis(self.random.u64(LATE_DELAY_MS));
            context.schedule_after(delay, sent_command().arrival());
        }
        if self.random.f64() < RETENTION_PROBABILITY {
            self.retained.push_back(sent_command());
            if self.retained.len() > MAX_RETAINED_COPIES {
                self.retained.pop_front();
            }
        }
    }

    /// Delivers the retained copies, as a controller was killed.
    pub fn send_retained(&mut self, context: &mut Context) {
        for sent_command in std::mem::take(&mut self.retained) {
            let delay = Duration::from_millis(self.random.u64(RETAINED_DELAY_MS));
            context.schedule_after(delay, sent_command.arrival());
        }
    }
}
