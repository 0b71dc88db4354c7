//! Flap damping, as for routes in RFC 2439: each loss adds a penalty that decays exponentially. At the
//! suppress threshold a zone is suppressed, until the penalty has decayed below the reuse threshold.

use std::time::Duration;

use lichencrank_store::Time;

use crate::settings::DampingSettings;

/// The penalty of one zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FlapDamping {
    /// The penalty as of `updated_at`.
    penalty: f64,
    updated_at: Time,
    is_suppressed: bool,
}

impl FlapDamping {
    /// Continues with a penalty that was recorded `age` ago. One that is not a number counts as 0, one
    /// above the ceiling as the ceiling.
    pub fn restore(
        penalty: f64,
        is_suppressed: bool,
        age: Duration,
        now: Time,
        settings: &DampingSettings,
    ) -> FlapDamping {
        let penalty = if penalty.is_finite() { penalty } else { 0.0 };
        let penalty = penalty.clamp(0.0, settings.ceiling);
        FlapDamping {
            penalty: decayed(penalty, age, settings),
            updated_at: now,
            is_suppressed,
        }
    }

    /// The zone was lost once more.
    pub fn on_loss(&mut self, now: Time, settings: &DampingSettings) {
        let penalty = self.penalty(now, settings) + settings.penalty_per_loss;
        self.penalty = penalty.min(settings.ceiling);
        self.updated_at = now;
        self.is_suppressed |= self.penalty >= settings.suppress_threshold;
    }

    /// Ends the suppression once the penalty is below the reuse threshold.
    pub fn update(&mut self, now: Time, settings: &DampingSettings) {
        if self.is_suppressed && self.penalty(now, settings) < settings.reuse_threshold {
            self.is_suppressed = false;
        }
    }

    /// The penalty as of `now`.
    pub fn penalty(&self, now: Time, settings: &DampingSettings) -> f64 {
        decayed(self.penalty, now.since(self.updated_at), settings)
    }

    /// Whether the zone is suppressed, as of the last [`FlapDamping::update`]: it takes no new work.
    pub fn is_suppressed(&self) -> bool {
        self.is_suppressed
    }
}

fn decayed(penalty: f64, age: Duration, settings: &DampingSettings) -> f64 {
    let half_lives = age.as_secs_f64() / settings.half_life_s;
    penalty * (-half_lives).exp2()
}
