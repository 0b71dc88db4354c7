//! A host as the leader knows it: its lifecycle, its reachability and what is allocated on it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

pub use super::allocation::{Allocation, AllocationPhase, StopReason};
use crate::coordination::resources::Resources;
use crate::protocol::workers::WorkerHeartbeat;
use crate::types::{Attempt, HostName, Incarnation, JobId, SequenceNumber, TaskId, Term, Time};

/// So many commands in a row without an effect make a host half-open: a lost message or two prove nothing.
const HALF_OPEN_AFTER: u32 = 3;

/// Where a host is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostLifecycle {
    /// Provisioned or listed; its worker has not sent a heartbeat to this leader.
    Expected,
    /// Heartbeats arrive.
    Up,
    /// It missed heartbeats for too long.
    Unresponsive,
    /// It is being released. This is final.
    Releasing,
}

/// Why nothing new is placed on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CordonReason {
    /// The present demand does not need it. It is uncordoned if demand rises.
    Surplus,
    /// The cloud has given notice that it reclaims the host.
    Reclaimed,
    /// It fails tasks that succeed elsewhere.
    Faulty,
    /// It is declared lost: it missed heartbeats for too long, or never came up.
    Lost,
}

/// Whether commands reach the worker. That its heartbeats arrive does not prove it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// Nothing speaks against it.
    Confirmed,
    /// A command had no effect, or the host was silent: nothing new is placed there until the next sign.
    Unconfirmed,
    /// Its heartbeats arrive, but neither responses nor commands reach it.
    HalfOpen {
        /// When that was found.
        since: Time,
    },
}

/// Orders the messages of one worker: by incarnation, then by sequence number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatId {
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation.
    pub sequence: SequenceNumber,
}

/// An attempt that ended and is still listed in the worker's heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt {
    /// The change of its run record that holds the outcome; it is cleared once that is written.
    pub record_change_count: u64,
    /// The worker has to remember it until then, so that a late copy of its `run` does not start it again.
    pub retain_until: Time,
}

/// An image that is likely in the host's cache.
#[derive(Clone, Debug)]
struct CachedImage {
    name: String,
    size_gb: f64,
}

/// A host as the leader knows it. Only [`super::ClusterState`] hands out hosts, and only to read.
#[derive(Debug)]
pub struct Host {
    /// Its name.
    pub name: HostName,
    /// Index of its machine type, once that is known.
    pub type_index: Option<usize>,
    /// Its zone; empty as long as it is not known.
    pub zone: String,
    /// Whether it is a spot host.
    pub is_spot: bool,
    /// Address for direct commands, once it is known.
    pub address: Option<SocketAddr>,
    /// Where it is in its life.
    pub lifecycle: HostLifecycle,
    /// Why nothing new is placed on it, if so.
    pub cordon_reason: Option<CordonReason>,
    /// Whether commands reach its worker.
    pub reachability: Reachability,

    /// Incarnation of its worker.
    pub incarnation: Incarnation,
    /// Sequence number of the newest message of that incarnation.
    pub newest_sequence: SequenceNumber,
    /// The highest fencing token that its worker has seen, by its own word.
    pub fencing_token: Term,
    /// The newest heartbeat that its worker made before it saw this leader's fencing token.
    pub newest_unfenced_heartbeat: HeartbeatId,

    /// When this leader first knew of it.
    pub first_seen_at: Time,
    /// When it was provisioned, or first seen.
    pub provisioned_at: Time,
    /// When its first heartbeat of this term arrived.
    pub first_heartbeat_at: Option<Time>,
    /// When its last heartbeat arrived.
    pub last_heartbeat_at: Time,
    /// When the cloud reclaims it, if it has given notice.
    pub reclaim_at: Option<Time>,
    /// Whether the cloud's list has named it.
    pub was_listed: bool,
    /// Whether the cloud's list has named it and no longer does.
    pub is_missing_from_list: bool,
    /// When the cloud's list first showed it as running.
    pub listed_running_since: Option<Time>,
    /// Since when it has been cordoned as surplus.
    pub surplus_since: Option<Time>,
    /// It is not cordoned as surplus before, as it was uncordoned for a certain task.
    pub keep_uncordoned_until: Time,
    /// When its release was last forced, as a cancelled task was still on it.
    pub force_released_at: Option<Time>,

