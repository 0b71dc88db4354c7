//! The simulation of one scenario with one seed: it owns the simulated parts and runs the event loop.

mod commands;
mod routing;
mod verdict;

use std::time::Duration;

use super::checker::{Checker, Invariant};
use super::clock::{SimClock, SimTime};
use super::context::Context;
use super::controllers::Controllers;
use super::deployment::Deployment;
use super::embedder::Embedder;
use super::event_queue::{Event, EventQueue};
use super::fleet::{Fleet, FleetEnvironment};
use super::history::Mark;
use super::ids::NodeIndex;
use super::leadership::Leadership;
use super::network::Network;
use super::process::{Launcher, Version};
use super::quota_audit;
use super::rolling_upgrade::RollingUpgrade;
use super::script::{Expectation, ScheduledCommand, Script};
use super::store::KeyValueStore;
use super::users::Users;
use verdict::RunFailure;

/// Interval at which the hosts advance to the present time.
const HOST_ADVANCE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the key-value store and the program that embeds the quota library advance.
const STORE_ADVANCE_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the checker looks for what has not happened in time, and quota records are audited.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A simulation. Each part keeps its own state; all interaction between parts goes through this type.
pub struct Simulation {
    context: Context,
    deployment: Deployment,
    controllers: Controllers,
    network: Network,
    store: KeyValueStore,
    fleet: Fleet,
    users: Users,
    embedder: Option<Embedder>,
    leadership: Leadership,
    upgrade: RollingUpgrade,
    /// Commands that wait for a takeover at their time or later.
    takeover_commands: Vec<ScheduledCommand>,
    expectations: Vec<Expectation>,
    end_at: SimTime,
}

impl Simulation {
    /// Creates a simulation in which the controllers and the initial hosts of the scenario have started.
    pub fn new(script: &Script, seed: u64, launcher: Launcher) -> Simulation {
        let deployment = script.deployment.clone();
        let clock = SimClock::default();
        let checker = Checker::new(deployment.bounds(), script.faults_end_at);
        let zones = deployment
            .controllers()
            .map(|node| deployment.zone_of(node));
        let network = Network::new(zones.map(str::to_owned).collect());
        let features = deployment.features.clone();
        let mut simulation = Simulation {
            context: Context::new(EventQueue::new(clock.clone()), seed, checker),
            controllers: Controllers::new(launcher, features, clock),
            network,
            store: KeyValueStore::new(deployment.store_limits),
            fleet: Fleet::new(&deployment, seed),
            users: Users::default(),
            embedder: None,
            leadership: Leadership::default(),
            upgrade: RollingUpgrade::new(launcher.first_version, deployment.controller_count),
            takeover_commands: script.takeover_commands.clone(),
            expectations: script.expectations.clone(),
            end_at: script.end_at,
            deployment,
        };
        simulation.start_deployment();
        simulation.schedule_commands(&script.commands);
        simulation
    }

    fn start_deployment(&mut self) {
        // Controllers start one after the other: the first ones can't reach the later ones yet.
        for node in self.deployment.controllers() {
            let settings = self.settings_file(node);
            self.controllers.add(&self.deployment, node, settings);
            self.start_controller(node);
        }
        for initial_hosts in &self.deployment.initial_hosts {
            for _ in 0..initial_hosts.count {
                let zone = &initial_hosts.zone;
                self.fleet.add_running_host(&mut self.context, zone);
            }
        }
        for event in [
            Event::AdvanceHosts,
            Event::AdvanceStore,
            Event::CheckLiveness,
        ] {
            self.context.schedule(SimTime::START, event);
        }
    }

    fn schedule_commands(&mut self, commands: &[ScheduledCommand]) {
        for ScheduledCommand {
            not_before,
            command,
        } in commands
        {
            let command = Box::new(command.clone());
            self.context
                .schedule(*not_before, Event::ScriptCommand(command));
        }
    }

    /// Runs the scenario to its end, or to the first violation.
    ///
    /// # Errors
    /// Returns the violations and unmet expectations, with the end of the history.
    pub fn run(&mut self) -> Result<(), RunFailure> {
        while let Some(event) = self.context.next_event(self.end_at) {
            self.handle(event);
            if self.has_violations() {
                break;
            }
        }
        if !self.has_violations() {
            self.check_end();
        }
        self.verdict()
    }

    /// The hash of every message that a controller has sent or received.
    pub fn fingerprint(&self) -> u64 {
        self.controllers.fingerprint()
    }

