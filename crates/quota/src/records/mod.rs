//! The records that this package keeps in the store. [`RecordKey`] is their key.
//!
//! Serialized names are part of the stored format, which must not change. Fields with a different Rust name
//! have an attribute with the stored name.

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
    /// The part of the capacity that other teams can't borrow.
    pub guarantee: ResourceVector,
    /// The most that all admissions of the team may use together.
    pub limit: ResourceVector,
    /// The allowance of each client that has one.
    #[serde(default, rename = "lent")]
    pub allowances: BTreeMap<ClientName, ResourceVector>,
    /// Clients that wait for a larger allowance, in the order in which they are served.
    #[serde(default, rename = "wanted")]
    pub unmet_demands: Vec<ClientDemand>,
}

/// A team that waits to borrow more than the uncommitted part of the capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// The team that waits.
    pub team: TeamName,
    /// How much more it needs to borrow.
    #[serde(rename = "usage")]
    pub amount: ResourceVector,
}

/// The capacity that all teams share, and the committed part of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolRecord {
    /// The resources of all hosts together; unlimited if hosts are provisioned as needed.
    pub capacity: ResourceVector,
    /// The sum of the guarantees of all teams.
    #[serde(rename = "guaranteed")]
    pub total_guaranteed: ResourceVector,
    /// The sum over all teams of the allowances beyond the team's guarantee.
    #[serde(rename = "borrowed")]
    pub total_borrowed: ResourceVector,
    /// Teams that wait to borrow, in the order in which they are served. Their number is bounded so that
    /// the record stays small; other teams are added once there is space.
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

/// A client's allowance of one team. Every charge is conditional on the version of this record, so a change
/// of the record fences off the charges that the client has in flight.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AllowanceRecord {
    /// Fencing epoch: raised when a process of the client acquires the allowance, and when another
    /// client fences it off.
    pub epoch: u64,
    /// The most that the charges of the client may add up to.
    pub granted: ResourceVector,
    /// Whether another client has fenced off this one. Nothing can be charged to the allowance until a
    /// process of the client acquires it again.
    #[serde(default, rename = "fenced")]
    pub is_fenced: bool,
    /// Whether the client keeps its charges in records outside this package. As other clients can't sum
    /// them up, they never reclaim the allowance.
    #[serde(default, rename = "self_accounted")]
    pub has_external_charges: bool,
}

/// State of a charge in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChargeState {
    /// The admission may run.
    Charged,
    /// The admission has to end. It stays charged until it is proven to have ended.
    Revoked,
}

/// The charge of one admission. The record is deleted when the charge is released.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChargeRecord {
    /// Client whose allowance is charged.
    #[serde(rename = "holder")]
    pub client: ClientName,
    /// Epoch of the allowance at the time of the charge, which identifies the process that made it.
    pub epoch: u64,
    /// The resources that the admission uses.
    pub usage: ResourceVector,
    /// Priority of the admission.
    pub priority: Priority,
    /// Whether the admission may run or has to end.
    pub state: ChargeState,
}

/// A record of any type.
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
    /// Encodes the record as a value of the store.
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
