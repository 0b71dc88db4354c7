//! The scale-out forecast: when each waiting task would start on the hosts that are up, expected or requested, and
//! which hosts are requested because that is too late.

use std::collections::BTreeMap;

use crate::coordination::autoscaling::pools::{TaskForecast, DEADLINE_MARGIN_S};
use crate::coordination::autoscaling::provisioning::{CapacityPool, ARRIVAL_WINDOW};
use crate::coordination::autoscaling::start_options::StartOptions;
use crate::coordination::autoscaling::timeline::{HostTimeline, StartQueue};
use crate::coordination::scheduling::is_zone_allowed;
use crate::coordination::scheduling::scoring;
use crate::coordination::{Leader, View};
use crate::protocol::cloud::MAX_PROVISION_COUNT;
use crate::protocol::users::JobSpec;
use crate::types::Time;

/// Tasks that one forecast covers.
const MAX_FORECAST_TASKS: u32 = 8000;
/// Hosts that one forecast may request from a pool, in requests of at most [`MAX_PROVISION_COUNT`].
const MAX_HOSTS_PER_POOL: u64 = 400;
/// Arrivals are partly random: of `n` recent jobs of a class, this many standard deviations (`sqrt(n)` jobs each) are
/// assumed not to recur, and no host is provisioned for them. With few arrivals little is certain.
const NON_RECURRING_DEVIATIONS: f64 = 1.0;

/// Tasks of a job that the forecast has to find room for. Times are seconds from now.
struct JobDemand<'a> {
    spec: &'a JobSpec,
    /// The expected run time of a task.
    run_s: f64,
    deadline_s: Option<f64>,
    task_count: u64,
    /// When the tasks begin to wait.
    arrives_in_s: f64,
    /// Whether the job has not been submitted but is expected from recent arrivals.
    is_predicted: bool,
    /// How many of its tasks each zone holds; empty if the job has no constraint that depends on it.
    siblings_by_zone: BTreeMap<String, u64>,
}

impl JobDemand<'_> {
    /// Whether a task that starts in `start_s` seconds meets the deadline. Without a deadline every task does.
    fn meets_deadline(&self, start_s: f64) -> bool {
        self.deadline_s
            .is_none_or(|deadline_s| start_s + self.run_s <= deadline_s)
    }
}

/// The state of a forecast in progress.
struct Forecast {
    timelines: Vec<HostTimeline>,
    /// How many hosts to request from each pool.
    hosts_to_request: BTreeMap<CapacityPool, u64>,
    /// Tasks covered so far.
    task_count: u32,
    now: Time,
}

impl Forecast {
    /// Reserves room for the replicas of a service that can start at once, if need be by preempting other tasks.
    /// Returns the number of these replicas.
    fn reserve_by_preemption(&mut self, demand: &JobDemand, options: &mut StartOptions) -> u64 {
        let spec = demand.spec;
        if !spec.is_service() {
            return 0;
        }
        let task_resources = options.task_resources;
        let mut started = 0;
        while started < demand.task_count {
            let suits = |timeline: &HostTimeline| {
                timeline.up_at_s <= demand.arrives_in_s + DEADLINE_MARGIN_S
                    && options.usable_types[timeline.type_index]
                    && (spec.allows_spot || !timeline.is_spot)
                    && is_zone_allowed(spec, &timeline.zone, &options.siblings_by_zone)
                    && timeline.room_for_services.fits(spec)
            };
            let Some(index) = self.timelines.iter().position(suits) else {
                break;
            };
            self.timelines[index]
                .room_for_services
                .reserve(&task_resources);
            options.on_task_reserved(spec, &self.timelines, index);
            started += 1;
        }
        started
    }

    /// Adds one host to those to request from the pool, unless that would exceed the pool's limit. Returns whether it
    /// was added.
    fn try_request_host(&mut self, pool: &CapacityPool, view: &View<'_>) -> bool {
        // If the last request to the pool was not fulfilled, a single one suffices to find out whether it has capacity
        // again.
        let was_unfulfilled = view.autoscaler.pool_backoff_until.contains_key(pool);
        let limit = if was_unfulfilled {
            MAX_PROVISION_COUNT
        } else {
            MAX_HOSTS_PER_POOL
        };
        let count = self.hosts_to_request.entry(pool.clone()).or_default();
        let is_below_limit = *count < limit;
        if is_below_limit {
            *count += 1;
        }
        is_below_limit
    }
}

