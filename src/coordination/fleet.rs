//! The machines themselves: what is rented and returned, and what the cloud says of it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::hosts::{Cordon, Host, HostLifecycle};
use super::{Action, Controller};
use crate::protocol::cloud::{
    ListedHost, ListedHostState, ProvisionRequest, MAX_PROVISION_COUNT, MAX_RELEASE_COUNT,
};
use crate::protocol::users::JobSpec;
use crate::types::{HostName, Term, Time};

/// A type, a zone, and whether it is a spot machine.
pub type Market = (usize, String, bool);

/// What became of a request to rent machines.
#[derive(Debug, PartialEq)]
pub enum RentalResult {
    /// These were rented.
    Rented(Vec<HostName>),
    /// The cloud has none of that type, zone and kind.
    NoCapacity,
    /// Surely not carried out.
    Refused,
    /// Perhaps carried out: the same request has to be repeated.
    Unknown,
}

#[derive(Debug)]
pub(super) struct OpenRental {
    pub(super) rental: ProvisionRequest,
    pub(super) market: Market,
    at: Time,
    retry_at: Option<Time>,
}

/// What is rented and returned, and the demand that decides it.
#[derive(Debug)]
pub struct Fleet {
    term: Term,
    counter: u64,
    pub(super) rentals: BTreeMap<String, OpenRental>,
    /// Markets that had nothing to give, until when they are left alone.
    pub(super) closed: BTreeMap<Market, Time>,
    to_release: VecDeque<HostName>,
    releasing: BTreeSet<HostName>,
    release_at: Time,
    look_at: Time,
    scarce: BTreeSet<usize>,
    /// The recent demand on the common and on the scarce types.
    pub(super) peaks: [Peak; 2],
    /// The same of work that may use ordinary machines only.
    pub(super) ordinary_peak: Peak,
    /// The jobs of the last while.
    arrivals: VecDeque<Arrival>,
}

/// The highest of the values noted within a window of time.
#[derive(Debug, Default)]
pub(super) struct Peak {
    noted: VecDeque<(Time, f64)>,
}

