//! Derives the commands that a worker needs so that its tasks match the state.

use std::collections::BTreeSet;
use std::time::Duration;

use super::host::{AllocationPhase, EndedAttempt, Host, StopReason};
use super::job::JobPhase;
use super::ClusterState;
use crate::protocol::workers::Command;
use crate::types::{Attempt, HostName, Incarnation, SequenceNumber, TaskId, Term, Time};

/// Above this many ended attempts on a host, tasks are started in heartbeat responses only. No copy of a response
/// arrives late, so attempts that a response started can be cleared as soon as they have ended.
const MAX_ATTEMPTS_FOR_DIRECT_RUN: usize = 60;

/// A higher fencing token is requested once a worker lists this many ended attempts, before tasks can't be started
/// directly any more.
const ENDED_ATTEMPTS_BEFORE_RAISE: usize = MAX_ATTEMPTS_FOR_DIRECT_RUN / 2;

/// The grace for saving progress exceeds the save time in the job's description by this factor and by
/// `SAVE_TIME_MARGIN_S`.
const SAVE_TIME_FACTOR: f64 = 1.2;
/// Seconds added to the grace for saving progress.
const SAVE_TIME_MARGIN_S: f64 = 1.0;

/// The leader's term, token and lease, on which its commands depend.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CommandContext {
    /// The leader's term, which was its first fencing token.
    pub(crate) term: Term,
    /// The fencing token that the commands carry.
    pub(crate) fencing_token: Term,
    /// How long ended attempts are listed before a higher fencing token is requested so that they can be cleared.
    pub(crate) max_listing_time: Duration,
    /// Whether this leader's lease is valid, so that tasks may be started.
    pub(crate) may_start_tasks: bool,
    pub(crate) now: Time,
}

/// What is known of a request with direct commands once it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// The worker has answered. Copies of the commands may still be executed.
    Answered,
    /// There was no response: the commands may have been executed, or may still be.
    Unanswered,
    /// Neither the commands nor copies of them were or will be executed.
    NotExecuted,
}

impl ClusterState {
    /// Returns the commands for the response to a heartbeat, and notes them as sent. A `run` in a response can't be
    /// executed late.
    pub(crate) fn commands_in_response(
        &mut self,
        name: &HostName,
        sequence: SequenceNumber,
        context: CommandContext,
    ) -> Vec<Command> {
        self.take_commands(name, Some(sequence), context)
    }

    /// Returns the commands for a request to the worker's address, and notes them as sent. It leaves out `clear`, which
    /// can wait for the next heartbeat.
    pub(crate) fn direct_commands(
        &mut self,
        name: &HostName,
        context: CommandContext,
    ) -> Vec<Command> {
        let mut commands = self.take_commands(name, None, context);
        commands.retain(|command| !matches!(command, Command::Clear { .. }));
        let Some(host) = self.hosts.get_mut(name).filter(|_| !commands.is_empty()) else {
            return commands;
        };
        for command in &commands {
            if let Command::Run { task, attempt } = command {
                host.on_run_sent_directly(*task, *attempt, context.fencing_token);
            }
        }
        host.has_command_in_flight = true;
        commands
    }

