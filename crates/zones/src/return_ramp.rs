//! The rate at which a returning zone takes new tasks. It doubles at intervals until the zone is healthy.

use std::time::Duration;

use crate::settings::ZoneSettings;
use crate::token_bucket::{BucketLimits, RefillRate};

/// The rate stops growing after this many doublings: it no longer limits anything, and has to stay finite.
const MAX_DOUBLINGS: f64 = 32.0;
/// The lowest rate, in tasks per second, however small the zone.
const MIN_TASKS_PER_SECOND: f64 = 1.0;

/// The limits on new tasks in a zone with `host_count` hosts that has been in the state `returning` for
/// `returning_for`. Unused tokens accumulate for at most one second.
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
