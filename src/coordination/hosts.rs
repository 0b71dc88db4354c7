//! A machine's life, and what is booked on it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::resources::Resources;
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
    Silent,
    /// The cloud has been told to take it back; there is no way back from here.
    Releasing,
}

/// Why nothing new is placed on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cordon {
    /// Not needed for the work there is; opened again if that grows.
    Surplus,
    /// The cloud takes it back.
    Notice,
    /// It fails tasks.
    Sick,
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

/// How far a booking is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BookingPhase {
    /// The booking is not known to be written; no `run` may leave.
    Recording,
    /// Written; `run` may be sent, and may have been.
    Ordered,
    /// The worker has reported it alive.
    Present,
}

/// Why a task is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopWhy {
    /// Its job was cancelled.
    Cancelled,
    /// Its machine is about to go.
    Drained,
    /// Work of a higher priority needs the room.
    Preempted,
}

/// A task's place on a machine, from before its start until it is proven to have ended.
#[derive(Clone, Debug)]
pub struct Booking {
    /// Which attempt at the task.
    pub attempt: Attempt,
    /// Incarnation of the worker for which it was booked.
    pub incarnation: Incarnation,
    /// What the task takes.
    pub need: Resources,
    /// How far it is.
    pub phase: BookingPhase,
    /// The change of its chunk that holds the booking.
    pub change: u64,
    /// A `run` of it may have left, under this leader or an earlier one.
    pub sent: bool,
    /// This leader sent a `run` of it directly, so copies may come late.
    pub direct: bool,
    /// The last report in whose answer `run` went out.
    pub answered: SequenceNumber,
    /// The last report in whose answer `stop` went out.
    pub stop_told: SequenceNumber,
    /// It is to be stopped, and why.
    pub stop: Option<StopWhy>,
    /// The worker said that it saves its progress.
    pub saving: bool,
    /// The worker said that it waits for its image.
    pub fetching: bool,
    /// When it was booked, or read from the records.
    pub since: Time,
    /// When it was first seen to run.
    pub started: Option<Time>,
}

/// An attempt that ended and is still in the worker's reports.
#[derive(Clone, Copy, Debug)]
pub struct Leftover {
    /// The change of its chunk that holds the outcome; `clear` waits for it.
    pub change: u64,
    /// The worker is to remember it until then, so that a late copy of its `run` finds it there.
    pub kept_until: Time,
}

/// A machine as the leader knows it.
#[derive(Debug)]
pub struct Host {
    /// Its name.
    pub name: HostName,
    /// Index of its type, once that is known.
    pub kind: Option<usize>,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Address for direct commands, once it has reported.
    pub address: Option<SocketAddr>,
    /// Where it is in its life.
    pub lifecycle: HostLifecycle,
    /// Why nothing new is placed there, if so.
    pub cordon: Option<Cordon>,
    /// Incarnation of its worker.
    pub incarnation: Incarnation,
    /// SequenceNumber of the newest message of that incarnation.
    pub tick: SequenceNumber,
    /// The highest token its worker has seen, by its own word.
    pub token: Term,
    /// When this leader first knew of it, and when it last heard from it.
    pub known_at: Time,
    /// When this leader last heard from it.
    pub heard_at: Time,
    /// When it was rented, or first seen.
    pub rented_at: Time,
    /// When its first report came.
    pub up_at: Option<Time>,
    /// When the cloud takes it away, if it gave notice.
    pub gone_by: Option<Time>,
    /// Tasks that are booked there.
    pub bookings: BTreeMap<TaskId, Booking>,
    /// Ended attempts that its worker still reports.
    pub leftovers: BTreeMap<(TaskId, Attempt), Leftover>,
    /// Images that are likely there, the most recently used last, and their sizes.
    pub images: Vec<(String, f64)>,
    /// Since when it has been closed as surplus.
    pub surplus_since: Option<Time>,
    /// It was opened for a task that is to find it open until then.
    pub open_until: Time,
    /// Attempts in its last report that are booked nowhere and wanted by nobody.
    pub strays: BTreeSet<(TaskId, Attempt)>,
    /// Direct `run`s without an answer: each may still be executed, even minutes from now.
    pub unanswered: BTreeMap<(TaskId, Attempt), u32>,
    /// What its bookings take.
    pub used: Resources,
    /// Since when it has had no booking.
    pub idle_since: Option<Time>,
    /// Jobs whose tasks failed there, and when.
    pub failed_jobs: BTreeMap<JobId, Time>,
    /// Failures in a row.
    pub failures: u32,
    /// A direct command is on its way; the next one waits for its answer.
    pub commanding: bool,
    /// Whether commands are known to reach it.
    pub reachability: Reachability,
    /// How many answers and commands in a row have shown no effect.
    pub without_effect: u32,
    /// The last report that does not count, as its worker had not seen our token.
    pub unfenced: (Incarnation, SequenceNumber),
    /// No probe goes there before.
    pub probe_at: Time,
    /// When it was last asked for to be taken back in a hurry.
    pub removed_at: Option<Time>,
    /// The cloud's list has named it, and the last one doesn't any more.
    pub listed: bool,
    /// The cloud's list once named it, and does no more.
    pub unlisted: bool,
    /// When the cloud's list first called it running.
    pub running_since: Option<Time>,
}

