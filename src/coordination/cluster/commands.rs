//! Which commands a worker needs for its tasks to become what the state says.

use super::host::{AllocationPhase, Host, StopReason};
use super::job::JobPhase;
use super::ClusterState;
use crate::protocol::workers::Command;
use crate::types::{HostName, Incarnation, SequenceNumber, TaskId, Term, Time};

/// Above this many ended attempts on a host, they are cleared at once, as heartbeats have to stay small.
const MAX_RETAINED_ATTEMPTS: usize = 200;
/// Above this many ended attempts on a host, tasks are started in heartbeat responses only: no copy of those
/// arrives late, so that what ended can be cleared at once.
const MAX_ATTEMPTS_FOR_DIRECT_RUN: usize = 60;

/// A task may take longer to save than its description says, by this factor and margin in seconds.
const SAVE_TIME_FACTOR: f64 = 1.2;
const SAVE_TIME_MARGIN_S: f64 = 1.0;

/// On what conditions commands are sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CommandContext {
    /// The term, which is the fencing token.
    pub(crate) term: Term,
    /// Whether the lease of this leader stands, so that tasks may be started.
    pub(crate) may_start_tasks: bool,
    pub(crate) now: Time,
}

impl ClusterState {
    /// The commands for the response to a heartbeat, noted as sent. A `run` in it can't be executed late.
    pub(crate) fn commands_in_response(
        &mut self,
        name: &HostName,
        sequence: SequenceNumber,
        context: CommandContext,
    ) -> Vec<Command> {
        self.take_commands(name, Some(sequence), context)
    }

    /// The commands for a request to the worker's address, noted as sent. It leaves out the clearing of ended
    /// attempts, which can wait for the next heartbeat.
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
                host.on_run_sent_directly(*task, *attempt);
            }
        }
        host.has_command_in_flight = true;
        commands
    }

    /// The direct commands to a host have their outcome. If it is known (not lost), its `run` commands can't be
    /// executed later any more.
    pub(crate) fn on_direct_commands_done(
        &mut self,
        name: &HostName,
        incarnation: Incarnation,
        commands: &[Command],
        is_outcome_known: bool,
    ) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        host.has_command_in_flight = false;
        if host.incarnation != incarnation || !is_outcome_known {
            return;
        }
        for command in commands {
            if let Command::Run { task, attempt } = command {
                host.on_run_acknowledged(*task, *attempt);
            }
        }
    }

    /// Direct commands or a probe got no response. A host that is not up is silent to them too, which proves
    /// nothing new.
    pub(crate) fn on_commands_unanswered(&mut self, name: &HostName, now: Time) {
        let host = self.hosts.get_mut(name);
        if let Some(host) = host.filter(|host| host.is_up()) {
            host.command_had_no_effect(now);
        }
    }

    fn take_commands(
        &mut self,
        name: &HostName,
        response_to: Option<SequenceNumber>,
        context: CommandContext,
    ) -> Vec<Command> {
        let Some(mut host) = self.hosts.remove(name) else {
            return Vec::new();
        };
        let mut commands = self.clear_commands(&host, context);
        commands.extend(stop_unrecorded(&host));
        let may_run_directly = host.ended_attempts.len() <= MAX_ATTEMPTS_FOR_DIRECT_RUN;
        let may_run = context.may_start_tasks && (response_to.is_some() || may_run_directly);
        for (&task, allocation) in &mut host.allocations {
            let attempt = allocation.attempt;
            match (allocation.stop_reason, allocation.phase) {
                (Some(reason), AllocationPhase::Observed) if !allocation.is_saving => {
                    allocation.on_stop_sent(response_to);
                    commands.push(Command::Stop {
                        task,
                        attempt,
                        grace_s: self.grace_s(task, reason),
                    });
                }
                (None, AllocationPhase::Committed)
                    if allocation.incarnation == host.incarnation && may_run =>
                {
                    allocation.on_run_sent(response_to);
                    commands.push(Command::Run { task, attempt });
                }
                _ => {}
            }
        }
        self.hosts.insert(name.clone(), host);
        commands
    }

    /// Clears the ended attempts whose outcome is written and whose `run` can't arrive late. Cleared too soon, a late
    /// copy of the `run` would start the attempt again.
    fn clear_commands(&self, host: &Host, context: CommandContext) -> Vec<Command> {
        let is_crowded = host.ended_attempts.len() > MAX_RETAINED_ATTEMPTS;
        let mut commands = Vec::new();
        for (&(task, attempt), ended) in &host.ended_attempts {
            if context.now < ended.retain_until && !is_crowded {
                continue;
            }
            let is_fenced =
                host.fencing_token == context.term && !host.is_run_unacknowledged(task, attempt);
            if is_fenced && self.is_outcome_written(task, ended.record_change_count) {
                commands.push(Command::Clear { task, attempt });
            }
        }
        commands
    }

    /// Whether that change of the task's run record is written. Of a job that is over in the records nothing more is
    /// written.
    fn is_outcome_written(&self, task: TaskId, record_change: u64) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        match job.phase {
            JobPhase::GarbageCollecting => true,
            JobPhase::Finishing => false,
            JobPhase::Active | JobPhase::Cancelled => {
                let chunk = job.chunk(job.record_number_of(task.index));
                chunk.is_none_or(|chunk| chunk.written_change_count >= record_change)
            }
        }
    }

    /// How long a task that is stopped may take to save its progress, in seconds.
    fn grace_s(&self, task: TaskId, reason: StopReason) -> f64 {
        let spec = self.jobs.get(&task.job).and_then(|job| job.spec.as_ref());
        let may_save = reason != StopReason::Cancelled;
        spec.filter(|spec| may_save && spec.checkpoint_s.0 > 0.0)
            .map_or(0.0, |spec| {
                spec.save_s.0 * SAVE_TIME_FACTOR + SAVE_TIME_MARGIN_S
            })
    }
}

/// Stops for the attempts that no record places on this host.
fn stop_unrecorded(host: &Host) -> impl Iterator<Item = Command> + '_ {
    let unrecorded = host.unrecorded_attempts.iter();
    unrecorded.map(|&(task, attempt)| Command::Stop {
        task,
        attempt,
        grace_s: 0.0,
    })
}
