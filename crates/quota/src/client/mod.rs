//! A quota client: a controller, or a program that embeds this package, which admits work within the
//! allowances that are granted to it.
//!
//! The client does no I/O. [`QuotaClient::poll`] returns the next request to the store,
//! [`QuotaClient::on_outcome`] takes its outcome, and [`QuotaClient::take_events`] reports the results to
//! the caller. One request is in flight at a time; a transaction can charge many admissions.
//!
//! A transaction whose outcome is unknown is sent again, unchanged, until the store reports whether it
//! was committed. Nothing else is sent until then.

mod admission_table;
mod charging;
mod config;
mod event;
mod operation;
mod outcome;
mod ownership;
mod pending_operation;
mod policy_update;
mod rebalancing;
mod reclaim;
mod reclaim_queue;
mod record_cache;
mod release;
mod review;
mod revocation;
mod revocation_sweep;
mod team_state;

use std::collections::BTreeSet;
use std::mem;

use lichencrank_store::{Request, Time};

use crate::admission::{AdmissionEvent, AdmissionRequest, AdmissionState, RejectReason};
use crate::ids::{AdmissionId, AllowanceId, ClientName, TeamName};
use crate::records::{PoolRecord, RecordKey};
use crate::resource_vector::ResourceVector;

use admission_table::AdmissionTable;
use operation::Operation;
use pending_operation::PendingOperation;
use policy_update::PolicyUpdate;
use reclaim_queue::ReclaimQueue;
use record_cache::{CacheMiss, RecordCache};
use review::{ChargeReview, ReviewReason};
use revocation_sweep::RevocationSweep;
use team_state::TeamState;

pub use config::ClientConfig;
pub use event::QuotaEvent;

/// Admits work within allowances; see the [module](self).
#[derive(Debug)]
pub struct QuotaClient {
    config: ClientConfig,
    /// The latest time that was passed to [`QuotaClient::poll`] or [`QuotaClient::on_outcome`].
    now: Time,
    cache: RecordCache,
    pending_operation: PendingOperation,
    /// No request is sent before this time, because the store was unavailable or rate-limited the client.
    paused_until: Time,
    admissions: AdmissionTable,
    /// The team for which an operation was planned last: its next turn comes after all other teams.
    last_planned_team: Option<TeamName>,
    /// Charges that have to be read again before the client relies on them.
    reviews: BTreeSet<ChargeReview>,
    /// Admissions that have ended and whose charges are to be released, including those of other clients.
    ended: BTreeSet<AdmissionId>,
    reclaims: ReclaimQueue,
    policy_update: Option<PolicyUpdate>,
    revocation_sweep: RevocationSweep,
    events: Vec<QuotaEvent>,
}

impl QuotaClient {
    /// Creates a client that has not read any record yet.
    pub fn new(config: ClientConfig) -> QuotaClient {
        QuotaClient {
            config,
            now: Time::default(),
            cache: RecordCache::default(),
            pending_operation: PendingOperation::default(),
            paused_until: Time::default(),
            admissions: AdmissionTable::default(),
            last_planned_team: None,
            reviews: BTreeSet::new(),
            ended: BTreeSet::new(),
            reclaims: ReclaimQueue::default(),
            policy_update: None,
            revocation_sweep: RevocationSweep::default(),
            events: Vec::new(),
        }
    }

    /// The client's name, from its configuration.
    pub fn name(&self) -> &ClientName {
        &self.config.name
    }

    // ---- admissions

    /// Requests an admission. Repeating a pending request has no effect. If the request is already
    /// charged, its charge is read again from the store.
    pub fn request(&mut self, request: AdmissionRequest) {
        let id = request.id.clone();
        if !id.is_storable() {
            return self.reject(id, RejectReason::InvalidName);
        }
        match self.admissions.state(&id) {
            // Another client may have released the charge since.
            Some(state) if state.is_charged() => self.review(ReviewReason::RepeatedRequest, id),
            Some(_) => {}
            None => self.admissions.insert(request, self.now),
        }
    }

    /// Records that the work of an admission runs. Affects only [`Self::state`].
    pub fn mark_running(&mut self, id: &AdmissionId) {
        self.admissions.transition(id, AdmissionEvent::Started);
    }

    /// Releases the charge of work that is proven to have ended or to never start. This may be called
    /// on any client, not only on the one that charged the admission.
    pub fn release(&mut self, id: AdmissionId) {
        if !id.is_storable() {
            return self.events.push(QuotaEvent::NotFound(id));
        }
        if self.is_uncharged_request(&id) {
            // Another client may have charged the same admission, so its charge is looked up nevertheless.
            self.admissions.remove_pending(&id);
        } else if self.admissions.is_charged(&id) {
            self.admissions.transition(&id, AdmissionEvent::EndProven);
        }
        self.ended.insert(id);
    }

    /// Cancels work that is no longer wanted and that nobody was told to start.
    pub fn cancel(&mut self, id: AdmissionId) {
        if self.is_uncharged_request(&id) {
            self.admissions.remove_pending(&id);
            return self.events.push(QuotaEvent::Cancelled(id));
        }
        self.release(id);
    }

