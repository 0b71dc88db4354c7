//! Computes the target size of the leader's allowance of a team.

use super::TeamWorkload;
use crate::allocation::{AllowanceTarget, TeamQuota};
use crate::amount::Amount;
use crate::ids::ClientName;
use crate::records::PoolRecord;
use crate::resource_vector::ResourceVector;

/// Unspent allowance that the leader is granted if the capacity is unlimited and the team's limit leaves as much.
const UNLIMITED_GRANT: ResourceVector = ResourceVector {
    cpus: Amount::from_whole(1_000_000),
    gpus: Amount::from_whole(1_000_000),
};

/// The leader's unmet demand is at most this many tasks, so that other teams are served in between.
const MAX_DEMANDED_TASKS: u64 = 16;

/// The target of the allowance, from its current size and the team's workload.
pub(super) fn leader_target(
    quota: &TeamQuota,
    leader: &ClientName,
    granted: ResourceVector,
    workload: &TeamWorkload,
) -> AllowanceTarget {
    // All charges count, even above the limit: a version without allowances may have allocated them.
    let granted = granted.component_max(&workload.charged);
    let unspent = granted.saturating_sub(&workload.charged);
    let above_limit = quota.team.granted_above_limit();
    let owed = quota.owed_by(leader).component_max(&above_limit);
    let kept = granted.saturating_sub(&unspent.component_min(&owed));
    let grantable = quota.grantable_to(leader);
    let granted = kept + growth(&kept, &grantable, &quota.pool, workload);
    AllowanceTarget {
        granted,
        unmet_demand: unmet_demand(quota, &granted, workload),
    }
}

/// How much of the grantable amount the leader takes. With unlimited capacity, when hosts are provisioned as
/// needed, it takes all of it up to [`UNLIMITED_GRANT`], because that deprives nobody else. Otherwise it
/// takes what the waiting tasks need.
fn growth(
    granted: &ResourceVector,
    grantable: &ResourceVector,
    pool: &PoolRecord,
    workload: &TeamWorkload,
) -> ResourceVector {
    let needed = if pool.capacity.is_unlimited() {
        let unspent = granted.saturating_sub(&workload.charged);
        UNLIMITED_GRANT.saturating_sub(&unspent)
    } else {
        missing(granted, workload)
    };
    needed.component_min(grantable)
}

/// How much more the leader waits for, within the limit; `None` if it needs no more.
fn unmet_demand(
    quota: &TeamQuota,
    granted: &ResourceVector,
    workload: &TeamWorkload,
) -> Option<ResourceVector> {
    let under_limit = quota.team.limit.saturating_sub(granted);
    let tasks = workload
        .largest_pending_task
        .saturating_mul(MAX_DEMANDED_TASKS);
    let demand = missing(granted, workload)
        .component_min(&under_limit)
        .component_min(&tasks);
    (!demand.is_zero()).then_some(demand)
}

/// How much larger the allowance would have to be for all charges and all waiting tasks.
fn missing(granted: &ResourceVector, workload: &TeamWorkload) -> ResourceVector {
    (workload.charged + workload.pending).saturating_sub(granted)
}
