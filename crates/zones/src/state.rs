//! The states of a zone, and what leads from one to the next. `ZoneStateMachine::enter` is the one function
//! that changes them.

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
    /// Nothing shows that it is disrupted.
    #[default]
    Healthy,
    /// It is disrupted, perhaps only for a moment.
    Suspected,
    /// It has been disrupted for longer: its silent machines are given up, within the budget.
    Lost,
    /// Most of its machines respond again: it takes new work at a growing rate.
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

    /// Whether the zone is disrupted at present, so that no machine is provisioned there.
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

/// A change of a zone's state, with what it is based on.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneTransition {
    /// Name of the zone.
    pub zone: String,
    /// The state before.
    pub from: ZoneState,
    /// The state from now on.
    pub to: ZoneState,
    /// What was observed of the zone at that time.
    pub observation: ZoneObservation,
}

/// The state machine of one zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneStateMachine {
    state: ZoneState,
    since: Time,
}

impl ZoneStateMachine {
    /// Continues in a state that was entered at that time.
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

    /// The state that follows from an observation, if it is another one than the present.
    /// `is_observer_isolated` says that the observer finds all zones disrupted.
    pub(crate) fn next(
        &self,
        observation: &ZoneObservation,
        is_observer_isolated: bool,
        now: Time,
        settings: &ZoneSettings,
    ) -> Option<ZoneState> {
        let disrupted = observation.is_disrupted();
        let has_lasted = |duration: Duration| now.since(self.since) >= duration;
        match self.state {
            ZoneState::Healthy => disrupted.then_some(ZoneState::Suspected),
            ZoneState::Suspected if !disrupted => Some(ZoneState::Healthy),
            ZoneState::Suspected => {
                let lost = !is_observer_isolated && has_lasted(settings.lost_after());
                lost.then_some(ZoneState::Lost)
            }
            ZoneState::Lost => {
                // No machine is left that could respond: new ones show whether the zone is back.
                let retry_emptied =
                    observation.hosts == 0 && has_lasted(settings.isolation_timeout());
                let returning = observation.most_hosts_respond()
                    || observation.is_empty_and_reachable()
                    || retry_emptied;
                returning.then_some(ZoneState::Returning)
            }
            ZoneState::Returning if disrupted => Some(ZoneState::Lost),
            ZoneState::Returning => {
                // Machines that stay silent then have failed by themselves. While there are many, they are
                // still given up within the zone's budget.
                let healthy =
                    observation.nearly_all_hosts_respond() && has_lasted(settings.return_window());
                healthy.then_some(ZoneState::Healthy)
            }
        }
    }

    /// The one place where the state changes.
    pub(crate) fn enter(&mut self, state: ZoneState, now: Time) {
        debug_assert!(self.state.may_become(state), "{} -> {state}", self.state);
        self.state = state;
        self.since = now;
    }
}
