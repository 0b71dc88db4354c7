//! Who leads. The leader's key hangs on a lease of the state service; winning the key and raising
//! the term is one transaction, and the term is the fencing token.

use std::time::Duration;

use crate::storage::records::{LeaderRecord, TermRecord, LEADER_KEY, TERM_KEY};
use crate::storage::store::Outcome;
use crate::types::{LeaseId, Term, Time, Version};
use lichencrank_store::{value, Change, Txn};

/// Where this controller is in the election.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// Someone else leads, or nobody does yet.
    Following,
    /// The key is free; a lease to hang it on is being asked for.
    AwaitingLease {
        /// The term to be won.
        term: Term,
        /// Version of the highest term's key.
        term_version: Version,
    },
    /// The transaction that wins the key is on its way.
    Claiming {
        /// Its lease.
        lease: LeaseId,
        /// The term to be won.
        term: Term,
    },
    /// Leads, as far as it knows.
    Leading {
        /// Its lease.
        lease: LeaseId,
        /// Its term, the fencing token.
        term: Term,
        /// Version of the leader's key.
        leader_key_version: Version,
    },
}

/// Which request of the election an outcome belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Reads who leads.
    ReadRecords,
    /// Asks for a lease.
    GrantLease,
    /// Takes the leader's key and raises the term, in one transaction.
    Claim,
    /// Of this lease: an answer may come when the leadership was lost and won again.
    Renew(LeaseId),
    /// Ends a lease.
    EndLease,
}

/// What the election needs done.
#[derive(Clone, Debug, PartialEq)]
pub enum ElectionAction {
    /// Read the keys below `lead/`.
    ReadRecords,
    /// Ask for a lease of that length.
    GrantLease(Duration),
    /// Send this claim.
    Claim(Txn),
    /// Renew the lease.
    Renew(LeaseId),
    /// End the lease of a process that is surely dead, or our own that is not needed.
    EndLease(LeaseId),
    /// Transfer the leadership in favour of a node that is better placed: end the lease, step down.
    Resign(LeaseId),
    /// Begin to lead.
    BeginLeading {
        /// Term that was won.
        term: Term,
        /// Version of the leader's key.
        leader_key_version: Version,
    },
    /// Stop leading.
    StepDown,
}

/// What a read of the keys below `lead/` showed.
#[derive(Clone, Debug, Default)]
pub struct ElectionRecords {
    /// The leader's key and its version, if it exists.
    pub holder: Option<(LeaderRecord, Version)>,
    /// The highest term and its version.
    pub term: Option<(Term, Version)>,
}

/// Clocks of different machines drift apart by at most 0.05%; this is well beyond that.
const DRIFT: f64 = 0.99;
const READ_EVERY: Duration = Duration::from_millis(400);
/// A node that transferred the leadership lets the others go first.
const REST: Duration = Duration::from_secs(3);
/// What the state service said of the leader counts for this long.
const FRESH: Duration = Duration::from_millis(1500);
const READ_LIMIT: Duration = Duration::from_millis(1500);
/// A renewal that was refused, or got no answer, is tried again after this.
const RENEW_AGAIN: Duration = Duration::from_millis(200);

/// The election, as one controller takes part in it.
pub struct LeaderElection {
    node: String,
    incarnation: u64,
    ttl: Duration,
    /// Where this controller is.
    pub role: Role,
    /// The highest term seen anywhere, and who leads it, if known.
    pub highest_term: Term,
    /// Who leads, by the last word heard.
    pub known_leader: Option<String>,
    lease_valid_until: Time,
    /// When the lease is to be renewed next.
    renew_at: Time,
    renewing: bool,
    next_read: Time,
    reading: Option<Time>,
    /// How long the key must have been free before this node claims it.
    pub campaign_delay: Duration,
    free_since: Option<Time>,
    /// When the state service last said that another node leads.
    confirmed_at: Option<Time>,
    resigned_at: Option<Time>,
    random: fastrand::Rng,
}

impl LeaderElection {
    /// A controller that knows nothing yet. `seed` tells this process from others of its name.
    pub fn new(node: &str, ttl: Duration, seed: u64) -> LeaderElection {
        let mut random = fastrand::Rng::with_seed(seed);
        LeaderElection {
            node: node.to_owned(),
            incarnation: random.u64(..),
            ttl,
            role: Role::Following,
            highest_term: Term(0),
            known_leader: None,
            lease_valid_until: Time::default(),
            renew_at: Time::default(),
            renewing: false,
            next_read: Time::default(),
            reading: None,
            campaign_delay: Duration::ZERO,
            free_since: None,
            confirmed_at: None,
            resigned_at: None,
            random,
        }
    }

