//! CPUs, GPUs and memory: what tasks take and machines have.

/// What a task takes of its machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

/// Sums of decimals are not exact; this much is forgiven.
const SLACK: f64 = 1e-6;

impl Resources {
    /// Whether it fits into that room.
    pub fn fits(&self, room: &Resources) -> bool {
        self.cpus <= room.cpus + SLACK
            && self.gpus <= room.gpus + SLACK
            && self.memory_gb <= room.memory_gb + SLACK
    }

    /// Adds to it.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Takes from it; nothing goes below zero.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpus = (self.cpus - other.cpus).max(0.0);
        self.gpus = (self.gpus - other.gpus).max(0.0);
        self.memory_gb = (self.memory_gb - other.memory_gb).max(0.0);
    }

    /// What is left of it without the other.
    pub fn saturating_sub(&self, other: &Resources) -> Resources {
        let mut rest = *self;
        rest.subtract(other);
        rest
    }

    /// How many of `self` fit into `room`.
    pub fn multiples_within(&self, room: &Resources) -> u64 {
        let times = |need: f64, have: f64| {
            if need > 0.0 {
                (have + SLACK) / need
            } else {
                1e6
            }
        };
        let least = times(self.cpus, room.cpus)
            .min(times(self.gpus, room.gpus))
            .min(times(self.memory_gb, room.memory_gb));
        least.max(0.0) as u64
    }
}
