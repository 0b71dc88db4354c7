//! Rebuilds every total from the admissions and names each difference.

use std::collections::BTreeMap;
use std::fmt;

use lichencrank_store::{ConditionalStore, Item, Outcome, Request};

use crate::names::{AdmissionId, HolderName, RequesterName, TeamName};
use crate::records::{
    AllowanceRecord, OpenRecord, OpenState, PoolRecord, Record, RecordKey, TeamRecord, PREFIX,
};
use crate::resource_vector::ResourceVector;
use crate::settled::SettledRecord;

/// Records read at once.
const PAGE: u32 = 500;
/// How often a page is asked for before it is given up.
const ATTEMPTS: u32 = 20;

/// All records of this package, as they were read.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// What the teams share; `None` where no record says so.
    pub pool: Option<PoolRecord>,
    /// The teams.
    pub teams: BTreeMap<TeamName, TeamRecord>,
    /// The allowances.
    pub allowances: BTreeMap<(TeamName, HolderName), AllowanceRecord>,
    /// Admissions that count.
    pub open: BTreeMap<AdmissionId, OpenRecord>,
    /// Settled admissions.
    pub settled: BTreeMap<(TeamName, RequesterName), SettledRecord>,
    /// What holders that keep their own accounts have charged, by their own records.
    pub self_accounted: BTreeMap<(TeamName, HolderName), ResourceVector>,
}

/// Something that does not add up.
#[derive(Clone, Debug, PartialEq)]
pub enum Difference {
    /// A team uses more than its limit.
    OverLimit {
        /// The team.
        team: TeamName,
        /// What its admissions take.
        used: ResourceVector,
        /// Its limit.
        limit: ResourceVector,
    },
    /// A holder has charged more than its allowance.
    OverAllowance {
        /// The team.
        team: TeamName,
        /// The holder.
        holder: HolderName,
        /// What its admissions take.
        charged: ResourceVector,
        /// Its allowance.
        granted: ResourceVector,
    },
    /// The team's record and the allowance say different things.
    LentDiffers {
        /// The team.
        team: TeamName,
        /// The holder.
        holder: HolderName,
        /// By the team's record.
        lent: ResourceVector,
        /// By the allowance.
        granted: ResourceVector,
    },
    /// The pool does not say what the teams' records add up to.
    PoolDiffers {
        /// What the pool says of guarantees and borrowing.
        recorded: (ResourceVector, ResourceVector),
        /// What the teams add up to.
        summed: (ResourceVector, ResourceVector),
    },
    /// Borrowed work takes room that guarantees need.
    GuaranteeBroken {
        /// What guarantees and borrowed work take together.
        reserved: ResourceVector,
        /// What the machines have.
        capacity: ResourceVector,
    },
    /// An admission counts although it is settled.
    OpenAndSettled(AdmissionId),
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Difference::OverLimit { team, used, limit } => {
                write!(f, "team {team} uses {used}, its limit is {limit}")
            }
            Difference::OverAllowance {
                team,
                holder,
                charged,
                granted,
            } => write!(
                f,
                "{holder} has charged {charged} to team {team}, its allowance is {granted}"
            ),
            Difference::LentDiffers {
                team,
                holder,
                lent,
                granted,
            } => write!(
                f,
                "team {team} has lent {lent} to {holder}, whose allowance is {granted}"
            ),
            Difference::PoolDiffers { recorded, summed } => write!(
                f,
                "the pool counts {} guaranteed and {} borrowed, the teams {} and {}",
                recorded.0, recorded.1, summed.0, summed.1
            ),
            Difference::GuaranteeBroken { reserved, capacity } => write!(
                f,
                "guarantees and borrowed work take {reserved}, the machines have {capacity}"
            ),
            Difference::OpenAndSettled(id) => {
                write!(f, "admission {id} counts although it is settled")
            }
        }
    }
}

impl Ledger {
    /// Reads all records from a store, page by page; what changes meanwhile may show in part.
    pub fn read(store: &mut dyn ConditionalStore) -> Result<Ledger, String> {
        let mut ledger = Ledger::default();
        let mut after = String::new();
        loop {
            let list = Request::List {
                prefix: PREFIX.to_owned(),
                after: after.clone(),
                limit: PAGE,
            };
            let page = read_page(store, &list)?;
            for item in &page.items {
                ledger.take(item);
            }
            match page.items.last() {
                Some(last) if page.more => after = last.key.clone(),
                _ => return Ok(ledger),
            }
        }
    }

    /// Takes in one record; others are passed over.
    pub fn take(&mut self, item: &Item) {
        let Some(key) = RecordKey::parse(&item.key) else {
            return;
        };
        let Some(record) = key.read(item) else {
            return;
        };
        match (key, record) {
            (RecordKey::Pool, Record::Pool(record)) => self.pool = Some(record),
            (RecordKey::Team(team), Record::Team(record)) => {
                self.teams.insert(team, record);
            }
            (RecordKey::Allowance(team, holder), Record::Allowance(record)) => {
                self.allowances.insert((team, holder), record);
            }
            (RecordKey::Open(id), Record::Open(record)) => {
                self.open.insert(id, record);
            }
            (RecordKey::Settled(team, requester), Record::Settled(record)) => {
                self.settled.insert((team, requester), record);
            }
            _ => {}
        }
    }

