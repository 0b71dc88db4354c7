//! Executes the commands of a scenario.

use std::time::Duration;

use super::Simulation;
use crate::simulated::checker::RequestKind;
use crate::simulated::embedder::Embedder;
use crate::simulated::event_queue::Event;
use crate::simulated::faults::{FaultWindow, RandomFault};
use crate::simulated::history::Mark;
use crate::simulated::ids::NodeIndex;
use crate::simulated::network::{Partition, ZoneIsolation};
use crate::simulated::process::Version;
use crate::simulated::script::command::{
    CloudFault, Command, ControllerCommand, HostCommand, NetworkFault, NodeSelector, StoreFault,
    UpgradeOrder, UserCommand,
};
use crate::simulated::users::PlannedRequest;

/// How long a controller is down during an upgrade or a rollback.
const UPGRADE_RESTART_TIME: Duration = Duration::from_secs(2);
/// The requests of one [`UserCommand::Cancel`] are spread over this time.
const CANCELLATION_SPREAD_MS: u64 = 200;
/// The team of the jobs that [`UserCommand::SubmitInvalid`] submits.
const INVALID_JOB_TEAM: &str = "t1";

impl Simulation {
    /// Executes a command now.
    pub(super) fn execute(&mut self, command: Command) {
        self.context.note(format!("{command:?}"));
        match command {
            Command::Users(command) => self.execute_user_command(command),
            Command::Controllers(command) => self.execute_controller_command(command),
            Command::Network(fault) => self.inject_network_fault(fault),
            Command::Store(fault) => self.inject_store_fault(fault),
            Command::Cloud(fault) => self.inject_cloud_fault(&fault),
            Command::Hosts(command) => self.execute_host_command(&command),
        }
    }

    /// A fault that starts now and lasts for `duration`.
    fn fault_window(&self, duration: Duration) -> FaultWindow {
        FaultWindow::until(self.context.now() + duration)
    }

    fn random_fault(&self, probability: f64, duration: Duration) -> RandomFault {
        RandomFault {
            probability,
            window: self.fault_window(duration),
        }
    }

    /// The nodes that a selector refers to at present.
    fn select_nodes(&mut self, selector: NodeSelector) -> Vec<NodeIndex> {
        let leader = self.leadership.leader().unwrap_or(NodeIndex(0));
        let nodes = self.controllers.indices();
        let followers: Vec<NodeIndex> = nodes.filter(|node| *node != leader).collect();
        match selector {
            NodeSelector::Leader => vec![leader],
            NodeSelector::OneFollower => {
                let choice = self.context.random().usize(0..followers.len().max(1));
                followers.get(choice).copied().into_iter().collect()
            }
            NodeSelector::AllFollowers => followers,
            NodeSelector::LastConfirmer => self.users.last_confirmer().into_iter().collect(),
            NodeSelector::All => self.controllers.indices().collect(),
        }
    }
}

/// Commands for users.
impl Simulation {
    fn execute_user_command(&mut self, command: UserCommand) {
        let context = &mut self.context;
        match command {
            UserCommand::Submit {
                count,
                interval,
                template,
                cancelled_share,
            } => self
                .users
                .submit_jobs(context, &template, count, interval, cancelled_share),
            UserCommand::SubmitInvalid { count } => {
                self.users
                    .submit_invalid_jobs(context, INVALID_JOB_TEAM, count);
            }
            UserCommand::Cancel {
                count,
                through,
                includes_waiting,
                host_pause,
            } => self.cancel_jobs(count, through, includes_waiting, host_pause),
            UserCommand::PollInBursts { duration } => {
                let window = self.fault_window(duration);
                self.users.poll_in_bursts(window);
            }
            UserCommand::CancelAtCompletion {
                probability,
                duration,
            } => {
                let fault = self.random_fault(probability, duration);
                self.users.cancel_at_completion(fault);
            }
            UserCommand::StartEmbedder(demand) => self.embedder = Some(Embedder::new(demand)),
        }
    }

    fn cancel_jobs(
        &mut self,
        count: usize,
        through: NodeSelector,
        includes_waiting: bool,
        host_pause: Duration,
    ) {
        let jobs = self
            .users
            .choose_jobs_to_cancel(&mut self.context, includes_waiting);
        for job in jobs.into_iter().take(count) {
            let node = self.select_nodes(through).first().copied();
            let spread = self.context.random_millis(0..CANCELLATION_SPREAD_MS);
            let sent_at = self.context.now() + spread;
            let context = &mut self.context;
            PlannedRequest::schedule_through(context, sent_at, job, RequestKind::Cancel, node);
            if host_pause > Duration::ZERO {
                let window = self.fault_window(host_pause);
                self.fleet.pause_hosts_of(job, window);
            }
        }
    }
}

/// Commands for controllers.
impl Simulation {
    fn execute_controller_command(&mut self, command: ControllerCommand) {
        match command {
            ControllerCommand::Kill {
                nodes,
                restart_after,
            } => {
                for node in self.select_nodes(nodes) {
                    self.kill_controller(node, restart_after);
                }
            }
            ControllerCommand::Pause { nodes, duration } => {
                let until = self.context.now() + duration;
                for node in self.select_nodes(nodes) {
                    self.controllers.pause(node, until);
                }
            }
            ControllerCommand::Upgrade { interval, order } => {
                let upgrade_next = |_| Event::UpgradeNext(order.clone());
                self.schedule_for_each_controller(interval, upgrade_next);
            }
            ControllerCommand::RollBack { interval } => {
                self.schedule_for_each_controller(interval, Event::RollBack);
            }
        }
    }

