//! The tasks on a machine: their images load, they run, end, and stay until the leader has acknowledged that.

use std::time::Duration;

use ciborium::Value;
use lichencrank_testkit::values::map;

use crate::simulated::checker::HeldTask;
use crate::simulated::clock::SimTime;
use crate::simulated::deployment::MACHINE_TYPE;
use crate::simulated::ids::{JobId, TaskId};
use crate::simulated::script::command::ReplicaEnd;

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

/// A task and the number of the attempt at it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The task's name, as the worker was given it.
    pub task: String,
    /// The number.
    pub number: u64,
}

#[derive(Clone, Debug)]
struct TaskAttempt {
    id: AttemptId,
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
            ("piece", self.id.task.as_str().into()),
            ("try", self.id.number.into()),
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

/// The tasks of one machine.
#[derive(Debug)]
pub struct TaskRunner {
    /// How long the image of a task takes to load.
    image_load_time: Duration,
    attempts: Vec<TaskAttempt>,
    events: Vec<TaskEvent>,
}

impl TaskRunner {
    /// A machine without tasks.
    pub fn new(image_load_time: Duration) -> TaskRunner {
        TaskRunner {
            image_load_time,
            attempts: Vec::new(),
            events: Vec::new(),
        }
    }

    /// All tasks that are here, also those that have ended.
    pub fn held_tasks(&self) -> Vec<HeldTask> {
        let held = |attempt: &TaskAttempt| {
            Some(HeldTask {
                task: TaskId::parse(&attempt.id.task)?,
                has_ended: attempt.has_ended(),
            })
        };
        self.attempts.iter().filter_map(held).collect()
    }

    /// Whether a task of the job is here, or has ended here.
    pub fn holds_job(&self, job: JobId) -> bool {
        let prefix = format!("{job}/");
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.id.task.starts_with(&prefix))
    }

    /// Whether a task is here that has not ended.
    pub fn holds_work(&self) -> bool {
        !self.attempts.iter().all(TaskAttempt::has_ended)
    }

    /// The status of all tasks, for the leader.
    pub fn status(&self) -> Value {
        let attempts = self.attempts.iter().map(TaskAttempt::fields);
        Value::Array(attempts.collect())
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

    /// Time passes: images arrive, and tasks end. With `tasks_fail`, those that start fail. Returns whether
    /// anything has changed.
    pub fn advance(&mut self, now: SimTime, tasks_fail: bool) -> bool {
        let mut has_changed = false;
        for index in 0..self.attempts.len() {
            let is_loaded = matches!(
                self.attempts[index].state,
                AttemptState::LoadingImage { until } if now >= until
            );
            if is_loaded {
                self.start(now, index);
                if tasks_fail {
                    self.end(index, EndCause::Failed);
                }
            }
            let is_complete = matches!(
                self.attempts[index].state,
                AttemptState::Running { until: Some(until) } if now >= until
            );
            if is_complete {
                self.end(index, EndCause::Completed);
            }
            has_changed |= is_loaded || is_complete;
        }
        has_changed
    }

    fn start(&mut self, now: SimTime, index: usize) {
        let attempt = &mut self.attempts[index];
        let until = attempt.profile.run_time.map(|run_time| now + run_time);
        attempt.state = AttemptState::Running { until };
        let task = attempt.id.task.clone();
        self.push_event(&task, TaskChange::Started);
    }

    fn end(&mut self, index: usize, cause: EndCause) {
        let attempt = &mut self.attempts[index];
        attempt.state = AttemptState::Ended(cause);
        let task = attempt.id.task.clone();
        let is_complete = cause == EndCause::Completed;
        self.push_event(&task, TaskChange::Ended { is_complete });
    }

    /// The machine is gone, or the worker's lease has expired: all tasks end.
    pub fn give_up_all(&mut self) {
        for attempt in std::mem::take(&mut self.attempts) {
            if !attempt.has_ended() {
                let change = TaskChange::Ended { is_complete: false };
                self.push_event(&attempt.id.task, change);
            }
        }
    }

    /// All tasks have missed some time, in which the machine stood still.
    pub fn postpone(&mut self, duration: Duration) {
        for attempt in &mut self.attempts {
            match &mut attempt.state {
                AttemptState::LoadingImage { until }
                | AttemptState::Running { until: Some(until) } => *until = *until + duration,
                AttemptState::Running { until: None } | AttemptState::Ended(_) => {}
            }
        }
    }

    /// Replicas that run until they are stopped end by themselves, each with that probability. Returns how
    /// many did.
    pub fn end_replicas(
        &mut self,
        end: ReplicaEnd,
        probability: f64,
        random: &mut fastrand::Rng,
    ) -> usize {
        let cause = match end {
            ReplicaEnd::Completed => EndCause::Completed,
            ReplicaEnd::Failed => EndCause::Failed,
        };
        let mut ended_count = 0;
        for attempt in &mut self.attempts {
            let is_endless = attempt.state == AttemptState::Running { until: None };
            if is_endless && random.f64() < probability {
                attempt.state = AttemptState::Ended(cause);
                // A replica has no end to run to, whatever it exits with.
                self.events.push(TaskEvent {
                    task: attempt.id.task.clone(),
                    change: TaskChange::Ended { is_complete: false },
                });
                ended_count += 1;
            }
        }
        ended_count
    }
}

/// Orders of the leader.
impl TaskRunner {
    fn position(&self, id: &AttemptId) -> Option<usize> {
        self.attempts.iter().position(|attempt| attempt.id == *id)
    }

