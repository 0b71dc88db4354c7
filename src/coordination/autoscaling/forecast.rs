//! The forecast: when each waiting task would start on the machines that are here or coming, and which
//! machines are rented because that is too late.

use std::collections::BTreeMap;

use crate::coordination::autoscaling::pools::{Outlook, MARGIN_S};
use crate::coordination::autoscaling::provisioning::{CapacityPool, ARRIVALS_FOR};
use crate::coordination::autoscaling::timeline::{Starts, Timeline};
use crate::coordination::resources::Resources;
use crate::coordination::scheduling::scoring;
use crate::coordination::{Leader, View};
use crate::protocol::cloud::MAX_PROVISION_COUNT;
use crate::protocol::users::JobSpec;
use crate::types::Time;

/// Tasks that one forecast looks at.
const MAX_FORECAST: u32 = 8000;
/// Machines that one forecast may ask of a pool; they go out in requests of [`MAX_PROVISION_COUNT`].
const MAX_WANTED: u64 = 400;
/// How much of what came is chance: of as many jobs of a class this many standard deviations may
/// stay away the next time, and are not rented for. Where few come, little is sure.
const CHANCE: f64 = 1.0;

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

impl Work<'_> {
    /// Whether a task that starts then keeps the deadline.
    fn in_time(&self, start: f64) -> bool {
        self.due.is_none_or(|due| start + self.run <= due)
    }
}

/// A forecast while it is made.
struct Forecast {
    timelines: Vec<Timeline>,
    /// Machines that have to be rented.
    wanted: BTreeMap<CapacityPool, u64>,
    /// Tasks looked at so far.
    tasks: u32,
    now: Time,
}

impl Forecast {
    /// A service makes room for itself where lower priorities run: how many of its tasks start so.
    fn preempted_for(&mut self, work: &Work, options: &Options) -> u64 {
        let spec = work.spec;
        if !spec.is_service() {
            return 0;
        }
        let need = &options.need;
        let suits = |timeline: &Timeline| {
            timeline.at <= work.from + MARGIN_S
                && options.usable[timeline.kind]
                && (spec.spot || !timeline.spot)
                && spec.zone.as_ref().is_none_or(|z| *z == timeline.zone)
                && need.fits(&timeline.for_services)
        };
        let mut started = 0;
        while started < work.tasks {
            let Some(timeline) = self.timelines.iter_mut().find(|t| suits(t)) else {
                break;
            };
            timeline.for_services.subtract(need);
            started += 1;
        }
        started
    }

    /// Counts one more machine of that pool, unless enough are wanted there.
    fn may_want(&mut self, pool: &CapacityPool, view: &View<'_>) -> bool {
        // Where there was nothing lately, one request is enough to ask again.
        let doubtful = view.autoscaler.closed.contains_key(pool);
        let most = if doubtful {
            MAX_PROVISION_COUNT
        } else {
            MAX_WANTED
        };
        let wanted = self.wanted.entry(pool.clone()).or_default();
        let may = *wanted < most;
        if may {
            *wanted += 1;
        }
        may
    }
}

/// Where the tasks of some work may start.
struct Options {
    need: Resources,
    usable: Vec<bool>,
    starts: Starts,
    /// How soon a machine rented now could start a task.
    min_startup_delay_s: f64,
    /// The scarce types too, if only they may keep the deadline; and the same of those alone.
    overflow: Option<Vec<bool>>,
    overflow_starts: Starts,
    overflow_ready: f64,
}

