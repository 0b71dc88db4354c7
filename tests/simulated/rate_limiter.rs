//! A rate limiter that is a token bucket.

use super::clock::{seconds, SimTime};

/// A token bucket whose capacity is the number of tokens per second.
#[derive(Debug)]
pub struct RateLimiter {
    tokens_per_second: f64,
    tokens: f64,
    refilled_at: SimTime,
}

impl RateLimiter {
    /// Creates a full bucket.
    pub fn new(tokens_per_second: f64) -> RateLimiter {
        RateLimiter {
            tokens_per_second,
            tokens: tokens_per_second,
            refilled_at: SimTime::START,
        }
    }

    /// Takes the given number of tokens if the bucket has them. Returns whether it did.
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
