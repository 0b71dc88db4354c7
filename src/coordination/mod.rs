//! What the leading controller decides. No input or output happens here: events and the time come
//! in, actions go out, so that kept traces can be replayed.

pub mod fleet;
pub mod hosts;
pub mod jobs;
pub mod leadership;
pub mod placement;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::bookkeeping::ledger::{Jobs, Ledger, Verdict, Written};
use crate::bookkeeping::records::{ChunkRecord, JobRecord};
use crate::protocol::cloud::{MachineType, Rental};
use crate::protocol::state::Txn;
use crate::protocol::users::JobSpec;
use crate::protocol::workers::{Cause, Order, Report, TaskReport, TaskState as Reported};
use crate::settings::{Service, Team, Tuning};
use crate::types::{seconds, Attempt, HostName, JobId, Session, Stamp, TaskId, Term, Tick, Time};

use fleet::Fleet;
use hosts::{Booking, BookingPhase, Cordon, Ear, Host, Leftover, Life, StopWhy};
use jobs::{Job, JobPhase, Resources, TaskState};

/// What the leader wants done outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Command {
        host: HostName,
        to: SocketAddr,
        session: Session,
        orders: Vec<Order>,
    },
    Rent(Rental),
    Release(Vec<HostName>),
}

/// How a direct command ended.
#[derive(Debug)]
pub enum CommandResult {
    /// The worker answered with its report, whether or not it executed anything.
    Report(Box<Report>),
    /// Surely not executed.
    NotSent,
    /// Never left this process, so it says nothing of the machine either.
    HeldBack,
    /// May have been executed, or may yet be.
    Lost,
}

/// A worker has seen a higher token: another leader is in office.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deposed(pub Term);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Records are being read.
    Loading,
    /// One report round passes, so that the picture is whole before machines are judged; work goes
    /// only to those that have reported.
    Gathering {
        until: Time,
    },
    Placing,
}

/// The settings that decisions depend on.
#[derive(Clone, Debug)]
pub struct Rulebook {
    pub report: Duration,
    pub lease: Duration,
    pub cancel: Duration,
    /// How far the cloud's list lags at the most.
    pub list_lag: Duration,
    pub chunk_size: u32,
    /// Machines that may be asked at once whether they hear: each takes a socket for a while.
    pub probes: usize,
    /// Direct commands that may be under way at once, for the same reason; the others wait.
    pub commands: usize,
    pub teams: Vec<Team>,
    pub tuning: Tuning,
}

impl Rulebook {
    pub fn new(service: &Service, tuning: &Tuning) -> Rulebook {
        Rulebook {
            report: service.workers.report(),
            lease: service.workers.lease(),
            cancel: service.workers.cancel(),
            list_lag: seconds(service.cloud.list_lag_s) * 2,
            chunk_size: crate::bookkeeping::records::chunk_size(service.state.value_kb),
            probes: (service.resources.sockets / 20).max(2),
            commands: (service.resources.sockets / 16).max(4),
            teams: service.teams.clone(),
            tuning: tuning.clone(),
        }
    }