    /// The tasks that are allocated to it.
    pub allocations: BTreeMap<TaskId, Allocation>,
    /// What its allocations take.
    pub allocated_resources: Resources,
    /// Ended attempts that its worker still lists.
    pub ended_attempts: BTreeMap<(TaskId, Attempt), EndedAttempt>,
    /// Attempts in its last heartbeat that no record places there and nobody wants.
    pub unrecorded_attempts: BTreeSet<(TaskId, Attempt)>,
    /// How many `run` commands of each attempt were sent directly without a response. Each may still be executed,
    /// even minutes from now.
    unacknowledged_runs: BTreeMap<(TaskId, Attempt), u32>,
    /// The most recently used image is the last.
    cached_images: Vec<CachedImage>,
    /// Jobs whose tasks failed on it, and when.
    pub failed_jobs: BTreeMap<JobId, Time>,
    /// Failures since a task last succeeded on it.
    pub consecutive_failures: u32,

    /// Whether a direct command or a probe is under way; the next one waits for its response.
    pub has_command_in_flight: bool,
    /// No probe is sent before.
    pub next_probe_at: Time,
    /// How many commands in a row had no effect.
    commands_without_effect: u32,
}

impl Host {
    /// A host of which only the name is known.
    pub(super) fn new(name: HostName, now: Time) -> Host {
        Host {
            name,
            type_index: None,
            zone: String::new(),
            is_spot: false,
            address: None,
            lifecycle: HostLifecycle::Expected,
            cordon_reason: None,
            reachability: Reachability::Confirmed,
            incarnation: Incarnation(0),
            newest_sequence: SequenceNumber(0),
            fencing_token: Term(0),
            newest_unfenced_heartbeat: HeartbeatId::default(),
            first_seen_at: now,
            provisioned_at: now,
            first_heartbeat_at: None,
            last_heartbeat_at: now,
            reclaim_at: None,
            was_listed: false,
            is_missing_from_list: false,
            listed_running_since: None,
            surplus_since: None,
            keep_uncordoned_until: Time::default(),
            force_released_at: None,
            allocations: BTreeMap::new(),
            allocated_resources: Resources::default(),
            ended_attempts: BTreeMap::new(),
            unrecorded_attempts: BTreeSet::new(),
            unacknowledged_runs: BTreeMap::new(),
            cached_images: Vec::new(),
            failed_jobs: BTreeMap::new(),
            consecutive_failures: 0,
            has_command_in_flight: false,
            next_probe_at: now,
            commands_without_effect: 0,
        }
    }

    /// Whether its heartbeats arrive.
    pub fn is_up(&self) -> bool {
        self.lifecycle == HostLifecycle::Up
    }

    /// Whether its heartbeats arrive, but neither responses nor commands reach it.
    pub fn is_half_open(&self) -> bool {
        matches!(self.reachability, Reachability::HalfOpen { .. })
    }

    /// Whether the heartbeat is newer than all that arrived before; older ones count for nothing.
    pub fn is_newer_heartbeat(&self, heartbeat: &WorkerHeartbeat) -> bool {
        (heartbeat.incarnation, heartbeat.sequence) > (self.incarnation, self.newest_sequence)
    }

    /// Whether the image is likely in its cache.
    pub fn has_cached_image(&self, image: &str) -> bool {
        self.cached_images.iter().any(|cached| cached.name == image)
    }

    /// Whether the host still lists an earlier attempt at the task, or one may still arrive there.
    pub fn may_have_earlier_attempt(&self, task: TaskId) -> bool {
        let attempts = (task, Attempt(0))..=(task, Attempt(u64::MAX));
        self.ended_attempts.range(attempts.clone()).next().is_some()
            || self.unacknowledged_runs.range(attempts).next().is_some()
    }

    /// Whether the host remembers earlier attempts at any tasks; see [`Host::may_have_earlier_attempt`].
    pub fn may_have_any_earlier_attempt(&self) -> bool {
        !self.ended_attempts.is_empty() || !self.unacknowledged_runs.is_empty()
    }

    /// Whether a direct `run` of the attempt got no response, so that it may still be executed.
    pub fn is_run_unacknowledged(&self, task: TaskId, attempt: Attempt) -> bool {
        self.unacknowledged_runs.contains_key(&(task, attempt))
    }

    /// The one place where the lifecycle changes.
    pub(super) fn set_lifecycle(&mut self, lifecycle: HostLifecycle) {
        if self.lifecycle != lifecycle && self.lifecycle != HostLifecycle::Releasing {
            tracing::debug!("{}: {:?} -> {lifecycle:?}", self.name, self.lifecycle);
            self.lifecycle = lifecycle;
        }
    }

