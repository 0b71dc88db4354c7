//! Budgets: so many at once, and so many in a minute.

use lichencrank_store::Time;

/// A token bucket whose size and rate are shares of a number of machines that changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    available: f64,
    at: Time,
}

/// What a budget allows, in machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// At once.
    pub at_once: f64,
    /// In a minute.
    pub per_minute: f64,
}

/// Even of the smallest zone something moves at once and in a minute, or its work would wait for ever.
const LEAST_AT_ONCE: f64 = 2.0;
const LEAST_PER_MINUTE: f64 = 6.0;
const MINUTE_S: f64 = 60.0;

impl Allowance {
    /// What shares of that many machines allow.
    pub fn of(machines: usize, at_once: f64, per_minute: f64) -> Allowance {
        let machines = machines as f64;
        Allowance {
            at_once: (machines * at_once).max(LEAST_AT_ONCE),
            per_minute: (machines * per_minute).max(LEAST_PER_MINUTE),
        }
    }
}

impl Budget {
    /// A full budget.
    pub fn full(now: Time) -> Budget {
        Budget {
            available: f64::INFINITY,
            at: now,
        }
    }

    /// How many may be taken now.
    pub fn available(&mut self, now: Time, allowance: Allowance) -> usize {
        let passed = now.since(self.at).as_secs_f64();
        let filled = self.available + passed * allowance.per_minute / MINUTE_S;
        self.available = filled.min(allowance.at_once);
        self.at = now;
        self.available as usize
    }

    /// Takes that many, at most what [`Budget::available`] said.
    pub fn take(&mut self, count: usize) {
        self.available = (self.available - count as f64).max(0.0);
    }
}
