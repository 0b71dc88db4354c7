//! The task attempts on a host. An attempt loads its image, runs, ends, and is kept until the leader acknowledges
//! its end.

use std::collections::HashSet;
use std::time::Duration;

use ciborium::Value;
use lichencrank_testkit::values::map;

use crate::simulated::checker::HeldTask;
use crate::simulated::clock::SimTime;
use crate::simulated::deployment::MACHINE_TYPE;
use crate::simulated::ids::{JobId, TaskId};
use crate::simulated::script::command::ReplicaEnd;

/// What a task requires and how long it runs.
#[derive(Clone, Copy, Debug)]
pub struct TaskProfile {
    /// CPUs that the task occupies.
    pub cpus: f64,
    /// How long the task runs. `None` if it runs until it is stopped.
    pub run_time: Option<Duration>,
}

/// Looks up the profile of a task by its name. `None` if there is no such task.
pub type ProfileLookup<'a> = &'a dyn Fn(&str) -> Option<TaskProfile>;

/// Why an attempt ended or was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndReason {
    Completed,
    Failed,
    Stopped,
    UnknownTask,
    AlreadyRunning,
    NoRoom,
}

impl EndReason {
    /// The value in the protocol.
    fn name(self) -> &'static str {
        match self {
            EndReason::Completed => "done",
            EndReason::Failed => "error",
            EndReason::Stopped => "halted",
            EndReason::UnknownTask => "no_such",
            EndReason::AlreadyRunning => "in_use",
            EndReason::NoRoom => "no_room",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    LoadingImage {
        until: SimTime,
    },
    Running {
        /// `None` if the task runs until it is stopped.
        until: Option<SimTime>,
    },
    Ended(EndReason),
}

/// Identifies an attempt at a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// Name of the task, as given in the command.
    pub task: String,
    /// Number of the attempt.
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
        let (status, end_reason) = match self.state {
            AttemptState::LoadingImage { .. } => ("fetching", Value::Null),
            AttemptState::Running { .. } => ("running", Value::Null),
            AttemptState::Ended(end_reason) => ("ended", end_reason.name().into()),
        };
        map(vec![
            ("piece", self.id.task.as_str().into()),
            ("try", self.id.number.into()),
            ("status", status.into()),
            ("cause", end_reason),
        ])
    }
}

/// A change of a task's state on the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskChange {
    /// The host has reserved CPUs for the task and loads its image.
    Accepted,
    /// The host has accepted an attempt once more that the leader had told it to forget.
    AcceptedAgain {
        /// Number of the attempt.
        attempt: u64,
    },
    /// The task has started to run.
    Started,
    /// The task has ended, possibly before it started.
    Ended {
        /// Whether it ran to completion.
        is_complete: bool,
    },
}

/// A change of a task's state, with the task's name as given in the command.
#[derive(Clone, Debug)]
pub struct TaskEvent {
    /// Name of the task.
    pub task: String,
    /// The change.
    pub change: TaskChange,
}

/// The attempts on one host.
#[derive(Debug)]
pub struct TaskRunner {
    /// How long the image of a task takes to load.
    image_load_time: Duration,
    attempts: Vec<TaskAttempt>,
    /// The attempts that the leader has told the worker to forget in this incarnation.
    cleared: HashSet<AttemptId>,
    events: Vec<TaskEvent>,
}

impl TaskRunner {
    /// A host without tasks.
    pub fn new(image_load_time: Duration) -> TaskRunner {
        TaskRunner {
            image_load_time,
            attempts: Vec::new(),
            cleared: HashSet::new(),
            events: Vec::new(),
        }
    }

    /// All tasks on the host, including ended ones that are not acknowledged yet.
    pub fn held_tasks(&self) -> Vec<HeldTask> {
        let held = |attempt: &TaskAttempt| {
            Some(HeldTask {
                task: TaskId::parse(&attempt.id.task)?,
                has_ended: attempt.has_ended(),
            })
        };
        self.attempts.iter().filter_map(held).collect()
    }

