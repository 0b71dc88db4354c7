//! One holder of allowances: a controller, or a program that embeds this package.
//!
//! The holder decides without input or output. [`QuotaClient::poll`] gives the next request to the store,
//! [`QuotaClient::on_outcome`] takes what became of it, [`QuotaClient::take_decisions`] tells what was decided.
//! There is one request under way at a time; many admissions share a transaction.
//!
//! A request whose outcome is unknown is repeated, word for word, until the store says whether it was
//! carried out. Nothing else is decided meanwhile.

mod account;
mod admissions;
mod cache;
mod charge;
mod collect;
mod enforce;
mod operation;
mod outcomes;
mod policy;
mod rebalance;
mod settle;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use lichencrank_store::{Request, StoreLimits, Time};

use crate::admission::{AdmissionEvent, AdmissionRequest, AdmissionState, RejectReason};
use crate::ids::{AdmissionId, ClientName, TeamName};
use crate::records::{PoolRecord, RecordKey};
use crate::resource_vector::ResourceVector;

use account::{Account, Place};
use cache::{Cache, Unread};
use collect::Collection;
use enforce::Enforcement;
use operation::{Flight, Operation, Purpose};
use policy::PolicyChange;

/// Open admissions read at once.
const LOAD_PAGE: u32 = 500;
/// Most bytes of a transaction, with room to spare for its framing.
const BATCH_BYTES: usize = 44 * 1024;

/// What a holder is told about itself and the store.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// Its name; of processes with the same name only the last one that claimed an allowance may use
    /// it.
    pub name: ClientName,
    /// Limits of the store.
    pub store_limits: StoreLimits,
    /// About how many holders there are; a smaller share is lent ahead where there are many.
    pub expected_clients: u64,
    /// How often a holder that waits looks whether room has become free.
    pub refresh_interval: Duration,
    /// An allowance that was not needed for so long goes back.
    pub idle_return_after: Duration,
    /// An answer that took longer is no word of the store any more: the charge is read again before
    /// the work may start.
    pub reconfirm_after: Duration,
}

/// What was decided.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaEvent {
    /// The store has the charge: the work may start.
    Admitted(AdmissionId),
    /// The same admission was charged before, to that holder's allowance.
    AlreadyAdmitted {
        /// The admission.
        id: AdmissionId,
        /// Who has it in hand.
        client: ClientName,
    },
    /// The same admission was charged before, and is settled.
    AlreadyCompleted(AdmissionId),
    /// It is never admitted.
    Rejected {
        /// The request.
        id: AdmissionId,
        /// Why.
        reason: RejectReason,
    },
    /// The request was taken back before anything was charged.
    Cancelled(AdmissionId),
    /// An earlier process of this name had charged it; whether its work runs is not known.
    Recovered(AdmissionId),
    /// The work has to end, to make room. It counts until [`QuotaClient::release`].
    Revoked(AdmissionId),
    /// The charge is taken back.
    Released(AdmissionId),
    /// No such admission is open.
    NotFound(AdmissionId),
    /// The policy that was set is in the store.
    PolicyApplied,
    /// The other holder's allowance of that team is no more than what it has charged.
    Reclaimed {
        /// The team.
        team: TeamName,
        /// The holder that was given up.
        client: ClientName,
    },
    /// The other holder is there again, or keeps its own accounts: nothing was reclaimed.
    NotReclaimed {
        /// The team.
        team: TeamName,
        /// The holder.
        client: ClientName,
    },
}

/// An admission that this holder has in hand.
#[derive(Debug)]
struct Admission {
    request: AdmissionRequest,
    state: AdmissionState,
    /// Orders requests by their arrival.
    arrival: u64,
}

