//! A host as the leader sees it: its lifecycle, its reachability and the tasks allocated to it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

pub use super::allocation::{Allocation, AllocationPhase, StopReason};
use super::host_attributes::AttributeSource;
use super::late_runs::DirectRun;
use crate::coordination::resources::Resources;
use crate::protocol::workers::{EndReason, WorkerHeartbeat};
use crate::types::{Attempt, HostName, Incarnation, JobId, SequenceNumber, TaskId, Term, Time};

/// A host is half-open after this many consecutive commands without an effect; one or two may be lost messages.
const HALF_OPEN_AFTER_COMMANDS: u32 = 3;

/// Lifecycle of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostLifecycle {
    /// Provisioned or in the cloud's host list; its worker has not sent a heartbeat to this leader yet.
    Expected,
    /// Its heartbeats arrive.
    Up,
    /// It has sent no heartbeat for too long.
    Unresponsive,
    /// It is being released to the cloud. This is final.
    Releasing,
}

/// Why a host is cordoned, so that no new tasks are placed on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CordonReason {
    /// Current demand does not need it. It is uncordoned if demand rises.
    Surplus,
    /// The cloud has announced that it will reclaim the host.
    Reclaimed,
    /// Tasks fail on it that succeed elsewhere.
    Faulty,
    /// It was declared lost: it sent no heartbeat for too long, never came up, is reported as failed by the cloud, or
    /// still holds a cancelled task that should have stopped.
    Lost,
}

/// Whether commands reach the host's worker. Arriving heartbeats alone do not prove that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// Nothing indicates that commands do not reach it.
    Confirmed,
    /// A command had no effect, or heartbeats were missing: no new tasks are placed on the host until its next
    /// heartbeat or response.
    Unconfirmed,
    /// Its heartbeats arrive, but neither responses nor commands reach it.
    HalfOpen {
        /// When this was detected.
        since: Time,
    },
}

/// Position of a heartbeat among all messages of its worker: ordered by incarnation, then by sequence number.
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
    /// Change count of its run record from which on the record holds the outcome. The worker may forget the attempt
    /// once that change is written; 0 if there is nothing to write.
    pub record_change_count: u64,
    /// When a heartbeat first listed it as ended.
    pub first_listed_at: Time,
    /// Why it ended.
    pub end_reason: Option<EndReason>,
}

/// An image that is likely in the host's cache.
#[derive(Clone, Debug)]
struct CachedImage {
    name: String,
    size_gb: f64,
}

/// A host as the leader sees it. Only [`super::ClusterState`] hands out hosts, and only as shared references.
#[derive(Debug)]
pub struct Host {
    /// Name of the host.
    pub name: HostName,
    /// Index of its machine type in [`super::ClusterState::machine_types`], once it is known.
    pub type_index: Option<usize>,
    /// Its zone; empty while it is unknown.
    pub zone: String,
    /// Whether it is a spot host.
    pub is_spot: bool,
    /// Who told its machine type, its zone and whether it is a spot host, if anyone has.
    pub(super) attribute_source: Option<AttributeSource>,
    /// Address of its worker for direct commands, once it is known.
    pub address: Option<SocketAddr>,
    /// Its lifecycle.
    pub lifecycle: HostLifecycle,
    /// Why it is cordoned, if it is.
    pub cordon_reason: Option<CordonReason>,
    /// Whether commands reach its worker.
    pub reachability: Reachability,

    /// Incarnation of its worker.
    pub incarnation: Incarnation,
    /// Sequence number of the newest message from that incarnation.
    pub newest_sequence: SequenceNumber,
    /// The highest fencing token that its worker has reported as seen.
    pub fencing_token: Term,
    /// The newest heartbeat that its worker composed before it saw this leader's fencing token.
    pub newest_unfenced_heartbeat: HeartbeatId,

    /// When this leader first learned of it.
    pub first_seen_at: Time,
    /// When it was provisioned or, if that is unknown, first seen.
    pub provisioned_at: Time,
    /// When its first heartbeat in this term arrived.
    pub first_heartbeat_at: Option<Time>,
    /// When its last heartbeat arrived.
    pub last_heartbeat_at: Time,
    /// When the cloud will reclaim it, if it has announced that.
    pub reclaim_at: Option<Time>,
    /// Whether it has appeared in the cloud's host list.
    pub was_listed: bool,
    /// Whether it has appeared in the cloud's host list and no longer does.
    pub is_missing_from_list: bool,
    /// When the cloud's host list first showed it as running.
    pub listed_running_since: Option<Time>,
    /// When it was cordoned as surplus, if it was.
    pub surplus_since: Option<Time>,
    /// It is not cordoned as surplus before this time, because it was uncordoned for a particular task.
    pub keep_uncordoned_until: Time,
    /// When its release was last forced because a cancelled task was still on it.
    pub force_released_at: Option<Time>,

    /// The allocations of tasks to it.
    pub allocations: BTreeMap<TaskId, Allocation>,
    /// The sum of the resources of its allocations.
    pub allocated_resources: Resources,
    /// Ended attempts that its worker still reports.
    pub ended_attempts: BTreeMap<(TaskId, Attempt), EndedAttempt>,
    /// Attempts in its last heartbeat that no run record places on this host and that were not adopted as allocations.
    pub unrecorded_attempts: BTreeSet<(TaskId, Attempt)>,
    /// The attempts of which a direct `run` was sent, until no late copy of it can be executed any more.
    pub(super) direct_runs: BTreeMap<(TaskId, Attempt), DirectRun>,
    /// Images that are likely in its cache, the most recently used last.
    cached_images: Vec<CachedImage>,
    /// Jobs of which a task failed on it, and when the last one did.
    pub failed_jobs: BTreeMap<JobId, Time>,
    /// Failed tasks since one last succeeded on it.
    pub consecutive_failures: u32,

