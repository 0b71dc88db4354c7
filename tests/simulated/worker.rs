//! The worker on a machine, as the protocol describes it, in simulated time: it runs tasks, sends
//! heartbeats, obeys commands, and ends all tasks when its lease expires.

use std::time::Duration;

use ciborium::Value;
use lichencrank_testkit::values::{list, map, number, text, Fields};

use super::checker::HeldTask;
use super::clock::{seconds, SimTime};
use super::deployment::MACHINE_TYPE;
use super::faults::FaultWindow;
use super::ids::{CallHandle, JobId, NodeIndex, TaskId};
use super::script::command::ReplicaEnd;

/// How long a worker waits for the response to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// The least time between two heartbeats, if there is news.
const LEAST_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The time until a worker tries the next controller.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// So long after it came up a machine counts as new.
const NEW_MACHINE_TIME: Duration = Duration::from_secs(3);

/// What is known of a machine from the moment when it is rented.
#[derive(Clone, Debug)]
pub struct MachineSpec {
    /// Its name.
    pub host: String,
    /// Where controllers reach its worker.
    pub address: String,
    /// The zone it is in.
    pub zone: String,
    /// Whether the cloud may take it away.
    pub is_spot: bool,
}

impl MachineSpec {
    /// The fields of the protocol, with the name under the given key.
    pub fn fields(&self, name_key: &'static str) -> Fields {
        vec![
            (name_key, self.host.as_str().into()),
            ("address", self.address.as_str().into()),
            ("hosttype", MACHINE_TYPE.name.into()),
            ("hall", self.zone.as_str().into()),
            ("loaners", self.is_spot.into()),
        ]
    }
}

/// What a worker knows of a task that it is told to run.
#[derive(Clone, Copy, Debug)]
pub struct TaskProfile {
    /// The room that it takes.
    pub cpus: f64,
    /// How long it runs; `None`: until it is stopped.
    pub run_time: Option<Duration>,
}

/// Finds the profile of a task by its name; `None` if there is no such task.
pub type ProfileLookup<'a> = &'a dyn Fn(&str) -> Option<TaskProfile>;

/// A heartbeat in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatId {
    /// The worker's machine.
    pub host: String,
    /// Its number within the worker's session.
    pub tick: u64,
    /// When it was sent.
    pub sent_at: SimTime,
}

/// Why a task has ended, or never started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndCause {
    Completed,
    Failed,
    Stopped,
    UnknownTask,
    AlreadyRunning,
    NoRoom,
}

impl EndCause {
    /// The protocol's word.
    fn name(self) -> &'static str {
        match self {
            EndCause::Completed => "done",
            EndCause::Failed => "error",
            EndCause::Stopped => "halted",
            EndCause::UnknownTask => "no_such",
            EndCause::AlreadyRunning => "in_use",
            EndCause::NoRoom => "no_room",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    LoadingImage {
        until: SimTime,
    },
    Running {
        /// `None`: until it is stopped.
        until: Option<SimTime>,
    },
    Ended(EndCause),
}

/// One attempt at a task. It stays after its end, until the leader has acknowledged that.
#[derive(Clone, Debug)]
struct TaskAttempt {
    task: String,
    number: u64,
    profile: TaskProfile,
    state: AttemptState,
}

impl TaskAttempt {
    fn has_ended(&self) -> bool {
        matches!(self.state, AttemptState::Ended(_))
    }

    fn fields(&self) -> Value {
        let (status, cause) = match self.state {
            AttemptState::LoadingImage { .. } => ("fetching", Value::Null),
            AttemptState::Running { .. } => ("running", Value::Null),
            AttemptState::Ended(cause) => ("ended", cause.name().into()),
        };
        map(vec![
            ("piece", self.task.as_str().into()),
            ("try", self.number.into()),
            ("status", status.into()),
            ("cause", cause),
        ])
    }
}

/// What happened to a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskChange {
    /// It takes room from now on, and waits for its image.
    Accepted,
    /// It runs.
    Started,
    /// It ended, or was given up before it started.
    Ended {
        /// Whether it ran to its end.
        is_complete: bool,
    },
}

/// A change of a task, by the name that the worker was given.
#[derive(Clone, Debug)]
pub struct TaskEvent {
    /// The task's name.
    pub task: String,
    /// What happened.
    pub change: TaskChange,
}

