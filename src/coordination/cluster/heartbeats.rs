//! What workers report, and what that proves of machines and allocations.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::coordination::cluster::host::{
    Allocation, AllocationPhase, CordonReason, EndedAttempt, Host, HostLifecycle, Reachability,
    StopReason,
};
use crate::coordination::cluster::job::{Job, JobPhase, TaskState, REPLICA_STABLE_AFTER};
use crate::coordination::{Leader, LeaderPhase, LeadershipLost};
use crate::protocol::workers::{
    stop_commands, AttemptState, AttemptStatus, Command, EndReason, WorkerHeartbeat,
};
use crate::types::{seconds, Attempt, Incarnation, SequenceNumber, TaskId, Time};

/// An attempt that was started directly stays in its worker's memory for so many of its leases after
/// it ended.
const KEPT_LEASES: u32 = 4;

impl Leader {
    /// Takes in a worker's own report and returns the commands for it.
    pub fn on_heartbeat(
        &mut self,
        report: &WorkerHeartbeat,
        now: Time,
    ) -> Result<Vec<Command>, LeadershipLost> {
        self.take_in(report, true, now)
    }

    pub(crate) fn take_in(
        &mut self,
        report: &WorkerHeartbeat,
        own: bool,
        now: Time,
    ) -> Result<Vec<Command>, LeadershipLost> {
        if report.fencing_token > self.term() {
            return Err(LeadershipLost(report.fencing_token));
        }
        if self.cluster.released_hosts.contains_key(&report.host) {
            return Ok(Vec::new());
        }
        if self.phase() == LeaderPhase::LoadingRecords {
            // The token alone keeps the worker's lease alive while the records are read. That may
            // take longer than cancelled work has.
            return Ok(stop_commands(report, |job| {
                self.cancellations.jobs.contains_key(&job)
            }));
        }
        let name = report.host.clone();
        if report.fencing_token < self.term() {
            if let Some(mut host) = self.cluster.hosts.remove(&name) {
                self.unfenced(&mut host, report, own, now);
                self.cluster.hosts.insert(name, host);
            }
            return Ok(Vec::new());
        }
        let mut host = self
            .cluster
            .hosts
            .remove(&name)
            .unwrap_or_else(|| Host::new(name.clone(), now));
        let commands = if host.is_newer(report) {
            self.update(&mut host, report, own, now);
            if own {
                self.commands(&mut host, Some(report.sequence), now)
            } else {
                Vec::new()
            }
        } else {
            tracing::debug!(
                "{name}: late report {}/{}",
                report.incarnation,
                report.sequence
            );
            Vec::new()
        };
        self.cluster.hosts.insert(name, host);
        Ok(commands)
    }

    /// A report made before its worker saw our token may be a late copy from long ago, even from
    /// a machine that is gone by now. It proves nothing, not even that there is such a machine; the
    /// answer carries the token, and the next report counts.
    fn unfenced(&mut self, host: &mut Host, report: &WorkerHeartbeat, own: bool, now: Time) {
        self.describe(host, report);
        let at = (report.incarnation, report.sequence);
        if at > host.last_unfenced {
            // It was told the token before, and has not taken it in.
            if own && host.last_unfenced != (Incarnation(0), SequenceNumber(0)) {
                host.command_had_no_effect(now);
            }
            host.last_unfenced = at;
            if !own {
                // A probe for the wrong incarnation was turned down; now the right one is known.
                host.next_probe_at = now;
            }
        }
    }

    /// What does not change in a machine's life.
    fn describe(&self, host: &mut Host, report: &WorkerHeartbeat) {
        if host.type_index.is_none() || host.zone.is_empty() {
            host.type_index = self
                .cluster
                .types
                .iter()
                .position(|t| t.name == report.machine_type);
            host.zone = report.zone.clone();
            host.spot = report.spot;
        }
        host.address = report.address.parse().ok();
    }

    fn update(&mut self, host: &mut Host, report: &WorkerHeartbeat, own: bool, now: Time) {
        // Heard of before in this term: a report after a silence may have been under way for long.
        let back =
            host.first_heartbeat_at.is_some() && host.lifecycle == HostLifecycle::Unresponsive;
        if host.first_heartbeat_at.is_none() {
            host.first_heartbeat_at = Some(now);
            host.idle_since = host.allocations.is_empty().then_some(now);
        }
        self.describe(host, report);
        let before = host.reachability;
        if host.fencing_token < report.fencing_token || !own {
            host.command_took_effect();
        } else if back {
            host.set_reachability(Reachability::Unconfirmed);
            host.next_probe_at = now;
        } else if host.reachability == Reachability::Unconfirmed {
            host.set_reachability(Reachability::Confirmed);
        }
        self.cluster.scheduling_requested |= host.reachability != before;
        host.fencing_token = report.fencing_token;
        host.last_heartbeat_at = now;
        if host.lifecycle != HostLifecycle::Up {
            host.set_lifecycle(HostLifecycle::Up);
            if host.cordon == Some(CordonReason::Lost) && host.lifecycle == HostLifecycle::Up {
                host.cordon = None;
            }
            self.cluster.scheduling_requested = true;
        }
        if report.incarnation > host.incarnation {
            self.new_session(host, report.incarnation, own, now);
        }
        host.sequence = report.sequence;
        host.unrecorded_attempts.clear();
        for reported in &report.tasks {
            self.reported(host, reported, now);
        }
        self.absent(host, report, own, now);
        if let Some(notice) = report.notice_s {
            self.noticed(host, seconds(notice.0), now);
        }
    }

