//! The forecast: when each waiting task would start on the machines that are here or coming, and which
//! machines are rented because that is too late.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use super::fleet::{Market, ARRIVALS_FOR};
use super::hosts::{Cordon, HostLifecycle};
use super::jobs::Resources;
use super::placement::{self, capacity};
use super::Controller;
use crate::protocol::cloud::MAX_RENTAL;
use crate::protocol::users::{JobSpec, Priority};
use crate::types::Time;

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
/// For a service a machine that takes this much longer to come is worth half as much.
const HASTE_S: f64 = 60.0;
/// Tasks that one forecast looks at.
const MAX_FORECAST: u32 = 8000;
/// Machines that one forecast may ask of a market; they go out in requests of [`MAX_RENTAL`].
const MAX_WANTED: u64 = 400;
/// How much of what came is chance: of as many jobs of a class this many standard deviations may
/// stay away the next time, and are not rented for. Where few come, little is sure.
const CHANCE: f64 = 1.0;

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

/// A machine that is up or to come, as the forecast sees it; times are seconds from now.
struct Timeline {
    kind: usize,
    zone: String,
    spot: bool,
    /// When it is up.
    at: f64,
    /// What services leave of it: they preempt all else.
    for_services: Resources,
    free: Resources,
    /// What gets free later, in the order of time.
    ends: Vec<(f64, Resources)>,
}

impl Timeline {
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
    fn of(timelines: &[Timeline], spec: &JobSpec, usable: &[bool]) -> Starts {
        let need = placement::need(spec);
        let suits = |timeline: &Timeline| {
            usable[timeline.kind]
                && (spec.spot || !timeline.spot)
                && spec.zone.as_ref().is_none_or(|z| *z == timeline.zone)
        };
        let suited = timelines
            .iter()
            .enumerate()
            .filter(|(_, timeline)| suits(timeline));
        let starts = suited
            .filter_map(|(at, timeline)| Some(Reverse((timeline.start_of(&need)?.to_bits(), at))))
            .collect();
        Starts(starts)
    }

    /// Infinite if none ever would.
    fn soonest(&self) -> f64 {
        let first = self.0.peek();
        first.map_or(f64::INFINITY, |Reverse((start, _))| f64::from_bits(*start))
    }

    /// Gives the next task to the machine that would take it the soonest; false if there is none.
    fn take(&mut self, timelines: &mut [Timeline], from: f64, run: f64, need: &Resources) -> bool {
        let Some(Reverse((start, at))) = self.0.pop() else {
            return false;
        };
        timelines[at].take(f64::from_bits(start).max(from), run, need);
        self.add(timelines, at, need);
        true
    }

    fn add(&mut self, timelines: &[Timeline], at: usize, need: &Resources) {
        if let Some(next) = timelines[at].start_of(need) {
            self.0.push(Reverse((next.to_bits(), at)));
        }
    }
}