impl Peak {
    pub(super) fn note(&mut self, now: Time, value: f64, window: Duration) -> f64 {
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
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// Each machine known makes the looks this much rarer, so that they take the same share of the
/// processor at any size.
const LOOK_PER_HOST: Duration = Duration::from_micros(500);
const CLOSED_FOR: Duration = Duration::from_secs(15);
const RETRY_AFTER: Duration = Duration::from_secs(2);

impl Fleet {
    /// The fleet of a new leader.
    pub fn new(term: Term) -> Fleet {
        Fleet {
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
        }
    }

    /// Notes a job that came at that time.
    pub fn arrived(&mut self, at: Time, spec: &JobSpec) {
        let spec = Box::new(spec.clone());
        self.arrivals.push_back(Arrival { at, spec });
        if self.arrivals.len() > MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
    }

    /// The jobs that came in the last while.
    pub(super) fn lately(&self, now: Time) -> impl Iterator<Item = &JobSpec> {
        let recent = move |a: &&Arrival| now.since(a.at) <= ARRIVALS_FOR;
        self.arrivals.iter().filter(recent).map(|a| &*a.spec)
    }

    /// What came in the last while, and how long ago.
    pub(super) fn coming(&mut self, now: Time) -> Vec<(f64, Box<JobSpec>)> {
        self.arrivals.retain(|a| now.since(a.at) <= ARRIVALS_FOR);
        let arrivals = self.arrivals.iter();
        arrivals
            .map(|a| (now.since(a.at).as_secs_f64(), a.spec.clone()))
            .collect()
    }

    /// Queues a machine to be returned.
    pub fn release(&mut self, name: HostName) {
        if !self.releasing.contains(&name) && !self.to_release.contains(&name) {
            self.to_release.push_back(name);
        }
    }

    /// Types that some work of this term could not do without, even if none is here just now.
    pub fn remembered_scarce(&self) -> impl Iterator<Item = &usize> {
        self.scarce.iter()
    }
}

/// A job that came lately. The same is likely to come again as soon as it did.
#[derive(Debug)]
struct Arrival {
    at: Time,
    spec: Box<JobSpec>,
}

impl Controller {
    pub(super) fn run_fleet(&mut self, now: Time) {
        self.send_releases(now);
        self.repeat_rentals(now);
        if now < self.fleet.look_at {
            return;
        }
        let pause = LOOK_EVERY + LOOK_PER_HOST * self.hosts.len() as u32;
        self.fleet.look_at = now.after(pause);
        let scarce = self.scarce_types();
        let kinds = scarce.iter().enumerate();
        self.fleet
            .scarce
            .extend(kinds.filter(|(_, s)| **s).map(|(kind, _)| kind));
        self.cordon_surplus(&scarce, now);
        self.return_empty(now);
        self.rent(&scarce, now);
        self.rent_standby(now);
    }

    fn send_releases(&mut self, now: Time) {
        if self.fleet.to_release.is_empty() || now < self.fleet.release_at {
            return;
        }
        let count = self.fleet.to_release.len().min(MAX_RELEASE_COUNT);
        let names: Vec<HostName> = self.fleet.to_release.drain(..count).collect();
        self.fleet.releasing.extend(names.iter().cloned());
        self.actions.push(Action::Release(names));
    }

    /// Takes in the answer to a return of machines.
    pub fn on_released(&mut self, names: &[HostName], confirmed: bool, now: Time) {
        for name in names {
            self.fleet.releasing.remove(name);
        }
        if confirmed {
            tracing::info!("returned {} machines", names.len());
            self.on_gone(names, now);
        } else {
            // Perhaps it was carried out; repeating it does no harm.
            self.fleet.to_release.extend(names.iter().cloned());
            self.fleet.release_at = now.after(RETRY_AFTER);
        }
    }

    fn repeat_rentals(&mut self, now: Time) {
        for open in self.fleet.rentals.values_mut() {
            if open.retry_at.is_some_and(|at| now >= at) {
                open.retry_at = None;
                self.actions.push(Action::Rent(open.rental.clone()));
            }
        }
    }

    /// Takes in the answer to a request to rent machines.
    pub fn on_rented(&mut self, request: &str, result: RentalResult, now: Time) {
        let Some(mut open) = self.fleet.rentals.remove(request) else {
            return;
        };
        match result {
            RentalResult::Rented(names) => {
                let (kind, zone, spot) = open.market.clone();
                tracing::info!(
                    "rented {} of {}, {zone}, spot {spot}",
                    names.len(),
                    open.rental.machine_type
                );
                if (names.len() as u64) < open.rental.count {
                    self.fleet.closed.insert(open.market, now.after(CLOSED_FOR));
                } else if !self.is_closed(&open.market, now) {
                    self.fleet.closed.remove(&open.market);
                }
                for name in names {
                    if self.released.contains_key(&name) {
                        continue;
                    }
                    let host = self
                        .hosts
                        .entry(name.clone())
                        .or_insert_with(|| Host::new(name, now));
                    host.kind = Some(kind);
                    host.zone = zone.clone();
                    host.spot = spot;
                    host.rented_at = open.at;
                }
            }
            RentalResult::NoCapacity => {
                tracing::info!(
                    "no capacity: {}, {}, spot {}",
                    open.rental.machine_type,
                    open.market.1,
                    open.market.2
                );
                self.fleet.closed.insert(open.market, now.after(CLOSED_FOR));
            }
            RentalResult::Refused => {
                self.fleet
                    .closed
                    .insert(open.market, now.after(RETRY_AFTER));
            }
            RentalResult::Unknown => {
                open.retry_at = Some(now.after(RETRY_AFTER));
                self.fleet.rentals.insert(request.to_owned(), open);
            }
        }
    }

    /// The cloud's list, whole. It lags: what it lacks proves nothing.
    pub fn on_listed(&mut self, listed: &[ListedHost], now: Time) {
        let names: BTreeSet<&HostName> = listed.iter().map(|item| &item.name).collect();
        for host in self.hosts.values_mut() {
            // Once listed, a machine stays listed until it is gone; only a list from before its
            // time could lack it, and that can't be any more. It is not proof for its bookings, but
            // the cloud's word when it is released is.
            let long_known = now.since(host.rented_at) > self.rules.list_lag * 2;
            host.unlisted = host.listed && long_known && !names.contains(&host.name);
        }
        for item in listed {
            if self.released.contains_key(&item.name) {
                continue;
            }
            let name = item.name.clone();
            let kind = self.types.iter().position(|t| t.name == item.machine_type);
            let host = self.hosts.entry(name.clone()).or_insert_with(|| {
                tracing::info!("{name}: found in the list");
                let mut host = Host::new(name.clone(), now);
                host.rented_at = Time(
                    now.0
                        .saturating_sub((item.age_s.0.max(0.0) * 1000.0) as u64),
                );
                host
            });
            host.kind = host.kind.or(kind);
            if host.zone.is_empty() {
                host.zone = item.zone.clone();
                host.spot = item.spot;
            }
            host.listed = true;
            if host.address.is_none() {
                host.address = item.address.parse().ok();
            }
            match item.state {
                ListedHostState::Running => {
                    host.running_since.get_or_insert(now);
                }
                ListedHostState::Failed if host.lifecycle != HostLifecycle::Releasing => {
                    tracing::info!("{name}: failed, says the cloud");
                    host.cordon(Cordon::Lost);
                    host.enter(HostLifecycle::Releasing);
                    self.fleet.release(name);
                }
                ListedHostState::Failed | ListedHostState::Starting | ListedHostState::Other => {}
            }
        }
    }

    /// Asks the cloud for machines, in requests of what one may hold.
    pub(super) fn order(&mut self, market: Market, count: u64, now: Time) {
        let mut count = self.within_rental_budget(count, now);
        while count > 0 {
            let part = count.min(MAX_PROVISION_COUNT);
            count -= part;
            self.fleet.counter += 1;
            let request = format!("r-{}-{}", self.fleet.term, self.fleet.counter);
            let rental = ProvisionRequest {
                name: request.clone(),
                machine_type: self.types[market.0].name.clone(),
                zone: market.1.clone(),
                spot: market.2,
                count: part,
            };
            let open = OpenRental {
                rental: rental.clone(),
                market: market.clone(),
                at: now,
                retry_at: None,
            };
            self.fleet.rentals.insert(request, open);
            self.actions.push(Action::Rent(rental));
        }
    }

    pub(super) fn is_closed(&self, market: &Market, now: Time) -> bool {
        let closed = self.fleet.closed.get(market);
        closed.is_some_and(|until| now < *until) || !self.may_rent_in(&market.1)
    }
}
