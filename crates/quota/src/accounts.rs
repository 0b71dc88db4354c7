//! The allowances of a holder that keeps its charges in records of its own, as the daemon's leader does
//! with the records of what is booked.
//!
//! Its writes are conditional on the version of the allowance ([`LeaderAccounts::fence`]), so no charge
//! needs a record beside the booking. The holder is one role for all controllers; the epoch of its
//! allowances is the leader's term, and every leader claims them before it books anything.

use std::collections::BTreeMap;

use lichencrank_store::{Change, Item, Txn, Version};

use crate::allocation::{AllowanceTarget, TeamQuota};
use crate::amount::Amount;
use crate::ids::{AllowanceId, ClientName, TeamName};
use crate::policy::QuotaPolicy;
use crate::records::{AllowanceRecord, PoolRecord, Record, RecordKey, TeamRecord};
use crate::resource_vector::ResourceVector;

/// Name of the holder that all leaders are in their turn.
pub const LEADER: &str = "leader";
/// Of what is unlimited so much is lent at once.
const UNLIMITED_GRANT: ResourceVector = ResourceVector {
    cpus: Amount::from_whole(1_000_000),
    gpus: Amount::from_whole(1_000_000),
};

/// A team's record, its allowance and the pool.
const CHANGES_PER_TEAM: usize = 3;

/// What is missing is waited for in parts of so many tasks, so that teams have their turns.
const WANTED_TASKS: u64 = 16;

/// What a team's work takes and waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// What is charged, by the holder's own records.
    pub used: ResourceVector,
    /// What all that waits would take.
    pub waiting: ResourceVector,
    /// What the one that waits in front takes.
    pub front: ResourceVector,
}

#[derive(Clone, Debug, Default)]
struct Known<T> {
    version: Version,
    record: T,
}

/// What was read in one round.
#[derive(Clone, Debug, Default)]
struct Picture {
    pool: Known<PoolRecord>,
    teams: BTreeMap<TeamName, Known<TeamRecord>>,
    own: BTreeMap<TeamName, Known<AllowanceRecord>>,
}

/// How far the accounts are.
#[derive(Clone, Debug)]
enum Stage {
    /// The records are being read.
    Reading(Picture),
    /// They are known.
    Ready,
    /// A transaction is under way, with the records that it writes.
    Committing(Vec<(RecordKey, Record)>),
}

/// The allowances of one leader.
#[derive(Clone, Debug)]
pub struct LeaderAccounts {
    holder: ClientName,
    epoch: u64,
    policy: QuotaPolicy,
    picture: Picture,
    stage: Stage,
}

impl LeaderAccounts {
    /// The accounts of a leader of that term, to be read.
    pub fn new(term: u64, policy: QuotaPolicy) -> LeaderAccounts {
        LeaderAccounts {
            holder: ClientName::new(LEADER),
            epoch: term,
            policy,
            picture: Picture::default(),
            stage: Stage::Reading(Picture::default()),
        }
    }

    /// Begins to read the records anew; what was known stays in use meanwhile.
    pub fn begin_reading(&mut self) {
        self.stage = Stage::Reading(Picture::default());
    }

    /// Whether nothing is being read or written.
    pub fn is_ready(&self) -> bool {
        matches!(self.stage, Stage::Ready)
    }

    /// Whether a transaction is under way.
    pub fn is_writing(&self) -> bool {
        matches!(self.stage, Stage::Committing(_))
    }

    /// Takes in a record that was read.
    pub fn take(&mut self, item: &Item) {
        let Stage::Reading(picture) = &mut self.stage else {
            return;
        };
        let Some(key) = RecordKey::parse(&item.key) else {
            return;
        };
        let Some(record) = key.read_record(item) else {
            return;
        };
        picture.put(key, item.version, record, &self.holder);
    }

    /// All records were read.
    pub fn all_read(&mut self) {
        if let Stage::Reading(picture) = std::mem::replace(&mut self.stage, Stage::Ready) {
            self.picture = picture;
        }
    }

    /// What may be charged of a team in all; `None` before the allowance is claimed.
    pub fn granted(&self, team: &TeamName) -> Option<ResourceVector> {
        self.claimed(team).map(|own| own.record.granted)
    }

    /// The key and version that every charge of the team depends on.
    pub fn fence(&self, team: &TeamName) -> Option<(String, Version)> {
        let own = self.claimed(team)?;
        let key = RecordKey::Allowance(AllowanceId::new(team, &self.holder));
        Some((key.path(), own.version))
    }

    fn claimed(&self, team: &TeamName) -> Option<&Known<AllowanceRecord>> {
        let own = self.picture.own.get(team)?;
        (own.record.epoch == self.epoch && !own.record.fenced).then_some(own)
    }

    /// The next transaction, of so many changes at the most, if anything has to change. The caller adds
    /// what its own writes depend on, and tells the outcome.
    pub fn plan(
        &mut self,
        demands: &BTreeMap<TeamName, Demand>,
        max_changes: usize,
    ) -> Option<Txn> {
        if !self.is_ready() {
            return None;
        }
        let changes = self.changes(demands, max_changes.max(CHANGES_PER_TEAM));
        if changes.is_empty() {
            return None;
        }
        let mut txn = Txn::default();
        for (key, record) in &changes {
            txn.require(key.path(), self.version(key));
            txn.changes.push(Change::put(key.path(), record.to_value()));
        }
        // What may be lent was read from it.
        txn.require(RecordKey::Pool.path(), self.picture.pool.version);
        self.stage = Stage::Committing(changes);
        Some(txn)
    }

