//! A quota client: a controller, or a program that embeds this package, which admits work within the
//! allowances that are granted to it.
//!
//! The client decides without input or output. [`QuotaClient::poll`] gives the next request to the
//! store, [`QuotaClient::on_outcome`] takes its outcome, and [`QuotaClient::take_events`] tells the
//! caller what was decided. One request is under way at a time; many admissions share a transaction.
//!
//! A transaction whose outcome is unknown is sent again, unchanged, until the store says whether it was
//! carried out. Nothing else is decided meanwhile.

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
    /// The latest time that the caller has told.
    now: Time,
    cache: RecordCache,
    pending_operation: PendingOperation,
    /// Nothing is sent before this time, as the store was unavailable or over its rate limit.
    paused_until: Time,
    admissions: AdmissionTable,
    /// The team for which an operation was planned last; the others have their turns first.
    last_planned_team: Option<TeamName>,
    /// Charges that have to be read again before anything is decided on them.
    reviews: BTreeSet<ChargeReview>,
    /// Admissions that have ended, also ones of other clients, whose charges are to be released.
    ended: BTreeSet<AdmissionId>,
    reclaims: ReclaimQueue,
    policy_update: Option<PolicyUpdate>,
    revocation_sweep: RevocationSweep,
    events: Vec<QuotaEvent>,
}

impl QuotaClient {
    /// A client that has read nothing yet.
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

    /// The name in its configuration.
    pub fn name(&self) -> &ClientName {
        &self.config.name
    }

    // ---- admissions

    /// Requests an admission. Repeating a request that is pending changes nothing; for one that is
    /// charged, the store is asked whether it still is.
    pub fn request(&mut self, request: AdmissionRequest) {
        let id = request.id.clone();
        if !id.is_storable() {
            return self.reject(id, RejectReason::InvalidName);
        }
        match self.admissions.state(&id) {
            // Another client may have released it meanwhile.
            Some(state) if state.is_charged() => self.review(ReviewReason::RepeatedRequest, id),
            Some(_) => {}
            None => self.admissions.insert(request, self.now),
        }
    }

    /// The work of an admission runs. Has no effect but on [`Self::state`].
    pub fn mark_running(&mut self, id: &AdmissionId) {
        self.admissions.transition(id, AdmissionEvent::Started);
    }

    /// The work is proven to have ended, or never to start: its charge is released. Any client may be
    /// told so, also one that did not charge it.
    pub fn release(&mut self, id: AdmissionId) {
        if !id.is_storable() {
            return self.events.push(QuotaEvent::NotFound(id));
        }
        if self.is_uncharged_request(&id) {
            // Another client may have charged the same admission, so the release goes on.
            self.admissions.remove_pending(&id);
        } else if self.admissions.is_charged(&id) {
            self.admissions.transition(&id, AdmissionEvent::EndProven);
        }
        self.ended.insert(id);
    }

    /// The work is not wanted any more, and nobody was told that it may start.
    pub fn cancel(&mut self, id: AdmissionId) {
        if self.is_uncharged_request(&id) {
            self.admissions.remove_pending(&id);
            return self.events.push(QuotaEvent::Cancelled(id));
        }
        self.release(id);
    }

    /// Whether the request is pending, and no transaction that charges it is under way.
    fn is_uncharged_request(&self, id: &AdmissionId) -> bool {
        let key = RecordKey::Charge(id.clone());
        self.admissions.is_pending(id) && !self.pending_operation.writes(&key)
    }

    /// State of an admission that this client handles.
    pub fn state(&self, id: &AdmissionId) -> Option<AdmissionState> {
        self.admissions.state(id)
    }

    /// Number of pending requests.
    pub fn pending_count(&self) -> usize {
        self.admissions.pending_count()
    }

    /// The sum of this client's charges to a team, as far as it knows.
    pub fn charged(&self, team: &TeamName) -> ResourceVector {
        let team = self.admissions.team(team);
        team.map_or(ResourceVector::ZERO, TeamState::charged)
    }

    /// Acquires the allowance of a team and reads what earlier processes of this name have charged to
    /// it, which is reported as [`QuotaEvent::Recovered`]. Happens by itself once an admission of the
    /// team is requested.
    pub fn recover_team(&mut self, team: &TeamName) {
        self.team_mut(team);
    }

    /// The process stood still while the world went on: nothing that was read is relied on any more, and
    /// all charges are read again before anything else is charged.
    pub fn on_process_resumed(&mut self) {
        self.cache.invalidate_all();
        for team in self.admissions.teams_mut() {
            team.lose_ownership();
        }
    }

    /// What happened since the last call.
    pub fn take_events(&mut self) -> Vec<QuotaEvent> {
        mem::take(&mut self.events)
    }

    /// Rejects a request for good.
    fn reject(&mut self, id: AdmissionId, reason: RejectReason) {
        tracing::info!("admission {id}: rejected, {reason}");
        self.admissions.remove_pending(&id);
        self.events.push(QuotaEvent::Rejected { id, reason });
    }

    // ---- operations

    /// The next request to the store. `None` if the outcome of one is awaited, if there is nothing to
    /// do, or while the store is given a pause.
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

    /// The next operation; a read, if it depends on a record that is not cached.
    fn next_operation(&mut self) -> Option<Operation> {
        match self.plan() {
            Ok(operation) => operation,
            Err(CacheMiss(key)) => Some(Operation::read(key)),
        }
    }

    /// What is to be done next: first what is uncertain, then what frees resources, then what takes them.
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

    /// The next operation of any team. All have their turns, beginning behind the one that had it last.
    fn plan_teams(&mut self) -> Result<Option<Operation>, CacheMiss> {
        let mut teams: Vec<TeamName> = self.admissions.team_names().cloned().collect();
        if let Some(last) = &self.last_planned_team {
            let behind_last = teams.partition_point(|team| team <= last);
            teams.rotate_left(behind_last);
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

    /// The pool; without a record of it, one of unlimited capacity.
    fn pool(&self) -> Result<PoolRecord, CacheMiss> {
        Ok(self.cache.pool()?.record.cloned().unwrap_or_default())
    }

    /// What is granted to this client of a team.
    fn granted(&self, team: &TeamName) -> Result<ResourceVector, CacheMiss> {
        let allowance = self.cache.allowance(&self.own_allowance(team))?;
        Ok(allowance
            .record
            .map_or(ResourceVector::ZERO, |record| record.granted))
    }

    /// What this client's allowance of a team has left.
    fn unspent(&self, team: &TeamName) -> Result<ResourceVector, CacheMiss> {
        Ok(self.granted(team)?.saturating_sub(&self.charged(team)))
    }
}