    /// The worker killed and forgot all that earlier incarnations held.
    fn new_session(&mut self, host: &mut Host, incarnation: Incarnation, own: bool, now: Time) {
        let heard = now.since(host.last_heartbeat_at) < self.policy.report * 2;
        if own && heard && host.incarnation != Incarnation(0) && host.lifecycle == HostLifecycle::Up
        {
            // Its lease ran out although its reports were answered.
            host.command_had_no_effect(now);
        }
        let old: Vec<TaskId> = host
            .allocations
            .iter()
            .filter(|(_, b)| b.incarnation < incarnation)
            .map(|(t, _)| *t)
            .collect();
        if !old.is_empty() {
            tracing::info!(
                "{}: incarnation {incarnation}, {} tasks lost",
                host.name,
                old.len()
            );
        }
        for task in old {
            self.end_booking(host, task, false, now);
        }
        host.incarnation = incarnation;
        host.ended_attempts.clear();
        host.unacknowledged_runs.clear();
        self.cluster.scheduling_requested = true;
    }

    fn reported(&mut self, host: &mut Host, reported: &AttemptStatus, now: Time) {
        let AttemptStatus {
            task,
            attempt,
            state,
            ..
        } = *reported;
        let ours = host
            .allocations
            .get_mut(&task)
            .filter(|b| b.attempt == attempt);
        match (ours, state) {
            (Some(_), AttemptState::Ended) => self.ended(host, reported, now),
            (Some(allocation), _) => {
                let told = allocation.phase == AllocationPhase::Committed
                    && allocation.run_sent_in_response_to != SequenceNumber(0);
                let waited = allocation.started_at.is_none();
                allocation.observe(reported, now);
                if waited && allocation.started_at.is_some() {
                    self.image_arrived(host, task, now);
                }
                if told {
                    host.command_took_effect();
                }
            }
            (None, AttemptState::Ended) => {
                // Its outcome is in the records already, or never mattered.
                host.ended_attempts
                    .entry((task, attempt))
                    .or_insert(EndedAttempt {
                        record_change: 0,
                        retain_until: now,
                    });
            }
            (None, _) => self.stray(host, task, attempt, now),
        }
    }

    fn ended(&mut self, host: &mut Host, reported: &AttemptStatus, now: Time) {
        let AttemptStatus {
            task,
            attempt,
            end_reason: cause,
            ..
        } = *reported;
        let service = self
            .cluster
            .jobs
            .get(&task.job)
            .is_some_and(Job::is_service);
        // A service is never done.
        let done = cause == Some(EndReason::Done) && !service;
        let started = host.allocations.get(&task).and_then(|b| b.started_at);
        let ran = started.map_or(Duration::ZERO, |s| now.since(s));
        if let (Some(EndReason::Done | EndReason::Error), Some(job), true) =
            (cause, self.cluster.jobs.get_mut(&task.job), service)
        {
            job.on_replica_ended(ran, now);
            tracing::info!(
                "{}: {task} ended by itself after {ran:?}: {cause:?}",
                host.name
            );
        }
        match cause {
            Some(EndReason::Done) if service => {}
            Some(EndReason::Done) => {
                self.learn(task, started.map(|s| now.since(s).as_secs_f64()));
                host.consecutive_failures = 0;
                host.failed_jobs.clear();
            }
            Some(EndReason::Stopped) => {}
            // One that had long been running says nothing of its machine.
            Some(EndReason::Error) if service && ran >= REPLICA_STABLE_AFTER => {}
            Some(EndReason::Error) => self.task_failed(host, task, now),
            _ => {
                tracing::info!("{}: {task} attempt {attempt} refused: {cause:?}", host.name);
                if let Some(job) = self.cluster.jobs.get_mut(&task.job) {
                    job.retry_not_before = now.after(Duration::from_secs(1));
                }
            }
        }
        self.keep_ended_attempt(host, task, attempt, done, now);
    }

    /// Frees the allocation of an attempt that ended. Its worker has to remember the attempt for as long
    /// as a copy of its `run` may still arrive.
    fn keep_ended_attempt(
        &mut self,
        host: &mut Host,
        task: TaskId,
        attempt: Attempt,
        done: bool,
        now: Time,
    ) {
        let copies = host
            .allocations
            .get(&task)
            .is_some_and(|b| b.run_sent_directly);
        let kept_for = if copies {
            self.policy.lease * KEPT_LEASES
        } else {
            Duration::ZERO
        };
        let change = self.end_booking(host, task, done, now);
        let kept_until = now.after(kept_for);
        host.ended_attempts.insert(
            (task, attempt),
            EndedAttempt {
                record_change: change,
                retain_until: kept_until,
            },
        );
        self.cluster.scheduling_requested = true;
    }