    /// Whether the request is pending and no transaction that charges it is in flight.
    fn is_uncharged_request(&self, id: &AdmissionId) -> bool {
        let key = RecordKey::Charge(id.clone());
        self.admissions.is_pending(id) && !self.pending_operation.writes(&key)
    }

    /// State of an admission; `None` if this client does not handle it.
    pub fn state(&self, id: &AdmissionId) -> Option<AdmissionState> {
        self.admissions.state(id)
    }

    /// Number of pending requests.
    pub fn pending_count(&self) -> usize {
        self.admissions.pending_count()
    }

    /// The sum of this client's charges to a team, as far as the client knows them.
    pub fn charged(&self, team: &TeamName) -> ResourceVector {
        let team = self.admissions.team(team);
        team.map_or(ResourceVector::ZERO, TeamState::charged)
    }

    /// Acquires the allowance of a team and reads the charges to it by earlier processes of the same
    /// client name, which are reported as [`QuotaEvent::Recovered`]. The first request for the team does
    /// the same.
    pub fn recover_team(&mut self, team: &TeamName) {
        self.team_mut(team);
    }

    /// Must be called when the process resumes after a pause, such as a suspended VM. All cached records
    /// are dropped, and the charges are read again before anything else is charged.
    pub fn on_process_resumed(&mut self) {
        self.cache.invalidate_all();
        for team in self.admissions.teams_mut() {
            team.lose_ownership();
        }
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<QuotaEvent> {
        mem::take(&mut self.events)
    }

    /// Rejects a request permanently.
    fn reject(&mut self, id: AdmissionId, reason: RejectReason) {
        tracing::info!("admission {id} is rejected: {reason}");
        self.admissions.remove_pending(&id);
        self.events.push(QuotaEvent::Rejected { id, reason });
    }

    // ---- operations

    /// The next request to the store. `None` while the outcome of a request is awaited, if there is
    /// nothing to do, or while requests are paused because the store is unavailable or rate-limits.
    pub fn poll(&mut self, now: Time) -> Option<Request> {
        self.now = self.now.max(now);
        if self.now < self.paused_until || self.pending_operation.is_awaiting_outcome() {
            return None;
        }
        if let Some(request) = self.pending_operation.resend() {
            return Some(request);
        }
        let operation = self.next_operation()?;
        Some(self.pending_operation.send(operation, self.now))
    }

    /// The next operation. If planning it needs a record that is not cached, that is the read of this
    /// record.
    fn next_operation(&mut self) -> Option<Operation> {
        match self.plan() {
            Ok(operation) => operation,
            Err(CacheMiss(key)) => Some(Operation::read(key)),
        }
    }

    /// Plans the next operation: first those that resolve uncertain charges, then those that free
    /// resources, then those that use them.
    fn plan(&mut self) -> Result<Option<Operation>, CacheMiss> {
        self.review_charges()?;
        if let Some(operation) = self.plan_releases()? {
            return Ok(Some(operation));
        }
        if let Some(operation) = self.plan_policy_update()? {
            return Ok(Some(operation));
        }
        if let Some(operation) = self.plan_reclaim()? {
            return Ok(Some(operation));
        }
        if let Some(operation) = self.plan_revocation()? {
            return Ok(Some(operation));
        }
        self.plan_teams()
    }

    /// The next operation of any team, round-robin, beginning with the team after the last one.
    fn plan_teams(&mut self) -> Result<Option<Operation>, CacheMiss> {
        let mut teams: Vec<TeamName> = self.admissions.team_names().cloned().collect();
        if let Some(last) = &self.last_planned_team {
            let first_index = teams.partition_point(|team| team <= last);
            teams.rotate_left(first_index);
        }
        for team in teams {
            let operation = self.plan_team(&team)?;
            if operation.is_some() {
                self.last_planned_team = Some(team);
                return Ok(operation);
            }
        }
        Ok(None)
    }

    // ---- shared lookups

    fn team_mut(&mut self, team: &TeamName) -> &mut TeamState {
        self.admissions.team_or_insert(team, self.now)
    }

    /// Id of this client's allowance of a team.
    fn own_allowance(&self, team: &TeamName) -> AllowanceId {
        AllowanceId::new(team, &self.config.name)
    }

    /// The pool record; the default, with unlimited capacity, if the store has none.
    fn pool(&self) -> Result<PoolRecord, CacheMiss> {
        Ok(self.cache.pool()?.record.cloned().unwrap_or_default())
    }

    /// The size of this client's allowance of a team.
    fn granted(&self, team: &TeamName) -> Result<ResourceVector, CacheMiss> {
        let allowance = self.cache.allowance(&self.own_allowance(team))?;
        Ok(allowance
            .record
            .map_or(ResourceVector::ZERO, |record| record.granted))
    }

    /// The part of this client's allowance of a team that is not charged.
    fn unspent(&self, team: &TeamName) -> Result<ResourceVector, CacheMiss> {
        Ok(self.granted(team)?.saturating_sub(&self.charged(team)))
    }
}
