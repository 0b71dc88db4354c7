//! Runs a quota client against a store with blocking calls.

use std::thread;
use std::time::{Duration, Instant};

use lichencrank_store::{ConditionalStore, Time};

use crate::admission::AdmissionRequest;
use crate::client::{ClientConfig, QuotaClient, QuotaEvent};
use crate::ids::{AdmissionId, ClientName, TeamName};
use crate::policy::QuotaPolicy;

/// How long [`BlockingQuotaClient::step`] waits if there is no request to send.
const IDLE_WAIT: Duration = Duration::from_millis(2);

/// A quota client with its store. Requests to the store are sent within [`Self::step`], one at a time.
pub struct BlockingQuotaClient<S> {
    client: QuotaClient,
    store: S,
    started_at: Instant,
    last_step_at: Time,
    /// A longer time from one step to the next counts as a pause of the process.
    max_step_interval: Duration,
}

impl<S: ConditionalStore> BlockingQuotaClient<S> {
    /// Creates a client of that store.
    pub fn new(config: ClientConfig, store: S) -> BlockingQuotaClient<S> {
        let max_step_interval = config.reconfirm_after;
        BlockingQuotaClient {
            client: QuotaClient::new(config),
            store,
            started_at: Instant::now(),
            last_step_at: Time::default(),
            max_step_interval,
        }
    }

    /// Requests an admission; see [`QuotaClient::request`].
    pub fn request(&mut self, request: AdmissionRequest) {
        self.client.request(request);
    }

    /// Releases the charge of work that has ended; see [`QuotaClient::release`].
    pub fn release(&mut self, id: AdmissionId) {
        self.client.release(id);
    }

    /// Reclaims the unspent allowance of another client; see [`QuotaClient::reclaim`].
    pub fn reclaim(&mut self, team: TeamName, client: ClientName) {
        self.client.reclaim(team, client);
    }

    /// Writes a policy into the store; see [`QuotaClient::set_policy`].
    pub fn set_policy(&mut self, policy: QuotaPolicy) {
        self.client.set_policy(policy);
    }

    /// Reads the charges by earlier processes of this client name; see [`QuotaClient::recover_team`].
    pub fn recover_team(&mut self, team: &TeamName) {
        self.client.recover_team(team);
    }

    /// The client, for reading its state.
    pub fn client(&self) -> &QuotaClient {
        &self.client
    }

    /// Sends the next request to the store and waits for its outcome, or waits briefly if there is none.
    /// Returns the events since the last step.
    pub fn step(&mut self) -> Vec<QuotaEvent> {
        let now = self.now();
        if now.since(self.last_step_at) > self.max_step_interval {
            self.client.on_process_resumed();
        }
        match self.client.poll(now) {
            Some(request) => {
                let outcome = self.store.execute(&request);
                let answered_at = self.now();
                self.client.on_outcome(answered_at, outcome);
            }
            None => thread::sleep(IDLE_WAIT),
        }
        self.last_step_at = self.now();
        self.client.take_events()
    }

    fn now(&self) -> Time {
        Time(self.started_at.elapsed().as_millis() as u64)
    }
}
