//! The machines themselves: what is rented and returned, and what the cloud says of it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::coordination::cluster::ProvisionedHosts;
use crate::coordination::{Action, Leader, View};
use crate::protocol::cloud::{
    ListedHost, ProvisionRequest, MAX_PROVISION_COUNT, MAX_RELEASE_COUNT,
};
use crate::protocol::users::JobSpec;
use crate::types::{HostName, Term, Time};

/// A pool that machines are provisioned from: a machine type in a zone, spot or on-demand. Each has a
/// capacity of its own, which the cloud does not publish.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CapacityPool {
    /// Index of the machine type.
    pub type_index: usize,
    /// Zone in which the machines are.
    pub zone: String,
    /// Spot machines rather than on-demand ones.
    pub spot: bool,
}

/// What became of a request to rent machines.
#[derive(Debug, PartialEq)]
pub enum ProvisionResult {
    /// These were rented.
    Provisioned(Vec<HostName>),
    /// The cloud has none of that type, zone and kind.
    NoCapacity,
    /// Surely not carried out.
    Refused,
    /// Perhaps carried out: the same request has to be repeated.
    Unknown,
}

#[derive(Debug)]
pub(crate) struct OpenRental {
    pub(crate) rental: ProvisionRequest,
    pub(crate) pool: CapacityPool,
    at: Time,
    retry_at: Option<Time>,
}

/// What is rented and returned, and the demand that decides it.
#[derive(Debug)]
pub struct Autoscaler {
    term: Term,
    counter: u64,
    pub(crate) rentals: BTreeMap<String, OpenRental>,
    /// Markets that had nothing to give, until when they are left alone.
    pub(crate) closed: BTreeMap<CapacityPool, Time>,
    to_release: VecDeque<HostName>,
    releasing: BTreeSet<HostName>,
    release_at: Time,
    look_at: Time,
    scarce: BTreeSet<usize>,
    /// The recent demand on the common and on the scarce types.
    pub(crate) peaks: [Peak; 2],
    /// The same of work that may use ordinary machines only.
    pub(crate) ordinary_peak: Peak,
    /// The jobs of the last while.
    arrivals: VecDeque<Arrival>,
    /// Classes of which this leader has seen a job.
    pub(crate) seen_classes: BTreeSet<String>,
}

/// The highest of the values noted within a window of time.
#[derive(Debug, Default)]
pub(crate) struct Peak {
    noted: VecDeque<(Time, f64)>,
}

impl Peak {
    pub(crate) fn note(&mut self, now: Time, value: f64, window: Duration) -> f64 {
        // Values that a later one reaches can't be the highest any more.
        while self.noted.back().is_some_and(|(_, v)| *v <= value) {
            self.noted.pop_back();
        }
        self.noted.push_back((now, value));
        while self
            .noted
            .front()
            .is_some_and(|(at, _)| now.since(*at) > window)
        {
            self.noted.pop_front();
        }
        self.noted.front().map_or(value, |(_, v)| *v)
    }
}

/// What came in this time is taken for the usual rhythm.
pub const ARRIVALS_FOR: Duration = Duration::from_secs(90);
const MAX_ARRIVALS: usize = 1000;
/// Classes that are remembered.
const MAX_CLASSES: usize = 1000;
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// Each machine known makes the looks this much rarer, so that they take the same share of the
/// processor at any size.
const LOOK_PER_HOST: Duration = Duration::from_micros(500);
const CLOSED_FOR: Duration = Duration::from_secs(15);
const RETRY_AFTER: Duration = Duration::from_secs(2);

impl Autoscaler {
    /// The fleet of a new leader.
    pub fn new(term: Term) -> Autoscaler {
        Autoscaler {
            term,
            counter: 0,
            rentals: BTreeMap::new(),
            closed: BTreeMap::new(),
            to_release: VecDeque::new(),
            releasing: BTreeSet::new(),
            release_at: Time::default(),
            look_at: Time::default(),
            scarce: BTreeSet::new(),
            peaks: Default::default(),
            ordinary_peak: Peak::default(),
            arrivals: VecDeque::new(),
            seen_classes: BTreeSet::new(),
        }
    }

    /// Notes a job that was submitted at that time.
    pub(crate) fn on_job_arrived(&mut self, at: Time, spec: &JobSpec) {
        let arrival = Arrival {
            at,
            spec: Box::new(spec.clone()),
        };
        self.arrivals.push_back(arrival);
        if self.arrivals.len() > MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
        if !self.seen_classes.contains(&spec.class) && self.seen_classes.len() < MAX_CLASSES {
            self.seen_classes.insert(spec.class.clone());
        }
    }

    /// The jobs that came in the last while.
    pub(crate) fn lately(&self, now: Time) -> impl Iterator<Item = &JobSpec> {
        let recent = move |a: &&Arrival| now.since(a.at) <= ARRIVALS_FOR;
        self.arrivals.iter().filter(recent).map(|a| &*a.spec)
    }

    /// What came in the last while, and how long ago.
    pub(crate) fn coming(&mut self, now: Time) -> Vec<(f64, Box<JobSpec>)> {
        self.arrivals.retain(|a| now.since(a.at) <= ARRIVALS_FOR);
        let arrivals = self.arrivals.iter();
        arrivals
            .map(|a| (now.since(a.at).as_secs_f64(), a.spec.clone()))
            .collect()
    }

    /// Queues a machine to be returned.
    pub fn queue_release(&mut self, name: HostName) {
        if !self.releasing.contains(&name) && !self.to_release.contains(&name) {
            self.to_release.push_back(name);
        }
    }

    /// Types that some work of this term could not do without, even if none is here just now.
    pub fn known_scarce_types(&self) -> impl Iterator<Item = &usize> {
        self.scarce.iter()
    }
}

