//! Fixed-point amounts of one resource, so that sums of many decimals have no rounding errors.

use std::fmt;
use std::ops::Add;

use serde::{Deserialize, Serialize};

/// Units of an [`Amount`] in one CPU or GPU.
const MILLIONTHS_PER_WHOLE: u64 = 1_000_000;

/// A decimal that is closer than this to a whole number of millionths, in millionths, counts as that number.
/// Decimals such as 0.1 have no exact binary representation, and must not be rounded up or down to the next
/// millionth because of that.
const MAX_REPRESENTATION_ERROR_MILLIONTHS: f64 = 1e-3;

/// An amount of one resource, in millionths of a CPU or GPU.
///
/// Arithmetic saturates: no result is below [`Amount::ZERO`], and subtracting from [`Amount::UNLIMITED`] gives
/// [`Amount::UNLIMITED`].
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Amount(u64);

impl Amount {
    /// Nothing of the resource.
    pub const ZERO: Amount = Amount(0);
    /// The amount of a resource that has no limit.
    pub const UNLIMITED: Amount = Amount(u64::MAX);

    /// An amount of `count` whole CPUs or GPUs.
    pub const fn from_whole(count: u64) -> Amount {
        Amount(count.saturating_mul(MILLIONTHS_PER_WHOLE))
    }

    /// Converts a decimal number of CPUs or GPUs, rounded up to a millionth. Used for the usage of a task,
    /// so that the sum of many tasks is never too small. Negative numbers and NaN give zero.
    pub fn from_decimal_rounded_up(decimal: f64) -> Amount {
        Amount::from_decimal(decimal, f64::ceil)
    }

    /// Converts a decimal number of CPUs or GPUs, rounded down to a millionth. Used for limits and
    /// guarantees, so that they never allow more than was configured. Negative numbers and NaN give zero.
    pub fn from_decimal_rounded_down(decimal: f64) -> Amount {
        Amount::from_decimal(decimal, f64::floor)
    }

    /// Converts a limit from the settings, in which 0 means "no limit".
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
        let is_whole = (millionths - nearest).abs() < MAX_REPRESENTATION_ERROR_MILLIONTHS;
        let rounded = if is_whole { nearest } else { round(millionths) };
        Amount(rounded as u64)
    }

    /// Whether this is [`Amount::ZERO`].
    pub fn is_zero(self) -> bool {
        self == Amount::ZERO
    }

    /// Subtracts `other`; zero if `other` is larger. An unlimited amount stays unlimited.
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

    /// Divides the amount by `count`, rounded down. A `count` of 0 counts as 1.
    pub fn divided_by(self, count: u64) -> Amount {
        Amount(self.0 / count.max(1))
    }

    /// Multiplies the amount by `count`.
    pub fn saturating_mul(self, count: u64) -> Amount {
        Amount(self.0.saturating_mul(count))
    }

    /// The amount as a decimal number of CPUs or GPUs; infinite if unlimited.
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

/// Formats a decimal number without trailing zeros, or `unlimited`.
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