/// So many answers and commands in a row without an effect make a machine deaf.
const DEAF_AFTER: u32 = 3;

impl Host {
    /// A machine of which only the name is known.
    pub fn new(name: HostName, now: Time) -> Host {
        Host {
            name,
            kind: None,
            zone: String::new(),
            spot: false,
            address: None,
            lifecycle: HostLifecycle::Expected,
            cordon: None,
            incarnation: Incarnation(0),
            tick: SequenceNumber(0),
            token: Term(0),
            known_at: now,
            heard_at: now,
            rented_at: now,
            up_at: None,
            gone_by: None,
            bookings: BTreeMap::new(),
            leftovers: BTreeMap::new(),
            images: Vec::new(),
            surplus_since: None,
            open_until: Time::default(),
            strays: BTreeSet::new(),
            unanswered: BTreeMap::new(),
            used: Resources::default(),
            idle_since: Some(now),
            failed_jobs: BTreeMap::new(),
            failures: 0,
            commanding: false,
            reachability: Reachability::Confirmed,
            without_effect: 0,
            unfenced: (Incarnation(0), SequenceNumber(0)),
            probe_at: now,
            removed_at: None,
            listed: false,
            unlisted: false,
            running_since: None,
        }
    }

    /// The one place where a machine's life changes.
    pub fn enter(&mut self, life: HostLifecycle) {
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
    pub fn took_effect(&mut self) {
        self.without_effect = 0;
        self.set_reachability(Reachability::Confirmed);
    }

    /// Something that was said shows no effect. A lost message or two prove nothing.
    pub fn ignored(&mut self, now: Time) {
        self.without_effect += 1;
        if matches!(self.reachability, Reachability::HalfOpen { .. }) {
            return;
        }
        if self.without_effect >= DEAF_AFTER {
            tracing::info!("{}: reports, but does not hear", self.name);
            self.set_reachability(Reachability::HalfOpen { since: now });
        } else {
            self.set_reachability(Reachability::Unconfirmed);
        }
    }

    /// Closes it for new tasks. The first reason stands, save that a worse one replaces `Surplus`.
    pub fn cordon(&mut self, why: Cordon) {
        if self.cordon.is_none() || self.cordon == Some(Cordon::Surplus) {
            tracing::debug!("{}: cordoned, {why:?}", self.name);
            self.cordon = Some(why);
        }
    }

    /// Opens a machine that was only closed as surplus; true if that changed anything.
    pub fn uncordon(&mut self) -> bool {
        let closed = self.cordon == Some(Cordon::Surplus);
        if closed {
            tracing::debug!("{}: open again", self.name);
            self.cordon = None;
            self.surplus_since = None;
        }
        closed
    }

    /// A task has its image there. The most recently used are kept, as far as the cache goes.
    pub fn has_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push((image.to_owned(), gb));
        let mut kept: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while kept > cache_gb && self.images.len() > 1 {
            kept -= self.images.remove(0).1;
        }
    }

    /// Whether the image is likely there.
    pub fn holds_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    /// True if the report is newer than all that was heard before; older ones count for nothing.
    pub fn is_news(&self, report: &WorkerHeartbeat) -> bool {
        (report.incarnation, report.sequence) > (self.incarnation, self.tick)
    }

    /// Books a task.
    pub fn book(&mut self, task: TaskId, booking: Booking) {
        self.used.add(&booking.need);
        self.idle_since = None;
        self.bookings.insert(task, booking);
    }

    /// Ends a booking.
    pub fn unbook(&mut self, task: TaskId, now: Time) -> Option<Booking> {
        let booking = self.bookings.remove(&task)?;
        self.used.remove(&booking.need);
        if self.bookings.is_empty() {
            self.used = Resources::default();
            self.idle_since = Some(now);
        }
        Some(booking)
    }

    /// Whether a direct `run` of the attempt has no answer.
    pub fn is_unanswered(&self, task: TaskId, attempt: Attempt) -> bool {
        self.unanswered.contains_key(&(task, attempt))
    }

    /// A direct `run` got its answer, or surely never left.
    pub fn answered(&mut self, task: TaskId, attempt: Attempt) {
        if let Some(count) = self.unanswered.get_mut(&(task, attempt)) {
            *count -= 1;
            if *count == 0 {
                self.unanswered.remove(&(task, attempt));
            }
        }
    }

    /// Whether the absence of a task from a report proves that it is not there and can't come:
    /// older leaders' late commands are fenced, and none of ours is still under way.
    pub fn proves_absence(
        &self,
        task: TaskId,
        booking: &Booking,
        token: Term,
        term: Term,
        tick: SequenceNumber,
        own_report: bool,
    ) -> bool {
        if !booking.sent {
            return true;
        }
        let by_answer =
            booking.answered == SequenceNumber(0) || (own_report && tick > booking.answered);
        token == term && by_answer && !self.is_unanswered(task, booking.attempt)
    }
}

impl Booking {
    /// Takes in what the worker says of it.
    pub fn seen(&mut self, reported: &AttemptStatus, now: Time) {
        self.phase = BookingPhase::Present;
        self.saving = reported.state == AttemptState::Saving;
        self.fetching = reported.state == AttemptState::Fetching;
        if !self.fetching {
            self.started.get_or_insert(now);
        }
    }
}
