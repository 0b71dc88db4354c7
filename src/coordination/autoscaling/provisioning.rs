//! Hosts requested from the cloud and released to it, the results of these requests, and the recent demand that scaling
//! decisions are based on.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::coordination::cluster::{HostAttributes, ProvisionedHosts};
use crate::coordination::{Action, Leader, View};
use crate::protocol::cloud::{
    ListedHost, ProvisionRequest, MAX_PROVISION_COUNT, MAX_RELEASE_COUNT,
};
use crate::protocol::users::JobSpec;
use crate::types::{HostName, Term, Time};

/// A pool that hosts are provisioned from: a machine type in a zone, spot or on-demand. Each has a capacity of its own,
/// which the cloud does not publish.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CapacityPool {
    /// Index of the machine type.
    pub type_index: usize,
    /// Zone of the hosts.
    pub zone: String,
    /// Spot hosts rather than on-demand ones.
    pub is_spot: bool,
}

/// The result of a provisioning request.
#[derive(Debug, PartialEq)]
pub enum ProvisionResult {
    /// These hosts were provisioned, perhaps fewer than requested.
    Provisioned(Vec<HostName>),
    /// The pool has no capacity.
    NoCapacity,
    /// The request was certainly not executed.
    Refused,
    /// The request may have been executed, so it has to be repeated under the same name.
    Unknown,
}

/// A provisioning request without a known result.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) request: ProvisionRequest,
    pub(crate) pool: CapacityPool,
    requested_at: Time,
    /// When to repeat it, if its last result was [`ProvisionResult::Unknown`].
    retry_at: Option<Time>,
}

/// The hosts being provisioned and released, and the recent demand.
#[derive(Debug)]
pub struct Autoscaler {
    term: Term,
    /// Number of the last provisioning request of this term.
    request_counter: u64,
    /// Provisioning requests without a known result, by their names.
    pub(crate) pending_requests: BTreeMap<String, PendingRequest>,
    /// Pools whose last request got no host or fewer than it asked for, and when the next request may be sent to each.
    pub(crate) pool_backoff_until: BTreeMap<CapacityPool, Time>,
    release_queue: VecDeque<HostName>,
    releases_in_flight: BTreeSet<HostName>,
    next_release_at: Time,
    next_evaluation_at: Time,
    /// Indices of the machine types that were scarce at any time in this term.
    known_scarce_types: BTreeSet<usize>,
    /// The recent demand in CPUs: on the types that are not scarce, then on the scarce ones.
    pub(crate) demand_cpus: [SlidingMaximum; 2],
    /// The recent demand in CPUs of jobs that may not use spot hosts.
    pub(crate) on_demand_only_cpus: SlidingMaximum,
    /// Recently submitted jobs.
    arrivals: VecDeque<Arrival>,
    /// Classes of which this leader has seen a job.
    pub(crate) seen_classes: BTreeSet<String>,
}

/// The maximum of the values recorded within a sliding window of time.
#[derive(Debug, Default)]
pub(crate) struct SlidingMaximum {
    /// Samples in the order of time, with decreasing values.
    samples: VecDeque<(Time, f64)>,
}

impl SlidingMaximum {
    /// Records a value and returns the maximum of the window that ends now.
    pub(crate) fn record(&mut self, now: Time, value: f64, window: Duration) -> f64 {
        // A sample that a later one equals or exceeds can no longer be the maximum.
        while self.samples.back().is_some_and(|(_, v)| *v <= value) {
            self.samples.pop_back();
        }
        self.samples.push_back((now, value));
        while self
            .samples
            .front()
            .is_some_and(|(at, _)| now.since(*at) > window)
        {
            self.samples.pop_front();
        }
        self.samples.front().map_or(value, |(_, v)| *v)
    }
}

/// The arrival forecast expects jobs at the rate at which they were submitted within this window.
pub const ARRIVAL_WINDOW: Duration = Duration::from_secs(90);
/// Recently submitted jobs that are kept for the arrival forecast.
const MAX_ARRIVALS: usize = 1000;
/// Job classes that are remembered as seen.
const MAX_SEEN_CLASSES: usize = 1000;
/// Interval between two evaluations of which hosts are cordoned, released and provisioned, on an empty cluster.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(500);
/// Added to the evaluation interval for each known host, so that evaluations take the same share of the processor at
/// any cluster size.
const EVALUATION_INTERVAL_PER_HOST: Duration = Duration::from_micros(500);
/// How long no request is sent to a pool that had less capacity than requested.
const NO_CAPACITY_BACKOFF: Duration = Duration::from_secs(15);
/// Delay before the next attempt after a request to the cloud was refused or got no response.
const RETRY_DELAY: Duration = Duration::from_secs(2);

