//! A rate limit as a token bucket, and how clients share a rate limit that applies to all of them together.

use std::time::Duration;

use crate::ids::Time;

/// A token bucket that may be overdrawn: refills pay off the debt first. A token stands for one request or change.
#[derive(Debug)]
pub struct RateLimit {
    /// Tokens that are added per second.
    tokens_per_s: f64,
    /// Most tokens that the bucket holds.
    max_tokens: f64,
    /// Tokens as of `refilled_at`; negative while the bucket is overdrawn.
    tokens: f64,
    refilled_at: Time,
    /// No tokens are available before this time.
    paused_until: Time,
    /// Tokens spent since the bucket was created.
    total_spent: f64,
}

impl RateLimit {
    /// A full bucket. It holds at least one token, also if `max_tokens` is less.
    pub fn new(tokens_per_s: f64, max_tokens: f64) -> RateLimit {
        let max_tokens = max_tokens.max(1.0);
        RateLimit {
            tokens_per_s,
            max_tokens,
            tokens: max_tokens,
            refilled_at: Time::default(),
            paused_until: Time::default(),
            total_spent: 0.0,
        }
    }

    /// Changes the refill rate from now on.
    pub fn set_rate(&mut self, now: Time, tokens_per_s: f64) {
        self.refill(now);
        self.tokens_per_s = tokens_per_s;
    }

    /// Tokens spent since the bucket was created. Clients calculate from it the rate that they report to each
    /// other.
    pub fn total_spent(&self) -> f64 {
        self.total_spent
    }

    /// Number of tokens that may be spent now; negative while the bucket is overdrawn, 0 during a pause.
    pub fn available(&mut self, now: Time) -> f64 {
        self.refill(now);
        if now < self.paused_until {
            0.0
        } else {
            self.tokens
        }
    }

    /// Available tokens as a fraction of a full bucket; negative while the bucket is overdrawn.
    pub fn available_fraction(&mut self, now: Time) -> f64 {
        self.available(now) / self.max_tokens
    }

    /// Spends tokens, possibly more than are available: the debt delays later spending.
    pub fn spend(&mut self, now: Time, tokens: f64) {
        self.refill(now);
        self.tokens -= tokens;
        self.total_spent += tokens;
    }

    /// Called when the server has rejected a request as over its rate limit, which other clients share: no tokens are
    /// available for the duration of `pause`, and the saved tokens are lost.
    pub fn back_off(&mut self, now: Time, pause: Duration) {
        self.paused_until = self.paused_until.max(now.after(pause));
        self.tokens = self.tokens.min(0.0);
    }

    fn refill(&mut self, now: Time) {
        let added = now.since(self.refilled_at).as_secs_f64() * self.tokens_per_s;
        self.tokens = (self.tokens + added).min(self.max_tokens);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// The share of one client in the rate `total_per_s`, which applies to all `client_count` clients together. It is the
/// part that the other clients leave, which report that they spend `others_per_s`, but at least an equal share. If
/// every client needs more than that, each learns how much the others spend, and all converge to the equal share.
pub fn client_share(total_per_s: f64, client_count: usize, others_per_s: f64) -> f64 {
    let equal_share_per_s = total_per_s / client_count.max(1) as f64;
    (total_per_s - others_per_s).max(equal_share_per_s)
}
