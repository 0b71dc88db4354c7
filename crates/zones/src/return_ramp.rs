//! How much new work a returning zone takes: a rate that doubles until the zone is healthy.

use std::time::Duration;

use crate::settings::ZoneSettings;
use crate::token_bucket::{BucketLimits, RefillRate};

/// After so many doublings the rate is no limit any more, and its exponent stays finite.
const MAX_DOUBLINGS: f64 = 32.0;
/// The smallest rate, in tasks a second, however small the zone.
const MIN_TASKS_PER_SECOND: f64 = 1.0;

/// The limits on new tasks in a zone of that many machines that has been returning for that long. What
/// is not used is saved for one second at the most.
pub(crate) fn limits(
    host_count: usize,
    returning_for: Duration,
    settings: &ZoneSettings,
) -> BucketLimits {
    let doublings = returning_for.as_secs_f64() / settings.return_doubling_s;
    let growth = doublings.min(MAX_DOUBLINGS).exp2();
    let rate = host_count as f64 * settings.return_initial_share * growth;
    let rate = rate.max(MIN_TASKS_PER_SECOND);
    BucketLimits {
        burst: rate,
        rate: RefillRate::PerSecond(rate),
    }
}
