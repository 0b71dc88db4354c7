//! The controllers and their processes, which can be killed, paused, and restarted with another version.

use std::net::SocketAddr;

use lichencrank::transport::TransportEvent;

use super::clock::{SimClock, SimTime};
use super::context::Context;
use super::deployment::Deployment;
use super::event_queue::Event;
use super::fingerprint::Fingerprint;
use super::ids::{NodeIndex, ProcessId};
use super::process::{Launcher, Process, ProcessConfig, Version};
use super::transport::{Outbox, Outgoing, SimTransport};

/// One controller node.
struct Controller {
    name: String,
    internal_address: SocketAddr,
    /// The settings file with which its next process starts.
    settings: String,
    /// The version that its next process runs.
    version: Version,
    process: Option<Box<dyn Process>>,
    /// Number of processes that have been started on the node.
    generation: u64,
    outbox: Outbox,
    started_at: SimTime,
    /// The process is paused until this time.
    paused_until: SimTime,
    /// Events that arrived while the process was paused.
    backlog: Vec<TransportEvent>,
    /// When the process has to run again.
    wakeup_at: SimTime,
}

/// All controller nodes of a deployment.
pub struct Controllers {
    nodes: Vec<Controller>,
    launcher: Launcher,
    features: String,
    clock: SimClock,
    fingerprint: Fingerprint,
    log_headings: LogHeadings,
}

impl Controllers {
    /// Creates an empty set of controllers.
    pub fn new(launcher: Launcher, features: String, clock: SimClock) -> Controllers {
        Controllers {
            nodes: Vec::new(),
            launcher,
            features,
            clock,
            fingerprint: Fingerprint::default(),
            log_headings: LogHeadings::from_environment(),
        }
    }

    /// Adds a node without a process.
    pub fn add(&mut self, deployment: &Deployment, node: NodeIndex, settings: String) {
        self.nodes.push(Controller {
            name: deployment.name_of(node),
            internal_address: deployment.internal_address(node),
            settings,
            version: self.launcher.first_version,
            process: None,
            generation: 0,
            outbox: Outbox::default(),
            started_at: SimTime::START,
            paused_until: SimTime::START,
            backlog: Vec::new(),
            wakeup_at: SimTime::START,
        });
    }

    /// Number of nodes.
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// All nodes.
    pub fn indices(&self) -> impl Iterator<Item = NodeIndex> {
        (0..self.nodes.len()).map(NodeIndex)
    }

    /// The node with the given name.
    pub fn find_by_name(&self, name: &str) -> Option<NodeIndex> {
        let position = self.nodes.iter().position(|node| node.name == name);
        position.map(NodeIndex)
    }

    /// The node that the other controllers reach at the given address.
    pub fn find_by_internal_address(&self, address: SocketAddr) -> Option<NodeIndex> {
        let mut nodes = self.nodes.iter();
        let position = nodes.position(|node| node.internal_address == address);
        position.map(NodeIndex)
    }

    /// The last process of a node, which may have ended.
    pub fn last_process(&self, node: NodeIndex) -> ProcessId {
        ProcessId {
            node,
            generation: self.nodes[node.0].generation,
        }
    }

    /// The version that the node runs, or will run when it starts next.
    pub fn version(&self, node: NodeIndex) -> Version {
        self.nodes[node.0].version
    }

    /// Whether all nodes run, or will run when they start next, the given version.
    pub fn all_run(&self, version: Version) -> bool {
        self.nodes.iter().all(|node| node.version == version)
    }

    /// Whether the node has a process.
    pub fn has_process(&self, node: NodeIndex) -> bool {
        self.nodes[node.0].process.is_some()
    }

    /// Whether the node has a process that is not paused.
    pub fn is_running(&self, node: NodeIndex, now: SimTime) -> bool {
        let node = &self.nodes[node.0];
        node.process.is_some() && now >= node.paused_until
    }

    /// Sets the version and the settings file of the node's next process.
    pub fn install(&mut self, node: NodeIndex, version: Version, settings: String) {
        let node = &mut self.nodes[node.0];
        node.version = version;
        node.settings = settings;
    }

