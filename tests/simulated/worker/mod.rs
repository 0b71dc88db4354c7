//! The simulated worker of a host, which follows the worker protocol: it runs tasks, sends heartbeats, executes
//! commands, and ends all tasks when its lease expires.

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

/// How long a host counts as new after it has come up.
const NEW_HOST_PERIOD: Duration = Duration::from_secs(3);

/// Properties of a host that are fixed when it is provisioned.
#[derive(Clone, Debug)]
pub struct HostSpec {
    /// Name of the host.
    pub name: String,
    /// Address at which controllers reach its worker.
    pub address: String,
    /// Zone of the host.
    pub zone: String,
    /// Whether it is a spot host, which the cloud may reclaim.
    pub is_spot: bool,
}

impl HostSpec {
    /// The properties as fields of the protocol, with the name under the given key.
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

/// A controller's command that arrived while the worker was paused.
pub struct QueuedCommand {
    /// The call that carries the command.
    pub call: CallHandle,
    /// The command.
    pub command: Value,
}

/// The worker of one host.
pub struct Worker {
    spec: HostSpec,
    up_at: SimTime,
    /// Whether the host has come up.
    has_booted: bool,
    /// Increases each time the lease expires.
    incarnation: u64,
    /// Number of the last status that was created in this incarnation.
    sequence_number: u64,
    /// Highest fencing token that the worker has seen.
    fencing_token: u64,
    /// When a higher fencing token last counted as a change of the status.
    token_changed_at: Option<SimTime>,
    lease: Duration,
    /// When the last heartbeat that renewed the lease was sent.
    lease_renewed_at: SimTime,
    tasks: TaskRunner,
    heartbeats: HeartbeatSchedule,
    faults: WorkerFaults,
    /// When the cloud reclaims the host, if it has given notice.
    reclaim_at: Option<SimTime>,
    /// Whether the worker was paused at the last [`Worker::update_pause`].
    was_paused: bool,
    /// Time of the last [`Worker::update_pause`] at which the worker was not paused.
    last_advanced_at: SimTime,
    /// Commands that arrived while the worker was paused.
    queued_commands: Vec<QueuedCommand>,
}

impl Worker {
    /// Creates the worker of a host that comes up at `up_at`. Its first heartbeat goes to `first_controller`.
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
            incarnation: 1,
            sequence_number: 0,
            fencing_token: 0,
            token_changed_at: None,
            lease: Duration::ZERO,
            lease_renewed_at: SimTime::START,
            tasks: TaskRunner::new(image_load_time),
            heartbeats: HeartbeatSchedule::new(first_controller),
            faults: WorkerFaults::default(),
            reclaim_at: None,
            was_paused: false,
            last_advanced_at: SimTime::START,
            queued_commands: Vec::new(),
        }
    }

    /// Properties of the host.
    pub fn spec(&self) -> &HostSpec {
        &self.spec
    }

    /// When the host comes up.
    pub fn up_at(&self) -> SimTime {
        self.up_at
    }

    /// Whether the host has come up.
    pub fn has_booted(&self) -> bool {
        self.has_booted
    }

    /// Brings the host up and starts the lease of its worker.
    pub fn boot(&mut self, now: SimTime, lease: Duration) {
        self.has_booted = true;
        self.up_at = now;
        self.lease = lease;
        self.lease_renewed_at = now;
        self.heartbeats.start(now);
    }

    /// Whether the host came up less than `NEW_HOST_PERIOD` ago.
    pub fn is_new(&self, now: SimTime) -> bool {
        self.has_booted && now < self.up_at + NEW_HOST_PERIOD
    }

    /// The tasks on the host.
    pub fn tasks(&self) -> &TaskRunner {
        &self.tasks
    }

    /// Takes the task changes since the last call.
    pub fn take_task_events(&mut self) -> Vec<TaskEvent> {
        self.tasks.take_events()
    }

    /// The heartbeat schedule.
    pub fn heartbeats_mut(&mut self) -> &mut HeartbeatSchedule {
        &mut self.heartbeats
    }

    /// The host's faults, to be changed.
    pub fn faults_mut(&mut self) -> &mut WorkerFaults {
        &mut self.faults
    }

    /// The host's faults.
    pub fn faults(&self) -> &WorkerFaults {
        &self.faults
    }

    /// Advances the worker to `now`: images are loaded, tasks end, the lease expires. Returns whether the lease has
    /// expired and ended tasks.
    pub fn advance(&mut self, now: SimTime) -> bool {
        let lease_has_expired = now > self.lease_renewed_at + self.lease;
        let had_active_tasks = self.tasks.has_active_tasks();
        if lease_has_expired {
            self.expire_lease(now);
        }
        let tasks_fail = self.faults.failing_tasks.is_active(now);
        if self.tasks.advance(now, tasks_fail) {
            self.heartbeats.note_change();
        }
        lease_has_expired && had_active_tasks
    }

    fn expire_lease(&mut self, now: SimTime) {
        self.tasks.end_all();
        self.incarnation += 1;
        self.sequence_number = 0;
        self.lease_renewed_at = now;
        self.heartbeats.clear_in_flight();
        self.heartbeats.note_change();
    }

    /// Ends all tasks, as the host is gone.
    pub fn shut_down(&mut self) {
        self.tasks.end_all();
    }

    /// Ends each replica with the given probability, as if it had exited by itself. Returns how many ended.
    pub fn end_replicas(
        &mut self,
        end: ReplicaEnd,
        probability: f64,
        random: &mut fastrand::Rng,
    ) -> usize {
        let ended_count = self.tasks.end_replicas(end, probability, random);
        if ended_count > 0 {
            self.heartbeats.note_change();
        }
        ended_count
    }

    /// Receives the cloud's notice that it will reclaim the host.
    pub fn give_reclaim_notice(&mut self, reclaim_at: SimTime) {
        self.reclaim_at = Some(reclaim_at);
        self.heartbeats.note_change();
    }

    /// Whether the time has come at which the cloud reclaims the host.
    pub fn is_reclaimed(&self, now: SimTime) -> bool {
        self.reclaim_at.is_some_and(|at| now >= at)
    }
}

