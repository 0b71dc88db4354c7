//! Revoking borrowed work when the machines no longer have what is borrowed beside all guarantees, as
//! after capacity shrank or a guarantee was raised.

use std::collections::BTreeMap;

use lichencrank_store::{Request, Time, Version};

use super::cache::Unread;
use super::operation::{Draft, Effect, Operation, Purpose};
use super::{QuotaClient, LOAD_PAGE};
use crate::ids::{AdmissionId, TeamName};
use crate::preemption::{select_victims_best_effort, Candidate, TeamUsage};
use crate::records::{
    ChargeRecord, ChargeState, PoolRecord, Record, RecordKey, TeamRecord, CHARGE_PREFIX,
    TEAM_PREFIX,
};
use crate::resource_vector::ResourceVector;

/// How far it is.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) enum Step {
    /// Nothing is amiss, as far as is known.
    #[default]
    Rest,
    /// The teams are being read, beginning behind this key.
    Teams(String),
    /// The open admissions are being read, beginning behind this key.
    Open(String),
    /// These are to be told to end.
    Mark(Vec<AdmissionId>),
}

/// A look at all teams and all open admissions.
#[derive(Debug, Default)]
pub(super) struct Enforcement {
    pub(super) step: Step,
    next_at: Time,
    teams: BTreeMap<TeamName, TeamRecord>,
    open: BTreeMap<AdmissionId, (Version, ChargeRecord)>,
}

impl QuotaClient {
    pub(super) fn plan_enforcement(&mut self) -> Result<Option<Operation>, Unread> {
        if self.accounts.is_empty() {
            return Ok(None);
        }
        let pool = self.pool()?;
        if self.enforcement.step == Step::Rest {
            if pool.overcommitted().is_zero() || self.now < self.enforcement.next_at {
                return Ok(None);
            }
            let pause = self.config.refresh_interval * 2;
            self.enforcement.next_at = self.now.after(pause);
            self.enforcement.teams.clear();
            self.enforcement.open.clear();
            self.enforcement.step = Step::Teams(String::new());
        }
        match &self.enforcement.step {
            Step::Rest => Ok(None),
            Step::Teams(after) => Ok(Some(survey(TEAM_PREFIX, after))),
            Step::Open(after) => Ok(Some(survey(CHARGE_PREFIX, after))),
            Step::Mark(ids) => {
                let ids = ids.clone();
                Ok(self.plan_marks(&ids))
            }
        }
    }

    /// Writes the marks of as many as a transaction takes.
    fn plan_marks(&mut self, ids: &[AdmissionId]) -> Option<Operation> {
        let mut draft = Draft::default();
        let mut marked = Vec::new();
        for id in ids.iter().take(self.config.store_limits.changes) {
            let Some((version, open)) = self.enforcement.open.get(id) else {
                continue;
            };
            let revoked = ChargeRecord {
                state: ChargeState::Revoked,
                ..open.clone()
            };
            let key = RecordKey::Charge(id.clone());
            draft.write(key, *version, Some(Record::Charge(revoked)));
            marked.push(id.clone());
        }
        if marked.is_empty() {
            self.enforcement.step = Step::Rest;
            return None;
        }
        Some(draft.commit(Effect::Revoked(marked)))
    }

    /// A transaction that marked admissions is over; those that are left follow. What failed is looked
    /// at again with the next survey.
    pub(super) fn marked(&mut self, done: &[AdmissionId]) {
        if let Step::Mark(ids) = &mut self.enforcement.step {
            ids.retain(|id| !done.contains(id));
            if ids.is_empty() {
                self.enforcement.step = Step::Rest;
            }
        }
    }

    pub(super) fn surveyed(
        &mut self,
        records: Vec<(RecordKey, Version, Record)>,
        next: Option<String>,
    ) {
        for (key, version, record) in records {
            match (key, record) {
                (RecordKey::Team(team), Record::Team(record)) => {
                    self.enforcement.teams.insert(team, record);
                }
                (RecordKey::Charge(id), Record::Charge(record)) => {
                    let ours = record.client == self.config.name;
                    if ours && record.state == ChargeState::Revoked {
                        self.see_revocation(&id);
                    }
                    self.enforcement.open.insert(id, (version, record));
                }
                _ => {}
            }
        }
        self.enforcement.step = match (&self.enforcement.step, next) {
            (Step::Teams(_), Some(after)) => Step::Teams(after),
            (Step::Teams(_), None) => Step::Open(String::new()),
            (Step::Open(_), Some(after)) => Step::Open(after),
            (Step::Open(_), None) => self.choose_revocations(),
            _ => Step::Rest,
        };
    }

    fn choose_revocations(&self) -> Step {
        let Ok(pool) = self.pool() else {
            return Step::Rest;
        };
        let Enforcement { teams, open, .. } = &self.enforcement;
        let mut uses: BTreeMap<TeamName, TeamUsage> = BTreeMap::new();
        for (team, record) in teams {
            let guarantee = record.guarantee;
            let used = ResourceVector::ZERO;
            uses.insert(team.clone(), TeamUsage { guarantee, used });
        }
        let mut candidates = Vec::new();
        for (id, (_, record)) in open {
            let team = uses.entry(id.team.clone()).or_default();
            if record.state == ChargeState::Revoked {
                // It ends without another word.
                continue;
            }
            team.used += record.usage;
            candidates.push(Candidate {
                id: id.clone(),
                team: id.team.clone(),
                priority: record.priority,
                usage: record.usage,
                preemption_cost: 0,
            });
        }
        let shortage = shortage(&pool, &uses);
        let chosen = select_victims_best_effort(shortage, &uses, &candidates);
        if chosen.is_empty() {
            return Step::Rest;
        }
        tracing::info!(
            "{shortage} too much borrowed: {} admissions are revoked",
            chosen.len()
        );
        Step::Mark(chosen)
    }
}

/// How much of what is borrowed is in the way of a guarantee.
fn shortage(pool: &PoolRecord, teams: &BTreeMap<TeamName, TeamUsage>) -> ResourceVector {
    let reserved: ResourceVector = teams
        .values()
        .map(|t| t.used.component_max(&t.guarantee))
        .sum();
    reserved.saturating_sub(&pool.capacity)
}

fn survey(prefix: &str, after: &str) -> Operation {
    Operation {
        request: Request::List {
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit: LOAD_PAGE,
        },
        purpose: Purpose::Survey,
    }
}
