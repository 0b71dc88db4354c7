//! Leader election. The leader's key is attached to a lease of the state service and vanishes with it. A candidate
//! creates the key and raises the term in one transaction; the term is the fencing token. A leader may raise its own term
//! later, see [`LeaderElection::begin_term_raise`].

mod messages;
mod term_raise;

pub use messages::{ElectionAction, ElectionRecords, ElectionStep, Role};

use std::time::Duration;

use crate::storage::records::{LeaderRecord, TermRecord, LEADER_KEY, TERM_KEY};
use crate::storage::store::Outcome;
use crate::types::{LeaseId, Term, Time, Version};
use lichencrank_store::{value, Change, Txn};
use term_raise::TermRaise;

/// The part of the lease duration for which the leader relies on its lease. The clocks of two hosts differ in rate by
/// at most 0.05%, so 1% is a wide margin.
const RELIABLE_LEASE_PART: f64 = 0.99;
/// Mean interval between two reads of the records below `lead/`.
const READ_INTERVAL: Duration = Duration::from_millis(400);
/// A controller that resigned does not campaign for this long, so that the others can claim the leadership.
const RESIGNATION_PAUSE: Duration = Duration::from_secs(3);
/// How long the last confirmation by the state service that another controller leads is valid.
const CONFIRMATION_VALIDITY: Duration = Duration::from_millis(1500);
/// A read without a response for this long is repeated, and a response that is processed later is discarded.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before a renewal that was refused or got no response is retried.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The leader election from the point of view of one controller. It returns requests as [`ElectionAction`]s and takes
/// their outcomes.
pub struct LeaderElection {
    controller: String,
    /// Tells this process from earlier processes of the same controller.
    incarnation: u64,
    lease_ttl: Duration,
    /// The state of this controller.
    pub role: Role,
    /// The highest term that this controller has learnt of.
    pub highest_term: Term,
    /// The leader of that term, if known.
    pub known_leader: Option<String>,
    /// The highest term in which this process has begun to lead, or to which it has tried to raise its own. It never
    /// leads in a term twice: whatever is named or counted within the term, and whatever the fencing token excludes,
    /// counts on that.
    last_led_term: Term,
    /// The raise of the own term that is under way.
    term_raise: Option<TermRaise>,
    /// The lease that was granted or renewed last.
    confirmed_lease: Option<LeaseId>,
    /// Until when that lease is certainly valid.
    lease_valid_until: Time,
    next_renewal_at: Time,
    is_renewing: bool,
    next_read_at: Time,
    /// When the read in flight was sent.
    read_sent_at: Option<Time>,
    /// How long the leader's key must have been free before this controller claims it.
    pub campaign_delay: Duration,
    /// Since when reads have shown that the leader's key is free.
    key_free_since: Option<Time>,
    /// When the state service last confirmed that another controller leads.
    confirmed_at: Option<Time>,
    resigned_at: Option<Time>,
    rng: fastrand::Rng,
}

impl LeaderElection {
    /// A follower that has read nothing yet. `seed` has to differ between the processes of one controller.
    pub fn new(controller: &str, lease_ttl: Duration, seed: u64) -> LeaderElection {
        let mut rng = fastrand::Rng::with_seed(seed);
        LeaderElection {
            controller: controller.to_owned(),
            incarnation: rng.u64(..),
            lease_ttl,
            role: Role::Following,
            highest_term: Term(0),
            known_leader: None,
            last_led_term: Term(0),
            term_raise: None,
            confirmed_lease: None,
            lease_valid_until: Time::default(),
            next_renewal_at: Time::default(),
            is_renewing: false,
            next_read_at: Time::default(),
            read_sent_at: None,
            campaign_delay: Duration::ZERO,
            key_free_since: None,
            confirmed_at: None,
            resigned_at: None,
            rng,
        }
    }

    /// Changes the role. Nothing else does.
    fn set_role(&mut self, role: Role) {
        if self.role != role {
            tracing::info!("leadership: {:?} -> {role:?}", self.role);
            self.role = role;
        }
    }