    /// The changes of as many teams as a transaction takes. Each team's follow from those before it, as
    /// they share the pool.
    fn changes(
        &self,
        demands: &BTreeMap<TeamName, Demand>,
        max_changes: usize,
    ) -> Vec<(RecordKey, Record)> {
        let mut picture = self.picture.clone();
        let mut changes: BTreeMap<RecordKey, Record> = BTreeMap::new();
        for team in self.policy.teams.keys() {
            if changes.len() + CHANGES_PER_TEAM > max_changes {
                break;
            }
            let demand = demands.get(team).copied().unwrap_or_default();
            for (key, record) in self.changes_of(&picture, team, &demand) {
                picture.put(key.clone(), Version::ABSENT, record.clone(), &self.holder);
                changes.insert(key, record);
            }
        }
        changes.into_iter().collect()
    }

    /// The transaction was committed at that version.
    pub fn committed(&mut self, version: Version) {
        if let Stage::Committing(changes) = std::mem::replace(&mut self.stage, Stage::Ready) {
            for (key, record) in changes {
                self.picture.put(key, version, record, &self.holder);
            }
        }
    }

    /// It was surely not carried out, and may be tried again.
    pub fn refused(&mut self) {
        if matches!(self.stage, Stage::Committing(_)) {
            self.stage = Stage::Ready;
        }
    }

    fn version(&self, key: &RecordKey) -> Version {
        match key {
            RecordKey::Pool => self.picture.pool.version,
            RecordKey::Team(team) => {
                let team = self.picture.teams.get(team);
                team.map_or(Version::ABSENT, |known| known.version)
            }
            RecordKey::Allowance(AllowanceId { team, .. }) => {
                let own = self.picture.own.get(team);
                own.map_or(Version::ABSENT, |known| known.version)
            }
            RecordKey::Charge(_) | RecordKey::Completed(..) => Version::ABSENT,
        }
    }

    /// The records of a team that are not as they should be.
    fn changes_of(
        &self,
        picture: &Picture,
        team: &TeamName,
        demand: &Demand,
    ) -> Vec<(RecordKey, Record)> {
        let Some(wanted) = self.policy.teams.get(team) else {
            return Vec::new();
        };
        let known_team = picture.teams.get(team).map(|known| &known.record);
        let record = known_team.cloned().unwrap_or_default();
        let pool = PoolRecord {
            capacity: self.policy.capacity,
            ..picture.pool.record.clone()
        };
        let quota = TeamQuota {
            name: team.clone(),
            team: record,
            pool,
        };
        let quota = quota.with_policy(wanted);
        let known_own = picture.own.get(team).map(|known| &known.record);
        let own = known_own.cloned().unwrap_or_default();
        let new = self.new_allowance(&quota, &own, demand);
        let TeamQuota {
            team: record, pool, ..
        } = quota.with_allowance(&self.holder, &new);
        let own = AllowanceRecord {
            epoch: self.epoch,
            granted: new.granted,
            fenced: false,
            charges_kept_externally: true,
        };
        let mut changes = Vec::new();
        if known_team != Some(&record) {
            changes.push((RecordKey::Team(team.clone()), Record::Team(record)));
        }
        if known_own != Some(&own) {
            let key = RecordKey::Allowance(AllowanceId::new(team, &self.holder));
            changes.push((key, Record::Allowance(own)));
        }
        if pool != picture.pool.record {
            changes.push((RecordKey::Pool, Record::Pool(pool)));
        }
        changes
    }

    fn new_allowance(
        &self,
        quota: &TeamQuota,
        own: &AllowanceRecord,
        demand: &Demand,
    ) -> AllowanceTarget {
        // What runs counts, also above the limit: it was booked by a version that knows no allowances.
        let mut granted = own.granted.component_max(&demand.used);
        let unspent = granted.saturating_sub(&demand.used);
        let owed = quota.owed_by(&self.holder);
        let owed = owed.component_max(&quota.team.granted_above_limit());
        granted = granted.saturating_sub(&unspent.component_min(&owed));
        let lendable = quota.grantable_to(&self.holder);
        granted = granted + lending(&granted, &lendable, &quota.pool, demand);
        let short = (demand.used + demand.waiting).saturating_sub(&granted);
        let under_limit = quota.team.limit.saturating_sub(&granted);
        let wanted = short.component_min(&under_limit);
        let wanted = wanted.component_min(&demand.front.saturating_mul(WANTED_TASKS));
        AllowanceTarget {
            granted,
            unmet_demand: (!wanted.is_zero()).then_some(wanted),
        }
    }
}

/// How much more is taken of what can be had: all of it where there is no end of machines, as nobody
/// else goes short by it; else what waits.
fn lending(
    granted: &ResourceVector,
    lendable: &ResourceVector,
    pool: &PoolRecord,
    demand: &Demand,
) -> ResourceVector {
    let wanted = if pool.capacity.is_unlimited() {
        // What is there already counts, of each resource by itself.
        UNLIMITED_GRANT.saturating_sub(&granted.saturating_sub(&demand.used))
    } else {
        (demand.used + demand.waiting).saturating_sub(granted)
    };
    wanted.component_min(lendable)
}

impl Picture {
    fn put(&mut self, key: RecordKey, version: Version, record: Record, holder: &ClientName) {
        match (key, record) {
            (RecordKey::Pool, Record::Pool(record)) => self.pool = Known { version, record },
            (RecordKey::Team(team), Record::Team(record)) => {
                self.teams.insert(team, Known { version, record });
            }
            (RecordKey::Allowance(id), Record::Allowance(record)) if id.client == *holder => {
                self.own.insert(id.team, Known { version, record });
            }
            _ => {}
        }
    }
}
