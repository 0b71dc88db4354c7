//! The machines themselves: renting what waiting work needs, returning what idles.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::time::Duration;

use super::hosts::{Cordon, Host, Life};
use super::jobs::Resources;
use super::placement::{self, capacity};
use super::{Action, Controller};
use crate::protocol::cloud::{ListedHost, ListedStatus, Rental, MAX_RELEASE, MAX_RENTAL};
use crate::protocol::users::{JobSpec, Priority};
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
    /// The jobs of the last while.
    arrivals: VecDeque<Arrival>,
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
/// A deadline is taken for kept if the forecast leaves this much.
const MARGIN_S: f64 = 3.0;
/// The longest of a job's tasks takes this much more than the expected one, as a share.
const MARGIN_SHARE: f64 = 1.0;
/// How long late work waits for room rather than for a machine of its own.
const LATE_PATIENCE_S: f64 = 45.0;
/// How much more a machine may cost that keeps a deadline which another would miss.
const LATE_FACTOR: f64 = 2.0;
/// How long work that may use spot machines waits for one before an ordinary one is rented.
const ORDINARY_AFTER_S: f64 = 180.0;
/// Tasks that one forecast looks at.
const MAX_FORECAST: u32 = 8000;
/// Machines that one forecast may ask of a market; they go out in requests of [`MAX_RENTAL`].
const MAX_WANTED: u64 = 400;
/// What came in this time is taken for the usual rhythm.
const ARRIVALS_FOR: Duration = Duration::from_secs(90);
/// How much of what came is chance: of as many jobs of a class this many standard deviations may
/// stay away the next time, and are not rented for. Where few come, little is sure.
const CHANCE: f64 = 1.0;
const MAX_ARRIVALS: usize = 1000;
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// Each machine known makes the looks this much rarer, so that they take the same share of the
/// processor at any size.
const LOOK_PER_HOST: Duration = Duration::from_micros(500);
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

    /// What came in the last while, and how long ago.
    fn coming(&mut self, now: Time) -> Vec<(f64, Box<JobSpec>)> {
        self.arrivals.retain(|a| now.since(a.at) <= ARRIVALS_FOR);
        let arrivals = self.arrivals.iter();
        arrivals
            .map(|a| (now.since(a.at).as_secs_f64(), a.spec.clone()))
            .collect()
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

/// What the forecast says of a waiting task; times are seconds from now.
struct Outlook {
    /// When it would start on the machines that are here or coming.
    start: f64,
    run: f64,
    due: Option<f64>,
    /// How many of the job's tasks wait, with this one.
    left: u64,
}

/// Tasks that the forecast has to find room for; times are seconds from now.
struct Work<'a> {
    spec: &'a JobSpec,
    run: f64,
    due: Option<f64>,
    tasks: u64,
    /// When they begin to wait.
    from: f64,
    /// It is not here yet, but likely to come.
    to_come: bool,
}

/// A job that came lately. The same is likely to come again as soon as it did.
#[derive(Debug)]
struct Arrival {
    at: Time,
    spec: Box<JobSpec>,
}

/// A machine that is up or to come, as the forecast sees it; times are seconds from now.
struct Lane {
    kind: usize,
    zone: String,
    spot: bool,
    /// When it is up.
    at: f64,
    free: Resources,
    /// What gets free later, in the order of time.
    ends: Vec<(f64, Resources)>,
}

impl Lane {
    /// When there will be room for a task.
    fn start_of(&self, need: &Resources) -> Option<f64> {
        let mut free = self.free;
        if need.fits(&free) {
            return Some(self.at);
        }
        for (end, freed) in &self.ends {
            free.add(freed);
            if need.fits(&free) {
                return Some(end.max(self.at));
            }
        }
        None
    }

    /// Gives the room to a task from `start` on.
    fn take(&mut self, start: f64, run: f64, need: &Resources) {
        while let Some((_, freed)) = self.ends.first().filter(|(end, _)| *end <= start) {
            self.free.add(freed);
            self.ends.remove(0);
        }
        self.free.remove(need);
        let end = start + run;
        let at = self.ends.partition_point(|(e, _)| *e <= end);
        self.ends.insert(at, (end, *need));
    }
}

/// When each of the machines that suit a job would take a task of it, the soonest on top. Times are
/// never negative, so their bits are in the order of their values.
#[derive(Default)]
struct Starts(BinaryHeap<Reverse<(u64, usize)>>);