impl View<'_> {
    /// The tasks that wait, in the order in which they are served.
    fn waiting_work(&self, now: Time) -> Vec<Work<'_>> {
        let mut works = Vec::new();
        for rank in self.ranked_jobs() {
            let Some(job) = self.cluster.jobs().get(&rank.job) else {
                continue;
            };
            let Some(spec) = &job.spec else { continue };
            if now < job.retry_not_before || job.fails_everywhere() {
                continue;
            }
            works.push(Work {
                spec,
                run: self.run_times.expected_s(job),
                due: job.time_to_deadline_s(self.clock.wall_clock_ms),
                tasks: u64::from(job.schedulable_count()).min(self.tasks_within_team_quota(job)),
                from: 0.0,
                to_come: false,
            });
        }
        works
    }

    /// The work that is likely to come, from what came lately.
    fn all_work_to_come<'a>(
        &self,
        coming: &'a [(f64, Box<JobSpec>)],
        scarce: &[bool],
    ) -> Vec<Work<'a>> {
        let mut came: BTreeMap<&str, f64> = BTreeMap::new();
        for (_, spec) in coming {
            *came.entry(&spec.class).or_default() += 1.0;
        }
        let expected = coming.iter().filter_map(|arrival| {
            let spec = &arrival.1;
            let count = came.get(spec.class.as_str()).copied().unwrap_or(0.0);
            // A service can't wait to see whether it was chance.
            let chance = if spec.is_service() { 0.0 } else { CHANCE };
            let sure = 1.0 - chance / count.max(1.0).sqrt();
            self.work_to_come(arrival, sure, scarce)
        });
        expected.collect()
    }

    /// Forecasts when the tasks of some work start, and what has to be rented for them.
    fn forecast_work(&self, work: &Work, scarce: &[bool], forecast: &mut Forecast) {
        let usable = self.usable_types(work.spec, scarce);
        // Types that are scarce for others, where only they keep a deadline.
        let overflow = if work.to_come {
            None
        } else {
            self.overflow_types(work.spec, &usable, work.run, work.due)
        };
        let mut overflow_starts = Starts::default();
        let mut overflow_ready = f64::INFINITY;
        if let Some(overflow) = &overflow {
            let both = overflow.iter().zip(&usable);
            let only: Vec<bool> = both.map(|(more, usual)| *more && !*usual).collect();
            overflow_starts = Starts::of(&forecast.timelines, work.spec, &only);
            overflow_ready = self.min_startup_delay_s(work.spec, &only);
        }
        let mut options = Options {
            need: scoring::task_resources(work.spec),
            starts: Starts::of(&forecast.timelines, work.spec, &usable),
            min_startup_delay_s: self.min_startup_delay_s(work.spec, &usable),
            usable,
            overflow,
            overflow_starts,
            overflow_ready,
        };
        let waiting = work.tasks - forecast.preempted_for(work, &options);
        for left in (1..=waiting).rev() {
            forecast.tasks += 1;
            if forecast.tasks > MAX_FORECAST
                || !self.forecast_task(work, left, &mut options, forecast)
            {
                break;
            }
        }
    }

    /// Finds the start of the next task, of which so many are left with it. `false`: neither the
    /// machines that there are nor any that is worth renting can take it.
    fn forecast_task(
        &self,
        work: &Work,
        left: u64,
        options: &mut Options,
        forecast: &mut Forecast,
    ) -> bool {
        let (from, run) = (work.from, work.run);
        let start = options.starts.soonest().max(from);
        if !work.in_time(start) && work.in_time(options.overflow_starts.soonest()) {
            let starts = &mut options.overflow_starts;
            starts.take(&mut forecast.timelines, from, run, &options.need);
            return true;
        }
        let pool = self.pool_for(work, start, left, options, forecast);
        match pool {
            Some(pool) if forecast.may_want(&pool, self) => {
                self.add_rented(pool, work, options, forecast);
                true
            }
            _ => {
                let starts = &mut options.starts;
                starts.take(&mut forecast.timelines, from, run, &options.need)
            }
        }
    }

    /// Where a machine is to be rented for a task that would start then on those there are, if
    /// anywhere.
    fn pool_for(
        &self,
        work: &Work,
        start: f64,
        left: u64,
        options: &Options,
        forecast: &Forecast,
    ) -> Option<CapacityPool> {
        let hurried = options.overflow.as_ref();
        let hurried =
            hurried.filter(|_| !work.in_time(start) && work.in_time(options.overflow_ready));
        if start <= options.min_startup_delay_s && hurried.is_none() {
            return None;
        }
        let outlook = Outlook {
            start,
            run: work.run,
            due: work.due,
            left,
        };
        let types = hurried.unwrap_or(&options.usable);
        self.worth_renting(work.spec, &outlook, types, forecast.now)
    }

    /// Counts a machine that is rented for the task, which starts on it.
    fn add_rented(
        &self,
        pool: CapacityPool,
        work: &Work,
        options: &mut Options,
        forecast: &mut Forecast,
    ) {
        let starts = if options.usable[pool.type_index] {
            &mut options.starts
        } else {
            &mut options.overflow_starts
        };
        let mut timeline = self.new_timeline(pool);
        timeline.take(timeline.at.max(work.from), work.run, &options.need);
        forecast.timelines.push(timeline);
        let newest = forecast.timelines.len() - 1;
        starts.add(&forecast.timelines, newest, &options.need);
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
        let horizon = self.min_startup_delay_s(spec, &self.usable_types(spec, scarce));
        let share = (horizon / window).min(1.0);
        let from = (window - age) * share;
        let run = self.run_times.expected_of_spec_s(spec);
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
}

impl Leader {
    /// Rents what waiting work needs beyond the machines that are here or coming. A forecast tells
    /// when each waiting task would start on those; only where that is too late, and a new machine
    /// would be sooner, one is rented.
    pub(crate) fn rent(&mut self, scarce: &[bool], now: Time) {
        let coming = self.autoscaler.coming(now);
        let view = self.view();
        let mut works = view.waiting_work(now);
        let waiting_now: u64 = works.iter().map(|w| w.tasks).sum();
        works.extend(self.view().all_work_to_come(&coming, scarce));
        if works.is_empty() {
            return;
        }
        let mut forecast = Forecast {
            timelines: self.view().timelines(now),
            wanted: BTreeMap::new(),
            tasks: 0,
            now,
        };
        for work in &works {
            self.view().forecast_work(work, scarce, &mut forecast);
        }
        let Forecast {
            timelines,
            wanted,
            tasks,
            ..
        } = forecast;
        tracing::debug!(
            "forecast: {tasks} tasks, {waiting_now} waiting now, on {} machines; {} more wanted",
            timelines.len(),
            wanted.values().sum::<u64>()
        );
        for (pool, count) in wanted {
            self.order(pool, count, now);
        }
    }
}
