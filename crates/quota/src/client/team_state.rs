//! What a client keeps of one team: who owns the allowance, what is charged to it, and which requests
//! wait for it.

use std::collections::BTreeSet;
use std::mem;

use lichencrank_store::Time;

use crate::admission::Priority;
use crate::ids::{AdmissionId, TeamName};
use crate::resource_vector::ResourceVector;

/// Whether the client's allowance belongs to this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Ownership {
    /// Another process may have acquired it, or fenced it off.
    Unowned,
    /// It is acquired at this epoch. The charges to it are being read, those behind the key `after`
    /// next; what has been found is in `found`.
    Loading {
        epoch: u64,
        after: String,
        found: BTreeSet<AdmissionId>,
    },
    /// It is acquired at this epoch, and all charges to it are known.
    Owned { epoch: u64 },
}

/// Position of a request among those that are pending: by priority, then by arrival.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub(super) priority: Priority,
    /// Number of the request among all that arrived at this client.
    pub(super) arrival: u64,
    pub(super) id: AdmissionId,
}

/// One team at one client.
#[derive(Debug)]
pub(super) struct TeamState {
    name: TeamName,
    ownership: Ownership,
    /// Epochs at which this process acquired the allowance.
    own_epochs: BTreeSet<u64>,
    /// The sum of the charges to the allowance.
    charged: ResourceVector,
    /// What was granted for pending requests and is not charged yet: it is not given to others.
    reserved: ResourceVector,
    queue: BTreeSet<QueuePosition>,
    /// When the records that others change are read again; `None` while that is under way.
    refresh_at: Option<Time>,
    /// When the charges to the allowance may be read again, as others may have released some of them.
    reload_at: Time,
    /// When a request was last charged.
    last_charge_at: Time,
}

impl TeamState {
    /// A team of which nothing is known.
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

    /// Whether the allowance belongs to this process.
    pub(super) fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Whether the charges to the allowance are being read.
    pub(super) fn is_loading(&self) -> bool {
        matches!(self.ownership, Ownership::Loading { .. })
    }

    /// The epoch at which the allowance belongs to this process, if it does.
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

    /// The allowance was acquired at that epoch.
    pub(super) fn acquire(&mut self, epoch: u64) {
        self.own_epochs.insert(epoch);
    }

    /// The allowance may belong to another process.
    pub(super) fn lose_ownership(&mut self) {
        self.set_ownership(Ownership::Unowned);
    }

    /// Begins to read the charges to the allowance, which belongs to this process. They are read again
    /// at `reload_at` at the earliest.
    pub(super) fn start_loading(&mut self, epoch: u64, reload_at: Time) {
        self.reload_at = reload_at;
        self.set_ownership(Ownership::Loading {
            epoch,
            after: String::new(),
            found: BTreeSet::new(),
        });
    }

    /// One of the charges that are being read.
    pub(super) fn add_found(&mut self, id: AdmissionId) {
        if let Ownership::Loading { found, .. } = &mut self.ownership {
            found.insert(id);
        }
    }

    /// A page of charges was read, and the next one begins behind the key `next`. Without a next page
    /// all charges are known, and returned.
    pub(super) fn finish_page(&mut self, next: Option<String>) -> Option<BTreeSet<AdmissionId>> {
        let Ownership::Loading {
            epoch,
            after,
            found,
        } = &mut self.ownership
        else {
            return None;
        };
        if let Some(next) = next {
            *after = next;
            return None;
        }
        let (epoch, found) = (*epoch, mem::take(found));
        self.set_ownership(Ownership::Owned { epoch });
        Some(found)
    }

    fn set_ownership(&mut self, ownership: Ownership) {
        tracing::debug!("team {}: allowance is {ownership:?}", self.name);
        self.ownership = ownership;
    }

    // ---- charges

    /// The sum of the charges to the allowance.
    pub(super) fn charged(&self) -> ResourceVector {
        self.charged
    }

    /// A request is charged, out of what is reserved as far as that goes.
    pub(super) fn add_charge(&mut self, usage: &ResourceVector) {
        self.charged += *usage;
        self.reserved = self.reserved.saturating_sub(usage);
    }

    /// A charge is released.
    pub(super) fn remove_charge(&mut self, usage: &ResourceVector) {
        self.charged = self.charged.saturating_sub(usage);
    }

    /// What was granted for pending requests and is not charged yet.
    pub(super) fn reserved(&self) -> ResourceVector {
        self.reserved
    }

    /// That much was granted for pending requests.
    pub(super) fn reserve(&mut self, amount: ResourceVector) {
        self.reserved += amount;
    }

    /// No request is pending for which anything was granted.
    pub(super) fn clear_reserved(&mut self) {
        self.reserved = ResourceVector::ZERO;
    }

    // ---- pending requests

    /// A request is pending from here on.
    pub(super) fn enqueue(&mut self, position: QueuePosition) {
        self.queue.insert(position);
    }

    /// A request is pending no more.
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

    /// Whether the records that others change are to be read again; they count as being read from here
    /// on.
    pub(super) fn start_refresh(&mut self, now: Time) -> bool {
        let is_due = self.refresh_at.is_some_and(|at| now >= at);
        if is_due {
            self.refresh_at = None;
        }
        is_due
    }

    /// The records that others change were read; they are read again at `next`. The interval counts from
    /// the end of a refresh: where the store is slow, nothing but refreshes would be done otherwise.
    pub(super) fn finish_refresh(&mut self, next: Time) {
        self.refresh_at.get_or_insert(next);
    }

    /// Whether the charges to the allowance may be read again.
    pub(super) fn is_reload_due(&self, now: Time) -> bool {
        now >= self.reload_at
    }

    /// When a request was last charged.
    pub(super) fn last_charge_at(&self) -> Time {
        self.last_charge_at
    }

    /// A request is charged now.
    pub(super) fn set_last_charge_at(&mut self, now: Time) {
        self.last_charge_at = now;
    }
}
