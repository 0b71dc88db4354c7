//! Checks which hosts of an isolated zone the leader releases: how many, and in which order. Hosts that hold
//! tasks of cancelled jobs are left out, as the deadline of the cancellation decides when they are released.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lichencrank_zones::ZoneSettings;

use crate::simulated::clock::SimTime;

/// How many tasks of each kind a host of an isolated zone holds, from its worker's view.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HeldTaskCounts {
    pub(super) running_urgent: usize,
    /// Urgent tasks that ended during the isolation. The leader can't know that they ended.
    pub(super) ended_urgent: usize,
    /// Tasks that are neither urgent nor cancelled.
    pub(super) other: usize,
    /// Tasks of jobs that a user has requested to cancel.
    pub(super) cancelled: usize,
}

/// The period for which the release budget is computed.
const BUDGET_PERIOD: Duration = Duration::from_secs(60);
/// Hosts above the budget that may be released: replicas may be displaced from a host that fails by itself
/// during the isolation.
const ALLOWED_EXCESS_HOSTS: usize = 1;
/// A new leader starts with a full burst, so a period with a takeover may see two bursts.
const MAX_BURSTS_PER_PERIOD: f64 = 2.0;
/// Least burst of a zone, however small the zone is.
const MIN_BURST_HOSTS: f64 = 2.0;
/// Least budget of a zone for one period, in addition to bursts, however small the zone is.
const MIN_PERIOD_BUDGET_HOSTS: f64 = 6.0;

/// The releases in isolated zones so far.
#[derive(Debug, Default)]
pub(super) struct ZoneReleases {
    /// The largest number of hosts that a zone had when its isolation started.
    zone_size: usize,
    released_at: Vec<SimTime>,
}

/// Why a release is not allowed.
#[derive(Debug)]
pub(super) enum ReleaseViolation {
    /// Too many hosts were released within one period.
    OverBudget { released: usize, zone_size: usize },
    /// A host without urgent tasks was released while one with urgent tasks still waited to be released.
    WrongOrder { released: String, waiting: String },
}

impl std::fmt::Display for ReleaseViolation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ReleaseViolation::OverBudget {
                released,
                zone_size,
            } => write!(
                formatter,
                "{released} hosts of {zone_size} released within {BUDGET_PERIOD:?}"
            ),
            ReleaseViolation::WrongOrder { released, waiting } => write!(
                formatter,
                "{released} released before {waiting}, which holds urgent tasks"
            ),
        }
    }
}

impl ZoneReleases {
    /// Records that a zone with `host_count` hosts is isolated from now on.
    pub(super) fn start_isolation(&mut self, host_count: usize) {
        self.zone_size = self.zone_size.max(host_count);
    }

    /// Records that a host was released, and checks that this was allowed. `remaining`: the other hosts of the
    /// zone that are not released yet. `released_together`: all hosts that the same request releases.
    pub(super) fn record_and_check(
        &mut self,
        now: SimTime,
        host: &str,
        held: HeldTaskCounts,
        remaining: &BTreeMap<String, HeldTaskCounts>,
        released_together: &BTreeSet<String>,
    ) -> Result<(), ReleaseViolation> {
        if held.cancelled > 0 {
            return Ok(());
        }
        self.released_at.push(now);
        self.check_budget(now)?;
        let holds_no_urgent_task = held.running_urgent + held.ended_urgent == 0;
        if !holds_no_urgent_task || held.other == 0 {
            return Ok(());
        }
        let is_waiting = |(name, tasks): &(&String, &HeldTaskCounts)| {
            tasks.running_urgent > 0 && tasks.cancelled == 0 && !released_together.contains(*name)
        };
        match remaining.iter().find(is_waiting) {
            Some((waiting, _)) => Err(ReleaseViolation::WrongOrder {
                released: host.to_owned(),
                waiting: waiting.clone(),
            }),
            None => Ok(()),
        }
    }

    fn check_budget(&self, now: SimTime) -> Result<(), ReleaseViolation> {
        let settings = ZoneSettings::default();
        let zone_size = self.zone_size as f64;
        let burst = (zone_size * settings.displacement_burst).max(MIN_BURST_HOSTS);
        let per_period =
            (zone_size * settings.displacement_per_minute).max(MIN_PERIOD_BUDGET_HOSTS);
        let is_recent = |released_at: &&SimTime| now.since(**released_at) < BUDGET_PERIOD;
        let released = self.released_at.iter().filter(is_recent).count();
        let budget = burst * MAX_BURSTS_PER_PERIOD + per_period + ALLOWED_EXCESS_HOSTS as f64;
        if released as f64 > budget {
            return Err(ReleaseViolation::OverBudget {
                released,
                zone_size: self.zone_size,
            });
        }
        Ok(())
    }
}
