//! The allowances of the daemon's leader, whose charges are the allocations in its run records.
//!
//! Each allocation is written on condition that its team's allowance has an unchanged version
//! ([`LeaderAllowances::fence`]), so a charge needs no record besides the allocation. All controllers
//! share one client name, because only one of them is the leader at a time. The epoch of the allowances is
//! the leader's term: every leader acquires them before it allocates any task, which fences off the
//! transactions that an earlier leader has in flight.

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

/// Maximum number of changes for one team: its record, its allowance and the pool.
const MAX_CHANGES_PER_TEAM: usize = 3;

/// The usage and the pending demand of a team.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamWorkload {
    /// The sum of the team's charges in the leader's own records.
    pub charged: ResourceVector,
    /// The sum of the resources of all waiting tasks.
    pub pending: ResourceVector,
    /// For each resource, the largest amount that any waiting task requests.
    pub largest_pending_task: ResourceVector,
}

/// Progress of reading and writing the records in the store.
#[derive(Clone, Debug)]
enum SyncState {
    /// The records are being read into a new snapshot.
    Reading(RecordSnapshot),
    /// No record is being read or written.
    Idle,
    /// The outcome of a transaction that writes these records is awaited.
    Writing(Vec<RecordUpdate>),
}

/// A record to be written.
#[derive(Clone, Debug)]
struct RecordUpdate {
    key: RecordKey,
    record: Record,
}

/// The target state of the records of one team.
struct DesiredRecords {
    quota: TeamQuota,
    allowance: AllowanceRecord,
}

/// The allowances of one leader. Does no I/O: the caller reads the records, executes the transactions, and
/// reports their outcomes.
#[derive(Clone, Debug)]
pub struct LeaderAllowances {
    client: ClientName,
    epoch: u64,
    policy: QuotaPolicy,
    snapshot: RecordSnapshot,
    sync: SyncState,
}

impl LeaderAllowances {
    /// Creates the allowances of the leader of that term. Their records have not been read yet.
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

    /// Begins to read all records again. The records that were read before stay in use until
    /// [`Self::finish_reading`].
    pub fn begin_reading(&mut self) {
        self.sync = SyncState::Reading(RecordSnapshot::new(self.client.clone()));
    }

    /// Whether no record is being read or written.
    pub fn is_idle(&self) -> bool {
        matches!(self.sync, SyncState::Idle)
    }

    /// Whether the outcome of a transaction is awaited.
    pub fn is_writing(&self) -> bool {
        matches!(self.sync, SyncState::Writing(_))
    }

    /// Adds one of the records that are being read. Items that are not records of this package are
    /// ignored.
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

    /// All records have been read, and replace those that were read before.
    pub fn finish_reading(&mut self) {
        if let SyncState::Reading(snapshot) = mem::replace(&mut self.sync, SyncState::Idle) {
            self.snapshot = snapshot;
        }
    }

    /// The size of the allowance of a team; `None` if this leader has not acquired it.
    pub fn granted(&self, team: &TeamName) -> Option<ResourceVector> {
        let allowance = self.acquired(team)?;
        Some(allowance.record.granted)
    }

    /// The condition that every transaction with a charge to the team has to include: that the allowance is
    /// unchanged. `None` if this leader has not acquired the allowance.
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

    /// The next transaction; `None` if no record has to change, or while records are being read or written.
    /// It has at most `max_changes` changes, or three, which one team can need, if that is more. The caller
    /// may add conditions, and reports the outcome by [`Self::on_committed`] or
    /// [`Self::on_not_committed`].
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
        // The grants were computed from the pool, so it must be unchanged even if it is not written.
        let pool_version = self.snapshot.version(&RecordKey::Pool);
        txn.require(RecordKey::Pool.path(), pool_version);
        self.sync = SyncState::Writing(updates);
        Some(txn)
    }

    /// The transaction was committed at that version.
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

    /// The updates of as many teams as fit into a transaction. The updates of each team are computed from
    /// the records with the updates of the teams before it, because all teams share the pool.
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
                // The new version is not known yet. Conditions use the versions in `self.snapshot`.
                snapshot.insert(key.clone(), Version::ABSENT, record.clone());
                updated.insert(key, record);
            }
        }
        let updates = updated.into_iter();
        updates
            .map(|(key, record)| RecordUpdate { key, record })
            .collect()
    }

    /// The records of a team that differ from their target state.
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

    /// The target state of a team's records, from the policy and the team's workload.
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
