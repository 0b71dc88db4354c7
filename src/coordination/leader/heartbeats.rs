//! Handling of worker heartbeats and of the results of direct commands.

use crate::coordination::cluster::{Delivery, HeartbeatSource, Reconciliation};
use crate::coordination::{CommandResult, Leader, LeaderPhase, LeadershipLost};
use crate::protocol::workers::{stop_commands, Command, WorkerHeartbeat};
use crate::types::{HostName, Incarnation, Time};

impl Leader {
    /// Handles a heartbeat that a worker sent. Returns the commands for the response.
    ///
    /// # Errors
    ///
    /// The worker has seen the fencing token of a later leader.
    pub fn on_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        now: Time,
    ) -> Result<Vec<Command>, LeadershipLost> {
        if self.phase == LeaderPhase::LoadingRecords {
            return self.commands_while_loading(heartbeat);
        }
        if !self.reconcile(heartbeat, HeartbeatSource::Worker, now)? {
            return Ok(Vec::new());
        }
        let context = self.command_context(now);
        Ok(self
            .cluster
            .commands_in_response(&heartbeat.host, heartbeat.sequence_number, context))
    }

    /// While the records are being read, the fencing token in the response renews the worker's lease and with it all
    /// its tasks. Reading may take longer than the cancellation timeout, so tasks of jobs known to be cancelled are
    /// stopped.
    fn commands_while_loading(
        &self,
        heartbeat: &WorkerHeartbeat,
    ) -> Result<Vec<Command>, LeadershipLost> {
        self.check_token(heartbeat.fencing_token)?;
        Ok(stop_commands(heartbeat, |job| {
            self.cancellations.contains(job)
        }))
    }

    /// Reconciles the state of the cluster with a heartbeat. Returns whether it was applied, which only the newest of
    /// its host is.
    fn reconcile(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        source: HeartbeatSource,
        now: Time,
    ) -> Result<bool, LeadershipLost> {
        self.check_token(heartbeat.fencing_token)?;
        if self.phase == LeaderPhase::LoadingRecords
            || self.cluster.was_released(&heartbeat.host)
            || self.is_token_undecided(heartbeat.fencing_token)
        {
            return Ok(false);
        }
        let fencing_token = self.fencing_token();
        let mut reconciliation = Reconciliation {
            cluster: &mut self.cluster,
            run_times: &mut self.run_times,
            term: self.term,
            fencing_token,
            source,
            now,
        };
        if heartbeat.fencing_token < self.term {
            reconciliation.apply_unfenced(heartbeat);
            return Ok(false);
        }
        Ok(reconciliation.apply(heartbeat))
    }

    /// Handles the result of direct commands, or of a probe if `commands` is empty.
    ///
    /// # Errors
    ///
    /// The worker has seen the fencing token of a later leader.
    pub fn on_command_result(
        &mut self,
        name: &HostName,
        incarnation: Incarnation,
        commands: &[Command],
        result: CommandResult,
        now: Time,
    ) -> Result<(), LeadershipLost> {
        self.dispatcher.on_result(commands);
        let result = self.apply_command_result(name, incarnation, commands, result, now);
        self.send_waiting_commands(now);
        result
    }

    fn apply_command_result(
        &mut self,
        name: &HostName,
        incarnation: Incarnation,
        commands: &[Command],
        result: CommandResult,
        now: Time,
    ) -> Result<(), LeadershipLost> {
        if self.cluster.host(name).is_none() {
            return Ok(());
        }
        let delivery = match result {
            CommandResult::Heartbeat(_) => Delivery::Answered,
            CommandResult::NoResponse => Delivery::Unanswered,
            CommandResult::NotExecuted | CommandResult::NotAttempted => Delivery::NotExecuted,
        };
        self.cluster
            .on_direct_commands_done(name, incarnation, commands, delivery);
        match result {
            CommandResult::Heartbeat(heartbeat) => {
                self.reconcile(&heartbeat, HeartbeatSource::CommandResponse, now)?;
            }
            CommandResult::NotExecuted | CommandResult::NoResponse => {
                self.cluster.on_commands_unanswered(name, now);
            }
            CommandResult::NotAttempted => {}
        }
        Ok(())
    }
}
