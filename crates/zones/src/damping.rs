//! Flap damping, as for routes in RFC 2439: each loss of a zone adds to its penalty, which decays exponentially.
//! A zone whose penalty reaches the suppress threshold is suppressed until the penalty has decayed below the
//! reuse threshold.

use std::time::Duration;

use lichencrank_store::Time;

use crate::settings::DampingSettings;

/// The penalty of one zone, and whether the zone is suppressed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FlapDamping {
    /// The penalty as of `updated_at`.
    penalty: f64,
    updated_at: Time,
    is_suppressed: bool,
}

impl FlapDamping {
    /// Restores a penalty that was recorded `age` ago. A penalty that is not finite counts as 0, one above
    /// the ceiling as the ceiling.
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

    /// Adds the penalty of a loss, up to the ceiling, and suppresses the zone if the penalty reaches the
    /// suppress threshold.
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

    /// The penalty, decayed until `now`.
    pub fn penalty(&self, now: Time, settings: &DampingSettings) -> f64 {
        decayed(self.penalty, now.since(self.updated_at), settings)
    }

    /// Whether the zone was suppressed at the last [`FlapDamping::on_loss`] or [`FlapDamping::update`]. A
    /// suppressed zone takes no new tasks.
    pub fn is_suppressed(&self) -> bool {
        self.is_suppressed
    }
}

fn decayed(penalty: f64, age: Duration, settings: &DampingSettings) -> f64 {
    let half_lives = age.as_secs_f64() / settings.half_life_s;
    penalty * (-half_lives).exp2()
}
