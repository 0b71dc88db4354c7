//! A token bucket: a service that takes so many requests in a second.

use super::clock::{seconds, SimTime};

/// A bucket that holds the tokens of one second.
#[derive(Debug)]
pub struct RateLimiter {
    tokens_per_second: f64,
    tokens: f64,
    refilled_at: SimTime,
}

impl RateLimiter {
    /// A full bucket.
    pub fn new(tokens_per_second: f64) -> RateLimiter {
        RateLimiter {
            tokens_per_second,
            tokens: tokens_per_second,
            refilled_at: SimTime::START,
        }
    }

    /// Takes so many tokens, if they are there.
    pub fn try_take(&mut self, now: SimTime, tokens: f64) -> bool {
        let elapsed_seconds = seconds(now.since(self.refilled_at));
        let refilled = self.tokens + elapsed_seconds * self.tokens_per_second;
        self.tokens = refilled.min(self.tokens_per_second);
        self.refilled_at = now;
        let is_enough = self.tokens >= tokens;
        if is_enough {
            self.tokens -= tokens;
        }
        is_enough
    }
}
