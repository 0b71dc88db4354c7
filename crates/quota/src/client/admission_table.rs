//! The admissions that a client handles, and the teams that they are charged to.

use std::collections::{BTreeMap, BTreeSet};

use lichencrank_store::Time;

use super::team_state::{QueuePosition, TeamState};
use crate::admission::{AdmissionEvent, AdmissionRequest, AdmissionState};
use crate::ids::{AdmissionId, TeamName};
use crate::resource_vector::ResourceVector;

/// An admission that this client handles.
#[derive(Debug)]
struct Admission {
    request: AdmissionRequest,
    state: AdmissionState,
    /// Sequence number of the request in the order of arrival at this client.
    arrival: u64,
}

impl Admission {
    fn queue_position(&self) -> QueuePosition {
        QueuePosition {
            priority: self.request.priority,
            arrival: self.arrival,
            id: self.request.id.clone(),
        }
    }
}

/// Admissions by id, and the state of each team. Keeps each team's queue and sum of charges consistent
/// with the states of its admissions.
#[derive(Debug, Default)]
pub(super) struct AdmissionTable {
    admissions: BTreeMap<AdmissionId, Admission>,
    teams: BTreeMap<TeamName, TeamState>,
    last_arrival: u64,
}

impl AdmissionTable {
    /// Adds a pending request.
    pub(super) fn insert(&mut self, request: AdmissionRequest, now: Time) {
        self.last_arrival += 1;
        let id = request.id.clone();
        let admission = Admission {
            request,
            state: AdmissionState::Pending,
            arrival: self.last_arrival,
        };
        let team = self.team_or_insert(&id.team, now);
        team.enqueue(admission.queue_position());
        self.admissions.insert(id, admission);
    }

    /// Removes a request that was never charged.
    pub(super) fn remove_pending(&mut self, id: &AdmissionId) {
        let Some(admission) = self.admissions.remove(id) else {
            return;
        };
        if let Some(team) = self.teams.get_mut(&id.team) {
            team.dequeue(&admission.queue_position());
        }
    }

    /// Applies an event to the state of an admission. Returns whether the state changed. An event that
    /// is not possible in the state is logged and ignored.
    pub(super) fn transition(&mut self, id: &AdmissionId, event: AdmissionEvent) -> bool {
        let Some(admission) = self.admissions.get_mut(id) else {
            return false;
        };
        let _span = tracing::debug_span!("admission", %id).entered();
        let old_state = admission.state;
        let new_state = match old_state.after(event) {
            Ok(new_state) => new_state,
            Err(error) => {
                tracing::warn!("admission {id}: event ignored: {error}");
                return false;
            }
        };
        tracing::trace!("{old_state:?} -> {new_state:?}");
        admission.state = new_state;
        if let Some(team) = self.teams.get_mut(&id.team) {
            let usage = &admission.request.usage;
            if !old_state.is_charged() && new_state.is_charged() {
                team.add_charge(usage);
                team.dequeue(&admission.queue_position());
            }
            if old_state.is_charged() && !new_state.is_charged() {
                team.remove_charge(usage);
            }
        }
        if new_state == AdmissionState::Released {
            self.admissions.remove(id);
        }
        old_state != new_state
    }

    /// State of an admission; `None` if this client does not handle it.
    pub(super) fn state(&self, id: &AdmissionId) -> Option<AdmissionState> {
        self.admissions.get(id).map(|admission| admission.state)
    }

    /// Whether the admission is requested and not charged yet.
    pub(super) fn is_pending(&self, id: &AdmissionId) -> bool {
        self.state(id) == Some(AdmissionState::Pending)
    }

    /// Whether the admission is charged, as far as this client knows.
    pub(super) fn is_charged(&self, id: &AdmissionId) -> bool {
        self.state(id).is_some_and(AdmissionState::is_charged)
    }

    /// The request of an admission.
    pub(super) fn request(&self, id: &AdmissionId) -> Option<&AdmissionRequest> {
        self.admissions.get(id).map(|admission| &admission.request)
    }

    /// The resources that the admission uses; zero if it is unknown.
    pub(super) fn usage(&self, id: &AdmissionId) -> ResourceVector {
        self.request(id)
            .map_or(ResourceVector::ZERO, |request| request.usage)
    }

    /// Number of pending requests of all teams.
    pub(super) fn pending_count(&self) -> usize {
        self.teams.values().map(TeamState::pending_count).sum()
    }

    /// The resources that all pending requests of a team would use together.
    pub(super) fn pending_usage(&self, team: &TeamName) -> ResourceVector {
        let Some(team) = self.teams.get(team) else {
            return ResourceVector::ZERO;
        };
        team.queue().map(|id| self.usage(id)).sum()
    }

    /// The charged admissions of a team that are not among `loaded`.
    pub(super) fn charged_but_not_in(
        &self,
        team: &TeamName,
        loaded: &BTreeSet<AdmissionId>,
    ) -> Vec<AdmissionId> {
        let admissions = self.admissions.iter();
        let missing = admissions.filter(|(id, admission)| {
            id.team == *team && admission.state.is_charged() && !loaded.contains(id)
        });
        missing.map(|(id, _)| id.clone()).collect()
    }

    // ---- teams

    /// The state of a team; `None` if this client has not been asked for anything of it.
    pub(super) fn team(&self, team: &TeamName) -> Option<&TeamState> {
        self.teams.get(team)
    }

    pub(super) fn team_mut(&mut self, team: &TeamName) -> Option<&mut TeamState> {
        self.teams.get_mut(team)
    }

    /// The state of a team, which is created if it doesn't exist.
    pub(super) fn team_or_insert(&mut self, team: &TeamName, now: Time) -> &mut TeamState {
        let state = self.teams.entry(team.clone());
        state.or_insert_with(|| TeamState::new(team.clone(), now))
    }

    pub(super) fn team_names(&self) -> impl Iterator<Item = &TeamName> {
        self.teams.keys()
    }

    pub(super) fn teams_mut(&mut self) -> impl Iterator<Item = &mut TeamState> {
        self.teams.values_mut()
    }

    pub(super) fn has_no_team(&self) -> bool {
        self.teams.is_empty()
    }
}
