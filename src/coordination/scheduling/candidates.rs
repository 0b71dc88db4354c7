//! The hosts that a placement pass may place tasks on, and the order in which it prefers them.

use std::cmp::Ordering;

use crate::coordination::cluster::host::Host;
use crate::coordination::resources::Resources;
use crate::coordination::scheduling::room_reservations::RoomReservation;
use crate::coordination::scheduling::scoring::headroom_score;
use crate::types::{HostName, JobId};

/// A host with free resources, as one placement pass sees it. What the pass allocates on it is counted at once.
pub(super) struct CandidateHost {
    pub(super) name: HostName,
    pub(super) type_index: usize,
    pub(super) zone: String,
    pub(super) is_spot: bool,
    pub(super) capacity: Resources,
    pub(super) allocated: Resources,
    /// Whether tasks of any job have failed on it.
    pub(super) has_failed_jobs: bool,
    /// Whether earlier attempts at any tasks are still listed by the host or may still arrive there.
    pub(super) remembers_tasks: bool,
    /// Whether it is reserved for a starving job.
    pub(super) is_reserved: bool,
    /// Room on it that is kept for a job which preempted tasks there.
    pub(super) room_reservation: Option<RoomReservation>,
}

impl CandidateHost {
    /// The host as a candidate with the capacity of its machine type; `None` if it has no free CPU or memory.
    pub(super) fn new(host: &Host, type_index: usize, capacity: Resources) -> Option<Self> {
        let free = capacity.saturating_sub(&host.allocated_resources);
        if free.cpus <= 0.0 || free.memory_gb <= 0.0 {
            return None;
        }
        Some(CandidateHost {
            name: host.name.clone(),
            type_index,
            zone: host.zone.clone(),
            is_spot: host.is_spot,
            capacity,
            allocated: host.allocated_resources,
            has_failed_jobs: !host.failed_jobs.is_empty(),
            remembers_tasks: host.may_have_any_earlier_attempt(),
            is_reserved: false,
            room_reservation: None,
        })
    }

    /// Its free resources.
    pub(super) fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.allocated)
    }

    /// Its free resources without those that are kept for another job.
    pub(super) fn free_for(&self, job: JobId) -> Resources {
        let kept_for_other = self
            .room_reservation
            .filter(|reservation| reservation.job != job);
        kept_for_other.map_or(self.free(), |reservation| {
            self.free().saturating_sub(&reservation.resources)
        })
    }

    /// The host with its score for the tasks of a job. `index` is its index among the candidates of the pass,
    /// `has_sibling` whether it holds another task of the job.
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

/// A candidate with its score for a job. The greatest is the best: a host without another task of the job, then, for a
/// service, the host on which its image is available sooner, then the higher score, then the first name.
#[derive(PartialEq)]
pub(super) struct ScoredHost {
    has_sibling: bool,
    /// Estimated time to fetch the image of a service, in steps of half a second.
    fetch_steps: u32,
    score: f64,
    /// Index of the candidate in the pass, where candidates are ordered by name.
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
