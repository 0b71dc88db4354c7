//! Which work makes room for a guarantee, and in which order.

use std::collections::BTreeMap;

use crate::admission::Priority;
use crate::ids::TeamName;
use crate::resource_vector::ResourceVector;

/// Work that could be stopped.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<Id> {
    /// Names it for the caller.
    pub id: Id,
    /// Whose it is.
    pub team: TeamName,
    /// How urgent it is.
    pub priority: Priority,
    /// What it takes.
    pub usage: ResourceVector,
    /// What is lost when it is stopped, such as seconds of run time; only the order counts.
    pub loss: u64,
}

/// What a team uses, and what of it is guaranteed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamUse {
    /// The guarantee.
    pub guarantee: ResourceVector,
    /// What its work takes, whatever is to be stopped included.
    pub used: ResourceVector,
}

impl TeamUse {
    /// What it uses beyond its guarantee.
    pub fn borrowed(&self) -> ResourceVector {
        self.used.saturating_sub(&self.guarantee)
    }

    /// Whether work of that size is within the guarantee, together with what is used already.
    pub fn covers(&self, need: &ResourceVector) -> bool {
        let after = self.used + *need;
        let cpus = need.cpus.is_zero() || after.cpus <= self.guarantee.cpus;
        let gpus = need.gpus.is_zero() || after.gpus <= self.guarantee.gpus;
        cpus && gpus && !need.is_zero()
    }

    /// Whether the team keeps its whole guarantee in use when that much of its work stops, as far as it
    /// uses it now: then all that stops was borrowed.
    pub fn stays_guaranteed_without(&self, stopped: &ResourceVector) -> bool {
        stopped.fits_within(&self.borrowed())
    }
}

/// Whether work of one team may be stopped for that of another by the rules of preemption: what is less
/// urgent always; what is as urgent or more only if it is borrowed and stands in the way of a guarantee.
pub fn may_stop(
    victim: Priority,
    by: Priority,
    victim_is_borrowed: bool,
    by_guarantee: bool,
) -> bool {
    victim > by || (by_guarantee && victim_is_borrowed)
}

/// Chooses what is stopped so that at least `shortage` becomes free: only work beyond its team's
/// guarantee; the least urgent first, of the same urgency what loses the least. `None` if all borrowed
/// work together does not suffice; then stopping some of it would help nobody.
pub fn choose<Id: Clone + Ord>(
    shortage: ResourceVector,
    teams: &BTreeMap<TeamName, TeamUse>,
    candidates: &[Candidate<Id>],
) -> Option<Vec<Id>> {
    let chosen = choose_as_far_as_possible(shortage, teams, candidates);
    let is_chosen = |candidate: &&Candidate<Id>| chosen.contains(&candidate.id);
    let freed: ResourceVector = candidates.iter().filter(is_chosen).map(|c| c.usage).sum();
    shortage.fits_within(&freed).then_some(chosen)
}

/// The same, and what there is where all borrowed work together does not suffice.
pub fn choose_as_far_as_possible<Id: Clone + Ord>(
    shortage: ResourceVector,
    teams: &BTreeMap<TeamName, TeamUse>,
    candidates: &[Candidate<Id>],
) -> Vec<Id> {
    let mut order: Vec<&Candidate<Id>> = candidates.iter().collect();
    order.sort_by(|a, b| {
        let by_priority = b.priority.cmp(&a.priority);
        by_priority.then(a.loss.cmp(&b.loss)).then(a.id.cmp(&b.id))
    });
    let mut left: BTreeMap<TeamName, TeamUse> = teams.clone();
    let mut missing = shortage;
    let mut chosen = Vec::new();
    for candidate in order {
        if missing.is_zero() {
            break;
        }
        let helps = !candidate.usage.component_min(&missing).is_zero();
        let Some(team) = left.get_mut(&candidate.team) else {
            continue;
        };
        if !helps || !team.stays_guaranteed_without(&candidate.usage) {
            continue;
        }
        team.used = team.used.saturating_sub(&candidate.usage);
        missing = missing.saturating_sub(&candidate.usage);
        chosen.push(candidate.id.clone());
    }
    chosen
}
