//! The raise of the own term while this controller leads.
//!
//! The term is the fencing token. Once a worker has seen a higher one, it executes no copy of a command that was sent
//! under a lower one, however late the copy arrives. One transaction replaces the leader's key and the term, on condition
//! that neither has changed, so no other controller can have claimed the raised term. The same transaction is repeated
//! until its outcome is known; after that a late copy of it fails on its conditions.

use std::time::Duration;

use super::messages::{ElectionAction, ElectionRecords, Role};
use super::LeaderElection;
use crate::storage::records::{LEADER_KEY, TERM_KEY};
use crate::storage::store::Outcome;
use crate::types::{Term, Time, Version};
use lichencrank_store::Txn;

/// Delay before a request of the raise without a usable outcome is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A raise that is under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct TermRaise {
    /// The term to claim.
    term: Term,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The transaction is in flight.
    Sent,
    /// The transaction is to be sent again at this time.
    SendAt(Time),
    /// The conditions failed. The records, to be read at this time, show whether an earlier copy was committed.
    ReadAt(Time),
    /// The records are being read.
    Reading,
}

impl LeaderElection {
    /// Begins to raise the own term by one. Returns `None` if this controller does not certainly lead, or if a raise is
    /// under way already. While it is, no other transaction that depends on the version of the leader's key may be sent.
    pub fn begin_term_raise(&mut self, now: Time) -> Option<ElectionAction> {
        let Role::Leading { term, .. } = self.role else {
            return None;
        };
        if self.term_raise.is_some() || !self.is_lease_valid(now) {
            return None;
        }
        let raised_term = Term(term.0 + 1);
        self.last_led_term = raised_term;
        self.term_raise = Some(TermRaise {
            term: raised_term,
            stage: Stage::Sent,
        });
        self.raise_request(raised_term)
    }

    /// Whether a raise to this term is under way, so that the term may be the own one or that of another controller.
    pub fn is_raising_to(&self, term: Term) -> bool {
        self.term_raise.is_some_and(|raise| raise.term == term)
    }

    /// When the next request of the raise is due.
    pub(super) fn term_raise_due_at(&self) -> Time {
        match self.term_raise.map(|raise| raise.stage) {
            Some(Stage::SendAt(at) | Stage::ReadAt(at)) => at,
            Some(Stage::Sent | Stage::Reading) | None => Time(u64::MAX),
        }
    }

    /// Returns the request of the raise that is due at `now`.
    pub(super) fn continue_term_raise(&mut self, now: Time) -> Option<ElectionAction> {
        if now < self.term_raise_due_at() {
            return None;
        }
        let raise = self.term_raise?;
        match raise.stage {
            Stage::SendAt(_) => {
                self.set_raise_stage(Stage::Sent);
                self.raise_request(raise.term)
            }
            Stage::ReadAt(_) => {
                self.set_raise_stage(Stage::Reading);
                Some(ElectionAction::ReadRecords)
            }
            Stage::Sent | Stage::Reading => None,
        }
    }

    /// Takes in the outcome of the transaction of the raise.
    pub(super) fn on_raise_outcome(
        &mut self,
        outcome: Outcome,
        now: Time,
    ) -> Option<ElectionAction> {
        match outcome {
            Outcome::Committed(version) => self.complete_term_raise(version),
            Outcome::Conflict(_) => {
                self.set_raise_stage(Stage::ReadAt(now));
                None
            }
            _ => {
                self.set_raise_stage(Stage::SendAt(now.after(RETRY_DELAY)));
                None
            }
        }
    }

    /// Takes in the records that were read after the conditions of the raise failed; `None` if the read failed.
    pub(super) fn on_records_read_for_raise(
        &mut self,
        records: Option<ElectionRecords>,
        now: Time,
    ) -> Option<ElectionAction> {
        let raise = self.term_raise?;
        if raise.stage != Stage::Reading {
            return None;
        }
        let Some(records) = records else {
            self.set_raise_stage(Stage::ReadAt(now.after(RETRY_DELAY)));
            return None;
        };
        match records.holder {
            Some((holder, version))
                if holder.incarnation == self.incarnation && holder.term == raise.term =>
            {
                self.complete_term_raise(version)
            }
            _ => Some(self.step_down()),
        }
    }

    fn complete_term_raise(&mut self, leader_key_version: Version) -> Option<ElectionAction> {
        let Role::Leading { lease, .. } = self.role else {
            return None;
        };
        let term = self.term_raise.take()?.term;
        self.highest_term = term;
        self.known_leader = Some(self.controller.clone());
        self.set_role(Role::Leading {
            lease,
            term,
            leader_key_version,
        });
        Some(ElectionAction::TermRaised {
            term,
            leader_key_version,
        })
    }

    fn set_raise_stage(&mut self, stage: Stage) {
        if let Some(raise) = &mut self.term_raise {
            raise.stage = stage;
        }
    }

    /// The request to raise the own term. The key and the term were written by one transaction, so they have one version.
    fn raise_request(&self, term: Term) -> Option<ElectionAction> {
        let Role::Leading {
            lease,
            leader_key_version,
            ..
        } = self.role
        else {
            return None;
        };
        let mut txn = Txn::default();
        txn.require(LEADER_KEY.to_owned(), leader_key_version);
        txn.require(TERM_KEY.to_owned(), leader_key_version);
        self.add_leadership_changes(&mut txn, lease, term);
        Some(ElectionAction::RaiseTerm { term, txn })
    }
}