impl Autoscaler {
    /// The autoscaler of a new leader.
    pub fn new(term: Term) -> Autoscaler {
        Autoscaler {
            term,
            request_counter: 0,
            pending_requests: BTreeMap::new(),
            pool_backoff_until: BTreeMap::new(),
            release_queue: VecDeque::new(),
            releases_in_flight: BTreeSet::new(),
            next_release_at: Time::default(),
            next_evaluation_at: Time::default(),
            known_scarce_types: BTreeSet::new(),
            demand_cpus: Default::default(),
            on_demand_only_cpus: SlidingMaximum::default(),
            arrivals: VecDeque::new(),
            seen_classes: BTreeSet::new(),
        }
    }

    /// Adds a job to the recent arrivals, and its class to the classes seen.
    pub(crate) fn on_job_arrived(&mut self, submitted_at: Time, spec: &JobSpec) {
        let arrival = Arrival {
            submitted_at,
            spec: Box::new(spec.clone()),
        };
        self.arrivals.push_back(arrival);
        if self.arrivals.len() > MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
        if !self.seen_classes.contains(&spec.class) && self.seen_classes.len() < MAX_SEEN_CLASSES {
            self.seen_classes.insert(spec.class.clone());
        }
    }

    /// The jobs submitted within [`ARRIVAL_WINDOW`].
    pub(crate) fn recent_arrivals(&self, now: Time) -> impl Iterator<Item = &JobSpec> {
        let is_recent = move |a: &&Arrival| now.since(a.submitted_at) <= ARRIVAL_WINDOW;
        self.arrivals.iter().filter(is_recent).map(|a| &*a.spec)
    }

    /// Drops the arrivals before [`ARRIVAL_WINDOW`], and returns the others, each with its age in seconds.
    pub(crate) fn arrivals_with_age_s(&mut self, now: Time) -> Vec<(f64, Box<JobSpec>)> {
        self.arrivals
            .retain(|a| now.since(a.submitted_at) <= ARRIVAL_WINDOW);
        let arrivals = self.arrivals.iter();
        arrivals
            .map(|a| (now.since(a.submitted_at).as_secs_f64(), a.spec.clone()))
            .collect()
    }

    /// Queues a host for release, unless it is queued or being released already.
    pub fn queue_release(&mut self, name: HostName) {
        if !self.releases_in_flight.contains(&name) && !self.release_queue.contains(&name) {
            self.release_queue.push_back(name);
        }
    }

    /// Indices of the machine types that were scarce at any time in this term, even if no active job needs them now.
    pub fn known_scarce_types(&self) -> impl Iterator<Item = &usize> {
        self.known_scarce_types.iter()
    }
}

/// A recently submitted job. The arrival forecast expects a job like it in the next window.
#[derive(Debug)]
struct Arrival {
    submitted_at: Time,
    spec: Box<JobSpec>,
}

impl View<'_> {
    /// Whether no request may be sent to the pool now: a recent request was not fulfilled, or the pool's zone is closed
    /// to provisioning.
    pub(crate) fn is_pool_unavailable(&self, pool: &CapacityPool, now: Time) -> bool {
        let backoff_until = self.autoscaler.pool_backoff_until.get(pool);
        backoff_until.is_some_and(|until| now < *until) || !self.may_provision_in_zone(&pool.zone)
    }
}

impl Leader {
    /// Sends queued releases and repeats requests; at intervals it also decides which hosts are cordoned, released and
    /// provisioned.
    pub(crate) fn run_autoscaler(&mut self, now: Time) {
        self.send_releases(now);
        self.repeat_unknown_requests(now);
        if now < self.autoscaler.next_evaluation_at {
            return;
        }
        let interval =
            EVALUATION_INTERVAL + EVALUATION_INTERVAL_PER_HOST * self.cluster.hosts().len() as u32;
        self.autoscaler.next_evaluation_at = now.after(interval);
        let scarce_types = self.view().scarce_types();
        let by_index = scarce_types.iter().enumerate();
        self.autoscaler.known_scarce_types.extend(
            by_index
                .filter(|(_, is_scarce)| **is_scarce)
                .map(|(type_index, _)| type_index),
        );
        self.cordon_surplus_hosts(&scarce_types, now);
        self.release_empty_hosts(now);
        self.scale_out(&scarce_types, now);
        self.provision_standby(now);
    }

    /// Sends one release request for as many queued hosts as it may name.
    fn send_releases(&mut self, now: Time) {
        if self.autoscaler.release_queue.is_empty() || now < self.autoscaler.next_release_at {
            return;
        }
        let count = self.autoscaler.release_queue.len().min(MAX_RELEASE_COUNT);
        let names: Vec<HostName> = self.autoscaler.release_queue.drain(..count).collect();
        self.autoscaler
            .releases_in_flight
            .extend(names.iter().cloned());
        self.actions.push(Action::ScaleIn(names));
    }