/// Pauses.
impl Worker {
    /// Whether the worker is paused.
    pub fn is_paused(&self, now: SimTime) -> bool {
        self.faults.pause.is_active(now)
    }

    /// Returns whether the worker is paused. At the end of a pause, its tasks are postponed by the duration of the
    /// pause.
    pub fn update_pause(&mut self, now: SimTime) -> bool {
        if self.is_paused(now) {
            self.was_paused = true;
            return true;
        }
        if std::mem::take(&mut self.was_paused) {
            self.tasks.postpone(now.since(self.last_advanced_at));
        }
        self.last_advanced_at = now;
        false
    }

    /// Queues a command that arrives while the worker is paused.
    pub fn queue_command(&mut self, command: QueuedCommand) {
        self.queued_commands.push(command);
    }

    /// Takes the commands that arrived while the worker was paused.
    pub fn take_queued_commands(&mut self) -> Vec<QueuedCommand> {
        std::mem::take(&mut self.queued_commands)
    }
}

/// Messages to and from controllers.
impl Worker {
    /// Status of the host and its tasks, for a heartbeat or the response to a command. Each call increments the
    /// sequence number.
    pub fn status(&mut self, now: SimTime) -> Value {
        self.sequence_number += 1;
        let reclaim_notice_s = self.reclaim_at.map(|at| seconds(at.since(now)));
        let mut fields = self.spec.fields("host");
        fields.extend([
            ("tenure", self.incarnation.into()),
            ("tick", self.sequence_number.into()),
            ("baton", self.fencing_token.into()),
            (
                "warningS",
                reclaim_notice_s.map_or(Value::Null, Value::from),
            ),
            ("pieces", self.tasks.status()),
        ]);
        map(fields)
    }

    /// Notes that the last status is sent as a heartbeat.
    pub fn send_heartbeat(&mut self, now: SimTime) -> HeartbeatId {
        let heartbeat = HeartbeatId {
            host: self.spec.name.clone(),
            sequence_number: self.sequence_number,
            sent_at: now,
        };
        self.heartbeats.record_sent(heartbeat.clone());
        heartbeat
    }

    /// Processes the leader's response to a heartbeat: renews the lease and executes the commands. The response is
    /// ignored if the worker no longer waits for it, as after the lease has expired, or if its fencing token is
    /// outdated.
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
        if self.accepts_token(message, now) {
            self.lease_renewed_at = heartbeat.sent_at;
            self.execute_commands(message, now, lookup);
        }
    }

    /// Executes commands that were sent directly, not in a heartbeat response. Returns `false` if they are for another
    /// incarnation or their fencing token is outdated.
    pub fn execute_command(
        &mut self,
        message: &Value,
        now: SimTime,
        lookup: ProfileLookup,
    ) -> bool {
        let is_for_incarnation = number(message, "tenure") == self.incarnation;
        if !is_for_incarnation || !self.accepts_token(message, now) {
            return false;
        }
        self.execute_commands(message, now, lookup);
        true
    }

    /// Whether the message has a command to run an attempt that the leader has told the worker to forget.
    pub fn has_forgotten_any(&self, message: &Value) -> bool {
        let mut commands = list(message, "orders").iter();
        commands.any(|command| {
            text(command, "verb") == "run" && self.tasks.is_cleared(&attempt_id(command))
        })
    }

    /// Whether the message has a fencing token (0 is none) that is not lower than the highest one seen so far.
    /// Remembers the token if so.
    fn accepts_token(&mut self, message: &Value, now: SimTime) -> bool {
        let token = number(message, "baton");
        if token == 0 || token < self.fencing_token {
            return false;
        }
        if token > self.fencing_token {
            self.note_higher_token(now);
        }
        self.fencing_token = token;
        true
    }

    /// A higher token counts as a change no more than once in half of the lease.
    fn note_higher_token(&mut self, now: SimTime) {
        let is_change = self
            .token_changed_at
            .is_none_or(|at| now >= at + self.lease / 2);
        if is_change {
            self.token_changed_at = Some(now);
            self.heartbeats.note_change();
        }
    }

    fn execute_commands(&mut self, message: &Value, now: SimTime, lookup: ProfileLookup) {
        for command in list(message, "orders") {
            let id = attempt_id(command);
            let has_effect = match text(command, "verb").as_str() {
                "run" => self.tasks.run(id, now, lookup),
                "stop" => self.tasks.stop(&id),
                "clear" => self.tasks.clear(&id),
                _ => false,
            };
            if has_effect {
                self.heartbeats.note_change();
            }
        }
    }
}

/// The attempt that a command is about.
fn attempt_id(command: &Value) -> AttemptId {
    AttemptId {
        task: text(command, "piece"),
        number: number(command, "try"),
    }
}
