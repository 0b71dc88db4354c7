//! Random sequences of loss and return: the state machine never skips a state, no budget is exceeded, the
//! penalty stays below its ceiling, and a zone that stays lost is emptied in a finite time.

mod support;

use lichencrank_store::Time;
use lichencrank_zones::{ControllerReach, ZoneSettings, ZoneState};
use proptest::prelude::*;
use support::{observation, Harness, STEP, WALL_CLOCK_MS};

const MINUTE_MS: u64 = 60_000;

/// What zone `b` is like for some steps.
#[derive(Clone, Debug)]
struct Period {
    silent_share: f64,
    controllers: ControllerReach,
    steps: u32,
    /// A new leader continues with the record at its beginning.
    new_leader: bool,
}

fn period() -> impl Strategy<Value = Period> {
    let controllers = prop_oneof![
        Just(ControllerReach::Reachable),
        Just(ControllerReach::Unreachable),
        Just(ControllerReach::NoController),
    ];
    let silent_share = prop_oneof![Just(0.0), Just(1.0), 0.0..1.0_f64];
    let new_leader = prop::bool::weighted(0.1);
    (silent_share, controllers, 1..120_u32, new_leader).prop_map(
        |(silent_share, controllers, steps, new_leader)| Period {
            silent_share,
            controllers,
            steps,
            new_leader,
        },
    )
}

/// Machines of zone `b`. Those that are given up are gone, none is added.
struct Zone {
    machines: usize,
    given_up_at: Vec<Time>,
}

impl Zone {
    fn new(machines: usize) -> Zone {
        Zone {
            machines,
            given_up_at: Vec::new(),
        }
    }

    fn step(&mut self, harness: &mut Harness, period: &Period) {
        let silent = (self.machines as f64 * period.silent_share).round() as usize;
        let observation = observation(self.machines, silent, period.controllers);
        harness.observe("b", observation).advance(STEP);
        let given_up = harness.displace_count("b", silent);
        let state = harness.state("b");
        assert!(
            given_up == 0 || state != ZoneState::Suspected,
            "{given_up} machines of a suspected zone given up"
        );
        self.machines -= given_up;
        self.given_up_at.extend(vec![harness.now; given_up]);
    }

    /// The most machines given up within any minute.
    fn max_in_a_minute(&self) -> usize {
        let in_minute_from = |from: Time| {
            let minute = from.0..from.0 + MINUTE_MS;
            let times = self.given_up_at.iter();
            times.filter(|time| minute.contains(&time.0)).count()
        };
        let counts = self.given_up_at.iter().map(|time| in_minute_from(*time));
        counts.max().unwrap_or(0)
    }
}

/// A harness whose tracker continues with the record of another one.
fn next_leader(harness: &Harness) -> Harness {
    let wall_clock_ms = WALL_CLOCK_MS + harness.now.0;
    let record = harness.tracker.record(harness.now, wall_clock_ms);
    let mut next = Harness::new();
    next.now = harness.now;
    next.observations = harness.observations.clone();
    next.transitions = harness.transitions.clone();
    next.tracker.restore(&record, harness.now, wall_clock_ms);
    next
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]

    #[test]
    fn no_sequence_breaks_the_bounds(
        machines in 1..200_usize,
        periods in prop::collection::vec(period(), 1..20),
    ) {
        let settings = ZoneSettings::default();
        let mut harness = Harness::new();
        harness.observe("a", observation(50, 0, ControllerReach::Reachable));
        let mut zone = Zone::new(machines);
        for period in &periods {
            if period.new_leader {
                let next = next_leader(&harness);
                prop_assert_eq!(next.state("b"), harness.state("b"));
                harness = next;
            }
            for _ in 0..period.steps {
                zone.step(&mut harness, period);
                prop_assert!(harness.penalty("b") <= settings.damping.ceiling);
            }
        }
        let transitions = harness.transitions.iter().filter(|change| change.zone == "b");
        let mut state = ZoneState::Healthy;
        for transition in transitions {
            prop_assert_eq!(transition.from, state);
            prop_assert!(state.may_become(transition.to), "{} -> {}", state, transition.to);
            state = transition.to;
        }
        // Each new leader begins with a full budget; one leader keeps within the burst and the rate, which
        // have a minimum for the smallest zones.
        let leaders = 1 + periods.iter().filter(|period| period.new_leader).count();
        let burst = (machines as f64 * settings.displacement_burst).max(2.0);
        let per_minute = (machines as f64 * settings.displacement_per_minute).max(6.0);
        let max = burst * leaders as f64 + per_minute + 1.0;
        let given_up = zone.max_in_a_minute();
        prop_assert!(given_up as f64 <= max, "{} given up in a minute, {} allowed", given_up, max);
    }

    #[test]
    fn a_zone_that_stays_lost_is_emptied(machines in 1..300_usize) {
        let mut harness = Harness::new();
        harness.observe("a", observation(50, 0, ControllerReach::Reachable));
        let mut zone = Zone::new(machines);
        let lost = Period {
            silent_share: 1.0,
            controllers: ControllerReach::Unreachable,
            steps: (180_000 / STEP.as_millis()) as u32,
            new_leader: false,
        };
        for _ in 0..lost.steps {
            zone.step(&mut harness, &lost);
        }
        prop_assert_eq!(zone.machines, 0);
    }
}
