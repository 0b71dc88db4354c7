//! The records that this package keeps in the store. [`RecordKey`] names their keys.
//!
//! Serialized names are part of the stored format, which must not change; where a field is named
//! differently here, an attribute keeps its stored name.

mod key;

use std::collections::BTreeMap;

use ciborium::Value;
use serde::{Deserialize, Serialize};

use crate::admission::Priority;
use crate::completed::CompletedRecord;
use crate::ids::{ClientName, TeamName};
use crate::resource_vector::ResourceVector;

pub use key::{
    team_charges_prefix, RecordKey, ALLOWANCE_PREFIX, CHARGE_PREFIX, COMPLETED_PREFIX, KEY_PREFIX,
    POOL_KEY, TEAM_PREFIX,
};

/// A client that waits for a larger allowance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientDemand {
    /// The client that waits.
    #[serde(rename = "holder")]
    pub client: ClientName,
    /// How much more it needs.
    #[serde(rename = "usage")]
    pub amount: ResourceVector,
}

/// A team's quota, and how its limit is divided into allowances.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// The part of the capacity that borrowing of other teams never takes.
    pub guarantee: ResourceVector,
    /// What all admissions of the team together never exceed.
    pub limit: ResourceVector,
    /// The allowance of each client that has one.
    #[serde(default, rename = "lent")]
    pub allowances: BTreeMap<ClientName, ResourceVector>,
    /// Clients that wait for a larger allowance, in the order in which they are served.
    #[serde(default, rename = "wanted")]
    pub unmet_demands: Vec<ClientDemand>,
}

/// A team that waits to borrow more than the capacity leaves now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// The team that waits.
    pub team: TeamName,
    /// How much more it needs to borrow.
    #[serde(rename = "usage")]
    pub amount: ResourceVector,
}

/// The capacity that all teams share, and what of it is committed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolRecord {
    /// What the machines have in all; unlimited where machines are rented as needed.
    pub capacity: ResourceVector,
    /// The sum of the guarantees of all teams.
    #[serde(rename = "guaranteed")]
    pub total_guaranteed: ResourceVector,
    /// The sum, over all teams, of allowances beyond the team's guarantee.
    #[serde(rename = "borrowed")]
    pub total_borrowed: ResourceVector,
    /// Teams that wait to borrow, in the order in which they are served. Their number is bounded so
    /// that the record stays small; further teams are added as places become free.
    #[serde(default, rename = "wanted")]
    pub unmet_demands: Vec<TeamDemand>,
}

impl Default for PoolRecord {
    fn default() -> PoolRecord {
        PoolRecord {
            capacity: ResourceVector::UNLIMITED,
            total_guaranteed: ResourceVector::ZERO,
            total_borrowed: ResourceVector::ZERO,
            unmet_demands: Vec::new(),
        }
    }
}

/// A client's allowance of one team. Every charge is conditional on the version of this record, so that
/// a change of it fences off whatever the client still has under way.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AllowanceRecord {
    /// Fencing epoch: raised when a process of the client acquires the allowance, and when another
    /// client fences it off.
    pub epoch: u64,
    /// What the charges of the client may take together.
    pub granted: ResourceVector,
    /// Whether another client has given this one up. Nothing is charged to the allowance before a
    /// process of the client acquires it again.
    #[serde(default, rename = "fenced")]
    pub is_fenced: bool,
    /// Whether the client keeps its charges in records outside this package, which only it can add up.
    /// Such an allowance is never reclaimed by others.
    #[serde(default, rename = "self_accounted")]
    pub has_external_charges: bool,
}

/// State of a charge in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChargeState {
    /// The admission may run.
    Charged,
    /// The admission has to end. It is charged until the end is proven.
    Revoked,
}

/// The charge of one admission. The record is deleted when the charge is released.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChargeRecord {
    /// Client whose allowance is charged.
    #[serde(rename = "holder")]
    pub client: ClientName,
    /// Epoch of the allowance at the time of the charge. It tells which process of the client made it.
    pub epoch: u64,
    /// What the admission takes.
    pub usage: ResourceVector,
    /// Priority of the admission.
    pub priority: Priority,
    /// Whether the admission may run or has to end.
    pub state: ChargeState,
}

/// A record of any kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The shared capacity.
    Pool(PoolRecord),
    /// A team's quota.
    Team(TeamRecord),
    /// A client's allowance.
    Allowance(AllowanceRecord),
    /// The charge of an admission.
    Charge(ChargeRecord),
    /// Completed admissions of a requester.
    Completed(CompletedRecord),
}

impl Record {
    /// The value that the store keeps.
    pub fn to_value(&self) -> Value {
        match self {
            Record::Pool(record) => lichencrank_store::value(record),
            Record::Team(record) => lichencrank_store::value(record),
            Record::Allowance(record) => lichencrank_store::value(record),
            Record::Charge(record) => lichencrank_store::value(record),
            Record::Completed(record) => lichencrank_store::value(record),
        }
    }
}