    fn has_violations(&self) -> bool {
        !self.context.checker().violations().is_empty()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ControllerTimer(process) => self.run_controller_timer(process),
            Event::ControllerRequest {
                node,
                listener,
                requester,
                request,
            } => self.deliver_request(node, listener, requester, request),
            Event::ControllerReply { call, result } => self.deliver_reply(call, result),
            Event::StoreRequest {
                call,
                request,
                delivery,
            } => self.deliver_to_store(call, request, delivery),
            Event::CloudRequest { call, request } => self.deliver_to_cloud(call, &request),
            Event::WorkerCommand {
                host,
                call,
                command,
            } => self.deliver_to_worker(&host, call, command),
            Event::HeartbeatResponse {
                heartbeat,
                response,
            } => self.deliver_heartbeat_response(&heartbeat, &response),
            Event::UserRequest(planned) => self.send_user_request(planned),
            Event::UserResponse { request, response } => {
                self.deliver_to_user(request, Some(response));
            }
            Event::UserTimeout(request) => self.deliver_to_user(request, None),
            Event::AdvanceHosts => self.advance_hosts(),
            Event::AdvanceStore => self.advance_store(),
            Event::CheckLiveness => self.check_liveness(),
            Event::ScriptCommand(command) => self.execute(*command),
            Event::StartController(node) => self.start_controller(node),
            Event::UpgradeNext(order) => self.upgrade_next(&order),
            Event::RollBack(node) => self.roll_back(node),
        }
    }

    /// The hosts, and the other parts that they interact with.
    fn fleet_and_environment(&mut self) -> (&mut Fleet, FleetEnvironment<'_>) {
        let environment = FleetEnvironment {
            context: &mut self.context,
            network: &self.network,
            controllers: &self.controllers,
            users: &mut self.users,
        };
        (&mut self.fleet, environment)
    }

    /// The settings file with which a controller's next process starts.
    fn settings_file(&self, node: NodeIndex) -> String {
        let knows_next_limits = self.upgrade.knows_next_limits(node);
        self.deployment.settings_file(node, knows_next_limits)
    }

    fn advance_hosts(&mut self) {
        let (fleet, mut environment) = self.fleet_and_environment();
        fleet.advance(&mut environment);
        self.context
            .schedule_after(HOST_ADVANCE_INTERVAL, Event::AdvanceHosts);
    }

    fn advance_store(&mut self) {
        let now = self.context.now();
        if self.store.advance(now) {
            self.observe_leadership();
            self.answer_watches();
        }
        self.advance_embedder();
        self.context
            .schedule_after(STORE_ADVANCE_INTERVAL, Event::AdvanceStore);
    }

    fn advance_embedder(&mut self) {
        let Some(embedder) = &mut self.embedder else {
            return;
        };
        let now = self.context.now();
        let admission_count = embedder.advance(now, self.store.available_contents(now));
        let checker = self.context.checker_mut();
        checker.observe_embedded_work(now, embedder.team(), embedder.used_cpus());
        for _ in 0..admission_count {
            self.context.mark(Mark::EmbedderAdmitted);
        }
    }

    /// Reads from the store's records who leads, and reacts to changes.
    fn observe_leadership(&mut self) {
        let record = self.store.leader_record();
        let change = self.leadership.update(&record, &self.controllers);
        if change
            .replaced_leader
            .is_some_and(|node| self.is_able_to_lead(node))
        {
            self.context.mark(Mark::NeedlessTakeover);
        }
        if change.is_new_term {
            self.handle_takeover();
        }
        if change.is_term_raised {
            self.context.mark(Mark::TermRaised);
        }
    }

    /// Whether a node's process is running and its zone is not isolated.
    fn is_able_to_lead(&self, node: NodeIndex) -> bool {
        let now = self.context.now();
        let zone = self.network.zone_of(node);
        self.controllers.is_running(node, now) && !self.network.is_isolated(now, zone)
    }

    fn handle_takeover(&mut self) {
        self.context.mark(Mark::Takeover);
        let leader = self.leadership.leader();
        if let Some(leader) = leader {
            let version = self.controllers.version(leader);
            if let Some(mark) = self.leadership.record_leader_version(version) {
                self.context.mark(mark);
            }
        }
        let term = self.leadership.term();
        self.context
            .note(format!("term {term}: node {leader:?} leads"));
        let now = self.context.now();
        let (due, waiting) = std::mem::take(&mut self.takeover_commands)
            .into_iter()
            .partition(|scheduled| scheduled.not_before <= now);
        self.takeover_commands = waiting;
        let due: Vec<ScheduledCommand> = due;
        for scheduled in due {
            self.execute(scheduled.command);
        }
        let controller_count = self.controllers.count();
        let copies = self.fleet.heartbeat_copies_mut();
        copies.send_retained(&mut self.context, controller_count);
    }

    fn check_liveness(&mut self) {
        let now = self.context.now();
        self.context.checker_mut().check_liveness(now);
        if self.context.checker().are_limits_exhausted() {
            self.context.mark(Mark::LimitsExhausted);
        }
        self.audit_quota();
        self.context
            .schedule_after(LIVENESS_CHECK_INTERVAL, Event::CheckLiveness);
    }

    /// Checks that the quota records agree with each other and with the allocations.
    fn audit_quota(&mut self) {
        if self.deployment.features.is_empty() {
            return;
        }
        let all_support_quota = self.upgrade.first_version() == Version::Current
            && self.controllers.all_run(Version::Current);
        for discrepancy in quota_audit::discrepancies(self.store.contents(), all_support_quota) {
            self.context.report(Invariant::QuotaAccounts, discrepancy);
        }
    }
}