    fn schedule_for_each_controller(
        &mut self,
        interval: Duration,
        event: impl Fn(NodeIndex) -> Event,
    ) {
        for node in self.controllers.indices() {
            let delay = interval * node.0 as u32;
            self.context.schedule_after(delay, event(node));
        }
    }

    fn kill_controller(&mut self, node: NodeIndex, restart_after: Duration) {
        self.context.note(format!("node {node} is killed"));
        self.context.mark(Mark::ControllerKilled);
        self.controllers.kill(node);
        let process = self.controllers.last_process(node);
        self.network.drop_calls_of(process);
        let copies = self.fleet.command_copies_mut();
        copies.send_retained(&mut self.context);
        let start = Event::StartController(node);
        self.context.schedule_after(restart_after, start);
    }

    pub(super) fn upgrade_next(&mut self, order: &UpgradeOrder) {
        let leader = self.leadership.leader();
        let next = self.upgrade.upgrade_next(order, leader, &self.network);
        if let Some(node) = next {
            self.replace_version(node, Version::Current);
            self.context.mark(Mark::ControllerUpgraded);
        }
    }

    pub(super) fn roll_back(&mut self, node: NodeIndex) {
        if self.upgrade.roll_back(node) {
            self.replace_version(node, self.upgrade.first_version());
            self.context.mark(Mark::ControllerRolledBack);
        }
    }

    /// Kills the controller's process. It restarts with the given version, and with settings for it.
    fn replace_version(&mut self, node: NodeIndex, version: Version) {
        let settings = self.settings_file(node);
        self.controllers.install(node, version, settings);
        self.kill_controller(node, UPGRADE_RESTART_TIME);
    }
}

/// Faults of the network, the key-value store and the cloud.
impl Simulation {
    fn inject_network_fault(&mut self, fault: NetworkFault) {
        match fault {
            NetworkFault::Partition {
                nodes,
                links,
                duration,
                holds_messages,
            } => {
                let window = self.fault_window(duration);
                for node in self.select_nodes(nodes) {
                    self.network.partition(Partition {
                        node,
                        links: links.clone(),
                        window,
                        holds_messages,
                    });
                }
            }
            NetworkFault::SeparateZones { duration } => {
                self.network.separate_zones(self.fault_window(duration));
            }
            NetworkFault::IsolateZone { zone, duration } => {
                let host_count = self.fleet.host_count(&zone);
                self.context.checker_mut().observe_isolation(host_count);
                self.network.isolate_zone(ZoneIsolation {
                    zone,
                    started_at: self.context.now(),
                    window: self.fault_window(duration),
                });
            }
        }
    }

    fn inject_store_fault(&mut self, fault: StoreFault) {
        match fault {
            StoreFault::RefuseRequests { nodes, duration } => {
                let window = self.fault_window(duration);
                for node in self.select_nodes(nodes) {
                    self.store.refuse(node, window);
                }
            }
            StoreFault::Outage { duration } => self.store.start_outage(self.fault_window(duration)),
            StoreFault::SlowRequests {
                max_delay,
                duration,
            } => self.store.slow_down(max_delay, self.fault_window(duration)),
            StoreFault::LostResponses {
                probability,
                duration,
            } => {
                let fault = self.random_fault(probability, duration);
                self.store.lose_responses(fault);
            }
            StoreFault::LateWrites {
                probability,
                duration,
            } => {
                let fault = self.random_fault(probability, duration);
                self.store.delay_writes(fault);
            }
            StoreFault::LowerLimits => {
                if let Some(limits) = self.deployment.next_store_limits {
                    self.store.lower_limits(limits);
                }
            }
        }
    }

    fn inject_cloud_fault(&mut self, fault: &CloudFault) {
        match fault {
            CloudFault::Outage { duration } => {
                let window = self.fault_window(*duration);
                self.fleet.cloud_mut().start_outage(window);
            }
            CloudFault::SetBootTime(boot_time) => {
                self.fleet.cloud_mut().set_boot_time(*boot_time);
            }
        }
    }
}

/// Commands for hosts.
impl Simulation {
    fn execute_host_command(&mut self, command: &HostCommand) {
        match command {
            HostCommand::Fault {
                fault,
                probability,
                zone,
                duration,
            } => {
                let until = self.context.now() + *duration;
                let (fleet, mut environment) = self.fleet_and_environment();
                let zone = zone.as_deref();
                fleet.inject_fault(&mut environment, *fault, *probability, zone, until);
            }
            HostCommand::LateHeartbeats {
                probability,
                duration,
            } => {
                let fault = self.random_fault(*probability, *duration);
                self.fleet.heartbeat_copies_mut().start_late_copies(fault);
            }
            HostCommand::RetainHeartbeats { duration } => {
                let window = self.fault_window(*duration);
                self.fleet.heartbeat_copies_mut().start_retention(window);
            }
            HostCommand::EndReplicas { probability, end } => {
                let context = &mut self.context;
                self.fleet.end_replicas(context, *end, *probability);
            }
        }
    }
}