impl View<'_> {
    /// The waiting tasks that may be placed, by job, in the order in which jobs are served.
    fn waiting_demand(&self, now: Time) -> Vec<JobDemand<'_>> {
        let mut demands = Vec::new();
        for rank in self.ranked_jobs() {
            let Some(job) = self.cluster.jobs().get(&rank.job) else {
                continue;
            };
            let Some(spec) = &job.spec else { continue };
            if now < job.retry_not_before || job.fails_everywhere() {
                continue;
            }
            demands.push(JobDemand {
                spec,
                run_s: self.run_times.expected_s(job),
                deadline_s: job.time_to_deadline_s(self.clock.wall_clock_ms),
                task_count: u64::from(job.schedulable_count())
                    .min(self.tasks_within_team_quota(job)),
                arrives_in_s: 0.0,
                is_predicted: false,
                siblings_by_zone: self.siblings_by_zone(job, spec),
            });
        }
        demands
    }

    /// The demand expected from recent arrivals, which are given with their ages in seconds.
    fn predicted_demand<'a>(
        &self,
        arrivals: &'a [(f64, Box<JobSpec>)],
        scarce_types: &[bool],
    ) -> Vec<JobDemand<'a>> {
        let mut count_by_class: BTreeMap<&str, f64> = BTreeMap::new();
        for (_, spec) in arrivals {
            *count_by_class.entry(&spec.class).or_default() += 1.0;
        }
        let predicted = arrivals.iter().filter_map(|arrival| {
            let spec = &arrival.1;
            let class_count = count_by_class
                .get(spec.class.as_str())
                .copied()
                .unwrap_or(0.0);
            // A service has to start at once, so all of its arrivals are assumed to recur.
            let deviations = if spec.is_service() {
                0.0
            } else {
                NON_RECURRING_DEVIATIONS
            };
            let recurring_share = 1.0 - deviations / class_count.max(1.0).sqrt();
            self.predicted_job_demand(arrival, recurring_share, scarce_types)
        });
        predicted.collect()
    }

    /// Forecasts when the tasks of a job start, and which hosts to request for them.
    fn forecast_job(&self, demand: &JobDemand, scarce_types: &[bool], forecast: &mut Forecast) {
        let usable_types = self.usable_types(demand.spec, scarce_types);
        // Includes the scarce types, which are kept for other jobs, if only these meet the deadline.
        let overflow_types = if demand.is_predicted {
            None
        } else {
            self.overflow_types(demand.spec, &usable_types, demand.run_s, demand.deadline_s)
        };
        let mut overflow_starts = StartQueue::default();
        let mut overflow_startup_delay_s = f64::INFINITY;
        if let Some(overflow_types) = &overflow_types {
            let both = overflow_types.iter().zip(&usable_types);
            let added_types: Vec<bool> = both
                .map(|(is_overflow, is_usable)| *is_overflow && !*is_usable)
                .collect();
            overflow_starts = StartQueue::for_job(
                &forecast.timelines,
                demand.spec,
                &demand.siblings_by_zone,
                &added_types,
            );
            overflow_startup_delay_s = self.min_startup_delay_s(demand.spec, &added_types);
        }
        let mut options = StartOptions {
            task_resources: scoring::task_resources(demand.spec),
            starts: StartQueue::for_job(
                &forecast.timelines,
                demand.spec,
                &demand.siblings_by_zone,
                &usable_types,
            ),
            min_startup_delay_s: self.min_startup_delay_s(demand.spec, &usable_types),
            usable_types,
            overflow_types,
            overflow_starts,
            overflow_startup_delay_s,
            siblings_by_zone: demand.siblings_by_zone.clone(),
        };
        let waiting_count =
            demand.task_count - forecast.reserve_by_preemption(demand, &mut options);
        for waiting_tasks in (1..=waiting_count).rev() {
            forecast.task_count += 1;
            if forecast.task_count > MAX_FORECAST_TASKS
                || !self.forecast_task(demand, waiting_tasks, &mut options, forecast)
            {
                break;
            }
        }
    }

    /// Forecasts the start of the next task and reserves room for it, if need be on a host to request. `waiting_tasks`
    /// counts this task and those of its job that come after it. Returns false if neither the present hosts nor a new
    /// host that is worth its cost can take the task.
    fn forecast_task(
        &self,
        demand: &JobDemand,
        waiting_tasks: u64,
        options: &mut StartOptions,
        forecast: &mut Forecast,
    ) -> bool {
        let (arrives_in_s, run_s) = (demand.arrives_in_s, demand.run_s);
        let start_s = options.starts.earliest_start_s().max(arrives_in_s);
        if !demand.meets_deadline(start_s)
            && demand.meets_deadline(options.overflow_starts.earliest_start_s())
        {
            let reserved = options.overflow_starts.reserve_earliest(
                &mut forecast.timelines,
                arrives_in_s,
                run_s,
                &options.task_resources,
            );
            if let Some(index) = reserved {
                options.on_task_reserved(demand.spec, &forecast.timelines, index);
            }
            return true;
        }
        let pool = self.pool_for_task(demand, start_s, waiting_tasks, options, forecast);
        match pool {
            Some(pool) if forecast.try_request_host(&pool, self) => {
                self.add_requested_host(pool, demand, options, forecast);
                true
            }
            _ => {
                let reserved = options.starts.reserve_earliest(
                    &mut forecast.timelines,
                    arrives_in_s,
                    run_s,
                    &options.task_resources,
                );
                if let Some(index) = reserved {
                    options.on_task_reserved(demand.spec, &forecast.timelines, index);
                }
                reserved.is_some()
            }
        }
    }

    /// The pool to request a host from for a task that would start at `start_s` on the present hosts, if that is worth
    /// it.
    fn pool_for_task(
        &self,
        demand: &JobDemand,
        start_s: f64,
        waiting_tasks: u64,
        options: &StartOptions,
        forecast: &Forecast,
    ) -> Option<CapacityPool> {
        let overflow_types = options.overflow_types.as_ref();
        let overflow_types = overflow_types.filter(|_| {
            !demand.meets_deadline(start_s)
                && demand.meets_deadline(options.overflow_startup_delay_s)
        });
        if start_s <= options.min_startup_delay_s && overflow_types.is_none() {
            return None;
        }
        let task = TaskForecast {
            siblings_by_zone: &options.siblings_by_zone,
            start_s,
            run_s: demand.run_s,
            deadline_s: demand.deadline_s,
            waiting_tasks,
        };
        let allowed_types = overflow_types.unwrap_or(&options.usable_types);
        self.pool_worth_provisioning(demand.spec, &task, allowed_types, forecast.now)
    }

    /// Adds the timeline of a host that will be requested for the next task, and reserves room for the task on it.
    fn add_requested_host(
        &self,
        pool: CapacityPool,
        demand: &JobDemand,
        options: &mut StartOptions,
        forecast: &mut Forecast,
    ) {
        let starts = if options.usable_types[pool.type_index] {
            &mut options.starts
        } else {
            &mut options.overflow_starts
        };
        let mut timeline = self.new_host_timeline(pool);
        timeline.reserve(
            timeline.up_at_s.max(demand.arrives_in_s),
            demand.run_s,
            &options.task_resources,
        );
        forecast.timelines.push(timeline);
        let newest_index = forecast.timelines.len() - 1;
        starts.push(&forecast.timelines, newest_index, &options.task_resources);
        options.on_task_reserved(demand.spec, &forecast.timelines, newest_index);
    }

    /// The demand that a recent arrival predicts for the time until a host requested now could start a task, if jobs go
    /// on arriving as they did in the window. Hosts take so long to start that they have to be requested before these
    /// jobs arrive. The window is scaled down to that time, and with it the arrival's position in the window and its
    /// task count. `None` if no task remains.
    fn predicted_job_demand<'a>(
        &self,
        (age_s, spec): &'a (f64, Box<JobSpec>),
        recurring_share: f64,
        scarce_types: &[bool],
    ) -> Option<JobDemand<'a>> {
        let window_s = ARRIVAL_WINDOW.as_secs_f64();
        let horizon_s = self.min_startup_delay_s(spec, &self.usable_types(spec, scarce_types));
        let window_share = (horizon_s / window_s).min(1.0);
        let arrives_in_s = (window_s - age_s) * window_share;
        let run_s = self.run_times.expected_of_spec_s(spec);
        Some(JobDemand {
            spec,
            run_s,
            deadline_s: spec
                .deadline_s
                .map(|deadline_s| arrives_in_s + deadline_s.0),
            task_count: (spec.task_count as f64 * window_share * recurring_share.max(0.0)).round()
                as u64,
            arrives_in_s,
            is_predicted: true,
            siblings_by_zone: BTreeMap::new(),
        })
        .filter(|demand| demand.task_count > 0)
    }
}

