//! Which work may be preempted, and which victims are selected.

use std::collections::BTreeMap;

use lichencrank_quota::preemption::{select_victims, Candidate, PreemptionCase, TeamUsage};
use lichencrank_quota::{Priority, ResourceVector, TeamName};

fn candidate(id: u32, team: &str, priority: Priority, cpus: u64, cost: u64) -> Candidate<u32> {
    Candidate {
        id,
        team: TeamName::new(team),
        priority,
        usage: ResourceVector::from_cpus(cpus),
        preemption_cost: cost,
    }
}

fn team_usage(guarantee_cpus: u64, used_cpus: u64) -> TeamUsage {
    TeamUsage {
        guarantee: ResourceVector::from_cpus(guarantee_cpus),
        used: ResourceVector::from_cpus(used_cpus),
    }
}

/// Team a borrows 6 CPUs, team b none.
#[test]
fn victims_are_borrowed_and_the_least_urgent_first() {
    let teams = BTreeMap::from([
        (TeamName::new("a"), team_usage(4, 10)),
        (TeamName::new("b"), team_usage(8, 8)),
    ]);
    let candidates = [
        candidate(1, "a", Priority::High, 2, 0),
        candidate(2, "a", Priority::BestEffort, 2, 9),
        candidate(3, "a", Priority::BestEffort, 2, 1),
        candidate(4, "a", Priority::Normal, 4, 0),
        candidate(5, "b", Priority::BestEffort, 8, 0),
    ];
    let cases = [
        (2, Some(vec![3])),
        (4, Some(vec![3, 2])),
        // After candidates 3 and 2, only 2 CPUs are still borrowed: stopping candidate 4, with 4 CPUs, would
        // cut into the guarantee.
        (6, Some(vec![3, 2, 1])),
        (7, None),
    ];
    for (shortage_cpus, expected) in cases {
        let victims = select_victims(
            ResourceVector::from_cpus(shortage_cpus),
            &teams,
            &candidates,
        );
        assert_eq!(victims, expected, "victims for {shortage_cpus} CPUs");
    }
}

#[test]
fn preemption_follows_priority_and_guarantee() {
    use Priority::{BestEffort, Critical, High, Normal};
    let case = |victim, victim_is_borrowed, preemptor, preemptor_is_guaranteed| PreemptionCase {
        victim_priority: victim,
        victim_is_borrowed,
        preemptor_priority: preemptor,
        preemptor_is_guaranteed,
    };
    let cases = [
        (case(Normal, false, High, false), true),
        (case(High, true, High, false), false),
        (case(Critical, false, High, true), false),
        (case(Critical, true, BestEffort, true), true),
        (case(High, false, Normal, true), false),
    ];
    for (case, expected) in cases {
        assert_eq!(case.is_allowed(), expected, "{case:?}");
    }
}
