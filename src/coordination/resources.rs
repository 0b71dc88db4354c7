//! CPUs, GPUs and memory, as tasks require them and hosts provide them.

/// An amount of each resource of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

/// Tolerance for comparisons, as sums of decimal amounts are inexact in floating point.
const TOLERANCE: f64 = 1e-6;

impl Resources {
    /// Whether this amount is available within `free`, in every resource.
    pub fn fits(&self, free: &Resources) -> bool {
        self.cpus <= free.cpus + TOLERANCE
            && self.gpus <= free.gpus + TOLERANCE
            && self.memory_gb <= free.memory_gb + TOLERANCE
    }

    /// Adds another amount to this one.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts another amount from this one. No resource goes below zero.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpus = (self.cpus - other.cpus).max(0.0);
        self.gpus = (self.gpus - other.gpus).max(0.0);
        self.memory_gb = (self.memory_gb - other.memory_gb).max(0.0);
    }

    /// This amount without the other one. No resource goes below zero.
    pub fn saturating_sub(&self, other: &Resources) -> Resources {
        let mut remaining = *self;
        remaining.subtract(other);
        remaining
    }

    /// How many times this amount fits into `free`.
    pub fn multiples_within(&self, free: &Resources) -> u64 {
        let multiples = |required: f64, available: f64| {
            if required > 0.0 {
                (available + TOLERANCE) / required
            } else {
                // A resource that is not required does not limit the result.
                1e6
            }
        };
        let fewest = multiples(self.cpus, free.cpus)
            .min(multiples(self.gpus, free.gpus))
            .min(multiples(self.memory_gb, free.memory_gb));
        fewest.max(0.0) as u64
    }
}
