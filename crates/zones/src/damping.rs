//! Flap damping, as for routes in RFC 2439: each loss adds a penalty that decays exponentially. Above
//! the suppress threshold a zone is suppressed, until the penalty has decayed below the reuse threshold.

use std::time::Duration;

use lichencrank_store::Time;

use crate::settings::DampingSettings;

/// The penalty of one zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FlapDamping {
    penalty: f64,
    /// When the penalty had that value.
    at: Time,
    suppressed: bool,
}

impl FlapDamping {
    /// Continues with a penalty that was recorded so long ago.
    pub fn restore(
        penalty: f64,
        suppressed: bool,
        age: Duration,
        now: Time,
        settings: &DampingSettings,
    ) -> FlapDamping {
        let penalty = if penalty.is_finite() { penalty } else { 0.0 };
        let penalty = penalty.clamp(0.0, settings.ceiling);
        FlapDamping {
            penalty: decayed(penalty, age, settings),
            at: now,
            suppressed,
        }
    }

    /// The zone was lost once more.
    pub fn on_loss(&mut self, now: Time, settings: &DampingSettings) {
        let penalty = self.penalty(now, settings) + settings.per_loss;
        self.penalty = penalty.min(settings.ceiling);
        self.at = now;
        self.suppressed |= self.penalty >= settings.suppress;
    }

    /// Ends the suppression once the penalty is below the reuse threshold.
    pub fn update(&mut self, now: Time, settings: &DampingSettings) {
        if self.suppressed && self.penalty(now, settings) < settings.reuse {
            self.suppressed = false;
        }
    }

    /// The penalty by now.
    pub fn penalty(&self, now: Time, settings: &DampingSettings) -> f64 {
        decayed(self.penalty, now.since(self.at), settings)
    }

    /// Whether the zone takes no new work, as of the last [`FlapDamping::update`].
    pub fn is_suppressed(&self) -> bool {
        self.suppressed
    }
}

fn decayed(penalty: f64, age: Duration, settings: &DampingSettings) -> f64 {
    let half_lives = age.as_secs_f64() / settings.half_life_s;
    penalty * (-half_lives).exp2()
}