/// A command of a controller that waits for a paused worker.
pub struct QueuedCommand {
    /// The call with the command.
    pub call: CallHandle,
    /// The command.
    pub command: Value,
}

#[derive(Default)]
struct WorkerFaults {
    pause: FaultWindow,
    inbound_loss: FaultWindow,
    outbound_loss: FaultWindow,
    isolation: FaultWindow,
    failing_tasks: FaultWindow,
}

/// The worker of one machine.
pub struct Worker {
    spec: MachineSpec,
    /// How long the image of a task takes to load.
    image_load_time: Duration,
    up_at: SimTime,
    /// Whether the machine has come up.
    has_booted: bool,
    /// Grows whenever the lease expired.
    session: u64,
    /// Numbers the heartbeats of a session.
    tick: u64,
    /// The highest fencing token that the worker has seen.
    fencing_token: u64,
    attempts: Vec<TaskAttempt>,
    lease: Duration,
    /// When the last heartbeat was sent that renewed the lease.
    lease_renewed_at: SimTime,
    /// The controller that gets the next heartbeat, counted on beyond the last one.
    next_controller: usize,
    heartbeat_in_flight: Option<HeartbeatId>,
    next_heartbeat_at: SimTime,
    last_heartbeat_at: SimTime,
    /// Something has changed since the last heartbeat.
    has_news: bool,
    faults: WorkerFaults,
    /// When the cloud takes the machine away, if it has given notice.
    preempted_at: Option<SimTime>,
    /// Whether the worker stood still when it was looked at last.
    was_paused: bool,
    /// When the worker did something last.
    advanced_at: SimTime,
    /// Commands that arrived while the worker stood still.
    queued_commands: Vec<QueuedCommand>,
    events: Vec<TaskEvent>,
}

impl Worker {
    /// The worker of a machine that comes up at `up_at` and reports to that controller first.
    pub fn new(
        spec: MachineSpec,
        up_at: SimTime,
        image_load_time: Duration,
        first_controller: NodeIndex,
    ) -> Worker {
        Worker {
            spec,
            image_load_time,
            up_at,
            has_booted: false,
            session: 1,
            tick: 0,
            fencing_token: 0,
            attempts: Vec::new(),
            lease: Duration::ZERO,
            lease_renewed_at: SimTime::START,
            next_controller: first_controller.0,
            heartbeat_in_flight: None,
            next_heartbeat_at: SimTime::START,
            last_heartbeat_at: SimTime::START,
            has_news: false,
            faults: WorkerFaults::default(),
            preempted_at: None,
            was_paused: false,
            advanced_at: SimTime::START,
            queued_commands: Vec::new(),
            events: Vec::new(),
        }
    }

    /// What is known of the machine.
    pub fn spec(&self) -> &MachineSpec {
        &self.spec
    }

    /// When the machine comes up.
    pub fn up_at(&self) -> SimTime {
        self.up_at
    }

    /// Whether the machine has come up.
    pub fn has_booted(&self) -> bool {
        self.has_booted
    }

    /// The machine is up; the lease of its worker begins.
    pub fn boot(&mut self, now: SimTime, lease: Duration) {
        self.has_booted = true;
        self.up_at = now;
        self.lease = lease;
        self.lease_renewed_at = now;
        self.next_heartbeat_at = now;
    }

    /// Whether the machine has come up just now.
    pub fn is_new(&self, now: SimTime) -> bool {
        self.has_booted && now < self.up_at + NEW_MACHINE_TIME
    }
}

/// Tasks.
impl Worker {
    /// All tasks that are here, also those that have ended.
    pub fn held_tasks(&self) -> Vec<HeldTask> {
        let held = |attempt: &TaskAttempt| {
            Some(HeldTask {
                task: TaskId::parse(&attempt.task)?,
                has_ended: attempt.has_ended(),
            })
        };
        self.attempts.iter().filter_map(held).collect()
    }