    /// Cordons it and marks it as being released. Returns false if it was already.
    pub(super) fn begin_release(&mut self, reason: CordonReason) -> bool {
        if self.lifecycle == HostLifecycle::Releasing {
            return false;
        }
        self.cordon(reason);
        self.set_lifecycle(HostLifecycle::Releasing);
        true
    }

    /// The one place where the reachability changes.
    pub(super) fn set_reachability(&mut self, reachability: Reachability) {
        if self.reachability != reachability {
            tracing::debug!("{}: {:?} -> {reachability:?}", self.name, self.reachability);
            self.reachability = reachability;
        }
    }

    /// A command took effect, so commands reach the worker.
    pub(super) fn command_took_effect(&mut self) {
        self.commands_without_effect = 0;
        self.set_reachability(Reachability::Confirmed);
    }

    /// A command should have taken effect by now and has not.
    pub(super) fn command_had_no_effect(&mut self, now: Time) {
        self.commands_without_effect += 1;
        if self.is_half_open() {
            return;
        }
        if self.commands_without_effect >= HALF_OPEN_AFTER {
            tracing::info!(
                "{}: half-open, its heartbeats arrive but commands do not",
                self.name
            );
            self.set_reachability(Reachability::HalfOpen { since: now });
        } else {
            self.set_reachability(Reachability::Unconfirmed);
        }
    }

    /// Closes it for new tasks. The first reason stands, but any other replaces `Surplus`.
    pub(super) fn cordon(&mut self, reason: CordonReason) {
        if matches!(self.cordon_reason, None | Some(CordonReason::Surplus)) {
            tracing::debug!("{}: cordoned, {reason:?}", self.name);
            self.cordon_reason = Some(reason);
        }
    }

    /// Uncordons it if it was cordoned as surplus. Returns whether it was.
    pub(super) fn uncordon(&mut self) -> bool {
        let was_surplus = self.cordon_reason == Some(CordonReason::Surplus);
        if was_surplus {
            tracing::debug!("{}: uncordoned", self.name);
            self.cordon_reason = None;
            self.surplus_since = None;
        }
        was_surplus
    }

    /// A task has its image there. The most recently used images are kept, as far as the cache goes.
    pub(super) fn cache_image(&mut self, image: &str, size_gb: f64, cache_gb: f64) {
        self.cached_images.retain(|cached| cached.name != image);
        self.cached_images.push(CachedImage {
            name: image.to_owned(),
            size_gb,
        });
        let mut total_gb: f64 = self.cached_images.iter().map(|cached| cached.size_gb).sum();
        while total_gb > cache_gb && self.cached_images.len() > 1 {
            total_gb -= self.cached_images.remove(0).size_gb;
        }
    }

    /// Allocates a task to it.
    pub(super) fn allocate(&mut self, task: TaskId, allocation: Allocation) {
        self.allocated_resources.add(&allocation.resources);
        self.allocations.insert(task, allocation);
    }

    /// Frees the allocation of a task.
    pub(super) fn free(&mut self, task: TaskId) -> Option<Allocation> {
        let allocation = self.allocations.remove(&task)?;
        self.allocated_resources.subtract(&allocation.resources);
        if self.allocations.is_empty() {
            // Sums of decimals are not exact.
            self.allocated_resources = Resources::default();
        }
        Some(allocation)
    }

    /// A `run` is sent by a direct command.
    pub(super) fn on_run_sent_directly(&mut self, task: TaskId, attempt: Attempt) {
        *self.unacknowledged_runs.entry((task, attempt)).or_default() += 1;
        if let Some(allocation) = self.allocations.get_mut(&task) {
            allocation.was_run_sent_directly = true;
        }
    }

    /// A direct `run` got its response, or surely was not executed.
    pub(super) fn on_run_acknowledged(&mut self, task: TaskId, attempt: Attempt) {
        if let Some(count) = self.unacknowledged_runs.get_mut(&(task, attempt)) {
            *count -= 1;
            if *count == 0 {
                self.unacknowledged_runs.remove(&(task, attempt));
            }
        }
    }

    /// The worker began a new incarnation, so it has forgotten all attempts and executes no older command.
    pub(super) fn begin_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.ended_attempts.clear();
        self.unacknowledged_runs.clear();
    }
}
