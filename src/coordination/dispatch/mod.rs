//! Direct commands to workers, so that a start or a stop need not wait for the next heartbeat. Their number is bounded, as
//! each takes a socket.

use std::collections::VecDeque;

use crate::coordination::cluster::host::{Host, Reachability};
use crate::coordination::cluster::CommandContext;
use crate::coordination::{Action, Leader, View};
use crate::protocol::workers::Command;
use crate::types::{HostName, Time};

/// A direct command is sent only if the last heartbeat arrived within so many intervals.
const MAX_SILENT_INTERVALS: f64 = 1.6;

/// The direct commands and probes that are under way.
#[derive(Debug, Default)]
pub(crate) struct CommandDispatcher {
    probes_in_flight: usize,
    commands_in_flight: usize,
    /// Hosts whose commands wait until fewer are in flight.
    waiting_hosts: VecDeque<HostName>,
}

impl CommandDispatcher {
    /// How many probes are in flight.
    pub(crate) fn probes_in_flight(&self) -> usize {
        self.probes_in_flight
    }

    /// A probe is sent.
    pub(crate) fn on_probe_sent(&mut self) {
        self.probes_in_flight += 1;
    }

    /// Commands, or a probe if there are none, have their outcome.
    pub(crate) fn on_done(&mut self, commands: &[Command]) {
        let in_flight = if commands.is_empty() {
            &mut self.probes_in_flight
        } else {
            &mut self.commands_in_flight
        };
        *in_flight = in_flight.saturating_sub(1);
    }
}

impl View<'_> {
    fn accepts_commands(&self, host: &Host, now: Time) -> bool {
        let max_silence = self.policy.report.mul_f64(MAX_SILENT_INTERVALS);
        host.is_up()
            && now.since(host.last_heartbeat_at) <= max_silence
            && !host.command_in_flight
            && host.reachability == Reachability::Confirmed
    }
}

impl Leader {
    /// Sends the host the commands that it needs, or has it wait until fewer are in flight.
    pub(crate) fn send_commands(&mut self, name: &HostName, now: Time) {
        let host = self.cluster.host(name);
        let Some(host) = host.filter(|host| self.view().accepts_commands(host, now)) else {
            return;
        };
        let (Some(address), incarnation) = (host.address, host.incarnation) else {
            return;
        };
        if self.dispatcher.commands_in_flight >= self.policy.commands {
            self.dispatcher.waiting_hosts.push_back(name.clone());
            return;
        }
        let context = self.command_context(now);
        let commands = self.cluster.direct_commands(name, context);
        if commands.is_empty() {
            return;
        }
        self.dispatcher.commands_in_flight += 1;
        self.actions.push(Action::SendCommands {
            host: name.clone(),
            to: address,
            incarnation,
            commands,
        });
    }

    /// Sends the commands that waited for others to end, in their order.
    pub(crate) fn send_waiting_commands(&mut self, now: Time) {
        while self.dispatcher.commands_in_flight < self.policy.commands {
            let Some(name) = self.dispatcher.waiting_hosts.pop_front() else {
                return;
            };
            self.send_commands(&name, now);
        }
    }

    /// On what conditions commands are sent now.
    pub(crate) fn command_context(&self, now: Time) -> CommandContext {
        CommandContext {
            term: self.term(),
            may_start_tasks: self.may_act(now),
            now,
        }
    }
}