    /// Whether a task of the job is here, or has ended here.
    pub fn holds_job(&self, job: JobId) -> bool {
        let prefix = format!("{job}/");
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.task.starts_with(&prefix))
    }

    /// Whether a task is here that has not ended.
    pub fn holds_work(&self) -> bool {
        !self.attempts.iter().all(TaskAttempt::has_ended)
    }

    /// The present session.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// What has happened to tasks since the last time.
    pub fn take_events(&mut self) -> Vec<TaskEvent> {
        std::mem::take(&mut self.events)
    }

    fn push_event(&mut self, task: &str, change: TaskChange) {
        self.events.push(TaskEvent {
            task: task.to_owned(),
            change,
        });
    }

    fn free_cpus(&self) -> f64 {
        let present = self.attempts.iter().filter(|attempt| !attempt.has_ended());
        MACHINE_TYPE.cpus - present.map(|attempt| attempt.profile.cpus).sum::<f64>()
    }

    /// Time passes: images arrive, tasks end, the lease expires.
    pub fn advance(&mut self, now: SimTime) {
        if now > self.lease_renewed_at + self.lease {
            self.expire_lease(now);
        }
        for index in 0..self.attempts.len() {
            self.advance_attempt(now, index);
        }
    }

    fn expire_lease(&mut self, now: SimTime) {
        self.give_up_all_tasks();
        self.session += 1;
        self.tick = 0;
        self.lease_renewed_at = now;
        self.heartbeat_in_flight = None;
        self.has_news = true;
    }

    /// The machine is gone, or its lease has expired: all tasks end.
    pub fn give_up_all_tasks(&mut self) {
        for attempt in std::mem::take(&mut self.attempts) {
            if !attempt.has_ended() {
                self.push_event(&attempt.task, TaskChange::Ended { is_complete: false });
            }
        }
    }

    fn advance_attempt(&mut self, now: SimTime, index: usize) {
        let attempt = &self.attempts[index];
        if matches!(attempt.state, AttemptState::LoadingImage { until } if now >= until) {
            self.start_attempt(now, index);
        }
        let attempt = &self.attempts[index];
        if matches!(attempt.state, AttemptState::Running { until: Some(until) } if now >= until) {
            self.end_attempt(index, EndCause::Completed);
        }
    }

    fn start_attempt(&mut self, now: SimTime, index: usize) {
        let attempt = &mut self.attempts[index];
        let until = attempt.profile.run_time.map(|run_time| now + run_time);
        attempt.state = AttemptState::Running { until };
        let task = attempt.task.clone();
        self.push_event(&task, TaskChange::Started);
        self.has_news = true;
        if self.faults.failing_tasks.is_active(now) {
            self.end_attempt(index, EndCause::Failed);
        }
    }

    fn end_attempt(&mut self, index: usize, cause: EndCause) {
        let attempt = &mut self.attempts[index];
        attempt.state = AttemptState::Ended(cause);
        let task = attempt.task.clone();
        let is_complete = cause == EndCause::Completed;
        self.push_event(&task, TaskChange::Ended { is_complete });
        self.has_news = true;
    }

    /// Replicas that run until they are stopped end by themselves, each with that probability. Returns how
    /// many did.
    pub fn end_replicas(
        &mut self,
        end: ReplicaEnd,
        probability: f64,
        random: &mut fastrand::Rng,
    ) -> usize {
        let mut ended_count = 0;
        for attempt in &mut self.attempts {
            let is_endless = attempt.state == AttemptState::Running { until: None };
            if is_endless && random.f64() < probability {
                attempt.state = AttemptState::Ended(match end {
                    ReplicaEnd::Completed => EndCause::Completed,
                    ReplicaEnd::Failed => EndCause::Failed,
                });
                self.events.push(TaskEvent {
                    task: attempt.task.clone(),
                    change: TaskChange::Ended { is_complete: false },
                });
                self.has_news = true;
                ended_count += 1;
            }
        }
        ended_count
    }
}

/// Heartbeats and commands.
impl Worker {
    /// The controller that gets the next heartbeat.
    pub fn controller(&self, controller_count: usize) -> NodeIndex {
        NodeIndex(self.next_controller % controller_count)
    }

    /// Whether a heartbeat goes out now; the next one goes out an interval later, if there is no news.
    pub fn is_heartbeat_due(&mut self, now: SimTime, interval: Duration) -> bool {
        if let Some(heartbeat) = &self.heartbeat_in_flight {
            if now >= heartbeat.sent_at + HEARTBEAT_TIMEOUT {
                self.try_next_controller(now);
            }
            return false;
        }
        let is_news_due = self.has_news && now >= self.last_heartbeat_at + LEAST_HEARTBEAT_INTERVAL;
        let is_due = now >= self.next_heartbeat_at || is_news_due;
        if is_due {
            self.has_news = false;
            self.last_heartbeat_at = now;
            self.next_heartbeat_at = now + interval;
        }
        is_due
    }

