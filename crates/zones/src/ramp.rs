//! How much new work a returning zone takes: a rate that doubles until the zone is healthy.

use std::time::Duration;

use lichencrank_store::Time;

use crate::settings::ZoneSettings;

/// Beyond so many doublings the rate is no limit any more.
const MOST_DOUBLINGS: f64 = 32.0;

/// The tasks that a returning zone may still take.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReturnRamp {
    available: f64,
    at: Time,
}

impl ReturnRamp {
    /// A zone begins to return, with nothing to spare.
    pub fn begin(now: Time) -> ReturnRamp {
        ReturnRamp {
            available: 0.0,
            at: now,
        }
    }

    /// How many tasks a zone of that many machines, which has returned for that long, takes now.
    pub fn available(
        &mut self,
        machines: usize,
        returned_for: Duration,
        now: Time,
        settings: &ZoneSettings,
    ) -> usize {
        let doublings = returned_for.as_secs_f64() / settings.return_doubling_s;
        let rate = machines as f64 * settings.return_share * doublings.min(MOST_DOUBLINGS).exp2();
        // At least one a second, however small the zone; at most a second's worth is saved up.
        let rate = rate.max(1.0);
        let passed = now.since(self.at).as_secs_f64();
        self.available = (self.available + passed * rate).min(rate);
        self.at = now;
        self.available as usize
    }

    /// So many tasks were placed there.
    pub fn take(&mut self, count: usize) {
        self.available = (self.available - count as f64).max(0.0);
    }
}
