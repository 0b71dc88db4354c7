//! The leader's fencing token, which it raises within its term of office.
//!
//! A direct `run` may arrive again at any later time, and is executed if the worker has forgotten its attempt and has
//! seen no higher token. So the leader raises its token when attempts wait to be forgotten, or when a `run` without a
//! response has to be excluded. It does that by raising its own term, which the election claims.

use std::time::Duration;

use crate::coordination::{Leader, LeadershipLost};
use crate::types::{Term, Time, Version};

/// The token is raised at most once in this fraction of a worker's lease. A worker reports a higher token at once no more
/// often than that.
const MIN_RAISE_INTERVAL_LEASE_FRACTION: f64 = 0.5;

/// The fencing token of a leader.
#[derive(Debug)]
pub(super) struct FencingToken {
    /// The token that all messages to workers carry.
    current: Term,
    /// The token that is being claimed. It may belong to this leader or to a later one.
    claimed: Option<Term>,
    raised_at: Time,
    is_raise_wanted: bool,
}

impl FencingToken {
    /// The token of a leader whose term begins.
    pub(super) fn new(term: Term, now: Time) -> FencingToken {
        FencingToken {
            current: term,
            claimed: None,
            raised_at: now,
            is_raise_wanted: false,
        }
    }
}

impl Leader {
    /// The fencing token that all messages to workers carry: the leader's term, or a higher one that it has claimed since.
    pub fn fencing_token(&self) -> Term {
        self.fencing.current
    }

    /// Whether a higher fencing token is to be claimed. Until it is, nothing that depends on the version of the leader's
    /// key is written.
    pub fn wants_higher_token(&self) -> bool {
        self.fencing.is_raise_wanted
    }

    /// Whether a worker with this token may have seen it from this leader or from a later one, as it is being claimed.
    /// Its heartbeat proves nothing, and it accepts no response of this leader.
    pub fn is_token_undecided(&self, token: Term) -> bool {
        self.fencing.claimed == Some(token)
    }

    /// The election has begun to claim a higher fencing token.
    pub fn on_token_claim_begun(&mut self, token: Term) {
        self.fencing.claimed = Some(token);
    }

    /// The higher fencing token has been claimed. The claim has changed the leader's key.
    pub fn on_token_raised(&mut self, token: Term, leader_key_version: Version, now: Time) {
        tracing::info!(term = %self.term, %token, "fencing token raised");
        self.fencing = FencingToken::new(token, now);
        self.cluster.on_token_raised(leader_key_version);
    }

    /// Decides whether the token has to be raised.
    pub(super) fn update_token_demand(&mut self, now: Time) {
        let min_interval = self.min_raise_interval();
        self.fencing.is_raise_wanted |= self.cluster.is_token_raise_requested()
            && now.since(self.fencing.raised_at) >= min_interval;
    }

    fn min_raise_interval(&self) -> Duration {
        self.policy
            .worker_lease
            .mul_f64(MIN_RAISE_INTERVAL_LEASE_FRACTION)
    }

    /// Checks the token in a worker's message.
    ///
    /// # Errors
    ///
    /// The token is that of a later leader.
    pub(super) fn check_token(&self, token: Term) -> Result<(), LeadershipLost> {
        if token > self.fencing.current && !self.is_token_undecided(token) {
            return Err(LeadershipLost(token));
        }
        Ok(())
    }
}
