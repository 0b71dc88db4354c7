//! Eligibility, score, order and limits: on which machine each waiting task goes.
//!
//! The design: among the eligible machines, the one with the highest weighted headroom; machines
//! without a sibling task first; ties by name.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use crate::coordination::cluster::host::{Host, HostLifecycle, Reachability};
use crate::coordination::cluster::job::Job;
use crate::coordination::resources::Resources;
use crate::coordination::scheduling::ranking::Rank;
use crate::coordination::scheduling::scoring::{capacity, score};
use crate::coordination::Leader;
use crate::protocol::users::{JobSpec, Priority};
use crate::types::{Attempt, HostName, JobId, TaskId, Time};

/// A failure on a host keeps the job's tasks away from it for this long.
const AVOID_FAILED_HOST_FOR: Duration = Duration::from_secs(20);
/// Tasks booked in one pass; the rest waits for the next, so that a pass never takes long.
const MAX_BOOKINGS: u64 = 400;
/// A machine with room, as one pass over the waiting tasks sees it.
struct Open {
    name: HostName,
    kind: usize,
    zone: String,
    spot: bool,
    whole: Resources,
    used: Resources,
    /// Failures may speak against some jobs.
    failed: bool,
    /// Ended attempts or unanswered commands may speak against some tasks.
    remembers: bool,
    /// Kept free for a job that has waited too long.
    held: bool,
}

impl Open {
    fn free(&self) -> Resources {
        self.whole.minus(&self.used)
    }

    fn ranked(&self, at: usize, alone: bool, fetch: u32, needs_gpu: bool) -> Ranked {
        let score = score(&self.whole, &self.used, needs_gpu);
        Ranked {
            alone,
            fetch,
            score,
            at,
        }
    }
}

/// What one pass over the waiting tasks keeps.
struct Pass {
    open: Vec<Open>,
    /// What found no machine.
    full: Vec<TaskShape>,
    left: u64,
    /// Zones that take only so many more tasks.
    limited_zones: BTreeMap<String, usize>,
    now: Time,
}

/// What matters for whether some machine has room.
#[derive(Clone, Copy, PartialEq)]
struct TaskShape {
    need: Resources,
    spot: bool,
    /// It may use types that are scarce for others.
    overflows: bool,
}

/// A machine's place among those that may take a task: without a sibling task first, then, for a
/// service, where its image is there the soonest, then by score, then by name.
#[derive(PartialEq)]
struct Ranked {
    alone: bool,
    /// How long a service's image takes, in steps.
    fetch: u32,
    score: f64,
    at: usize,
}

impl Eq for Ranked {}

impl PartialOrd for Ranked {
    fn partial_cmp(&self, other: &Ranked) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Ranked {
    fn cmp(&self, other: &Ranked) -> Ordering {
        let by_score = self.score.total_cmp(&other.score);
        // Machines stand in the order of their names, so a tie goes to the first.
        let by_name = other.at.cmp(&self.at);
        let by_place = self.alone.cmp(&other.alone);
        let by_image = other.fetch.cmp(&self.fetch);
        by_place.then(by_image).then(by_score).then(by_name)
    }
}

impl Leader {
    /// One pass over the waiting tasks.
    pub(crate) fn place(&mut self, now: Time) {
        self.count_unbooked();
        let ranks = self.ranked();
        if ranks.is_empty() {
            return;
        }
        let scarce = self.scarce_types();
        let mut pass = Pass {
            open: self.open_machines(now),
            full: Vec::new(),
            left: MAX_BOOKINGS,
            limited_zones: self.limited_zones(now),
            now,
        };
        for rank in ranks {
            if pass.left == 0 {
                // The rest follows once reports and users have had their turn.
                self.cluster.scheduling_requested = true;
                return;
            }
            let Some(mut job) = self.cluster.jobs.remove(&rank.id) else {
                continue;
            };
            if let Some(spec) = job.spec.clone() {
                self.place_job(&mut job, &spec, &rank, &scarce, &mut pass);
            }
            self.cluster.jobs.insert(rank.id, job);
        }
    }

    /// The machines that are open and have room, in the order of their names.
    fn open_machines(&self, now: Time) -> Vec<Open> {
        let mut open = Vec::new();
        for host in self.cluster.hosts.values() {
            let Some(kind) = host.type_index else {
                continue;
            };
            let Some(t) = self.cluster.types.get(kind) else {
                continue;
            };
            let whole = capacity(t);
            let free = whole.minus(&host.allocated);
            if !self.is_open(host, now) || free.cpus <= 0.0 || free.memory_gb <= 0.0 {
                continue;
            }
            open.push(Open {
                name: host.name.clone(),
                kind,
                zone: host.zone.clone(),
                spot: host.spot,
                whole,
                used: host.allocated,
                failed: !host.failed_jobs.is_empty(),
                remembers: !host.ended_attempts.is_empty() || !host.unacknowledged_runs.is_empty(),
                held: false,
            });
        }
        open
    }

