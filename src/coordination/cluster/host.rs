//! A machine's life, and what is booked on it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::coordination::resources::Resources;
use crate::protocol::workers::{AttemptState, AttemptStatus, WorkerHeartbeat};
use crate::types::{Attempt, HostName, Incarnation, JobId, SequenceNumber, TaskId, Term, Time};

/// Where a machine is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostLifecycle {
    /// Rented or listed, but its worker has not reported to this leader.
    Expected,
    /// Reports come.
    Up,
    /// Reports have stopped.
    Unresponsive,
    /// The cloud has been told to take it back; there is no way back from here.
    Releasing,
}

/// Why nothing new is placed on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CordonReason {
    /// Not needed for the work there is; opened again if that grows.
    Surplus,
    /// The cloud takes it back.
    Reclaimed,
    /// It fails tasks.
    Faulty,
    /// It has been silent, or never came up.
    Lost,
}

/// Whether what this leader says reaches the machine. Reports alone don't prove it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// Nothing speaks against it.
    Confirmed,
    /// A command got no answer, or it was silent: nothing new goes there until the next sign.
    Unconfirmed,
    /// Its reports come, but answers and commands don't reach it.
    HalfOpen {
        /// When that was found.
        since: Time,
    },
}

/// How far a allocation is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllocationPhase {
    /// The allocation is not known to be written; no `run` may leave.
    Persisting,
    /// Written; `run` may be sent, and may have been.
    Committed,
    /// The worker has reported it alive.
    Observed,
}

/// Why a task is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job was cancelled.
    Cancelled,
    /// Its machine is about to go.
    Drained,
    /// Work of a higher priority needs the room.
    Preempted,
}

/// A task's place on a machine, from before its start until it is proven to have ended.
#[derive(Clone, Debug)]
pub struct Allocation {
    /// Which attempt at the task.
    pub attempt: Attempt,
    /// Incarnation of the worker for which it was booked.
    pub incarnation: Incarnation,
    /// What the task takes.
    pub resources: Resources,
    /// How far it is.
    pub phase: AllocationPhase,
    /// The change of its chunk that holds the allocation.
    pub record_change: u64,
    /// A `run` of it may have left, under this leader or an earlier one.
    pub run_sent: bool,
    /// This leader sent a `run` of it directly, so copies may come late.
    pub run_sent_directly: bool,
    /// The last report in whose answer `run` went out.
    pub run_sent_in_response_to: SequenceNumber,
    /// The last report in whose answer `stop` went out.
    pub stop_sent_in_response_to: SequenceNumber,
    /// It is to be stopped, and why.
    pub stop_reason: Option<StopReason>,
    /// The worker said that it saves its progress.
    pub saving: bool,
    /// The worker said that it waits for its image.
    pub fetching: bool,
    /// When it was booked, or read from the records.
    pub allocated_at: Time,
    /// When it was first seen to run.
    pub started_at: Option<Time>,
}

/// An attempt that ended and is still in the worker's reports.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt {
    /// The change of its chunk that holds the outcome; `clear` waits for it.
    pub record_change: u64,
    /// The worker is to remember it until then, so that a late copy of its `run` finds it there.
    pub retain_until: Time,
}

