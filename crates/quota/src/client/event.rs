//! What a quota client reports to its caller.

use crate::admission::RejectReason;
use crate::ids::{AdmissionId, ClientName, TeamName};

/// The result of a request, a change of an admission, or the end of an administrative operation.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaEvent {
    /// The charge is in the store: the work may start.
    Admitted(AdmissionId),
    /// The admission had been charged before; the client whose allowance is charged handles it.
    AlreadyAdmitted {
        /// The admission.
        id: AdmissionId,
        /// Client whose allowance is charged.
        client: ClientName,
    },
    /// The admission had been charged before, and is completed.
    AlreadyCompleted(AdmissionId),
    /// The request is rejected for good.
    Rejected {
        /// The request.
        id: AdmissionId,
        /// The reason.
        reason: RejectReason,
    },
    /// The request was cancelled before anything was charged.
    Cancelled(AdmissionId),
    /// An earlier process of this client had charged the admission. Whether its work runs is not known.
    Recovered(AdmissionId),
    /// The work has to end, to make room. It is charged until
    /// [`QuotaClient::release`](super::QuotaClient::release).
    Revoked(AdmissionId),
    /// The charge is released.
    Released(AdmissionId),
    /// A release was asked for, but there is no charge of such an admission.
    NotFound(AdmissionId),
    /// All of the policy that was set is in the store.
    PolicyApplied,
    /// What the other client had not spent of its allowance is free again.
    Reclaimed {
        /// Team whose limit the allowance is a part of.
        team: TeamName,
        /// Client that was given up.
        client: ClientName,
    },
    /// Nothing was reclaimed: the other client has acquired the allowance again, has none, or keeps its
    /// charges in records of its own.
    NotReclaimed {
        /// Team whose limit the allowance is a part of.
        team: TeamName,
        /// The other client.
        client: ClientName,
    },
}
