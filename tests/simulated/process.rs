//! A controller process behind one interface, whatever version of the service it runs. The simulation knows
//! the version that is tested; a crate that links an earlier one brings a launcher of its own
//! (`tests/upgrade/`).

use std::time::Duration;

use lichencrank::features::Features;
use lichencrank::node::Node;
use lichencrank::settings::{Settings, Tuning};
use lichencrank::transport::TransportEvent;

use super::transport::SimTransport;

/// Which code a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// The code of this checkout.
    Current,
    /// A version that upgrades start from.
    Earlier,
}

/// What the simulation needs of a controller process.
pub trait Process {
    /// Takes in a request or a reply.
    fn handle_event(&mut self, event: TransportEvent);
    /// Does all that is due.
    fn run_due_work(&mut self);
    /// How long after its start the process has to run again.
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

/// What a process starts with.
pub struct ProcessConfig {
    /// Which code it runs.
    pub version: Version,
    /// The settings file.
    pub settings: String,
    /// The features file, for versions that know it.
    pub features: String,
    /// How it reaches the rest of the simulation.
    pub transport: SimTransport,
    /// A random number that tells the process from others of its node.
    pub incarnation: u64,
}

/// Starts a process.
pub type Launch = fn(ProcessConfig) -> Box<dyn Process>;

/// How processes start.
#[derive(Clone, Copy)]
pub struct Launcher {
    /// What all of them run when the simulation starts.
    pub first_version: Version,
    /// Starts a process of either version.
    pub launch: Launch,
}

impl Launcher {
    /// Knows the version of this checkout only.
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
        "the launcher knows no other"
    );
    let settings = Settings::parse(&config.settings).expect("the settings of a scenario");
    let features = Features::parse(&config.features).expect("the features of a scenario");
    let tuning = Tuning::default();
    let mut node = Node::new(settings, tuning, config.transport, config.incarnation);
    node.switch_on(features);
    Box::new(node)
}