    /// Handles the result of a release request. `is_confirmed` says whether the cloud has answered that the hosts are
    /// gone.
    pub fn on_release_result(&mut self, names: &[HostName], is_confirmed: bool, now: Time) {
        for name in names {
            self.autoscaler.releases_in_flight.remove(name);
        }
        if is_confirmed {
            tracing::info!("released {} hosts", names.len());
            self.on_hosts_gone(names, now);
        } else {
            // The request may have been executed; releases are idempotent, so it is repeated.
            self.autoscaler.release_queue.extend(names.iter().cloned());
            self.autoscaler.next_release_at = now.after(RETRY_DELAY);
        }
    }

    /// Repeats the provisioning requests whose results are unknown, under the same names.
    fn repeat_unknown_requests(&mut self, now: Time) {
        for pending in self.autoscaler.pending_requests.values_mut() {
            if pending.retry_at.is_some_and(|at| now >= at) {
                pending.retry_at = None;
                self.actions.push(Action::ScaleOut(pending.request.clone()));
            }
        }
    }

    /// Handles the result of a provisioning request.
    pub fn on_provision_result(&mut self, request_name: &str, result: ProvisionResult, now: Time) {
        let Some(mut pending) = self.autoscaler.pending_requests.remove(request_name) else {
            return;
        };
        match result {
            ProvisionResult::Provisioned(names) => self.on_provisioned(pending, names, now),
            ProvisionResult::NoCapacity => {
                tracing::info!(
                    "no capacity: machine type {}, zone {}, spot: {}",
                    pending.request.machine_type,
                    pending.pool.zone,
                    pending.pool.is_spot
                );
                self.autoscaler
                    .pool_backoff_until
                    .insert(pending.pool, now.after(NO_CAPACITY_BACKOFF));
            }
            ProvisionResult::Refused => {
                self.autoscaler
                    .pool_backoff_until
                    .insert(pending.pool, now.after(RETRY_DELAY));
            }
            ProvisionResult::Unknown => {
                pending.retry_at = Some(now.after(RETRY_DELAY));
                self.autoscaler
                    .pending_requests
                    .insert(request_name.to_owned(), pending);
            }
        }
    }

    fn on_provisioned(&mut self, pending: PendingRequest, names: Vec<HostName>, now: Time) {
        let CapacityPool {
            type_index,
            zone,
            is_spot,
        } = pending.pool.clone();
        tracing::info!(
            "provisioned {} hosts of machine type {}, zone {zone}, spot: {is_spot}",
            names.len(),
            pending.request.machine_type
        );
        if (names.len() as u64) < pending.request.count {
            self.autoscaler
                .pool_backoff_until
                .insert(pending.pool, now.after(NO_CAPACITY_BACKOFF));
        } else if !self.view().is_pool_unavailable(&pending.pool, now) {
            self.autoscaler.pool_backoff_until.remove(&pending.pool);
        }
        self.cluster.add_provisioned(
            ProvisionedHosts {
                names,
                attributes: HostAttributes {
                    type_index: Some(type_index),
                    zone,
                    is_spot,
                },
                requested_at: pending.requested_at,
            },
            now,
        );
    }

    /// Applies the cloud's complete list of hosts and queues failed hosts for release. The list lags, so a host missing
    /// from it may still exist; one that was provisioned within twice the longest lag need not be listed yet.
    pub fn on_host_list(&mut self, listed: &[ListedHost], now: Time) {
        let max_lag = self.policy.max_host_list_lag * 2;
        for failed_host in self.cluster.on_host_list(listed, max_lag, now) {
            self.autoscaler.queue_release(failed_host);
        }
    }

    /// Requests hosts from the pool, as far as the provisioning budget allows. Each request asks for at most
    /// [`MAX_PROVISION_COUNT`].
    pub(crate) fn request_hosts(&mut self, pool: CapacityPool, count: u64, now: Time) {
        let mut count = self.take_from_provisioning_budget(count, now);
        while count > 0 {
            let hosts_in_request = count.min(MAX_PROVISION_COUNT);
            count -= hosts_in_request;
            self.autoscaler.request_counter += 1;
            let request_name = format!(
                "r-{}-{}",
                self.autoscaler.term, self.autoscaler.request_counter
            );
            let request = ProvisionRequest {
                name: request_name.clone(),
                machine_type: self.cluster.machine_types()[pool.type_index].name.clone(),
                zone: pool.zone.clone(),
                is_spot: pool.is_spot,
                count: hosts_in_request,
            };
            let pending = PendingRequest {
                request: request.clone(),
                pool: pool.clone(),
                requested_at: now,
                retry_at: None,
            };
            self.autoscaler
                .pending_requests
                .insert(request_name, pending);
            self.actions.push(Action::ScaleOut(request));
        }
    }
}