    /// The worker waits for the response to the heartbeat that [`Worker::status`] has made.
    pub fn start_heartbeat(&mut self, now: SimTime) -> HeartbeatId {
        let heartbeat = HeartbeatId {
            host: self.spec.host.clone(),
            tick: self.tick,
            sent_at: now,
        };
        self.heartbeat_in_flight = Some(heartbeat.clone());
        heartbeat
    }

    /// Whether the worker waits for the response to that heartbeat.
    pub fn awaits(&self, heartbeat: &HeartbeatId) -> bool {
        let in_flight = self.heartbeat_in_flight.as_ref();
        in_flight.is_some_and(|in_flight| in_flight.tick == heartbeat.tick)
    }

    /// The last controller was of no help: the next one gets a heartbeat a while later.
    pub fn try_next_controller(&mut self, now: SimTime) {
        self.heartbeat_in_flight = None;
        self.next_controller += 1;
        self.has_news = false;
        self.next_heartbeat_at = now + RETRY_INTERVAL;
    }

    /// The last controller has named another, which gets the next heartbeat.
    pub fn redirect(&mut self, controller: NodeIndex, next_heartbeat_at: SimTime) {
        self.heartbeat_in_flight = None;
        self.next_controller = controller.0;
        self.next_heartbeat_at = next_heartbeat_at;
    }

    /// The leader has answered a heartbeat: this renews the lease, and the worker obeys the orders, unless the
    /// lease has expired before.
    pub fn accept_heartbeat_response(
        &mut self,
        heartbeat: &HeartbeatId,
        message: &Value,
        now: SimTime,
        lookup: ProfileLookup,
    ) {
        if !self.awaits(heartbeat) {
            return;
        }
        self.heartbeat_in_flight = None;
        if self.accepts_token(message) {
            self.lease_renewed_at = heartbeat.sent_at;
            self.obey_orders(message, now, lookup);
        }
    }

    /// A direct command. Returns whether the worker has carried it out.
    pub fn execute_command(
        &mut self,
        message: &Value,
        now: SimTime,
        lookup: ProfileLookup,
    ) -> bool {
        let is_for_session = number(message, "tenure") == self.session;
        if !is_for_session || !self.accepts_token(message) {
            return false;
        }
        self.obey_orders(message, now, lookup);
        true
    }

    fn accepts_token(&mut self, message: &Value) -> bool {
        let token = number(message, "baton");
        if token == 0 || token < self.fencing_token {
            return false;
        }
        self.has_news |= token > self.fencing_token;
        self.fencing_token = token;
        true
    }

    fn obey_orders(&mut self, message: &Value, now: SimTime, lookup: ProfileLookup) {
        for order in list(message, "orders") {
            let (task, number) = (text(order, "piece"), number(order, "try"));
            let is_same = |attempt: &TaskAttempt| attempt.task == task && attempt.number == number;
            let index = self.attempts.iter().position(is_same);
            match (text(order, "verb").as_str(), index) {
                ("run", None) => self.start_loading(task, number, now, lookup),
                ("stop", Some(index)) if !self.attempts[index].has_ended() => {
                    self.end_attempt(index, EndCause::Stopped);
                }
                ("clear", Some(index)) if self.attempts[index].has_ended() => {
                    self.attempts.remove(index);
                }
                // The answer to a repeated order to stop is that the task has ended.
                ("stop", Some(_)) => {}
                _ => continue,
            }
            self.has_news = true;
        }
    }

    fn start_loading(&mut self, task: String, number: u64, now: SimTime, lookup: ProfileLookup) {
        let profile = lookup(&task);
        let state = match self.reason_to_refuse(&task, profile) {
            Some(cause) => AttemptState::Ended(cause),
            None => {
                self.push_event(&task, TaskChange::Accepted);
                let until = now + self.image_load_time;
                AttemptState::LoadingImage { until }
            }
        };
        let no_profile = TaskProfile {
            cpus: 0.0,
            run_time: Some(Duration::ZERO),
        };
        self.attempts.push(TaskAttempt {
            task,
            number,
            profile: profile.unwrap_or(no_profile),
            state,
        });
    }