    /// The one place where the role changes.
    fn enter(&mut self, role: Role) {
        if self.role != role {
            tracing::info!("leadership: {:?} -> {role:?}", self.role);
            self.role = role;
        }
    }

    /// Whether this controller leads, as far as it knows.
    pub fn is_leading(&self) -> bool {
        matches!(self.role, Role::Leading { .. })
    }

    /// Whether the own lease surely still stands. Without it the leader goes on answering workers,
    /// but begins nothing: an outage is not deposition.
    pub fn is_lease_valid(&self, now: Time) -> bool {
        now < self.lease_valid_until()
    }

    /// Until when the own lease surely stands, as far as is known now.
    pub fn lease_valid_until(&self) -> Time {
        if self.is_leading() {
            self.lease_valid_until
        } else {
            Time::default()
        }
    }

    /// When [`LeaderElection::tick`] will have something to do, if nothing happens before. While a request
    /// is under way only its end does, which wakes the node by itself: waiting for a moment that has
    /// passed would be no waiting at all.
    pub fn next_wakeup(&self) -> Time {
        match self.role {
            Role::Leading { .. } if self.renewing => Time(u64::MAX),
            Role::Leading { .. } => self.renew_at,
            Role::Following => {
                let pending = self
                    .reading
                    .map_or(Time::default(), |at| at.after(READ_LIMIT));
                self.next_read.max(pending)
            }
            Role::AwaitingLease { .. } | Role::Claiming { .. } => Time(u64::MAX),
        }
    }

    /// What is due by time alone.
    pub fn tick(&mut self, now: Time) -> Option<ElectionAction> {
        match self.role {
            Role::Leading { lease, .. } => {
                if self.renewing || now < self.renew_at {
                    return None;
                }
                self.renewing = true;
                self.renew_at = now.after(self.ttl / 3);
                Some(ElectionAction::Renew(lease))
            }
            Role::Following => {
                let pending = self.reading.is_some_and(|at| now < at.after(READ_LIMIT));
                if pending || now < self.next_read {
                    return None;
                }
                self.reading = Some(now);
                self.schedule_read(now);
                Some(ElectionAction::ReadRecords)
            }
            Role::AwaitingLease { .. } | Role::Claiming { .. } => None,
        }
    }

    fn schedule_read(&mut self, now: Time) {
        // Random, so that candidates seldom meet.
        let pause = READ_EVERY.mul_f64(0.75 + 0.5 * self.random.f64());
        self.next_read = now.after(pause);
    }

    /// Someone speaks of a term: a worker's report, a peer, the state service.
    pub fn observe_term(&mut self, term: Term, leader: Option<&str>) -> Option<ElectionAction> {
        if term < self.highest_term {
            return None;
        }
        if term > self.highest_term {
            self.highest_term = term;
            self.known_leader = None;
            self.confirmed_at = None;
        }
        if let Some(leader) = leader.filter(|l| *l != self.node) {
            self.known_leader = Some(leader.to_owned());
        }
        match self.role {
            Role::Leading { term: ours, .. } if term > ours => Some(self.step_down()),
            _ => None,
        }
    }

    /// Transfers the leadership, unless that was done a short while ago.
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

    /// Whether this node transferred the leadership a short while ago.
    pub fn has_recently_resigned(&self, now: Time) -> bool {
        self.resigned_at.is_some_and(|at| now.since(at) < REST * 10)
    }

    /// Proof came that another leads.
    pub fn step_down(&mut self) -> ElectionAction {
        self.enter(Role::Following);
        // A read under way may still show our key; what the lease was good for ended here.
        self.lease_valid_until = Time::default();
        if self.known_leader.as_deref() == Some(&self.node) {
            self.known_leader = None;
        }
        self.renewing = false;
        self.next_read = Time::default();
        ElectionAction::StepDown
    }

