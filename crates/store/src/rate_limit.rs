//! A rate limit as a token bucket, and how nodes share a rate that holds for all of them together.

use std::time::Duration;

use crate::ids::Time;

/// A token bucket that may be overdrawn: the debt is refilled first. Tokens stand for requests or changes.
#[derive(Debug)]
pub struct RateLimit {
    /// Tokens that are added a second.
    rate: f64,
    /// The most tokens that the bucket holds.
    burst: f64,
    /// Tokens as of `refilled_at`; negative while it is overdrawn.
    tokens: f64,
    refilled_at: Time,
    /// Nothing may be spent before.
    closed_until: Time,
    /// Tokens spent since the beginning.
    total_spent: f64,
}

impl RateLimit {
    /// A full bucket with that rate, in tokens a second, and size, in tokens (one at the least).
    pub fn new(rate: f64, burst: f64) -> RateLimit {
        let burst = burst.max(1.0);
        RateLimit {
            rate,
            burst,
            tokens: burst,
            refilled_at: Time::default(),
            closed_until: Time::default(),
            total_spent: 0.0,
        }
    }

    /// Changes the rate from now on, in tokens a second.
    pub fn set_rate(&mut self, now: Time, rate: f64) {
        self.refill(now);
        self.rate = rate;
    }

    /// Tokens spent since the beginning, from which nodes tell each other how much they spend a second.
    pub fn total_spent(&self) -> f64 {
        self.total_spent
    }

    /// How many tokens may be spent now; negative while the bucket is overdrawn, 0 during a pause.
    pub fn available(&mut self, now: Time) -> f64 {
        self.refill(now);
        if now < self.closed_until {
            0.0
        } else {
            self.tokens
        }
    }

    /// The available part of a full bucket, from 0 to 1; negative while it is overdrawn.
    pub fn available_fraction(&mut self, now: Time) -> f64 {
        self.available(now) / self.burst
    }

    /// Spends tokens, also more than there are: the debt delays later spending.
    pub fn spend(&mut self, now: Time, tokens: f64) {
        self.refill(now);
        self.tokens -= tokens;
        self.total_spent += tokens;
    }

    /// The server has refused a request as over the limit, since other clients spend from the same one:
    /// nothing may be spent for that long, and tokens saved until now are lost.
    pub fn back_off(&mut self, now: Time, pause: Duration) {
        self.closed_until = self.closed_until.max(now.after(pause));
        self.tokens = self.tokens.min(0.0);
    }

    fn refill(&mut self, now: Time) {
        let added = now.since(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + added).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// What one of `nodes` nodes may spend a second of a rate `total` that holds for all of them together:
/// what the others leave of it, who say that they spend `others` a second, but an even share at the
/// least. If all want more than that, each learns of the others' spending and comes down to the even share.
pub fn node_share(total: f64, nodes: usize, others: f64) -> f64 {
    let even_share = total / nodes.max(1) as f64;
    (total - others).max(even_share)
}