/// A holder of allowances.
#[derive(Debug)]
pub struct QuotaClient {
    config: ClientConfig,
    now: Time,
    cache: Cache,
    flight: Flight,
    /// Nothing is sent before.
    pause_until: Time,
    accounts: BTreeMap<TeamName, Account>,
    /// The team that had its turn last.
    last_turn: Option<TeamName>,
    admissions: BTreeMap<AdmissionId, Admission>,
    arrivals: u64,
    /// Open keys to look at, as a transaction failed on them or its outcome was unknown.
    suspects: BTreeSet<AdmissionId>,
    /// Requests for what is charged already.
    repeats: BTreeSet<AdmissionId>,
    /// Charges to confirm, as their answer came late.
    unconfirmed: BTreeSet<AdmissionId>,
    /// Admissions whose end is proven.
    releasing: BTreeSet<AdmissionId>,
    collections: VecDeque<Collection>,
    policy_change: Option<PolicyChange>,
    enforcement: Enforcement,
    decisions: Vec<QuotaEvent>,
}

impl QuotaClient {
    /// A holder that knows nothing yet.
    pub fn new(config: ClientConfig) -> QuotaClient {
        QuotaClient {
            config,
            now: Time::default(),
            cache: Cache::default(),
            flight: Flight::Idle,
            pause_until: Time::default(),
            accounts: BTreeMap::new(),
            last_turn: None,
            admissions: BTreeMap::new(),
            arrivals: 0,
            suspects: BTreeSet::new(),
            repeats: BTreeSet::new(),
            unconfirmed: BTreeSet::new(),
            releasing: BTreeSet::new(),
            collections: VecDeque::new(),
            policy_change: None,
            enforcement: Enforcement::default(),
            decisions: Vec::new(),
        }
    }

    /// Its name.
    pub fn name(&self) -> &ClientName {
        &self.config.name
    }

    /// Asks for an admission. A repeat of one that is in hand changes nothing.
    pub fn request(&mut self, request: AdmissionRequest) {
        let id = request.id.clone();
        if !id.is_storable() {
            return self.reject(id, RejectReason::InvalidName);
        }
        if let Some(admission) = self.admissions.get(&id) {
            if admission.state.is_charged() {
                // Somebody else may have settled it meanwhile.
                self.cache.forget(&RecordKey::Charge(id.clone()));
                self.repeats.insert(id);
            }
            return;
        }
        self.arrivals += 1;
        let admission = Admission {
            request,
            state: AdmissionState::Pending,
            arrival: self.arrivals,
        };
        let place = admission.place();
        let account = self.account(&id.team);
        account.waiting.insert(place);
        self.admissions.insert(id, admission);
    }

    /// The work runs; for whoever asks how far its admission is.
    pub fn mark_running(&mut self, id: &AdmissionId) {
        self.change(id, AdmissionEvent::Started);
    }

    /// It is proven that the work has ended, or never will begin. Also for work that another holder has
    /// charged.
    pub fn release(&mut self, id: AdmissionId) {
        if !id.is_storable() {
            return self.decisions.push(QuotaEvent::NotFound(id));
        }
        match self.state(&id) {
            // Another holder may have charged the same one.
            Some(AdmissionState::Pending) if !self.is_in_flight(&id) => self.drop_request(&id),
            Some(state) if state.is_charged() => {
                self.change(&id, AdmissionEvent::EndProven);
            }
            _ => {}
        }
        self.releasing.insert(id);
    }

    /// Nobody wants the work any more, and nobody was told that it may start.
    pub fn cancel(&mut self, id: AdmissionId) {
        if self.state(&id) == Some(AdmissionState::Pending) && !self.is_in_flight(&id) {
            self.drop_request(&id);
            self.decisions.push(QuotaEvent::Cancelled(id));
            return;
        }
        self.release(id);
    }

    /// How far an admission in hand is.
    pub fn state(&self, id: &AdmissionId) -> Option<AdmissionState> {
        self.admissions.get(id).map(|admission| admission.state)
    }

