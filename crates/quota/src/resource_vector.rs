//! Amounts of all resources that are subject to quotas.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign};

use serde::{Deserialize, Serialize};

use crate::amount::Amount;

/// An amount of each resource. All arithmetic is component-wise and saturates like that of [`Amount`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResourceVector {
    /// Number of CPUs.
    pub cpus: Amount,
    /// Number of GPUs.
    pub gpus: Amount,
}

impl ResourceVector {
    /// Zero of every resource.
    pub const ZERO: ResourceVector = ResourceVector {
        cpus: Amount::ZERO,
        gpus: Amount::ZERO,
    };
    /// No limit on any resource.
    pub const UNLIMITED: ResourceVector = ResourceVector {
        cpus: Amount::UNLIMITED,
        gpus: Amount::UNLIMITED,
    };

    /// `count` whole CPUs and no GPUs.
    pub const fn from_cpus(count: u64) -> ResourceVector {
        ResourceVector {
            cpus: Amount::from_whole(count),
            gpus: Amount::ZERO,
        }
    }

    /// Converts the usage of a task, see [`Amount::from_decimal_rounded_up`].
    pub fn rounded_up(cpus: f64, gpus: f64) -> ResourceVector {
        ResourceVector {
            cpus: Amount::from_decimal_rounded_up(cpus),
            gpus: Amount::from_decimal_rounded_up(gpus),
        }
    }

    /// Converts a guarantee, see [`Amount::from_decimal_rounded_down`].
    pub fn rounded_down(cpus: f64, gpus: f64) -> ResourceVector {
        ResourceVector {
            cpus: Amount::from_decimal_rounded_down(cpus),
            gpus: Amount::from_decimal_rounded_down(gpus),
        }
    }

    /// Converts limits from the settings, see [`Amount::from_limit_setting`].
    pub fn from_limit_settings(cpus: f64, gpus: f64) -> ResourceVector {
        ResourceVector {
            cpus: Amount::from_limit_setting(cpus),
            gpus: Amount::from_limit_setting(gpus),
        }
    }

    /// Whether the amount of every resource is zero.
    pub fn is_zero(&self) -> bool {
        self.cpus.is_zero() && self.gpus.is_zero()
    }

    /// Whether no resource is limited.
    pub fn is_unlimited(&self) -> bool {
        *self == ResourceVector::UNLIMITED
    }

    /// Whether no component exceeds that of `available`.
    pub fn fits_within(&self, available: &ResourceVector) -> bool {
        self.cpus <= available.cpus && self.gpus <= available.gpus
    }

    /// Subtracts `other`, see [`Amount::saturating_sub`].
    pub fn saturating_sub(&self, other: &ResourceVector) -> ResourceVector {
        self.zip_with(other, Amount::saturating_sub)
    }

    /// The smaller amount of each resource.
    pub fn component_min(&self, other: &ResourceVector) -> ResourceVector {
        self.zip_with(other, Amount::min)
    }

    /// The larger amount of each resource.
    pub fn component_max(&self, other: &ResourceVector) -> ResourceVector {
        self.zip_with(other, Amount::max)
    }

    /// Divides each amount by `count`, see [`Amount::divided_by`].
    pub fn divided_by(&self, count: u64) -> ResourceVector {
        ResourceVector {
            cpus: self.cpus.divided_by(count),
            gpus: self.gpus.divided_by(count),
        }
    }

    /// Multiplies each amount by `count`.
    pub fn saturating_mul(&self, count: u64) -> ResourceVector {
        ResourceVector {
            cpus: self.cpus.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
        }
    }

    /// How many times this vector fits into `available`; `u64::MAX` if it is zero.
    pub fn multiples_within(&self, available: &ResourceVector) -> u64 {
        let cpus = self.cpus.multiples_within(available.cpus);
        let gpus = self.gpus.multiples_within(available.gpus);
        cpus.unwrap_or(u64::MAX).min(gpus.unwrap_or(u64::MAX))
    }

    fn zip_with(
        &self,
        other: &ResourceVector,
        combine: fn(Amount, Amount) -> Amount,
    ) -> ResourceVector {
        ResourceVector {
            cpus: combine(self.cpus, other.cpus),
            gpus: combine(self.gpus, other.gpus),
        }
    }
}

impl Add for ResourceVector {
    type Output = ResourceVector;

    fn add(self, other: ResourceVector) -> ResourceVector {
        self.zip_with(&other, Amount::add)
    }
}

impl AddAssign for ResourceVector {
    fn add_assign(&mut self, other: ResourceVector) {
        *self = *self + other;
    }
}

impl Sum for ResourceVector {
    fn sum<I: Iterator<Item = ResourceVector>>(parts: I) -> ResourceVector {
        parts.fold(ResourceVector::ZERO, ResourceVector::add)
    }
}

/// Formats the CPUs, and the GPUs unless their amount is zero or unlimited.
impl fmt::Display for ResourceVector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} CPUs", self.cpus)?;
        if self.gpus.is_zero() || self.gpus == Amount::UNLIMITED {
            return Ok(());
        }
        write!(f, ", {} GPUs", self.gpus)
    }
}
