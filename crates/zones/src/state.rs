//! The states of a zone and the transitions between them. Only `ZoneStateMachine::enter` changes a state.

use std::fmt;
use std::time::Duration;

use lichencrank_store::Time;
use serde::{Deserialize, Serialize};

use crate::observation::ZoneObservation;
use crate::settings::ZoneSettings;

/// State of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// Nothing shows that the zone is disrupted.
    #[default]
    Healthy,
    /// The zone is disrupted, perhaps only for a moment.
    Suspected,
    /// The zone has been disrupted for the configured time: its silent hosts are released, within the
    /// displacement budget.
    Lost,
    /// Most hosts of the zone respond again, or it has no hosts and is tried again: it takes new tasks at a
    /// growing rate.
    Returning,
}

impl ZoneState {
    /// Whether a zone may go from this state to `next` in one step.
    pub fn may_become(self, next: ZoneState) -> bool {
        use ZoneState::{Healthy, Lost, Returning, Suspected};
        matches!(
            (self, next),
            (Healthy, Suspected)
                | (Suspected, Healthy | Lost)
                | (Lost, Returning)
                | (Returning, Lost | Healthy)
        )
    }

    /// Whether the zone is disrupted in this state, so that no host is provisioned there.
    pub fn is_disrupted(self) -> bool {
        matches!(self, ZoneState::Suspected | ZoneState::Lost)
    }
}

impl fmt::Display for ZoneState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ZoneState::Healthy => "healthy",
            ZoneState::Suspected => "suspected",
            ZoneState::Lost => "lost",
            ZoneState::Returning => "returning",
        })
    }
}

/// A change of a zone's state, with the observation that caused it.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneTransition {
    /// Name of the zone.
    pub zone: String,
    /// The previous state.
    pub from: ZoneState,
    /// The new state.
    pub to: ZoneState,
    /// The observation that caused the change.
    pub observation: ZoneObservation,
}

/// The state machine of one zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneStateMachine {
    state: ZoneState,
    since: Time,
}

impl ZoneStateMachine {
    /// Restores a state that was entered at `since`.
    pub(crate) fn restore(state: ZoneState, since: Time) -> ZoneStateMachine {
        ZoneStateMachine { state, since }
    }

    pub(crate) fn state(&self) -> ZoneState {
        self.state
    }

    /// When the zone entered its present state.
    pub(crate) fn since(&self) -> Time {
        self.since
    }

    /// The state that follows from an observation, if it differs from the present one.
    /// `is_observer_isolated` says whether the observer may be the one that is cut off, as it finds all
    /// zones disrupted.
    pub(crate) fn next(
        &self,
        observation: &ZoneObservation,
        is_observer_isolated: bool,
        now: Time,
        settings: &ZoneSettings,
    ) -> Option<ZoneState> {
        let is_disrupted = observation.is_disrupted();
        let has_lasted = |duration: Duration| now.since(self.since) >= duration;
        match self.state {
            ZoneState::Healthy => is_disrupted.then_some(ZoneState::Suspected),
            ZoneState::Suspected if !is_disrupted => Some(ZoneState::Healthy),
            ZoneState::Suspected => {
                let is_lost = !is_observer_isolated && has_lasted(settings.lost_after());
                is_lost.then_some(ZoneState::Lost)
            }
            ZoneState::Lost => {
                // No host is left that could respond: only new hosts can show whether the zone works again.
                let is_retry_due =
                    observation.hosts == 0 && has_lasted(settings.isolation_timeout());
                let is_returning = observation.most_hosts_respond()
                    || observation.is_empty_and_reachable()
                    || is_retry_due;
                is_returning.then_some(ZoneState::Returning)
            }
            ZoneState::Returning if is_disrupted => Some(ZoneState::Lost),
            ZoneState::Returning => {
                // The few hosts that are still silent after the return window have failed independently. While
                // more are silent, the zone keeps returning, so that they are released within its budget.
                let is_healthy =
                    observation.nearly_all_hosts_respond() && has_lasted(settings.return_window());
                is_healthy.then_some(ZoneState::Healthy)
            }
        }
    }

    /// Enters a state, to which a transition from the present one has to exist.
    pub(crate) fn enter(&mut self, state: ZoneState, now: Time) {
        debug_assert!(self.state.may_become(state), "{} -> {state}", self.state);
        self.state = state;
        self.since = now;
    }
}
