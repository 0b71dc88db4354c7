//! What a machine is told: in the answer to its report, or by a command of its own.

use std::collections::VecDeque;

use crate::coordination::cluster::host::{
    AllocationPhase, Host, HostLifecycle, Reachability, StopReason,
};
use crate::coordination::cluster::job::JobPhase;
use crate::coordination::{Action, CommandResult, Leader, LeadershipLost};
use crate::protocol::workers::Command;
use crate::types::{HostName, Incarnation, SequenceNumber, TaskId, Time};

/// More ended attempts than this are cleared at once, as reports have to stay small.
const MAX_KEPT: usize = 200;
/// Where so many are kept already, tasks are started in answers to reports only: no copy of those
/// comes late, so that what ended can be cleared at once.
const MANY_KEPT: usize = 60;

/// A task may take longer to save than its description says, by this factor and so many seconds.
const SAVE_FACTOR: f64 = 1.2;
const SAVE_MARGIN_S: f64 = 1.0;

/// Commands and probes that are under way.
#[derive(Debug, Default)]
pub(crate) struct CommandDispatcher {
    pub(crate) probes_in_flight: usize,
    pub(crate) commands_in_flight: usize,
    /// Hosts whose commands wait until fewer are in flight.
    pub(crate) waiting_hosts: VecDeque<HostName>,
}

impl Leader {
    /// What the worker should do now. In the answer to a report, `run` can't be executed late.
    pub(crate) fn commands(
        &mut self,
        host: &mut Host,
        answer_to: Option<SequenceNumber>,
        now: Time,
    ) -> Vec<Command> {
        let many = host.ended_attempts.len() > MANY_KEPT;
        let may_start = self.may_act(now) && (answer_to.is_some() || !many);
        let mut commands = self.clears(host, now);
        let grace_s = 0.0;
        commands.extend(
            host.unrecorded_attempts
                .iter()
                .map(|&(task, attempt)| Command::Stop {
                    task,
                    attempt,
                    grace_s,
                }),
        );
        for (&task, allocation) in &mut host.allocations {
            let attempt = allocation.attempt;
            match (allocation.stop_reason, allocation.phase) {
                (Some(why), AllocationPhase::Observed) if !allocation.saving => {
                    if let Some(tick) = answer_to {
                        allocation.stop_sent_in_response_to = tick;
                    }
                    commands.push(Command::Stop {
                        task,
                        attempt,
                        grace_s: self.grace_s(task, why),
                    });
                }
                (None, AllocationPhase::Committed)
                    if allocation.incarnation == host.incarnation && may_start =>
                {
                    allocation.run_sent = true;
                    if let Some(tick) = answer_to {
                        allocation.run_sent_in_response_to = tick;
                    }
                    commands.push(Command::Run { task, attempt });
                }
                _ => {}
            }
        }
        commands
    }

    /// The ended attempts that the worker may forget: their outcome is written, and no `run` of them
    /// can come late.
    fn clears(&self, host: &Host, now: Time) -> Vec<Command> {
        let crowded = host.ended_attempts.len() > MAX_KEPT;
        let mut commands = Vec::new();
        for (&(task, attempt), ended_attempt) in &host.ended_attempts {
            // Cleared too soon, a late copy of its `run` would start it anew.
            if now < ended_attempt.retain_until && !crowded {
                continue;
            }
            let job = self.cluster.jobs.get(&task.job);
            // Once its job is over in the records, nothing more is written of the task.
            let over = job.is_none_or(|j| j.phase == JobPhase::GarbageCollecting);
            let chunk = job.and_then(|j| j.chunk(j.chunk_of(task.index)));
            let written =
                over || chunk.is_none_or(|c| c.written_change >= ended_attempt.record_change);
            let finishing = job.is_some_and(|j| j.phase == JobPhase::Finishing);
            let fenced =
                host.fencing_token == self.term() && !host.is_run_unacknowledged(task, attempt);
            if written && !finishing && fenced {
                commands.push(Command::Clear { task, attempt });
            }
        }
        commands
    }

