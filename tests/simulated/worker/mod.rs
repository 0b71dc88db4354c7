//! The worker on a machine, as the protocol describes it, in simulated time: it runs tasks, sends
//! heartbeats, obeys commands, and ends all tasks when its lease expires.

mod faults;
mod heartbeat_schedule;
mod task_runner;

use std::time::Duration;

use ciborium::Value;
use lichencrank_testkit::values::{list, map, number, text, Fields};

use super::clock::{seconds, SimTime};
use super::deployment::MACHINE_TYPE;
use super::ids::{CallHandle, NodeIndex};
use super::script::command::ReplicaEnd;
use faults::WorkerFaults;
pub use heartbeat_schedule::HeartbeatId;
use heartbeat_schedule::HeartbeatSchedule;
use task_runner::{AttemptId, TaskRunner};
pub use task_runner::{ProfileLookup, TaskChange, TaskEvent, TaskProfile};

/// So long after it came up a machine counts as new.
const NEW_MACHINE_TIME: Duration = Duration::from_secs(3);

/// What is known of a machine from the moment when it is rented.
#[derive(Clone, Debug)]
pub struct HostSpec {
    /// Its name.
    pub name: String,
    /// Where controllers reach its worker.
    pub address: String,
    /// The zone it is in.
    pub zone: String,
    /// Whether the cloud may take it away.
    pub is_spot: bool,
}

impl HostSpec {
    /// The fields of the protocol, with the name under the given key.
    pub fn fields(&self, name_key: &'static str) -> Fields {
        vec![
            (name_key, self.name.as_str().into()),
            ("address", self.address.as_str().into()),
            ("hosttype", MACHINE_TYPE.name.into()),
            ("hall", self.zone.as_str().into()),
            ("loaners", self.is_spot.into()),
        ]
    }
}

/// A command of a controller that waits for a paused worker.
pub struct QueuedCommand {
    /// The call with the command.
    pub call: CallHandle,
    /// The command.
    pub command: Value,
}

/// The worker of one machine.
pub struct Worker {
    spec: HostSpec,
    up_at: SimTime,
    /// Whether the machine has come up.
    has_booted: bool,
    /// Grows whenever the lease expired.
    session: u64,
    /// Numbers the heartbeats of a session.
    tick: u64,
    /// The highest fencing token that the worker has seen.
    fencing_token: u64,
    lease: Duration,
    /// When the last heartbeat was sent that renewed the lease.
    lease_renewed_at: SimTime,
    tasks: TaskRunner,
    heartbeats: HeartbeatSchedule,
    faults: WorkerFaults,
    /// When the cloud takes the machine away, if it has given notice.
    preempted_at: Option<SimTime>,
    /// Whether the worker stood still when it was looked at last.
    was_paused: bool,
    /// When the worker did something last.
    advanced_at: SimTime,
    /// Commands that arrived while the worker stood still.
    queued_commands: Vec<QueuedCommand>,
}

impl Worker {
    /// The worker of a machine that comes up at `up_at` and reports to that controller first.
    pub fn new(
        spec: HostSpec,
        up_at: SimTime,
        image_load_time: Duration,
        first_controller: NodeIndex,
    ) -> Worker {
        Worker {
            spec,
            up_at,
            has_booted: false,
            session: 1,
            tick: 0,
            fencing_token: 0,
            lease: Duration::ZERO,
            lease_renewed_at: SimTime::START,
            tasks: TaskRunner::new(image_load_time),
            heartbeats: HeartbeatSchedule::new(first_controller),
            faults: WorkerFaults::default(),
            preempted_at: None,
            was_paused: false,
            advanced_at: SimTime::START,
            queued_commands: Vec::new(),
        }
    }

    /// What is known of the machine.
    pub fn spec(&self) -> &HostSpec {
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
        self.heartbeats.start(now);
    }

    /// Whether the machine has come up just now.
    pub fn is_new(&self, now: SimTime) -> bool {
        self.has_booted && now < self.up_at + NEW_MACHINE_TIME
    }

    /// The tasks that are here.
    pub fn tasks(&self) -> &TaskRunner {
        &self.tasks
    }

    /// What has happened to tasks since the last time.
    pub fn take_task_events(&mut self) -> Vec<TaskEvent> {
        self.tasks.take_events()
    }

    /// The heartbeats that go out.
    pub fn heartbeats_mut(&mut self) -> &mut HeartbeatSchedule {
        &mut self.heartbeats
    }

