//! Allowances that are to be reclaimed, and the progress of the first one.

use std::collections::VecDeque;

use lichencrank_store::Version;

use crate::ids::AllowanceId;
use crate::resource_vector::ResourceVector;

/// The next step of a reclaim.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ReclaimPhase {
    /// Fence off the client.
    Fence,
    /// Read the next page of the client's charges, which follows the key `after`. The pages before it add
    /// up to `charged`.
    SumCharges {
        fenced_version: Version,
        after: String,
        charged: ResourceVector,
    },
    /// Reduce the allowance to the sum of its charges.
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

/// Allowances that are to be reclaimed, one at a time.
#[derive(Debug, Default)]
pub(super) struct ReclaimQueue {
    queue: VecDeque<Reclaim>,
}

impl ReclaimQueue {
    /// Appends an allowance. Returns `false` if it is in the queue already.
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

    /// Restarts the reclaim of the first allowance, from checking that it is fenced off.
    pub(super) fn restart_first(&mut self) {
        if let Some(first) = self.queue.front_mut() {
            first.phase = ReclaimPhase::Fence;
        }
    }

    /// The first allowance is fenced off, and had the version `fenced_version` then.
    pub(super) fn on_fenced(&mut self, fenced_version: Version) {
        if let Some(first) = self.queue.front_mut() {
            first.phase = ReclaimPhase::SumCharges {
                fenced_version,
                after: String::new(),
                charged: ResourceVector::ZERO,
            };
        }
    }

    /// A page of charges to the first allowance was read, which add up to `page_charges`. The next page
    /// follows the key `next`; `None` after the last page.
    pub(super) fn on_charges(&mut self, page_charges: ResourceVector, next: Option<String>) {
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
        let charged = charged + page_charges;
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

    /// Removes the first allowance, whose reclaim has ended.
    pub(super) fn pop_first(&mut self) -> Option<AllowanceId> {
        self.queue.pop_front().map(|reclaim| reclaim.allowance)
    }
}
