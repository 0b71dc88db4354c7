//! Runs a holder against a store, for programs that block.

use std::time::{Duration, Instant};

use lichencrank_store::{ConditionalStore, Time};

use crate::admission::AdmissionRequest;
use crate::client::{ClientConfig, QuotaClient, QuotaEvent};
use crate::ids::{AdmissionId, ClientName, TeamName};
use crate::policy::QuotaPolicy;

/// How long to wait where there is nothing to do but to wait.
const IDLE_WAIT: Duration = Duration::from_millis(2);

/// A holder with its store. One request to the store is under way at a time, within [`Self::step`].
pub struct BlockingQuotaClient<S> {
    holder: QuotaClient,
    store: S,
    began: Instant,
    stepped_at: Time,
    pause_limit: Duration,
}

impl<S: ConditionalStore> BlockingQuotaClient<S> {
    /// A holder against that store.
    pub fn new(config: ClientConfig, store: S) -> BlockingQuotaClient<S> {
        let pause_limit = config.reconfirm_after;
        BlockingQuotaClient {
            holder: QuotaClient::new(config),
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

    /// Gives up another holder; see [`QuotaClient::reclaim`].
    pub fn reclaim(&mut self, team: TeamName, holder: ClientName) {
        self.holder.reclaim(team, holder);
    }

    /// Brings a policy into the store; see [`QuotaClient::set_policy`].
    pub fn set_policy(&mut self, policy: QuotaPolicy) {
        self.holder.set_policy(policy);
    }

    /// Looks at what an earlier process of this name had charged.
    pub fn recover_team(&mut self, team: &TeamName) {
        self.holder.recover_team(team);
    }

    /// The holder, to look at.
    pub fn client(&self) -> &QuotaClient {
        &self.holder
    }

    /// Does one request to the store, if there is one to do, and tells what was decided. Waits a moment
    /// otherwise.
    pub fn step(&mut self) -> Vec<QuotaEvent> {
        let now = self.now();
        if now.since(self.stepped_at) > self.pause_limit {
            self.holder.on_process_resumed();
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
        self.holder.take_events()
    }

    fn now(&self) -> Time {
        Time(self.began.elapsed().as_millis() as u64)
    }
}
