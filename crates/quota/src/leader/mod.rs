//! The allowances of the daemon's leader, which keeps its charges in booking records of its own.
//!
//! Each booking is conditional on the version of its team's allowance ([`LeaderAllowances::fence`]), so a
//! charge takes no record beside the booking. All controllers share one client name, as one of them
//! leads at a time. The epoch of the allowances is the leader's term: every leader acquires them before
//! it books anything, which fences off what an earlier leader still has under way.

mod snapshot;
mod target;

use std::collections::BTreeMap;
use std::mem;

use lichencrank_store::{Change, Condition, Item, Txn, Version};

use crate::allocation::TeamQuota;
use crate::ids::{AllowanceId, ClientName, TeamName};
use crate::policy::{QuotaPolicy, TeamPolicy};
use crate::records::{AllowanceRecord, PoolRecord, Record, RecordKey};
use crate::resource_vector::ResourceVector;

use snapshot::{RecordSnapshot, Versioned};
use target::leader_target;

/// Client name that all leaders use in turn.
pub const LEADER_CLIENT_NAME: &str = "leader";

/// Changes that one team can take: its record, its allowance and the pool.
const MAX_CHANGES_PER_TEAM: usize = 3;

/// What a team's work takes, and what it waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamWorkload {
    /// What is charged, by the leader's own records.
    pub charged: ResourceVector,
    /// What all waiting tasks together would take.
    pub pending: ResourceVector,
    /// What one waiting task takes; of each resource the most that any of them takes.
    pub largest_pending_task: ResourceVector,
}

/// What is going on between the leader and the store.
#[derive(Clone, Debug)]
enum SyncState {
    /// The records are being read into a new snapshot.
    Reading(RecordSnapshot),
    /// Nothing is being read or written.
    Idle,
    /// The outcome of a transaction that writes these records is awaited.
    Writing(Vec<RecordUpdate>),
}

/// A record that is to be written.
#[derive(Clone, Debug)]
struct RecordUpdate {
    key: RecordKey,
    record: Record,
}

/// The records of one team as they should be.
struct DesiredRecords {
    quota: TeamQuota,
    allowance: AllowanceRecord,
}

/// The allowances of one leader. Decides without input or output: the caller reads the records, carries
/// out the transactions, and reports their outcomes.
#[derive(Clone, Debug)]
pub struct LeaderAllowances {
    client: ClientName,
    epoch: u64,
    policy: QuotaPolicy,
    snapshot: RecordSnapshot,
    sync: SyncState,
}

impl LeaderAllowances {
    /// The allowances of the leader of that term. Their records are still to be read.
    pub fn new(term: u64, policy: QuotaPolicy) -> LeaderAllowances {
        let client = ClientName::new(LEADER_CLIENT_NAME);
        let snapshot = RecordSnapshot::new(client.clone());
        LeaderAllowances {
            client,
            epoch: term,
            policy,
            sync: SyncState::Reading(snapshot.clone()),
            snapshot,
        }
    }

    /// Begins to read all records again. What was read before stays in use until
    /// [`Self::finish_reading`].
    pub fn begin_reading(&mut self) {
        self.sync = SyncState::Reading(RecordSnapshot::new(self.client.clone()));
    }

    /// Whether nothing is being read or written.
    pub fn is_idle(&self) -> bool {
        matches!(self.sync, SyncState::Idle)
    }

    /// Whether the outcome of a transaction is awaited.
    pub fn is_writing(&self) -> bool {
        matches!(self.sync, SyncState::Writing(_))
    }

    /// Takes in one of the records that are being read. Items that are none of this package's records
    /// are ignored.
    pub fn insert_item(&mut self, item: &Item) {
        let SyncState::Reading(snapshot) = &mut self.sync else {
            return;
        };
        let Some(key) = RecordKey::parse(&item.key) else {
            return;
        };
        if let Some(record) = key.read_record(item) {
            snapshot.insert(key, item.version, record);
        }
    }

    /// All records have been read: they are used from here on.
    pub fn finish_reading(&mut self) {
        if let SyncState::Reading(snapshot) = mem::replace(&mut self.sync, SyncState::Idle) {
            self.snapshot = snapshot;
        }
    }

    /// What may be charged to a team in all; `None` before this leader has acquired the allowance.
    pub fn granted(&self, team: &TeamName) -> Option<ResourceVector> {
        let allowance = self.acquired(team)?;
        Some(allowance.record.granted)
    }

    /// The condition that every charge to the team has to carry: that the allowance is unchanged. `None`
    /// before this leader has acquired the allowance.
    pub fn fence(&self, team: &TeamName) -> Option<Condition> {
        let allowance = self.acquired(team)?;
        let key = RecordKey::Allowance(AllowanceId::new(team, &self.client));
        Some(Condition {
            key: key.path(),
            version: allowance.version,
        })
    }

    fn acquired(&self, team: &TeamName) -> Option<&Versioned<AllowanceRecord>> {
        let allowance = self.snapshot.allowance(team)?;
        let is_own = allowance.record.epoch == self.epoch && !allowance.record.is_fenced;
        is_own.then_some(allowance)
    }

