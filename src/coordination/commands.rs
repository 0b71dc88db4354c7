//! What a machine is told: in the answer to its report, or by a command of its own.

use super::hosts::{BookingPhase, Host, HostLifecycle, Reachability, StopWhy};
use super::jobs::JobPhase;
use super::{Action, CommandResult, Controller, Deposed};
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

impl Controller {
    /// What the worker should do now. In the answer to a report, `run` can't be executed late.
    pub(super) fn commands(
        &mut self,
        host: &mut Host,
        answer_to: Option<SequenceNumber>,
        now: Time,
    ) -> Vec<Command> {
        let many = host.leftovers.len() > MANY_KEPT;
        let may_start = self.may_act(now) && (answer_to.is_some() || !many);
        let mut commands = self.clears(host, now);
        let grace_s = 0.0;
        commands.extend(host.strays.iter().map(|&(task, attempt)| Command::Stop {
            task,
            attempt,
            grace_s,
        }));
        for (&task, booking) in &mut host.bookings {
            let attempt = booking.attempt;
            match (booking.stop, booking.phase) {
                (Some(why), BookingPhase::Present) if !booking.saving => {
                    if let Some(tick) = answer_to {
                        booking.stop_told = tick;
                    }
                    commands.push(Command::Stop {
                        task,
                        attempt,
                        grace_s: self.grace_s(task, why),
                    });
                }
                (None, BookingPhase::Ordered)
                    if booking.incarnation == host.incarnation && may_start =>
                {
                    booking.sent = true;
                    if let Some(tick) = answer_to {
                        booking.answered = tick;
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
        let crowded = host.leftovers.len() > MAX_KEPT;
        let mut commands = Vec::new();
        for (&(task, attempt), leftover) in &host.leftovers {
            // Cleared too soon, a late copy of its `run` would start it anew.
            if now < leftover.kept_until && !crowded {
                continue;
            }
            let job = self.jobs.get(&task.job);
            // Once its job is over in the records, nothing more is written of the task.
            let over = job.is_none_or(|j| j.phase == JobPhase::GarbageCollected);
            let chunk = job.and_then(|j| j.chunk(j.chunk_of(task.index)));
            let written = over || chunk.is_none_or(|c| c.written >= leftover.change);
            let finishing = job.is_some_and(|j| j.phase == JobPhase::Finishing);
            let fenced = host.token == self.term && !host.is_unanswered(task, attempt);
            if written && !finishing && fenced {
                commands.push(Command::Clear { task, attempt });
            }
        }
        commands
    }

    /// How long a task that is stopped may take to save its progress.
    fn grace_s(&self, task: TaskId, why: StopWhy) -> f64 {
        let spec = self.jobs.get(&task.job).and_then(|j| j.spec.as_ref());
        let saves = why != StopWhy::Cancelled;
        spec.filter(|s| saves && s.checkpoint_s.0 > 0.0)
            .map_or(0.0, |s| s.save_s.0 * SAVE_FACTOR + SAVE_MARGIN_S)
    }

    /// Sends a worker its commands directly, so that a start need not wait for the next report.
    pub(super) fn command(&mut self, host: &mut Host, now: Time) {
        let fresh = now.since(host.heard_at) <= self.rules.report.mul_f64(1.6);
        let ready = host.lifecycle == HostLifecycle::Up
            && fresh
            && !host.commanding
            && host.reachability == Reachability::Confirmed;
        let (true, Some(to)) = (ready, host.address) else {
            return;
        };
        if self.commanding >= self.rules.commands {
            self.to_command.push_back(host.name.clone());
            return;
        }
        let mut commands = self.commands(host, None, now);
        commands.retain(|o| !matches!(o, Command::Clear { .. }));
        if commands.is_empty() {
            return;
        }
        self.commanding += 1;
        for command in &commands {
            if let Command::Run { task, attempt } = command {
                *host.unanswered.entry((*task, *attempt)).or_default() += 1;
                if let Some(booking) = host.bookings.get_mut(task) {
                    booking.direct = true;
                }
            }
        }
        host.commanding = true;
        let (host, incarnation) = (host.name.clone(), host.incarnation);
        self.actions.push(Action::SendCommands {
            host,
            to,
            incarnation,
            commands,
        });
    }

    /// Takes in what became of a direct command.
    pub fn on_commanded(
        &mut self,
        name: &HostName,
        incarnation: Incarnation,
        commands: &[Command],
        result: CommandResult,
        now: Time,
    ) -> Result<(), Deposed> {
        if commands.is_empty() {
            self.probing = self.probing.saturating_sub(1);
        } else {
            self.commanding = self.commanding.saturating_sub(1);
        }
        let taken_in = self.commanded(name, incarnation, commands, result, now);
        self.command_next(now);
        taken_in
    }

    /// Commands that waited for others to end go out, in their command.
    fn command_next(&mut self, now: Time) {
        while self.commanding < self.rules.commands {
            let Some(name) = self.to_command.pop_front() else {
                return;
            };
            if let Some(mut host) = self.hosts.remove(&name) {
                self.command(&mut host, now);
                self.hosts.insert(name, host);
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
    ) -> Result<(), Deposed> {
        let Some(host) = self.hosts.get_mut(name) else {
            return Ok(());
        };
        host.commanding = false;
        let lost = matches!(result, CommandResult::Lost);
        if host.incarnation == incarnation && !lost {
            for command in commands {
                if let Command::Run { task, attempt } = command {
                    host.answered(*task, *attempt);
                }
            }
        }
        match result {
            CommandResult::WorkerHeartbeat(report) => {
                self.take_in(&report, false, now)?;
            }
            // A silent machine is silent to probes too, which says nothing new.
            CommandResult::NotSent | CommandResult::Lost if host.lifecycle == HostLifecycle::Up => {
                host.ignored(now);
            }
            CommandResult::NotSent | CommandResult::Lost | CommandResult::HeldBack => {}
        }
        Ok(())
    }
}
