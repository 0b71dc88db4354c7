//! The hosts with room, as one pass over the waiting tasks sees them, and their order by score.

use std::cmp::Ordering;

use crate::coordination::cluster::host::Host;
use crate::coordination::resources::Resources;
use crate::coordination::scheduling::scoring::headroom_score;
use crate::types::HostName;

/// A host with room. What the pass allocates on it counts at once.
pub(super) struct CandidateHost {
    pub(super) name: HostName,
    pub(super) type_index: usize,
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) capacity: Resources,
    pub(super) allocated: Resources,
    /// Whether tasks of some jobs failed on it.
    pub(super) has_failed_jobs: bool,
    /// Whether earlier attempts at some tasks may still be there.
    pub(super) remembers_tasks: bool,
    /// Whether it is kept free for a job that has waited too long.
    pub(super) is_reserved: bool,
}

impl CandidateHost {
    /// The host as a candidate of that type; `None` if it has no room.
    pub(super) fn new(host: &Host, type_index: usize, capacity: Resources) -> Option<Self> {
        let free = capacity.saturating_sub(&host.allocated_resources);
        if free.cpus <= 0.0 || free.memory_gb <= 0.0 {
            return None;
        }
        Some(CandidateHost {
            name: host.name.clone(),
            type_index,
            zone: host.zone.clone(),
            spot: host.is_spot,
            capacity,
            allocated: host.allocated_resources,
            has_failed_jobs: !host.failed_jobs.is_empty(),
            remembers_tasks: host.may_have_any_earlier_attempt(),
            is_reserved: false,
        })
    }

    /// What is free on it.
    pub(super) fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.allocated)
    }

    /// Its place among the candidates for a task.
    pub(super) fn scored(
        &self,
        index: usize,
        has_sibling: bool,
        fetch_steps: u32,
        needs_gpu: bool,
    ) -> ScoredHost {
        ScoredHost {
            has_sibling,
            fetch_steps,
            score: headroom_score(&self.capacity, &self.allocated, needs_gpu),
            index,
        }
    }
}

/// A candidate's place among those that may take a task. The greatest is the best: one without another task of the
/// job, then, for a service, one on which its image is available sooner, then the higher score, then the first name.
#[derive(PartialEq)]
pub(super) struct ScoredHost {
    has_sibling: bool,
    /// How long the image of a service takes, in half seconds.
    fetch_steps: u32,
    score: f64,
    /// Index of the candidate; candidates are in the order of their names.
    pub(super) index: usize,
}

impl Eq for ScoredHost {}

impl PartialOrd for ScoredHost {
    fn partial_cmp(&self, other: &ScoredHost) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScoredHost {
    fn cmp(&self, other: &ScoredHost) -> Ordering {
        let by_sibling = other.has_sibling.cmp(&self.has_sibling);
        let by_fetch = other.fetch_steps.cmp(&self.fetch_steps);
        let by_score = self.score.total_cmp(&other.score);
        let by_name = other.index.cmp(&self.index);
        by_sibling.then(by_fetch).then(by_score).then(by_name)
    }
}
