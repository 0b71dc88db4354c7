//! The life of an admission.

use thiserror::Error;

use crate::names::AdmissionId;
use crate::records::Priority;
use crate::resource_vector::ResourceVector;

/// A request to admit work.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Names it; a repeat has the same id.
    pub id: AdmissionId,
    /// What the work takes.
    pub usage: ResourceVector,
    /// How urgent it is.
    pub priority: Priority,
}

/// How far an admission is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionState {
    /// Asked for; nothing counts yet.
    Requested,
    /// Its charge is in the store: the work may start.
    Charged,
    /// The work was reported to run.
    Running,
    /// To make room it has to end; it counts until the end is proven.
    Revoked,
    /// Its end is proven; the charge is being taken back.
    Releasing,
    /// It counts no more.
    Released,
}

/// What happens to an admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// The store has its charge.
    ChargeCommitted,
    /// The work runs.
    Started,
    /// It has to make room.
    RevocationSeen,
    /// It is proven that the work ended, or never will begin.
    EndProven,
    /// The store has taken its charge back.
    ReleaseCommitted,
}

/// An event that can't happen in that state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{event:?} can't happen to an admission that is {state:?}")]
pub struct IllegalTransition {
    /// The state.
    pub state: AdmissionState,
    /// The event.
    pub event: AdmissionEvent,
}

impl AdmissionState {
    /// The one place where an admission changes its state.
    pub fn after(self, event: AdmissionEvent) -> Result<AdmissionState, IllegalTransition> {
        use AdmissionEvent as Event;
        use AdmissionState as State;
        match (self, event) {
            (State::Requested, Event::ChargeCommitted) => Ok(State::Charged),
            (State::Charged | State::Running, Event::Started) => Ok(State::Running),
            // Work that has to end may still report that it runs.
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

    /// Whether its charge is in the store.
    pub fn counts(self) -> bool {
        !matches!(self, AdmissionState::Requested | AdmissionState::Released)
    }
}

/// Why work is not admitted, now or ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectReason {
    /// No such team has a record.
    #[error("the team is unknown")]
    UnknownTeam,
    /// It alone takes more than the team's limit.
    #[error("it is larger than the team's limit")]
    LargerThanLimit,
    /// A name is empty or too long for a key.
    #[error("a name in its id does not fit into a key")]
    BadName,
    /// The requester left so many gaps in its numbers that they can't be remembered.
    #[error("the requester has left too many gaps in its numbers")]
    TooManyGaps,
}
