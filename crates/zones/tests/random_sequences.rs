//! Random sequences of loss and return: the state machine never skips, no budget is exceeded, the
//! penalty stays below its ceiling, and a zone that stays lost is emptied in a finite time.

mod support;

use lichencrank_zones::{Candidate, ControllerReach, Urgency, ZoneSettings, ZoneState};
use proptest::prelude::*;
use support::{seen, World};

/// What zone `b` is like for a while.
#[derive(Clone, Debug)]
struct Spell {
    silent_share: f64,
    controllers: ControllerReach,
    steps: u32,
    /// A new leader continues with the record.
    new_leader: bool,
}

fn spell() -> impl Strategy<Value = Spell> {
    let controllers = prop_oneof![
        Just(ControllerReach::Reachable),
        Just(ControllerReach::Unreachable),
        Just(ControllerReach::NoController),
    ];
    let silent_share = prop_oneof![Just(0.0), Just(1.0), 0.0..1.0_f64];
    (
        silent_share,
        controllers,
        1..120_u32,
        prop::bool::weighted(0.1),
    )
        .prop_map(|(silent_share, controllers, steps, new_leader)| Spell {
            silent_share,
            controllers,
            steps,
            new_leader,
        })
}

const DAY_MS: u64 = 1_700_000_000_000;

/// Machines of zone `b`: given up ones are gone, none is added.
struct Zone {
    machines: usize,
    given_up_at: Vec<u64>,
}

impl Zone {
    fn step(&mut self, world: &mut World, spell: &Spell) {
        let silent = (self.machines as f64 * spell.silent_share).round() as usize;
        world.see("b", seen(self.machines, silent, spell.controllers));
        world.after(support::STEP_S);
        let candidates = (0..silent).map(|machine| Candidate {
            machine,
            zone: "b".to_owned(),
            urgency: Urgency::IDLE,
        });
        let now = world.now;
        let given_up = world.tracker.displace(candidates.collect(), now).len();
        let state = world.state("b");
        assert!(
            given_up == 0
                || matches!(
                    state,
                    ZoneState::Lost | ZoneState::Returning | ZoneState::Healthy
                )
        );
        self.machines -= given_up;
        self.given_up_at.extend(vec![now.0; given_up]);
    }

    /// The most machines given up within any minute.
    fn most_in_a_minute(&self) -> usize {
        let within = |from: u64| {
            let until = from + 60_000;
            let at = self.given_up_at.iter();
            at.filter(|at| (from..until).contains(at)).count()
        };
        self.given_up_at
            .iter()
            .map(|at| within(*at))
            .max()
            .unwrap_or(0)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]

    #[test]
    fn no_sequence_breaks_the_bounds(
        machines in 1..200_usize,
        spells in prop::collection::vec(spell(), 1..20),
    ) {
        let settings = ZoneSettings::default();
        let mut world = World::new();
        world.see("a", seen(50, 0, ControllerReach::Reachable));
        let mut zone = Zone { machines, given_up_at: Vec::new() };
        for spell in &spells {
            if spell.new_leader {
                let record = world.tracker.record(world.now, DAY_MS + world.now.0);
                let mut next = World::new();
                next.now = world.now;
                next.seen = world.seen.clone();
                next.tracker.restore(&record, world.now, DAY_MS + world.now.0);
                prop_assert_eq!(next.state("b"), world.state("b"));
                next.transitions = world.transitions.clone();
                world = next;
            }
            for _ in 0..spell.steps {
                zone.step(&mut world, spell);
                prop_assert!(world.penalty("b") <= settings.damping.ceiling);
            }
        }
        let changes = world.transitions.iter().filter(|change| change.zone == "b");
        let mut state = ZoneState::Healthy;
        for change in changes {
            prop_assert_eq!(change.from, state);
            prop_assert!(state.may_become(change.to), "{} -> {}", state, change.to);
            state = change.to;
        }
        // Each new leader begins with a full budget; one leader keeps to what is allowed at once and in
        // a minute, even of the smallest zone.
        let leaders = 1 + spells.iter().filter(|spell| spell.new_leader).count();
        let at_once = (machines as f64 * settings.displaced_at_once).max(2.0);
        let per_minute = (machines as f64 * settings.displaced_per_minute).max(6.0);
        let most = at_once * leaders as f64 + per_minute + 1.0;
        prop_assert!(zone.most_in_a_minute() as f64 <= most);
    }

    #[test]
    fn a_zone_that_stays_lost_is_emptied(machines in 1..300_usize) {
        let mut world = World::new();
        world.see("a", seen(50, 0, ControllerReach::Reachable));
        let mut zone = Zone { machines, given_up_at: Vec::new() };
        let lost = Spell {
            silent_share: 1.0,
            controllers: ControllerReach::Unreachable,
            steps: 0,
            new_leader: false,
        };
        let steps = (180.0 / support::STEP_S) as u32;
        for _ in 0..steps {
            zone.step(&mut world, &lost);
        }
        prop_assert_eq!(zone.machines, 0);
    }
}
