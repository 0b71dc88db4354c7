//! The state of one team at a client: who owns the allowance, the sum of its charges, and the pending
//! requests.

use std::collections::BTreeSet;
use std::mem;

use lichencrank_store::Time;

use crate::admission::Priority;
use crate::ids::{AdmissionId, TeamName};
use crate::resource_vector::ResourceVector;

/// Whether this process owns the client's allowance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Ownership {
    /// Another process may have acquired the allowance or fenced it off.
    Unowned,
    /// This process acquired the allowance at this epoch and is reading the charges to it. The next page
    /// follows the key `after`; the charges that have been read are in `loaded`.
    Loading {
        epoch: u64,
        after: String,
        loaded: BTreeSet<AdmissionId>,
    },
    /// This process acquired the allowance at this epoch, and all charges to it are known.
    Owned { epoch: u64 },
}

/// Position of a request among the pending ones: by priority, then by arrival.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub(super) priority: Priority,
    /// Sequence number of the request in the order of arrival at this client.
    pub(super) arrival: u64,
    pub(super) id: AdmissionId,
}

/// The state of one team at one client.
#[derive(Debug)]
pub(super) struct TeamState {
    name: TeamName,
    ownership: Ownership,
    /// Epochs at which this process acquired the allowance.
    own_epochs: BTreeSet<u64>,
    /// The sum of the charges to the allowance.
    charged: ResourceVector,
    /// The part that was granted for pending requests and is not charged yet. It is not returned to others
    /// that wait.
    reserved: ResourceVector,
    queue: BTreeSet<QueuePosition>,
    /// When the team and pool records, which others change, are read again; `None` while they are being
    /// read.
    refresh_at: Option<Time>,
    /// Earliest time to read the charges to the allowance again. Others may have released some of them.
    reload_at: Time,
    /// When a transaction that charges requests was last planned.
    last_charge_at: Time,
}

impl TeamState {
    /// The state of a team before any of its records is read.
    pub(super) fn new(name: TeamName, now: Time) -> TeamState {
        TeamState {
            name,
            ownership: Ownership::Unowned,
            own_epochs: BTreeSet::new(),
            charged: ResourceVector::ZERO,
            reserved: ResourceVector::ZERO,
            queue: BTreeSet::new(),
            refresh_at: Some(now),
            reload_at: now,
            last_charge_at: now,
        }
    }

    // ---- ownership of the allowance

    /// Whether this process owns the allowance.
    pub(super) fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Whether the charges to the allowance are being read.
    pub(super) fn is_loading(&self) -> bool {
        matches!(self.ownership, Ownership::Loading { .. })
    }

    /// The epoch at which this process acquired the allowance; `None` if it does not own it.
    pub(super) fn owned_epoch(&self) -> Option<u64> {
        match self.ownership {
            Ownership::Owned { epoch } | Ownership::Loading { epoch, .. } => Some(epoch),
            Ownership::Unowned => None,
        }
    }

    /// Whether this process, and not an earlier one of the same name, acquired the allowance at that
    /// epoch.
    pub(super) fn is_own_epoch(&self, epoch: u64) -> bool {
        self.own_epochs.contains(&epoch)
    }

    /// The last epoch at which this process acquired the allowance; 0 if it never did.
    pub(super) fn last_own_epoch(&self) -> u64 {
        self.own_epochs.last().copied().unwrap_or_default()
    }

    /// Records that this process acquired the allowance at that epoch.
    pub(super) fn acquire(&mut self, epoch: u64) {
        self.own_epochs.insert(epoch);
    }

    /// Records that another process may own the allowance.
    pub(super) fn lose_ownership(&mut self) {
        self.set_ownership(Ownership::Unowned);
    }

    /// Begins to read the charges to the allowance, which this process owns. `reload_at` is the earliest
    /// time to read them again.
    pub(super) fn start_loading(&mut self, epoch: u64, reload_at: Time) {
        self.reload_at = reload_at;
        self.set_ownership(Ownership::Loading {
            epoch,
            after: String::new(),
            loaded: BTreeSet::new(),
        });
    }

