//! Requests for admission, and the state machine that each admission goes through.

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
    /// The priority of ordinary work.
    Normal,
    /// Served last, with what nobody else uses.
    BestEffort,
}

/// A request to admit work.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Identifies the admission. A repeated request has the same id.
    pub id: AdmissionId,
    /// What the work takes from its start to its end.
    pub usage: ResourceVector,
    /// Priority among the requests that are pending at the same client.
    pub priority: Priority,
}

/// State of an admission at the client that handles it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionState {
    /// Requested and not charged yet.
    Pending,
    /// Its charge is in the store: the work may start.
    Charged,
    /// The work was reported to run.
    Running,
    /// The work has to end. It stays charged until the end is proven.
    Revoked,
    /// The work has ended; the release of its charge is not committed yet.
    Releasing,
    /// The release is committed: nothing is charged any more.
    Released,
}

/// What changes the state of an admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// The transaction that charges it is committed.
    ChargeCommitted,
    /// The work was reported to run.
    Started,
    /// The store has it marked as revoked.
    RevocationSeen,
    /// The work is proven to have ended, or never to start.
    EndProven,
    /// The transaction that releases the charge is committed.
    ReleaseCommitted,
}

/// An event that is not possible in the state of the admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{event:?} can't happen to an admission that is {state:?}")]
pub struct IllegalTransition {
    /// The state, which does not change.
    pub state: AdmissionState,
    /// The event.
    pub event: AdmissionEvent,
}

impl AdmissionState {
    /// The state that follows on an event. This is the only place where states change.
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
            // Revoked work runs until it is stopped, and may be reported to run meanwhile.
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

/// Why a request is rejected for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectReason {
    /// The store has no record of the team.
    #[error("the team is unknown")]
    UnknownTeam,
    /// The request alone exceeds the limit of its team.
    #[error("it is larger than the team's limit")]
    LargerThanLimit,
    /// The team's or the requester's name is empty, or too long for a key of the store.
    #[error("a name in its id does not fit into a key")]
    InvalidName,
    /// The completed numbers of the requester have so many gaps that the record of them would not fit
    /// into a value of the store.
    #[error("the requester has left too many gaps in its numbers")]
    TooManySequenceGaps,
}
