//! Random sequences of losses and returns: the state machine never skips a state, no budget is exceeded, the
//! penalty never exceeds its ceiling, and all hosts of a zone that stays lost are released in a finite time.

mod support;

use lichencrank_store::Time;
use lichencrank_zones::{ControllerReach, ZoneSettings, ZoneState};
use proptest::prelude::*;
use support::{observation, Harness, STEP, WALL_CLOCK_MS};

const MINUTE_MS: u64 = 60_000;

/// The condition of zone `b` during a number of steps.
#[derive(Clone, Debug)]
struct Period {
    silent_share: f64,
    controllers: ControllerReach,
    steps: u32,
    /// Whether a new leader takes over from the record at the beginning of the period.
    has_new_leader: bool,
}

fn period() -> impl Strategy<Value = Period> {
    let controllers = prop_oneof![
        Just(ControllerReach::Reachable),
        Just(ControllerReach::Unreachable),
        Just(ControllerReach::NoController),
    ];
    let silent_share = prop_oneof![Just(0.0), Just(1.0), 0.0..1.0_f64];
    let has_new_leader = prop::bool::weighted(0.1);
    (silent_share, controllers, 1..120_u32, has_new_leader).prop_map(
        |(silent_share, controllers, steps, has_new_leader)| Period {
            silent_share,
            controllers,
            steps,
            has_new_leader,
        },
    )
}

/// The hosts of zone `b`. Released hosts are gone, and none is added.
struct Zone {
    hosts: usize,
    released_at: Vec<Time>,
}

impl Zone {
    fn new(hosts: usize) -> Zone {
        Zone {
            hosts,
            released_at: Vec::new(),
        }
    }

    fn step(&mut self, harness: &mut Harness, period: &Period) {
        let silent_hosts = (self.hosts as f64 * period.silent_share).round() as usize;
        let observation = observation(self.hosts, silent_hosts, period.controllers);
        harness.observe("b", observation).advance(STEP);
        let released = harness.displace_count("b", silent_hosts);
        let state = harness.state("b");
        assert!(
            released == 0 || state != ZoneState::Suspected,
            "{released} hosts of a suspected zone released"
        );
        self.hosts -= released;
        self.released_at.extend(vec![harness.now; released]);
    }

    /// The most hosts released within any minute.
    fn max_released_per_minute(&self) -> usize {
        let released_in_minute_from = |start: Time| {
            let minute = start.0..start.0 + MINUTE_MS;
            let times = self.released_at.iter();
            times.filter(|time| minute.contains(&time.0)).count()
        };
        let counts = self
            .released_at
            .iter()
            .map(|time| released_in_minute_from(*time));
        counts.max().unwrap_or(0)
    }
}

/// A harness whose tracker was restored from the record of another one.
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
        hosts in 1..200_usize,
        periods in prop::collection::vec(period(), 1..20),
    ) {
        let settings = ZoneSettings::default();
        let mut harness = Harness::new();
        harness.observe("a", observation(50, 0, ControllerReach::Reachable));
        let mut zone = Zone::new(hosts);
        for period in &periods {
            if period.has_new_leader {
                let next = next_leader(&harness);
                prop_assert_eq!(next.state("b"), harness.state("b"));
                harness = next;
            }
            for _ in 0..period.steps {
                zone.step(&mut harness, period);
                prop_assert!(harness.penalty("b") <= settings.damping.ceiling);
            }
        }
        let transitions = harness.transitions.iter().filter(|transition| transition.zone == "b");
        let mut state = ZoneState::Healthy;
        for transition in transitions {
            prop_assert_eq!(transition.from, state);
            prop_assert!(state.may_become(transition.to), "{} -> {}", state, transition.to);
            state = transition.to;
        }
        // Each new leader begins with a full budget and keeps within the burst and the rate, which have a
        // minimum for the smallest zones.
        let leader_count = 1 + periods.iter().filter(|period| period.has_new_leader).count();
        let burst = (hosts as f64 * settings.displacement_burst).max(2.0);
        let per_minute = (hosts as f64 * settings.displacement_per_minute).max(6.0);
        let max_allowed = burst * leader_count as f64 + per_minute + 1.0;
        let released = zone.max_released_per_minute();
        prop_assert!(released as f64 <= max_allowed, "{} released in a minute, {} allowed", released, max_allowed);
    }

    #[test]
    fn a_zone_that_stays_lost_is_emptied(hosts in 1..300_usize) {
        let mut harness = Harness::new();
        harness.observe("a", observation(50, 0, ControllerReach::Reachable));
        let mut zone = Zone::new(hosts);
        let lost = Period {
            silent_share: 1.0,
            controllers: ControllerReach::Unreachable,
            steps: (180_000 / STEP.as_millis()) as u32,
            has_new_leader: false,
        };
        for _ in 0..lost.steps {
            zone.step(&mut harness, &lost);
        }
        prop_assert_eq!(zone.hosts, 0);
    }
}
