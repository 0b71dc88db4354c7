//! The quotas that operators set.

use std::collections::BTreeMap;

use crate::ids::TeamName;
use crate::resource_vector::ResourceVector;

/// Guarantee and limit of a team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamPolicy {
    /// The part of the capacity that other teams can't borrow.
    pub guarantee: ResourceVector,
    /// The most that all admissions of the team may use together.
    pub limit: ResourceVector,
}

/// The capacity, and the quotas of all teams.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaPolicy {
    /// The resources of all hosts together; unlimited if hosts are provisioned as needed.
    pub capacity: ResourceVector,
    /// The teams' quotas.
    pub teams: BTreeMap<TeamName, TeamPolicy>,
}