    /// Whether this controller leads, as far as it knows.
    pub fn is_leading(&self) -> bool {
        matches!(self.role, Role::Leading { .. })
    }

    /// Whether the own lease is certainly still valid. Without it the leader goes on answering workers but starts
    /// nothing: an outage of the state service does not mean that another controller leads.
    pub fn is_lease_valid(&self, now: Time) -> bool {
        now < self.lease_valid_until()
    }

    /// Until when the own lease is certainly valid, by the last confirmed renewal.
    pub fn lease_valid_until(&self) -> Time {
        if self.is_leading() {
            self.lease_valid_until
        } else {
            Time::default()
        }
    }

    /// When [`LeaderElection::tick`] is due next if no event arrives before. While a request is in flight, nothing is
    /// due until its outcome, which wakes the node by itself, or until the timeout of a read. Returning a time in the
    /// past would make the event loop spin.
    pub fn next_wakeup(&self) -> Time {
        match self.role {
            Role::Leading { .. } if self.is_renewing => self.term_raise_due_at(),
            Role::Leading { .. } => self.next_renewal_at.min(self.term_raise_due_at()),
            Role::Following => {
                let read_timeout_at = self
                    .read_sent_at
                    .map_or(Time::default(), |at| at.after(READ_TIMEOUT));
                self.next_read_at.max(read_timeout_at)
            }
            Role::AwaitingLease { .. } | Role::Claiming { .. } => Time(u64::MAX),
        }
    }

    /// Returns the request that is due at `now`.
    pub fn tick(&mut self, now: Time) -> Option<ElectionAction> {
        match self.role {
            Role::Leading { lease, .. } => {
                if self.is_renewing || now < self.next_renewal_at {
                    return self.continue_term_raise(now);
                }
                self.is_renewing = true;
                self.next_renewal_at = now.after(self.lease_ttl / 3);
                Some(ElectionAction::Renew(lease))
            }
            Role::Following => {
                let is_reading = self
                    .read_sent_at
                    .is_some_and(|at| now < at.after(READ_TIMEOUT));
                if is_reading || now < self.next_read_at {
                    return None;
                }
                self.read_sent_at = Some(now);
                self.schedule_read(now);
                Some(ElectionAction::ReadRecords)
            }
            Role::AwaitingLease { .. } | Role::Claiming { .. } => None,
        }
    }

    fn schedule_read(&mut self, now: Time) {
        // Jitter, so that candidates seldom claim the key at the same time.
        let interval = READ_INTERVAL.mul_f64(0.75 + 0.5 * self.rng.f64());
        self.next_read_at = now.after(interval);
    }

    /// Takes in a term, and its leader if known, that a worker, a peer or the state service reported. A leader steps
    /// down if the term is higher than its own.
    pub fn observe_term(&mut self, term: Term, leader: Option<&str>) -> Option<ElectionAction> {
        let names_another_leader = leader.is_some_and(|leader| leader != self.controller);
        if term < self.highest_term || (self.is_raising_to(term) && !names_another_leader) {
            return None;
        }
        if term > self.highest_term {
            self.highest_term = term;
            self.known_leader = None;
            self.confirmed_at = None;
        }
        if let Some(leader) = leader.filter(|l| *l != self.controller) {
            self.known_leader = Some(leader.to_owned());
        }
        match self.role {
            Role::Leading { term: own_term, .. } if term > own_term => Some(self.step_down()),
            _ => None,
        }
    }

    /// Gives up the leadership in favour of another controller, unless this controller has recently done so.
    pub fn resign(&mut self, now: Time) -> Option<ElectionAction> {
        let Role::Leading { lease, .. } = self.role else {
            return None;
        };
        if self.has_recently_resigned(now) {
            return None;
        }
        self.resigned_at = Some(now);
        self.step_down();
        Some(ElectionAction::Resign(lease))
    }

    /// Whether this controller has recently given up the leadership in favour of another one.
    pub fn has_recently_resigned(&self, now: Time) -> bool {
        self.resigned_at
            .is_some_and(|at| now.since(at) < RESIGNATION_PAUSE * 10)
    }

