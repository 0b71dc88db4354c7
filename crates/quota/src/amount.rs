//! Fixed-point amounts of CPUs and GPUs, so that sums neither drift nor round.

use std::fmt;
use std::ops::{Add, AddAssign};

use serde::{Deserialize, Serialize};

/// Units of one CPU or GPU.
const UNITS: u64 = 1_000_000;

/// An amount of one resource, in millionths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Amount(u64);

impl Amount {
    /// Nothing.
    pub const ZERO: Amount = Amount(0);
    /// Where no limit is set. It stays unlimited whatever is taken from it.
    pub const UNLIMITED: Amount = Amount(u64::MAX);

    /// An amount of whole CPUs or GPUs.
    pub const fn whole(count: u64) -> Amount {
        Amount(count.saturating_mul(UNITS))
    }

    /// What a task needs: rounded up, so that the sum of many never understates.
    pub fn needed(decimal: f64) -> Amount {
        Amount::rounded(decimal, f64::ceil)
    }

    /// What a limit or a guarantee allows: rounded down.
    pub fn allowed(decimal: f64) -> Amount {
        Amount::rounded(decimal, f64::floor)
    }

    /// A limit as operators write it, where 0 means none.
    pub fn limit(decimal: f64) -> Amount {
        if decimal > 0.0 {
            Amount::allowed(decimal)
        } else {
            Amount::UNLIMITED
        }
    }

    fn rounded(decimal: f64, round: fn(f64) -> f64) -> Amount {
        let units = decimal.max(0.0) * UNITS as f64;
        // Decimals such as 0.1 have no exact form; what is that close was meant.
        let nearest = units.round();
        let meant = if (units - nearest).abs() < 1e-3 {
            nearest
        } else {
            round(units)
        };
        Amount(meant as u64)
    }

    /// Whether there is none.
    pub fn is_zero(self) -> bool {
        self == Amount::ZERO
    }

    /// What is left of it without the other, zero at the least.
    pub fn without(self, other: Amount) -> Amount {
        if self == Amount::UNLIMITED {
            return self;
        }
        Amount(self.0.saturating_sub(other.0))
    }

    /// How many times it fits into that room; `None` if it takes nothing.
    fn times_in(self, room: Amount) -> Option<u64> {
        room.0.checked_div(self.0)
    }

    /// The part that one of `count` gets.
    pub fn share(self, count: u64) -> Amount {
        Amount(self.0 / count.max(1))
    }

    /// So many times as much.
    pub fn times(self, count: u64) -> Amount {
        Amount(self.0.saturating_mul(count))
    }

    /// As a decimal number of CPUs or GPUs.
    pub fn as_decimal(self) -> f64 {
        if self == Amount::UNLIMITED {
            return f64::INFINITY;
        }
        self.0 as f64 / UNITS as f64
    }
}

impl Add for Amount {
    type Output = Amount;

    fn add(self, other: Amount) -> Amount {
        Amount(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Amount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if *self == Amount::UNLIMITED {
            return f.write_str("unlimited");
        }
        let (whole, part) = (self.0 / UNITS, self.0 % UNITS);
        if part == 0 {
            return write!(f, "{whole}");
        }
        let digits = format!("{part:06}");
        write!(f, "{whole}.{}", digits.trim_end_matches('0'))
    }
}

/// An amount of each resource that teams have limits on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Usage {
    /// CPUs.
    pub cpus: Amount,
    /// GPUs.
    pub gpus: Amount,
}

impl Usage {
    /// Nothing.
    pub const ZERO: Usage = Usage {
        cpus: Amount::ZERO,
        gpus: Amount::ZERO,
    };
    /// Without a limit.
    pub const UNLIMITED: Usage = Usage {
        cpus: Amount::UNLIMITED,
        gpus: Amount::UNLIMITED,
    };

    /// So many whole CPUs.
    pub const fn of_cpus(count: u64) -> Usage {
        Usage {
            cpus: Amount::whole(count),
            gpus: Amount::ZERO,
        }
    }

    /// What a task needs, from decimals.
    pub fn needed(cpus: f64, gpus: f64) -> Usage {
        Usage {
            cpus: Amount::needed(cpus),
            gpus: Amount::needed(gpus),
        }
    }

    /// What is guaranteed, from decimals.
    pub fn guaranteed(cpus: f64, gpus: f64) -> Usage {
        Usage {
            cpus: Amount::allowed(cpus),
            gpus: Amount::allowed(gpus),
        }
    }

    /// A limit, from decimals where 0 means none.
    pub fn limit(cpus: f64, gpus: f64) -> Usage {
        Usage {
            cpus: Amount::limit(cpus),
            gpus: Amount::limit(gpus),
        }
    }

    /// Whether there is none of anything.
    pub fn is_zero(&self) -> bool {
        self.cpus.is_zero() && self.gpus.is_zero()
    }

    /// Whether no resource is limited.
    pub fn is_unlimited(&self) -> bool {
        *self == Usage::UNLIMITED
    }

    /// Whether it fits into that room.
    pub fn fits(&self, room: &Usage) -> bool {
        self.cpus <= room.cpus && self.gpus <= room.gpus
    }

    /// What is left of it without the other, of each resource zero at the least.
    pub fn without(&self, other: &Usage) -> Usage {
        self.each(other, Amount::without)
    }

    /// Of each resource the smaller amount.
    pub fn at_most(&self, other: &Usage) -> Usage {
        self.each(other, Amount::min)
    }

    /// Of each resource the larger amount.
    pub fn at_least(&self, other: &Usage) -> Usage {
        self.each(other, Amount::max)
    }

    /// The part that one of `count` gets.
    pub fn share(&self, count: u64) -> Usage {
        Usage {
            cpus: self.cpus.share(count),
            gpus: self.gpus.share(count),
        }
    }

    /// So many times as much.
    pub fn times(&self, count: u64) -> Usage {
        Usage {
            cpus: self.cpus.times(count),
            gpus: self.gpus.times(count),
        }
    }

    /// How many of it fit into the room; `u64::MAX` if it takes nothing.
    pub fn times_in(&self, room: &Usage) -> u64 {
        let cpus = self.cpus.times_in(room.cpus).unwrap_or(u64::MAX);
        let gpus = self.gpus.times_in(room.gpus).unwrap_or(u64::MAX);
        cpus.min(gpus)
    }

    fn each(&self, other: &Usage, pick: fn(Amount, Amount) -> Amount) -> Usage {
        Usage {
            cpus: pick(self.cpus, other.cpus),
            gpus: pick(self.gpus, other.gpus),
        }
    }
}

impl Add for Usage {
    type Output = Usage;

    fn add(self, other: Usage) -> Usage {
        self.each(&other, Amount::add)
    }
}

impl AddAssign for Usage {
    fn add_assign(&mut self, other: Usage) {
        *self = *self + other;
    }
}

impl std::iter::Sum for Usage {
    fn sum<I: Iterator<Item = Usage>>(parts: I) -> Usage {
        parts.fold(Usage::ZERO, Usage::add)
    }
}

impl fmt::Display for Usage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} CPUs", self.cpus)?;
        if self.gpus.is_zero() || self.gpus == Amount::UNLIMITED {
            return Ok(());
        }
        write!(f, ", {} GPUs", self.gpus)
    }
}
