//! Which work is stopped to make room, and in which order.

use std::collections::BTreeMap;

use crate::admission::Priority;
use crate::ids::TeamName;
use crate::resource_vector::ResourceVector;

/// Work that could be stopped.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<Id> {
    /// Identifies the work for the caller.
    pub id: Id,
    /// The team that it is charged to.
    pub team: TeamName,
    /// Its priority.
    pub priority: Priority,
    /// What it takes.
    pub usage: ResourceVector,
    /// What is lost when it is stopped, in any unit that all candidates share, such as seconds of run
    /// time. Only the order counts.
    pub preemption_cost: u64,
}

/// What a team uses, and what of it is guaranteed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamUsage {
    /// The team's guarantee.
    pub guarantee: ResourceVector,
    /// What its work takes, including work that is being stopped.
    pub used: ResourceVector,
}

impl TeamUsage {
    /// What the team uses beyond its guarantee.
    pub fn borrowed(&self) -> ResourceVector {
        self.used.saturating_sub(&self.guarantee)
    }

    /// Whether more work of that usage stays within the guarantee, in every resource that it takes.
    /// `false` for work that takes nothing.
    pub fn guarantee_covers(&self, usage: &ResourceVector) -> bool {
        let after = self.used + *usage;
        let cpus_covered = usage.cpus.is_zero() || after.cpus <= self.guarantee.cpus;
        let gpus_covered = usage.gpus.is_zero() || after.gpus <= self.guarantee.gpus;
        cpus_covered && gpus_covered && !usage.is_zero()
    }

    /// Whether all work of that usage is borrowed: without it the team still uses its whole guarantee,
    /// as far as it uses it now.
    pub fn is_borrowed(&self, usage: &ResourceVector) -> bool {
        usage.fits_within(&self.borrowed())
    }
}

/// Two pieces of work, of which one may have to make room for the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PreemptionCase {
    /// Priority of the work that would be stopped.
    pub victim_priority: Priority,
    /// Whether that work is beyond the guarantee of its team.
    pub victim_is_borrowed: bool,
    /// Priority of the work that needs room.
    pub preemptor_priority: Priority,
    /// Whether that work is within the guarantee of its team, which is another one than the victim's.
    pub preemptor_is_guaranteed: bool,
}

impl PreemptionCase {
    /// Whether the victim may be stopped: always for work of a higher priority; for work of the same or
    /// a lower one only if borrowed work stands in the way of a guarantee.
    pub fn is_allowed(&self) -> bool {
        let is_less_urgent = self.victim_priority > self.preemptor_priority;
        is_less_urgent || (self.preemptor_is_guaranteed && self.victim_is_borrowed)
    }
}

/// Selects work to stop so that at least `shortage` becomes free. Only work beyond its team's guarantee
/// is selected, in ascending order of urgency and then of preemption cost. `None` if all borrowed work
/// together does not suffice, as stopping a part of it would help nobody.
pub fn select_victims<Id: Clone + Ord>(
    shortage: ResourceVector,
    teams: &BTreeMap<TeamName, TeamUsage>,
    candidates: &[Candidate<Id>],
) -> Option<Vec<Id>> {
    let victims = select_victims_best_effort(shortage, teams, candidates);
    let stopped = candidates.iter().filter(|c| victims.contains(&c.id));
    let freed: ResourceVector = stopped.map(|candidate| candidate.usage).sum();
    shortage.fits_within(&freed).then_some(victims)
}

/// As [`select_victims`], but selects what there is if all borrowed work together does not suffice.
pub fn select_victims_best_effort<Id: Clone + Ord>(
    shortage: ResourceVector,
    teams: &BTreeMap<TeamName, TeamUsage>,
    candidates: &[Candidate<Id>],
) -> Vec<Id> {
    let mut remaining_usage: BTreeMap<TeamName, TeamUsage> = teams.clone();
    let mut remaining_shortage = shortage;
    let mut victims = Vec::new();
    for candidate in in_preemption_order(candidates) {
        if remaining_shortage.is_zero() {
            break;
        }
        let Some(team) = remaining_usage.get_mut(&candidate.team) else {
            continue;
        };
        let freed = candidate.usage.component_min(&remaining_shortage);
        if freed.is_zero() || !team.is_borrowed(&candidate.usage) {
            continue;
        }
        team.used = team.used.saturating_sub(&candidate.usage);
        remaining_shortage = remaining_shortage.saturating_sub(&candidate.usage);
        victims.push(candidate.id.clone());
    }
    victims
}

/// The least urgent first; of the same priority what costs the least; then by id, so that the order is
/// defined.
fn in_preemption_order<Id: Ord>(candidates: &[Candidate<Id>]) -> Vec<&Candidate<Id>> {
    let mut order: Vec<&Candidate<Id>> = candidates.iter().collect();
    order.sort_by(|a, b| {
        let by_priority = b.priority.cmp(&a.priority);
        let by_cost = a.preemption_cost.cmp(&b.preemption_cost);
        by_priority.then(by_cost).then(a.id.cmp(&b.id))
    });
    order
}