    /// Stops leading, as it is proven that the own lease has ended or another controller leads.
    pub fn step_down(&mut self) -> ElectionAction {
        self.set_role(Role::Following);
        self.lease_valid_until = Time::default();
        self.confirmed_lease = None;
        if self.known_leader.as_deref() == Some(&self.controller) {
            self.known_leader = None;
        }
        self.term_raise = None;
        self.is_renewing = false;
        self.next_read_at = Time::default();
        ElectionAction::StepDown
    }

    /// Takes in the records that were read, or `None` if the read failed. The read was sent at `sent_at`: a response
    /// that is processed late, as this process was paused, is discarded as outdated.
    pub fn on_records_read(
        &mut self,
        records: Option<ElectionRecords>,
        sent_at: Time,
        now: Time,
    ) -> Option<ElectionAction> {
        self.read_sent_at = None;
        let records = records.filter(|_| now.since(sent_at) < READ_TIMEOUT);
        if self.is_leading() {
            return self.on_records_read_for_raise(records, now);
        }
        let records = records?;
        if self.role != Role::Following {
            return None;
        }
        let (term, term_version) = records.term.unwrap_or((Term(0), Version(0)));
        let Some((holder, leader_key_version)) = records.holder else {
            self.confirmed_at = None;
            if term >= self.highest_term {
                self.highest_term = term;
                self.known_leader = None;
            }
            let free_since = *self.key_free_since.get_or_insert(now);
            let is_pausing = self
                .resigned_at
                .is_some_and(|at| now.since(at) < RESIGNATION_PAUSE);
            if now.since(free_since) < self.campaign_delay || is_pausing {
                return None;
            }
            self.set_role(Role::AwaitingLease {
                term: Term(term.0 + 1),
                term_version,
            });
            return Some(ElectionAction::GrantLease(self.lease_ttl));
        };
        self.key_free_since = None;
        if holder.controller == self.controller {
            return Some(self.on_own_key(&holder, leader_key_version, now));
        }
        let action = self.observe_term(holder.term, Some(&holder.controller));
        if holder.term == self.highest_term {
            self.confirmed_at = Some(now);
        }
        action
    }

    /// Handles a read that shows the leader's key of this controller, although it does not lead. The request to end its
    /// lease is repeated with each read until the key is gone, as it may be refused or lost.
    fn on_own_key(
        &mut self,
        holder: &LeaderRecord,
        leader_key_version: Version,
        now: Time,
    ) -> ElectionAction {
        let is_own_process = holder.incarnation == self.incarnation;
        if is_own_process && holder.term > self.last_led_term {
            // An earlier claim whose response was lost was committed.
            return self.begin_leading(holder.lease, holder.term, leader_key_version, now);
        }
        // Either an earlier process of this controller claimed it, which is dead, as otherwise this one would not run,
        // or this process has ceased to lead in that term.
        tracing::info!(
            term = %holder.term,
            lease = ?holder.lease,
            is_own_process,
            "ending the lease of a term that is over"
        );
        ElectionAction::EndLease(holder.lease)
    }

    /// The term and the name of another leader, if the state service has confirmed them recently.
    pub fn confirmed_leader(&self, now: Time) -> Option<(Term, &str)> {
        let is_recent = self
            .confirmed_at
            .is_some_and(|at| now.since(at) < CONFIRMATION_VALIDITY);
        let leader = self
            .known_leader
            .as_deref()
            .filter(|_| is_recent && self.role == Role::Following);
        leader.map(|leader| (self.highest_term, leader))
    }

    fn begin_leading(
        &mut self,
        lease: LeaseId,
        term: Term,
        leader_key_version: Version,
        now: Time,
    ) -> ElectionAction {
        self.highest_term = term;
        self.last_led_term = term;
        self.known_leader = Some(self.controller.clone());
        self.set_role(Role::Leading {
            lease,
            term,
            leader_key_version,
        });
        // Renews the lease at once, as it is not certain any more when it was granted.
        self.is_renewing = false;
        self.next_renewal_at = Time::default();
        if self.confirmed_lease != Some(lease) {
            // The key is attached to the lease of an earlier claim, not to the one that was granted last.
            self.lease_valid_until = now;
        }
        ElectionAction::BeginLeading {
            term,
            leader_key_version,
        }
    }

