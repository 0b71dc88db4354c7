//! Direct commands to workers, so that a start or a stop need not wait for the next heartbeat. Tracks how many are in
//! flight and which hosts are queued; the number is limited because each request occupies a socket.

use std::collections::VecDeque;

use crate::coordination::cluster::host::{Host, Reachability};
use crate::coordination::Policy;
use crate::protocol::workers::Command;
use crate::types::{HostName, Time};

/// Direct commands are sent only to hosts whose last heartbeat arrived within this many heartbeat intervals.
const MAX_SILENCE_INTERVALS: f64 = 1.6;

/// Limits the direct command requests and probes that are in flight.
#[derive(Debug)]
pub(crate) struct CommandDispatcher {
    max_commands_in_flight: usize,
    max_probes_in_flight: usize,
    commands_in_flight: usize,
    probes_in_flight: usize,
    /// Hosts whose commands wait until fewer requests are in flight, first in, first out.
    waiting_hosts: VecDeque<HostName>,
}

impl CommandDispatcher {
    /// A dispatcher with nothing in flight and the policy's limits.
    pub(crate) fn new(policy: &Policy) -> CommandDispatcher {
        CommandDispatcher {
            max_commands_in_flight: policy.max_commands_in_flight,
            max_probes_in_flight: policy.max_probes_in_flight,
            commands_in_flight: 0,
            probes_in_flight: 0,
            waiting_hosts: VecDeque::new(),
        }
    }

    /// Whether commands may be sent to the host now. If not, the host is queued.
    pub(crate) fn may_send_or_queue(&mut self, host: &HostName) -> bool {
        let may_send = self.commands_in_flight < self.max_commands_in_flight;
        if !may_send {
            self.waiting_hosts.push_back(host.clone());
        }
        may_send
    }

    /// Takes the host that was queued first, if commands may be sent now.
    pub(crate) fn next_waiting_host(&mut self) -> Option<HostName> {
        if self.commands_in_flight < self.max_commands_in_flight {
            self.waiting_hosts.pop_front()
        } else {
            None
        }
    }

    /// Number of probes that may be sent now.
    pub(crate) fn free_probe_slots(&self) -> usize {
        self.max_probes_in_flight
            .saturating_sub(self.probes_in_flight)
    }

    /// A command request was sent to a host.
    pub(crate) fn on_commands_sent(&mut self) {
        self.commands_in_flight += 1;
    }

    /// A probe was sent to a host.
    pub(crate) fn on_probe_sent(&mut self) {
        self.probes_in_flight += 1;
    }

    /// The result of a command request has arrived, or of a probe if `commands` is empty.
    pub(crate) fn on_result(&mut self, commands: &[Command]) {
        let in_flight = if commands.is_empty() {
            &mut self.probes_in_flight
        } else {
            &mut self.commands_in_flight
        };
        *in_flight = in_flight.saturating_sub(1);
    }
}

/// Whether direct commands are expected to reach the host's worker now: it is up, has sent a recent heartbeat, confirms
/// what it receives, and no other command is in flight to it.
pub(crate) fn accepts_commands(host: &Host, policy: &Policy, now: Time) -> bool {
    let max_silence = policy.heartbeat_interval.mul_f64(MAX_SILENCE_INTERVALS);
    host.is_up()
        && now.since(host.last_heartbeat_at) <= max_silence
        && !host.has_command_in_flight
        && host.reachability == Reachability::Confirmed
}