/// A machine as the leader knows it.
#[derive(Debug)]
pub struct Host {
    /// Its name.
    pub name: HostName,
    /// Index of its type, once that is known.
    pub type_index: Option<usize>,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Address for direct commands, once it has reported.
    pub address: Option<SocketAddr>,
    /// Where it is in its life.
    pub lifecycle: HostLifecycle,
    /// Why nothing new is placed there, if so.
    pub cordon: Option<CordonReason>,
    /// Incarnation of its worker.
    pub incarnation: Incarnation,
    /// SequenceNumber of the newest message of that incarnation.
    pub sequence: SequenceNumber,
    /// The highest token its worker has seen, by its own word.
    pub fencing_token: Term,
    /// When this leader first knew of it, and when it last heard from it.
    pub first_seen_at: Time,
    /// When this leader last heard from it.
    pub last_heartbeat_at: Time,
    /// When it was rented, or first seen.
    pub provisioned_at: Time,
    /// When its first report came.
    pub first_heartbeat_at: Option<Time>,
    /// When the cloud takes it away, if it gave notice.
    pub reclaim_at: Option<Time>,
    /// Tasks that are booked there.
    pub allocations: BTreeMap<TaskId, Allocation>,
    /// Ended attempts that its worker still reports.
    pub ended_attempts: BTreeMap<(TaskId, Attempt), EndedAttempt>,
    /// Images that are likely there, the most recently used last, and their sizes.
    pub cached_images: Vec<(String, f64)>,
    /// Since when it has been closed as surplus.
    pub surplus_since: Option<Time>,
    /// It was opened for a task that is to find it open until then.
    pub keep_open_until: Time,
    /// Attempts in its last report that are booked nowhere and wanted by nobody.
    pub unrecorded_attempts: BTreeSet<(TaskId, Attempt)>,
    /// Direct `run`s without an answer: each may still be executed, even minutes from now.
    pub unacknowledged_runs: BTreeMap<(TaskId, Attempt), u32>,
    /// What its allocations take.
    pub allocated: Resources,
    /// Since when it has had no allocation.
    pub idle_since: Option<Time>,
    /// Jobs whose tasks failed there, and when.
    pub failed_jobs: BTreeMap<JobId, Time>,
    /// Failures in a row.
    pub consecutive_failures: u32,
    /// A direct command is on its way; the next one waits for its answer.
    pub command_in_flight: bool,
    /// Whether commands are known to reach it.
    pub reachability: Reachability,
    /// How many answers and commands in a row have shown no effect.
    pub commands_without_effect: u32,
    /// The last report that does not count, as its worker had not seen our token.
    pub last_unfenced: (Incarnation, SequenceNumber),
    /// No probe goes there before.
    pub next_probe_at: Time,
    /// When it was last asked for to be taken back in a hurry.
    pub force_released_at: Option<Time>,
    /// The cloud's list has named it, and the last one doesn't any more.
    pub was_listed: bool,
    /// The cloud's list once named it, and does no more.
    pub missing_from_list: bool,
    /// When the cloud's list first called it running.
    pub listed_running_since: Option<Time>,
}

/// So many answers and commands in a row without an effect make a machine deaf.
const HALF_OPEN_AFTER: u32 = 3;

impl Host {
    /// A machine of which only the name is known.
    pub fn new(name: HostName, now: Time) -> Host {
        Host {
            name,
            type_index: None,
            zone: String::new(),
            spot: false,
            address: None,
            lifecycle: HostLifecycle::Expected,
            cordon: None,
            incarnation: Incarnation(0),
            sequence: SequenceNumber(0),
            fencing_token: Term(0),
            first_seen_at: now,
            last_heartbeat_at: now,
            provisioned_at: now,
            first_heartbeat_at: None,
            reclaim_at: None,
            allocations: BTreeMap::new(),
            ended_attempts: BTreeMap::new(),
            cached_images: Vec::new(),
            surplus_since: None,
            keep_open_until: Time::default(),
            unrecorded_attempts: BTreeSet::new(),
            unacknowledged_runs: BTreeMap::new(),
            allocated: Resources::default(),
            idle_since: Some(now),
            failed_jobs: BTreeMap::new(),
            consecutive_failures: 0,
            command_in_flight: false,
            reachability: Reachability::Confirmed,
            commands_without_effect: 0,
            last_unfenced: (Incarnation(0), SequenceNumber(0)),
            next_probe_at: now,
            force_released_at: None,
            was_listed: false,
            missing_from_list: false,
            listed_running_since: None,
        }
    }

    /// The one place where a machine's life changes.
    pub fn set_lifecycle(&mut self, life: HostLifecycle) {
        if self.lifecycle != life && self.lifecycle != HostLifecycle::Releasing {
            tracing::debug!("{}: {:?} -> {life:?}", self.name, self.lifecycle);
            self.lifecycle = life;
        }
    }

    /// The one place where the machine's ear changes.
    pub fn set_reachability(&mut self, reachability: Reachability) {
        if self.reachability != reachability {
            tracing::debug!("{}: {:?} -> {reachability:?}", self.name, self.reachability);
            self.reachability = reachability;
        }
    }

    /// It did as it was told, so what is said comes through.
    pub fn command_took_effect(&mut self) {
        self.commands_without_effect = 0;
        self.set_reachability(Reachability::Confirmed);
    }

