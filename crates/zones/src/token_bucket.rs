//! A token bucket, which bounds how many machines are given up or provisioned, and how many tasks are
//! placed: a burst at once, and a rate in the long run.

use lichencrank_store::Time;

const SECONDS_PER_MINUTE: f64 = 60.0;
/// The smallest burst, in machines. Even in the smallest zone something has to move, or its work would
/// wait for ever.
const MIN_BURST: f64 = 2.0;
/// The smallest rate, in machines a minute.
const MIN_PER_MINUTE: f64 = 6.0;

/// A bucket of tokens, one for each machine or task. Its limits may change from call to call, as the
/// number of machines does.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Time,
}

/// How fast a bucket refills, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RefillRate {
    PerSecond(f64),
    PerMinute(f64),
}

/// Size and refill rate of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BucketLimits {
    /// The most tokens that it holds, which may be taken at once.
    pub(crate) burst: f64,
    pub(crate) rate: RefillRate,
}

impl RefillRate {
    fn tokens_in(self, seconds: f64) -> f64 {
        match self {
            RefillRate::PerSecond(tokens) => seconds * tokens,
            RefillRate::PerMinute(tokens) => seconds * tokens / SECONDS_PER_MINUTE,
        }
    }
}

impl BucketLimits {
    /// Limits that are shares of a number of machines: `burst` at once and `per_minute` in a minute.
    pub(crate) fn for_hosts(
        host_count: usize,
        burst_share: f64,
        per_minute_share: f64,
    ) -> BucketLimits {
        let host_count = host_count as f64;
        BucketLimits {
            burst: (host_count * burst_share).max(MIN_BURST),
            rate: RefillRate::PerMinute((host_count * per_minute_share).max(MIN_PER_MINUTE)),
        }
    }
}

impl TokenBucket {
    /// A full bucket, whatever its limits.
    pub(crate) fn full(now: Time) -> TokenBucket {
        TokenBucket {
            tokens: f64::INFINITY,
            refilled_at: now,
        }
    }

    /// An empty bucket.
    pub(crate) fn empty(now: Time) -> TokenBucket {
        TokenBucket {
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// How many tokens may be taken now.
    pub(crate) fn available(&mut self, now: Time, limits: BucketLimits) -> usize {
        let passed_s = now.since(self.refilled_at).as_secs_f64();
        let refilled = self.tokens + limits.rate.tokens_in(passed_s);
        self.tokens = refilled.min(limits.burst);
        self.refilled_at = now;
        self.tokens as usize
    }

    /// Takes that many tokens, at most what [`TokenBucket::available`] returned.
    pub(crate) fn take(&mut self, count: usize) {
        self.tokens = (self.tokens - count as f64).max(0.0);
    }
}
