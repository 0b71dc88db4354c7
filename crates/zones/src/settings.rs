//! What operators set, and which values make sense.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;

/// The settings of [`crate::ZoneTracker`]. Every field has a default.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ZoneSettings {
    /// A zone that has been disrupted for so long is lost.
    pub lost_after_s: f64,
    /// While every zone is silent it is the observer that is cut off: nothing is given up for so long.
    pub isolation_patience_s: f64,
    /// Share of a zone's machines that may be given up at once.
    pub displaced_at_once: f64,
    /// Share of a zone's machines that may be given up in a minute.
    pub displaced_per_minute: f64,
    /// Share of all machines that may be rented at once while a zone is lost.
    pub rented_at_once: f64,
    /// Share of all machines that may be rented in a minute while a zone is lost.
    pub rented_per_minute: f64,
    /// Share of a returning zone's machines that take a task in the first second.
    pub return_share: f64,
    /// After so long the rate of a returning zone doubles.
    pub return_doubling_s: f64,
    /// A zone that has been back for so long is healthy.
    pub return_window_s: f64,
    /// The penalty of a zone that flaps.
    pub damping: DampingSettings,
}

impl Default for ZoneSettings {
    fn default() -> ZoneSettings {
        ZoneSettings {
            lost_after_s: 5.0,
            isolation_patience_s: 120.0,
            displaced_at_once: 0.1,
            displaced_per_minute: 0.5,
            rented_at_once: 0.25,
            rented_per_minute: 0.75,
            return_share: 0.25,
            return_doubling_s: 1.0,
            return_window_s: 15.0,
            damping: DampingSettings::default(),
        }
    }
}

/// The settings of [`crate::FlapDamping`].
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DampingSettings {
    /// What each loss adds.
    pub per_loss: f64,
    /// After so long without a loss half of the penalty is left.
    pub half_life_s: f64,
    /// At this penalty the zone is suppressed.
    pub suppress: f64,
    /// Below this penalty it is no longer.
    pub reuse: f64,
    /// The penalty never grows beyond this.
    pub ceiling: f64,
}

impl Default for DampingSettings {
    fn default() -> DampingSettings {
        DampingSettings {
            per_loss: 1000.0,
            half_life_s: 30.0,
            suppress: 2500.0,
            reuse: 1000.0,
            ceiling: 4000.0,
        }
    }
}

impl DampingSettings {
    /// For how long a zone is suppressed at the most after its last loss.
    pub fn longest_suppression(&self) -> Duration {
        let half_lives = (self.ceiling / self.reuse).log2().max(0.0);
        Duration::from_secs_f64(half_lives * self.half_life_s)
    }
}

/// A setting that makes no sense.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsError {
    /// Name of the field.
    pub field: &'static str,
    /// What it must be.
    pub expected: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: must be {}", self.field, self.expected)
    }
}

impl std::error::Error for SettingsError {}

const LONGEST_S: f64 = 86_400.0;
const HIGHEST_PENALTY: f64 = 1e9;

impl ZoneSettings {
    /// Checks the ranges, and that the thresholds are in order.
    pub fn check(&self) -> Result<(), SettingsError> {
        let times = [
            ("lost_after_s", self.lost_after_s),
            ("isolation_patience_s", self.isolation_patience_s),
            ("return_doubling_s", self.return_doubling_s),
            ("return_window_s", self.return_window_s),
            ("damping.half_life_s", self.damping.half_life_s),
        ];
        in_range(&times, 0.1, LONGEST_S, "from 0.1 to 86400 seconds")?;
        let shares = [
            ("displaced_at_once", self.displaced_at_once),
            ("displaced_per_minute", self.displaced_per_minute),
            ("rented_at_once", self.rented_at_once),
            ("rented_per_minute", self.rented_per_minute),
            ("return_share", self.return_share),
        ];
        // A share of zero would keep a lost zone's work waiting for ever.
        in_range(&shares, 0.001, 100.0, "a share from 0.001 to 100")?;
        let DampingSettings {
            per_loss,
            suppress,
            reuse,
            ceiling,
            ..
        } = self.damping;
        let penalties = [
            ("damping.per_loss", per_loss),
            ("damping.suppress", suppress),
            ("damping.reuse", reuse),
            ("damping.ceiling", ceiling),
        ];
        in_range(&penalties, 1.0, HIGHEST_PENALTY, "from 1 to 1e9")?;
        ensure(reuse < suppress, "damping.reuse", "below damping.suppress")?;
        ensure(
            suppress <= ceiling,
            "damping.suppress",
            "at most damping.ceiling",
        )
    }
}

fn in_range(
    fields: &[(&'static str, f64)],
    least: f64,
    most: f64,
    expected: &'static str,
) -> Result<(), SettingsError> {
    for (field, value) in fields {
        ensure((least..=most).contains(value), field, expected)?;
    }
    Ok(())
}

fn ensure(holds: bool, field: &'static str, expected: &'static str) -> Result<(), SettingsError> {
    if holds {
        Ok(())
    } else {
        Err(SettingsError { field, expected })
    }
}