    fn image_arrived(&mut self, host: &mut Host, task: TaskId, now: Time) {
        if let Some(job) = self.cluster.jobs.get_mut(&task.job) {
            if let Some((since, why)) = job.replica_outages.remove(&task.index) {
                tracing::info!("{task} runs again after {:?}: {why}", now.since(since));
            }
        }
        let spec = self
            .cluster
            .jobs
            .get(&task.job)
            .and_then(|j| j.spec.as_ref());
        let kind = host.type_index.and_then(|k| self.cluster.types.get(k));
        // Only services ask where their image is.
        let spec = spec.filter(|s| s.is_service());
        if let (Some(spec), Some(kind)) = (spec, kind) {
            host.cache_image(&spec.image, spec.image_gb.0, kind.cache_gb.0);
        }
    }

    /// A task that the records don't place here. Book before run leaves no honest way to this,
    /// so it is stopped; until it has ended, it is not started elsewhere.
    fn stray(&mut self, host: &mut Host, task: TaskId, attempt: Attempt, now: Time) {
        tracing::warn!("{}: {task} attempt {attempt} is not booked here", host.name);
        host.unrecorded_attempts.insert((task, attempt));
        let Some(job) = self.cluster.jobs.get_mut(&task.job) else {
            return;
        };
        let free = matches!(job.task_state(task.index), Some(TaskState::Waiting { last }) if *last <= attempt);
        if job.phase != JobPhase::Active || !free || host.allocations.contains_key(&task) {
            return;
        }
        host.unrecorded_attempts.remove(&(task, attempt));
        let (incarnation, need) = (host.incarnation, job.task_resources);
        let state = TaskState::Allocated {
            host: host.name.clone(),
            attempt,
            incarnation,
        };
        let Some(number) = job.set_task(task.index, state) else {
            return;
        };
        let change = job.chunk(number).map_or(0, |c| c.change_count);
        self.cluster.records.mark_dirty(task.job, number, true);
        let team = job.team.clone();
        self.charge(&team, &need);
        host.allocate(
            task,
            Allocation {
                attempt,
                incarnation,
                resources: need,
                phase: AllocationPhase::Observed,
                record_change: change,
                run_sent: true,
                run_sent_directly: false,
                run_sent_in_response_to: SequenceNumber(0),
                stop_sent_in_response_to: SequenceNumber(0),
                stop_reason: Some(StopReason::Drained),
                saving: false,
                fetching: false,
                allocated_at: now,
                started_at: None,
            },
        );
    }

    /// Looks at what the report lacks.
    fn absent(&mut self, host: &mut Host, report: &WorkerHeartbeat, own: bool, now: Time) {
        let listed: BTreeSet<(TaskId, Attempt)> =
            report.tasks.iter().map(|t| (t.task, t.attempt)).collect();
        host.ended_attempts.retain(|key, _| listed.contains(key));
        let missing: Vec<TaskId> = host
            .allocations
            .iter()
            .filter(|(task, b)| !listed.contains(&(**task, b.attempt)))
            .map(|(task, _)| *task)
            .collect();
        // Only what was in the answer to an older report should show by now.
        let told = |b: &Allocation| {
            b.stop_sent_in_response_to != SequenceNumber(0)
                && report.sequence > b.stop_sent_in_response_to
        };
        let running = |b: &Allocation| b.phase == AllocationPhase::Observed && !b.saving;
        let mut stops = host
            .allocations
            .values()
            .filter(|b| b.stop_reason.is_some());
        let mut unseen = own && stops.any(|b| told(b) && running(b));
        for task in missing {
            let Some(allocation) = host.allocations.get(&task) else {
                continue;
            };
            // One that is still wanted is ordered again under the same attempt, which is safe.
            let wanted =
                allocation.stop_reason.is_none() && allocation.phase != AllocationPhase::Observed;
            if wanted {
                unseen |= own
                    && allocation.run_sent_in_response_to != SequenceNumber(0)
                    && report.sequence > allocation.run_sent_in_response_to;
                continue;
            }
            let (token, tick) = (report.fencing_token, report.sequence);
            if host.proves_absence(task, allocation, token, self.term(), tick, own) {
                self.end_booking(host, task, false, now);
            }
        }
        if unseen {
            host.command_had_no_effect(now);
        }
    }

    /// The cloud will take the machine: what can't end in time is moved now.
    fn noticed(&mut self, host: &mut Host, left: Duration, now: Time) {
        if host.reclaim_at.is_some() {
            return;
        }
        host.reclaim_at = Some(now.after(left));
        host.cordon(CordonReason::Reclaimed);
        self.cluster.scheduling_requested = true;
        for (task, allocation) in &mut host.allocations {
            let Some(job) = self.cluster.jobs.get(&task.job) else {
                continue;
            };
            if job.is_service() {
                // Its moment is chosen by what room there is elsewhere.
                continue;
            }
            let rest = self.expected_rest(job, allocation.started_at, now);
            if rest > left.as_secs_f64() && allocation.stop_reason.is_none() {
                allocation.stop_reason = Some(StopReason::Drained);
            }
        }
    }
}
