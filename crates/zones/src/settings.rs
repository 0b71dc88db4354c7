//! The settings of zone tracking, and which values are valid.

use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

/// The settings of [`crate::ZoneTracker`]. Every field has a default. Some fields have other names in
/// settings files than here, given as `rename`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ZoneSettings {
    /// How long a zone has to be disrupted before it is lost, in seconds.
    pub lost_after_s: f64,
    /// For how long no host is released while every zone is disrupted, in seconds: the observer itself may
    /// be the one that is cut off. A lost zone without hosts returns after the same time, so that new hosts
    /// show whether it works again.
    #[serde(rename = "isolation_patience_s")]
    pub isolation_timeout_s: f64,
    /// Share of a zone's hosts that may be released at once.
    #[serde(rename = "displaced_at_once")]
    pub displacement_burst: f64,
    /// Share of a zone's hosts that may be released per minute.
    #[serde(rename = "displaced_per_minute")]
    pub displacement_per_minute: f64,
    /// Hosts that may be provisioned at once while a zone is lost, as a share of all hosts.
    #[serde(rename = "rented_at_once")]
    pub provisioning_burst: f64,
    /// Hosts that may be provisioned per minute while a zone is lost, as a share of all hosts.
    #[serde(rename = "rented_per_minute")]
    pub provisioning_per_minute: f64,
    /// New tasks per second that a returning zone takes at first, as a share of its hosts.
    #[serde(rename = "return_share")]
    pub return_initial_share: f64,
    /// Interval at which that rate doubles, in seconds.
    pub return_doubling_s: f64,
    /// How long a zone has to be returning before it is healthy, in seconds.
    pub return_window_s: f64,
    /// Flap damping of zones that are lost repeatedly.
    pub damping: DampingSettings,
}

impl Default for ZoneSettings {
    fn default() -> ZoneSettings {
        ZoneSettings {
            lost_after_s: 5.0,
            isolation_timeout_s: 120.0,
            displacement_burst: 0.1,
            displacement_per_minute: 0.5,
            provisioning_burst: 0.25,
            provisioning_per_minute: 0.75,
            return_initial_share: 0.25,
            return_doubling_s: 1.0,
            return_window_s: 15.0,
            damping: DampingSettings::default(),
        }
    }
}

/// The settings of [`crate::FlapDamping`]. Penalties have no unit.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DampingSettings {
    /// What each loss adds to the penalty.
    #[serde(rename = "per_loss")]
    pub penalty_per_loss: f64,
    /// Time without a loss in which the penalty falls by half, in seconds.
    pub half_life_s: f64,
    /// A zone whose penalty reaches this value is suppressed.
    #[serde(rename = "suppress")]
    pub suppress_threshold: f64,
    /// Once the penalty is below this value, the zone is no longer suppressed.
    #[serde(rename = "reuse")]
    pub reuse_threshold: f64,
    /// The highest penalty.
    pub ceiling: f64,
}

impl Default for DampingSettings {
    fn default() -> DampingSettings {
        DampingSettings {
            penalty_per_loss: 1000.0,
            half_life_s: 30.0,
            suppress_threshold: 2500.0,
            reuse_threshold: 1000.0,
            ceiling: 4000.0,
        }
    }
}

impl DampingSettings {
    /// The longest time for which a zone stays suppressed after its last loss.
    pub fn max_suppression(&self) -> Duration {
        let half_lives = (self.ceiling / self.reuse_threshold).log2().max(0.0);
        Duration::from_secs_f64(half_lives * self.half_life_s)
    }
}

/// A setting has a value that is not valid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: must be {expected}")]
pub struct SettingsError {
    /// Name of the field in settings files.
    pub field: &'static str,
    /// The values that are valid.
    pub expected: &'static str,
}

/// The valid values of a field, both ends included.
struct Range {
    min: f64,
    max: f64,
    expected: &'static str,
}

const SECONDS: Range = Range {
    min: 0.1,
    max: 86_400.0,
    expected: "from 0.1 to 86400 seconds",
};
/// With a share of 0, the tasks of a lost zone would wait forever.
const SHARE: Range = Range {
    min: 0.001,
    max: 100.0,
    expected: "a share from 0.001 to 100",
};
const PENALTY: Range = Range {
    min: 1.0,
    max: 1e9,
    expected: "from 1 to 1e9",
};

impl Range {
    fn check(&self, field: &'static str, value: f64) -> Result<(), SettingsError> {
        let is_valid = (self.min..=self.max).contains(&value);
        ensure(is_valid, field, self.expected)
    }
}

fn ensure(
    is_valid: bool,
    field: &'static str,
    expected: &'static str,
) -> Result<(), SettingsError> {
    if is_valid {
        Ok(())
    } else {
        Err(SettingsError { field, expected })
    }
}

impl ZoneSettings {
    /// Checks the ranges of all fields and the order of the damping thresholds.
    ///
    /// # Errors
    ///
    /// The first field that is not valid.
    pub fn validate(&self) -> Result<(), SettingsError> {
        SECONDS.check("lost_after_s", self.lost_after_s)?;
        SECONDS.check("isolation_patience_s", self.isolation_timeout_s)?;
        SECONDS.check("return_doubling_s", self.return_doubling_s)?;
        SECONDS.check("return_window_s", self.return_window_s)?;
        SECONDS.check("damping.half_life_s", self.damping.half_life_s)?;
        SHARE.check("displaced_at_once", self.displacement_burst)?;
        SHARE.check("displaced_per_minute", self.displacement_per_minute)?;
        SHARE.check("rented_at_once", self.provisioning_burst)?;
        SHARE.check("rented_per_minute", self.provisioning_per_minute)?;
        SHARE.check("return_share", self.return_initial_share)?;
        self.damping.validate_penalties()
    }

    /// How long a zone has to be disrupted before it is lost.
    pub(crate) fn lost_after(&self) -> Duration {
        Duration::from_secs_f64(self.lost_after_s)
    }

    /// How long an observer that finds all zones disrupted releases no host.
    pub(crate) fn isolation_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.isolation_timeout_s)
    }

    /// How long a zone has to be returning before it is healthy.
    pub(crate) fn return_window(&self) -> Duration {
        Duration::from_secs_f64(self.return_window_s)
    }
}

impl DampingSettings {
    fn validate_penalties(&self) -> Result<(), SettingsError> {
        PENALTY.check("damping.per_loss", self.penalty_per_loss)?;
        PENALTY.check("damping.suppress", self.suppress_threshold)?;
        PENALTY.check("damping.reuse", self.reuse_threshold)?;
        PENALTY.check("damping.ceiling", self.ceiling)?;
        ensure(
            self.reuse_threshold < self.suppress_threshold,
            "damping.reuse",
            "below damping.suppress",
        )?;
        ensure(
            self.suppress_threshold <= self.ceiling,
            "damping.suppress",
            "at most damping.ceiling",
        )
    }
}