    /// Whether the host has an attempt at a task of the job, active or ended.
    pub fn holds_job(&self, job: JobId) -> bool {
        let prefix = format!("{job}/");
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.id.task.starts_with(&prefix))
    }

    /// Whether any attempt has not ended.
    pub fn has_active_tasks(&self) -> bool {
        !self.attempts.iter().all(TaskAttempt::has_ended)
    }

    /// Status of all attempts, as in the worker's heartbeats.
    pub fn status(&self) -> Value {
        let attempts = self.attempts.iter().map(TaskAttempt::fields);
        Value::Array(attempts.collect())
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<TaskEvent> {
        std::mem::take(&mut self.events)
    }

    fn push_event(&mut self, task: &str, change: TaskChange) {
        self.events.push(TaskEvent {
            task: task.to_owned(),
            change,
        });
    }

    /// Advances the attempts to `now`: images are loaded, and tasks end. With `tasks_fail`, tasks fail when they
    /// start. Returns whether any attempt has changed.
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
                    self.end(index, EndReason::Failed);
                }
            }
            let is_complete = matches!(
                self.attempts[index].state,
                AttemptState::Running { until: Some(until) } if now >= until
            );
            if is_complete {
                self.end(index, EndReason::Completed);
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

    fn end(&mut self, index: usize, end_reason: EndReason) {
        let attempt = &mut self.attempts[index];
        attempt.state = AttemptState::Ended(end_reason);
        let task = attempt.id.task.clone();
        let is_complete = end_reason == EndReason::Completed;
        self.push_event(&task, TaskChange::Ended { is_complete });
    }

    /// Ends and removes all attempts, as the host is gone or the worker's lease has expired.
    pub fn end_all(&mut self) {
        self.cleared.clear();
        for attempt in std::mem::take(&mut self.attempts) {
            if !attempt.has_ended() {
                let change = TaskChange::Ended { is_complete: false };
                self.push_event(&attempt.id.task, change);
            }
        }
    }

    /// Postpones the loading of images and the end of tasks by the duration of a pause.
    pub fn postpone(&mut self, duration: Duration) {
        for attempt in &mut self.attempts {
            match &mut attempt.state {
                AttemptState::LoadingImage { until }
                | AttemptState::Running { until: Some(until) } => *until = *until + duration,
                AttemptState::Running { until: None } | AttemptState::Ended(_) => {}
            }
        }
    }

    /// Ends each running task that would run until it is stopped with the given probability, as if it had exited by
    /// itself. Returns how many ended.
    pub fn end_replicas(
        &mut self,
        end: ReplicaEnd,
        probability: f64,
        random: &mut fastrand::Rng,
    ) -> usize {
        let end_reason = match end {
            ReplicaEnd::Completed => EndReason::Completed,
            ReplicaEnd::Failed => EndReason::Failed,
        };
        let mut ended_count = 0;
        for attempt in &mut self.attempts {
            let runs_until_stopped = attempt.state == AttemptState::Running { until: None };
            if runs_until_stopped && random.f64() < probability {
                attempt.state = AttemptState::Ended(end_reason);
                // A replica runs until it is stopped, so it never completes, whatever its exit status.
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

/// Commands of the leader.
impl TaskRunner {
    /// Whether the leader has told the worker to forget the attempt.
    pub fn is_cleared(&self, id: &AttemptId) -> bool {
        self.cleared.contains(id)
    }

    fn position(&self, id: &AttemptId) -> Option<usize> {
        self.attempts.iter().position(|attempt| attempt.id == *id)
    }

    /// Executes a command to run a task. Returns `false` if the attempt already exists.
    pub fn run(&mut self, id: AttemptId, now: SimTime, lookup: ProfileLookup) -> bool {
        if self.position(&id).is_some() {
            return false;
        }
        if self.is_cleared(&id) {
            let attempt = id.number;
            self.push_event(&id.task, TaskChange::AcceptedAgain { attempt });
        }
        let profile = lookup(&id.task);
        let state = match self.refusal_reason(&id.task, profile) {
            Some(end_reason) => AttemptState::Ended(end_reason),
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

    fn refusal_reason(&self, task: &str, profile: Option<TaskProfile>) -> Option<EndReason> {
        let Some(profile) = profile else {
            return Some(EndReason::UnknownTask);
        };
        let is_active_attempt =
            |attempt: &TaskAttempt| attempt.id.task == task && !attempt.has_ended();
        if self.attempts.iter().any(is_active_attempt) {
            return Some(EndReason::AlreadyRunning);
        }
        (profile.cpus > self.free_cpus()).then_some(EndReason::NoRoom)
    }

    fn free_cpus(&self) -> f64 {
        let active = self.attempts.iter().filter(|attempt| !attempt.has_ended());
        MACHINE_TYPE.cpus - active.map(|attempt| attempt.profile.cpus).sum::<f64>()
    }

    /// Executes a command to stop a task. Returns whether the attempt exists, ended or not.
    pub fn stop(&mut self, id: &AttemptId) -> bool {
        let Some(index) = self.position(id) else {
            return false;
        };
        if !self.attempts[index].has_ended() {
            self.end(index, EndReason::Stopped);
        }
        true
    }

    /// Executes a command to clear an ended attempt, by which the leader acknowledges its end. Returns whether there
    /// was such an attempt.
    pub fn clear(&mut self, id: &AttemptId) -> bool {
        let index = self.position(id);
        let ended = index.filter(|index| self.attempts[*index].has_ended());
        let ended = ended.map(|index| self.attempts.remove(index));
        let is_cleared = ended.is_some();
        self.cleared.extend(ended.map(|attempt| attempt.id));
        is_cleared
    }
}