    fn place_job(
        &mut self,
        job: &mut Job,
        spec: &JobSpec,
        rank: &Rank,
        scarce: &[bool],
        pass: &mut Pass,
    ) {
        let _job = tracing::debug_span!("job", id = %job.id).entered();
        let records = self.max_waiting_records(rank, spec);
        if pass.now < job.retry_not_before || self.cluster.records.is_held(job.id) {
            return;
        }
        let plain =
            spec.machine_types.is_none() && spec.zone.is_none() && !spec.same_zone && !spec.spread;
        let mut usable = self.usable_types(spec, scarce);
        let due_in = job.due_in_s(self.clock.day_ms);
        let mut more = self.overflow_types(spec, &usable, self.expected_run(job), due_in);
        let shape = TaskShape {
            need: job.task_resources,
            spot: spec.spot,
            overflows: more.is_some(),
        };
        // A job like one that found no machine in this pass won't find one either.
        if plain && pass.full.contains(&shape) {
            return;
        }
        let placeable = u64::from(job.schedulable_count());
        let mut room = self.team_room(job).min(pass.left).min(placeable);
        let mut siblings = self.siblings(job, spec);
        let mut ranked = self.eligible(job, spec, &usable, pass);
        while room > 0 {
            let Some(index) = job.next_waiting_task() else {
                return;
            };
            let task = TaskId { job: job.id, index };
            // An allocation that waits long for its record would only hold the machine idle.
            let queued = self.cluster.records.is_urgent(job.id, job.chunk_of(index));
            if !queued && self.cluster.records.urgent_count() >= records {
                return;
            }
            let Some(best) = self.best_host(spec, task, &mut ranked, &siblings, pass) else {
                if let Some(more) = more.take() {
                    usable = more;
                    ranked = self.eligible(job, spec, &usable, pass);
                    continue;
                }
                let full = (plain && rank.patient).then_some(shape);
                return self.make_room(job, spec, rank, &usable, full, pass);
            };
            let zone = pass.open[best].zone.clone();
            *siblings.entry(zone).or_default() += 1;
            self.book_on(job, spec, task, best, &mut ranked, pass);
            room -= 1;
        }
    }

    /// How many urgent records may wait to be written before nothing more of the job is allocated.
    fn max_waiting_records(&self, rank: &Rank, spec: &JobSpec) -> usize {
        let priority = if rank.patient {
            spec.priority
        } else {
            Priority::Critical
        };
        self.policy.records * (1 + Priority::BestEffort as usize - priority as usize)
    }

    /// Books the task on that machine, which stays among those that may take another one if it has
    /// room for it.
    fn book_on(
        &mut self,
        job: &mut Job,
        spec: &JobSpec,
        task: TaskId,
        best: usize,
        ranked: &mut BinaryHeap<Ranked>,
        pass: &mut Pass,
    ) {
        let open = &mut pass.open[best];
        open.used.add(&job.task_resources);
        if job.task_resources.fits(&open.free()) {
            let fetch = self.fetch_steps(spec, &open.name);
            ranked.push(open.ranked(best, false, fetch, job.task_resources.gpus > 0.0));
        }
        let name = open.name.clone();
        self.book(job, task, &name, pass.now);
        pass.left -= 1;
        if let Some(left) = pass.limited_zones.get_mut(&pass.open[best].zone) {
            *left = left.saturating_sub(1);
            self.on_placed_in(&pass.open[best].zone);
        }
    }

    /// No machine has room for the next task of the job. `full` is noted so that jobs like it are not
    /// tried in this pass.
    fn make_room(
        &mut self,
        job: &Job,
        spec: &JobSpec,
        rank: &Rank,
        usable: &[bool],
        full: Option<TaskShape>,
        pass: &mut Pass,
    ) {
        if spec.is_service() && self.reopen_for(job, spec, usable, pass.now) {
            self.cluster.scheduling_requested = true;
            return;
        }
        if !rank.patient {
            Self::reserve_room(job, spec, usable, pass);
        }
        pass.full.extend(full);
        self.preempt(job, spec, usable, pass.now);
    }

    /// The machines that may take a task of the job, the best on top.
    fn eligible(
        &self,
        job: &Job,
        spec: &JobSpec,
        usable: &[bool],
        pass: &Pass,
    ) -> BinaryHeap<Ranked> {
        let holding: BTreeSet<&HostName> = job.allocated_hosts().collect();
        let needs_gpu = job.task_resources.gpus > 0.0;
        let mut ranked = Vec::new();
        for (at, open) in pass.open.iter().enumerate() {
            let eligible = usable.get(open.kind) == Some(&true)
                && !open.held
                && job.task_resources.fits(&open.free())
                && (spec.spot || !open.spot)
                && !(open.failed && self.failed_lately(&open.name, job.id, pass.now));
            if eligible {
                let alone = !holding.contains(&open.name);
                let fetch = self.fetch_steps(spec, &open.name);
                ranked.push(open.ranked(at, alone, fetch, needs_gpu));
            }
        }
        ranked.into()
    }

