//! What a holder keeps of one team: its claim on the allowance, and its admissions' order and sum.

use std::collections::BTreeSet;

use lichencrank_store::Time;

use crate::admission::Priority;
use crate::ids::{AdmissionId, ClientName, TeamName};
use crate::resource_vector::ResourceVector;

/// How far the claim on an allowance is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Claim {
    /// The allowance may be somebody else's by now.
    None,
    /// It is ours; what is charged to it is being read, beginning behind this key.
    Loading { epoch: u64, after: String },
    /// It is ours, and all its charges are known.
    Held { epoch: u64 },
}

/// Reading a team's open admissions.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Loading {
    pub(super) team: TeamName,
    /// Whose charges are looked for.
    pub(super) holder: ClientName,
    /// Begins behind this key.
    pub(super) after: String,
    /// The charges found so far.
    pub(super) charged: ResourceVector,
}

/// Where a request stands among those that wait: the more urgent first, then the earlier.
pub(super) type Place = (Priority, u64, AdmissionId);

/// One team, as its holder sees it.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) claim: Claim,
    /// Epochs at which this process claimed the allowance.
    pub(super) epochs: BTreeSet<u64>,
    /// What our open admissions take.
    pub(super) charged: ResourceVector,
    /// What was lent for requests that wait here, and is not charged yet: it goes to nobody else.
    pub(super) earmarked: ResourceVector,
    /// Admissions that were seen while the charges are being read.
    pub(super) seen: BTreeSet<AdmissionId>,
    /// Requests that wait, in the order in which they are served.
    pub(super) waiting: BTreeSet<Place>,
    /// When what others changed is looked at again.
    pub(super) refresh_at: Time,
    /// When our own charges are read again at the soonest, as others may have settled some of them.
    pub(super) reload_at: Time,
    /// When a request last waited or was served.
    pub(super) used_at: Time,
}

impl Account {
    pub(super) fn new(now: Time) -> Account {
        Account {
            claim: Claim::None,
            epochs: BTreeSet::new(),
            charged: ResourceVector::ZERO,
            earmarked: ResourceVector::ZERO,
            seen: BTreeSet::new(),
            waiting: BTreeSet::new(),
            refresh_at: now,
            reload_at: now,
            used_at: now,
        }
    }

    /// The one place where the claim changes.
    pub(super) fn enter(&mut self, team: &TeamName, claim: Claim) {
        tracing::debug!("team {team}: {:?} -> {claim:?}", self.claim);
        self.claim = claim;
    }
}
