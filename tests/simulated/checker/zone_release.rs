//! Judges which machines of an isolated zone the leader gives up: how many, and in which order. Machines
//! with cancelled work have a deadline of their own and are not judged.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lichencrank_zones::ZoneSettings;

use crate::simulated::clock::SimTime;

/// What a machine of an isolated zone holds, as its worker knows.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HeldWork {
    pub(super) urgent: usize,
    /// Urgent work that ended during the isolation, of which the leader can't know.
    pub(super) urgent_ended: usize,
    pub(super) other: usize,
    pub(super) cancelled: usize,
}

const BUDGET_PERIOD: Duration = Duration::from_secs(60);
/// Replicas may be given up for machines that fail by themselves meanwhile.
const ALLOWED_EXCESS: usize = 1;
/// A new leader begins with a full budget for what may go at once.
const BURSTS_IN_A_PERIOD: f64 = 2.0;
/// The budget of a small zone: machines at once, and in each period.
const SMALLEST_BURST: f64 = 2.0;
const SMALLEST_PERIOD_BUDGET: f64 = 6.0;

/// Releases in isolated zones so far.
#[derive(Debug, Default)]
pub(super) struct ZoneReleases {
    /// The most machines that an isolated zone had.
    zone_size: usize,
    released_at: Vec<SimTime>,
}

/// A release that breaks a rule.
#[derive(Debug)]
pub(super) enum WrongRelease {
    OverBudget {
        released: usize,
        zone_size: usize,
    },
    /// Urgent work elsewhere waits for its machine to be given up.
    WrongOrder {
        released: String,
        waiting: String,
    },
}

impl std::fmt::Display for WrongRelease {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            WrongRelease::OverBudget {
                released,
                zone_size,
            } => write!(
                formatter,
                "{released} machines of {zone_size} given up within {BUDGET_PERIOD:?}"
            ),
            WrongRelease::WrongOrder { released, waiting } => write!(
                formatter,
                "{released} given up before {waiting}, which holds urgent work"
            ),
        }
    }
}

impl ZoneReleases {
    /// A zone of so many machines is isolated from now on.
    pub(super) fn isolation_starts(&mut self, machine_count: usize) {
        self.zone_size = self.zone_size.max(machine_count);
    }

    /// A machine was given up while the others of the zone, in `staying`, stayed for now; those in
    /// `released_together` go in the same request.
    pub(super) fn judge(
        &mut self,
        now: SimTime,
        host: &str,
        held: HeldWork,
        staying: &BTreeMap<String, HeldWork>,
        released_together: &BTreeSet<String>,
    ) -> Result<(), WrongRelease> {
        if held.cancelled > 0 {
            return Ok(());
        }
        self.released_at.push(now);
        self.judge_budget(now)?;
        let holds_no_urgent_work = held.urgent + held.urgent_ended == 0;
        if !holds_no_urgent_work || held.other == 0 {
            return Ok(());
        }
        let is_waiting = |(name, work): &(&String, &HeldWork)| {
            work.urgent > 0 && work.cancelled == 0 && !released_together.contains(*name)
        };
        match staying.iter().find(is_waiting) {
            Some((waiting, _)) => Err(WrongRelease::WrongOrder {
                released: host.to_owned(),
                waiting: waiting.clone(),
            }),
            None => Ok(()),
        }
    }

    fn judge_budget(&self, now: SimTime) -> Result<(), WrongRelease> {
        let settings = ZoneSettings::default();
        let zone_size = self.zone_size as f64;
        let at_once = (zone_size * settings.displacement_burst).max(SMALLEST_BURST);
        let per_period = (zone_size * settings.displacement_per_minute).max(SMALLEST_PERIOD_BUDGET);
        let is_recent = |released_at: &&SimTime| now.since(**released_at) < BUDGET_PERIOD;
        let released = self.released_at.iter().filter(is_recent).count();
        let budget = at_once * BURSTS_IN_A_PERIOD + per_period + ALLOWED_EXCESS as f64;
        if released as f64 > budget {
            return Err(WrongRelease::OverBudget {
                released,
                zone_size: self.zone_size,
            });
        }
        Ok(())
    }
}