    /// Whether a direct command request or a probe is in flight; the next one waits for its result.
    pub has_command_in_flight: bool,
    /// The earliest time for the next probe.
    pub next_probe_at: Time,
    /// How many consecutive commands had no effect.
    consecutive_commands_without_effect: u32,
}

impl Host {
    /// A host of which nothing but the name is known.
    pub(super) fn new(name: HostName, now: Time) -> Host {
        Host {
            name,
            type_index: None,
            zone: String::new(),
            is_spot: false,
            attribute_source: None,
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
            direct_runs: BTreeMap::new(),
            cached_images: Vec::new(),
            failed_jobs: BTreeMap::new(),
            consecutive_failures: 0,
            has_command_in_flight: false,
            next_probe_at: now,
            consecutive_commands_without_effect: 0,
        }
    }

    /// Whether its heartbeats arrive.
    pub fn is_up(&self) -> bool {
        self.lifecycle == HostLifecycle::Up
    }

    /// Whether its heartbeats arrive while neither responses nor commands reach it.
    pub fn is_half_open(&self) -> bool {
        matches!(self.reachability, Reachability::HalfOpen { .. })
    }

    /// Whether the heartbeat is newer than every earlier one. Older ones are ignored.
    pub fn is_newer_heartbeat(&self, heartbeat: &WorkerHeartbeat) -> bool {
        (heartbeat.incarnation, heartbeat.sequence_number)
            > (self.incarnation, self.newest_sequence)
    }

    /// Whether the image is likely in its cache.
    pub fn has_cached_image(&self, image: &str) -> bool {
        self.cached_images.iter().any(|cached| cached.name == image)
    }

    /// Changes the lifecycle. Nothing else does, and a release is final.
    pub(super) fn set_lifecycle(&mut self, lifecycle: HostLifecycle) {
        if self.lifecycle != lifecycle && self.lifecycle != HostLifecycle::Releasing {
            tracing::debug!(
                "{}: lifecycle {:?} -> {lifecycle:?}",
                self.name,
                self.lifecycle
            );
            self.lifecycle = lifecycle;
        }
    }

    /// Cordons the host and marks it as being released. Returns false if it was being released already.
    pub(super) fn begin_release(&mut self, reason: CordonReason) -> bool {
        if self.lifecycle == HostLifecycle::Releasing {
            return false;
        }
        self.cordon(reason);
        self.set_lifecycle(HostLifecycle::Releasing);
        true
    }

    /// Changes the reachability. Nothing else does.
    pub(super) fn set_reachability(&mut self, reachability: Reachability) {
        if self.reachability != reachability {
            tracing::debug!(
                "{}: reachability {:?} -> {reachability:?}",
                self.name,
                self.reachability
            );
            self.reachability = reachability;
        }
    }

    /// Notes that a command took effect, so commands reach the worker.
    pub(super) fn on_command_took_effect(&mut self) {
        self.consecutive_commands_without_effect = 0;
        self.set_reachability(Reachability::Confirmed);
    }

    /// Notes that a command has not taken effect although it should have by now.
    pub(super) fn on_command_without_effect(&mut self, now: Time) {
        self.consecutive_commands_without_effect += 1;
        if self.is_half_open() {
            return;
        }
        if self.consecutive_commands_without_effect >= HALF_OPEN_AFTER_COMMANDS {
            tracing::info!(
                "{}: half-open: its heartbeats arrive, but commands do not reach it",
                self.name
            );
            self.set_reachability(Reachability::HalfOpen { since: now });
        } else {
            self.set_reachability(Reachability::Unconfirmed);
        }
    }

    /// Cordons the host: no new tasks are placed on it. An earlier reason is kept, except that any other replaces
    /// `Surplus`.
    pub(super) fn cordon(&mut self, reason: CordonReason) {
        if matches!(self.cordon_reason, None | Some(CordonReason::Surplus)) {
            tracing::debug!("{}: cordoned as {reason:?}", self.name);
            self.cordon_reason = Some(reason);
        }
    }

    /// Uncordons the host if it is cordoned as surplus. Returns whether it was.
    pub(super) fn uncordon_if_surplus(&mut self) -> bool {
        let was_surplus = self.cordon_reason == Some(CordonReason::Surplus);
        if was_surplus {
            tracing::debug!("{}: uncordoned", self.name);
            self.cordon_reason = None;
            self.surplus_since = None;
        }
        was_surplus
    }

    /// Notes that the host has fetched an image. The least recently used images are dropped beyond the size of the
    /// cache.
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

    /// Adds the allocation of a task.
    pub(super) fn add_allocation(&mut self, task: TaskId, allocation: Allocation) {
        self.allocated_resources.add(&allocation.resources);
        self.allocations.insert(task, allocation);
    }

    /// Removes the allocation of a task.
    pub(super) fn remove_allocation(&mut self, task: TaskId) -> Option<Allocation> {
        let allocation = self.allocations.remove(&task)?;
        self.allocated_resources.subtract(&allocation.resources);
        if self.allocations.is_empty() {
            // Floating-point sums are inexact; an empty host has exactly nothing allocated.
            self.allocated_resources = Resources::default();
        }
        Some(allocation)
    }

    /// Begins a new incarnation of the worker, which has forgotten all attempts and executes no command for an earlier
    /// one.
    pub(super) fn begin_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.ended_attempts.clear();
        self.direct_runs.clear();
    }
}
