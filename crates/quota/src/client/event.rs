//! What a quota client reports to its caller.

use crate::admission::RejectReason;
use crate::ids::{AdmissionId, ClientName, TeamName};

/// The answer to a request, a change of an admission, or the end of an administrative operation.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaEvent {
    /// The charge is committed: the work may start.
    Admitted(AdmissionId),
    /// The admission was charged before. The client whose allowance is charged handles it.
    AlreadyAdmitted {
        /// The admission.
        id: AdmissionId,
        /// Client whose allowance is charged.
        client: ClientName,
    },
    /// The admission was charged before, and its charge is released.
    AlreadyCompleted(AdmissionId),
    /// The request is rejected permanently.
    Rejected {
        /// The admission.
        id: AdmissionId,
        /// The reason.
        reason: RejectReason,
    },
    /// The request was cancelled before it was charged.
    Cancelled(AdmissionId),
    /// The admission was charged by an earlier process of this client. It is unknown whether its work runs.
    Recovered(AdmissionId),
    /// The work has to end to free capacity. It stays charged until
    /// [`QuotaClient::release`](super::QuotaClient::release) is called.
    Revoked(AdmissionId),
    /// The charge is released.
    Released(AdmissionId),
    /// A release was requested, but the admission has no charge.
    NotFound(AdmissionId),
    /// The policy that was set is completely written into the store.
    PolicyApplied,
    /// The unspent part of the other client's allowance is free again.
    Reclaimed {
        /// Team whose limit the allowance is a part of.
        team: TeamName,
        /// The client that was considered lost.
        client: ClientName,
    },
    /// Nothing was reclaimed: the other client has acquired the allowance again, has no allowance, or keeps
    /// its charges in records outside this package.
    NotReclaimed {
        /// Team whose limit the allowance is a part of.
        team: TeamName,
        /// The other client.
        client: ClientName,
    },
}
