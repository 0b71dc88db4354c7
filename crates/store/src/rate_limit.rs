//! A token bucket: a rate with bursts of about one second's worth.

use std::time::Duration;

use crate::ids::Time;

/// A token bucket that may be overdrawn, and then refills first.
#[derive(Debug)]
pub struct RateLimit {
    rate: f64,
    burst: f64,
    level: f64,
    last: Time,
    closed_until: Time,
    /// All that was ever spent, to tell others how much that is in a second.
    spent: f64,
}

impl RateLimit {
    /// A full bucket of that rate a second and that size.
    pub fn new(rate: f64, burst: f64) -> RateLimit {
        let burst = burst.max(1.0);
        RateLimit {
            rate,
            burst,
            level: burst,
            last: Time::default(),
            closed_until: Time::default(),
            spent: 0.0,
        }
    }

    /// The others spend more or less than before.
    pub fn set_rate(&mut self, now: Time, rate: f64) {
        self.refill(now);
        self.rate = rate;
    }

    /// All that was ever spent.
    pub fn spent(&self) -> f64 {
        self.spent
    }

    fn refill(&mut self, now: Time) {
        let gained = now.since(self.last).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.burst);
        self.last = self.last.max(now);
    }

    /// What may be spent now.
    pub fn available(&mut self, now: Time) -> f64 {
        self.refill(now);
        if now < self.closed_until {
            0.0
        } else {
            self.level
        }
    }

    /// The share of a full bucket that is left.
    pub fn share(&mut self, now: Time) -> f64 {
        self.available(now) / self.burst
    }

    /// Spends; what was needed beyond the level is a debt that delays later spending.
    pub fn spend(&mut self, now: Time, amount: f64) {
        self.refill(now);
        self.level -= amount;
        self.spent += amount;
    }

    /// The other side says that it is too much: others spend from the same budget.
    pub fn back_off(&mut self, now: Time, pause: Duration) {
        self.closed_until = self.closed_until.max(now.after(pause));
        self.level = self.level.min(0.0);
    }
}

/// What a node may spend a second of a budget that all nodes share: what the others leave of it, by
/// their own word, and its even share at the least. If all want more than that, each hears of the
/// others' wants and comes down to the even share.
pub fn share_of(total: f64, nodes: usize, others: f64) -> f64 {
    let even = total / nodes.max(1) as f64;
    (total - others).max(even)
}