    /// Takes in the outcome of an election request that was sent at `sent_at`.
    pub fn on_outcome(
        &mut self,
        step: ElectionStep,
        outcome: Outcome,
        sent_at: Time,
        now: Time,
    ) -> Option<ElectionAction> {
        match (step, &self.role, outcome) {
            (
                ElectionStep::GrantLease,
                Role::AwaitingLease { term, term_version },
                Outcome::LeaseGranted(lease),
            ) => {
                let (term, term_version) = (*term, *term_version);
                self.on_lease_confirmed(lease, sent_at);
                self.set_role(Role::Claiming { lease, term });
                Some(ElectionAction::Claim(self.claim(lease, term, term_version)))
            }
            (ElectionStep::Claim, Role::Claiming { lease, term }, Outcome::Committed(version)) => {
                let (lease, term) = (*lease, *term);
                Some(self.begin_leading(lease, term, version, now))
            }
            (ElectionStep::Claim, Role::Claiming { lease, .. }, Outcome::Conflict(_)) => {
                let lease = *lease;
                self.set_role(Role::Following);
                self.schedule_read(now);
                Some(ElectionAction::EndLease(lease))
            }
            (
                ElectionStep::GrantLease | ElectionStep::Claim,
                Role::AwaitingLease { .. } | Role::Claiming { .. },
                _,
            ) => {
                // Whether the request was carried out shows in the next read.
                self.set_role(Role::Following);
                self.schedule_read(now);
                None
            }
            (ElectionStep::Renew(renewed), Role::Leading { lease, .. }, outcome)
                if renewed == *lease =>
            {
                self.on_renewal_outcome(renewed, outcome, sent_at, now)
            }
            (ElectionStep::RaiseTerm(term), Role::Leading { .. }, outcome)
                if self.is_raising_to(term) =>
            {
                self.on_raise_outcome(outcome, now)
            }
            _ => None,
        }
    }

    fn on_renewal_outcome(
        &mut self,
        lease: LeaseId,
        outcome: Outcome,
        sent_at: Time,
        now: Time,
    ) -> Option<ElectionAction> {
        self.is_renewing = false;
        match outcome {
            Outcome::LeaseUpdated => {
                self.on_lease_confirmed(lease, sent_at);
                None
            }
            Outcome::LeaseGone => Some(self.step_down()),
            _ => {
                // Retried soon, as otherwise three refusals in a row would cost the leadership.
                self.next_renewal_at = self.next_renewal_at.min(now.after(RENEWAL_RETRY_DELAY));
                None
            }
        }
    }

    /// Notes that the state service granted or renewed a lease, by a request that was sent at `sent_at`.
    fn on_lease_confirmed(&mut self, lease: LeaseId, sent_at: Time) {
        self.confirmed_lease = Some(lease);
        self.lease_valid_until = sent_at.after(self.lease_ttl.mul_f64(RELIABLE_LEASE_PART));
    }

    /// The transaction that claims the leadership: it fails if the key exists or the term has changed.
    fn claim(&self, lease: LeaseId, term: Term, term_version: Version) -> Txn {
        let mut txn = Txn::default();
        txn.require(LEADER_KEY.to_owned(), Version(0));
        txn.require(TERM_KEY.to_owned(), term_version);
        self.add_leadership_changes(&mut txn, lease, term);
        txn
    }

    /// Adds the changes that make this controller the leader of the term. They get one version.
    fn add_leadership_changes(&self, txn: &mut Txn, lease: LeaseId, term: Term) {
        let holder = LeaderRecord {
            controller: self.controller.clone(),
            incarnation: self.incarnation,
            lease,
            term,
        };
        txn.changes.push(Change::Put {
            key: LEADER_KEY.to_owned(),
            value: value(&holder),
            lease: Some(lease),
        });
        txn.changes.push(Change::put(
            TERM_KEY.to_owned(),
            value(&TermRecord { term }),
        ));
    }
}