    /// Faults of the machine.
    pub fn faults_mut(&mut self) -> &mut WorkerFaults {
        &mut self.faults
    }

    /// Faults of the machine.
    pub fn faults(&self) -> &WorkerFaults {
        &self.faults
    }

    /// Time passes: images arrive, tasks end, the lease expires. Returns whether the lease has expired and
    /// ended tasks.
    pub fn advance(&mut self, now: SimTime) -> bool {
        let lease_has_expired = now > self.lease_renewed_at + self.lease;
        let held_work = self.tasks.holds_work();
        if lease_has_expired {
            self.expire_lease(now);
        }
        let tasks_fail = self.faults.failing_tasks.is_active(now);
        if self.tasks.advance(now, tasks_fail) {
            self.heartbeats.note_news();
        }
        lease_has_expired && held_work
    }

    fn expire_lease(&mut self, now: SimTime) {
        self.tasks.give_up_all();
        self.session += 1;
        self.tick = 0;
        self.lease_renewed_at = now;
        self.heartbeats.clear_in_flight();
        self.heartbeats.note_news();
    }

    /// The machine is gone with all its tasks.
    pub fn shut_down(&mut self) {
        self.tasks.give_up_all();
    }

    /// Replicas end by themselves, each with that probability. Returns how many did.
    pub fn end_replicas(
        &mut self,
        end: ReplicaEnd,
        probability: f64,
        random: &mut fastrand::Rng,
    ) -> usize {
        let ended_count = self.tasks.end_replicas(end, probability, random);
        if ended_count > 0 {
            self.heartbeats.note_news();
        }
        ended_count
    }

    /// The cloud gives notice that it takes the machine away.
    pub fn give_notice(&mut self, preempted_at: SimTime) {
        self.preempted_at = Some(preempted_at);
        self.heartbeats.note_news();
    }

    /// Whether the cloud takes the machine away now.
    pub fn is_preempted(&self, now: SimTime) -> bool {
        self.preempted_at.is_some_and(|at| now >= at)
    }
}

/// Standing still.
impl Worker {
    /// Whether the worker stands still.
    pub fn is_paused(&self, now: SimTime) -> bool {
        self.faults.pause.is_active(now)
    }

    /// Notes whether the worker stands still, and returns that. When it goes on, its tasks have missed the
    /// time in between.
    pub fn update_pause(&mut self, now: SimTime) -> bool {
        if self.is_paused(now) {
            self.was_paused = true;
            return true;
        }
        if std::mem::take(&mut self.was_paused) {
            self.tasks.postpone(now.since(self.advanced_at));
        }
        self.advanced_at = now;
        false
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

/// Messages to and from controllers.
impl Worker {
    /// The status of the machine and its tasks, for a heartbeat or the response to a command. Each has a
    /// number of its own.
    pub fn status(&mut self, now: SimTime) -> Value {
        self.tick += 1;
        let notice = self.preempted_at.map(|at| seconds(at.since(now)));
        let mut fields = self.spec.fields("host");
        fields.extend([
            ("tenure", self.session.into()),
            ("tick", self.tick.into()),
            ("baton", self.fencing_token.into()),
            ("warningS", notice.map_or(Value::Null, Value::from)),
            ("pieces", self.tasks.status()),
        ]);
        map(fields)
    }

    /// The last status goes out as a heartbeat.
    pub fn send_heartbeat(&mut self, now: SimTime) -> HeartbeatId {
        let heartbeat = HeartbeatId {
            host: self.spec.name.clone(),
            tick: self.tick,
            sent_at: now,
        };
        self.heartbeats.send(heartbeat.clone());
        heartbeat
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
        if !self.heartbeats.awaits(heartbeat) {
            return;
        }
        self.heartbeats.clear_in_flight();
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
        if token > self.fencing_token {
            self.heartbeats.note_news();
        }
        self.fencing_token = token;
        true
    }

    fn obey_orders(&mut self, message: &Value, now: SimTime, lookup: ProfileLookup) {
        for order in list(message, "orders") {
            let id = AttemptId {
                task: text(order, "piece"),
                number: number(order, "try"),
            };
            let has_effect = match text(order, "verb").as_str() {
                "run" => self.tasks.run(id, now, lookup),
                "stop" => self.tasks.stop(&id),
                "clear" => self.tasks.clear(&id),
                _ => false,
            };
            if has_effect {
                self.heartbeats.note_news();
            }
        }
    }
}