/// A job that came lately. The same is likely to come again as soon as it did.
#[derive(Debug)]
struct Arrival {
    at: Time,
    spec: Box<JobSpec>,
}

impl View<'_> {
    pub(crate) fn is_closed(&self, pool: &CapacityPool, now: Time) -> bool {
        let closed = self.autoscaler.closed.get(pool);
        closed.is_some_and(|until| now < *until) || !self.may_provision_in_zone(&pool.zone)
    }
}

impl Leader {
    pub(crate) fn run_autoscaler(&mut self, now: Time) {
        self.send_releases(now);
        self.repeat_rentals(now);
        if now < self.autoscaler.look_at {
            return;
        }
        let pause = LOOK_EVERY + LOOK_PER_HOST * self.cluster.hosts().len() as u32;
        self.autoscaler.look_at = now.after(pause);
        let scarce = self.view().scarce_types();
        let kinds = scarce.iter().enumerate();
        self.autoscaler
            .scarce
            .extend(kinds.filter(|(_, s)| **s).map(|(kind, _)| kind));
        self.cordon_surplus(&scarce, now);
        self.return_empty(now);
        self.rent(&scarce, now);
        self.provision_standby(now);
    }

    fn send_releases(&mut self, now: Time) {
        if self.autoscaler.to_release.is_empty() || now < self.autoscaler.release_at {
            return;
        }
        let count = self.autoscaler.to_release.len().min(MAX_RELEASE_COUNT);
        let names: Vec<HostName> = self.autoscaler.to_release.drain(..count).collect();
        self.autoscaler.releasing.extend(names.iter().cloned());
        self.actions.push(Action::ScaleIn(names));
    }

    /// Takes in the answer to a return of machines.
    pub fn on_release_result(&mut self, names: &[HostName], confirmed: bool, now: Time) {
        for name in names {
            self.autoscaler.releasing.remove(name);
        }
        if confirmed {
            tracing::info!("returned {} machines", names.len());
            self.on_hosts_gone(names, now);
        } else {
            // Perhaps it was carried out; repeating it does no harm.
            self.autoscaler.to_release.extend(names.iter().cloned());
            self.autoscaler.release_at = now.after(RETRY_AFTER);
        }
    }

    fn repeat_rentals(&mut self, now: Time) {
        for open in self.autoscaler.rentals.values_mut() {
            if open.retry_at.is_some_and(|at| now >= at) {
                open.retry_at = None;
                self.actions.push(Action::ScaleOut(open.rental.clone()));
            }
        }
    }

    /// Takes in the answer to a request to rent machines.
    pub fn on_provision_result(&mut self, request: &str, result: ProvisionResult, now: Time) {
        let Some(mut open) = self.autoscaler.rentals.remove(request) else {
            return;
        };
        match result {
            ProvisionResult::Provisioned(names) => self.on_provisioned(open, names, now),
            ProvisionResult::NoCapacity => {
                tracing::info!(
                    "no capacity: {}, {}, spot {}",
                    open.rental.machine_type,
                    open.pool.zone,
                    open.pool.spot
                );
                self.autoscaler
                    .closed
                    .insert(open.pool, now.after(CLOSED_FOR));
            }
            ProvisionResult::Refused => {
                self.autoscaler
                    .closed
                    .insert(open.pool, now.after(RETRY_AFTER));
            }
            ProvisionResult::Unknown => {
                open.retry_at = Some(now.after(RETRY_AFTER));
                self.autoscaler.rentals.insert(request.to_owned(), open);
            }
        }
    }

    fn on_provisioned(&mut self, open: OpenRental, names: Vec<HostName>, now: Time) {
        let CapacityPool {
            type_index,
            zone,
            spot,
        } = open.pool.clone();
        tracing::info!(
            "rented {} of {}, {zone}, spot {spot}",
            names.len(),
            open.rental.machine_type
        );
        if (names.len() as u64) < open.rental.count {
            self.autoscaler
                .closed
                .insert(open.pool, now.after(CLOSED_FOR));
        } else if !self.view().is_closed(&open.pool, now) {
            self.autoscaler.closed.remove(&open.pool);
        }
        self.cluster.add_provisioned(
            ProvisionedHosts {
                names,
                type_index,
                zone,
                is_spot: spot,
                requested_at: open.at,
            },
            now,
        );
    }

    /// Takes in the cloud's list of hosts, whole. It lags: what it lacks proves nothing.
    pub fn on_host_list(&mut self, listed: &[ListedHost], now: Time) {
        let max_lag = self.policy.max_host_list_lag * 2;
        for failed in self.cluster.on_host_list(listed, max_lag, now) {
            self.autoscaler.queue_release(failed);
        }
    }

    /// Asks the cloud for machines, in requests of what one may hold.
    pub(crate) fn order(&mut self, pool: CapacityPool, count: u64, now: Time) {
        let mut count = self.take_from_provisioning_budget(count, now);
        while count > 0 {
            let part = count.min(MAX_PROVISION_COUNT);
            count -= part;
            self.autoscaler.counter += 1;
            let request = format!("r-{}-{}", self.autoscaler.term, self.autoscaler.counter);
            let rental = ProvisionRequest {
                name: request.clone(),
                machine_type: self.cluster.machine_types()[pool.type_index].name.clone(),
                zone: pool.zone.clone(),
                spot: pool.spot,
                count: part,
            };
            let open = OpenRental {
                rental: rental.clone(),
                pool: pool.clone(),
                at: now,
                retry_at: None,
            };
            self.autoscaler.rentals.insert(request, open);
            self.actions.push(Action::ScaleOut(rental));
        }
    }
}
