//! The machines themselves: renting what waiting work needs, returning what idles.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::hosts::{Cordon, Host, Life};
use super::jobs::Resources;
use super::placement::capacity;
use super::{Action, Controller};
use crate::protocol::cloud::{ListedHost, ListedStatus, Rental, MAX_RELEASE, MAX_RENTAL};
use crate::types::{seconds, HostName, Term, Time};

/// A type, a zone, and whether it is a spot machine.
pub type Market = (usize, String, bool);

#[derive(Debug, PartialEq)]
pub enum RentalResult {
    Rented(Vec<HostName>),
    NoCapacity,
    /// Surely not carried out.
    Refused,
    /// Perhaps carried out: the same request has to be repeated.
    Unknown,
}

#[derive(Debug)]
struct OpenRental {
    rental: Rental,
    market: Market,
    at: Time,
    retry_at: Option<Time>,
}

#[derive(Debug)]
pub struct Fleet {
    term: Term,
    counter: u64,
    rentals: BTreeMap<String, OpenRental>,
    /// Markets that had nothing to give, until when they are left alone.
    closed: BTreeMap<Market, Time>,
    to_release: VecDeque<HostName>,
    releasing: BTreeSet<HostName>,
    release_at: Time,
    look_at: Time,
    scarce: BTreeSet<usize>,
    /// The recent demand on the common and on the scarce types.
    peaks: [Peak; 2],
}

/// The highest of the values noted within a window of time.
#[derive(Debug, Default)]
struct Peak {
    noted: VecDeque<(Time, f64)>,
}

impl Peak {
    fn note(&mut self, now: Time, value: f64, window: Duration) -> f64 {
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

/// The cloud charges at least a minute; a machine that goes back earlier saves nothing.
const MIN_PAID: Duration = Duration::from_secs(55);
const LOOK_EVERY: Duration = Duration::from_millis(500);
const CLOSED_FOR: Duration = Duration::from_secs(15);
const RETRY_AFTER: Duration = Duration::from_secs(2);

impl Fleet {
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
        }
    }

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

/// A machine that is up or to come, with the room left for waiting tasks.
struct Room {
    kind: usize,
    zone: String,
    spot: bool,
    free: Resources,
}

impl Controller {
    pub(super) fn run_fleet(&mut self, now: Time) {
        self.send_releases(now);
        self.repeat_rentals(now);
        if now < self.fleet.look_at {
            return;
        }
        self.fleet.look_at = now.after(LOOK_EVERY);
        let scarce = self.scarce_types();
        let kinds = scarce.iter().enumerate();
        self.fleet
            .scarce
            .extend(kinds.filter(|(_, s)| **s).map(|(kind, _)| kind));
        self.cordon_surplus(&scarce, now);
        self.return_empty(now);
        self.rent(&scarce, now);
    }

    fn send_releases(&mut self, now: Time) {
        if self.fleet.to_release.is_empty() || now < self.fleet.release_at {
            return;
        }
        let count = self.fleet.to_release.len().min(MAX_RELEASE);
        let names: Vec<HostName> = self.fleet.to_release.drain(..count).collect();
        self.fleet.releasing.extend(names.iter().cloned());
        self.actions.push(Action::Release(names));
    }