    /// Notes that a request with direct commands has ended. Unless they were certainly not executed, a copy may still
    /// be, whether or not there was a response.
    pub(crate) fn on_direct_commands_done(
        &mut self,
        name: &HostName,
        incarnation: Incarnation,
        commands: &[Command],
        delivery: Delivery,
    ) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        host.has_command_in_flight = false;
        if delivery == Delivery::Unanswered {
            tracing::debug!(
                host = %name,
                commands = ?commands,
                "no response to direct commands: each may still be executed"
            );
        }
        if host.incarnation != incarnation || delivery != Delivery::NotExecuted {
            return;
        }
        for command in commands {
            if let Command::Run { task, attempt } = command {
                host.on_run_not_executed(*task, *attempt);
            }
        }
    }

    /// Notes that direct commands or a probe got no response. That says nothing new of a host that is not up.
    pub(crate) fn on_commands_unanswered(&mut self, name: &HostName, now: Time) {
        let host = self.hosts.get_mut(name);
        if let Some(host) = host.filter(|host| host.is_up()) {
            host.on_command_without_effect(now);
        }
    }

    fn take_commands(
        &mut self,
        name: &HostName,
        heartbeat_sequence: Option<SequenceNumber>,
        context: CommandContext,
    ) -> Vec<Command> {
        let Some(mut host) = self.hosts.remove(name) else {
            return Vec::new();
        };
        let mut commands = self.clear_commands(&host, context);
        commands.extend(stop_commands_for_unrecorded(&host));
        let may_run_directly = host.ended_attempts.len() <= MAX_ATTEMPTS_FOR_DIRECT_RUN;
        let may_run = context.may_start_tasks && (heartbeat_sequence.is_some() || may_run_directly);
        let may_fence = context.may_start_tasks && heartbeat_sequence.is_some();
        let attempts_to_fence = if may_fence {
            host.attempts_to_fence()
        } else {
            BTreeSet::new()
        };
        for (&task, allocation) in &mut host.allocations {
            let attempt = allocation.attempt;
            match (allocation.stop_reason, allocation.phase) {
                (Some(reason), AllocationPhase::Committed) if attempts_to_fence.contains(&task) => {
                    tracing::debug!(host = %host.name, %task, %attempt, ?reason, "fencing off a lost run");
                    allocation.on_fence_sent(heartbeat_sequence);
                    commands.push(Command::Run { task, attempt });
                    commands.push(Command::Stop {
                        task,
                        attempt,
                        grace_s: 0.0,
                    });
                }
                (Some(reason), AllocationPhase::Observed) if allocation.needs_stop_command() => {
                    allocation.on_stop_sent(heartbeat_sequence);
                    commands.push(Command::Stop {
                        task,
                        attempt,
                        grace_s: self.grace_s(task, reason),
                    });
                }
                (None, AllocationPhase::Committed)
                    if allocation.incarnation == host.incarnation && may_run =>
                {
                    allocation.on_run_sent(heartbeat_sequence);
                    commands.push(Command::Run { task, attempt });
                }
                _ => {}
            }
        }
        self.hosts.insert(name.clone(), host);
        commands
    }

    /// Returns `clear` commands for the ended attempts whose outcome is written and whose `run` can't arrive late: after
    /// `clear` the worker has forgotten the attempt, and a late copy of its `run` would start it again. Requests a higher
    /// fencing token, which excludes such copies, if attempts have waited long or are many.
    fn clear_commands(&mut self, host: &Host, context: CommandContext) -> Vec<Command> {
        let has_many_ended_attempts = host.ended_attempts.len() >= ENDED_ATTEMPTS_BEFORE_RAISE;
        let mut commands = Vec::new();
        for (&(task, attempt), ended) in &host.ended_attempts {
            if host.fencing_token < context.term
                || !self.is_outcome_written(task, ended.record_change_count)
            {
                continue;
            }
            if host.may_run_arrive_late(task, attempt) {
                let listed_for = context.now.since(ended.first_listed_at);
                self.is_token_raise_requested |= (has_many_ended_attempts
                    || listed_for >= context.max_listing_time)
                    && host.awaits_token_above(task, attempt, context.fencing_token);
                continue;
            }
            log_clear(host, task, attempt, ended, context.now);
            commands.push(Command::Clear { task, attempt });
        }
        commands
    }

    /// Whether the first `record_change_count` changes of the task's run record are written. While the
    /// job's records are being deleted, none of its run records is written any more.
    fn is_outcome_written(&self, task: TaskId, record_change_count: u64) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        match job.phase {
            JobPhase::GarbageCollecting => true,
            JobPhase::Finishing => false,
            JobPhase::Active | JobPhase::Cancelled => {
                let chunk = job.chunk(job.record_number_of(task.index));
                chunk.is_none_or(|chunk| chunk.written_change_count >= record_change_count)
            }
        }
    }

    /// Time in seconds that a task may take to save its progress when it is stopped. A cancelled task saves nothing.
    fn grace_s(&self, task: TaskId, reason: StopReason) -> f64 {
        let spec = self.jobs.get(&task.job).and_then(|job| job.spec.as_ref());
        let may_save = reason != StopReason::Cancelled;
        spec.filter(|spec| may_save && spec.checkpoint_interval_s.0 > 0.0)
            .map_or(0.0, |spec| {
                spec.save_time_s.0 * SAVE_TIME_FACTOR + SAVE_TIME_MARGIN_S
            })
    }
}

/// `stop` commands for the attempts that no run record places on this host.
fn stop_commands_for_unrecorded(host: &Host) -> impl Iterator<Item = Command> + '_ {
    let unrecorded = host.unrecorded_attempts.iter();
    unrecorded.map(|&(task, attempt)| Command::Stop {
        task,
        attempt,
        grace_s: 0.0,
    })
}

fn log_clear(host: &Host, task: TaskId, attempt: Attempt, ended: &EndedAttempt, now: Time) {
    tracing::debug!(
        host = %host.name,
        %task,
        %attempt,
        fencing_token = %host.fencing_token,
        incarnation = %host.incarnation,
        listed_for = ?now.since(ended.first_listed_at),
        listed_attempts = host.ended_attempts.len(),
        "clearing an ended attempt"
    );
}