    pub fn silent_limit(&self) -> Duration {
        self.report.mul_f64(self.tuning.silent_reports)
    }

    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reach {
    pub heard: usize,
    pub known: usize,
    /// The zone that holds the most machines.
    pub home: Option<String>,
}

impl Reach {
    /// More than half of the machines are out of earshot.
    pub fn is_cut_off(&self) -> bool {
        self.known >= 3 && self.heard * 2 < self.known
    }
}

/// The picture and the decisions of one term.
pub struct Controller {
    pub term: Term,
    pub phase: Phase,
    /// Until when the own lease surely stands. It is looked at whenever something is begun, as the
    /// process may have stood still since it was last asked.
    pub valid_until: Time,
    rules: Rulebook,
    pub types: Vec<MachineType>,
    pub hosts: BTreeMap<HostName, Host>,
    pub jobs: Jobs,
    pub ledger: Ledger,
    fleet: Fleet,
    /// Zones of which this node hears no other node: what is silent there is cut off.
    pub unheard_zones: Vec<String>,
    /// What each team's bookings take, all that are not proven ended.
    used: BTreeMap<String, Resources>,
    /// Machines whose release the cloud confirmed lately, and when: late reports and the lagging
    /// list may still speak of them.
    released: BTreeMap<HostName, Time>,
    /// Probes on their way, and other direct commands.
    probing: usize,
    commanding: usize,
    /// Machines whose orders wait until fewer commands are under way.
    to_command: VecDeque<HostName>,
    /// Bookings that wait for their record, by the record.
    recording: BTreeMap<(JobId, u32), Vec<(HostName, TaskId)>>,
    actions: Vec<Action>,
    /// Something changed that may let a task start.
    place_wanted: bool,
    place_at: Time,
    preempt_at: Time,
    watch_at: Time,
    started_at: Time,
    /// When it was last told the time.
    now: Time,
    /// The time of day, in milliseconds, by which deadlines are judged.
    day_ms: u64,
    /// How long tasks of a class ran, and how long their owners had guessed.
    runs: BTreeMap<String, (f64, f64)>,
}

/// Names of released machines are kept as long as a list or a late report may still show them.
const KEPT_RELEASED: Duration = Duration::from_secs(600);
/// An attempt that was started directly stays in its worker's memory for so many of its leases after
/// it ended, unless there are too many: reports have to stay small.
const KEPT_LEASES: u32 = 4;
const MAX_KEPT: usize = 200;
/// A machine that is to be taken and was not heard after its time is gone this much later.
const TAKEN_AFTER: Duration = Duration::from_millis(500);
/// How often the machines are looked through for silent ones.
const WATCH_EVERY: Duration = Duration::from_millis(250);
/// The longest time between two passes over the waiting tasks.
const PLACE_EVERY: Duration = Duration::from_secs(1);
const LEARN_KEEP: f64 = 0.98;
/// Machines that have reported get work after this part of the first report round.
const EARLY_PART: u32 = 4;
/// A failure on a machine keeps the job's tasks away from it for this long.
const AVOID: Duration = Duration::from_secs(20);

impl Controller {
    pub fn new(
        term: Term,
        holder: Stamp,
        rules: Rulebook,
        types: Vec<MachineType>,
        now: Time,
    ) -> Self {
        Controller {
            term,
            phase: Phase::Loading,
            valid_until: Time::default(),
            rules,
            types,
            hosts: BTreeMap::new(),
            jobs: BTreeMap::new(),
            ledger: Ledger::new(holder),
            fleet: Fleet::new(term),
            unheard_zones: Vec::new(),
            used: BTreeMap::new(),
            released: BTreeMap::new(),
            probing: 0,
            commanding: 0,
            to_command: VecDeque::new(),
            recording: BTreeMap::new(),
            actions: Vec::new(),
            place_wanted: false,
            place_at: now,
            preempt_at: now,
            watch_at: now,
            started_at: now,
            now,
            day_ms: 0,
            runs: BTreeMap::new(),
        }
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Whether the own lease surely stands: without it nothing is begun.
    fn may_act(&self, now: Time) -> bool {
        now < self.valid_until
    }

    /// The process stood still for longer than its lease, while the world went on. What was heard
    /// before is old, and so is what comes in now: it waited here for as long. A machine is used
    /// again once it has been heard twice, or has answered a probe.
    pub fn stood_still(&mut self) {
        for host in self.hosts.values_mut() {
            if host.life == Life::Up {
                host.enter(Life::Silent);
            }
        }
    }

    /// The one place where the controller changes its phase.
    fn enter(&mut self, phase: Phase) {
        log::info!("term {}: {:?} -> {phase:?}", self.term, self.phase);
        self.phase = phase;
        self.place_wanted = true;
    }

    // ---- jobs

    /// A job's record, at the start or as news of the watch.
    pub fn on_job(&mut self, record: JobRecord, live: Stamp) {
        let id = record.spec.id;
        if self.jobs.get(&id).is_some_and(|j| j.spec.is_some()) {
            return;
        }
        log::debug!(
            "{id}: {} tasks, {:?}, {} CPUs, due in {} s",
            record.spec.tasks,
            record.spec.priority,
            record.spec.cpus.0,
            record.spec.deadline_s.map_or(f64::INFINITY, |d| d.0)
        );
        let age = self.day_ms.saturating_sub(record.at_ms);
        let at = Time(self.now.0.saturating_sub(age));
        self.fleet.arrived(at, &record.spec);
        self.jobs.insert(id, Job::new(record, live));
        self.place_wanted = true;
    }

    /// Its record is gone: cancelled by its user, unless it was this leader that finished it.
    pub fn on_job_gone(&mut self, id: JobId, now: Time) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !matches!(job.phase, JobPhase::Active | JobPhase::Finishing) {
            return;
        }
        log::debug!("{id}: withdrawn with {} tasks booked", job.booked);
        job.enter(JobPhase::Withdrawn, now);
        let booked: Vec<(HostName, TaskId)> = self
            .hosts
            .values()
            .flat_map(|h| h.bookings.keys().map(|t| (h.name.clone(), *t)))
            .filter(|(_, task)| task.job == id)
            .collect();
        for (host, task) in booked {
            self.stop(&host, task, StopWhy::Withdrawn, now);
        }
        // What was not written yet was ended just now, and no record of it will come.
        self.recording.retain(|(job, _), _| *job != id);
        self.settle(id, now);
        self.place_wanted = true;
    }

    /// Marks a booking to be stopped and tells its worker at once.
    fn stop(&mut self, name: &HostName, task: TaskId, why: StopWhy, now: Time) {
        let Some(mut host) = self.hosts.remove(name) else {
            return;
        };
        if let Some(booking) = host.bookings.get_mut(&task) {
            booking.stop = Some(why);
            if !booking.sent {
                // No `run` of it ever left, so it is nowhere.
                self.end_booking(&mut host, task, false, now);
            } else {
                self.command(&mut host, now);
            }
        }
        self.hosts.insert(name.clone(), host);
    }

    /// After a booking ended or a task got done: the job may be at its end.
    fn settle(&mut self, id: JobId, now: Time) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        match job.phase {
            JobPhase::Active if job.done == job.total => {
                job.enter(JobPhase::Finishing, now);
                self.ledger.finish(id);
            }
            JobPhase::Withdrawn if job.booked == 0 => {
                job.enter(JobPhase::Sweeping, now);
                self.ledger.sweep(id);
            }
            _ => {}
        }
    }

