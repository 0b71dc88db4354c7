//! The states of the election, its requests to the node and the records that it reads.

use std::time::Duration;

use crate::storage::records::LeaderRecord;
use crate::types::{LeaseId, Term, Version};
use lichencrank_store::Txn;

/// The state of this controller in the election.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// Another controller leads, or none does yet.
    Following,
    /// The leader's key is free; the lease to which this controller will attach it has been requested.
    AwaitingLease {
        /// The term to claim.
        term: Term,
        /// Version of the key of the highest term.
        term_version: Version,
    },
    /// The transaction that creates the leader's key is in flight.
    Claiming {
        /// The lease to which the key will be attached.
        lease: LeaseId,
        /// The term to claim.
        term: Term,
    },
    /// This controller leads, as far as it knows.
    Leading {
        /// The lease to which the leader's key is attached.
        lease: LeaseId,
        /// The own term, which is the fencing token.
        term: Term,
        /// Version of the leader's key.
        leader_key_version: Version,
    },
}

/// The kind of election request to which an outcome belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Reads the leader's record and the highest term.
    ReadRecords,
    /// Requests a lease.
    GrantLease,
    /// Creates the leader's key and raises the term, in one transaction.
    Claim,
    /// Raises the leader's own term to this one.
    RaiseTerm(Term),
    /// Renews this lease. Its response may arrive after the leadership was lost and won again under another lease.
    Renew(LeaseId),
    /// Ends a lease.
    EndLease,
}

/// A request of the election to the node.
#[derive(Clone, Debug, PartialEq)]
pub enum ElectionAction {
    /// Read the keys below `lead/`.
    ReadRecords,
    /// Request a lease with the given duration.
    GrantLease(Duration),
    /// Send the transaction that claims the leadership.
    Claim(Txn),
    /// Send the transaction that raises the leader's own term.
    RaiseTerm {
        /// The term to claim.
        term: Term,
        /// The transaction.
        txn: Txn,
    },
    /// Renew the lease.
    Renew(LeaseId),
    /// End the lease of an earlier process of this controller, which is certainly dead, the own lease of a term that is
    /// over, or one that is not needed.
    EndLease(LeaseId),
    /// Give up the leadership in favour of a better placed controller: stop leading and end the lease.
    Resign(LeaseId),
    /// Begin to lead.
    BeginLeading {
        /// The term that this controller won.
        term: Term,
        /// Version of the leader's key.
        leader_key_version: Version,
    },
    /// The leader's own term has been raised; it goes on leading.
    TermRaised {
        /// The raised term.
        term: Term,
        /// The new version of the leader's key.
        leader_key_version: Version,
    },
    /// Stop leading.
    StepDown,
}

/// The records below `lead/`, as one read returned them.
#[derive(Clone, Debug, Default)]
pub struct ElectionRecords {
    /// The leader's record and its version, if its key exists.
    pub holder: Option<(LeaderRecord, Version)>,
    /// The highest term and the version of its key, if it exists.
    pub term: Option<(Term, Version)>,
}
