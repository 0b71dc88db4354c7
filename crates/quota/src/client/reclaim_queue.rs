//! Allowances that are to be reclaimed, and how far the reclaim of the first one is.

use std::collections::VecDeque;

use lichencrank_store::Version;

use crate::ids::AllowanceId;
use crate::resource_vector::ResourceVector;

/// The next step of a reclaim.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ReclaimPhase {
    /// Fence the client off.
    Fence,
    /// Read its charges, those behind the key `after` next.
    SumCharges {
        fenced_version: Version,
        after: String,
        charged: ResourceVector,
    },
    /// Reduce its allowance to what it has charged.
    Reduce {
        fenced_version: Version,
        charged: ResourceVector,
    },
}

/// An allowance that is being reclaimed.
#[derive(Clone, Debug)]
pub(super) struct Reclaim {
    pub(super) allowance: AllowanceId,
    pub(super) phase: ReclaimPhase,
}

/// Allowances that are to be reclaimed, one after the other.
#[derive(Debug, Default)]
pub(super) struct ReclaimQueue {
    queue: VecDeque<Reclaim>,
}

impl ReclaimQueue {
    /// Adds an allowance behind the others. `false` if it is in the queue already.
    pub(super) fn push(&mut self, allowance: AllowanceId) -> bool {
        let mut queued = self.queue.iter();
        if queued.any(|reclaim| reclaim.allowance == allowance) {
            return false;
        }
        let phase = ReclaimPhase::Fence;
        self.queue.push_back(Reclaim { allowance, phase });
        true
    }

    /// The allowance that is being reclaimed.
    pub(super) fn first(&self) -> Option<&Reclaim> {
        self.queue.front()
    }

    /// The first allowance has to be fenced off, again if need be.
    pub(super) fn restart_first(&mut self) {
        if let Some(first) = self.queue.front_mut() {
            first.phase = ReclaimPhase::Fence;
        }
    }

    /// The first allowance is fenced off since that version.
    pub(super) fn on_fenced(&mut self, fenced_version: Version) {
        if let Some(first) = self.queue.front_mut() {
            first.phase = ReclaimPhase::SumCharges {
                fenced_version,
                after: String::new(),
                charged: ResourceVector::ZERO,
            };
        }
    }

    /// A page of charges to the first allowance was read, which add up to `found`. The next page begins
    /// behind the key `next`, if there is one.
    pub(super) fn on_charges(&mut self, found: ResourceVector, next: Option<String>) {
        let Some(first) = self.queue.front_mut() else {
            return;
        };
        let ReclaimPhase::SumCharges {
            fenced_version,
            charged,
            ..
        } = first.phase
        else {
            return;
        };
        let charged = charged + found;
        first.phase = match next {
            Some(after) => ReclaimPhase::SumCharges {
                fenced_version,
                after,
                charged,
            },
            None => ReclaimPhase::Reduce {
                fenced_version,
                charged,
            },
        };
    }

    /// Removes the first allowance, as its reclaim is over.
    pub(super) fn pop_first(&mut self) -> Option<AllowanceId> {
        self.queue.pop_front().map(|reclaim| reclaim.allowance)
    }
}