    pub fn on_run_record(
        &mut self,
        id: JobId,
        number: u32,
        record: &ChunkRecord,
        stamp: Stamp,
        now: Time,
    ) {
        let job = self
            .jobs
            .entry(id)
            .or_insert_with(|| Job::orphan(id, record, now));
        let (need, team) = (job.need, job.team.clone());
        let stop = (job.phase == JobPhase::Withdrawn).then_some(StopWhy::Withdrawn);
        for (index, attempt, name, session) in job.load(number, record, stamp) {
            let task = TaskId { job: id, index };
            let host = self
                .hosts
                .entry(name.clone())
                .or_insert_with(|| Host::new(name, now));
            host.session = host.session.max(session);
            host.book(
                task,
                Booking {
                    attempt,
                    session,
                    need,
                    phase: BookingPhase::Ordered,
                    change: 0,
                    sent: true,
                    direct: false,
                    answered: Tick(0),
                    stop_told: Tick(0),
                    stop,
                    saving: false,
                    fetching: false,
                    since: now,
                    started: None,
                },
            );
            self.used.entry(team.clone()).or_default().add(&need);
        }
    }

    /// All records are in: from now on reports complete the picture.
    pub fn on_loaded(&mut self, now: Time) {
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in ids {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.loaded();
            }
            self.settle(id, now);
        }
        let round = self.rules.report.mul_f64(1.25) + Duration::from_millis(500);
        self.started_at = now;
        for host in self.hosts.values_mut() {
            // Only records speak for them; whether they are cut off or gone will show.
            host.heard_at = now;
            host.enter(Life::Silent);
        }
        self.enter(Phase::Gathering {
            until: now.after(round),
        });
    }

    // ---- workers

    /// Takes in a worker's own report and returns the orders for it.
    pub fn on_report(&mut self, report: &Report, now: Time) -> Result<Vec<Order>, Deposed> {
        self.take_in(report, true, now)
    }

    fn take_in(&mut self, report: &Report, own: bool, now: Time) -> Result<Vec<Order>, Deposed> {
        if report.token > self.term {
            return Err(Deposed(report.token));
        }
        if self.phase == Phase::Loading || self.released.contains_key(&report.host) {
            // The token alone keeps the worker's lease alive while the records are read.
            return Ok(Vec::new());
        }
        let name = report.host.clone();
        if report.token < self.term {
            if let Some(mut host) = self.hosts.remove(&name) {
                self.unfenced(&mut host, report, own, now);
                self.hosts.insert(name, host);
            }
            return Ok(Vec::new());
        }
        let mut host = self
            .hosts
            .remove(&name)
            .unwrap_or_else(|| Host::new(name.clone(), now));
        let orders = if host.is_news(report) {
            self.update(&mut host, report, own, now);
            if own {
                self.orders(&mut host, Some(report.tick), now)
            } else {
                Vec::new()
            }
        } else {
            log::debug!("{name}: late report {}/{}", report.session, report.tick);
            Vec::new()
        };
        self.hosts.insert(name, host);
        Ok(orders)
    }

    /// A report made before its worker saw our token may be a late copy from long ago, even from
    /// a machine that is gone by now. It proves nothing, not even that there is such a machine; the
    /// answer carries the token, and the next report counts.
    fn unfenced(&mut self, host: &mut Host, report: &Report, own: bool, now: Time) {
        self.describe(host, report);
        let at = (report.session, report.tick);
        if at > host.unfenced {
            // It was told the token before, and has not taken it in.
            if own && host.unfenced != (Session(0), Tick(0)) {
                host.ignored(now);
            }
            host.unfenced = at;
            if !own {
                // A probe for the wrong session was turned down; now the right one is known.
                host.probe_at = now;
            }
        }
    }

    /// What does not change in a machine's life.
    fn describe(&self, host: &mut Host, report: &Report) {
        if host.kind.is_none() || host.zone.is_empty() {
            host.kind = self.types.iter().position(|t| t.name == report.kind);
            host.zone = report.zone.clone();
            host.spot = report.spot;
        }
        host.address = report.address.parse().ok();
    }

    fn update(&mut self, host: &mut Host, report: &Report, own: bool, now: Time) {
        // Heard of before in this term: a report after a silence may have been under way for long.
        let back = host.up_at.is_some() && host.life == Life::Silent;
        if host.up_at.is_none() {
            host.up_at = Some(now);
            host.idle_since = host.bookings.is_empty().then_some(now);
        }
        self.describe(host, report);
        let before = host.ear;
        if host.token < report.token || !own {
            host.heeded();
        } else if back {
            host.listen(Ear::Doubted);
            host.probe_at = now;
        } else if host.ear == Ear::Doubted {
            host.listen(Ear::Open);
        }
        self.place_wanted |= host.ear != before;
        host.token = report.token;
        host.heard_at = now;
        if host.life != Life::Up {
            host.enter(Life::Up);
            if host.cordon == Some(Cordon::Lost) && host.life == Life::Up {
                host.cordon = None;
            }
            self.place_wanted = true;
        }
        if report.session > host.session {
            self.new_session(host, report.session, own, now);
        }
        host.tick = report.tick;
        for reported in &report.tasks {
            self.reported(host, reported, now);
        }
        self.absent(host, report, own, now);
        if let Some(notice) = report.notice_s {
            self.noticed(host, seconds(notice.0), now);
        }
    }

    /// The worker killed and forgot all that earlier sessions held.
    fn new_session(&mut self, host: &mut Host, session: Session, own: bool, now: Time) {
        let heard = now.since(host.heard_at) < self.rules.report * 2;
        if own && heard && host.session != Session(0) && host.life == Life::Up {
            // Its lease ran out although its reports were answered.
            host.ignored(now);
        }
        let old: Vec<TaskId> = host
            .bookings
            .iter()
            .filter(|(_, b)| b.session < session)
            .map(|(t, _)| *t)
            .collect();
        if !old.is_empty() {
            log::info!("{}: session {session}, {} tasks lost", host.name, old.len());
        }
        for task in old {
            self.end_booking(host, task, false, now);
        }
        host.session = session;
        host.leftovers.clear();
        host.unanswered.clear();
        self.place_wanted = true;
    }

    fn reported(&mut self, host: &mut Host, reported: &TaskReport, now: Time) {
        let TaskReport {
            task,
            attempt,
            state,
            ..
        } = *reported;
        let ours = host
            .bookings
            .get_mut(&task)
            .filter(|b| b.attempt == attempt);
        match (ours, state) {
            (Some(_), Reported::Ended) => self.ended(host, reported, now),
            (Some(booking), _) => {
                let told = booking.phase == BookingPhase::Ordered && booking.answered != Tick(0);
                booking.seen(reported, now);
                if told {
                    host.heeded();
                }
            }
            (None, Reported::Ended) => {
                // Its outcome is in the records already, or never mattered.
                host.leftovers.entry((task, attempt)).or_insert(Leftover {
                    change: 0,
                    kept_until: now,
                });
            }
            (None, _) => self.stray(host, task, attempt, now),
        }
    }

    fn ended(&mut self, host: &mut Host, reported: &TaskReport, now: Time) {
        let TaskReport {
            task,
            attempt,
            cause,
            ..
        } = *reported;
        let done = cause == Some(Cause::Done);
        match cause {
            Some(Cause::Done) => {
                let started = host.bookings.get(&task).and_then(|b| b.started);
                self.learn(task, started.map(|s| now.since(s).as_secs_f64()));
                host.failures = 0;
                host.failed_jobs.clear();
            }
            Some(Cause::Stopped) => {}
            Some(Cause::Error) => self.task_failed(host, task, now),
            _ => {
                log::info!("{}: {task} attempt {attempt} refused: {cause:?}", host.name);
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.not_before = now.after(Duration::from_secs(1));
                }
            }
        }
        let copies = host.bookings.get(&task).is_some_and(|b| b.direct);
        let kept_for = if copies {
            self.rules.lease * KEPT_LEASES
        } else {
            Duration::ZERO
        };
        let change = self.end_booking(host, task, done, now);
        let kept_until = now.after(kept_for);
        host.leftovers
            .insert((task, attempt), Leftover { change, kept_until });
        self.place_wanted = true;
    }

    /// Owners' guesses are often wrong, and some days all in the same direction.
    fn learn(&mut self, task: TaskId, ran: Option<f64>) {
        let spec = self.jobs.get(&task.job).and_then(|j| j.spec.as_ref());
        let (Some(spec), Some(ran)) = (spec, ran) else {
            return;
        };
        let (sum, guessed) = self.runs.entry(spec.class.clone()).or_default();
        // Older runs fade, so that a new day is noticed.
        *sum = *sum * LEARN_KEEP + ran;
        *guessed = *guessed * LEARN_KEEP + spec.estimate_s.0;
    }

    /// How long a task of the job is likely to run.
    fn expected_run(&self, job: &Job) -> f64 {
        let expected = match &job.spec {
            Some(spec) => self.expected_run_of(spec),
            None => job.estimate(),
        };
        // The job's own finished tasks tell more than any guess.
        let (own, count) = job.ran;
        (expected + own) / (1.0 + count)
    }

    /// How long a task of such a job is likely to run, by its owner's guess and the class's runs.
    fn expected_run_of(&self, spec: &JobSpec) -> f64 {
        let (ran, guessed) = self.runs.get(&spec.class).copied().unwrap_or_default();
        let estimate = spec.estimate_s.0.max(1.0);
        // A few guesses taken at their word keep the first runs from deciding alone.
        let prior = estimate * 4.0;
        estimate * ((ran + prior) / (guessed + prior)).clamp(0.4, 2.5)
    }

    /// How much longer a running task will take. One past its time shows that the guess was bad.
    fn expected_rest(&self, job: &Job, started: Option<Time>, now: Time) -> f64 {
        let run = self.expected_run(job);
        let ran = started.map_or(0.0, |s| now.since(s).as_secs_f64());
        (run - ran).max(ran * 0.25).max(1.0)
    }

    /// Ends a booking that is proven to have ended, and returns the change that holds the outcome.
    fn end_booking(&mut self, host: &mut Host, task: TaskId, done: bool, now: Time) -> u64 {
        let Some(booking) = host.unbook(task, now) else {
            return 0;
        };
        self.place_wanted = true;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return 0;
        };
        if let Some(used) = self.used.get_mut(&job.team) {
            used.remove(&booking.need);
        }
        let state = if done {
            TaskState::Done
        } else {
            TaskState::Waiting {
                last: booking.attempt,
            }
        };
        let mut change = 0;
        if let Some(number) = job.set_task(task.index, state) {
            change = job.chunk(number).map_or(0, |c| c.changes);
            self.ledger.changed(task.job, number, false);
        }
        self.settle(task.job, now);
        change
    }

    fn task_failed(&mut self, host: &mut Host, task: TaskId, now: Time) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.failed(&host.name, now);
        host.failed_jobs.insert(task.job, now);
        if job.suspect() {
            // It fails everywhere: that says nothing about this machine.
            return;
        }
        host.failures += 1;
        let proven = job.done > 0 || job.failed_on.len() == 1 && host.failures >= 3;
        log::info!("{}: {task} failed, {} in a row", host.name, host.failures);
        if host.failed_jobs.len() >= 2 || (proven && host.failures >= 2) {
            log::info!("{}: fails what it is given", host.name);
            host.cordon(Cordon::Sick);
        }
    }

    /// A task that the records don't place here. Book before run leaves no honest way to this,
    /// so it is stopped; until it has ended, it is not started elsewhere.
    fn stray(&mut self, host: &mut Host, task: TaskId, attempt: Attempt, now: Time) {
        log::warn!("{}: {task} attempt {attempt} is not booked here", host.name);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let free =
            matches!(job.task(task.index), Some(TaskState::Waiting { last }) if *last <= attempt);
        if job.phase != JobPhase::Active || !free || host.bookings.contains_key(&task) {
            return;
        }
        let (session, need) = (host.session, job.need);
        let state = TaskState::Booked {
            host: host.name.clone(),
            attempt,
            session,
        };
        let Some(number) = job.set_task(task.index, state) else {
            return;
        };
        let change = job.chunk(number).map_or(0, |c| c.changes);
        self.ledger.changed(task.job, number, true);
        self.used.entry(job.team.clone()).or_default().add(&need);
        host.book(
            task,
            Booking {
                attempt,
                session,
                need,
                phase: BookingPhase::Present,
                change,
                sent: true,
                direct: false,
                answered: Tick(0),
                stop_told: Tick(0),
                stop: Some(StopWhy::Drained),
                saving: false,
                fetching: false,
                since: now,
                started: None,
            },
        );
    }

    /// Looks at what the report lacks.
    fn absent(&mut self, host: &mut Host, report: &Report, own: bool, now: Time) {
        let listed: BTreeSet<(TaskId, Attempt)> =
            report.tasks.iter().map(|t| (t.task, t.attempt)).collect();
        host.leftovers.retain(|key, _| listed.contains(key));
        let missing: Vec<TaskId> = host
            .bookings
            .iter()
            .filter(|(task, b)| !listed.contains(&(**task, b.attempt)))
            .map(|(task, _)| *task)
            .collect();
        // Only what was in the answer to an older report should show by now.
        let told = |b: &Booking| b.stop_told != Tick(0) && report.tick > b.stop_told;
        let running = |b: &Booking| b.phase == BookingPhase::Present && !b.saving;
        let mut stops = host.bookings.values().filter(|b| b.stop.is_some());
        let mut unseen = own && stops.any(|b| told(b) && running(b));
        for task in missing {
            let Some(booking) = host.bookings.get(&task) else {
                continue;
            };
            // One that is still wanted is ordered again under the same attempt, which is safe.
            let wanted = booking.stop.is_none() && booking.phase != BookingPhase::Present;
            if wanted {
                unseen |= own && booking.answered != Tick(0) && report.tick > booking.answered;
                continue;
            }
            let (token, tick) = (report.token, report.tick);
            if host.proves_absence(task, booking, token, self.term, tick, own) {
                self.end_booking(host, task, false, now);
            }
        }
        if unseen {
            host.ignored(now);
        }
    }

    /// The cloud will take the machine: what can't end in time is moved now.
    fn noticed(&mut self, host: &mut Host, left: Duration, now: Time) {
        if host.gone_by.is_some() {
            return;
        }
        host.gone_by = Some(now.after(left));
        host.cordon(Cordon::Notice);
        self.place_wanted = true;
        for (task, booking) in &mut host.bookings {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let rest = self.expected_rest(job, booking.started, now);
            if rest > left.as_secs_f64() && booking.stop.is_none() {
                booking.stop = Some(StopWhy::Drained);
            }
        }
    }

    /// What the worker should do now. In the answer to a report, `run` can't be executed late.
    fn orders(&mut self, host: &mut Host, answer_to: Option<Tick>, now: Time) -> Vec<Order> {
        let may_start = self.may_act(now);
        let crowded = host.leftovers.len() > MAX_KEPT;
        let mut orders = Vec::new();
        for (&(task, attempt), leftover) in &host.leftovers {
            // Cleared too soon, a late copy of its `run` would start it anew.
            if now < leftover.kept_until && !crowded {
                continue;
            }
            let number = self
                .jobs
                .get(&task.job)
                .map(|j| (j, j.chunk_of(task.index)));
            let written = number
                .and_then(|(job, number)| job.chunk(number))
                .is_none_or(|chunk| chunk.written >= leftover.change);
            let finishing = self
                .jobs
                .get(&task.job)
                .is_some_and(|j| j.phase == JobPhase::Finishing);
            let fenced = host.token == self.term && !host.is_unanswered(task, attempt);
            if written && !finishing && fenced {
                orders.push(Order::Clear { task, attempt });
            }
        }
        let jobs = &self.jobs;
        for (&task, booking) in &mut host.bookings {
            let attempt = booking.attempt;
            match (booking.stop, booking.phase) {
                (Some(why), BookingPhase::Present) if !booking.saving => {
                    let spec = jobs.get(&task.job).and_then(|j| j.spec.as_ref());
                    let saves = why != StopWhy::Withdrawn;
                    let grace_s = spec
                        .filter(|s| saves && s.checkpoint_s.0 > 0.0)
                        .map_or(0.0, |s| s.save_s.0 * 1.2 + 1.0);
                    if let Some(tick) = answer_to {
                        booking.stop_told = tick;
                    }
                    orders.push(Order::Stop {
                        task,
                        attempt,
                        grace_s,
                    });
                }
                (None, BookingPhase::Ordered) if booking.session == host.session && may_start => {
                    booking.sent = true;
                    if let Some(tick) = answer_to {
                        booking.answered = tick;
                    }
                    orders.push(Order::Run { task, attempt });
                }
                _ => {}
            }
        }
        orders
    }

    /// Sends a worker its orders directly, so that a start need not wait for the next report.
    fn command(&mut self, host: &mut Host, now: Time) {
        let fresh = now.since(host.heard_at) <= self.rules.report.mul_f64(1.6);
        let ready = host.life == Life::Up && fresh && !host.commanding && host.ear == Ear::Open;
        let (true, Some(to)) = (ready, host.address) else {
            return;
        };
        if self.commanding >= self.rules.commands {
            self.to_command.push_back(host.name.clone());
            return;
        }
        let mut orders = self.orders(host, None, now);
        orders.retain(|o| !matches!(o, Order::Clear { .. }));
        if orders.is_empty() {
            return;
        }
        self.commanding += 1;
        for order in &orders {
            if let Order::Run { task, attempt } = order {
                *host.unanswered.entry((*task, *attempt)).or_default() += 1;
                if let Some(booking) = host.bookings.get_mut(task) {
                    booking.direct = true;
                }
            }
        }
        host.commanding = true;
        let (host, session) = (host.name.clone(), host.session);
        self.actions.push(Action::Command {
            host,
            to,
            session,
            orders,
        });
    }

    pub fn on_commanded(
        &mut self,
        name: &HostName,
        session: Session,
        orders: &[Order],
        result: CommandResult,
        now: Time,
    ) -> Result<(), Deposed> {
        if orders.is_empty() {
            self.probing = self.probing.saturating_sub(1);
        } else {
            self.commanding = self.commanding.saturating_sub(1);
        }
        let taken_in = self.commanded(name, session, orders, result, now);
        self.command_next(now);
        taken_in
    }

    /// Commands that waited for others to end go out, in their order.
    fn command_next(&mut self, now: Time) {
        while self.commanding < self.rules.commands {
            let Some(name) = self.to_command.pop_front() else {
                return;
            };
            if let Some(mut host) = self.hosts.remove(&name) {
                self.command(&mut host, now);
                self.hosts.insert(name, host);
            }
        }
    }

    fn commanded(
        &mut self,
        name: &HostName,
        session: Session,
        orders: &[Order],
        result: CommandResult,
        now: Time,
    ) -> Result<(), Deposed> {
        let Some(host) = self.hosts.get_mut(name) else {
            return Ok(());
        };
        host.commanding = false;
        let lost = matches!(result, CommandResult::Lost);
        if host.session == session && !lost {
            for order in orders {
                if let Order::Run { task, attempt } = order {
                    host.answered(*task, *attempt);
                }
            }
        }
        match result {
            CommandResult::Report(report) => {
                self.take_in(&report, false, now)?;
            }
            // A silent machine is silent to probes too, which says nothing new.
            CommandResult::NotSent | CommandResult::Lost if host.life == Life::Up => {
                host.ignored(now);
            }
            CommandResult::NotSent | CommandResult::Lost | CommandResult::HeldBack => {}
        }
        Ok(())
    }

    // ---- records

    pub fn next_batch(&mut self, max_changes: usize) -> Option<Txn> {
        if self.phase == Phase::Loading {
            return None;
        }
        self.ledger.next_batch(&mut self.jobs, max_changes)
    }

    pub fn on_verdict(&mut self, verdict: Verdict, now: Time) -> Result<(), Deposed> {
        match verdict {
            Verdict::Written(written) => self.on_written(&written, now),
            Verdict::Conflict { withdrawn } => {
                for id in withdrawn {
                    self.on_job_gone(id, now);
                }
            }
            Verdict::Deposed => return Err(Deposed(self.term)),
            Verdict::Again => {}
        }
        Ok(())
    }

    /// Bookings that are now in the records may run.
    fn on_written(&mut self, written: &Written, now: Time) {
        if written.chunks.is_empty() {
            return;
        }
        let mut ready: BTreeSet<HostName> = BTreeSet::new();
        for key in &written.chunks {
            let Some(waiting) = self.recording.remove(key) else {
                continue;
            };
            let done = self.jobs.get(&key.0).and_then(|j| j.chunk(key.1));
            let done = done.map_or(0, |c| c.written);
            let mut later = Vec::new();
            for (name, task) in waiting {
                let booking = self.hosts.get_mut(&name);
                let booking = booking.and_then(|h| h.bookings.get_mut(&task));
                let Some(booking) = booking.filter(|b| b.phase == BookingPhase::Recording) else {
                    continue;
                };
                if done >= booking.change {
                    booking.phase = BookingPhase::Ordered;
                    ready.insert(name);
                } else {
                    later.push((name, task));
                }
            }
            if !later.is_empty() {
                self.recording.insert(*key, later);
            }
        }
        for name in ready {
            if let Some(mut host) = self.hosts.remove(&name) {
                self.command(&mut host, now);
                self.hosts.insert(name, host);
            }
        }
    }

    // ---- time

    /// Does what time alone calls for.
    pub fn tick(&mut self, now: Time, day_ms: u64) {
        let may_act = self.may_act(now);
        self.day_ms = day_ms;
        self.now = now;
        match self.phase {
            Phase::Loading => return,
            Phase::Gathering { until } => {
                let all_up = self.hosts.values().all(|h| h.life == Life::Up);
                let round_over =
                    now >= until || (all_up && now.since(self.started_at) >= self.rules.report);
                let nothing_known = self.hosts.is_empty()
                    && now.since(self.started_at) >= Duration::from_millis(500);
                if !round_over && !nothing_known {
                    // What has reported may be used meanwhile: the records hold what is booked on
                    // the others, and none of these takes anything before it has reported.
                    let early = now.since(self.started_at) >= self.rules.report / EARLY_PART;
                    if may_act && early && std::mem::take(&mut self.place_wanted) {
                        self.place(now);
                    }
                    return;
                }
                self.enter(Phase::Placing);
            }
            Phase::Placing => {}
        }
        if now >= self.watch_at {
            self.watch_at = now.after(WATCH_EVERY);
            self.watch_hosts(now, may_act);
        }
        if may_act {
            // Jobs that were told to wait after a failure come back without any event.
            if std::mem::take(&mut self.place_wanted) || now >= self.place_at {
                self.place_at = now.after(PLACE_EVERY);
                self.place(now);
            }
            self.run_fleet(now);
        }
    }

    fn watch_hosts(&mut self, now: Time, may_act: bool) {
        let limit = self.rules.silent_limit();
        // In a cut the first machine is past the limit while the others are merely late: all that
        // missed a report count, or each would be given up alone, one after the other.
        let late = self.rules.report.mul_f64(1.8);
        let mut by_zone: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        let mut everywhere = (0, 0);
        for host in self.hosts.values_mut() {
            if host.life == Life::Up && now.since(host.heard_at) > limit {
                log::info!("{}: silent", host.name);
                host.enter(Life::Silent);
            }
            if matches!(host.life, Life::Up | Life::Silent) {
                let deaf = matches!(host.ear, Ear::Deaf { .. });
                let gone = usize::from(deaf || now.since(host.heard_at) > late);
                let (silent, all) = by_zone.entry(host.zone.clone()).or_default();
                *all += 1;
                *silent += gone;
                everywhere.0 += gone;
                everywhere.1 += 1;
            }
        }
        // Of machines that only the records of an earlier leader name the zone is not known. They are
        // all silent, but no zone of their own: that would look like a cut for ever.
        by_zone.insert(String::new(), everywhere);
        if !may_act {
            return;
        }
        self.probe(now);
        let mut give_up = Vec::new();
        for host in self.hosts.values() {
            if host.life == Life::Releasing {
                continue;
            }
            if self.host_is_lost(host, &by_zone, now) || self.holds_a_cancelled_task(host, now) {
                give_up.push((host.name.clone(), Cordon::Lost));
            } else if host.cordon == Some(Cordon::Sick) {
                give_up.push((host.name.clone(), Cordon::Sick));
            }
        }
        for (name, why) in give_up {
            if let Some(host) = self.hosts.get_mut(&name) {
                log::info!(
                    "{name}: given up, {:?}, {} booked",
                    host.life,
                    host.bookings.len()
                );
                host.cordon(why);
                host.enter(Life::Releasing);
                self.fleet.release(name);
            }
        }
    }

    /// Asks machines whether they hear: those that seem not to, and those that are silent here. The
    /// latter may still report to an earlier leader that is cut off with them; the command carries
    /// our token, and from then on they drop the answers of the other, who learns of it from them.
    fn probe(&mut self, now: Time) {
        let patience = self.rules.report.mul_f64(1.5);
        for host in self.hosts.values_mut() {
            if self.probing >= self.rules.probes {
                return;
            }
            let wanted = match host.life {
                Life::Up => host.ear != Ear::Open,
                Life::Silent => now.since(host.heard_at) > patience,
                Life::Expected => host
                    .running_since
                    .is_some_and(|at| now.since(at) > patience),
                Life::Releasing => false,
            };
            let due = wanted && now >= host.probe_at && !host.commanding;
            let (true, Some(to)) = (due, host.address) else {
                continue;
            };
            host.probe_at = now.after(self.rules.report * 2);
            host.commanding = true;
            self.probing += 1;
            let session = host.session.max(host.unfenced.0);
            let host = host.name.clone();
            self.actions.push(Action::Command {
                host,
                to,
                session,
                orders: Vec::new(),
            });
        }
    }

    fn host_is_lost(
        &self,
        host: &Host,
        by_zone: &BTreeMap<String, (usize, usize)>,
        now: Time,
    ) -> bool {
        let limit = self.rules.silent_limit();
        let silent_for = now.since(host.heard_at);
        // Many at once are cut off rather than broken: they come back, later.
        let (silent, all) = by_zone.get(&host.zone).copied().unwrap_or_default();
        let cut = silent >= 3 && silent * 2 > all || self.unheard_zones.contains(&host.zone);
        let taken = host.gone_by.is_some_and(|by| now.since(by) > TAKEN_AFTER);
        match (host.life, host.ear) {
            // The cloud has taken it, as it said it would.
            (Life::Up | Life::Silent, _) if taken && host.gone_by > Some(host.heard_at) => true,
            // No longer in the list, and silent for longer than reports take.
            (Life::Up | Life::Silent, _) if host.unlisted => {
                silent_for > self.rules.report.mul_f64(1.3)
            }
            (Life::Silent, _) => silent_for > if cut { self.rules.lease * 3 } else { limit },
            // Its tasks end with its lease, unless it hears again before.
            (Life::Up, Ear::Deaf { since }) => {
                let patience = if cut { 3 } else { 1 };
                now.since(since) > self.rules.lease * patience + limit
            }
            (Life::Expected, _) => {
                let kind = host.kind.and_then(|k| self.types.get(k));
                let boot = kind.map_or(60.0, |t| t.boot_s.0);
                let overdue =
                    now.since(host.rented_at) > seconds(boot * self.rules.tuning.boot_patience);
                let said_running = host.running_since.is_some_and(|at| now.since(at) > limit);
                // A new leader finds machines that are long up: they get their time to report.
                now.since(host.known_at) > limit && (overdue || said_running)
            }
            (Life::Up | Life::Releasing, _) => false,
        }
    }

    /// A cancelled job's task sits on a machine that doesn't answer, and the time runs out.
    fn holds_a_cancelled_task(&self, host: &Host, now: Time) -> bool {
        let heard = now.since(host.heard_at) <= self.rules.report * 2 && host.ear == Ear::Open;
        host.bookings.iter().any(|(task, booking)| {
            let withdrawn_at = self.jobs.get(&task.job).and_then(|j| j.withdrawn_at);
            let share = if heard { 0.55 } else { 0.25 };
            booking.stop == Some(StopWhy::Withdrawn)
                && withdrawn_at.is_some_and(|at| now.since(at) > self.rules.cancel.mul_f64(share))
        })
    }

    /// The cloud confirmed: these machines and all on them are gone.
    pub fn on_gone(&mut self, names: &[HostName], now: Time) {
        for name in names {
            if let Some(mut host) = self.hosts.remove(name) {
                let tasks: Vec<TaskId> = host.bookings.keys().copied().collect();
                for task in tasks {
                    self.end_booking(&mut host, task, false, now);
                }
            }
            self.released.insert(name.clone(), now);
        }
        self.released
            .retain(|_, at| now.since(*at) <= KEPT_RELEASED);
        self.place_wanted = true;
    }

    pub fn on_types(&mut self, types: Vec<MachineType>) {
        if types == self.types {
            return;
        }
        let names: Vec<String> = self.types.iter().map(|t| t.name.clone()).collect();
        for host in self.hosts.values_mut() {
            let kind = host.kind.and_then(|k| names.get(k));
            host.kind = kind.and_then(|k| types.iter().position(|t| t.name == *k));
        }
        self.types = types;
        self.place_wanted = true;
    }

    /// How many of the machines that were up this leader still hears, and where most of them are.
    pub fn reach(&self, now: Time) -> Reach {
        let late = self.rules.report.mul_f64(1.8);
        let mut reach = Reach::default();
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
        for host in self.hosts.values() {
            if host.zone.is_empty() || !matches!(host.life, Life::Up | Life::Silent) {
                continue;
            }
            reach.known += 1;
            reach.heard += usize::from(now.since(host.heard_at) <= late);
            *zones.entry(&host.zone).or_default() += 1;
        }
        reach.home = zones
            .iter()
            .max_by_key(|(_, count)| **count)
            .map(|(zone, _)| (*zone).to_owned());
        reach
    }

    /// A line for the log that tells operators how things stand.
    pub fn summary(&self) -> String {
        let count = |life| self.hosts.values().filter(|h| h.life == life).count();
        let waiting: u64 = self.jobs.values().map(|j| u64::from(j.waiting())).sum();
        let booked: usize = self.hosts.values().map(|h| h.bookings.len()).sum();
        let fetching: usize = self
            .hosts
            .values()
            .map(|h| h.bookings.values().filter(|b| b.started.is_none()).count())
            .sum();
        let (mut used, mut closed, mut all) = (0.0, 0.0, 0.0);
        for host in self.hosts.values().filter(|h| h.life == Life::Up) {
            let cpus = host
                .kind
                .and_then(|k| self.types.get(k))
                .map_or(0.0, |t| t.cpus.0);
            used += host.used.cpus;
            all += cpus;
            if host.cordon.is_some() {
                closed += cpus - host.used.cpus;
            }
        }
        format!(
            "{} jobs, {waiting} tasks waiting, {booked} booked, {fetching} of them not started; {used} of {all} CPUs used, {closed} closed; machines: {} up, {} expected, {} silent, {} returning",
            self.jobs.len(),
            count(Life::Up),
            count(Life::Expected),
            count(Life::Silent),
            count(Life::Releasing),
        )
    }
}