    /// The exception to the order by score: a service is to run within moments, and an image may take
    /// longer than that. Steps of half a second.
    fn fetch_steps(&self, spec: &JobSpec, name: &HostName) -> u32 {
        let host = self.cluster.hosts.get(name).filter(|_| spec.is_service());
        let Some(host) = host.filter(|h| !h.has_cached_image(&spec.image)) else {
            return 0;
        };
        let kind = host.type_index.and_then(|k| self.cluster.types.get(k));
        let rate = kind.map_or(0.01, |t| t.fetch_gb_per_s.0.max(0.01));
        1 + (spec.image_gb.0 / rate * 2.0) as u32
    }

    fn failed_lately(&self, name: &HostName, job: JobId, now: Time) -> bool {
        let host = self.cluster.hosts.get(name);
        let failed_at = host.and_then(|h| h.failed_jobs.get(&job));
        failed_at.is_some_and(|at| now.since(*at) < AVOID_FAILED_HOST_FOR)
    }

    /// Takes the best machine for the task from those that may take one of its job.
    fn best_host(
        &self,
        spec: &JobSpec,
        task: TaskId,
        ranked: &mut BinaryHeap<Ranked>,
        siblings: &BTreeMap<String, u64>,
        pass: &Pass,
    ) -> Option<usize> {
        let mut aside = Vec::new();
        let mut best = None;
        while let Some(next) = ranked.pop() {
            let open = &pass.open[next.at];
            let zone_is_full = pass.limited_zones.get(&open.zone) == Some(&0);
            if zone_is_full || !Self::zone_allowed(spec, &open.zone, siblings) {
                // During the pass the zone takes no more, and its siblings only get more.
                continue;
            }
            if open.remembers && self.knows_of(&open.name, task) {
                aside.push(next);
                continue;
            }
            best = Some(next.at);
            break;
        }
        ranked.extend(aside);
        best
    }

    /// An earlier attempt at the task is still in the machine's reports, or under way to it.
    pub(crate) fn knows_of(&self, name: &HostName, task: TaskId) -> bool {
        self.cluster.hosts.get(name).is_some_and(|host| {
            let attempts = (task, Attempt(0))..=(task, Attempt(u64::MAX));
            host.ended_attempts.range(attempts.clone()).next().is_some()
                || host.unacknowledged_runs.range(attempts).next().is_some()
        })
    }

    /// A job that has waited too long finds no room, since smaller work takes whatever gets free:
    /// the machine where most is free takes nothing else until the job fits there.
    fn reserve_room(job: &Job, spec: &JobSpec, usable: &[bool], pass: &mut Pass) {
        let suits = |open: &Open| {
            usable.get(open.kind) == Some(&true)
                && !open.held
                && (spec.spot || !open.spot)
                && spec.zone.as_ref().is_none_or(|z| *z == open.zone)
                && job.task_resources.fits(&open.whole)
                && !job.task_resources.fits(&open.free())
        };
        let free = |open: &Open| open.free().cpus;
        let open = pass.open.iter_mut().filter(|o| suits(o));
        if let Some(best) = open.max_by(|a, b| free(a).total_cmp(&free(b))) {
            best.held = true;
        }
    }

    /// How many of the job's tasks each zone holds now, silent machines included.
    fn siblings(&self, job: &Job, spec: &JobSpec) -> BTreeMap<String, u64> {
        let mut zones = BTreeMap::new();
        if job.allocated_count > 0 && (spec.same_zone || spec.spread) {
            for host in self.cluster.hosts.values() {
                let count = host.allocations.keys().filter(|t| t.job == job.id).count() as u64;
                if count > 0 {
                    *zones.entry(host.zone.clone()).or_default() += count;
                }
            }
        }
        zones
    }

    pub(crate) fn zone_allowed(
        spec: &JobSpec,
        zone: &str,
        siblings: &BTreeMap<String, u64>,
    ) -> bool {
        if spec.zone.as_ref().is_some_and(|z| z != zone) {
            return false;
        }
        // A booked machine whose zone is not known yet could be anywhere.
        let unknown = siblings.contains_key("");
        if spec.same_zone && (unknown || siblings.keys().any(|z| z != zone)) {
            return false;
        }
        if spec.spread {
            let here =
                siblings.get(zone).copied().unwrap_or(0) + siblings.get("").copied().unwrap_or(0);
            if here + 1 > spec.tasks.div_ceil(2) {
                return false;
            }
        }
        true
    }

    pub(crate) fn is_open(&self, host: &Host, now: Time) -> bool {
        let fresh = now.since(host.last_heartbeat_at) <= self.policy.report * 2;
        host.lifecycle == HostLifecycle::Up
            && host.cordon.is_none()
            && fresh
            && host.reachability == Reachability::Confirmed
    }
}