    /// The next transaction, if any record has to change and nothing is being read or written. It has at
    /// most `max_changes` changes, or those of one team if that is more. The caller may add conditions,
    /// and reports the outcome by [`Self::on_committed`] or [`Self::on_not_committed`].
    pub fn next_transaction(
        &mut self,
        workloads: &BTreeMap<TeamName, TeamWorkload>,
        max_changes: usize,
    ) -> Option<Txn> {
        if !self.is_idle() {
            return None;
        }
        let updates = self.updates(workloads, max_changes.max(MAX_CHANGES_PER_TEAM));
        if updates.is_empty() {
            return None;
        }
        let mut txn = Txn::default();
        for RecordUpdate { key, record } in &updates {
            txn.require(key.path(), self.snapshot.version(key));
            txn.changes.push(Change::put(key.path(), record.to_value()));
        }
        // What may be granted was computed from the pool, also where the pool does not change.
        let pool_version = self.snapshot.version(&RecordKey::Pool);
        txn.require(RecordKey::Pool.path(), pool_version);
        self.sync = SyncState::Writing(updates);
        Some(txn)
    }

    /// The transaction was committed, at that version.
    pub fn on_committed(&mut self, version: Version) {
        if let SyncState::Writing(updates) = mem::replace(&mut self.sync, SyncState::Idle) {
            for RecordUpdate { key, record } in updates {
                self.snapshot.insert(key, version, record);
            }
        }
    }

    /// The transaction was not committed, and never will be.
    pub fn on_not_committed(&mut self) {
        if self.is_writing() {
            self.sync = SyncState::Idle;
        }
    }

    /// The updates of as many teams as fit into a transaction. Those of each team are computed from the
    /// records after the updates of the teams before it, as all share the pool.
    fn updates(
        &self,
        workloads: &BTreeMap<TeamName, TeamWorkload>,
        max_changes: usize,
    ) -> Vec<RecordUpdate> {
        let mut snapshot = self.snapshot.clone();
        let mut updated: BTreeMap<RecordKey, Record> = BTreeMap::new();
        for (team, policy) in &self.policy.teams {
            if updated.len() + MAX_CHANGES_PER_TEAM > max_changes {
                break;
            }
            let workload = workloads.get(team).copied().unwrap_or_default();
            for RecordUpdate { key, record } in
                self.team_updates(&snapshot, team, policy, &workload)
            {
                // The version is not known yet; conditions come from the snapshot that was read.
                snapshot.insert(key.clone(), Version::ABSENT, record.clone());
                updated.insert(key, record);
            }
        }
        let updates = updated.into_iter();
        updates
            .map(|(key, record)| RecordUpdate { key, record })
            .collect()
    }

    /// The records of a team that differ from what they should be.
    fn team_updates(
        &self,
        snapshot: &RecordSnapshot,
        name: &TeamName,
        policy: &TeamPolicy,
        workload: &TeamWorkload,
    ) -> Vec<RecordUpdate> {
        let DesiredRecords { quota, allowance } = self.desired(snapshot, name, policy, workload);
        let known_team = snapshot.team(name).map(|team| &team.record);
        let known_allowance = snapshot.allowance(name).map(|known| &known.record);
        let mut updates = Vec::new();
        if known_team != Some(&quota.team) {
            updates.push(RecordUpdate {
                key: RecordKey::Team(name.clone()),
                record: Record::Team(quota.team),
            });
        }
        if known_allowance != Some(&allowance) {
            updates.push(RecordUpdate {
                key: RecordKey::Allowance(AllowanceId::new(name, &self.client)),
                record: Record::Allowance(allowance),
            });
        }
        if snapshot.pool().record != quota.pool {
            updates.push(RecordUpdate {
                key: RecordKey::Pool,
                record: Record::Pool(quota.pool),
            });
        }
        updates
    }

    /// The records of a team as they should be, by the policy and the team's workload.
    fn desired(
        &self,
        snapshot: &RecordSnapshot,
        name: &TeamName,
        policy: &TeamPolicy,
        workload: &TeamWorkload,
    ) -> DesiredRecords {
        let team = snapshot.team(name).map(|team| team.record.clone());
        let quota = TeamQuota {
            name: name.clone(),
            team: team.unwrap_or_default(),
            pool: PoolRecord {
                capacity: self.policy.capacity,
                ..snapshot.pool().record.clone()
            },
        };
        let quota = quota.with_policy(policy);
        let allowance = snapshot.allowance(name);
        let granted = allowance.map_or(ResourceVector::ZERO, |known| known.record.granted);
        let target = leader_target(&quota, &self.client, granted, workload);
        DesiredRecords {
            quota: quota.with_allowance(&self.client, &target),
            allowance: AllowanceRecord {
                epoch: self.epoch,
                granted: target.granted,
                is_fenced: false,
                has_external_charges: true,
            },
        }
    }
}
