//! Direct commands to workers, so that a start or a stop need not wait for the next heartbeat: which are under way, and
//! which hosts wait for their turn. Their number is bounded, as each takes a socket.

use std::collections::VecDeque;

use crate::coordination::cluster::host::{Host, Reachability};
use crate::coordination::Policy;
use crate::protocol::workers::Command;
use crate::types::{HostName, Time};

/// A direct command is sent only if the last heartbeat arrived within so many intervals.
const MAX_SILENT_INTERVALS: f64 = 1.6;

/// The direct commands and probes that are under way.
#[derive(Debug)]
pub(crate) struct CommandDispatcher {
    max_commands_in_flight: usize,
    max_probes_in_flight: usize,
    commands_in_flight: usize,
    probes_in_flight: usize,
    /// Hosts whose commands wait until fewer are in flight, the first to wait at the front.
    waiting_hosts: VecDeque<HostName>,
}

impl CommandDispatcher {
    /// A dispatcher with nothing under way, within the policy's limits.
    pub(crate) fn new(policy: &Policy) -> CommandDispatcher {
        CommandDispatcher {
            max_commands_in_flight: policy.max_commands_in_flight,
            max_probes_in_flight: policy.max_probes_in_flight,
            commands_in_flight: 0,
            probes_in_flight: 0,
            waiting_hosts: VecDeque::new(),
        }
    }

    /// Whether commands may be sent now. If not, the host waits for its turn.
    pub(crate) fn may_send_or_queue(&mut self, host: &HostName) -> bool {
        let may_send = self.commands_in_flight < self.max_commands_in_flight;
        if !may_send {
            self.waiting_hosts.push_back(host.clone());
        }
        may_send
    }

    /// The host that has waited the longest, if commands may be sent to it now.
    pub(crate) fn next_waiting_host(&mut self) -> Option<HostName> {
        if self.commands_in_flight < self.max_commands_in_flight {
            self.waiting_hosts.pop_front()
        } else {
            None
        }
    }

    /// How many more probes may be sent now.
    pub(crate) fn free_probe_slots(&self) -> usize {
        self.max_probes_in_flight
            .saturating_sub(self.probes_in_flight)
    }

    /// Commands are sent to a host.
    pub(crate) fn on_commands_sent(&mut self) {
        self.commands_in_flight += 1;
    }

    /// A probe is sent to a host.
    pub(crate) fn on_probe_sent(&mut self) {
        self.probes_in_flight += 1;
    }

    /// Commands, or a probe if there are none, have their outcome.
    pub(crate) fn on_result(&mut self, commands: &[Command]) {
        let in_flight = if commands.is_empty() {
            &mut self.probes_in_flight
        } else {
            &mut self.commands_in_flight
        };
        *in_flight = in_flight.saturating_sub(1);
    }
}

/// Whether direct commands are likely to reach the host's worker now.
pub(crate) fn accepts_commands(host: &Host, policy: &Policy, now: Time) -> bool {
    let max_silence = policy.heartbeat_interval.mul_f64(MAX_SILENT_INTERVALS);
    host.is_up()
        && now.since(host.last_heartbeat_at) <= max_silence
        && !host.has_command_in_flight
        && host.reachability == Reachability::Confirmed
}