    /// How many requests wait.
    pub fn pending_count(&self) -> usize {
        self.accounts.values().map(|a| a.waiting.len()).sum()
    }

    /// What this holder has charged of a team, as far as it knows.
    pub fn charged(&self, team: &TeamName) -> ResourceVector {
        self.accounts
            .get(team)
            .map_or(ResourceVector::ZERO, |a| a.charged)
    }

    /// Opens the accounts of that team, so that what an earlier process of this name had charged is
    /// known again.
    pub fn recover_team(&mut self, team: &TeamName) {
        self.account(team);
    }

    /// The process stood still while the world went on: nothing that is known counts, and whatever was
    /// charged is read again before it is acted upon.
    pub fn on_process_resumed(&mut self) {
        self.cache.forget_all();
        for (team, account) in &mut self.accounts {
            account.enter(team, account::Claim::None);
        }
    }

    /// What was decided since the last call.
    pub fn take_events(&mut self) -> Vec<QuotaEvent> {
        std::mem::take(&mut self.decisions)
    }

    /// The next request to the store, unless one is under way or there is nothing to do.
    pub fn poll(&mut self, now: Time) -> Option<Request> {
        self.now = self.now.max(now);
        if self.now < self.pause_until {
            return None;
        }
        match std::mem::take(&mut self.flight) {
            sent @ Flight::Sent { .. } => {
                self.flight = sent;
                return None;
            }
            Flight::Repeat { operation, since } => {
                return Some(self.send(operation, since, true));
            }
            Flight::Idle => {}
        }
        let operation = self.next_operation()?;
        Some(self.send(operation, self.now, false))
    }

    fn send(&mut self, operation: Operation, since: Time, repeated: bool) -> Request {
        let request = operation.request.clone();
        self.flight = Flight::Sent {
            operation,
            since,
            repeated,
        };
        request
    }

    /// What has to be read goes before whatever depends on it.
    fn next_operation(&mut self) -> Option<Operation> {
        match self.plan() {
            Ok(operation) => operation,
            Err(Unread(key)) => Some(Operation {
                request: Request::Get(key.path()),
                purpose: Purpose::Read(key),
            }),
        }
    }

    /// What is to be done next: what is unclear first, then what makes room, then what takes it.
    fn plan(&mut self) -> Result<Option<Operation>, Unread> {
        self.resolve_suspects()?;
        self.confirm_late_charges()?;
        self.answer_repeats()?;
        if let Some(operation) = self.plan_settling()? {
            return Ok(Some(operation));
        }
        if let Some(operation) = self.plan_policy()? {
            return Ok(Some(operation));
        }
        if let Some(operation) = self.plan_collection()? {
            return Ok(Some(operation));
        }
        if let Some(operation) = self.plan_enforcement()? {
            return Ok(Some(operation));
        }
        self.plan_accounts()
    }

    /// Every team has its turn, beginning behind the one that had it last.
    fn plan_accounts(&mut self) -> Result<Option<Operation>, Unread> {
        let mut teams: Vec<TeamName> = self.accounts.keys().cloned().collect();
        if let Some(last) = &self.last_turn {
            let behind = teams.partition_point(|team| team <= last);
            teams.rotate_left(behind);
        }
        for team in teams {
            let operation = self.plan_account(&team)?;
            if operation.is_some() {
                self.last_turn = Some(team);
                return Ok(operation);
            }
        }
        Ok(None)
    }

    fn account(&mut self, team: &TeamName) -> &mut Account {
        let now = self.now;
        let account = self.accounts.entry(team.clone());
        account.or_insert_with(|| Account::new(now))
    }

    /// The pool; as if there were no end of capacity where there is no record of it.
    fn pool(&self) -> Result<PoolRecord, Unread> {
        Ok(self.cache.pool()?.record.unwrap_or_default())
    }
}

impl Admission {
    fn place(&self) -> Place {
        (self.request.priority, self.arrival, self.request.id.clone())
    }
}
