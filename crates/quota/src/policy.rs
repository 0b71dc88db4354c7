//! The quotas that operators set.

use std::collections::BTreeMap;

use crate::ids::TeamName;
use crate::resource_vector::ResourceVector;

/// Guarantee and limit of a team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamPolicy {
    /// The part of the capacity that borrowing of other teams never takes.
    pub guarantee: ResourceVector,
    /// What all admissions of the team together never exceed.
    pub limit: ResourceVector,
}

/// The capacity, and the quotas of all teams.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaPolicy {
    /// What the machines have in all; unlimited where machines are rented as needed.
    pub capacity: ResourceVector,
    /// The teams' quotas.
    pub teams: BTreeMap<TeamName, TeamPolicy>,
}
