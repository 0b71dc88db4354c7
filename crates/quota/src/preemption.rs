//! Rules of preemption: which work may be stopped for other work, and in which order it is selected.

use std::collections::BTreeMap;

use crate::admission::Priority;
use crate::ids::TeamName;
use crate::resource_vector::ResourceVector;

/// Work that may be selected to be stopped.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<Id> {
    /// Identifies the work for the caller.
    pub id: Id,
    /// The team that the work is charged to.
    pub team: TeamName,
    /// Its priority.
    pub priority: Priority,
    /// The resources that it uses.
    pub usage: ResourceVector,
    /// The cost of stopping the work, such as the seconds of run time that are lost. Any unit will do if
    /// all candidates use the same one, as only the order matters.
    pub preemption_cost: u64,
}

/// A team's usage and its guarantee.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamUsage {
    /// The team's guarantee.
    pub guarantee: ResourceVector,
    /// The resources that its work uses, including work that is being stopped.
    pub used: ResourceVector,
}

impl TeamUsage {
    /// The part of the usage that exceeds the guarantee.
    pub fn borrowed(&self) -> ResourceVector {
        self.used.saturating_sub(&self.guarantee)
    }

    /// Whether the team stays within its guarantee if work of that usage is added, for every resource that
    /// the work uses. `false` for work that uses no resource.
    pub fn guarantee_covers(&self, usage: &ResourceVector) -> bool {
        let used_after = self.used + *usage;
        let cpus_covered = usage.cpus.is_zero() || used_after.cpus <= self.guarantee.cpus;
        let gpus_covered = usage.gpus.is_zero() || used_after.gpus <= self.guarantee.gpus;
        cpus_covered && gpus_covered && !usage.is_zero()
    }

    /// Whether work of that usage is entirely borrowed: stopping it would not reduce the part of the
    /// guarantee that the team uses.
    pub fn is_borrowed(&self, usage: &ResourceVector) -> bool {
        usage.fits_within(&self.borrowed())
    }
}

/// Two pieces of work: a victim that may be stopped, and a preemptor that needs its resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PreemptionCase {
    /// Priority of the victim.
    pub victim_priority: Priority,
    /// Whether the victim exceeds the guarantee of its team.
    pub victim_is_borrowed: bool,
    /// Priority of the preemptor.
    pub preemptor_priority: Priority,
    /// Whether the preemptor is within the guarantee of its team, which differs from the victim's team.
    pub preemptor_is_guaranteed: bool,
}

impl PreemptionCase {
    /// Whether the victim may be stopped: always if the preemptor has a higher priority, otherwise only if
    /// the victim is borrowed and the preemptor is guaranteed.
    pub fn is_allowed(&self) -> bool {
        let is_less_urgent = self.victim_priority > self.preemptor_priority;
        is_less_urgent || (self.preemptor_is_guaranteed && self.victim_is_borrowed)
    }
}

/// Selects work to stop so that at least `shortage` becomes free. Only work beyond its team's guarantee is
/// selected, lowest priority first, and within a priority lowest preemption cost first. `None` if all
/// borrowed work together does not suffice, because stopping a part of it would help nobody.
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

/// Like [`select_victims`], but selects all borrowed work that helps if it does not suffice.
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

/// Sorts candidates by priority, lowest first, then by preemption cost, lowest first, then by id, which makes
/// the order deterministic.
fn in_preemption_order<Id: Ord>(candidates: &[Candidate<Id>]) -> Vec<&Candidate<Id>> {
    let mut order: Vec<&Candidate<Id>> = candidates.iter().collect();
    order.sort_by(|a, b| {
        let by_priority = b.priority.cmp(&a.priority);
        let by_cost = a.preemption_cost.cmp(&b.preemption_cost);
        by_priority.then(by_cost).then(a.id.cmp(&b.id))
    });
    order
}