    pub fn on_released(&mut self, names: &[HostName], confirmed: bool, now: Time) {
        for name in names {
            self.fleet.releasing.remove(name);
        }
        if confirmed {
            log::info!("returned {} machines", names.len());
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

    pub fn on_rented(&mut self, request: &str, result: RentalResult, now: Time) {
        let Some(mut open) = self.fleet.rentals.remove(request) else {
            return;
        };
        match result {
            RentalResult::Rented(names) => {
                let (kind, zone, spot) = open.market.clone();
                log::info!(
                    "rented {} of {}, {zone}, spot {spot}",
                    names.len(),
                    open.rental.kind
                );
                if (names.len() as u64) < open.rental.count {
                    self.fleet.closed.insert(open.market, now.after(CLOSED_FOR));
                }
                for name in names {
                    if self.released.contains(&name) {
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
                log::info!(
                    "no capacity: {}, {}, spot {}",
                    open.rental.kind,
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
        for item in listed {
            if self.released.contains(&item.name) {
                continue;
            }
            let name = item.name.clone();
            let kind = self.types.iter().position(|t| t.name == item.kind);
            let host = self.hosts.entry(name.clone()).or_insert_with(|| {
                log::info!("{name}: found in the list");
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
            match item.status {
                ListedStatus::Running => {
                    host.running_since.get_or_insert(now);
                }
                ListedStatus::Failed if host.life != Life::Releasing => {
                    log::info!("{name}: failed, says the cloud");
                    host.cordon(Cordon::Lost);
                    host.enter(Life::Releasing);
                    self.fleet.release(name);
                }
                ListedStatus::Failed | ListedStatus::Starting | ListedStatus::Other => {}
            }
        }
    }

    /// Scale down by cordoning. Headroom spreads work thinly over all machines, so that none ever
    /// idles; what the recent peak of demand does not need is therefore closed, the dearest first,
    /// runs empty, and goes back. When demand rises it is opened again before any is rented.
    fn cordon_surplus(&mut self, scarce: &[bool], now: Time) {
        let window = seconds(self.rules.tuning.idle_return_s);
        for group in [false, true] {
            let demand = self.demand(scarce, group);
            let peak = self.fleet.peaks[usize::from(group)].note(now, demand, window);
            let wanted = peak * (1.0 + self.rules.tuning.spare_share);
            let mut order: Vec<(f64, f64, HostName, f64)> = self
                .hosts
                .values()
                .filter(|h| h.life == Life::Up)
                .filter(|h| matches!(h.cordon, None | Some(Cordon::Surplus)))
                .filter_map(|h| {
                    let kind = h.kind.filter(|k| scarce.get(*k) == Some(&group))?;
                    let t = self.types.get(kind)?;
                    let price = if h.spot { t.spot_price.0 } else { t.price.0 };
                    let cpus = t.cpus.0.max(0.1);
                    // What is closed already stays so, other things being equal.
                    let closed = if h.cordon.is_some() { 1.0 } else { 0.0 };
                    Some((
                        price / cpus,
                        closed - h.used.cpus / cpus,
                        h.name.clone(),
                        cpus,
                    ))
                })
                .collect();
            order.sort_by(|a, b| {
                (a.0, a.1)
                    .partial_cmp(&(b.0, b.1))
                    .unwrap_or(Ordering::Equal)
            });
            let mut kept = 0.0;
            for (_, _, name, cpus) in order {
                let Some(host) = self.hosts.get_mut(&name) else {
                    continue;
                };
                if kept < wanted {
                    kept += cpus;
                    if host.uncordon() {
                        self.place_wanted = true;
                    }
                } else {
                    host.cordon(Cordon::Surplus);
                }
            }
        }
    }

    /// CPUs that booked and waiting work takes, on the scarce types or on the others.
    fn demand(&self, scarce: &[bool], group: bool) -> f64 {
        let mut demand = 0.0;
        for host in self.hosts.values() {
            let Some(kind) = host.kind.filter(|k| scarce.get(*k) == Some(&group)) else {
                continue;
            };
            let Some(t) = self.types.get(kind) else {
                continue;
            };
            let whole = capacity(t);
            let share = (host.used.cpus / whole.cpus).max(host.used.memory_gb / whole.memory_gb);
            demand += if share.is_finite() {
                share * whole.cpus
            } else {
                0.0
            };
        }
        for job in self.jobs.values() {
            let (Some(spec), true) = (&job.spec, job.waiting() > 0) else {
                continue;
            };
            let needs_scarce = self
                .suited(spec)
                .iter()
                .all(|k| scarce.get(*k) == Some(&true));
            if needs_scarce == group {
                let count = u64::from(job.waiting()).min(self.team_room(job));
                demand += count as f64 * job.need.cpus;
            }
        }
        demand
    }

    /// Machines that are closed for good reasons and empty go back.
    fn return_empty(&mut self, now: Time) {
        let mut returned = Vec::new();
        for host in self.hosts.values_mut() {
            let empty = host.life == Life::Up && host.bookings.is_empty();
            // What has been paid for anyway may stay.
            let paid = now.since(host.rented_at) < MIN_PAID;
            let closed = host.cordon.is_some_and(|c| c != Cordon::Notice);
            if empty && closed && !paid {
                host.enter(Life::Releasing);
                returned.push(host.name.clone());
            }
        }
        for name in returned {
            self.fleet.release(name);
        }
    }

    /// Rents what waiting work needs beyond the machines that are here or coming.
    fn rent(&mut self, scarce: &[bool], now: Time) {
        let mut rooms = self.rooms(now);
        let mut wanted: BTreeMap<Market, u64> = BTreeMap::new();
        let mut team_room: BTreeMap<String, f64> = BTreeMap::new();
        for rank in self.ranked() {
            let Some(job) = self.jobs.get(&rank.id) else {
                continue;
            };
            let Some(spec) = &job.spec else { continue };
            if now < job.not_before || job.suspect() {
                continue;
            }
            let limit = self.rules.team(&job.team).map_or(0.0, |t| t.limits().0);
            let used = self.used.get(&job.team).map_or(0.0, |u| u.cpus);
            let left = team_room.entry(job.team.clone()).or_insert(limit - used);
            let allowed = if job.need.cpus > 0.0 {
                (*left / job.need.cpus).max(0.0)
            } else {
                f64::MAX
            };
            let mut waiting = f64::from(job.waiting()).min(allowed) as u64;
            *left -= waiting as f64 * job.need.cpus;
            for room in &mut rooms {
                let kind = &self.types[room.kind];
                let suits = (spec.spot || !room.spot)
                    && super::placement::type_suits(spec, kind)
                    && spec.zone.as_ref().is_none_or(|z| *z == room.zone)
                    && !self.kept_for_others(spec, Some(room.kind), scarce);
                if !suits {
                    continue;
                }
                let count = job.need.times_in(&room.free).min(waiting);
                for _ in 0..count {
                    room.free.remove(&job.need);
                }
                waiting -= count;
            }
            while waiting > 0 {
                let Some((market, fits)) = self.cheapest(spec, waiting, scarce, now) else {
                    break;
                };
                let machines = if fits >= waiting { 1 } else { waiting / fits };
                let open = wanted.entry(market.clone()).or_default();
                let add = machines.min(MAX_RENTAL.saturating_sub(*open));
                if add == 0 {
                    break;
                }
                *open += add;
                let mut free = capacity(&self.types[market.0]);
                let here = waiting.min(fits * add);
                waiting -= here;
                for _ in 0..here % fits {
                    free.remove(&job.need);
                }
                if here % fits != 0 {
                    let (kind, zone, spot) = market;
                    rooms.push(Room {
                        kind,
                        zone,
                        spot,
                        free,
                    });
                }
            }
        }
        for (market, count) in wanted {
            self.fleet.counter += 1;
            let request = format!("r-{}-{}", self.fleet.term, self.fleet.counter);
            let rental = Rental {
                request: request.clone(),
                kind: self.types[market.0].name.clone(),
                zone: market.1.clone(),
                spot: market.2,
                count,
            };
            let open = OpenRental {
                rental: rental.clone(),
                market,
                at: now,
                retry_at: None,
            };
            self.fleet.rentals.insert(request, open);
            self.actions.push(Action::Rent(rental));
        }
    }

    /// Machines to come, asked for or booting, with all their room.
    fn rooms(&self, now: Time) -> Vec<Room> {
        let mut rooms = Vec::new();
        for host in self.hosts.values() {
            let Some(kind) = host.kind else { continue };
            let Some(t) = self.types.get(kind) else {
                continue;
            };
            let open = match host.life {
                // One that takes much longer than usual may never come.
                Life::Expected => now.since(host.rented_at) < seconds(t.boot_s.0 * 1.7),
                Life::Up => matches!(host.cordon, None | Some(Cordon::Surplus)),
                Life::Silent | Life::Releasing => false,
            };
            if open {
                let free = capacity(t).minus(&host.used);
                rooms.push(Room {
                    kind,
                    zone: host.zone.clone(),
                    spot: host.spot,
                    free,
                });
            }
        }
        for open in self.fleet.rentals.values() {
            let (kind, zone, spot) = open.market.clone();
            for _ in 0..open.rental.count {
                let free = capacity(&self.types[kind]);
                rooms.push(Room {
                    kind,
                    zone: zone.clone(),
                    spot,
                    free,
                });
            }
        }
        rooms
    }

    /// The market with the lowest cost per task, counting boot and fetch, and how many tasks fit.
    fn cheapest(
        &self,
        spec: &crate::protocol::users::JobSpec,
        waiting: u64,
        scarce: &[bool],
        now: Time,
    ) -> Option<(Market, u64)> {
        let need = super::placement::need(spec);
        let mut best: Option<(f64, Market, u64)> = None;
        for kind in self.suited(spec) {
            let t = &self.types[kind];
            if self.kept_for_others(spec, Some(kind), scarce) {
                continue;
            }
            let fits = need.times_in(&capacity(t));
            if fits == 0 {
                continue;
            }
            let fetch = spec.image_gb.0 / t.fetch_gb_per_s.0.max(0.01);
            let span = t.boot_s.0 + fetch + spec.estimate_s.0;
            for zone in t
                .zones
                .iter()
                .filter(|z| spec.zone.as_ref().is_none_or(|s| s == *z))
            {
                for spot in [true, false] {
                    let market = (kind, zone.clone(), spot);
                    let closed = self
                        .fleet
                        .closed
                        .get(&market)
                        .is_some_and(|until| now < *until);
                    let busy = self.fleet.rentals.values().any(|r| r.market == market);
                    if closed || busy || (spot && !spec.spot) {
                        continue;
                    }
                    let price = if spot { t.spot_price.0 } else { t.price.0 };
                    let cost = price * span.max(60.0) / fits.min(waiting) as f64;
                    if best.as_ref().is_none_or(|(c, _, _)| cost < *c) {
                        best = Some((cost, market, fits));
                    }
                }
            }
        }
        best.map(|(_, market, fits)| (market, fits))
    }
}