    /// Something that was said shows no effect. A lost message or two prove nothing.
    pub fn command_had_no_effect(&mut self, now: Time) {
        self.commands_without_effect += 1;
        if matches!(self.reachability, Reachability::HalfOpen { .. }) {
            return;
        }
        if self.commands_without_effect >= HALF_OPEN_AFTER {
            tracing::info!("{}: reports, but does not hear", self.name);
            self.set_reachability(Reachability::HalfOpen { since: now });
        } else {
            self.set_reachability(Reachability::Unconfirmed);
        }
    }

    /// Closes it for new tasks. The first reason stands, save that a worse one replaces `Surplus`.
    pub fn cordon(&mut self, why: CordonReason) {
        if self.cordon.is_none() || self.cordon == Some(CordonReason::Surplus) {
            tracing::debug!("{}: cordoned, {why:?}", self.name);
            self.cordon = Some(why);
        }
    }

    /// Opens a machine that was only closed as surplus; true if that changed anything.
    pub fn uncordon(&mut self) -> bool {
        let closed = self.cordon == Some(CordonReason::Surplus);
        if closed {
            tracing::debug!("{}: open again", self.name);
            self.cordon = None;
            self.surplus_since = None;
        }
        closed
    }

    /// A task has its image there. The most recently used are kept, as far as the cache goes.
    pub fn cache_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.cached_images.retain(|(name, _)| name != image);
        self.cached_images.push((image.to_owned(), gb));
        let mut kept: f64 = self.cached_images.iter().map(|(_, gb)| gb).sum();
        while kept > cache_gb && self.cached_images.len() > 1 {
            kept -= self.cached_images.remove(0).1;
        }
    }

    /// Whether the image is likely there.
    pub fn has_cached_image(&self, image: &str) -> bool {
        self.cached_images.iter().any(|(name, _)| name == image)
    }

    /// True if the report is newer than all that was heard before; older ones count for nothing.
    pub fn is_newer(&self, report: &WorkerHeartbeat) -> bool {
        (report.incarnation, report.sequence) > (self.incarnation, self.sequence)
    }

    /// Books a task.
    pub fn allocate(&mut self, task: TaskId, allocation: Allocation) {
        self.allocated.add(&allocation.resources);
        self.idle_since = None;
        self.allocations.insert(task, allocation);
    }

    /// Ends a allocation.
    pub fn free(&mut self, task: TaskId, now: Time) -> Option<Allocation> {
        let allocation = self.allocations.remove(&task)?;
        self.allocated.remove(&allocation.resources);
        if self.allocations.is_empty() {
            self.allocated = Resources::default();
            self.idle_since = Some(now);
        }
        Some(allocation)
    }

    /// Whether a direct `run` of the attempt has no answer.
    pub fn is_run_unacknowledged(&self, task: TaskId, attempt: Attempt) -> bool {
        self.unacknowledged_runs.contains_key(&(task, attempt))
    }

    /// A direct `run` got its answer, or surely never left.
    pub fn on_run_acknowledged(&mut self, task: TaskId, attempt: Attempt) {
        if let Some(count) = self.unacknowledged_runs.get_mut(&(task, attempt)) {
            *count -= 1;
            if *count == 0 {
                self.unacknowledged_runs.remove(&(task, attempt));
            }
        }
    }

    /// Whether the absence of a task from a report proves that it is not there and can't come:
    /// older leaders' late commands are fenced, and none of ours is still under way.
    pub fn proves_absence(
        &self,
        task: TaskId,
        allocation: &Allocation,
        token: Term,
        term: Term,
        tick: SequenceNumber,
        own_report: bool,
    ) -> bool {
        if !allocation.run_sent {
            return true;
        }
        let by_answer = allocation.run_sent_in_response_to == SequenceNumber(0)
            || (own_report && tick > allocation.run_sent_in_response_to);
        token == term && by_answer && !self.is_run_unacknowledged(task, allocation.attempt)
    }
}

impl Allocation {
    /// Takes in what the worker says of it.
    pub fn observe(&mut self, reported: &AttemptStatus, now: Time) {
        self.phase = AllocationPhase::Observed;
        self.saving = reported.state == AttemptState::Saving;
        self.fetching = reported.state == AttemptState::Fetching;
        if !self.fetching {
            self.started_at.get_or_insert(now);
        }
    }
}