    /// Adds a charge that was read.
    pub(super) fn add_loaded(&mut self, id: AdmissionId) {
        if let Ownership::Loading { loaded, .. } = &mut self.ownership {
            loaded.insert(id);
        }
    }

    /// A page of charges was read. The next page follows the key `next`; `None` after the last page, when
    /// all charges are known and are returned.
    pub(super) fn finish_page(&mut self, next: Option<String>) -> Option<BTreeSet<AdmissionId>> {
        let Ownership::Loading {
            epoch,
            after,
            loaded,
        } = &mut self.ownership
        else {
            return None;
        };
        if let Some(next) = next {
            *after = next;
            return None;
        }
        let (epoch, loaded) = (*epoch, mem::take(loaded));
        self.set_ownership(Ownership::Owned { epoch });
        Some(loaded)
    }

    fn set_ownership(&mut self, ownership: Ownership) {
        tracing::debug!(
            "team {}: ownership of the allowance is now {ownership:?}",
            self.name
        );
        self.ownership = ownership;
    }

    // ---- charges

    /// The sum of the charges to the allowance.
    pub(super) fn charged(&self) -> ResourceVector {
        self.charged
    }

    /// Adds the usage of a request that was charged, and reduces the reserved part by it.
    pub(super) fn add_charge(&mut self, usage: &ResourceVector) {
        self.charged += *usage;
        self.reserved = self.reserved.saturating_sub(usage);
    }

    /// Subtracts the usage of a charge that was released.
    pub(super) fn remove_charge(&mut self, usage: &ResourceVector) {
        self.charged = self.charged.saturating_sub(usage);
    }

    /// The part that was granted for pending requests and is not charged yet.
    pub(super) fn reserved(&self) -> ResourceVector {
        self.reserved
    }

    /// Adds an amount that was granted for pending requests.
    pub(super) fn reserve(&mut self, amount: ResourceVector) {
        self.reserved += amount;
    }

    /// Clears the reserved part, as no request is pending.
    pub(super) fn clear_reserved(&mut self) {
        self.reserved = ResourceVector::ZERO;
    }

    // ---- pending requests

    /// Adds a pending request.
    pub(super) fn enqueue(&mut self, position: QueuePosition) {
        self.queue.insert(position);
    }

    /// Removes a request that is no longer pending.
    pub(super) fn dequeue(&mut self, position: &QueuePosition) {
        self.queue.remove(position);
    }

    /// Pending requests in the order in which they are served.
    pub(super) fn queue(&self) -> impl Iterator<Item = &AdmissionId> {
        self.queue.iter().map(|position| &position.id)
    }

    /// Number of pending requests.
    pub(super) fn pending_count(&self) -> usize {
        self.queue.len()
    }

    // ---- timers

    /// Whether it is time to read the team and pool records again. If so, they count as being read until
    /// [`Self::finish_refresh`].
    pub(super) fn start_refresh(&mut self, now: Time) -> bool {
        let is_due = self.refresh_at.is_some_and(|at| now >= at);
        if is_due {
            self.refresh_at = None;
        }
        is_due
    }

    /// The team and pool records were read; they are read again at `next_refresh_at`. The interval starts
    /// at the end of a refresh, because with a slow store the client would otherwise do nothing but
    /// refresh.
    pub(super) fn finish_refresh(&mut self, next_refresh_at: Time) {
        self.refresh_at.get_or_insert(next_refresh_at);
    }

    /// Whether the charges to the allowance may be read again.
    pub(super) fn is_reload_due(&self, now: Time) -> bool {
        now >= self.reload_at
    }

    /// When a transaction that charges requests was last planned.
    pub(super) fn last_charge_at(&self) -> Time {
        self.last_charge_at
    }

    /// Records that a transaction that charges requests is planned now.
    pub(super) fn set_last_charge_at(&mut self, now: Time) {
        self.last_charge_at = now;
    }
}