    /// Pauses a node's process until the given time.
    pub fn pause(&mut self, node: NodeIndex, until: SimTime) {
        self.nodes[node.0].paused_until = until;
    }

    /// Ends a node's process.
    pub fn kill(&mut self, node: NodeIndex) {
        self.nodes[node.0].process = None;
    }

    /// Starts a process on a node that has none. Returns the messages that it sends in its first run. A random number
    /// is drawn even if the node has a process.
    pub fn start(&mut self, context: &mut Context, node_index: NodeIndex) -> Vec<Outgoing> {
        let incarnation = context.random().u64(..);
        let node = &mut self.nodes[node_index.0];
        if node.process.is_some() {
            return Vec::new();
        }
        node.generation += 1;
        node.started_at = context.now();
        node.paused_until = SimTime::START;
        node.backlog.clear();
        node.outbox = Outbox::default();
        node.process = Some((self.launcher.launch)(ProcessConfig {
            version: node.version,
            settings: node.settings.clone(),
            features: self.features.clone(),
            transport: SimTransport::new(self.clock.clone(), node.outbox.clone()),
            incarnation,
        }));
        let version = node.version;
        context.note(format!("node {node_index} starts, {version:?} version"));
        self.run(context, node_index, None)
    }

    /// Runs the work of a process that is due, unless the process has been replaced or its timer was postponed. Returns
    /// the messages that it sends.
    pub fn run_timer(&mut self, context: &mut Context, process: ProcessId) -> Vec<Outgoing> {
        let is_last_process = self.last_process(process.node) == process;
        let is_due = self.nodes[process.node.0].wakeup_at <= context.now();
        if is_last_process && is_due {
            self.run(context, process.node, None)
        } else {
            Vec::new()
        }
    }

    /// Lets a process handle an event and run the work that is due. Returns the messages that it sends. If the process
    /// is paused, the event is queued.
    pub fn run(
        &mut self,
        context: &mut Context,
        node_index: NodeIndex,
        event: Option<TransportEvent>,
    ) -> Vec<Outgoing> {
        let now = context.now();
        let id = self.last_process(node_index);
        let node = &mut self.nodes[node_index.0];
        let Some(process) = &mut node.process else {
            return Vec::new();
        };
        if now < node.paused_until {
            node.backlog.extend(event);
            node.wakeup_at = node.paused_until;
            context.schedule(node.wakeup_at, Event::ControllerTimer(id));
            return Vec::new();
        }
        self.log_headings.print(node_index, now);
        let events = std::mem::take(&mut node.backlog).into_iter().chain(event);
        for event in events {
            self.fingerprint.add_received(now, node_index, &event);
            process.handle_event(event);
        }
        process.run_due_work();
        let earliest_wakeup = SimTime::from_millis(now.as_millis() + 1);
        node.wakeup_at = earliest_wakeup.max(node.started_at + process.next_wakeup());
        context.schedule(node.wakeup_at, Event::ControllerTimer(id));
        let messages = node.outbox.take();
        for message in &messages {
            self.fingerprint.add_sent(now, node_index, message);
        }
        messages
    }

    /// The hash of all messages that controllers have sent or received.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint.value()
    }
}

/// Headings in the log output with the node that writes the log lines that follow, and the simulated time. They are
/// printed if `LOG_LEVEL` is set.
struct LogHeadings {
    is_enabled: bool,
    /// The node and the time of the last heading.
    last: Option<(NodeIndex, SimTime)>,
}

impl LogHeadings {
    fn from_environment() -> LogHeadings {
        LogHeadings {
            is_enabled: std::env::var_os("LOG_LEVEL").is_some(),
            last: None,
        }
    }

    fn print(&mut self, node: NodeIndex, now: SimTime) {
        let is_new = self.last.replace((node, now)) != Some((node, now));
        if self.is_enabled && is_new {
            eprintln!("---- {now} node {node}");
        }
    }
}
