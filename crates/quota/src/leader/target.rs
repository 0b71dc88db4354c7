//! How large the leader's allowance of a team should be.

use super::TeamWorkload;
use crate::allocation::{AllowanceTarget, TeamQuota};
use crate::amount::Amount;
use crate::ids::ClientName;
use crate::records::PoolRecord;
use crate::resource_vector::ResourceVector;

/// Where neither limit nor capacity bound it, this much unspent allowance is granted.
const UNLIMITED_GRANT: ResourceVector = ResourceVector {
    cpus: Amount::from_whole(1_000_000),
    gpus: Amount::from_whole(1_000_000),
};

/// The leader waits for at most this many tasks at a time, so that other teams have their turns.
const MAX_TASKS_WAITED_FOR: u64 = 16;

/// What the allowance should become, from what is granted now and what the team's work needs.
pub(super) fn leader_target(
    quota: &TeamQuota,
    leader: &ClientName,
    granted: ResourceVector,
    workload: &TeamWorkload,
) -> AllowanceTarget {
    // What is charged counts, also above the limit: a version without allowances may have booked it.
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

/// How much of what can be granted the leader takes. Where machines are rented as needed it takes all of
/// it, as nobody else goes short by that; otherwise what waiting tasks need.
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

/// How much more the leader waits for, within the limit.
fn unmet_demand(
    quota: &TeamQuota,
    granted: &ResourceVector,
    workload: &TeamWorkload,
) -> Option<ResourceVector> {
    let under_limit = quota.team.limit.saturating_sub(granted);
    let tasks = workload
        .largest_pending_task
        .saturating_mul(MAX_TASKS_WAITED_FOR);
    let demand = missing(granted, workload)
        .component_min(&under_limit)
        .component_min(&tasks);
    (!demand.is_zero()).then_some(demand)
}

/// What the allowance lacks for all charges and all waiting tasks.
fn missing(granted: &ResourceVector, workload: &TeamWorkload) -> ResourceVector {
    (workload.charged + workload.pending).saturating_sub(granted)
}
