//! Fixed-point amounts of one resource, so that sums of many decimals neither drift nor round.

use std::fmt;
use std::ops::Add;

use serde::{Deserialize, Serialize};

/// Stored units of one whole CPU or GPU.
const MILLIONTHS_PER_WHOLE: u64 = 1_000_000;

/// A decimal this close to a whole number of millionths is taken for that number: decimals such as 0.1
/// have no exact binary form, and must not be rounded up or down by a whole millionth for it.
const REPRESENTATION_ERROR: f64 = 1e-3;

/// An amount of one resource, in millionths of a CPU or GPU.
///
/// Arithmetic saturates: nothing falls below [`Amount::ZERO`], and [`Amount::UNLIMITED`] stays unlimited
/// whatever is subtracted from it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Amount(u64);

impl Amount {
    /// No amount at all.
    pub const ZERO: Amount = Amount(0);
    /// The amount of a resource that has no limit.
    pub const UNLIMITED: Amount = Amount(u64::MAX);

    /// An amount of `count` whole CPUs or GPUs.
    pub const fn from_whole(count: u64) -> Amount {
        Amount(count.saturating_mul(MILLIONTHS_PER_WHOLE))
    }

    /// A decimal number of CPUs or GPUs, rounded up to a millionth. For what a task takes: the sum of
    /// many tasks never understates their use. Negative numbers and NaN give zero.
    pub fn from_decimal_rounded_up(decimal: f64) -> Amount {
        Amount::from_decimal(decimal, f64::ceil)
    }

    /// A decimal number of CPUs or GPUs, rounded down to a millionth. For limits and guarantees: they
    /// never allow more than was written. Negative numbers and NaN give zero.
    pub fn from_decimal_rounded_down(decimal: f64) -> Amount {
        Amount::from_decimal(decimal, f64::floor)
    }

    /// A limit as operators write it in settings, where 0 stands for "no limit".
    pub fn from_limit_setting(decimal: f64) -> Amount {
        if decimal > 0.0 {
            Amount::from_decimal_rounded_down(decimal)
        } else {
            Amount::UNLIMITED
        }
    }

    fn from_decimal(decimal: f64, round: fn(f64) -> f64) -> Amount {
        let millionths = decimal.max(0.0) * MILLIONTHS_PER_WHOLE as f64;
        let nearest = millionths.round();
        let is_whole = (millionths - nearest).abs() < REPRESENTATION_ERROR;
        let rounded = if is_whole { nearest } else { round(millionths) };
        Amount(rounded as u64)
    }

    /// Whether this is [`Amount::ZERO`].
    pub fn is_zero(self) -> bool {
        self == Amount::ZERO
    }

    /// This amount less `other`, at least zero. An unlimited amount stays unlimited.
    pub fn saturating_sub(self, other: Amount) -> Amount {
        if self == Amount::UNLIMITED {
            return self;
        }
        Amount(self.0.saturating_sub(other.0))
    }

    /// How many times this amount fits into `available`; `None` if it is zero.
    pub(crate) fn multiples_within(self, available: Amount) -> Option<u64> {
        available.0.checked_div(self.0)
    }

    /// The equal part that each of `count` gets, rounded down. A `count` of 0 counts as 1.
    pub fn divided_by(self, count: u64) -> Amount {
        Amount(self.0 / count.max(1))
    }

    /// This amount `count` times.
    pub fn saturating_mul(self, count: u64) -> Amount {
        Amount(self.0.saturating_mul(count))
    }

    /// As a decimal number of CPUs or GPUs; infinite if unlimited.
    pub fn to_decimal(self) -> f64 {
        if self == Amount::UNLIMITED {
            return f64::INFINITY;
        }
        self.0 as f64 / MILLIONTHS_PER_WHOLE as f64
    }
}

impl Add for Amount {
    type Output = Amount;

    fn add(self, other: Amount) -> Amount {
        Amount(self.0.saturating_add(other.0))
    }
}

/// Shows a decimal number without trailing zeros, or `unlimited`.
impl fmt::Display for Amount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if *self == Amount::UNLIMITED {
            return f.write_str("unlimited");
        }
        let whole = self.0 / MILLIONTHS_PER_WHOLE;
        let millionths = self.0 % MILLIONTHS_PER_WHOLE;
        if millionths == 0 {
            return write!(f, "{whole}");
        }
        let digits = format!("{millionths:06}");
        write!(f, "{whole}.{}", digits.trim_end_matches('0'))
    }
}