    /// `sent` is when the read was sent: an answer that lay here for long, as this process stood
    /// still, tells how things were and not how they are.
    pub fn on_records_read(
        &mut self,
        seen: Option<ElectionRecords>,
        sent: Time,
        now: Time,
    ) -> Option<ElectionAction> {
        self.reading = None;
        let seen = seen.filter(|_| now.since(sent) < READ_LIMIT)?;
        if self.role != Role::Following {
            return None;
        }
        let (term, term_version) = seen.term.unwrap_or((Term(0), Version(0)));
        let Some((holder, leader_key_version)) = seen.holder else {
            self.confirmed_at = None;
            if term >= self.highest_term {
                self.highest_term = term;
                self.known_leader = None;
            }
            let since = *self.free_since.get_or_insert(now);
            let resting = self.resigned_at.is_some_and(|at| now.since(at) < REST);
            if now.since(since) < self.campaign_delay || resting {
                return None;
            }
            self.enter(Role::AwaitingLease {
                term: Term(term.0 + 1),
                term_version,
            });
            return Some(ElectionAction::GrantLease(self.ttl));
        };
        self.free_since = None;
        if holder.node == self.node {
            if holder.incarnation == self.incarnation {
                // A claim thought lost was carried out.
                return Some(self.lead(holder.lease, holder.term, leader_key_version, now));
            }
            // This node's earlier process: it is dead, or this one would not run.
            return Some(ElectionAction::EndLease(holder.lease));
        }
        let action = self.observe_term(holder.term, Some(&holder.node));
        if holder.term == self.highest_term {
            self.confirmed_at = Some(now);
        }
        action
    }

    /// The term and the leader that the state service confirmed a moment ago.
    pub fn confirmed_leader(&self, now: Time) -> Option<(Term, &str)> {
        let fresh = self.confirmed_at.is_some_and(|at| now.since(at) < FRESH);
        let leader = self
            .known_leader
            .as_deref()
            .filter(|_| fresh && self.role == Role::Following);
        leader.map(|leader| (self.highest_term, leader))
    }

    fn lead(
        &mut self,
        lease: LeaseId,
        term: Term,
        leader_key_version: Version,
        now: Time,
    ) -> ElectionAction {
        self.highest_term = term;
        self.known_leader = Some(self.node.clone());
        self.enter(Role::Leading {
            lease,
            term,
            leader_key_version,
        });
        // A renewal at once: the time of the grant is not known for sure any more.
        self.renewing = false;
        self.renew_at = Time::default();
        self.lease_valid_until = self.lease_valid_until.max(now);
        ElectionAction::BeginLeading {
            term,
            leader_key_version,
        }
    }

    /// Takes in the outcome of one of the election's requests.
    pub fn on_outcome(
        &mut self,
        step: ElectionStep,
        outcome: Outcome,
        sent: Time,
        now: Time,
    ) -> Option<ElectionAction> {
        match (step, &self.role, outcome) {
            (
                ElectionStep::GrantLease,
                Role::AwaitingLease { term, term_version },
                Outcome::Granted(lease),
            ) => {
                let (term, term_version) = (*term, *term_version);
                self.lease_valid_until = sent.after(self.ttl.mul_f64(DRIFT));
                self.enter(Role::Claiming { lease, term });
                Some(ElectionAction::Claim(self.claim(lease, term, term_version)))
            }
            (ElectionStep::Claim, Role::Claiming { lease, term }, Outcome::Committed(version)) => {
                let (lease, term) = (*lease, *term);
                Some(self.lead(lease, term, version, now))
            }
            (ElectionStep::Claim, Role::Claiming { lease, .. }, Outcome::Conflict(_)) => {
                let lease = *lease;
                self.enter(Role::Following);
                self.schedule_read(now);
                Some(ElectionAction::EndLease(lease))
            }
            (
                ElectionStep::GrantLease | ElectionStep::Claim,
                Role::AwaitingLease { .. } | Role::Claiming { .. },
                _,
            ) => {
                // Whatever became of it, the next read shows.
                self.enter(Role::Following);
                self.schedule_read(now);
                None
            }
            (ElectionStep::Renew(of), Role::Leading { lease, .. }, outcome) if of == *lease => {
                self.renewing = false;
                match outcome {
                    Outcome::Extended => {
                        self.lease_valid_until = sent.after(self.ttl.mul_f64(DRIFT));
                        None
                    }
                    Outcome::LeaseGone => Some(self.step_down()),
                    _ => {
                        // Three refusals in a row must not cost the leadership: it is asked again soon.
                        self.renew_at = self.renew_at.min(now.after(RENEW_AGAIN));
                        None
                    }
                }
            }
            _ => None,
        }
    }

    fn claim(&self, lease: LeaseId, term: Term, term_version: Version) -> Txn {
        let holder = LeaderRecord {
            node: self.node.clone(),
            incarnation: self.incarnation,
            lease,
            term,
        };
        let mut txn = Txn::default();
        txn.require(LEADER_KEY.to_owned(), Version(0));
        txn.require(TERM_KEY.to_owned(), term_version);
        txn.changes.push(Change::Put {
            key: LEADER_KEY.to_owned(),
            value: value(&holder),
            lease: Some(lease),
        });
        txn.changes.push(Change::put(
            TERM_KEY.to_owned(),
            value(&TermRecord { term }),
        ));
        txn
    }
}
