//! Runs a holder against a store, for programs that block.

use std::time::{Duration, Instant};

use lichencrank_store::{ConditionalStore, Time};

use crate::admission::AdmissionRequest;
use crate::holder::{Decision, Holder, HolderConfig};
use crate::ids::{AdmissionId, ClientName, TeamName};
use crate::policy::QuotaPolicy;

/// How long to wait where there is nothing to do but to wait.
const IDLE_WAIT: Duration = Duration::from_millis(2);

/// A holder with its store. One request to the store is under way at a time, within [`Self::step`].
pub struct BlockingQuota<S> {
    holder: Holder,
    store: S,
    began: Instant,
    stepped_at: Time,
    pause_limit: Duration,
}

impl<S: ConditionalStore> BlockingQuota<S> {
    /// A holder against that store.
    pub fn new(config: HolderConfig, store: S) -> BlockingQuota<S> {
        let pause_limit = config.confirm_after;
        BlockingQuota {
            holder: Holder::new(config),
            store,
            began: Instant::now(),
            stepped_at: Time::default(),
            pause_limit,
        }
    }

    /// Asks for an admission; [`Self::step`] tells what was decided.
    pub fn request(&mut self, request: AdmissionRequest) {
        self.holder.request(request);
    }

    /// It is proven that the work has ended, or never will begin.
    pub fn release(&mut self, id: AdmissionId) {
        self.holder.release(id);
    }

    /// Gives up another holder; see [`Holder::reclaim`].
    pub fn reclaim(&mut self, team: TeamName, holder: ClientName) {
        self.holder.reclaim(team, holder);
    }

    /// Brings a policy into the store; see [`Holder::set_policy`].
    pub fn set_policy(&mut self, policy: QuotaPolicy) {
        self.holder.set_policy(policy);
    }

    /// Looks at what an earlier process of this name had charged.
    pub fn open_account(&mut self, team: &TeamName) {
        self.holder.open_account(team);
    }

    /// The holder, to look at.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Does one request to the store, if there is one to do, and tells what was decided. Waits a moment
    /// otherwise.
    pub fn step(&mut self) -> Vec<Decision> {
        let now = self.now();
        if now.since(self.stepped_at) > self.pause_limit {
            self.holder.resumed_after_pause();
        }
        match self.holder.poll(now) {
            Some(request) => {
                let outcome = self.store.execute(&request);
                let answered = self.now();
                self.holder.on_outcome(answered, outcome);
            }
            None => std::thread::sleep(IDLE_WAIT),
        }
        self.stepped_at = self.now();
        self.holder.take_decisions()
    }

    fn now(&self) -> Time {
        Time(self.began.elapsed().as_millis() as u64)
    }
}
