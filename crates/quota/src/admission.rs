//! Requests for admission, and the state machine of an admission.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::AdmissionId;
use crate::resource_vector::ResourceVector;

/// Priority of an admission. Pending requests are served in ascending order of this type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Served before everything else.
    Critical,
    /// Served before normal work.
    High,
    /// The usual priority.
    Normal,
    /// Served last, with resources that nobody else uses.
    BestEffort,
}

/// A request to admit work.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Identifies the admission. A repeated request has the same id.
    pub id: AdmissionId,
    /// The resources that the work uses from its start to its end.
    pub usage: ResourceVector,
    /// Priority among the requests that are pending at the same client.
    pub priority: Priority,
}

/// State of an admission at the client that handles it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionState {
    /// Requested but not charged yet.
    Pending,
    /// Its charge is committed: the work may start.
    Charged,
    /// The work is reported to be running.
    Running,
    /// The work has to end. It stays charged until it is proven to have ended.
    Revoked,
    /// The work has ended; the release of its charge is not committed yet.
    Releasing,
    /// The release is committed: the admission is no longer charged.
    Released,
}

/// An event that changes the state of an admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// The transaction that charges the admission was committed.
    ChargeCommitted,
    /// The work was reported to be running.
    Started,
    /// The admission was found to be marked as revoked in the store.
    RevocationSeen,
    /// The work is proven to have ended, or never to start.
    EndProven,
    /// The transaction that releases the charge was committed.
    ReleaseCommitted,
}

/// An event that is not possible in the state of the admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{event:?} is not possible in state {state:?}")]
pub struct IllegalTransition {
    /// The state, which remains unchanged.
    pub state: AdmissionState,
    /// The event.
    pub event: AdmissionEvent,
}

impl AdmissionState {
    /// The state after an event. All changes of state are defined here.
    ///
    /// # Errors
    ///
    /// [`IllegalTransition`] if the event is not possible in this state.
    pub fn after(self, event: AdmissionEvent) -> Result<AdmissionState, IllegalTransition> {
        use AdmissionEvent as Event;
        use AdmissionState as State;
        match (self, event) {
            (State::Pending, Event::ChargeCommitted) => Ok(State::Charged),
            (State::Charged | State::Running, Event::Started) => Ok(State::Running),
            // Revoked work runs until it is stopped, so it may still be reported as started.
            (State::Revoked, Event::Started | Event::RevocationSeen) => Ok(State::Revoked),
            (State::Charged | State::Running, Event::RevocationSeen) => Ok(State::Revoked),
            (State::Charged | State::Running | State::Revoked, Event::EndProven) => {
                Ok(State::Releasing)
            }
            (State::Releasing, Event::EndProven | Event::RevocationSeen) => Ok(State::Releasing),
            (State::Releasing, Event::ReleaseCommitted) => Ok(State::Released),
            (state, event) => Err(IllegalTransition { state, event }),
        }
    }

    /// Whether the admission is charged to an allowance.
    pub fn is_charged(self) -> bool {
        !matches!(self, AdmissionState::Pending | AdmissionState::Released)
    }
}

/// Why a request is rejected permanently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectReason {
    /// The store has no record of the team.
    #[error("the team is unknown to the store")]
    UnknownTeam,
    /// The request alone exceeds the limit of its team.
    #[error("its usage is larger than the team's limit")]
    LargerThanLimit,
    /// The name of the team or of the requester is empty, or too long for a key of the store.
    #[error("the name of its team or requester is empty or too long")]
    InvalidName,
    /// The sequence numbers of the requester's completed admissions have so many gaps that their record
    /// might not fit into a value of the store.
    #[error("the sequence numbers of the requester have too many gaps")]
    TooManySequenceGaps,
}
