//! Taking back what a holder that was given up has not spent.
//!
//! First the version of its allowance changes, so that no transaction of it can charge any more, also
//! one that is under way. Only then its open admissions are summed up; they can only get less from
//! there on. What they take stays lent to it until their end is proven.

use lichencrank_store::Version;

use super::account::Loading;
use super::cache::Unread;
use super::charge::load;
use super::operation::{Draft, Effect, Operation};
use super::{QuotaClient, QuotaEvent};
use crate::allocation::AllowanceTarget;
use crate::ids::{AllowanceId, ClientName, TeamName};
use crate::records::{AllowanceRecord, Record, RecordKey};
use crate::resource_vector::ResourceVector;

/// How far it is.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Step {
    /// The holder is to be fenced off.
    Fence,
    /// Its charges are being read.
    Load {
        after: String,
        charged: ResourceVector,
    },
    /// Its allowance becomes what it has charged.
    Write { charged: ResourceVector },
}

/// One allowance that is being taken back.
#[derive(Clone, Debug)]
pub(super) struct Collection {
    pub(super) team: TeamName,
    pub(super) holder: ClientName,
    pub(super) step: Step,
    /// The allowance's version since the holder is fenced off.
    fenced_at: Version,
}

impl Collection {
    fn key(&self) -> RecordKey {
        RecordKey::Allowance(AllowanceId::new(&self.team, &self.holder))
    }
}

impl QuotaClient {
    /// Gives up another holder: its unspent allowance of that team becomes free. If it still lives, it
    /// notices at its next charge, and begins anew with what it has charged.
    pub fn reclaim(&mut self, team: TeamName, holder: ClientName) {
        let mut queued = self.collections.iter();
        let known = queued.any(|c| c.team == team && c.holder == holder);
        if known || holder == self.config.name {
            return;
        }
        let collection = Collection {
            team,
            holder,
            step: Step::Fence,
            fenced_at: Version::ABSENT,
        };
        self.cache.forget(&collection.key());
        self.collections.push_back(collection);
    }

    pub(super) fn plan_collection(&mut self) -> Result<Option<Operation>, Unread> {
        while let Some(collection) = self.collections.front().cloned() {
            let operation = match &collection.step {
                Step::Fence => self.plan_fence(&collection)?,
                Step::Load { after, charged } => Some(load(Loading {
                    team: collection.team.clone(),
                    holder: collection.holder.clone(),
                    after: after.clone(),
                    charged: *charged,
                })),
                Step::Write { charged } => self.plan_collected(&collection, *charged)?,
            };
            if operation.is_some() {
                return Ok(operation);
            }
        }
        Ok(None)
    }

    fn plan_fence(&mut self, collection: &Collection) -> Result<Option<Operation>, Unread> {
        let known = self.cache.allowance(&collection.team, &collection.holder)?;
        let version = known.version;
        let record = known.record.cloned();
        let Some(record) = record.filter(|record| !record.charges_kept_externally) else {
            self.end_collection(false);
            return Ok(None);
        };
        if record.fenced {
            self.fenced(version);
            return Ok(None);
        }
        let fenced = AllowanceRecord {
            epoch: record.epoch + 1,
            fenced: true,
            ..record
        };
        let mut draft = Draft::default();
        draft.write(collection.key(), version, Some(Record::Allowance(fenced)));
        Ok(Some(draft.commit(Effect::Fenced {
            team: collection.team.clone(),
            holder: collection.holder.clone(),
        })))
    }

    /// The holder in front is fenced off since that version.
    pub(super) fn fenced(&mut self, version: Version) {
        if let Some(collection) = self.collections.front_mut() {
            collection.fenced_at = version;
            collection.step = Step::Load {
                after: String::new(),
                charged: ResourceVector::ZERO,
            };
        }
    }

    fn plan_collected(
        &mut self,
        collection: &Collection,
        charged: ResourceVector,
    ) -> Result<Option<Operation>, Unread> {
        let Collection { team, holder, .. } = collection;
        let known = self.cache.allowance(team, holder)?;
        if known.version != collection.fenced_at {
            // It came back, or somebody else is at it: what was summed up may be too little.
            let alive = known.record.is_none_or(|record| !record.fenced);
            if alive {
                self.end_collection(false);
            } else if let Some(front) = self.collections.front_mut() {
                front.step = Step::Fence;
            }
            return Ok(None);
        }
        let allowance = known.record.cloned().unwrap_or_default();
        let record = self.cache.team(team)?.record.cloned().unwrap_or_default();
        let waits = record.demand_of(holder).is_some();
        let is_recorded = record.granted_to(holder) == charged && !waits;
        if allowance.granted == charged && is_recorded {
            self.end_collection(true);
            return Ok(None);
        }
        let quota = self.quota(team)?;
        let effect = Effect::Collected {
            team: team.clone(),
            holder: holder.clone(),
        };
        let new = AllowanceTarget {
            granted: charged,
            unmet_demand: None,
        };
        self.commit_allowance(&quota, holder, &new, effect)
            .map(Some)
    }

    pub(super) fn end_collection(&mut self, reclaimed: bool) {
        let Some(Collection { team, holder, .. }) = self.collections.pop_front() else {
            return;
        };
        self.decisions.push(if reclaimed {
            tracing::info!("team {team}: the unspent allowance of {holder} is taken back");
            QuotaEvent::Reclaimed {
                team,
                client: holder,
            }
        } else {
            QuotaEvent::NotReclaimed {
                team,
                client: holder,
            }
        });
    }

    /// A page of the charges of the holder in front.
    pub(super) fn collected_page(&mut self, found: ResourceVector, next: Option<String>) {
        let Some(front) = self.collections.front_mut() else {
            return;
        };
        let Step::Load { charged, .. } = front.step else {
            return;
        };
        let charged = charged + found;
        front.step = match next {
            Some(after) => Step::Load { after, charged },
            None => Step::Write { charged },
        };
    }
}
