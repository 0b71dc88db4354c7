//! A scan of all teams and all charges, which selects borrowed work to revoke.

use std::collections::BTreeMap;
use std::mem;

use lichencrank_store::{Request, Time, Version};

use super::operation::{CommitEffect, Operation, Purpose, TransactionBuilder, PAGE_SIZE};
use super::outcome::PageRecord;
use crate::ids::{AdmissionId, TeamName};
use crate::preemption::{select_victims_best_effort, Candidate, TeamUsage};
use crate::records::{
    ChargeRecord, ChargeState, PoolRecord, Record, RecordKey, TeamRecord, CHARGE_PREFIX,
    TEAM_PREFIX,
};
use crate::resource_vector::ResourceVector;

/// The next step of a sweep.
#[derive(Debug, Default)]
enum SweepPhase {
    /// No sweep is in progress.
    #[default]
    Idle,
    /// Read the page of teams that follows the key `after`.
    ReadTeams { after: String },
    /// Read the page of charges that follows the key `after`.
    ReadCharges { after: String },
    /// Mark these admissions as revoked.
    Mark(Vec<AdmissionId>),
}

/// A charge that was read by a sweep.
#[derive(Debug)]
struct SweptCharge {
    version: Version,
    record: ChargeRecord,
}

/// Reads all teams and all charges, and selects borrowed work to revoke.
#[derive(Debug, Default)]
pub(super) struct RevocationSweep {
    phase: SweepPhase,
    /// Earliest time at which the next sweep may begin.
    next_start_at: Time,
    teams: BTreeMap<TeamName, TeamRecord>,
    charges: BTreeMap<AdmissionId, SweptCharge>,
}

impl RevocationSweep {
    /// Whether no sweep is in progress.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.phase, SweepPhase::Idle)
    }

    /// Whether the next sweep may begin.
    pub(super) fn is_due(&self, now: Time) -> bool {
        now >= self.next_start_at
    }

    /// Begins a sweep. The next one may begin at `next_start_at`.
    pub(super) fn start(&mut self, next_start_at: Time) {
        self.next_start_at = next_start_at;
        self.teams.clear();
        self.charges.clear();
        let after = String::new();
        self.phase = SweepPhase::ReadTeams { after };
    }

    /// Ends the sweep. Work that still has to be revoked is selected by the next sweep.
    pub(super) fn abort(&mut self) {
        self.phase = SweepPhase::Idle;
    }

    /// The operation that reads the next page; `None` if no page is left.
    pub(super) fn next_page(&self) -> Option<Operation> {
        let (prefix, after) = match &self.phase {
            SweepPhase::ReadTeams { after } => (TEAM_PREFIX, after),
            SweepPhase::ReadCharges { after } => (CHARGE_PREFIX, after),
            SweepPhase::Idle | SweepPhase::Mark(_) => return None,
        };
        Some(Operation {
            request: Request::List {
                prefix: prefix.to_owned(),
                after: after.clone(),
                limit: PAGE_SIZE,
            },
            purpose: Purpose::Sweep,
        })
    }

    /// Adds a record of a page. Records that are neither teams nor charges are ignored.
    pub(super) fn insert(&mut self, page_record: PageRecord) {
        let PageRecord {
            key,
            version,
            record,
        } = page_record;
        match (key, record) {
            (RecordKey::Team(team), Record::Team(record)) => {
                self.teams.insert(team, record);
            }
            (RecordKey::Charge(id), Record::Charge(record)) => {
                self.charges.insert(id, SweptCharge { version, record });
            }
            _ => {}
        }
    }

    /// A page was read. The next page follows the key `next`; `None` after the last page. After the last
    /// page of charges, selects the admissions to revoke.
    pub(super) fn finish_page(&mut self, next: Option<String>, pool: Option<&PoolRecord>) {
        self.phase = match (mem::take(&mut self.phase), next) {
            (SweepPhase::ReadTeams { .. }, Some(after)) => SweepPhase::ReadTeams { after },
            (SweepPhase::ReadTeams { .. }, None) => SweepPhase::ReadCharges {
                after: String::new(),
            },
            (SweepPhase::ReadCharges { .. }, Some(after)) => SweepPhase::ReadCharges { after },
            (SweepPhase::ReadCharges { .. }, None) => {
                let victims = pool.map(|pool| self.select_victims(pool));
                match victims {
                    Some(victims) if !victims.is_empty() => SweepPhase::Mark(victims),
                    _ => SweepPhase::Idle,
                }
            }
            (SweepPhase::Idle | SweepPhase::Mark(_), _) => SweepPhase::Idle,
        };
    }

    /// Selects borrowed work to revoke. Work that is revoked already is going to end, so its usage doesn't
    /// count.
    fn select_victims(&self, pool: &PoolRecord) -> Vec<AdmissionId> {
        let mut usage: BTreeMap<TeamName, TeamUsage> = BTreeMap::new();
        for (team, record) in &self.teams {
            let team_usage = usage.entry(team.clone()).or_default();
            team_usage.guarantee = record.guarantee;
        }
        let mut candidates = Vec::new();
        for (id, SweptCharge { record, .. }) in &self.charges {
            let team_usage = usage.entry(id.team.clone()).or_default();
            if record.state == ChargeState::Revoked {
                continue;
            }
            team_usage.used += record.usage;
            candidates.push(Candidate {
                id: id.clone(),
                team: id.team.clone(),
                priority: record.priority,
                usage: record.usage,
                preemption_cost: 0,
            });
        }
        let shortage = shortage(pool, &usage);
        let victims = select_victims_best_effort(shortage, &usage, &candidates);
        if !victims.is_empty() {
            let count = victims.len();
            tracing::info!(
                "guarantees and usage exceed the capacity by {shortage}: revoking {count} admissions"
            );
        }
        victims
    }

    /// The transaction that marks up to `max_changes` of the selected admissions as revoked.
    pub(super) fn plan_marks(&mut self, max_changes: usize) -> Option<Operation> {
        let SweepPhase::Mark(victims) = &self.phase else {
            return None;
        };
        let mut transaction = TransactionBuilder::default();
        let mut marked = Vec::new();
        for id in victims.iter().take(max_changes) {
            let Some(SweptCharge { version, record }) = self.charges.get(id) else {
                continue;
            };
            let revoked = ChargeRecord {
                state: ChargeState::Revoked,
                ..record.clone()
            };
            let key = RecordKey::Charge(id.clone());
            transaction.put(key, *version, Record::Charge(revoked));
            marked.push(id.clone());
        }
        if marked.is_empty() {
            self.abort();
            return None;
        }
        Some(transaction.commit(CommitEffect::Revoked(marked)))
    }

    /// These admissions were marked. The sweep goes on with the others, and ends if there are none.
    pub(super) fn on_marked(&mut self, marked: &[AdmissionId]) {
        if let SweepPhase::Mark(victims) = &mut self.phase {
            victims.retain(|id| !marked.contains(id));
            if victims.is_empty() {
                self.abort();
            }
        }
    }
}

/// By how much guarantees and borrowed work together exceed the capacity. Each team counts with its usage or its
/// guarantee, whichever is larger for each resource.
fn shortage(pool: &PoolRecord, usage: &BTreeMap<TeamName, TeamUsage>) -> ResourceVector {
    let reserved = usage
        .values()
        .map(|team| team.used.component_max(&team.guarantee));
    let reserved: ResourceVector = reserved.sum();
    reserved.saturating_sub(&pool.capacity)
}
