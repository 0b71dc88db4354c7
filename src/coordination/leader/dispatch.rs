//! Sending of direct commands to workers.

use std::collections::BTreeSet;

use crate::coordination::cluster::host::StopReason;
use crate::coordination::cluster::{CommandContext, StopEffect};
use crate::coordination::dispatch::accepts_commands;
use crate::coordination::{Action, Leader};
use crate::types::{HostName, TaskId, Time};

/// For how many worker leases ended attempts are listed before a higher fencing token is requested to clear them.
const MAX_LISTING_LEASES: u32 = 2;

impl Leader {
    /// Marks a task to be stopped and sends the command to its worker at once.
    pub(crate) fn stop_task(
        &mut self,
        name: &HostName,
        task: TaskId,
        reason: StopReason,
        now: Time,
    ) {
        if self.cluster.request_stop(name, task, reason, now) == StopEffect::CommandNeeded {
            self.send_commands(name, now);
        }
    }

    /// Sends each of the hosts the commands that are due for it.
    pub(super) fn send_commands_to(&mut self, hosts: &BTreeSet<HostName>, now: Time) {
        for name in hosts {
            self.send_commands(name, now);
        }
    }

    /// Sends the host the commands that are due for it, or queues the host if too many requests are in flight.
    pub(super) fn send_commands(&mut self, name: &HostName, now: Time) {
        let host = self.cluster.host(name);
        let Some(host) = host.filter(|host| accepts_commands(host, &self.policy, now)) else {
            return;
        };
        let (Some(address), incarnation) = (host.address, host.incarnation) else {
            return;
        };
        if !self.dispatcher.may_send_or_queue(name) {
            return;
        }
        let context = self.command_context(now);
        let commands = self.cluster.direct_commands(name, context);
        if commands.is_empty() {
            return;
        }
        self.dispatcher.on_commands_sent();
        self.actions.push(Action::SendCommands {
            host: name.clone(),
            address,
            fencing_token: context.fencing_token,
            incarnation,
            commands,
        });
    }

    /// Sends the commands of queued hosts, in order, as far as the limit permits.
    pub(super) fn send_waiting_commands(&mut self, now: Time) {
        while let Some(name) = self.dispatcher.next_waiting_host() {
            self.send_commands(&name, now);
        }
    }

    /// The state of the leader on which the choice of commands depends.
    pub(super) fn command_context(&self, now: Time) -> CommandContext {
        CommandContext {
            term: self.term,
            fencing_token: self.fencing_token(),
            max_listing_time: self.policy.worker_lease * MAX_LISTING_LEASES,
            may_start_tasks: self.has_valid_lease(now),
            now,
        }
    }
}