    /// An order to run a task. Returns whether it is new.
    pub fn run(&mut self, id: AttemptId, now: SimTime, lookup: ProfileLookup) -> bool {
        if self.position(&id).is_some() {
            return false;
        }
        let profile = lookup(&id.task);
        let state = match self.reason_to_refuse(&id.task, profile) {
            Some(cause) => AttemptState::Ended(cause),
            None => {
                self.push_event(&id.task, TaskChange::Accepted);
                let until = now + self.image_load_time;
                AttemptState::LoadingImage { until }
            }
        };
        let no_profile = TaskProfile {
            cpus: 0.0,
            run_time: Some(Duration::ZERO),
        };
        self.attempts.push(TaskAttempt {
            id,
            profile: profile.unwrap_or(no_profile),
            state,
        });
        true
    }

    fn reason_to_refuse(&self, task: &str, profile: Option<TaskProfile>) -> Option<EndCause> {
        let Some(profile) = profile else {
            return Some(EndCause::UnknownTask);
        };
        let is_present = |attempt: &TaskAttempt| attempt.id.task == task && !attempt.has_ended();
        if self.attempts.iter().any(is_present) {
            return Some(EndCause::AlreadyRunning);
        }
        (profile.cpus > self.free_cpus()).then_some(EndCause::NoRoom)
    }

    fn free_cpus(&self) -> f64 {
        let present = self.attempts.iter().filter(|attempt| !attempt.has_ended());
        MACHINE_TYPE.cpus - present.map(|attempt| attempt.profile.cpus).sum::<f64>()
    }

    /// An order to stop a task. Returns whether the attempt is here, ended or not.
    pub fn stop(&mut self, id: &AttemptId) -> bool {
        let Some(index) = self.position(id) else {
            return false;
        };
        if !self.attempts[index].has_ended() {
            self.end(index, EndCause::Stopped);
        }
        true
    }

    /// The leader has acknowledged the end of a task. Returns whether it was here, and had ended.
    pub fn clear(&mut self, id: &AttemptId) -> bool {
        let index = self.position(id);
        let ended = index.filter(|index| self.attempts[*index].has_ended());
        let ended = ended.map(|index| self.attempts.remove(index));
        ended.is_some()
    }
}