impl Controller {
    /// Rents what waiting work needs beyond the machines that are here or coming. A forecast tells
    /// when each waiting task would start on those; only where that is too late, and a new machine
    /// would be sooner, one is rented.
    pub(super) fn rent(&mut self, scarce: &[bool], now: Time) {
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
            // A service can't wait to see whether it was chance.
            let chance = if c.1.is_service() { 0.0 } else { CHANCE };
            let sure = 1.0 - chance / count.max(1.0).sqrt();
            self.work_to_come(c, sure, scarce)
        }));
        if works.is_empty() {
            return;
        }
        let mut timelines = self.timelines(now);
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
            let usable = self.usable_types(spec, scarce);
            let mut queue = Starts::of(&timelines, spec, &usable);
            let least_ready = self.least_ready(spec, &usable);
            // Kinds that are scarce for others, where only they keep a deadline.
            let more = if to_come {
                None
            } else {
                self.overflow_types(spec, &usable, run, due)
            };
            let mut spare = Starts::default();
            let mut spare_ready = f64::INFINITY;
            if let Some(more) = &more {
                let only: Vec<bool> = more.iter().zip(&usable).map(|(m, u)| *m && !*u).collect();
                spare = Starts::of(&timelines, spec, &only);
                spare_ready = self.least_ready(spec, &only);
            }
            // A service makes room for itself where lower priorities run.
            let suits = |timeline: &Timeline| {
                spec.is_service()
                    && timeline.at <= from + MARGIN_S
                    && usable[timeline.kind]
                    && (spec.spot || !timeline.spot)
                    && spec.zone.as_ref().is_none_or(|z| *z == timeline.zone)
                    && need.fits(&timeline.for_services)
            };
            let mut waiting = waiting;
            while waiting > 0 {
                let Some(timeline) = timelines.iter_mut().find(|l| suits(l)) else {
                    break;
                };
                timeline.for_services.remove(&need);
                waiting -= 1;
            }
            let in_time = |start: f64| due.is_none_or(|due| start + run <= due);
            for left in (1..=waiting).rev() {
                looked_at += 1;
                if looked_at > MAX_FORECAST {
                    break;
                }
                let start = queue.soonest().max(from);
                if !in_time(start) && in_time(spare.soonest()) {
                    spare.take(&mut timelines, from, run, &need);
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
                        let mut timeline = self.new_lane(market);
                        timeline.take(timeline.at.max(from), run, &need);
                        timelines.push(timeline);
                        starts.add(&timelines, timelines.len() - 1, &need);
                        continue;
                    }
                }
                if !queue.take(&mut timelines, from, run, &need) {
                    break;
                }
            }
        }
        log::debug!(
            "forecast: {looked_at} tasks, {waiting_now} waiting now, on {} machines; {} more wanted",
            timelines.len(),
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
        let horizon = self.least_ready(spec, &self.usable_types(spec, scarce));
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
        let gained = if in_time || spec.is_service() {
            0.0
        } else {
            LATE_PATIENCE_S
        };
        (ready + gained < start).then_some(market)
    }

    /// Machines that are here or coming, and when their room gets free.
    fn timelines(&self, now: Time) -> Vec<Timeline> {
        let mut timelines = Vec::new();
        for host in self.hosts.values() {
            let Some(kind) = host.kind else { continue };
            let Some(t) = self.types.get(kind) else {
                continue;
            };
            let at = match host.lifecycle {
                HostLifecycle::Up if matches!(host.cordon, None | Some(Cordon::Surplus)) => 0.0,
                // One that takes much longer than usual may never come.
                HostLifecycle::Expected => {
                    let age = now.since(host.rented_at).as_secs_f64();
                    if age > t.boot_s.0 * 1.7 {
                        continue;
                    }
                    (t.boot_s.0 - age).max(1.0)
                }
                HostLifecycle::Up | HostLifecycle::Silent | HostLifecycle::Releasing => continue,
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
            let mut for_services = capacity(t);
            for (task, booking) in &host.bookings {
                if self.is_service(*task) {
                    for_services.remove(&booking.need);
                }
            }
            timelines.push(Timeline {
                for_services,
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
                timelines.push(self.new_lane(open.market.clone()));
            }
        }
        timelines
    }

    fn new_lane(&self, (kind, zone, spot): Market) -> Timeline {
        let t = &self.types[kind];
        let at = t.boot_s.0;
        Timeline {
            kind,
            zone,
            spot,
            at,
            for_services: capacity(t),
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
                    // What a service leaves of a machine others use; that it is there soon counts more.
                    let sharing = if spec.is_service() {
                        fits
                    } else {
                        fits.min(outlook.left)
                    };
                    let cost = price * span.max(60.0) / sharing as f64;
                    let cost = if spec.is_service() {
                        cost * self.urgency_factor(self.ready_after(spec, kind))
                    } else {
                        cost
                    };
                    let cost = if in_time { cost } else { cost * LATE_FACTOR };
                    if best.as_ref().is_none_or(|(c, _)| cost < *c) {
                        best = Some((cost, market));
                    }
                }
            }
        }
        best.map(|(_, market)| market)
    }

    /// How much dearer a machine may be that is there sooner.
    pub(super) fn urgency_factor(&self, ready: f64) -> f64 {
        1.0 + ready / HASTE_S
    }

    /// How long a machine rented now takes until a task of the job can start on it.
    fn ready_after(&self, spec: &JobSpec, kind: usize) -> f64 {
        let t = &self.types[kind];
        t.boot_s.0 + spec.image_gb.0 / t.fetch_gb_per_s.0.max(0.01)
    }
}