    /// What a holder has charged of a team, summed up from its admissions.
    pub fn charged(&self, team: &TeamName, holder: &HolderName) -> ResourceVector {
        let open = self.open.iter();
        let of_holder = open.filter(|(id, open)| id.team == *team && open.holder == *holder);
        let charged: ResourceVector = of_holder.map(|(_, open)| open.usage).sum();
        let own = self.self_accounted.get(&(team.clone(), holder.clone()));
        charged + own.copied().unwrap_or_default()
    }

    /// What a team uses, summed up from its admissions. Records that a holder keeps by itself may still
    /// show what is proven to have ended; it never uses more than its allowance.
    pub fn used(&self, team: &TeamName) -> ResourceVector {
        let open = self.open.iter().filter(|(id, _)| id.team == *team);
        let charged: ResourceVector = open.map(|(_, open)| open.usage).sum();
        let own = self.self_accounted.iter().filter(|((of, _), _)| of == team);
        let own = own.map(|(place, usage)| {
            let allowance = self.allowances.get(place);
            let granted = allowance.map_or(ResourceVector::UNLIMITED, |a| a.granted);
            usage.component_min(&granted)
        });
        charged + own.sum()
    }

    /// What of a team's work has been told to end.
    pub fn revoked(&self, team: &TeamName) -> ResourceVector {
        let open = self.open.iter().filter(|(id, _)| id.team == *team);
        let revoked = open.filter(|(_, open)| open.state == OpenState::Revoked);
        revoked.map(|(_, open)| open.usage).sum()
    }

    /// Everything that does not add up.
    pub fn audit(&self) -> Vec<Difference> {
        let mut found = Vec::new();
        for (team, record) in &self.teams {
            self.audit_team(team, record, &mut found);
        }
        for ((team, holder), allowance) in &self.allowances {
            self.audit_allowance(team, holder, allowance, &mut found);
        }
        for id in self.open.keys() {
            let requester = (id.team.clone(), id.requester.clone());
            let settled = self.settled.get(&requester);
            if settled.is_some_and(|s| s.numbers.contains(id.sequence)) {
                found.push(Difference::OpenAndSettled(id.clone()));
            }
        }
        self.audit_pool(&mut found);
        found
    }

    fn audit_team(&self, team: &TeamName, record: &TeamRecord, found: &mut Vec<Difference>) {
        let used = self.used(team);
        if !used.fits_within(&record.limit) {
            found.push(Difference::OverLimit {
                team: team.clone(),
                used,
                limit: record.limit,
            });
        }
        for (holder, lent) in &record.lent {
            let key = (team.clone(), holder.clone());
            if !self.allowances.contains_key(&key) {
                found.push(Difference::LentDiffers {
                    team: team.clone(),
                    holder: holder.clone(),
                    lent: *lent,
                    granted: ResourceVector::ZERO,
                });
            }
        }
    }

    fn audit_allowance(
        &self,
        team: &TeamName,
        holder: &HolderName,
        allowance: &AllowanceRecord,
        found: &mut Vec<Difference>,
    ) {
        let granted = allowance.granted;
        let lent = self.teams.get(team).map(|t| t.lent_to(holder));
        let lent = lent.unwrap_or_default();
        if lent != granted {
            found.push(Difference::LentDiffers {
                team: team.clone(),
                holder: holder.clone(),
                lent,
                granted,
            });
        }
        let charged = self.charged(team, holder);
        if !allowance.self_accounted && !charged.fits_within(&granted) {
            found.push(Difference::OverAllowance {
                team: team.clone(),
                holder: holder.clone(),
                charged,
                granted,
            });
        }
    }

    fn audit_pool(&self, found: &mut Vec<Difference>) {
        let Some(pool) = &self.pool else {
            return;
        };
        let guaranteed = self.teams.values().map(|t| t.guarantee).sum();
        let borrowed = self.teams.values().map(TeamRecord::borrowed).sum();
        let (recorded, summed) = ((pool.guaranteed, pool.borrowed), (guaranteed, borrowed));
        if recorded != summed {
            found.push(Difference::PoolDiffers { recorded, summed });
        }
        let uses = self.teams.iter().map(|(team, record)| {
            let used = self.used(team);
            used.component_max(&record.guarantee)
        });
        let reserved: ResourceVector = uses.sum();
        // Where the machines don't have what is guaranteed, nobody's borrowing is to blame.
        if guaranteed.fits_within(&pool.capacity) && !reserved.fits_within(&pool.capacity) {
            found.push(Difference::GuaranteeBroken {
                reserved,
                capacity: pool.capacity,
            });
        }
    }
}

fn read_page(
    store: &mut dyn ConditionalStore,
    list: &Request,
) -> Result<lichencrank_store::Page, String> {
    for _ in 0..ATTEMPTS {
        match store.execute(list) {
            Outcome::Page(page) => return Ok(page),
            Outcome::RateLimited { retry_after } => std::thread::sleep(retry_after),
            Outcome::Invalid => return Err("the store does not understand the request".into()),
            _ => std::thread::sleep(lichencrank_store::outcome::RATE_LIMIT_PAUSE),
        }
    }
    Err("the store does not answer".into())
}
