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
    Granting {
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
        version: Version,
    },
}

/// Which request of the election an outcome belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Reads who leads.
    Read,
    /// Asks for a lease.
    Grant,
    /// Takes the leader's key and raises the term, in one transaction.
    Claim,
    /// Of this lease: an answer may come when the leadership was lost and won again.
    Renew(LeaseId),
    /// Ends a lease.
    End,
}

/// What the election needs done.
#[derive(Clone, Debug, PartialEq)]
pub enum LeadershipAction {
    /// Read the keys below `lead/`.
    Read,
    /// Ask for a lease of that length.
    Grant(Duration),
    /// Send this claim.
    Claim(Txn),
    /// Renew the lease.
    Renew(LeaseId),
    /// End the lease of a process that is surely dead, or our own that is not needed.
    End(LeaseId),
    /// Transfer the leadership in favour of a node that is better placed: end the lease, step down.
    Resign(LeaseId),
    /// Begin to lead.
    Lead {
        /// Term that was won.
        term: Term,
        /// Version of the leader's key.
        version: Version,
    },
    /// Stop leading.
    StepDown,
}

/// What a read of the keys below `lead/` showed.
#[derive(Clone, Debug, Default)]
pub struct Seen {
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
pub struct Leadership {
    node: String,
    incarnation: u64,
    ttl: Duration,
    /// Where this controller is.
    pub role: Role,
    /// The highest term seen anywhere, and who leads it, if known.
    pub term: Term,
    /// Who leads, by the last word heard.
    pub leader: Option<String>,
    valid_until: Time,
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

impl Leadership {
    /// A controller that knows nothing yet. `seed` tells this process from others of its name.
    pub fn new(node: &str, ttl: Duration, seed: u64) -> Leadership {
        let mut random = fastrand::Rng::with_seed(seed);
        Leadership {
            node: node.to_owned(),
            incarnation: random.u64(..),
            ttl,
            role: Role::Following,
            term: Term(0),
            leader: None,
            valid_until: Time::default(),
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
    pub fn is_certain(&self, now: Time) -> bool {
        now < self.valid_until()
    }

    /// Until when the own lease surely stands, as far as is known now.
    pub fn valid_until(&self) -> Time {
        if self.is_leading() {
            self.valid_until
        } else {
            Time::default()
        }
    }

    /// When [`Leadership::tick`] will have something to do, if nothing happens before. While a request
    /// is under way only its end does, which wakes the node by itself: waiting for a moment that has
    /// passed would be no waiting at all.
    pub fn next_wake(&self) -> Time {
        match self.role {
            Role::Leading { .. } if self.renewing => Time(u64::MAX),
            Role::Leading { .. } => self.renew_at,
            Role::Following => {
                let pending = self
                    .reading
                    .map_or(Time::default(), |at| at.after(READ_LIMIT));
                self.next_read.max(pending)
            }
            Role::Granting { .. } | Role::Claiming { .. } => Time(u64::MAX),
        }
    }

    /// What is due by time alone.
    pub fn tick(&mut self, now: Time) -> Option<LeadershipAction> {
        match self.role {
            Role::Leading { lease, .. } => {
                if self.renewing || now < self.renew_at {
                    return None;
                }
                self.renewing = true;
                self.renew_at = now.after(self.ttl / 3);
                Some(LeadershipAction::Renew(lease))
            }
            Role::Following => {
                let pending = self.reading.is_some_and(|at| now < at.after(READ_LIMIT));
                if pending || now < self.next_read {
                    return None;
                }
                self.reading = Some(now);
                self.schedule_read(now);
                Some(LeadershipAction::Read)
            }
            Role::Granting { .. } | Role::Claiming { .. } => None,
        }
    }

    fn schedule_read(&mut self, now: Time) {
        // Random, so that candidates seldom meet.
        let pause = READ_EVERY.mul_f64(0.75 + 0.5 * self.random.f64());
        self.next_read = now.after(pause);
    }

    /// Someone speaks of a term: a worker's report, a peer, the state service.
    pub fn heard_of(&mut self, term: Term, leader: Option<&str>) -> Option<LeadershipAction> {
        if term < self.term {
            return None;
        }
        if term > self.term {
            self.term = term;
            self.leader = None;
            self.confirmed_at = None;
        }
        if let Some(leader) = leader.filter(|l| *l != self.node) {
            self.leader = Some(leader.to_owned());
        }
        match self.role {
            Role::Leading { term: ours, .. } if term > ours => Some(self.step_down()),
            _ => None,
        }
    }

    /// Transfers the leadership, unless that was done a short while ago.
    pub fn resign(&mut self, now: Time) -> Option<LeadershipAction> {
        let Role::Leading { lease, .. } = self.role else {
            return None;
        };
        if self.transferred_leadership(now) {
            return None;
        }
        self.resigned_at = Some(now);
        self.step_down();
        Some(LeadershipAction::Resign(lease))
    }

    /// Whether this node transferred the leadership a short while ago.
    pub fn transferred_leadership(&self, now: Time) -> bool {
        self.resigned_at.is_some_and(|at| now.since(at) < REST * 10)
    }

    /// Proof came that another leads.
    pub fn step_down(&mut self) -> LeadershipAction {
        self.enter(Role::Following);
        // A read under way may still show our key; what the lease was good for ended here.
        self.valid_until = Time::default();
        if self.leader.as_deref() == Some(&self.node) {
            self.leader = None;
        }
        self.renewing = false;
        self.next_read = Time::default();
        LeadershipAction::StepDown
    }

    /// `sent` is when the read was sent: an answer that lay here for long, as this process stood
    /// still, tells how things were and not how they are.
    pub fn on_read(
        &mut self,
        seen: Option<Seen>,
        sent: Time,
        now: Time,
    ) -> Option<LeadershipAction> {
        self.reading = None;
        let seen = seen.filter(|_| now.since(sent) < READ_LIMIT)?;
        if self.role != Role::Following {
            return None;
        }
        let (term, term_version) = seen.term.unwrap_or((Term(0), Version(0)));
        let Some((holder, version)) = seen.holder else {
            self.confirmed_at = None;
            if term >= self.term {
                self.term = term;
                self.leader = None;
            }
            let since = *self.free_since.get_or_insert(now);
            let resting = self.resigned_at.is_some_and(|at| now.since(at) < REST);
            if now.since(since) < self.campaign_delay || resting {
                return None;
            }
            self.enter(Role::Granting {
                term: Term(term.0 + 1),
                term_version,
            });
            return Some(LeadershipAction::Grant(self.ttl));
        };
        self.free_since = None;
        if holder.node == self.node {
            if holder.incarnation == self.incarnation {
                // A claim thought lost was carried out.
                return Some(self.lead(holder.lease, holder.term, version, now));
            }
            // This node's earlier process: it is dead, or this one would not run.
            return Some(LeadershipAction::End(holder.lease));
        }
        let action = self.heard_of(holder.term, Some(&holder.node));
        if holder.term == self.term {
            self.confirmed_at = Some(now);
        }
        action
    }

    /// The term and the leader that the state service confirmed a moment ago.
    pub fn confirmed(&self, now: Time) -> Option<(Term, &str)> {
        let fresh = self.confirmed_at.is_some_and(|at| now.since(at) < FRESH);
        let leader = self
            .leader
            .as_deref()
            .filter(|_| fresh && self.role == Role::Following);
        leader.map(|leader| (self.term, leader))
    }

    fn lead(
        &mut self,
        lease: LeaseId,
        term: Term,
        version: Version,
        now: Time,
    ) -> LeadershipAction {
        self.term = term;
        self.leader = Some(self.node.clone());
        self.enter(Role::Leading {
            lease,
            term,
            version,
        });
        // A renewal at once: the time of the grant is not known for sure any more.
        self.renewing = false;
        self.renew_at = Time::default();
        self.valid_until = self.valid_until.max(now);
        LeadershipAction::Lead { term, version }
    }

    /// Takes in the outcome of one of the election's requests.
    pub fn on_outcome(
        &mut self,
        step: Step,
        outcome: Outcome,
        sent: Time,
        now: Time,
    ) -> Option<LeadershipAction> {
        match (step, &self.role, outcome) {
            (Step::Grant, Role::Granting { term, term_version }, Outcome::Granted(lease)) => {
                let (term, term_version) = (*term, *term_version);
                self.valid_until = sent.after(self.ttl.mul_f64(DRIFT));
                self.enter(Role::Claiming { lease, term });
                Some(LeadershipAction::Claim(self.claim(
                    lease,
                    term,
                    term_version,
                )))
            }
            (Step::Claim, Role::Claiming { lease, term }, Outcome::Committed(version)) => {
                let (lease, term) = (*lease, *term);
                Some(self.lead(lease, term, version, now))
            }
            (Step::Claim, Role::Claiming { lease, .. }, Outcome::Conflict(_)) => {
                let lease = *lease;
                self.enter(Role::Following);
                self.schedule_read(now);
                Some(LeadershipAction::End(lease))
            }
            (Step::Grant | Step::Claim, Role::Granting { .. } | Role::Claiming { .. }, _) => {
                // Whatever became of it, the next read shows.
                self.enter(Role::Following);
                self.schedule_read(now);
                None
            }
            (Step::Renew(of), Role::Leading { lease, .. }, outcome) if of == *lease => {
                self.renewing = false;
                match outcome {
                    Outcome::Extended => {
                        self.valid_until = sent.after(self.ttl.mul_f64(DRIFT));
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