impl Starts {
    fn of(lanes: &[Lane], spec: &JobSpec, usable: &[bool]) -> Starts {
        let need = placement::need(spec);
        let suits = |lane: &Lane| {
            usable[lane.kind]
                && (spec.spot || !lane.spot)
                && spec.zone.as_ref().is_none_or(|z| *z == lane.zone)
        };
        let suited = lanes.iter().enumerate().filter(|(_, lane)| suits(lane));
        let starts = suited
            .filter_map(|(at, lane)| Some(Reverse((lane.start_of(&need)?.to_bits(), at))))
            .collect();
        Starts(starts)
    }

    /// Infinite if none ever would.
    fn soonest(&self) -> f64 {
        let first = self.0.peek();
        first.map_or(f64::INFINITY, |Reverse((start, _))| f64::from_bits(*start))
    }

    /// Gives the next task to the machine that would take it the soonest; false if there is none.
    fn take(&mut self, lanes: &mut [Lane], from: f64, run: f64, need: &Resources) -> bool {
        let Some(Reverse((start, at))) = self.0.pop() else {
            return false;
        };
        lanes[at].take(f64::from_bits(start).max(from), run, need);
        self.add(lanes, at, need);
        true
    }

    fn add(&mut self, lanes: &[Lane], at: usize, need: &Resources) {
        if let Some(next) = lanes[at].start_of(need) {
            self.0.push(Reverse((next.to_bits(), at)));
        }
    }
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
            host.listed = true;
            if host.address.is_none() {
                host.address = item.address.parse().ok();
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
                let count = u64::from(job.placeable()).min(self.team_room(job));
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

    /// Rents what waiting work needs beyond the machines that are here or coming. A forecast tells
    /// when each waiting task would start on those; only where that is too late, and a new machine
    /// would be sooner, one is rented.
    fn rent(&mut self, scarce: &[bool], now: Time) {
        let ranks = self.ranked();
        let mut works = Vec::new();
        for rank in ranks {
            let Some(job) = self.jobs.get(&rank.id) else {
                continue;
            };
            let Some(spec) = &job.spec else { continue };
            if now < job.not_before || job.suspect() {
                continue;
            }
            works.push(Work {
                spec,
                run: self.expected_run(job),
                due: job.due_ms().map(|due| (due - self.day_ms as f64) / 1000.0),
                tasks: u64::from(job.placeable()).min(self.team_room(job)),
                from: 0.0,
                to_come: false,
            });
        }
        let waiting_now: u64 = works.iter().map(|w| w.tasks).sum();
        let coming = self.fleet.coming(now);
        let mut came: BTreeMap<&str, f64> = BTreeMap::new();
        for (_, spec) in &coming {
            *came.entry(&spec.class).or_default() += 1.0;
        }
        works.extend(coming.iter().filter_map(|c| {
            let count = came.get(c.1.class.as_str()).copied().unwrap_or(0.0);
            let sure = 1.0 - CHANCE / count.max(1.0).sqrt();
            self.work_to_come(c, sure, scarce)
        }));
        if works.is_empty() {
            return;
        }
        let mut lanes = self.lanes(now);
        let mut wanted: BTreeMap<Market, u64> = BTreeMap::new();
        let mut looked_at = 0;
        for work in works {
            let Work {
                spec,
                run,
                due,
                tasks: waiting,
                from,
                to_come,
            } = work;
            let need = placement::need(spec);
            let usable = self.usable_kinds(spec, scarce);
            let mut queue = Starts::of(&lanes, spec, &usable);
            let least_ready = self.least_ready(spec, &usable);
            // Kinds that are scarce for others, where only they keep a deadline.
            let more = if to_come {
                None
            } else {
                self.more_kinds(spec, &usable, run, due)
            };
            let mut spare = Starts::default();
            let mut spare_ready = f64::INFINITY;
            if let Some(more) = &more {
                let only: Vec<bool> = more.iter().zip(&usable).map(|(m, u)| *m && !*u).collect();
                spare = Starts::of(&lanes, spec, &only);
                spare_ready = self.least_ready(spec, &only);
            }
            let in_time = |start: f64| due.is_none_or(|due| start + run <= due);
            for left in (1..=waiting).rev() {
                looked_at += 1;
                if looked_at > MAX_FORECAST {
                    break;
                }
                let start = queue.soonest().max(from);
                if !in_time(start) && in_time(spare.soonest()) {
                    spare.take(&mut lanes, from, run, &need);
                    continue;
                }
                let outlook = Outlook {
                    start,
                    run,
                    due,
                    left,
                };
                let hurried = more.as_ref();
                let hurried = hurried.filter(|_| !in_time(start) && in_time(spare_ready));
                let hopeful = start > least_ready || hurried.is_some();
                let kinds = hurried.unwrap_or(&usable);
                let market = hopeful.then(|| self.worth_renting(spec, &outlook, kinds, now));
                if let Some(market) = market.flatten() {
                    // Where there was nothing lately, one request is enough to ask again.
                    let doubtful = self.fleet.closed.contains_key(&market);
                    let most = if doubtful { MAX_RENTAL } else { MAX_WANTED };
                    let open = wanted.entry(market.clone()).or_default();
                    if *open < most {
                        *open += 1;
                        let starts = if usable[market.0] {
                            &mut queue
                        } else {
                            &mut spare
                        };
                        let mut lane = self.new_lane(market);
                        lane.take(lane.at.max(from), run, &need);
                        lanes.push(lane);
                        starts.add(&lanes, lanes.len() - 1, &need);
                        continue;
                    }
                }
                if !queue.take(&mut lanes, from, run, &need) {
                    break;
                }
            }
        }
        log::debug!(
            "forecast: {looked_at} tasks, {waiting_now} waiting now, on {} machines; {} more wanted",
            lanes.len(),
            wanted.values().sum::<u64>()
        );
        for (market, count) in wanted {
            self.order(market, count, now);
        }
    }

    /// What will wait by the time that a machine rented now is ready, if the coming while is like
    /// the last: a machine takes so long to come that it has to be rented before the work is there.
    fn work_to_come<'a>(
        &self,
        (age, spec): &'a (f64, Box<JobSpec>),
        sure: f64,
        scarce: &[bool],
    ) -> Option<Work<'a>> {
        let window = ARRIVALS_FOR.as_secs_f64();
        let horizon = self.least_ready(spec, &self.usable_kinds(spec, scarce));
        let share = (horizon / window).min(1.0);
        let from = (window - age) * share;
        let run = self.expected_run_of(spec);
        Some(Work {
            spec,
            run,
            due: spec.deadline_s.map(|d| from + d.0),
            tasks: (spec.tasks as f64 * share * sure.max(0.0)).round() as u64,
            from,
            to_come: true,
        })
        .filter(|w| w.tasks > 0)
    }

    /// Asks the cloud for machines, in requests of what one may hold.
    fn order(&mut self, market: Market, mut count: u64, now: Time) {
        while count > 0 {
            let part = count.min(MAX_RENTAL);
            count -= part;
            self.fleet.counter += 1;
            let request = format!("r-{}-{}", self.fleet.term, self.fleet.counter);
            let rental = Rental {
                request: request.clone(),
                kind: self.types[market.0].name.clone(),
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

    /// The market to rent from, if the task would start too late otherwise.
    fn worth_renting(
        &self,
        spec: &JobSpec,
        outlook: &Outlook,
        usable: &[bool],
        now: Time,
    ) -> Option<Market> {
        let Outlook {
            start, run, due, ..
        } = *outlook;
        if due.is_some_and(|due| start + run * (1.0 + MARGIN_SHARE) + MARGIN_S <= due) {
            return None;
        }
        let market = self.cheapest(spec, outlook, usable, now)?;
        let ready = self.ready_after(spec, market.0);
        let in_time = due.is_some_and(|due| ready + run <= due);
        // Work that is late either way still has to be done, but without hurry.
        let gained = if in_time { 0.0 } else { LATE_PATIENCE_S };
        (ready + gained < start).then_some(market)
    }

    /// Machines that are here or coming, and when their room gets free.
    fn lanes(&self, now: Time) -> Vec<Lane> {
        let mut lanes = Vec::new();
        for host in self.hosts.values() {
            let Some(kind) = host.kind else { continue };
            let Some(t) = self.types.get(kind) else {
                continue;
            };
            let at = match host.life {
                Life::Up if matches!(host.cordon, None | Some(Cordon::Surplus)) => 0.0,
                // One that takes much longer than usual may never come.
                Life::Expected => {
                    let age = now.since(host.rented_at).as_secs_f64();
                    if age > t.boot_s.0 * 1.7 {
                        continue;
                    }
                    (t.boot_s.0 - age).max(1.0)
                }
                Life::Up | Life::Silent | Life::Releasing => continue,
            };
            let mut ends: Vec<(f64, Resources)> = host
                .bookings
                .iter()
                .map(|(task, booking)| {
                    let job = self.jobs.get(&task.job);
                    let rest = job.map_or(30.0, |j| self.expected_rest(j, booking.started, now));
                    (rest, booking.need)
                })
                .collect();
            ends.sort_by(|a, b| a.0.total_cmp(&b.0));
            let (zone, spot) = (host.zone.clone(), host.spot);
            let free = capacity(t).minus(&host.used);
            lanes.push(Lane {
                kind,
                zone,
                spot,
                at,
                free,
                ends,
            });
        }
        for open in self.fleet.rentals.values() {
            for _ in 0..open.rental.count {
                lanes.push(self.new_lane(open.market.clone()));
            }
        }
        lanes
    }

    fn new_lane(&self, (kind, zone, spot): Market) -> Lane {
        let t = &self.types[kind];
        let at = t.boot_s.0;
        Lane {
            kind,
            zone,
            spot,
            at,
            free: capacity(t),
            ends: Vec::new(),
        }
    }

    /// How soon a task of the job could start on any machine rented now.
    pub(super) fn least_ready(&self, spec: &JobSpec, usable: &[bool]) -> f64 {
        let kinds = (0..self.types.len()).filter(|k| usable[*k]);
        kinds
            .map(|kind| self.ready_after(spec, kind))
            .fold(f64::INFINITY, f64::min)
    }

    /// The market with the lowest cost per task, counting boot and fetch.
    fn cheapest(
        &self,
        spec: &JobSpec,
        outlook: &Outlook,
        usable: &[bool],
        now: Time,
    ) -> Option<Market> {
        let need = placement::need(spec);
        // Spot machines serve nearly as well at a third of the price: for work that may use them,
        // an ordinary one is worth its price only when there are none, and the wait is long.
        let spot_left = usable.iter().enumerate().any(|(kind, usable)| {
            let mut zones = self.types[kind].zones.iter();
            *usable && zones.any(|z| !self.is_closed(&(kind, z.clone(), true), now))
        });
        // Work of the lowest priority is there to use what is cheap.
        let worth = spec.priority != Priority::Low;
        let ordinary = !spec.spot || (worth && !spot_left && outlook.start > ORDINARY_AFTER_S);
        let mut best: Option<(f64, Market)> = None;
        for (kind, t) in self.types.iter().enumerate().filter(|(k, _)| usable[*k]) {
            let fits = need.times_in(&capacity(t)).max(1);
            let span = self.ready_after(spec, kind) + outlook.run;
            let in_time = outlook.due.is_some_and(|due| span <= due);
            let zones = t.zones.iter();
            for zone in zones.filter(|z| spec.zone.as_ref().is_none_or(|s| s == *z)) {
                for spot in [true, false] {
                    let market = (kind, zone.clone(), spot);
                    let busy = self.fleet.rentals.values().any(|r| r.market == market);
                    let allowed = if spot { spec.spot } else { ordinary };
                    if self.is_closed(&market, now) || busy || !allowed {
                        continue;
                    }
                    let price = if spot { t.spot_price.0 } else { t.price.0 };
                    let cost = price * span.max(60.0) / fits.min(outlook.left) as f64;
                    let cost = if in_time { cost } else { cost * LATE_FACTOR };
                    if best.as_ref().is_none_or(|(c, _)| cost < *c) {
                        best = Some((cost, market));
                    }
                }
            }
        }
        best.map(|(_, market)| market)
    }

    fn is_closed(&self, market: &Market, now: Time) -> bool {
        let closed = self.fleet.closed.get(market);
        closed.is_some_and(|until| now < *until)
    }

    /// How long a machine rented now takes until a task of the job can start on it.
    fn ready_after(&self, spec: &JobSpec, kind: usize) -> f64 {
        let t = &self.types[kind];
        t.boot_s.0 + spec.image_gb.0 / t.fetch_gb_per_s.0.max(0.01)
    }
}
