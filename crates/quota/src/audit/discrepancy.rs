//! The discrepancies that an audit can find.

use thiserror::Error;

use crate::ids::{AdmissionId, ClientName, TeamName};
use crate::resource_vector::ResourceVector;

/// The sums over all teams, as in the pool's record.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolTotals {
    /// The sum of all guarantees.
    pub guaranteed: ResourceVector,
    /// The sum of the teams' borrowing beyond their guarantees.
    pub borrowed: ResourceVector,
}

/// Records that contradict each other, or a bound that is violated. The error text is shown to operators.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Discrepancy {
    /// A team uses more than its limit.
    #[error("team {team} uses {used}, its limit is {limit}")]
    LimitExceeded {
        /// The team.
        team: TeamName,
        /// The sum of its charges.
        used: ResourceVector,
        /// Its limit.
        limit: ResourceVector,
    },
    /// A client has charged more than its allowance.
    #[error("{client} has charged {charged} to team {team}, its allowance is {granted}")]
    AllowanceExceeded {
        /// The team whose limit the allowance is a part of.
        team: TeamName,
        /// The client.
        client: ClientName,
        /// The sum of the client's charges to the team.
        charged: ResourceVector,
        /// Its allowance.
        granted: ResourceVector,
    },
    /// The team's record and the allowance's own record have different amounts.
    #[error("team {team} has lent {in_team_record} to {client}, whose allowance is {granted}")]
    AllowanceMismatch {
        /// The team.
        team: TeamName,
        /// The client.
        client: ClientName,
        /// The allowance in the team's record; zero if it has none.
        in_team_record: ResourceVector,
        /// The allowance in its own record; zero if there is none.
        granted: ResourceVector,
    },
    /// The sums in the pool's record differ from the sums over the teams' records.
    #[error(
        "the pool counts {} guaranteed and {} borrowed, the teams {} and {}",
        .recorded.guaranteed, .recorded.borrowed, .summed.guaranteed, .summed.borrowed
    )]
    PoolMismatch {
        /// The sums in the pool's record.
        recorded: PoolTotals,
        /// The sums over the teams' records.
        summed: PoolTotals,
    },
    /// Borrowed work uses capacity that is needed for unused guarantees.
    #[error("guarantees and borrowed work take {reserved}, the machines have {capacity}")]
    GuaranteeViolated {
        /// The sum over all teams of usage or guarantee, whichever is larger for each resource.
        reserved: ResourceVector,
        /// The capacity.
        capacity: ResourceVector,
    },
    /// An admission is charged although it is completed.
    #[error("admission {0} counts although it is settled")]
    ChargedAfterCompletion(AdmissionId),
}
