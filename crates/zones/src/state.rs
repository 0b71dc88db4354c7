//! The states of a zone. [`ZoneMachine::enter`] is the one function that changes them.

use std::fmt;
use std::time::Duration;

use lichencrank_store::Time;
use serde::{Deserialize, Serialize};

use crate::observation::ZoneObservation;
use crate::settings::ZoneSettings;

/// Where a zone is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// Nothing speaks against it.
    #[default]
    Healthy,
    /// It is disrupted, perhaps for a moment only.
    Suspected,
    /// It has been disrupted for long: machines in it are given up, bounded by the budget.
    Lost,
    /// Most of its machines are heard again: it takes new work at a growing rate.
    Returning,
}

impl ZoneState {
    /// Whether the state may follow directly on this one.
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

    /// Whether the zone is disrupted by now: no machine is rented there.
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

/// A change of state, with what it was based on.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneTransition {
    /// The zone.
    pub zone: String,
    /// The state before.
    pub from: ZoneState,
    /// The state from now on.
    pub to: ZoneState,
    /// What was seen of the zone at that moment.
    pub evidence: ZoneObservation,
}

/// The state machine of one zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneMachine {
    state: ZoneState,
    since: Time,
}

impl ZoneMachine {
    /// Continues in a state that an earlier leader recorded.
    pub fn restore(state: ZoneState, since: Time) -> ZoneMachine {
        ZoneMachine { state, since }
    }

    /// The present state.
    pub fn state(&self) -> ZoneState {
        self.state
    }

    /// When the zone entered its present state.
    pub fn since(&self) -> Time {
        self.since
    }

    fn lasted(&self, now: Time, seconds: f64) -> bool {
        now.since(self.since) >= Duration::from_secs_f64(seconds)
    }

    /// The state that follows from what is seen, if it is another one.
    pub fn next(
        &self,
        seen: &ZoneObservation,
        isolated: bool,
        now: Time,
        settings: &ZoneSettings,
    ) -> Option<ZoneState> {
        let disrupted = seen.is_disrupted();
        match self.state {
            ZoneState::Healthy => disrupted.then_some(ZoneState::Suspected),
            ZoneState::Suspected if !disrupted => Some(ZoneState::Healthy),
            // An observer that hears no zone at all is cut off itself.
            ZoneState::Suspected => {
                (!isolated && self.lasted(now, settings.lost_after_s)).then_some(ZoneState::Lost)
            }
            // Of an emptied zone nothing can be heard: it is tried again after a while.
            ZoneState::Lost => {
                let tried_again =
                    seen.machines == 0 && self.lasted(now, settings.isolation_patience_s);
                (seen.is_heard() || seen.is_empty_and_reachable() || tried_again)
                    .then_some(ZoneState::Returning)
            }
            ZoneState::Returning if disrupted => Some(ZoneState::Lost),
            // What is still silent then failed by itself; while it is much, the budget stands.
            ZoneState::Returning => (seen.is_mostly_heard()
                && self.lasted(now, settings.return_window_s))
            .then_some(ZoneState::Healthy),
        }
    }

    /// The one place where the state changes.
    pub fn enter(&mut self, state: ZoneState, now: Time) {
        debug_assert!(self.state.may_become(state), "{} -> {state}", self.state);
        self.state = state;
        self.since = now;
    }
}
