//! A look at all teams and all charges, which selects borrowed work to revoke.

use std::collections::BTreeMap;
use std::mem;

use lichencrank_store::{Request, Time, Version};

use super::operation::{Effect, Operation, Purpose, TransactionBuilder, PAGE_SIZE};
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
    /// No sweep is under way.
    #[default]
    Idle,
    /// Read the teams, those behind the key `after` next.
    ReadTeams { after: String },
    /// Read the charges, those behind the key `after` next.
    ReadCharges { after: String },
    /// Mark these admissions as revoked.
    Mark(Vec<AdmissionId>),
}

/// A charge as a sweep has read it.
#[derive(Debug)]
struct SweptCharge {
    version: Version,
    record: ChargeRecord,
}

/// Reads all teams and all charges, and selects borrowed work to revoke.
#[derive(Debug, Default)]
pub(super) struct RevocationSweep {
    phase: SweepPhase,
    /// The next sweep begins at this time at the earliest.
    next_at: Time,
    teams: BTreeMap<TeamName, TeamRecord>,
    charges: BTreeMap<AdmissionId, SweptCharge>,
}

impl RevocationSweep {
    /// Whether no sweep is under way.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.phase, SweepPhase::Idle)
    }

    /// Whether the next sweep may begin.
    pub(super) fn is_due(&self, now: Time) -> bool {
        now >= self.next_at
    }

    /// Begins a sweep. The next one may begin at `next_at`.
    pub(super) fn start(&mut self, next_at: Time) {
        self.next_at = next_at;
        self.teams.clear();
        self.charges.clear();
        let after = String::new();
        self.phase = SweepPhase::ReadTeams { after };
    }

    /// Ends the sweep. What is still to be done shows in the next one.
    pub(super) fn abort(&mut self) {
        self.phase = SweepPhase::Idle;
    }

    /// The operation that reads the next page, unless all has been read.
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

    /// Takes in a record of a page. Records that are neither teams nor charges are ignored.
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

    /// A page was read, and the next one begins behind the key `next`, if there is one. Once all has been
    /// read, selects what to revoke.
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

    /// Borrowed work to revoke. What is revoked already will end, so it takes no part.
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
            tracing::info!("{shortage} too much borrowed: {count} admissions are revoked");
        }
        victims
    }

    /// The transaction that marks the first of the selected admissions.
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
        Some(transaction.commit(Effect::Revoked(marked)))
    }

    /// These admissions are marked; the others follow.
    pub(super) fn on_marked(&mut self, marked: &[AdmissionId]) {
        if let SweepPhase::Mark(victims) = &mut self.phase {
            victims.retain(|id| !marked.contains(id));
            if victims.is_empty() {
                self.abort();
            }
        }
    }
}

/// How much of what is borrowed takes capacity that guarantees need.
fn shortage(pool: &PoolRecord, usage: &BTreeMap<TeamName, TeamUsage>) -> ResourceVector {
    let reserved = usage
        .values()
        .map(|team| team.used.component_max(&team.guarantee));
    let reserved: ResourceVector = reserved.sum();
    reserved.saturating_sub(&pool.capacity)
}
