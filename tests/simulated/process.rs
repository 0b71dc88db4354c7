//! The interface of a controller process, which is the same for all versions of the service. The simulation itself
//! launches the version under test; a crate that links an earlier version brings its own launcher (`tests/upgrade/`).

use std::time::Duration;

use lichencrank::features::Features;
use lichencrank::node::Node;
use lichencrank::settings::{Settings, Tuning};
use lichencrank::transport::TransportEvent;

use super::transport::SimTransport;

/// Which version of the service a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// The version of this checkout.
    Current,
    /// An earlier version, from which upgrades start.
    Earlier,
}

/// A controller process.
pub trait Process {
    /// Handles a request or the result of a call.
    fn handle_event(&mut self, event: TransportEvent);
    /// Does all work that is due.
    fn run_due_work(&mut self);
    /// When the process has to run next, as a duration since its start.
    fn next_wakeup(&self) -> Duration;
}

impl Process for Node<SimTransport> {
    fn handle_event(&mut self, event: TransportEvent) {
        Node::handle_event(self, event);
    }

    fn run_due_work(&mut self) {
        Node::run_due_work(self);
    }

    fn next_wakeup(&self) -> Duration {
        Duration::from_millis(Node::next_wake(self).0)
    }
}

/// The configuration of a process.
pub struct ProcessConfig {
    /// The version that it runs.
    pub version: Version,
    /// Contents of the settings file.
    pub settings: String,
    /// Contents of the features file. Versions without such a file ignore it.
    pub features: String,
    /// The transport to the other components of the simulation.
    pub transport: SimTransport,
    /// A random number that distinguishes the process from other processes of its node.
    pub incarnation: u64,
}

/// Starts a process.
pub type Launch = fn(ProcessConfig) -> Box<dyn Process>;

/// How the processes of a simulation are started.
#[derive(Clone, Copy)]
pub struct Launcher {
    /// The version that all processes run at the start of the simulation.
    pub first_version: Version,
    /// Starts a process of the version in its configuration.
    pub launch: Launch,
}

impl Launcher {
    /// A launcher that can only start the version of this checkout.
    pub fn current() -> Launcher {
        Launcher {
            first_version: Version::Current,
            launch: launch_current,
        }
    }
}

/// Starts a process of this checkout's version.
pub fn launch_current(config: ProcessConfig) -> Box<dyn Process> {
    assert_eq!(
        config.version,
        Version::Current,
        "this launcher can't start an earlier version"
    );
    let settings =
        Settings::parse(&config.settings).expect("the settings file of a scenario is valid");
    let features =
        Features::parse(&config.features).expect("the features file of a scenario is valid");
    let tuning = Tuning::default();
    let mut node = Node::new(settings, tuning, config.transport, config.incarnation);
    node.switch_on(features);
    Box::new(node)
}