    fn reason_to_refuse(&self, task: &str, profile: Option<TaskProfile>) -> Option<EndCause> {
        let Some(profile) = profile else {
            return Some(EndCause::UnknownTask);
        };
        let is_present = |attempt: &TaskAttempt| attempt.task == task && !attempt.has_ended();
        if self.attempts.iter().any(is_present) {
            return Some(EndCause::AlreadyRunning);
        }
        (profile.cpus > self.free_cpus()).then_some(EndCause::NoRoom)
    }

    /// The status of the machine and its tasks, for a heartbeat or the response to a command.
    pub fn status(&mut self, now: SimTime) -> Value {
        self.tick += 1;
        let attempts = self.attempts.iter().map(TaskAttempt::fields);
        let notice = self.preempted_at.map(|at| seconds(at.since(now)));
        let mut fields = self.spec.fields("host");
        fields.extend([
            ("tenure", self.session.into()),
            ("tick", self.tick.into()),
            ("baton", self.fencing_token.into()),
            ("warningS", notice.map_or(Value::Null, Value::from)),
            ("pieces", Value::Array(attempts.collect())),
        ]);
        map(fields)
    }
}

/// Faults.
impl Worker {
    /// The worker stands still while this lasts.
    pub fn pause(&mut self, window: FaultWindow) {
        self.faults.pause = window;
    }

    /// Nothing that is sent to the worker arrives while this lasts.
    pub fn lose_inbound(&mut self, window: FaultWindow) {
        self.faults.inbound_loss = window;
    }

    /// No heartbeat arrives while this lasts.
    pub fn lose_outbound(&mut self, window: FaultWindow) {
        self.faults.outbound_loss = window;
    }

    /// Nothing that is sent to the worker arrives, and no heartbeat, while this lasts.
    pub fn isolate(&mut self, window: FaultWindow) {
        self.faults.isolation = window;
    }

    /// Every task that starts fails while this lasts.
    pub fn fail_tasks(&mut self, window: FaultWindow) {
        self.faults.failing_tasks = window;
    }

    /// The cloud gives notice that it takes the machine away.
    pub fn give_notice(&mut self, preempted_at: SimTime) {
        self.preempted_at = Some(preempted_at);
        self.has_news = true;
    }

    /// Whether the cloud takes the machine away now.
    pub fn is_preempted(&self, now: SimTime) -> bool {
        self.preempted_at.is_some_and(|at| now >= at)
    }

    /// Whether the worker stands still.
    pub fn is_paused(&self, now: SimTime) -> bool {
        self.faults.pause.is_active(now)
    }

    /// Whether messages to the worker arrive.
    pub fn receives(&self, now: SimTime) -> bool {
        !self.faults.inbound_loss.is_active(now) && !self.faults.isolation.is_active(now)
    }

    /// Whether heartbeats arrive.
    pub fn sends(&self, now: SimTime) -> bool {
        !self.faults.outbound_loss.is_active(now) && !self.faults.isolation.is_active(now)
    }

    /// Notes whether the worker stands still, and returns that. When it goes on, its tasks have missed the
    /// time in between.
    pub fn update_pause(&mut self, now: SimTime) -> bool {
        if self.is_paused(now) {
            self.was_paused = true;
            return true;
        }
        if std::mem::take(&mut self.was_paused) {
            self.postpone_tasks(now.since(self.advanced_at));
        }
        self.advanced_at = now;
        false
    }

    fn postpone_tasks(&mut self, duration: Duration) {
        for attempt in &mut self.attempts {
            match &mut attempt.state {
                AttemptState::LoadingImage { until }
                | AttemptState::Running { until: Some(until) } => *until = *until + duration,
                AttemptState::Running { until: None } | AttemptState::Ended(_) => {}
            }
        }
    }

    /// A command arrives while the worker stands still.
    pub fn queue_command(&mut self, command: QueuedCommand) {
        self.queued_commands.push(command);
    }

    /// Takes the commands that arrived while the worker stood still.
    pub fn take_queued_commands(&mut self) -> Vec<QueuedCommand> {
        std::mem::take(&mut self.queued_commands)
    }
}