impl Leader {
    /// Requests the hosts that waiting and predicted tasks need beyond those that are up, expected or requested. The
    /// forecast tells when each task would start on these; a host is requested only where that is too late and a new
    /// host would start the task sooner.
    pub(crate) fn scale_out(&mut self, scarce_types: &[bool], now: Time) {
        let arrivals = self.autoscaler.arrivals_with_age_s(now);
        let view = self.view();
        let mut demands = view.waiting_demand(now);
        let waiting_now: u64 = demands.iter().map(|demand| demand.task_count).sum();
        demands.extend(self.view().predicted_demand(&arrivals, scarce_types));
        if demands.is_empty() {
            return;
        }
        let mut forecast = Forecast {
            timelines: self.view().host_timelines(now),
            hosts_to_request: BTreeMap::new(),
            task_count: 0,
            now,
        };
        for demand in &demands {
            self.view()
                .forecast_job(demand, scarce_types, &mut forecast);
        }
        let Forecast {
            timelines,
            hosts_to_request,
            task_count,
            ..
        } = forecast;
        tracing::debug!(
            "forecast: {task_count} tasks, {waiting_now} waiting now, on {} hosts; {} more hosts to request",
            timelines.len(),
            hosts_to_request.values().sum::<u64>()
        );
        for (pool, count) in hosts_to_request {
            self.request_hosts(pool, count, now);
        }
    }
}