    /// How long a task that is stopped may take to save its progress.
    fn grace_s(&self, task: TaskId, why: StopReason) -> f64 {
        let spec = self
            .cluster
            .jobs
            .get(&task.job)
            .and_then(|j| j.spec.as_ref());
        let saves = why != StopReason::Cancelled;
        spec.filter(|s| saves && s.checkpoint_s.0 > 0.0)
            .map_or(0.0, |s| s.save_s.0 * SAVE_FACTOR + SAVE_MARGIN_S)
    }

    /// Sends a worker its commands directly, so that a start need not wait for the next report.
    pub(crate) fn command(&mut self, host: &mut Host, now: Time) {
        let fresh = now.since(host.last_heartbeat_at) <= self.policy.report.mul_f64(1.6);
        let ready = host.lifecycle == HostLifecycle::Up
            && fresh
            && !host.command_in_flight
            && host.reachability == Reachability::Confirmed;
        let (true, Some(to)) = (ready, host.address) else {
            return;
        };
        if self.dispatcher.commands_in_flight >= self.policy.commands {
            self.dispatcher.waiting_hosts.push_back(host.name.clone());
            return;
        }
        let mut commands = self.commands(host, None, now);
        commands.retain(|o| !matches!(o, Command::Clear { .. }));
        if commands.is_empty() {
            return;
        }
        self.dispatcher.commands_in_flight += 1;
        for command in &commands {
            if let Command::Run { task, attempt } = command {
                *host
                    .unacknowledged_runs
                    .entry((*task, *attempt))
                    .or_default() += 1;
                if let Some(allocation) = host.allocations.get_mut(task) {
                    allocation.run_sent_directly = true;
                }
            }
        }
        host.command_in_flight = true;
        let (host, incarnation) = (host.name.clone(), host.incarnation);
        self.actions.push(Action::SendCommands {
            host,
            to,
            incarnation,
            commands,
        });
    }

    /// Takes in what became of a direct command.
    pub fn on_command_result(
        &mut self,
        name: &HostName,
        incarnation: Incarnation,
        commands: &[Command],
        result: CommandResult,
        now: Time,
    ) -> Result<(), LeadershipLost> {
        if commands.is_empty() {
            self.dispatcher.probes_in_flight = self.dispatcher.probes_in_flight.saturating_sub(1);
        } else {
            self.dispatcher.commands_in_flight =
                self.dispatcher.commands_in_flight.saturating_sub(1);
        }
        let taken_in = self.commanded(name, incarnation, commands, result, now);
        self.command_next(now);
        taken_in
    }

    /// Commands that waited for others to end go out, in their command.
    fn command_next(&mut self, now: Time) {
        while self.dispatcher.commands_in_flight < self.policy.commands {
            let Some(name) = self.dispatcher.waiting_hosts.pop_front() else {
                return;
            };
            if let Some(mut host) = self.cluster.hosts.remove(&name) {
                self.command(&mut host, now);
                self.cluster.hosts.insert(name, host);
            }
        }
    }

    fn commanded(
        &mut self,
        name: &HostName,
        incarnation: Incarnation,
        commands: &[Command],
        result: CommandResult,
        now: Time,
    ) -> Result<(), LeadershipLost> {
        let Some(host) = self.cluster.hosts.get_mut(name) else {
            return Ok(());
        };
        host.command_in_flight = false;
        let lost = matches!(result, CommandResult::NoResponse);
        if host.incarnation == incarnation && !lost {
            for command in commands {
                if let Command::Run { task, attempt } = command {
                    host.on_run_acknowledged(*task, *attempt);
                }
            }
        }
        match result {
            CommandResult::Heartbeat(report) => {
                self.take_in(&report, false, now)?;
            }
            // A silent machine is silent to probes too, which says nothing new.
            CommandResult::NotSent | CommandResult::NoResponse
                if host.lifecycle == HostLifecycle::Up =>
            {
                host.command_had_no_effect(now);
            }
            CommandResult::NotSent | CommandResult::NoResponse | CommandResult::NotAttempted => {}
        }
        Ok(())
    }
}
