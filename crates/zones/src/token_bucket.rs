//! A token bucket, which limits how many hosts are released or provisioned and how many tasks are placed: a
//! burst at once, and a rate in the long run.

use lichencrank_store::Time;

const SECONDS_PER_MINUTE: f64 = 60.0;
/// The smallest burst, in hosts. The share of a very small zone may be less than one host, so that without a
/// minimum its tasks would wait forever.
const MIN_BURST: f64 = 2.0;
/// The lowest rate, in hosts per minute.
const MIN_PER_MINUTE: f64 = 6.0;

/// A bucket of tokens, one for each host or task. Its limits may change from call to call, as the number of
/// hosts does.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Time,
}

/// How many tokens a bucket is refilled with per unit of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RefillRate {
    PerSecond(f64),
    PerMinute(f64),
}

/// The size and refill rate of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BucketLimits {
    /// The most tokens that the bucket holds, all of which may be taken at once.
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
    /// Limits for `host_count` hosts, of which a share of `burst_share` may be used at once and a share of
    /// `per_minute_share` per minute.
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
        let elapsed_s = now.since(self.refilled_at).as_secs_f64();
        let refilled = self.tokens + limits.rate.tokens_in(elapsed_s);
        self.tokens = refilled.min(limits.burst);
        self.refilled_at = now;
        self.tokens as usize
    }

    /// Takes `count` tokens, at most as many as [`TokenBucket::available`] returned.
    pub(crate) fn take(&mut self, count: usize) {
        self.tokens = (self.tokens - count as f64).max(0.0);
    }
}
